//! Keys issued by one run of one daemon.

use std::sync::Arc;

use sha2::{Digest, Sha256};

use super::key_registry::{Begin, Ending, KeyBook};
use crate::sheet::hex;

const PREFIX: &str = "ticket";
const SEPARATOR: char = '/';
const CHECK_CHARS: usize = 12;
/// Ended tickets that are remembered; older ones are no longer told from unused ones.
const MAX_ENDED: usize = 16_384;
/// Memory for the answers of ended tickets.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// A ticket's parts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Ticket {
    /// The key as the caller sent it.
    pub(crate) key: Arc<str>,
    /// Daemon that issued it.
    pub(crate) daemon: Arc<str>,
    /// Run of that daemon.
    pub(crate) incarnation: u64,
    number: u64,
    check: String,
}

impl Ticket {
    /// Reads a key; `None` if it is not a ticket.
    pub(crate) fn parse(key: &str) -> Option<Ticket> {
        let key: Arc<str> = key.into();
        let mut parts = key.split(SEPARATOR);
        if parts.next()? != PREFIX {
            return None;
        }
        let daemon = parts.next()?.into();
        let incarnation = u64::from_str_radix(parts.next()?, 16).ok()?;
        let number = parts.next()?.parse().ok()?;
        let check = parts.next()?.to_owned();
        let ended = parts.next().is_none();
        ended.then_some(Ticket { daemon, incarnation, number, check, key: key.clone() })
    }
}

/// What to do with a request that carries one of this daemon's tickets.
#[derive(Debug)]
pub(crate) enum Use {
    /// As for any key.
    Begin(Begin),
    /// This daemon never issued it.
    Forged,
    /// It is too old to know whether it was used.
    Expired,
}

/// Tickets of this run of this daemon.
#[derive(Debug)]
pub(crate) struct TicketBook {
    daemon: Arc<str>,
    incarnation: u64,
    secret: [u8; 16],
    last_number: u64,
    /// Tickets up to this number may have been forgotten.
    forgotten_number: u64,
    keys: KeyBook,
}

impl TicketBook {
    pub(crate) fn new(daemon: &str, incarnation: u64, secret: [u8; 16]) -> TicketBook {
        TicketBook {
            daemon: daemon.into(),
            incarnation,
            secret,
            last_number: 0,
            forgotten_number: 0,
            keys: KeyBook::default(),
        }
    }

    /// Issues a ticket; it takes no memory until it is used.
    pub(crate) fn issue(&mut self) -> String {
        self.last_number += 1;
        let number = self.last_number;
        let (daemon, incarnation, check) = (&self.daemon, self.incarnation, self.check(number));
        format!("{PREFIX}{SEPARATOR}{daemon}{SEPARATOR}{incarnation:08x}{SEPARATOR}{number}{SEPARATOR}{check}")
    }

    /// Whether this run issued it.
    pub(crate) fn is_own(&self, ticket: &Ticket) -> bool {
        ticket.daemon == self.daemon && ticket.incarnation == self.incarnation
    }

    /// Starts a request, or finds the one that has the ticket.
    pub(crate) fn begin(&mut self, ticket: &Ticket, digest: &Arc<str>) -> Use {
        if ticket.number > self.last_number || ticket.check != self.check(ticket.number) {
            return Use::Forged;
        }
        if ticket.number <= self.forgotten_number && !self.keys.contains(&book_key(ticket.number)) {
            return Use::Expired;
        }
        Use::Begin(self.keys.begin(&book_key(ticket.number), digest))
    }

    /// Ends the request in progress.
    pub(crate) fn end(&mut self, ticket: &Ticket, ending: &Ending) {
        self.keys.end(&book_key(ticket.number), ending);
        self.keys.drop_answers_beyond(MAX_ANSWER_BYTES);
        for forgotten in self.keys.forget_beyond(MAX_ENDED) {
            let number = forgotten.parse().unwrap_or(u64::MAX);
            self.forgotten_number = self.forgotten_number.max(number);
        }
    }

    fn check(&self, number: u64) -> String {
        let mut hasher = Sha256::new();
        hasher.update(self.secret);
        hasher.update(number.to_be_bytes());
        let mut check = hex(&hasher.finalize());
        check.truncate(CHECK_CHARS);
        check
    }
}

/// Key of a ticket in the book.
fn book_key(number: u64) -> Arc<str> {
    number.to_string().into()
}
