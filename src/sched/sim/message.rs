//! Messages between the simulated leader, workers and store.

use std::sync::Arc;

use super::super::action::{Batch, StartRun};
use super::super::model::{Advice, HoldAnswer, HostOrderOutcome, JobId, OrderOutcome, TaskRef};
use super::hosts::HostAction;

/// A hold request, as the current leader or a former one has sent it.
#[derive(Debug, Clone)]
pub(super) struct HoldRequest {
    pub(super) worker: Arc<str>,
    /// When the incarnation to which the request was sent started. A later one does not receive it.
    pub(super) incarnation_started_us: u64,
    pub(super) lease_end_ms: Option<u64>,
    pub(super) acknowledged: u64,
    /// Until then, the worker may wait for a run to end before it answers.
    pub(super) until_us: u64,
    pub(super) sent_us: u64,
    pub(super) leader: u32,
    pub(super) token: u64,
    /// Whether the worker has taken the request, and waits for a run to end before it answers.
    pub(super) is_accepted: bool,
    /// Whether the request is carried out seconds late, and its answer is lost.
    pub(super) is_delayed: bool,
}

/// A message in flight. `leader` is the number of the leader that sent it or that is to receive it, `token` the fencing
/// token of the leader that sent it; `answered` tells whether its answer will arrive.
#[derive(Debug, Clone)]
pub(super) enum Message {
    /// A start order that has waited in the leader's queue for the worker.
    QueuedStart {
        start: StartRun,
        leader: u32,
    },
    Start {
        start: StartRun,
        token: u64,
        answered: bool,
        /// For an order that is delayed on its way: start time of the worker's incarnation to which it was sent. A
        /// later incarnation does not receive it.
        delayed_for_incarnation: Option<u64>,
    },
    StartAnswer {
        start: StartRun,
        leader: u32,
        outcome: OrderOutcome,
    },
    Stop {
        worker: Arc<str>,
        task: TaskRef,
        run: u32,
        token: u64,
        answered: bool,
    },
    StopAnswer {
        worker: Arc<str>,
        task: TaskRef,
        run: u32,
        leader: u32,
        outcome: OrderOutcome,
    },
    Pace {
        worker: Arc<str>,
        task: TaskRef,
        run: u32,
        percent: u32,
        leader: u32,
        token: u64,
        /// Whether the order does not arrive.
        is_lost: bool,
    },
    Hold(HoldRequest),
    HoldAnswer {
        worker: Arc<str>,
        /// When the hold request was sent.
        sent_us: u64,
        leader: u32,
        /// `None` if the request timed out.
        answer: Option<HoldAnswer>,
    },
    AdviceAnswer {
        /// Job, occurrence and step that the request was about.
        step: (JobId, u32, u32),
        /// Workers that the request named.
        workers: Vec<Arc<str>>,
        leader: u32,
        /// `None` if the request failed.
        advice: Option<Advice>,
    },
    Commit {
        leader: u32,
        token: u64,
        batch: Batch,
        sent_us: u64,
    },
    CommitAnswer {
        leader: u32,
        batch: Batch,
        sent_us: u64,
        /// `false` if the answer was lost, although the commit took effect.
        is_confirmed: bool,
    },
    HostOrder {
        order: HostAction,
        leader: u32,
        token: u64,
    },
    HostOrderAnswer {
        order: HostAction,
        leader: u32,
        outcome: HostOrderOutcome,
    },
}

impl Message {
    pub(super) fn is_for_leader(&self) -> bool {
        match self {
            Message::QueuedStart { .. }
            | Message::StartAnswer { .. }
            | Message::StopAnswer { .. }
            | Message::HoldAnswer { .. }
            | Message::AdviceAnswer { .. }
            | Message::CommitAnswer { .. }
            | Message::HostOrderAnswer { .. } => true,
            Message::Start { .. }
            | Message::Stop { .. }
            | Message::Pace { .. }
            | Message::Hold(_)
            | Message::Commit { .. }
            | Message::HostOrder { .. } => false,
        }
    }
}
