//! Client of the workers of the users' platform: starts and stops runs and renews leases. Also decodes the rows with
//! which workers register themselves.
//!
//! A run is one execution of a task. A worker runs tasks only while it holds a lease, and refuses orders with a fencing
//! token lower than one it has seen.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use serde::de::{SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize};

use super::http_client::{HttpCall, HttpClient, HttpResponse};
use super::limits::{bounded_ms, is_valid_ms, offered_resources};
use super::task_names::{format_task_name, parse_task_name};
use crate::endpoint_client::CallOutcome;
use crate::row_store::StoredRow;
use crate::sched::model::{
    ActiveRun, EndedRun, HoldAnswer, OrderOutcome, OrderRefusal, Resources, RunOutcome, TaskRef, WorkerEntry,
};

/// Timeout of an order, in addition to the time for which a lease renewal asks the worker to wait.
const ORDER_TIMEOUT_MS: u64 = 600;
/// Maximum number of ended runs that a worker lists in one answer.
const MAX_LISTED_ENDED_RUNS: usize = 500;
/// Header with the ID of the worker instance that an order is for; any other instance refuses the order.
const EXPECT_INSTANCE_HEADER: &str = "x-expect-instance";

/// ID and address of a worker.
#[derive(Debug, Clone)]
pub(crate) struct WorkerAddress {
    pub(crate) id: Arc<str>,
    pub(crate) address: SocketAddr,
}

/// Order to start a run of a task.
#[derive(Debug, Clone)]
pub(crate) struct StartOrder {
    pub(crate) task: TaskRef,
    pub(crate) run: u32,
    pub(crate) spec: Arc<str>,
    /// End of the lease, in milliseconds on the worker's clock.
    pub(crate) lease_end_ms: u64,
    pub(crate) fencing_token: u64,
    /// Checkpoint to resume from; empty if there is none.
    pub(crate) checkpoint: Arc<str>,
    /// Ticket of the advice service, if the step needs one.
    pub(crate) ticket: Option<Arc<str>>,
}

/// Renewal of a worker's lease.
#[derive(Debug, Clone)]
pub(crate) struct LeaseRenewal {
    /// New end of the lease, in milliseconds on the worker's clock. With `None`, the lease is not renewed and the
    /// worker only reports its runs.
    pub(crate) lease_end_ms: Option<u64>,
    pub(crate) fencing_token: u64,
    /// Number of the last ended run that the scheduler has stored; the worker may discard the ended runs up to it.
    pub(crate) acknowledged: u64,
    /// Time for which the worker may delay its response until a run ends.
    pub(crate) wait_ms: u64,
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct StartBody<'a> {
    task: String,
    run: u32,
    spec: &'a str,
    deadline_ms: u64,
    fence: u64,
    #[serde(skip_serializing_if = "str::is_empty")]
    last_checkpoint: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    ticket: Option<&'a str>,
}

#[derive(Serialize)]
struct StopBody {
    task: String,
    run: u32,
    fence: u64,
}

#[derive(Serialize)]
struct PaceBody {
    task: String,
    run: u32,
    percent: u32,
    fence: u64,
}

/// Body of a lease renewal.
#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct HoldBody {
    #[serde(skip_serializing_if = "Option::is_none")]
    deadline_ms: Option<u64>,
    fence: u64,
    ack_cursor: u64,
    #[serde(skip_serializing_if = "is_zero")]
    wait_ms: u64,
}

fn is_zero(value: &u64) -> bool {
    *value == 0
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct HoldResponseBody {
    clock_ms: u64,
    born: Option<u64>,
    running: Option<Vec<Option<ActiveRunArray>>>,
    ended_runs: Option<Vec<Option<EndedRunArray>>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct OrderResponseBody {
    clock_ms: Option<u64>,
    reason: Option<String>,
}

/// JSON array `[task, run, checkpoint, percent, load]`; the last two may be missing.
struct ActiveRunArray(ActiveRun);

/// JSON array `[number, task, run, outcome, checkpoint]`; the checkpoint may be missing.
struct EndedRunArray(EndedRun);

/// Name of a task.
struct TaskName(TaskRef);

/// Checkpoint of a run; empty if there is none, as for most runs.
#[derive(Default)]
struct Checkpoint(Arc<str>);

impl<'de> Deserialize<'de> for TaskName {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<TaskName, D::Error> {
        struct NameVisitor;
        impl Visitor<'_> for NameVisitor {
            type Value = TaskName;

            fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str("the name of a task")
            }

            fn visit_str<E: serde::de::Error>(self, name: &str) -> Result<TaskName, E> {
                parse_task_name(name).map(TaskName).ok_or_else(|| E::custom("invalid task name"))
            }
        }
        deserializer.deserialize_str(NameVisitor)
    }
}

impl<'de> Deserialize<'de> for Checkpoint {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Checkpoint, D::Error> {
        struct CheckpointVisitor;
        impl Visitor<'_> for CheckpointVisitor {
            type Value = Checkpoint;

            fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str("a checkpoint")
            }

            fn visit_str<E: serde::de::Error>(self, text: &str) -> Result<Checkpoint, E> {
                match text {
                    "" => Ok(Checkpoint::default()),
                    text => Ok(Checkpoint(text.into())),
                }
            }
        }
        deserializer.deserialize_str(CheckpointVisitor)
    }
}

impl<'de> Deserialize<'de> for ActiveRunArray {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<ActiveRunArray, D::Error> {
        struct ArrayVisitor;
        impl<'de> Visitor<'de> for ArrayVisitor {
            type Value = ActiveRunArray;

            fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str("an array that describes an active run")
            }

            fn visit_seq<A: SeqAccess<'de>>(self, mut array: A) -> Result<ActiveRunArray, A::Error> {
                use serde::de::Error;
                let missing = || A::Error::custom("the array of an active run is too short");
                let TaskName(task) = array.next_element()?.ok_or_else(missing)?;
                let run = array.next_element()?.ok_or_else(missing)?;
                let Checkpoint(checkpoint) = array.next_element()?.ok_or_else(missing)?;
                let percent: f64 = array.next_element()?.unwrap_or(0.0);
                let load: Option<f64> = array.next_element::<Option<f64>>()?.flatten();
                while array.next_element::<serde::de::IgnoredAny>()?.is_some() {}
                let load = load.map(|load| load.max(0.0) as u64);
                Ok(ActiveRunArray(ActiveRun { task, run, checkpoint, percent: percent.max(0.0) as u32, load }))
            }
        }
        deserializer.deserialize_seq(ArrayVisitor)
    }
}

impl<'de> Deserialize<'de> for EndedRunArray {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<EndedRunArray, D::Error> {
        struct ArrayVisitor;
        impl<'de> Visitor<'de> for ArrayVisitor {
            type Value = EndedRunArray;

            fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str("an array that describes an ended run")
            }

            fn visit_seq<A: SeqAccess<'de>>(self, mut array: A) -> Result<EndedRunArray, A::Error> {
                use serde::de::Error;
                let missing = || A::Error::custom("the array of an ended run is too short");
                let number = array.next_element()?.ok_or_else(missing)?;
                let TaskName(task) = array.next_element()?.ok_or_else(missing)?;
                let run = array.next_element()?.ok_or_else(missing)?;
                let outcome: String = array.next_element()?.ok_or_else(missing)?;
                let outcome =
                    parse_run_outcome(&outcome).ok_or_else(|| A::Error::custom("unknown outcome of a run"))?;
                let Checkpoint(checkpoint) = array.next_element()?.unwrap_or_default();
                while array.next_element::<serde::de::IgnoredAny>()?.is_some() {}
                Ok(EndedRunArray(EndedRun { number, task, run, outcome, checkpoint }))
            }
        }
        deserializer.deserialize_seq(ArrayVisitor)
    }
}

fn parse_run_outcome(text: &str) -> Option<RunOutcome> {
    match text {
        "done" => Some(RunOutcome::Done),
        "failed" => Some(RunOutcome::Failed),
        "stopped" => Some(RunOutcome::Stopped),
        "lapsed" => Some(RunOutcome::LeaseExpired),
        "broken" => Some(RunOutcome::GangMemberEnded),
        "alone" => Some(RunOutcome::GangIncomplete),
        _ => None,
    }
}

/// Client of the workers.
#[derive(Clone)]
pub(crate) struct WorkerClient {
    http_client: Rc<HttpClient>,
}

impl WorkerClient {
    pub(crate) fn new(http_client: Rc<HttpClient>) -> WorkerClient {
        WorkerClient { http_client }
    }

    pub(crate) async fn start_run(&self, worker: &WorkerAddress, order: &StartOrder) -> OrderOutcome {
        let body = StartBody {
            task: format_task_name(&order.task),
            run: order.run,
            spec: &order.spec,
            deadline_ms: order.lease_end_ms,
            fence: order.fencing_token,
            last_checkpoint: &order.checkpoint,
            ticket: order.ticket.as_deref(),
        };
        self.send_order(worker, "/run-start", encode(&body)).await
    }

    pub(crate) async fn stop_run(
        &self,
        worker: &WorkerAddress,
        task: &TaskRef,
        run: u32,
        fencing_token: u64,
    ) -> OrderOutcome {
        let body = StopBody { task: format_task_name(task), run, fence: fencing_token };
        self.send_order(worker, "/run-stop", encode(&body)).await
    }

    /// Limits a run to this percentage of its processor time.
    pub(crate) async fn set_pace(
        &self,
        worker: &WorkerAddress,
        task: &TaskRef,
        run: u32,
        percent: u32,
        fencing_token: u64,
    ) -> OrderOutcome {
        let body = PaceBody { task: format_task_name(task), run, percent, fence: fencing_token };
        self.send_order(worker, "/pace", encode(&body)).await
    }

    /// Renews the worker's lease, which covers all of its runs. Returns the active runs and those that have ended since
    /// the acknowledged one.
    pub(crate) async fn renew_lease(
        &self,
        worker: &WorkerAddress,
        renewal: &LeaseRenewal,
    ) -> Result<HoldAnswer, OrderOutcome> {
        let body = HoldBody {
            deadline_ms: renewal.lease_end_ms,
            fence: renewal.fencing_token,
            ack_cursor: renewal.acknowledged,
            wait_ms: renewal.wait_ms,
        };
        let timeout_ms = renewal.wait_ms + ORDER_TIMEOUT_MS;
        let response = self.send(worker, "/hold", encode(&body), timeout_ms).await?;
        if response.status != 200 {
            return Err(decode_refusal(&response));
        }
        decode_hold_response(&response.body).map_err(|error| {
            log::warn!("worker={} error={error} outcome=invalid_response", worker.id);
            OrderOutcome::Refused(OrderRefusal::Invalid)
        })
    }

    async fn send_order(&self, worker: &WorkerAddress, path: &str, body: Bytes) -> OrderOutcome {
        let response = match self.send(worker, path, body, ORDER_TIMEOUT_MS).await {
            Ok(response) => response,
            Err(outcome) => return outcome,
        };
        if response.status != 200 {
            return decode_refusal(&response);
        }
        let body: Option<OrderResponseBody> = serde_json::from_slice(&response.body).ok();
        OrderOutcome::Accepted { clock_ms: body.and_then(|body| body.clock_ms).filter(|ms| is_valid_ms(*ms)) }
    }

    async fn send(
        &self,
        worker: &WorkerAddress,
        path: &str,
        body: Bytes,
        timeout_ms: u64,
    ) -> Result<HttpResponse, OrderOutcome> {
        let headers = [(EXPECT_INSTANCE_HEADER, &*worker.id)];
        let call = HttpCall::post(worker.address, path, &headers, body, timeout_ms);
        let sent = self.http_client.send(call).await;
        sent.map_err(|failure| match failure {
            CallOutcome::NotSent(_) => OrderOutcome::NotSent,
            CallOutcome::Lost { .. } | CallOutcome::Answered(_) => OrderOutcome::Unanswered,
        })
    }
}

/// Decodes a worker's response to a lease renewal. A list that is missing, is cut at the maximum or has entries that are
/// null does not tell which runs the worker does not have. Ended runs that follow a null entry are not read: their numbers
/// would acknowledge it.
pub(crate) fn decode_hold_response(body: &[u8]) -> Result<HoldAnswer, serde_json::Error> {
    let response: HoldResponseBody = serde_json::from_slice(body)?;
    if !is_valid_ms(response.clock_ms) {
        return Err(serde::de::Error::custom("clockMs is larger than any clock can show"));
    }
    let has_both_lists = response.running.is_some() && response.ended_runs.is_some();
    let (running, ended_runs) = (response.running.unwrap_or_default(), response.ended_runs.unwrap_or_default());
    let has_null = running.iter().any(Option::is_none) || ended_runs.iter().any(Option::is_none);
    let is_complete = has_both_lists && !has_null && ended_runs.len() < MAX_LISTED_ENDED_RUNS;
    Ok(HoldAnswer {
        clock_ms: response.clock_ms,
        started_unix_ms: response.born,
        is_complete,
        running: running.into_iter().flatten().map(|array| array.0).collect(),
        ended: ended_runs.into_iter().map_while(|entry| entry).map(|array| array.0).collect(),
    })
}

fn decode_refusal(response: &HttpResponse) -> OrderOutcome {
    let body: Option<OrderResponseBody> = serde_json::from_slice(&response.body).ok();
    let reason = body.and_then(|body| body.reason);
    let refusal = match (response.status, reason.as_deref()) {
        (409, Some("fence")) => OrderRefusal::Fenced,
        (409, Some("old")) => OrderRefusal::StaleRun,
        (409, Some("late")) => OrderRefusal::LeaseExpired,
        (409, Some("room")) => OrderRefusal::InsufficientCapacity,
        (409, Some("ticket")) => OrderRefusal::TicketRejected,
        (421, _) => OrderRefusal::WrongWorker,
        (429 | 503, _) => OrderRefusal::Unhealthy,
        // Whether a worker that answers like this has carried out the order is not known.
        (200..=299 | 500..=599, _) => return OrderOutcome::Unanswered,
        _ => OrderRefusal::Invalid,
    };
    OrderOutcome::Refused(refusal)
}

fn encode<T: Serialize>(body: &T) -> Bytes {
    // Serializing a struct of strings and numbers cannot fail.
    serde_json::to_vec(body).unwrap_or_default().into()
}

/// What a worker writes of itself. An entry in which a field is missing or has another type comes from another writer, so
/// the fields that the scheduler does not need are read as well.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WorkerEntryBody {
    service: Arc<str>,
    addr: SocketAddr,
    zone: Arc<str>,
    #[serde(rename = "version")]
    _version: String,
    #[serde(rename = "slots")]
    _slots: f64,
    state: WorkerState,
    #[serde(rename = "coldRemainingMs")]
    _cold_remaining_ms: f64,
    #[serde(rename = "seq")]
    _seq: f64,
    remaining_ms: Option<f64>,
    // Start of this worker instance, in Unix milliseconds.
    born: Option<u64>,
    capacity: WorkerCapacityBody,
    labels: Vec<Arc<str>>,
    machine: Option<Arc<str>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WorkerCapacityBody {
    cpu: f64,
    mem_mb: f64,
    gpu: f64,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
enum WorkerState {
    Ready,
    Draining,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct CapacityBody {
    #[serde(default)]
    cpu: f64,
    #[serde(default)]
    mem_mb: f64,
    #[serde(default)]
    gpu: f64,
}

impl CapacityBody {
    /// `None` if no worker can have these.
    pub(super) fn resources(&self) -> Option<Resources> {
        offered_resources(self.cpu, self.mem_mb, self.gpu)
    }
}

/// Decodes a worker's registration; `None` if the row was deleted or is not one that a worker writes.
pub(crate) fn decode_worker_entry(row: &StoredRow) -> Option<WorkerEntry> {
    let body: WorkerEntryBody = serde_json::from_slice(row.value.as_deref()?).ok()?;
    let capacity = offered_resources(body.capacity.cpu, body.capacity.mem_mb, body.capacity.gpu)?;
    Some(WorkerEntry {
        id: row.id.key.clone(),
        address: body.addr,
        pool: body.service,
        zone: body.zone,
        started_unix_ms: body.born.unwrap_or(0),
        draining: body.state == WorkerState::Draining,
        remaining_ms: bounded_ms(body.remaining_ms.unwrap_or(0.0) as u64),
        capacity,
        labels: body.labels.into(),
        host: body.machine,
    })
}
