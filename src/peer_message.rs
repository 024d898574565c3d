//! Messages between daemons, encoded with bincode.

use std::sync::Arc;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::daemon_registry::DaemonInfo;
use crate::fleet::Departure;
use crate::platform::HostEntry;
use crate::sheet_state::SheetRef;
use crate::wire::Outcome;

/// Largest message, in bytes.
pub(crate) const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// A message that could not be encoded or decoded.
#[derive(Debug, thiserror::Error)]
pub(crate) enum MessageError {
    #[error("cannot encode a peer message: {0}")]
    Encode(#[from] bincode::error::EncodeError),
    #[error("cannot decode a peer message: {0}")]
    Decode(#[from] bincode::error::DecodeError),
    #[error("a peer message has {0} bytes too many")]
    TrailingBytes(usize),
}

/// Load of one pool at one daemon.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct PoolLoad {
    pub(crate) pool: Arc<str>,
    pub(crate) in_flight: u32,
    pub(crate) queued: u32,
}

/// News that daemons tell each other.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Gossip {
    pub(crate) from: DaemonInfo,
    /// Newest accepted sheet heard of.
    pub(crate) sheet: Option<SheetRef>,
    /// Hosts that leave.
    pub(crate) departures: Vec<Departure>,
    /// Pools with load.
    pub(crate) load: Vec<PoolLoad>,
}

/// Everything that a starting daemon needs and cannot get from the platform.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Snapshot {
    pub(crate) sheet: Option<SheetRef>,
    pub(crate) sheet_body: Vec<u8>,
    pub(crate) hosts: Vec<HostEntry>,
    pub(crate) departures: Vec<Departure>,
    pub(crate) daemons: Vec<DaemonInfo>,
}

/// A request for the daemon that issued its ticket.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct ForwardedRequest {
    pub(crate) pool: Arc<str>,
    pub(crate) team: Arc<str>,
    pub(crate) caller: Arc<str>,
    pub(crate) method: String,
    /// Path and query that the endpoint sees.
    pub(crate) path: String,
    pub(crate) headers: Vec<(String, Vec<u8>)>,
    /// Time left when it was forwarded.
    pub(crate) deadline_ms: u64,
    /// The ticket.
    pub(crate) ticket: String,
    pub(crate) traceparent: String,
    pub(crate) body: Vec<u8>,
}

/// Answer to a forwarded request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct ForwardedResponse {
    pub(crate) outcome: Outcome,
    pub(crate) status: u16,
    pub(crate) headers: Vec<(String, Vec<u8>)>,
    pub(crate) body: Vec<u8>,
}

/// A message to a peer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum PeerRequest {
    Gossip(Gossip),
    Snapshot,
    Forward(ForwardedRequest),
}

/// A peer's answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum PeerReply {
    Gossip(Gossip),
    Snapshot(Snapshot),
    /// `None` if the request was malformed, or the daemon is stopping.
    Forward(Option<ForwardedResponse>),
}

fn config() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<MAX_MESSAGE_BYTES>()
}

/// Encodes a message.
pub(crate) fn encode(message: &impl Serialize) -> Result<Vec<u8>, MessageError> {
    Ok(bincode::serde::encode_to_vec(message, config())?)
}

/// Decodes a message that takes up all of `bytes`.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, MessageError> {
    let (message, used) = bincode::serde::decode_from_slice(bytes, config())?;
    if used < bytes.len() {
        return Err(MessageError::TrailingBytes(bytes.len() - used));
    }
    Ok(message)
}
