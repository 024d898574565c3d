//! The provider's list of hosts, and orders to move or maintain them.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::call::Caller;
use super::workers::CapacityBody;
use crate::endpoint_client::CallEnd;
use crate::sched::model::{HostOrderOutcome, HostPhase, HostRecord};

const CALL_TIMEOUT_MS: u64 = 1_500;
const HOLDER: &str = "x-holder";
const FENCING_TOKEN: &str = "x-fencing-token";

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct ListBody {
    machines: Vec<MachineBody>,
    next_token: Option<serde_json::Value>,
}

#[derive(Deserialize)]
struct MachineBody {
    machine: Arc<str>,
    pool: Arc<str>,
    state: MachineState,
    #[serde(default)]
    zone: Arc<str>,
    #[serde(default)]
    labels: Vec<Arc<str>>,
    capacity: Option<CapacityBody>,
    // The worker on it; absent while the machine is not up.
    id: Option<Arc<str>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum MachineState {
    Up,
    Moving,
    Upkeep,
    Down,
}

#[derive(Serialize)]
struct MoveBody<'a> {
    machine: &'a str,
    pool: &'a str,
}

#[derive(Serialize)]
struct UpkeepBody<'a> {
    machine: &'a str,
    wave: u64,
}

#[derive(Deserialize)]
struct RefusalBody {
    reason: Option<String>,
}

/// Client of the provider's interface to hosts.
#[derive(Clone)]
pub(crate) struct HostClient {
    caller: Rc<Caller>,
    address: SocketAddr,
    holder: Arc<str>,
}

impl HostClient {
    pub(crate) fn new(caller: Rc<Caller>, address: SocketAddr, holder: Arc<str>) -> HostClient {
        HostClient { caller, address, holder }
    }

    /// All hosts; `Err` holds the reason why the list could not be read whole.
    pub(crate) async fn list(&self) -> Result<Vec<HostRecord>, String> {
        let mut hosts = Vec::new();
        let mut token: Option<String> = None;
        loop {
            let path = match &token {
                Some(token) => format!("/machines?pageToken={token}"),
                None => "/machines".to_owned(),
            };
            let reply = self.caller.call(self.address, "GET", &path, &[], Bytes::new(), CALL_TIMEOUT_MS).await;
            let reply = reply.map_err(|end| format!("{end:?}"))?;
            if reply.status != 200 {
                return Err(format!("status {}", reply.status));
            }
            let body: ListBody = serde_json::from_slice(&reply.body).map_err(|error| error.to_string())?;
            hosts.extend(body.machines.into_iter().map(host));
            token = match body.next_token {
                Some(serde_json::Value::String(text)) if !text.is_empty() => Some(text),
                Some(serde_json::Value::Number(number)) => Some(number.to_string()),
                _ => return Ok(hosts),
            };
        }
    }

    /// Takes a host out of its pool, ending all that runs there, and puts it into another one.
    pub(crate) async fn move_to(&self, host: &str, pool: &str, fencing_token: u64) -> HostOrderOutcome {
        self.duty("/machine-move", &MoveBody { machine: host, pool }, fencing_token).await
    }

    /// Takes a host down for its maintenance, ending all that runs there.
    pub(crate) async fn maintain(&self, host: &str, wave: u64, fencing_token: u64) -> HostOrderOutcome {
        self.duty("/machine-upkeep", &UpkeepBody { machine: host, wave }, fencing_token).await
    }

    async fn duty<T: Serialize>(&self, path: &str, body: &T, fencing_token: u64) -> HostOrderOutcome {
        let token = fencing_token.to_string();
        let headers = [(HOLDER, &*self.holder), (FENCING_TOKEN, &*token)];
        // Plain structs of texts and numbers always serialize.
        let body = serde_json::to_vec(body).unwrap_or_default().into();
        let reply = match self.caller.call(self.address, "POST", path, &headers, body, CALL_TIMEOUT_MS).await {
            Ok(reply) => reply,
            Err(CallEnd::NotSent(_)) => return HostOrderOutcome::NotDone,
            Err(_) => return HostOrderOutcome::Unanswered,
        };
        let refused: Option<RefusalBody> = serde_json::from_slice(&reply.body).ok();
        let reason = refused.and_then(|body| body.reason);
        match (reply.status, reason.as_deref()) {
            (200, _) => HostOrderOutcome::Done,
            (409, Some("busy")) => HostOrderOutcome::Busy,
            (409, Some("wave")) => HostOrderOutcome::NotInWave,
            (409, Some("fence")) => HostOrderOutcome::Fenced,
            (400, _) => HostOrderOutcome::Invalid,
            (429, _) => HostOrderOutcome::Throttled,
            (503, _) => HostOrderOutcome::NotDone,
            _ => HostOrderOutcome::Unanswered,
        }
    }
}

fn host(body: MachineBody) -> HostRecord {
    HostRecord {
        name: body.machine,
        pool: body.pool,
        phase: match body.state {
            MachineState::Up => HostPhase::Up,
            MachineState::Moving => HostPhase::Moving,
            MachineState::Upkeep => HostPhase::Maintenance,
            MachineState::Down => HostPhase::Down,
        },
        worker: body.id,
        zone: body.zone,
        labels: body.labels,
        capacity: body.capacity.map(|capacity| capacity.resources()).unwrap_or_default(),
    }
}
