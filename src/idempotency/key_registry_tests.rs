//! Tests of keys within one daemon.

use super::key_registry::{BeginResult, Completion, KeyRegistry};
use super::{FinalResult, StoredResponse};
use std::sync::Arc;

fn text(text: &str) -> Arc<str> {
    text.into()
}

fn answered(body: &str) -> Completion {
    let answer = StoredResponse { status: 200, headers: Vec::new(), body_base64: body.to_owned(), object: None };
    Completion::Final(FinalResult::Answered(answer).into())
}

fn joined(begin: BeginResult) -> futures::channel::oneshot::Receiver<Completion> {
    let BeginResult::InProgress(receiver) = begin else { panic!("{begin:?}") };
    receiver
}

#[test]
fn resends_join_the_request_in_progress_and_later_ones_get_its_answer() {
    let mut book = KeyRegistry::default();
    assert!(matches!(book.begin(&text("k"), &text("d")), BeginResult::New));
    let mut join = joined(book.begin(&text("k"), &text("d")));

    book.end(&text("k"), &answered("a"));

    assert_eq!(join.try_recv(), Ok(Some(answered("a"))));
    let BeginResult::Completed(last) = book.begin(&text("k"), &text("d")) else { panic!("ended") };
    assert_eq!(Completion::Final(last), answered("a"));
}

#[test]
fn another_request_with_the_key_is_refused_at_every_stage() {
    let mut book = KeyRegistry::default();
    book.begin(&text("k"), &text("d"));
    assert!(matches!(book.begin(&text("k"), &text("other")), BeginResult::Mismatch));

    book.end(&text("k"), &answered("a"));

    assert!(matches!(book.begin(&text("k"), &text("other")), BeginResult::Mismatch));
}

#[test]
fn a_key_is_free_again_after_its_request_did_not_run() {
    let mut book = KeyRegistry::default();
    book.begin(&text("k"), &text("d"));
    let mut join = joined(book.begin(&text("k"), &text("d")));

    book.end(&text("k"), &Completion::NotRun);

    assert_eq!(join.try_recv(), Ok(Some(Completion::NotRun)));
    assert!(matches!(book.begin(&text("k"), &text("other")), BeginResult::New));
}

#[test]
fn answers_are_dropped_before_their_keys() {
    let mut book = KeyRegistry::default();
    for key in ["a", "b", "c"] {
        book.begin(&text(key), &text("d"));
        book.end(&text(key), &answered("12345678"));
    }

    book.evict_responses_over(10);
    let forgotten = book.evict_completed_over(2);

    let BeginResult::Completed(dropped) = book.begin(&text("b"), &text("d")) else { panic!("ended") };
    let BeginResult::Completed(kept) = book.begin(&text("c"), &text("d")) else { panic!("ended") };
    assert_eq!(*dropped, FinalResult::AnswerDropped);
    assert_eq!(Completion::Final(kept), answered("12345678"));
    assert_eq!(forgotten, [text("a")]);
}

#[test]
fn only_ended_keys_are_forgotten() {
    let mut book = KeyRegistry::default();
    book.begin(&text("k"), &text("d"));

    book.forget(&text("k"));

    assert!(matches!(book.begin(&text("k"), &text("d")), BeginResult::InProgress(_)));
}
