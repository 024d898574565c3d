//! Tickets: idempotency keys issued by one incarnation of a daemon.
//!
//! A ticket has the form `ticket/DAEMON/INCARNATION/NUMBER/MAC`. The MAC lets the issuer recognise its tickets without
//! storing them.

use std::sync::Arc;

use sha2::{Digest, Sha256};

use super::key_registry::{BeginResult, Completion, KeyRegistry};
use crate::sheet::hex;

const TICKET_PREFIX: &str = "ticket";
const SEPARATOR: char = '/';
const MAC_HEX_CHARS: usize = 12;
/// Maximum number of completed tickets that are kept. Once evicted, they cannot be told from unused ones.
const MAX_COMPLETED_TICKETS: usize = 16_384;
/// Maximum size of the stored response bodies of completed tickets, as base64.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// A parsed ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Ticket {
    /// The key as the caller sent it.
    pub(crate) key: Arc<str>,
    /// Name of the daemon that issued the ticket.
    pub(crate) daemon: Arc<str>,
    /// Incarnation of that daemon.
    pub(crate) incarnation: u64,
    number: u64,
    mac: String,
}

impl Ticket {
    /// Parses a key. Returns `None` if it does not have the form of a ticket.
    pub(crate) fn parse(key: &str) -> Option<Ticket> {
        let key: Arc<str> = key.into();
        let mut parts = key.split(SEPARATOR);
        if parts.next()? != TICKET_PREFIX {
            return None;
        }
        let daemon = parts.next()?.into();
        let incarnation = u64::from_str_radix(parts.next()?, 16).ok()?;
        let number = parts.next()?.parse().ok()?;
        let mac = parts.next()?.to_owned();
        let at_end = parts.next().is_none();
        at_end.then_some(Ticket { daemon, incarnation, number, mac, key: key.clone() })
    }
}

/// Result of [`TicketRegistry::begin`].
#[derive(Debug)]
pub(crate) enum TicketBeginResult {
    /// The ticket is valid; its key was looked up or reserved.
    Valid(BeginResult),
    /// This incarnation did not issue the ticket.
    Forged,
    /// The ticket is so old that this daemon no longer knows whether it was used.
    Expired,
}

/// Issues tickets, and tracks the requests that use them.
#[derive(Debug)]
pub(crate) struct TicketRegistry {
    daemon: Arc<str>,
    incarnation: u64,
    secret: [u8; 16],
    last_number: u64,
    /// Highest number of an evicted ticket. Tickets with lower numbers may have been evicted, too.
    highest_evicted_number: u64,
    keys: KeyRegistry,
}

impl TicketRegistry {
    pub(crate) fn new(daemon: &str, incarnation: u64, secret: [u8; 16]) -> TicketRegistry {
        TicketRegistry {
            daemon: daemon.into(),
            incarnation,
            secret,
            last_number: 0,
            highest_evicted_number: 0,
            keys: KeyRegistry::default(),
        }
    }

    /// Issues a ticket. It takes no memory until a request uses it.
    pub(crate) fn issue(&mut self) -> String {
        self.last_number += 1;
        let number = self.last_number;
        let (daemon, incarnation, mac) = (&self.daemon, self.incarnation, self.mac(number));
        format!("{TICKET_PREFIX}{SEPARATOR}{daemon}{SEPARATOR}{incarnation:08x}{SEPARATOR}{number}{SEPARATOR}{mac}")
    }

    /// Whether the ticket names this daemon and incarnation as its issuer. The MAC is not verified.
    pub(crate) fn is_issuer_of(&self, ticket: &Ticket) -> bool {
        ticket.daemon == self.daemon && ticket.incarnation == self.incarnation
    }

    /// Verifies a ticket and reserves it for a new request, or finds the request that already uses it.
    pub(crate) fn begin(&mut self, ticket: &Ticket, digest: &Arc<str>) -> TicketBeginResult {
        if ticket.number > self.last_number || ticket.mac != self.mac(ticket.number) {
            return TicketBeginResult::Forged;
        }
        if ticket.number <= self.highest_evicted_number && !self.keys.contains(&registry_key(ticket.number)) {
            return TicketBeginResult::Expired;
        }
        TicketBeginResult::Valid(self.keys.begin(&registry_key(ticket.number), digest))
    }

    /// Completes the request in progress, and evicts old responses and tickets.
    pub(crate) fn complete(&mut self, ticket: &Ticket, completion: &Completion) {
        self.keys.complete(&registry_key(ticket.number), completion);
        self.keys.evict_responses_over(MAX_RESPONSE_BYTES);
        for evicted in self.keys.evict_completed_over(MAX_COMPLETED_TICKETS) {
            let number = evicted.parse().unwrap_or(u64::MAX);
            self.highest_evicted_number = self.highest_evicted_number.max(number);
        }
    }

    /// Message authentication code of a ticket number, as a truncated hex string.
    fn mac(&self, number: u64) -> String {
        let mut hasher = Sha256::new();
        hasher.update(self.secret);
        hasher.update(number.to_be_bytes());
        let mut mac = hex(&hasher.finalize());
        mac.truncate(MAC_HEX_CHARS);
        mac
    }
}

/// Key of a ticket in the [`KeyRegistry`].
fn registry_key(number: u64) -> Arc<str> {
    number.to_string().into()
}
