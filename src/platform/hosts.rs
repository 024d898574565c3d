//! Client of the host provider of the users' platform. The provider lists the hosts, moves them between pools and takes
//! them down for maintenance.
//!
//! In the provider's messages, a host is a machine.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use super::http_client::{path_with_query, HttpCall, HttpClient};
use super::workers::CapacityBody;
use crate::endpoint_client::CallOutcome;
use crate::sched::model::{HostList, HostOrderOutcome, HostPhase, HostRecord};

const CALL_TIMEOUT_MS: u64 = 1_500;
/// Header with the name of the daemon that sends the order.
const HOLDER_HEADER: &str = "x-holder";
/// Header with the sender's fencing token; the provider refuses a token lower than one it has seen.
const FENCING_TOKEN_HEADER: &str = "x-fencing-token";

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct ListBody<T> {
    machines: Vec<T>,
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
    // ID of the worker on the machine; absent while the machine is not up.
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

/// Client of the host provider.
#[derive(Clone)]
pub(crate) struct HostClient {
    http_client: Rc<HttpClient>,
    address: SocketAddr,
    /// Name of this daemon.
    holder: Arc<str>,
}

impl HostClient {
    pub(crate) fn new(http_client: Rc<HttpClient>, address: SocketAddr, holder: Arc<str>) -> HostClient {
        HostClient { http_client, address, holder }
    }

    /// Reads all pages of the host list. An error is the text to log.
    pub(crate) async fn list(&self) -> Result<HostList, String> {
        let mut list = HostList { hosts: Vec::new(), is_complete: true };
        let mut page_tokens: Vec<String> = Vec::new();
        loop {
            let path = match page_tokens.last() {
                Some(page_token) => path_with_query("/machines", &[("pageToken", page_token)]),
                None => "/machines".to_owned(),
            };
            let response = self.http_client.send(HttpCall::get(self.address, &path, CALL_TIMEOUT_MS)).await;
            let response = response.map_err(|failure| format!("{failure:?}"))?;
            if response.status != 200 {
                return Err(format!("HTTP status {}", response.status));
            }
            let page_token = append_page(&mut list, &response.body).map_err(|error| error.to_string())?;
            let Some(page_token) = page_token else { return Ok(list) };
            if page_tokens.contains(&page_token) {
                return Err(format!("the page token {page_token:?} is repeated"));
            }
            page_tokens.push(page_token);
        }
    }

    /// Moves a host to another pool. All tasks that run on it end.
    pub(crate) async fn move_to(&self, host: &str, pool: &str, fencing_token: u64) -> HostOrderOutcome {
        self.send_order("/machine-move", &MoveBody { machine: host, pool }, fencing_token).await
    }

    /// Takes a host of a maintenance wave down for its maintenance. All tasks that run on it end.
    pub(crate) async fn maintain(&self, host: &str, wave: u64, fencing_token: u64) -> HostOrderOutcome {
        self.send_order("/machine-upkeep", &UpkeepBody { machine: host, wave }, fencing_token).await
    }

    async fn send_order<T: Serialize>(&self, path: &str, body: &T, fencing_token: u64) -> HostOrderOutcome {
        let token = fencing_token.to_string();
        let headers = [(HOLDER_HEADER, &*self.holder), (FENCING_TOKEN_HEADER, &*token)];
        // Serializing a struct of strings and numbers cannot fail.
        let body = serde_json::to_vec(body).unwrap_or_default().into();
        let call = HttpCall::post(self.address, path, &headers, body, CALL_TIMEOUT_MS);
        let response = match self.http_client.send(call).await {
            Ok(response) => response,
            Err(CallOutcome::NotSent(_)) => return HostOrderOutcome::NotDone,
            Err(_) => return HostOrderOutcome::Unanswered,
        };
        let refusal: Option<RefusalBody> = serde_json::from_slice(&response.body).ok();
        let reason = refusal.and_then(|body| body.reason);
        match (response.status, reason.as_deref()) {
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

/// Appends a page of the host list, and returns the token of the next one. An entry that cannot be read is left out.
fn append_page(list: &mut HostList, page: &[u8]) -> Result<Option<String>, serde_json::Error> {
    if let Ok(body) = serde_json::from_slice::<ListBody<MachineBody>>(page) {
        list.hosts.extend(body.machines.into_iter().map(decode_host));
        return Ok(body.next_token.and_then(decode_page_token));
    }
    let body: ListBody<&RawValue> = serde_json::from_slice(page)?;
    for entry in body.machines {
        match serde_json::from_str::<MachineBody>(entry.get()) {
            Ok(machine) => list.hosts.push(decode_host(machine)),
            Err(error) => {
                metrics::counter!("unreadable_hosts_total").increment(1);
                log::debug!("error={error} outcome=host_unreadable");
                list.is_complete = false;
            }
        }
    }
    Ok(body.next_token.and_then(decode_page_token))
}

/// The token of the next page; `None` if there is none.
fn decode_page_token(value: serde_json::Value) -> Option<String> {
    match value {
        serde_json::Value::String(text) if !text.is_empty() => Some(text),
        serde_json::Value::Number(number) => Some(number.to_string()),
        _ => None,
    }
}

fn decode_host(body: MachineBody) -> HostRecord {
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
        labels: body.labels.into(),
        capacity: body.capacity.and_then(|capacity| capacity.resources()).unwrap_or_default(),
    }
}
