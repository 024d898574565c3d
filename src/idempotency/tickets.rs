//! Keys issued by one run of one daemon.

use std::sync::Arc;

use sha2::{Digest, Sha256};

use super::key_registry::{BeginResult, Completion, KeyRegistry};
use crate::sheet::hex;

const TICKET_PREFIX: &str = "ticket";
const SEPARATOR: char = '/';
const MAC_HEX_CHARS: usize = 12;
/// Ended tickets that are remembered; older ones are no longer told from unused ones.
const MAX_COMPLETED_TICKETS: usize = 16_384;
/// Memory for the answers of ended tickets.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

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
        if parts.next()? != TICKET_PREFIX {
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
pub(crate) enum TicketBegin {
    /// As for any key.
    Valid(BeginResult),
    /// This daemon never issued it.
    Forged,
    /// It is too old to know whether it was used.
    Expired,
}

/// Tickets of this run of this daemon.
#[derive(Debug)]
pub(crate) struct TicketRegistry {
    daemon: Arc<str>,
    incarnation: u64,
    secret: [u8; 16],
    last_number: u64,
    /// Tickets up to this number may have been forgotten.
    evicted_number: u64,
    keys: KeyRegistry,
}

impl TicketRegistry {
    pub(crate) fn new(daemon: &str, incarnation: u64, secret: [u8; 16]) -> TicketRegistry {
        TicketRegistry {
            daemon: daemon.into(),
            incarnation,
            secret,
            last_number: 0,
            evicted_number: 0,
            keys: KeyRegistry::default(),
        }
    }

    /// Issues a ticket; it takes no memory until it is used.
    pub(crate) fn issue(&mut self) -> String {
        self.last_number += 1;
        let number = self.last_number;
        let (daemon, incarnation, check) = (&self.daemon, self.incarnation, self.check(number));
        format!("{TICKET_PREFIX}{SEPARATOR}{daemon}{SEPARATOR}{incarnation:08x}{SEPARATOR}{number}{SEPARATOR}{check}")
    }

    /// Whether this run issued it.
    pub(crate) fn was_issued_here(&self, ticket: &Ticket) -> bool {
        ticket.daemon == self.daemon && ticket.incarnation == self.incarnation
    }

    /// Starts a request, or finds the one that has the ticket.
    pub(crate) fn begin(&mut self, ticket: &Ticket, digest: &Arc<str>) -> TicketBegin {
        if ticket.number > self.last_number || ticket.check != self.check(ticket.number) {
            return TicketBegin::Forged;
        }
        if ticket.number <= self.evicted_number && !self.keys.contains(&registry_key(ticket.number)) {
            return TicketBegin::Expired;
        }
        TicketBegin::Valid(self.keys.begin(&registry_key(ticket.number), digest))
    }

    /// Ends the request in progress.
    pub(crate) fn end(&mut self, ticket: &Ticket, ending: &Completion) {
        self.keys.end(&registry_key(ticket.number), ending);
        self.keys.evict_responses_over(MAX_RESPONSE_BYTES);
        for forgotten in self.keys.evict_completed_over(MAX_COMPLETED_TICKETS) {
            let number = forgotten.parse().unwrap_or(u64::MAX);
            self.evicted_number = self.evicted_number.max(number);
        }
    }

    fn check(&self, number: u64) -> String {
        let mut hasher = Sha256::new();
        hasher.update(self.secret);
        hasher.update(number.to_be_bytes());
        let mut check = hex(&hasher.finalize());
        check.truncate(MAC_HEX_CHARS);
        check
    }
}

/// Key of a ticket in the book.
fn registry_key(number: u64) -> Arc<str> {
    number.to_string().into()
}
