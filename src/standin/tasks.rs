//! Leased tasks on the stand-in's workers.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::clock::US_PER_MS;

/// Largest share of its processors that a task may use, in percent.
const FULL_SPEED_PERCENT: u8 = 100;

/// What a task does at present.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    /// Running under a valid lease.
    Running,
    /// Saved its state and left the worker.
    Checkpointed,
    /// Ended by request.
    Stopped,
    /// Ended because its lease lapsed.
    Lapsed,
}

/// One task on one worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Task {
    /// Chosen by the starter; a second start with the same id changes nothing.
    pub id: Arc<str>,
    /// Host that runs it.
    pub worker: Arc<str>,
    /// What it does at present.
    pub state: TaskState,
    /// The task ends at this time unless renewed; microseconds on the stand-in's clock.
    pub lease_deadline_us: u64,
    /// Share of its processors that it may use.
    pub speed_percent: u8,
}

/// A request about a task.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "lowercase", deny_unknown_fields)]
pub enum TaskUpdate {
    /// Starts the task, if it is not known yet.
    Start {
        /// Host to run on.
        worker: Arc<str>,
        /// Lease from now, in milliseconds.
        lease_ms: u64,
    },
    /// Extends the lease.
    Renew {
        /// Lease from now, in milliseconds.
        lease_ms: u64,
    },
    /// Saves state and leaves the worker.
    Checkpoint,
    /// Limits the processors.
    Throttle {
        /// Share of the processors, in percent.
        speed_percent: u8,
    },
    /// Ends the task.
    Stop,
}

/// All tasks that were ever started.
#[derive(Debug, Default)]
pub struct Tasks {
    by_id: BTreeMap<Arc<str>, Task>,
}

impl Tasks {
    /// Applies an update and returns the task, or `None` if it was never started.
    pub fn update(&mut self, now_us: u64, id: &str, update: &TaskUpdate) -> Option<Task> {
        self.lapse(now_us);
        if let TaskUpdate::Start { worker, lease_ms } = update {
            let task = self.by_id.entry(id.into()).or_insert_with(|| Task {
                id: id.into(),
                worker: worker.clone(),
                state: TaskState::Running,
                lease_deadline_us: now_us + lease_ms * US_PER_MS,
                speed_percent: FULL_SPEED_PERCENT,
            });
            return Some(task.clone());
        }
        let task = self.by_id.get_mut(id)?;
        if task.state == TaskState::Running {
            match update {
                TaskUpdate::Start { .. } => {}
                TaskUpdate::Renew { lease_ms } => task.lease_deadline_us = now_us + lease_ms * US_PER_MS,
                TaskUpdate::Checkpoint => task.state = TaskState::Checkpointed,
                TaskUpdate::Throttle { speed_percent } => {
                    task.speed_percent = (*speed_percent).min(FULL_SPEED_PERCENT);
                }
                TaskUpdate::Stop => task.state = TaskState::Stopped,
            }
        }
        Some(task.clone())
    }

    /// Every task, in the order of ids.
    pub fn list(&mut self, now_us: u64) -> Vec<Task> {
        self.lapse(now_us);
        self.by_id.values().cloned().collect()
    }

    fn lapse(&mut self, now_us: u64) {
        for task in self.by_id.values_mut() {
            if task.state == TaskState::Running && task.lease_deadline_us <= now_us {
                task.state = TaskState::Lapsed;
            }
        }
    }
}
