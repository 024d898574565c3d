//! Tests of keys within one daemon.

use super::key_registry::{Begin, Ending, KeyBook};
use super::{Final, KeptAnswer};
use std::sync::Arc;

fn text(text: &str) -> Arc<str> {
    text.into()
}

fn answered(body: &str) -> Ending {
    let answer = KeptAnswer { status: 200, headers: Vec::new(), body_base64: body.to_owned(), object: None };
    Ending::Final(Final::Answered(answer).into())
}

fn joined(begin: Begin) -> futures::channel::oneshot::Receiver<Ending> {
    let Begin::Join(receiver) = begin else { panic!("{begin:?}") };
    receiver
}

#[test]
fn resends_join_the_request_in_progress_and_later_ones_get_its_answer() {
    let mut book = KeyBook::default();
    assert!(matches!(book.begin(&text("k"), &text("d")), Begin::Fresh));
    let mut join = joined(book.begin(&text("k"), &text("d")));

    book.end(&text("k"), &answered("a"));

    assert_eq!(join.try_recv(), Ok(Some(answered("a"))));
    let Begin::Ended(last) = book.begin(&text("k"), &text("d")) else { panic!("ended") };
    assert_eq!(Ending::Final(last), answered("a"));
}

#[test]
fn another_request_with_the_key_is_refused_at_every_stage() {
    let mut book = KeyBook::default();
    book.begin(&text("k"), &text("d"));
    assert!(matches!(book.begin(&text("k"), &text("other")), Begin::Mismatch));

    book.end(&text("k"), &answered("a"));

    assert!(matches!(book.begin(&text("k"), &text("other")), Begin::Mismatch));
}

#[test]
fn a_key_is_free_again_after_its_request_did_not_run() {
    let mut book = KeyBook::default();
    book.begin(&text("k"), &text("d"));
    let mut join = joined(book.begin(&text("k"), &text("d")));

    book.end(&text("k"), &Ending::NotRun);

    assert_eq!(join.try_recv(), Ok(Some(Ending::NotRun)));
    assert!(matches!(book.begin(&text("k"), &text("other")), Begin::Fresh));
}

#[test]
fn answers_are_dropped_before_their_keys() {
    let mut book = KeyBook::default();
    for key in ["a", "b", "c"] {
        book.begin(&text(key), &text("d"));
        book.end(&text(key), &answered("12345678"));
    }

    book.drop_answers_beyond(10);
    let forgotten = book.forget_beyond(2);

    let Begin::Ended(dropped) = book.begin(&text("b"), &text("d")) else { panic!("ended") };
    let Begin::Ended(kept) = book.begin(&text("c"), &text("d")) else { panic!("ended") };
    assert_eq!(*dropped, Final::AnswerDropped);
    assert_eq!(Ending::Final(kept), answered("12345678"));
    assert_eq!(forgotten, [text("a")]);
}

#[test]
fn only_ended_keys_are_forgotten() {
    let mut book = KeyBook::default();
    book.begin(&text("k"), &text("d"));

    book.forget(&text("k"));

    assert!(matches!(book.begin(&text("k"), &text("d")), Begin::Join(_)));
}
