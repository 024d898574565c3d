//! The leader's state of one worker.

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use super::job::WorkerIncarnation;
use super::model::{JobId, Resources, Step, TaskRef, WorkerEntry};
use super::restarts::UnconfirmedEntry;
use super::worker_speed::WorkerSpeed;
use crate::clock::US_PER_MS;

/// Lower bound for the rate of a worker's clock relative to real time.
const MIN_CLOCK_RATE: f64 = 0.98;
/// A worker has answered recently if its latest answer is no older than this. Workers with tasks answer about once per
/// second.
const RECENT_ANSWER_MS: u64 = 1_800;
/// A worker has reported its runs lately if the hold request that it answered was sent no longer ago than this. The
/// worker may wait for a second before it answers, and as long passes until its next answer.
const MAX_REPORT_AGE_MS: u64 = 2_800;
/// Answers of an incarnation may overtake each other by up to this time.
pub(super) const MAX_ANSWER_AGE_MS: u64 = 2_000;
/// Age up to which a worker may hold leases that calls for its former incarnation have granted. Times of day may be stepped.
const YOUNG_WORKER_MS: u64 = 30_000;
/// A worker with more ends that are not acknowledged gets no new tasks: it lists at most 500.
const MAX_UNACKNOWLEDGED_ENDS: u64 = 300;
/// Weight of the latest run in a worker's moving average of failures.
const FAILURE_WEIGHT: f64 = 0.34;
/// A worker whose average of failures exceeds this value gets no new tasks for [`QUARANTINE_MS`].
const QUARANTINE_THRESHOLD: f64 = 0.6;
const QUARANTINE_MS: u64 = 4_000;

/// A reading of a worker's clock.
#[derive(Debug, Clone, Copy, PartialEq)]
struct ClockReading {
    /// Local time at which the answer arrived.
    answered_us: u64,
    clock_ms: u64,
}

/// A worker that is in the registry, or was there and may still have runs.
#[derive(Debug, Clone)]
pub(crate) struct Worker {
    pub(crate) entry: WorkerEntry,
    /// Whether the worker's entry is in the registry.
    pub(crate) is_listed: bool,
    /// Whether the worker has renewed its entry since this incarnation became known, which shows that it is alive.
    pub(crate) has_renewed_entry: bool,
    /// When the entry was last removed from the registry.
    pub(crate) unlisted_us: u64,
    /// Earliest time at which the worker leaves, if it drains.
    pub(crate) leaves_at_us: u64,
    /// When another worker that lives has registered later on the same host. Unless this one still answers, it has
    /// ended.
    pub(crate) superseded_us: Option<u64>,
    /// Entry of another incarnation that the registry has, until the worker has answered.
    pub(crate) unconfirmed_entry: Option<Box<UnconfirmedEntry>>,
    /// Start times of former incarnations, the latest last.
    pub(crate) former_starts_unix_ms: Vec<u64>,
    /// Whether the worker has answered this leader.
    pub(crate) is_synced: bool,
    /// Whether [`OpenSession`](super::action::Action::OpenSession) has been requested for the worker.
    pub(crate) has_session: bool,
    clock: Option<ClockReading>,
    /// Latest end of the lease that any order or hold request may have granted, on the worker's clock.
    pub(crate) lease_end_ms: u64,
    /// When every lease has ended that the worker may have been granted by calls which were meant for a former incarnation.
    pub(crate) unknown_lease_end_us: u64,
    /// When the latest call was sent that may have granted a lease.
    pub(crate) last_lease_call_us: u64,
    /// Number of start orders that have been sent and are not answered.
    pub(crate) starts_in_flight: u32,
    /// Until when an acknowledgement of ends waits for start orders in flight; `None` if none waits.
    pub(crate) acknowledge_by_us: Option<u64>,
    /// Whether a hold request that acknowledges ends is under way, or waits for the start orders in flight.
    pub(crate) is_acknowledging: bool,
    /// When an answer to an order showed a clock that cannot be that of the known incarnation.
    pub(crate) suspected_restart_us: Option<u64>,
    /// Since when calls carry a higher fencing token than those that were meant for former incarnations; `None` if none was
    /// asked for, or once the worker has answered such a call.
    pub(crate) fence_raised_us: Option<u64>,
    /// Whether the worker gets no start orders before it has seen a higher token: it has restarted, or an acknowledgement of
    /// ends got no answer.
    pub(crate) needs_fence: bool,
    /// Highest number of an ended run whose report has been processed. A worker numbers its ended runs, and a cursor is
    /// the number up to which they have been handled.
    pub(crate) processed_cursor: u64,
    /// Highest number of an ended run whose effect is committed to the store.
    pub(crate) stored_cursor: u64,
    /// Highest number of an ended run that the worker knows to be acknowledged, so that it may have forgotten it.
    pub(crate) acknowledged_cursor: u64,
    /// The same, as sent with the hold request that has not been answered yet.
    pub(crate) acknowledging_cursor: u64,
    /// Processed ended runs beyond `stored_cursor`, by number, with their jobs.
    pub(crate) unstored_ends: VecDeque<(u64, JobId)>,
    /// Ended runs, by number, of tasks that are done but have another run which must be stopped before the end is
    /// acknowledged.
    pub(crate) withheld_ends: Vec<(u64, TaskRef)>,
    pub(crate) tasks: BTreeSet<TaskRef>,
    /// Resources reserved for `tasks`.
    pub(crate) reserved: Resources,
    /// Resources held by runs that the worker lists but that do not belong to `tasks`; they are being stopped.
    pub(crate) untracked: Resources,
    /// Part of `reserved` that belongs to long-running tasks.
    long_running_reserved: Resources,
    pub(crate) long_running_count: u32,
    /// Number of tasks with a latency target ([`Step::target_ms`]).
    pub(crate) latency_target_count: u32,
    pub(crate) best_effort_count: u32,
    /// Number of tasks that may have copies ([`Step::allows_copies`]).
    pub(crate) speculative_count: u32,
    pub(crate) last_answer_us: u64,
    /// When the hold request was sent whose answer last told which runs the worker has.
    pub(crate) report_requested_us: u64,
    /// Whether the latest hold request failed.
    pub(crate) is_silent: bool,
    pub(crate) next_hold_us: u64,
    /// The worker gets no new tasks before this time.
    pub(crate) blocked_until_us: u64,
    failure_average: f64,
    last_failed_job: Option<Arc<str>>,
    pub(super) speed: WorkerSpeed,
    /// Whether the worker's host is about to be taken away, so that the worker gets no new tasks.
    pub(crate) is_cordoned: bool,
    /// When this incarnation became known.
    pub(crate) known_since_us: u64,
    /// Whether the next hold request goes to the address of `unconfirmed_entry`.
    pub(crate) tries_unconfirmed_address: bool,
    /// When the worker's last task was removed, or when the worker was added.
    pub(crate) idle_since_us: u64,
}

impl Worker {
    pub(crate) fn new(now_us: u64, entry: WorkerEntry) -> Worker {
        Worker {
            entry,
            is_listed: true,
            has_renewed_entry: false,
            unlisted_us: 0,
            leaves_at_us: 0,
            superseded_us: None,
            unconfirmed_entry: None,
            former_starts_unix_ms: Vec::new(),
            is_synced: false,
            has_session: false,
            clock: None,
            lease_end_ms: 0,
            unknown_lease_end_us: 0,
            last_lease_call_us: 0,
            starts_in_flight: 0,
            acknowledge_by_us: None,
            is_acknowledging: false,
            suspected_restart_us: None,
            fence_raised_us: None,
            needs_fence: false,
            processed_cursor: 0,
            stored_cursor: 0,
            acknowledged_cursor: 0,
            acknowledging_cursor: 0,
            unstored_ends: VecDeque::new(),
            withheld_ends: Vec::new(),
            tasks: BTreeSet::new(),
            reserved: Resources::default(),
            untracked: Resources::default(),
            long_running_reserved: Resources::default(),
            long_running_count: 0,
            latency_target_count: 0,
            best_effort_count: 0,
            speculative_count: 0,
            last_answer_us: 0,
            report_requested_us: 0,
            is_silent: false,
            next_hold_us: 0,
            blocked_until_us: 0,
            failure_average: 0.0,
            last_failed_job: None,
            speed: WorkerSpeed::default(),
            is_cordoned: false,
            known_since_us: now_us,
            tries_unconfirmed_address: false,
            idle_since_us: now_us,
        }
    }

    pub(crate) fn incarnation(&self) -> WorkerIncarnation {
        WorkerIncarnation { id: self.entry.id.clone(), started_unix_ms: self.entry.started_unix_ms }
    }

    /// Notes until when the worker stays, by its entry as read at `now_us`. Later entries only extend that time.
    pub(crate) fn note_departure(&mut self, now_us: u64) {
        if self.entry.draining {
            self.leaves_at_us = self.leaves_at_us.max(now_us + self.entry.remaining_ms * US_PER_MS);
        }
    }

    /// CPU that long-running tasks hold, in thousandths of a core.
    pub(crate) fn long_running_milli(&self) -> u64 {
        self.long_running_reserved.cpu_milli
    }

    /// Adds a task and reserves its resources.
    pub(crate) fn attach(&mut self, task: TaskRef, step: &Step) {
        if !self.tasks.insert(task) {
            return;
        }
        self.reserved.add(&step.reserved());
        if step.long_running {
            self.long_running_reserved.add(&step.reserved());
        }
        self.long_running_count += u32::from(step.long_running);
        self.latency_target_count += u32::from(step.target_ms.is_some());
        self.best_effort_count += u32::from(step.best_effort);
        self.speculative_count += u32::from(step.allows_copies());
    }

    /// Removes a task and frees its resources.
    pub(crate) fn detach(&mut self, now_us: u64, task: &TaskRef, step: &Step) {
        if !self.tasks.remove(task) {
            return;
        }
        self.reserved = self.reserved.minus(&step.reserved());
        if step.long_running {
            self.long_running_reserved = self.long_running_reserved.minus(&step.reserved());
        }
        self.long_running_count -= u32::from(step.long_running);
        self.latency_target_count -= u32::from(step.target_ms.is_some());
        self.best_effort_count -= u32::from(step.best_effort);
        self.speculative_count -= u32::from(step.allows_copies());
        if self.tasks.is_empty() {
            self.idle_since_us = now_us;
        }
    }

    pub(crate) fn free_capacity(&self) -> Resources {
        self.entry.capacity.minus(&self.reserved).minus(&self.untracked)
    }

    /// Whether everything that the worker runs, and the tasks placed there, fit in its present capacity, which may have
    /// shrunk since they were placed.
    pub(crate) fn is_within_capacity(&self) -> bool {
        let mut used = self.reserved;
        used.add(&self.untracked);
        used.fits_in(&self.entry.capacity)
    }

    /// Capacity that will be free once all tasks except the long-running ones have ended.
    pub(crate) fn capacity_excluding_long_running(&self) -> Resources {
        self.entry.capacity.minus(&self.long_running_reserved)
    }

    /// Whether new tasks may be placed on the worker now.
    pub(crate) fn accepts_new_tasks(&self, now_us: u64) -> bool {
        self.is_listed
            && self.is_synced
            && !self.may_have_restarted()
            && !self.needs_fence
            && !self.entry.draining
            && !self.is_cordoned
            && !self.is_silent
            && self.clock.is_some()
            && self.processed_cursor - self.acknowledged_cursor.min(self.processed_cursor) < MAX_UNACKNOWLEDGED_ENDS
            && now_us >= self.blocked_until_us
    }

    /// Stores a reading of the worker's clock, which arrived at `answered_us`.
    pub(crate) fn record_clock(&mut self, answered_us: u64, clock_ms: u64) {
        self.clock = Some(ClockReading { answered_us, clock_ms });
    }

    /// Time since the worker started, as of its latest answer.
    pub(crate) fn uptime_ms(&self) -> u64 {
        self.clock.map_or(0, |clock| clock.clock_ms)
    }

    /// Whether the worker has answered within [`RECENT_ANSWER_MS`].
    pub(crate) fn has_answered_recently(&self, now_us: u64) -> bool {
        now_us < self.last_answer_us + RECENT_ANSWER_MS * US_PER_MS
    }

    /// Whether the worker has reported its runs lately, when asked later than `since_us`. An answer that arrives late
    /// may tell what held when its request was sent.
    pub(crate) fn has_reported_since(&self, now_us: u64, since_us: u64) -> bool {
        let is_recent = now_us < self.report_requested_us + MAX_REPORT_AGE_MS * US_PER_MS;
        is_recent && self.report_requested_us > since_us && self.has_answered_recently(now_us)
    }

    /// Whether a start order may be sent. A worker without tasks gets fewer hold requests, so it need not have answered
    /// recently.
    pub(crate) fn can_receive_start(&self, now_us: u64) -> bool {
        let is_answering = self.has_answered_recently(now_us) || now_us >= self.blocked_until_us;
        self.clock.is_some() && !self.is_silent && is_answering
    }

    /// Converts the end of a lease from local time to the worker's clock. The result is never later than `until_us`.
    pub(crate) fn lease_end_for(&self, until_us: u64) -> Option<u64> {
        let clock = self.clock?;
        // The worker read its clock before the answer arrived, so its clock can only be ahead of this estimate.
        let ahead_us = until_us.saturating_sub(clock.answered_us);
        Some(clock.clock_ms + ahead_us / US_PER_MS)
    }

    /// Whether every lease granted to the worker has expired, even if its clock runs at [`MIN_CLOCK_RATE`].
    pub(crate) fn lease_certainly_expired(&self, now_us: u64) -> bool {
        if self.lease_end_ms == 0 {
            return false;
        }
        let Some(clock) = self.clock else { return false };
        let elapsed_ms = now_us.saturating_sub(clock.answered_us) as f64 * MIN_CLOCK_RATE / US_PER_MS as f64;
        clock.clock_ms + elapsed_ms as u64 > self.lease_end_ms
    }

    /// Address for the next hold request. A worker may have registered again at another address; while one does not
    /// answer, both are tried in turn.
    pub(crate) fn next_hold_address(&mut self) -> SocketAddr {
        let unconfirmed = self.unconfirmed_entry.as_ref().map(|unconfirmed| unconfirmed.entry.address);
        self.tries_unconfirmed_address = self.is_silent && unconfirmed.is_some() && !self.tries_unconfirmed_address;
        unconfirmed.filter(|_| self.tries_unconfirmed_address).unwrap_or(self.entry.address)
    }

    /// Whether an answer comes from a former incarnation: its clock is further than that of the known one can be.
    pub(crate) fn is_clock_of_former_incarnation(&self, now_us: u64, clock_ms: u64) -> bool {
        let Some(clock) = self.clock.filter(|_| !self.former_starts_unix_ms.is_empty()) else { return false };
        clock_ms > clock.clock_ms + now_us.saturating_sub(clock.answered_us) / US_PER_MS + MAX_ANSWER_AGE_MS
    }

    /// Cursor to send with the next hold request; 0 if there is nothing to acknowledge, or if the worker may have restarted:
    /// it would number its ends anew, and forget the first ones unread at a cursor of its former incarnation.
    pub(crate) fn cursor_to_acknowledge(&self) -> u64 {
        match self.stored_cursor > self.acknowledged_cursor && !self.is_silent && !self.may_have_restarted() {
            true => self.stored_cursor,
            false => 0,
        }
    }

    /// Whether calls that were meant for a former incarnation may have reached this one lately, by its start time.
    pub(crate) fn is_young(&self, now_unix_ms: u64) -> bool {
        now_unix_ms < self.entry.started_unix_ms + YOUNG_WORKER_MS
    }

    /// Whether there is a sign that the known incarnation is not the latest one.
    pub(crate) fn may_have_restarted(&self) -> bool {
        self.unconfirmed_entry.is_some() || self.suspected_restart_us.is_some()
    }

    /// Whether this reading, which arrived at `now_us`, may be one of the known incarnation's clock. Clocks of other
    /// incarnations may show any time.
    pub(crate) fn may_be_own_clock(&self, now_us: u64, clock_ms: u64) -> bool {
        let Some(clock) = self.clock else { return false };
        let elapsed_ms = now_us.saturating_sub(clock.answered_us) / US_PER_MS;
        let earliest_ms = clock.clock_ms + (elapsed_ms as f64 * MIN_CLOCK_RATE) as u64;
        let latest_ms = clock.clock_ms + elapsed_ms + MAX_ANSWER_AGE_MS;
        (earliest_ms.saturating_sub(MAX_ANSWER_AGE_MS)..=latest_ms).contains(&clock_ms)
    }

    /// Counts a run that completed.
    pub(crate) fn record_success(&mut self) {
        self.failure_average *= 1.0 - FAILURE_WEIGHT;
    }

    /// Counts a run that failed or stalled. Consecutive failures of the same job count once: the job may be at fault.
    pub(crate) fn record_failure(&mut self, now_us: u64, job: &Arc<str>) {
        let same_job = self.last_failed_job.as_ref() == Some(job);
        self.last_failed_job = Some(job.clone());
        if same_job {
            return;
        }
        self.failure_average += FAILURE_WEIGHT * (1.0 - self.failure_average);
        if self.failure_average > QUARANTINE_THRESHOLD {
            self.block(now_us, QUARANTINE_MS);
        }
    }

    /// Whether the worker's capacity counts towards its pool.
    pub(crate) fn is_usable(&self) -> bool {
        self.is_listed && !self.entry.draining && !self.is_cordoned && !self.is_silent
    }

    /// Whether the worker has ended: it does not answer, and another one has taken its place on the host.
    pub(crate) fn is_replaced(&self) -> bool {
        self.is_silent && self.superseded_us.is_some()
    }

    /// Places no new tasks on the worker for `wait_ms`.
    pub(crate) fn block(&mut self, now_us: u64, wait_ms: u64) {
        self.blocked_until_us = self.blocked_until_us.max(now_us + wait_ms * US_PER_MS);
    }

    /// Moving average of failures, between 0 and 1.
    pub(crate) fn failure_average(&self) -> f64 {
        self.failure_average
    }
}
