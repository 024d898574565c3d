//! Tests of tickets.

use std::sync::Arc;

use super::key_registry::{BeginResult, Completion};
use super::tickets::{Ticket, TicketBeginResult, TicketRegistry};
use super::FinalResult;

fn registry(daemon: &str, incarnation: u64) -> TicketRegistry {
    TicketRegistry::new(daemon, incarnation, [7; 16])
}

fn digest() -> Arc<str> {
    "digest".into()
}

fn parse(key: &str) -> Ticket {
    Ticket::parse(key).expect("well-formed ticket")
}

#[test]
fn only_the_issuing_incarnation_is_the_issuer_of_a_ticket() {
    let mut issuer = registry("d1", 1);
    let ticket = parse(&issuer.issue());

    assert!(issuer.is_issuer_of(&ticket));
    assert!(!registry("d1", 2).is_issuer_of(&ticket), "a later incarnation of the same daemon");
    assert!(!registry("d2", 1).is_issuer_of(&ticket));
    assert_eq!((&*ticket.daemon, ticket.incarnation), ("d1", 1));
}

#[test]
fn a_ticket_starts_only_one_request() {
    let mut issuer = registry("d1", 1);
    let ticket = parse(&issuer.issue());

    let first = issuer.begin(&ticket, &digest());
    let second = issuer.begin(&ticket, &digest());
    issuer.complete(&ticket, &Completion::Final(FinalResult::Unknown.into()));
    let third = issuer.begin(&ticket, &digest());

    assert!(matches!(first, TicketBeginResult::Valid(BeginResult::New)));
    assert!(matches!(second, TicketBeginResult::Valid(BeginResult::InProgress(_))));
    assert!(matches!(third, TicketBeginResult::Valid(BeginResult::Completed(_))));
}

#[test]
fn forged_tickets_are_refused() {
    let mut issuer = registry("d1", 1);
    let key = issuer.issue();
    let ticket = parse(&key);
    let next = key.replace("/1/", "/2/");
    let other_mac = format!("{}0", &key[..key.len() - 1]);

    assert!(matches!(issuer.begin(&parse(&next), &digest()), TicketBeginResult::Forged));
    let changed = parse(&other_mac);
    // The replaced digit may happen to be the right one.
    assert!(changed == ticket || matches!(issuer.begin(&changed, &digest()), TicketBeginResult::Forged));
}

#[test]
fn other_keys_are_not_tickets() {
    for key in ["", "ticket", "order-7", "ticket/d1/zz/1/abc", "ticket/d1/1/x/abc", "ticket/d1/1/1/abc/more"] {
        assert_eq!(Ticket::parse(key), None, "{key}");
    }
}

#[test]
fn tickets_older_than_evicted_ones_are_expired() {
    let mut issuer = registry("d1", 1);
    let unused = parse(&issuer.issue());
    let first = parse(&issuer.issue());
    issuer.begin(&first, &digest());
    issuer.complete(&first, &Completion::Final(FinalResult::Unknown.into()));
    for _ in 0..16_384 {
        let ticket = parse(&issuer.issue());
        issuer.begin(&ticket, &digest());
        issuer.complete(&ticket, &Completion::Final(FinalResult::Unknown.into()));
    }

    assert!(matches!(issuer.begin(&first, &digest()), TicketBeginResult::Expired));
    assert!(matches!(issuer.begin(&unused, &digest()), TicketBeginResult::Expired));
    let newest = parse(&issuer.issue());
    assert!(matches!(issuer.begin(&newest, &digest()), TicketBeginResult::Valid(BeginResult::New)));
}
