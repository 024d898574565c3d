//! Tests of tickets.

use std::sync::Arc;

use super::key_registry::{Begin, Ending};
use super::tickets::{Ticket, TicketBook, Use};
use super::Final;

fn book(daemon: &str, incarnation: u64) -> TicketBook {
    TicketBook::new(daemon, incarnation, [7; 16])
}

fn digest() -> Arc<str> {
    "digest".into()
}

fn parse(key: &str) -> Ticket {
    Ticket::parse(key).expect("a ticket")
}

#[test]
fn only_the_run_that_issued_a_ticket_owns_it() {
    let mut issuer = book("d1", 1);
    let ticket = parse(&issuer.issue());

    assert!(issuer.is_own(&ticket));
    assert!(!book("d1", 2).is_own(&ticket), "a later run of the same daemon");
    assert!(!book("d2", 1).is_own(&ticket));
    assert_eq!((&*ticket.daemon, ticket.incarnation), ("d1", 1));
}

#[test]
fn a_ticket_begins_one_request() {
    let mut issuer = book("d1", 1);
    let ticket = parse(&issuer.issue());

    let first = issuer.begin(&ticket, &digest());
    let second = issuer.begin(&ticket, &digest());
    issuer.end(&ticket, &Ending::Final(Final::Unknown.into()));
    let third = issuer.begin(&ticket, &digest());

    assert!(matches!(first, Use::Begin(Begin::Fresh)));
    assert!(matches!(second, Use::Begin(Begin::Join(_))));
    assert!(matches!(third, Use::Begin(Begin::Ended(_))));
}

#[test]
fn forged_tickets_are_refused() {
    let mut issuer = book("d1", 1);
    let key = issuer.issue();
    let ticket = parse(&key);
    let next = key.replace("/1/", "/2/");
    let other_check = format!("{}0", &key[..key.len() - 1]);

    assert!(matches!(issuer.begin(&parse(&next), &digest()), Use::Forged));
    let changed = parse(&other_check);
    assert!(changed == ticket || matches!(issuer.begin(&changed, &digest()), Use::Forged));
}

#[test]
fn other_keys_are_not_tickets() {
    for key in ["", "ticket", "order-7", "ticket/d1/zz/1/abc", "ticket/d1/1/x/abc", "ticket/d1/1/1/abc/more"] {
        assert_eq!(Ticket::parse(key), None, "{key}");
    }
}

#[test]
fn tickets_older_than_forgotten_ones_are_not_used_again() {
    let mut issuer = book("d1", 1);
    let unused = parse(&issuer.issue());
    let first = parse(&issuer.issue());
    issuer.begin(&first, &digest());
    issuer.end(&first, &Ending::Final(Final::Unknown.into()));
    for _ in 0..16_384 {
        let ticket = parse(&issuer.issue());
        issuer.begin(&ticket, &digest());
        issuer.end(&ticket, &Ending::Final(Final::Unknown.into()));
    }

    assert!(matches!(issuer.begin(&first, &digest()), Use::Expired));
    assert!(matches!(issuer.begin(&unused, &digest()), Use::Expired));
    let newest = parse(&issuer.issue());
    assert!(matches!(issuer.begin(&newest, &digest()), Use::Begin(Begin::Fresh)));
}
