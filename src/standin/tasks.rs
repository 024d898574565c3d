//! Tasks on the stand-in's workers. A task runs only while its lease is renewed.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::clock::US_PER_MS;

/// Speed of a task that is not throttled.
const MAX_SPEED_PERCENT: u8 = 100;

/// State of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    /// Running under a valid lease.
    Running,
    /// Ended after saving its state.
    Checkpointed,
    /// Ended by request.
    Stopped,
    /// Ended because its lease expired.
    Lapsed,
}

/// One task on one worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Task {
    /// Chosen by the client that starts the task. Starting a task again has no effect.
    pub id: Arc<str>,
    /// Host that runs it.
    pub worker: Arc<str>,
    /// State of the task.
    pub state: TaskState,
    /// Time at which the lease expires unless it is renewed, in microseconds on the stand-in's clock.
    pub lease_deadline_us: u64,
    /// Share of its processors that the task may use, in percent.
    pub speed_percent: u8,
}

/// A request to start or change a task.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "lowercase", deny_unknown_fields)]
pub enum TaskUpdate {
    /// Starts the task, unless it was started before.
    Start {
        /// Host to run on.
        worker: Arc<str>,
        /// Duration of the lease from now on, in milliseconds.
        lease_ms: u64,
    },
    /// Renews the lease.
    Renew {
        /// Duration of the lease from now on, in milliseconds.
        lease_ms: u64,
    },
    /// Saves the state of the task and ends it.
    Checkpoint,
    /// Limits the processors that the task may use.
    Throttle {
        /// Share of its processors, in percent.
        speed_percent: u8,
    },
    /// Ends the task.
    Stop,
}

/// All tasks that were started, including those that have ended.
#[derive(Debug, Default)]
pub struct Tasks {
    by_id: BTreeMap<Arc<str>, Task>,
}

impl Tasks {
    /// Applies an update and returns the task, or `None` if it was never started. Only a running task changes.
    pub fn update(&mut self, now_us: u64, id: &str, update: &TaskUpdate) -> Option<Task> {
        self.expire_leases(now_us);
        if let TaskUpdate::Start { worker, lease_ms } = update {
            let task = self.by_id.entry(id.into()).or_insert_with(|| Task {
                id: id.into(),
                worker: worker.clone(),
                state: TaskState::Running,
                lease_deadline_us: now_us + lease_ms * US_PER_MS,
                speed_percent: MAX_SPEED_PERCENT,
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
                    task.speed_percent = (*speed_percent).min(MAX_SPEED_PERCENT);
                }
                TaskUpdate::Stop => task.state = TaskState::Stopped,
            }
        }
        Some(task.clone())
    }

    /// All tasks, ordered by ID.
    pub fn list(&mut self, now_us: u64) -> Vec<Task> {
        self.expire_leases(now_us);
        self.by_id.values().cloned().collect()
    }

    fn expire_leases(&mut self, now_us: u64) {
        for task in self.by_id.values_mut() {
            if task.state == TaskState::Running && task.lease_deadline_us <= now_us {
                task.state = TaskState::Lapsed;
            }
        }
    }
}
