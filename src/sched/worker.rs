//! What the leader knows of one worker.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::job::WorkerIncarnation;
use super::model::{Resources, Step, TaskRef, WorkerEntry};
use crate::clock::US_PER_MS;

/// A worker's clock runs at least at this share of true time.
const SLOWEST_CLOCK: f64 = 0.98;
/// A worker with work is asked about once a second; after this time without an answer it counts as silent.
const HEARD_MS: u64 = 1_800;
/// Weight of the latest end in a worker's average of failures.
const FAILURE_WEIGHT: f64 = 0.34;
/// Average share of failures at which a worker gets no more work for a while.
const QUARANTINE_ABOVE: f64 = 0.6;
const QUARANTINE_MS: u64 = 4_000;

/// A reading of a worker's clock.
#[derive(Debug, Clone, Copy, PartialEq)]
struct ClockReading {
    /// Our time when the answer came.
    answered_us: u64,
    clock_ms: u64,
}

/// See the module.
#[derive(Debug, Clone)]
pub(crate) struct Worker {
    pub(crate) entry: WorkerEntry,
    /// Whether its entry is in the registry.
    pub(crate) is_listed: bool,
    /// Whether it has answered the present leader.
    pub(crate) is_synced: bool,
    pub(crate) has_session: bool,
    clock: Option<ClockReading>,
    /// Latest end of a lease that any order may have given, on its clock.
    pub(crate) lease_end_ms: u64,
    /// Highest end taken into account, and highest end whose effect is stored.
    pub(crate) last_seen_end: u64,
    pub(crate) stored_end: u64,
    /// Highest end that it has been told to forget.
    pub(crate) told_end: u64,
    pub(crate) tasks: BTreeSet<TaskRef>,
    /// Room that our work items hold.
    pub(crate) reserved: Resources,
    /// Room that runs hold which are not ours any more, until they have ended.
    pub(crate) untracked: Resources,
    /// The part of `reserved` that work items that last hold.
    lasting_reserved: Resources,
    /// Work items there that last, that serve users under a target, and that fill unused capacity.
    pub(crate) long_running_count: u32,
    pub(crate) serving_count: u32,
    pub(crate) best_effort_count: u32,
    pub(crate) last_answer_us: u64,
    /// The latest look at it got no answer.
    pub(crate) is_silent: bool,
    pub(crate) next_hold_us: u64,
    /// No new work before this time.
    pub(crate) blocked_until_us: u64,
    failure_average: f64,
    last_failed_job: Option<Arc<str>>,
    /// A host that is about to be taken away gets no new work.
    pub(crate) is_cordoned: bool,
    /// When it last became free of work.
    pub(crate) idle_since_us: u64,
}

impl Worker {
    pub(crate) fn new(now_us: u64, entry: WorkerEntry) -> Worker {
        Worker {
            entry,
            is_listed: true,
            is_synced: false,
            has_session: false,
            clock: None,
            lease_end_ms: 0,
            last_seen_end: 0,
            stored_end: 0,
            told_end: 0,
            tasks: BTreeSet::new(),
            reserved: Resources::default(),
            untracked: Resources::default(),
            lasting_reserved: Resources::default(),
            long_running_count: 0,
            serving_count: 0,
            best_effort_count: 0,
            last_answer_us: 0,
            is_silent: false,
            next_hold_us: 0,
            blocked_until_us: 0,
            failure_average: 0.0,
            last_failed_job: None,
            is_cordoned: false,
            idle_since_us: now_us,
        }
    }

    pub(crate) fn incarnation(&self) -> WorkerIncarnation {
        WorkerIncarnation { id: self.entry.id.clone(), started_unix_ms: self.entry.started_unix_ms }
    }

    /// Takes a work item's share of its capacity.
    pub(crate) fn attach(&mut self, task: TaskRef, step: &Step) {
        if !self.tasks.insert(task) {
            return;
        }
        self.reserved.add(&step.reserved());
        if step.long_running {
            self.lasting_reserved.add(&step.reserved());
        }
        self.long_running_count += u32::from(step.long_running);
        self.serving_count += u32::from(step.target_ms.is_some());
        self.best_effort_count += u32::from(step.best_effort);
    }

    /// Gives a work item's share back.
    pub(crate) fn detach(&mut self, now_us: u64, task: &TaskRef, step: &Step) {
        if !self.tasks.remove(task) {
            return;
        }
        self.reserved = self.reserved.minus(&step.reserved());
        if step.long_running {
            self.lasting_reserved = self.lasting_reserved.minus(&step.reserved());
        }
        self.long_running_count -= u32::from(step.long_running);
        self.serving_count -= u32::from(step.target_ms.is_some());
        self.best_effort_count -= u32::from(step.best_effort);
        if self.tasks.is_empty() {
            self.idle_since_us = now_us;
        }
    }

    pub(crate) fn free_capacity(&self) -> Resources {
        self.entry.capacity.minus(&self.reserved).minus(&self.untracked)
    }

    /// Room there would be if all work that ends by itself had ended.
    pub(crate) fn capacity_beside_long_running(&self) -> Resources {
        self.entry.capacity.minus(&self.lasting_reserved)
    }

    /// Whether it may get new work.
    pub(crate) fn accepts_new_tasks(&self, now_us: u64) -> bool {
        self.is_listed
            && self.is_synced
            && !self.entry.draining
            && !self.is_cordoned
            && !self.is_silent
            && self.clock.is_some()
            && now_us >= self.blocked_until_us
    }

    /// Takes a reading of its clock into account.
    pub(crate) fn record_clock(&mut self, answered_us: u64, clock_ms: u64) {
        self.clock = Some(ClockReading { answered_us, clock_ms });
    }

    /// How long this life of it had lasted at its latest answer.
    pub(crate) fn uptime_ms(&self) -> u64 {
        self.clock.map_or(0, |clock| clock.clock_ms)
    }

    /// Whether it has answered a moment ago.
    pub(crate) fn has_answered_recently(&self, now_us: u64) -> bool {
        now_us < self.last_answer_us + HEARD_MS * US_PER_MS
    }

    /// Whether an order to start may go out: it answers, or was free of work and therefore not asked.
    pub(crate) fn can_receive_start(&self, now_us: u64) -> bool {
        let is_answering = self.has_answered_recently(now_us) || now_us >= self.blocked_until_us;
        self.clock.is_some() && !self.is_silent && is_answering
    }

    /// End of a lease that is given until our time `until_us`, on its clock; never later than that.
    pub(crate) fn lease_end_for(&self, until_us: u64) -> Option<u64> {
        let clock = self.clock?;
        // The reading was taken after it was asked for, so its clock may be further than this says, never less far.
        let ahead_us = until_us.saturating_sub(clock.answered_us);
        Some(clock.clock_ms + ahead_us / US_PER_MS)
    }

    /// Whether every lease that was ever given to it has ended for certain.
    pub(crate) fn lease_certainly_expired(&self, now_us: u64) -> bool {
        if self.lease_end_ms == 0 {
            return false;
        }
        let Some(clock) = self.clock else { return false };
        let passed_ms = now_us.saturating_sub(clock.answered_us) as f64 * SLOWEST_CLOCK / US_PER_MS as f64;
        clock.clock_ms + passed_ms as u64 > self.lease_end_ms
    }

    /// A run ended well.
    pub(crate) fn succeeded(&mut self) {
        self.failure_average *= 1.0 - FAILURE_WEIGHT;
    }

    /// A run failed, or an order was refused. Failures of one job alone do not count against the worker.
    pub(crate) fn record_failure(&mut self, now_us: u64, job: &Arc<str>) {
        let same_job = self.last_failed_job.as_ref() == Some(job);
        self.last_failed_job = Some(job.clone());
        if same_job {
            return;
        }
        self.failure_average += FAILURE_WEIGHT * (1.0 - self.failure_average);
        if self.failure_average > QUARANTINE_ABOVE {
            self.block(now_us, QUARANTINE_MS);
        }
    }

    /// Whether its capacity can be counted on.
    pub(crate) fn is_usable(&self) -> bool {
        self.is_listed && !self.entry.draining && !self.is_cordoned && !self.is_silent
    }

    /// Keeps new work away for a while.
    pub(crate) fn block(&mut self, now_us: u64, wait_ms: u64) {
        self.blocked_until_us = self.blocked_until_us.max(now_us + wait_ms * US_PER_MS);
    }

    /// Whether its latest runs mostly ended well.
    pub(crate) fn failure_average(&self) -> f64 {
        self.failure_average
    }
}
