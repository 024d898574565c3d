//! Messages between daemons, encoded with bincode.

use std::sync::Arc;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::daemon_registry::DaemonInfo;
use crate::fleet::Departure;
use crate::platform::HostEntry;
use crate::sheet_state::SheetRef;
use crate::wire::Outcome;

/// Size limit of an encoded message.
pub(crate) const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// Why a message could not be encoded or decoded.
#[derive(Debug, thiserror::Error)]
pub(crate) enum MessageError {
    #[error("cannot encode a peer message: {0}")]
    Encode(#[from] bincode::error::EncodeError),
    #[error("cannot decode a peer message: {0}")]
    Decode(#[from] bincode::error::DecodeError),
    #[error("a peer message has {0} trailing bytes")]
    TrailingBytes(usize),
}

/// Requests of one daemon in progress at one pool.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct PoolLoad {
    pub(crate) pool: Arc<str>,
    /// Attempts in flight at the pool's endpoints.
    pub(crate) in_flight: u32,
    /// Requests queued for an endpoint.
    pub(crate) queued: u32,
}

/// State that daemons exchange with each other.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Gossip {
    pub(crate) from: DaemonInfo,
    /// Newest accepted sheet known to the sender.
    pub(crate) sheet: Option<SheetRef>,
    /// Recent departures of hosts.
    pub(crate) departures: Vec<Departure>,
    /// Load that the sender puts on its busiest pools.
    pub(crate) load: Vec<PoolLoad>,
}

/// What a daemon needs in order to serve callers, for a peer that cannot get it from the platform.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Snapshot {
    /// The sheet in force at the sender.
    pub(crate) sheet: Option<SheetRef>,
    /// Content of the sheet, empty if there is none.
    pub(crate) sheet_body: Vec<u8>,
    pub(crate) hosts: Vec<HostEntry>,
    /// Recent departures of hosts.
    pub(crate) departures: Vec<Departure>,
    /// Live daemons, including the sender.
    pub(crate) daemons: Vec<DaemonInfo>,
}

/// A request whose idempotency key is a ticket, forwarded to the daemon that issued the ticket.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct ForwardedRequest {
    pub(crate) pool: Arc<str>,
    pub(crate) team: Arc<str>,
    pub(crate) caller: Arc<str>,
    pub(crate) method: String,
    /// Path and query to send to the endpoint.
    pub(crate) path: String,
    pub(crate) headers: Vec<(String, Vec<u8>)>,
    /// Time that was left until the deadline when the request was forwarded.
    pub(crate) deadline_ms: u64,
    pub(crate) ticket: String,
    pub(crate) traceparent: String,
    pub(crate) body: Vec<u8>,
}

/// Response to a forwarded request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct ForwardedResponse {
    pub(crate) outcome: Outcome,
    pub(crate) status: u16,
    pub(crate) headers: Vec<(String, Vec<u8>)>,
    pub(crate) body: Vec<u8>,
}

/// A call to a peer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum PeerRequest {
    Gossip(Gossip),
    Snapshot,
    Forward(ForwardedRequest),
}

/// A peer's reply to the variant of [`PeerRequest`] with the same name.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum PeerReply {
    Gossip(Gossip),
    Snapshot(Snapshot),
    /// `None` if the request was malformed or the daemon is stopping.
    Forward(Option<ForwardedResponse>),
}

fn bincode_config() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<MAX_MESSAGE_BYTES>()
}

pub(crate) fn encode(message: &impl Serialize) -> Result<Vec<u8>, MessageError> {
    Ok(bincode::serde::encode_to_vec(message, bincode_config())?)
}

/// Decodes a message; trailing bytes are an error.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, MessageError> {
    let (message, consumed) = bincode::serde::decode_from_slice(bytes, bincode_config())?;
    if consumed < bytes.len() {
        return Err(MessageError::TrailingBytes(bytes.len() - consumed));
    }
    Ok(message)
}
