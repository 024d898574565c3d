//! Takes hosts down for maintenance, in waves.
//!
//! A host of a wave first gets no new tasks. Its long-running tasks are stopped as far as each step's disruption budget
//! ([`Step::max_unavailable`]) allows, so that they start elsewhere. Other tasks are stopped at once if they write
//! checkpoints, otherwise after some time. Once the host has no tasks, the provider is ordered to maintain it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::action::Action;
use super::host_orders::HostOrder;
use super::model::{HostOrderOutcome, HostPhase, HostRecord, Step, TaskRef, WaveOrder};
use super::run_end::Observation;
use super::run_stops::StopReason;
use super::scheduler::Scheduler;
use super::worker_loss::LossCause;
use crate::clock::US_PER_MS;

/// How long a host's maintenance waits for tasks that are not long-running and write no checkpoints.
const MAINTENANCE_DRAIN_MS: u64 = 3_000;
/// Hosts that are down or drained at the same time, as a multiple of those that may be down.
const MAX_DRAINING_FACTOR: u32 = 2;
/// How long a long-running task stays on a host to be maintained while no other worker could run it.
const REPLACEMENT_WAIT_MS: u64 = 8_000;
/// Delay before an order to maintain a host is repeated.
const MAINTENANCE_RETRY_DELAY_MS: u64 = 600;
/// Added to the maintenance time, for the provider's list to show that the host is up again.
const RETURN_MARGIN_MS: u64 = 300;
/// Maximum number of waves of which one batch stores the records.
const MAX_RECORDS_IN_BATCH: usize = 3;
/// Delay before a wave's report is written again after a failure.
const REPORT_RETRY_DELAY_MS: u64 = 500;

/// Progress of one host of a wave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HostStage {
    Waiting {
        not_before_us: u64,
    },
    /// The host gets no new tasks, and those that it has end or are stopped.
    Draining {
        since_us: u64,
    },
    /// The order to maintain the host has been queued or sent.
    Ordered {
        /// Whether an earlier order got no answer, so that the host may be down whatever the answer to this one says.
        may_be_down: bool,
    },
    /// The order got no answer: the host may be down.
    Unanswered {
        retry_us: u64,
    },
    Down {
        since_us: u64,
    },
    /// The provider does not list the host. It is due again if it is listed later.
    Unlisted,
    Finished,
}

impl HostStage {
    /// Whether the wave need not wait for the host.
    fn is_over(self) -> bool {
        matches!(self, HostStage::Unlisted | HostStage::Finished)
    }
}

#[derive(Debug)]
struct WaveState {
    order: WaveOrder,
    /// When this leader learned of the wave. A list that was requested earlier may lack hosts that the wave names.
    received_us: u64,
    stages: BTreeMap<Arc<str>, HostStage>,
    /// Whether the wave is complete, as last reported to operators; `None` before the first report.
    reported: Option<bool>,
    is_reporting: bool,
    report_retry_us: u64,
}

/// Maintenance waves that operators ordered, by number.
#[derive(Debug, Default)]
pub(crate) struct Waves {
    states: BTreeMap<u64, WaveState>,
    /// Hosts of each wave whose maintenance has begun, as recorded by former leaders and this one.
    started: BTreeMap<u64, BTreeSet<Arc<str>>>,
    /// Waves whose records must be stored again.
    changed_waves: BTreeSet<u64>,
}

impl Waves {
    pub(super) fn has_changed(&self) -> bool {
        !self.changed_waves.is_empty()
    }

    /// Takes the next records that must be stored: each wave's number and the hosts whose maintenance has begun.
    pub(super) fn take_changed(&mut self) -> Vec<(u64, Vec<Arc<str>>)> {
        let mut records = Vec::new();
        while records.len() < MAX_RECORDS_IN_BATCH {
            let Some(number) = self.changed_waves.pop_first() else { break };
            let hosts = self.started.get(&number).into_iter().flatten().cloned().collect();
            records.push((number, hosts));
        }
        records
    }

    /// Marks records that were taken, but not stored, as changed.
    pub(super) fn put_back(&mut self, records: &[(u64, Vec<Arc<str>>)]) {
        self.changed_waves.extend(records.iter().map(|(number, _)| number));
    }

    /// Whether a wave drains the host, or has ordered its maintenance and does not know yet that it has begun.
    pub(super) fn is_taking_down(&self, host: &str) -> bool {
        let mut stages = self.states.values().filter_map(|wave| wave.stages.get(host));
        stages.any(|stage| {
            matches!(stage, HostStage::Draining { .. } | HostStage::Ordered { .. } | HostStage::Unanswered { .. })
        })
    }

    /// Whether a wave is draining or maintaining the host.
    pub(super) fn is_handling(&self, host: &str) -> bool {
        let mut stages = self.states.values().filter_map(|wave| wave.stages.get(host));
        stages.any(|stage| !matches!(stage, HostStage::Waiting { .. }) && !stage.is_over())
    }

    /// Whether waves only wait for the tasks of the host to leave it, and none has ordered its maintenance.
    pub(super) fn is_only_draining(&self, host: &str) -> bool {
        let mut stages = self.states.values().filter_map(|wave| wave.stages.get(host));
        self.is_handling(host)
            && stages
                .all(|stage| stage.is_over() || matches!(stage, HostStage::Draining { .. } | HostStage::Waiting { .. }))
    }

    /// Hosts that waves are draining.
    pub(super) fn draining_hosts(&self) -> impl Iterator<Item = &Arc<str>> {
        let stages = self.states.values().flat_map(|wave| &wave.stages);
        stages.filter(|(_, stage)| matches!(stage, HostStage::Draining { .. })).map(|(host, _)| host)
    }

    /// Whether a wave has yet to take the host down.
    pub(super) fn awaits_maintenance(&self, host: &str) -> bool {
        let mut stages = self.states.values().filter_map(|wave| wave.stages.get(host));
        stages.any(|stage| matches!(stage, HostStage::Waiting { .. } | HostStage::Draining { .. }))
    }

    /// Ends the drain of a host; it does not begin again before `not_before_us`.
    pub(super) fn postpone_drain(&mut self, host: &str, not_before_us: u64) {
        for wave in self.states.values_mut() {
            match wave.stages.get_mut(host) {
                Some(stage @ HostStage::Draining { .. }) => *stage = HostStage::Waiting { not_before_us },
                _ => continue,
            }
        }
    }

    /// Whether an order to maintain the host got no answer, and one that repeats it has been requested.
    fn may_be_down(&self, number: u64, host: &str) -> bool {
        let stage = self.states.get(&number).and_then(|wave| wave.stages.get(host));
        matches!(stage, Some(HostStage::Ordered { may_be_down: true }))
    }

    fn record_start(&mut self, number: u64, host: &Arc<str>) {
        if self.started.entry(number).or_default().insert(host.clone()) {
            self.changed_waves.insert(number);
        }
    }
}

impl WaveState {
    /// Number of hosts that are or may be down. A former leader may not have recorded a host whose maintenance it
    /// ordered, so the provider's list counts, too.
    fn down_count(&self, hosts: &BTreeMap<Arc<str>, HostRecord>) -> u32 {
        let mut count = 0;
        for (host, stage) in &self.stages {
            let is_down = match stage {
                HostStage::Ordered { .. } | HostStage::Unanswered { .. } | HostStage::Down { .. } => true,
                HostStage::Waiting { .. } | HostStage::Draining { .. } => {
                    hosts.get(host).is_some_and(|record| record.phase == HostPhase::Maintenance)
                }
                HostStage::Unlisted | HostStage::Finished => false,
            };
            count += u32::from(is_down);
        }
        count
    }

    fn draining_count(&self) -> u32 {
        self.stages.values().filter(|stage| matches!(stage, HostStage::Draining { .. })).count() as u32
    }
}

/// Stage of a host when the leader learns of the wave, or when the provider lists the host again. `started` holds the hosts
/// whose maintenance has begun; the next host list shows whether they are up again.
fn initial_stage(started: &BTreeSet<Arc<str>>, host: &str) -> HostStage {
    match started.contains(host) {
        true => HostStage::Down { since_us: 0 },
        false => HostStage::Waiting { not_before_us: 0 },
    }
}

impl Scheduler {
    /// Adds a wave that an operator ordered, and of which this leader learned at `received_us`. Idempotent.
    pub(crate) fn add_wave(&mut self, received_us: u64, order: WaveOrder) {
        if self.waves.states.contains_key(&order.number) {
            return;
        }
        let started = self.waves.started.entry(order.number).or_default();
        let mut stages = BTreeMap::new();
        for host in &order.hosts {
            stages.insert(host.clone(), initial_stage(started, host));
        }
        let state = WaveState { order, received_us, stages, reported: None, is_reporting: false, report_retry_us: 0 };
        self.waves.states.insert(state.order.number, state);
    }

    /// Restores a former leader's record of a wave. Called before `add_wave`.
    pub(crate) fn restore_wave(&mut self, number: u64, hosts: Vec<Arc<str>>) {
        self.waves.started.insert(number, hosts.into_iter().collect());
    }

    /// Advances every wave: drains hosts, orders their maintenance and notices which of them are up again.
    pub(super) fn advance_waves(&mut self, now_us: u64) {
        if !self.may_order_hosts(now_us) {
            return;
        }
        let numbers: Vec<u64> = self.waves.states.keys().copied().collect();
        for number in numbers {
            self.update_unlisted_hosts(number);
            self.finish_returned_hosts(number);
            self.start_draining(now_us, number);
            self.drain_and_order(now_us, number);
            self.report_wave(now_us, number);
        }
    }

    fn set_stage(&mut self, number: u64, host: &Arc<str>, stage: HostStage) {
        if let Some(wave) = self.waves.states.get_mut(&number) {
            wave.stages.insert(host.clone(), stage);
        }
    }

    /// Notices which hosts of a wave the latest list lacks, and which are listed again.
    fn update_unlisted_hosts(&mut self, number: u64) {
        let Some(wave) = self.waves.states.get_mut(&number) else { return };
        if self.host_moves.complete_list_requested_us < wave.received_us {
            return;
        }
        let started = self.waves.started.entry(number).or_default();
        for (host, stage) in &mut wave.stages {
            let is_listed = self.hosts.contains_key(host);
            if is_listed && *stage == HostStage::Unlisted {
                log::info!("host={host} wave={number} outcome=host_listed_again");
                *stage = initial_stage(started, host);
            }
            if !is_listed && !stage.is_over() && !matches!(stage, HostStage::Ordered { .. }) {
                log::warn!("host={host} wave={number} outcome=host_gone");
                *stage = HostStage::Unlisted;
            }
        }
    }

    /// Marks hosts as finished that are up again after their maintenance.
    fn finish_returned_hosts(&mut self, number: u64) {
        let maintenance_us = (self.settings.host_maintenance_ms + RETURN_MARGIN_MS) * US_PER_MS;
        let Some(wave) = self.waves.states.get_mut(&number) else { return };
        let mut returned = Vec::new();
        for (host, stage) in &mut wave.stages {
            let Some(record) = self.hosts.get(host) else { continue };
            let HostStage::Down { since_us } = *stage else { continue };
            let is_listed_after_maintenance = self.host_moves.list_requested_us >= since_us + maintenance_us;
            if is_listed_after_maintenance && record.phase == HostPhase::Up {
                *stage = HostStage::Finished;
                returned.push(host.clone());
            }
        }
        for host in returned {
            self.set_cordoned(&host, false);
        }
    }

    /// Starts to drain hosts, those with the least work first. Long-running tasks leave a host one after the other, so
    /// hosts with such tasks are drained while others are down; the last hosts would otherwise come late.
    fn start_draining(&mut self, now_us: u64, number: u64) {
        let Some(wave) = self.waves.states.get(&number) else { return };
        let max_down = wave.order.max_down;
        let max_busy = max_down.saturating_mul(MAX_DRAINING_FACTOR);
        let mut busy = wave.down_count(&self.hosts) + wave.draining_count();
        if busy >= max_busy {
            return;
        }
        let mut candidates = Vec::new();
        for (host, stage) in &wave.stages {
            let HostStage::Waiting { not_before_us } = stage else { continue };
            let Some(record) = self.hosts.get(host) else { continue };
            if now_us < *not_before_us
                || record.phase != HostPhase::Up
                || self.host_moves.is_moving(host)
                || !self.is_free_of_former_leader_orders(now_us, host)
            {
                continue;
            }
            candidates.push((self.load_on(host), host.clone()));
        }
        candidates.sort();
        for ((long_running_count, _), host) in candidates {
            let limit = if long_running_count > 0 { max_busy } else { max_down };
            if busy >= limit {
                continue;
            }
            busy += 1;
            self.set_cordoned(&host, true);
            self.set_stage(number, &host, HostStage::Draining { since_us: now_us });
        }
    }

    /// Drains hosts, and orders maintenance for those without tasks and those whose order got no answer.
    fn drain_and_order(&mut self, now_us: u64, number: u64) {
        let Some(wave) = self.waves.states.get(&number) else { return };
        let mut free_slots = wave.order.max_down.saturating_sub(wave.down_count(&self.hosts));
        let mut draining = Vec::new();
        let mut to_order = Vec::new();
        for (host, stage) in &wave.stages {
            match *stage {
                HostStage::Draining { since_us } => draining.push((host.clone(), since_us)),
                HostStage::Unanswered { retry_us } if now_us >= retry_us => to_order.push((host.clone(), true)),
                _ => {}
            }
        }
        for (host, since_us) in draining {
            let waited_ms = now_us.saturating_sub(since_us) / US_PER_MS;
            if self.drain_host(now_us, &host, waited_ms) && free_slots > 0 {
                free_slots -= 1;
                to_order.push((host, false));
            }
        }
        for (host, may_be_down) in to_order {
            let workers: Vec<Arc<str>> = self.possible_workers_on(&host).into_iter().collect();
            log::info!("host={host} wave={number} workers={} outcome=maintenance_ordered", workers.join(","));
            self.set_stage(number, &host, HostStage::Ordered { may_be_down });
            self.host_orders.push(now_us, HostOrder::Maintain { host, wave: number });
        }
    }

    /// Stops those tasks on a host that may be stopped by now. Returns whether the host has no tasks.
    fn drain_host(&mut self, now_us: u64, host: &str, waited_ms: u64) -> bool {
        self.set_cordoned(host, true);
        let runs = self.runs_on(host);
        for (task_ref, worker) in &runs {
            let Some(step) = self.step_of(task_ref) else { continue };
            let (long_running, checkpoints) = (step.long_running, step.checkpoints);
            if !self.is_reporting(now_us, worker) {
                continue;
            }
            let may_stop = match long_running {
                true => {
                    self.may_disrupt(now_us, task_ref, StopReason::HostDrained)
                        && (waited_ms >= REPLACEMENT_WAIT_MS || self.has_replacement_worker(now_us, task_ref, step))
                }
                false => waited_ms >= MAINTENANCE_DRAIN_MS || checkpoints,
            };
            if may_stop {
                self.order_stop(now_us, task_ref, worker, StopReason::HostDrained);
            }
        }
        runs.is_empty()
    }

    /// Whether another worker could run a task, at the latest once all tasks on that worker have ended that are not
    /// long-running.
    fn has_replacement_worker(&self, now_us: u64, task_ref: &TaskRef, step: &Step) -> bool {
        let Some(job) = self.jobs.get(&task_ref.job) else { return true };
        let pool = &job.queue.pool;
        let siblings = self.siblings_per_worker(task_ref, step);
        self.candidates(now_us, pool).iter().any(|worker| {
            let siblings = siblings.get(&worker.id).copied().unwrap_or(0);
            worker.can_ever_run(step, siblings)
        })
    }

    /// Handles the outcome of an order to maintain a host.
    pub(crate) fn on_maintenance_outcome(
        &mut self,
        now_us: u64,
        host: &Arc<str>,
        number: u64,
        outcome: HostOrderOutcome,
    ) {
        let retry_us = now_us + MAINTENANCE_RETRY_DELAY_MS * US_PER_MS;
        let stage = match outcome {
            HostOrderOutcome::Done => {
                self.waves.record_start(number, host);
                self.host_removed(now_us, host);
                HostStage::Down { since_us: now_us }
            }
            HostOrderOutcome::Unanswered => HostStage::Unanswered { retry_us },
            HostOrderOutcome::NotInWave | HostOrderOutcome::Invalid => {
                log::warn!("host={host} wave={number} end={outcome:?} outcome=maintenance_refused");
                self.set_cordoned(host, false);
                HostStage::Finished
            }
            HostOrderOutcome::Busy
            | HostOrderOutcome::Throttled
            | HostOrderOutcome::NotDone
            | HostOrderOutcome::Fenced => {
                if self.waves.may_be_down(number, host) {
                    HostStage::Unanswered { retry_us }
                } else {
                    self.set_cordoned(host, false);
                    HostStage::Waiting { not_before_us: retry_us }
                }
            }
        };
        self.set_stage(number, host, stage);
    }

    /// Handles a host that the provider has taken away: its tasks are lost, and its worker is gone.
    pub(super) fn host_removed(&mut self, now_us: u64, host: &str) {
        for id in self.possible_workers_on(host) {
            self.release_lost_tasks(now_us, &id, LossCause::Planned, Observation::WorkerGone);
            self.worker_unlisted(now_us, &id);
        }
        if let Some(record) = self.hosts.get_mut(host) {
            record.worker = None;
        }
    }

    /// Reports to operators whether a wave is complete, if that has changed.
    fn report_wave(&mut self, now_us: u64, number: u64) {
        let Some(wave) = self.waves.states.get_mut(&number) else { return };
        let is_complete = wave.stages.values().all(|stage| stage.is_over());
        if wave.reported == Some(is_complete) || wave.is_reporting || now_us < wave.report_retry_us {
            return;
        }
        wave.is_reporting = true;
        self.actions.push(Action::ReportWave { wave: number, complete: is_complete });
    }

    /// Handles the outcome of writing a wave's report.
    pub(crate) fn on_wave_report_outcome(&mut self, now_us: u64, number: u64, complete: bool, is_stored: bool) {
        let Some(wave) = self.waves.states.get_mut(&number) else { return };
        wave.is_reporting = false;
        if is_stored {
            wave.reported = Some(complete);
        } else {
            wave.report_retry_us = now_us + REPORT_RETRY_DELAY_MS * US_PER_MS;
        }
    }
}
