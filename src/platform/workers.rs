//! Orders to workers, their answers, and the entries in which they register themselves.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use serde::de::{SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize};

use super::call::{Caller, Reply};
use super::names::{parse_task, task_name};
use crate::endpoint_client::CallEnd;
use crate::sched::model::{
    ActiveRun, EndedRun, HoldAnswer, OrderOutcome, OrderRefusal, Resources, RunOutcome, TaskRef, WorkerEntry,
};
use crate::store::StoredRow;

/// Time after which an order counts as unanswered.
const ORDER_TIMEOUT_MS: u64 = 600;
/// Header that names the life of the worker that an order is for.
const EXPECT_WORKER: &str = "x-expect-instance";

/// A worker's address and identity.
#[derive(Debug, Clone)]
pub(crate) struct WorkerAddress {
    pub(crate) id: Arc<str>,
    pub(crate) address: SocketAddr,
}

/// Order to start a work item.
#[derive(Debug, Clone)]
pub(crate) struct StartOrder {
    pub(crate) task: TaskRef,
    pub(crate) run: u32,
    pub(crate) spec: Arc<str>,
    /// End of the lease on the worker's clock.
    pub(crate) lease_end_ms: u64,
    pub(crate) fencing_token: u64,
    pub(crate) checkpoint: Arc<str>,
    pub(crate) ticket: Option<Arc<str>>,
}

/// Renewal of a worker's lease.
#[derive(Debug, Clone)]
pub(crate) struct HoldOrder {
    /// End of the lease on the worker's clock; `None` only asks.
    pub(crate) lease_end_ms: Option<u64>,
    pub(crate) fencing_token: u64,
    /// Ends up to this one may be forgotten.
    pub(crate) acknowledged: u64,
    /// How long the worker may wait for an end before it answers.
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
struct HoldReply {
    clock_ms: u64,
    born: Option<u64>,
    #[serde(default)]
    running: Vec<Option<WireRunning>>,
    #[serde(default)]
    ended_runs: Vec<Option<WireEnded>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct OrderReply {
    clock_ms: Option<u64>,
    reason: Option<String>,
}

/// Row [task, run, checkpoint, percent, load]; the last one may be missing.
struct WireRunning(ActiveRun);

/// Row [number, task, run, how, checkpoint].
struct WireEnded(EndedRun);

impl<'de> Deserialize<'de> for WireRunning {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<WireRunning, D::Error> {
        struct Row;
        impl<'de> Visitor<'de> for Row {
            type Value = WireRunning;

            fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str("a row of a running work item")
            }

            fn visit_seq<A: SeqAccess<'de>>(self, mut row: A) -> Result<WireRunning, A::Error> {
                use serde::de::Error;
                let missing = || A::Error::custom("a row of a running work item is too short");
                let name: String = row.next_element()?.ok_or_else(missing)?;
                let task = parse_task(&name).ok_or_else(|| A::Error::custom("not a work item's name"))?;
                let run = row.next_element()?.ok_or_else(missing)?;
                let checkpoint: Arc<str> = row.next_element()?.ok_or_else(missing)?;
                let percent: f64 = row.next_element()?.unwrap_or(0.0);
                let load: Option<f64> = row.next_element::<Option<f64>>()?.flatten();
                while row.next_element::<serde::de::IgnoredAny>()?.is_some() {}
                let load = load.map(|load| load.max(0.0) as u64);
                Ok(WireRunning(ActiveRun { task, run, checkpoint, percent: percent.max(0.0) as u32, load }))
            }
        }
        deserializer.deserialize_seq(Row)
    }
}

impl<'de> Deserialize<'de> for WireEnded {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<WireEnded, D::Error> {
        struct Row;
        impl<'de> Visitor<'de> for Row {
            type Value = WireEnded;

            fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str("a row of an ended run")
            }

            fn visit_seq<A: SeqAccess<'de>>(self, mut row: A) -> Result<WireEnded, A::Error> {
                use serde::de::Error;
                let missing = || A::Error::custom("a row of an ended run is too short");
                let number = row.next_element()?.ok_or_else(missing)?;
                let name: String = row.next_element()?.ok_or_else(missing)?;
                let task = parse_task(&name).ok_or_else(|| A::Error::custom("not a work item's name"))?;
                let run = row.next_element()?.ok_or_else(missing)?;
                let how: String = row.next_element()?.ok_or_else(missing)?;
                let outcome = end_kind(&how).ok_or_else(|| A::Error::custom("not a way to end"))?;
                let checkpoint: Arc<str> = row.next_element()?.unwrap_or_else(|| Arc::from(""));
                while row.next_element::<serde::de::IgnoredAny>()?.is_some() {}
                Ok(WireEnded(EndedRun { number, task, run, outcome, checkpoint }))
            }
        }
        deserializer.deserialize_seq(Row)
    }
}

fn end_kind(how: &str) -> Option<RunOutcome> {
    match how {
        "done" => Some(RunOutcome::Done),
        "failed" => Some(RunOutcome::Failed),
        "stopped" => Some(RunOutcome::Stopped),
        "lapsed" => Some(RunOutcome::LeaseExpired),
        "broken" => Some(RunOutcome::GangMemberEnded),
        "alone" => Some(RunOutcome::GangIncomplete),
        _ => None,
    }
}

/// Sends orders to workers.
#[derive(Clone)]
pub(crate) struct WorkerClient {
    caller: Rc<Caller>,
}

impl WorkerClient {
    pub(crate) fn new(caller: Rc<Caller>) -> WorkerClient {
        WorkerClient { caller }
    }

    pub(crate) async fn start(&self, worker: &WorkerAddress, order: &StartOrder) -> OrderOutcome {
        let body = StartBody {
            task: task_name(&order.task),
            run: order.run,
            spec: &order.spec,
            deadline_ms: order.lease_end_ms,
            fence: order.fencing_token,
            last_checkpoint: &order.checkpoint,
            ticket: order.ticket.as_deref(),
        };
        self.order(worker, "/run-start", encode(&body)).await
    }

    pub(crate) async fn stop(
        &self,
        worker: &WorkerAddress,
        task: &TaskRef,
        run: u32,
        fencing_token: u64,
    ) -> OrderOutcome {
        let body = StopBody { task: task_name(task), run, fence: fencing_token };
        self.order(worker, "/run-stop", encode(&body)).await
    }

    /// Lets a work item use this share of its time.
    pub(crate) async fn pace(
        &self,
        worker: &WorkerAddress,
        task: &TaskRef,
        run: u32,
        percent: u32,
        fencing_token: u64,
    ) -> OrderOutcome {
        let body = PaceBody { task: task_name(task), run, percent, fence: fencing_token };
        self.order(worker, "/pace", encode(&body)).await
    }

    /// Renews the lease of all that runs there and asks what runs and what ended.
    pub(crate) async fn hold(&self, worker: &WorkerAddress, order: &HoldOrder) -> Result<HoldAnswer, OrderOutcome> {
        let body = HoldBody {
            deadline_ms: order.lease_end_ms,
            fence: order.fencing_token,
            ack_cursor: order.acknowledged,
            wait_ms: order.wait_ms,
        };
        let timeout_ms = order.wait_ms + ORDER_TIMEOUT_MS;
        let reply = self.send(worker, "/hold", encode(&body), timeout_ms).await?;
        if reply.status != 200 {
            return Err(refusal(&reply));
        }
        hold_answer(&reply.body).map_err(|error| {
            log::warn!("worker {}: its list of runs cannot be read: {error}", worker.id);
            OrderOutcome::Refused(OrderRefusal::Invalid)
        })
    }

    async fn order(&self, worker: &WorkerAddress, path: &str, body: Bytes) -> OrderOutcome {
        let reply = match self.send(worker, path, body, ORDER_TIMEOUT_MS).await {
            Ok(reply) => reply,
            Err(end) => return end,
        };
        if reply.status != 200 {
            return refusal(&reply);
        }
        let body: Option<OrderReply> = serde_json::from_slice(&reply.body).ok();
        OrderOutcome::Accepted { clock_ms: body.and_then(|body| body.clock_ms) }
    }

    async fn send(
        &self,
        worker: &WorkerAddress,
        path: &str,
        body: Bytes,
        timeout_ms: u64,
    ) -> Result<Reply, OrderOutcome> {
        let headers = [(EXPECT_WORKER, &*worker.id)];
        let end = self.caller.call(worker.address, "POST", path, &headers, body, timeout_ms).await;
        end.map_err(|end| match end {
            CallEnd::NotSent(_) => OrderOutcome::NotSent,
            CallEnd::Lost { .. } | CallEnd::Answered(_) => OrderOutcome::Unanswered,
        })
    }
}

/// Decodes a worker's lists of runs.
pub(crate) fn hold_answer(body: &[u8]) -> Result<HoldAnswer, serde_json::Error> {
    let reply: HoldReply = serde_json::from_slice(body)?;
    Ok(HoldAnswer {
        clock_ms: reply.clock_ms,
        started_unix_ms: reply.born,
        running: reply.running.into_iter().flatten().map(|row| row.0).collect(),
        ended: reply.ended_runs.into_iter().flatten().map(|row| row.0).collect(),
    })
}

fn refusal(reply: &Reply) -> OrderOutcome {
    let body: Option<OrderReply> = serde_json::from_slice(&reply.body).ok();
    let reason = body.and_then(|body| body.reason);
    let refusal = match (reply.status, reason.as_deref()) {
        (409, Some("fence")) => OrderRefusal::Fenced,
        (409, Some("old")) => OrderRefusal::StaleRun,
        (409, Some("late")) => OrderRefusal::LeaseExpired,
        (409, Some("room")) => OrderRefusal::InsufficientCapacity,
        (409, Some("ticket")) => OrderRefusal::TicketRejected,
        (421, _) => OrderRefusal::WrongWorker,
        (429 | 503, _) => OrderRefusal::Unhealthy,
        (500..=599, _) => return OrderOutcome::Unanswered,
        _ => OrderRefusal::Invalid,
    };
    OrderOutcome::Refused(refusal)
}

fn encode<T: Serialize>(body: &T) -> Bytes {
    // Plain structs of texts and numbers always serialize.
    serde_json::to_vec(body).unwrap_or_default().into()
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct EntryBody {
    service: Arc<str>,
    addr: SocketAddr,
    zone: Arc<str>,
    state: EntryState,
    // When this life of the worker started.
    born: Option<u64>,
    capacity: Option<CapacityBody>,
    #[serde(default)]
    labels: Vec<Arc<str>>,
    machine: Option<Arc<str>>,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
enum EntryState {
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
    pub(super) fn resources(&self) -> Resources {
        Resources { cpu_milli: self.cpu as u64, mem_mb: self.mem_mb as u64, gpus: self.gpu as u64 }
    }
}

/// Decodes a worker's entry; `None` if it was removed or names no worker that could be used.
pub(crate) fn worker_entry(row: &StoredRow) -> Option<WorkerEntry> {
    let body: EntryBody = serde_json::from_slice(row.value.as_deref()?).ok()?;
    Some(WorkerEntry {
        id: row.at.key.clone(),
        address: body.addr,
        pool: body.service,
        zone: body.zone,
        started_unix_ms: body.born.unwrap_or(0),
        draining: body.state == EntryState::Draining,
        capacity: body.capacity.map(|capacity| capacity.resources()).unwrap_or_default(),
        labels: body.labels,
        host: body.machine,
    })
}
