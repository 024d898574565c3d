//! Takes hosts down for their maintenance, in waves.
//!
//! A host of a wave first gets no new work. Work that lasts is moved off it as far as each step's budget allows, other
//! work may end by itself for a while. Then the provider is told.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::action::Action;
use super::host_orders::HostOrder;
use super::job::{RunPhase, TaskState};
use super::model::{HostOrderOutcome, HostPhase, Step, TaskRef, WaveOrder};
use super::scheduler::Scheduler;
use crate::clock::US_PER_MS;

/// How long work that ends by itself may keep a host of a wave waiting.
const DRAIN_MS: u64 = 3_000;
/// Work that lasts stays for so long on a host to be maintained while no other worker could run it.
const OTHER_PLACE_MS: u64 = 8_000;
/// Pause before an order about a host is repeated.
const DUTY_RETRY_MS: u64 = 600;
/// Margin beyond the time that a host is away, for the provider's list to tell of its return.
const RETURN_MARGIN_MS: u64 = 300;
/// Pause before the report of a wave is written again.
const REPORT_RETRY_MS: u64 = 500;

/// Where a host of a wave stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HostStage {
    Waiting {
        not_before_us: u64,
    },
    /// It gets no new work.
    Emptying {
        since_us: u64,
    },
    /// The provider was told and has not answered yet.
    Ordered,
    /// The answer was lost: it may be down.
    Unanswered {
        again_us: u64,
    },
    Down {
        since_us: u64,
    },
    Over,
}

#[derive(Debug)]
struct WaveState {
    order: WaveOrder,
    stages: BTreeMap<Arc<str>, HostStage>,
    /// What operators were told: nothing, running, or complete.
    told: Option<bool>,
    telling: bool,
    tell_again_us: u64,
}

/// Waves that operators ordered.
#[derive(Debug, Default)]
pub(crate) struct Waves {
    states: BTreeMap<u64, WaveState>,
    /// Hosts whose maintenance has begun, by wave, as former leaders and this one recorded.
    begun: BTreeMap<u64, BTreeSet<Arc<str>>>,
    changed: BTreeSet<u64>,
}

impl Waves {
    pub(super) fn has_changed(&self) -> bool {
        !self.changed.is_empty()
    }

    /// Takes the records that are to be written.
    pub(super) fn take_changed(&mut self) -> Vec<(u64, Vec<Arc<str>>)> {
        let changed = std::mem::take(&mut self.changed);
        let mut records = Vec::new();
        for number in changed {
            let hosts = self.begun.get(&number).into_iter().flatten().cloned().collect();
            records.push((number, hosts));
        }
        records
    }

    /// Whether a wave has a claim on this host now.
    pub(super) fn holds(&self, host: &str) -> bool {
        let mut stages = self.states.values().filter_map(|wave| wave.stages.get(host));
        stages.any(|stage| !matches!(stage, HostStage::Waiting { .. } | HostStage::Over))
    }

    fn note_begun(&mut self, number: u64, host: &Arc<str>) {
        if self.begun.entry(number).or_default().insert(host.clone()) {
            self.changed.insert(number);
        }
    }
}

impl WaveState {
    /// Hosts that are down, or may be.
    fn down(&self) -> u32 {
        let is_down = |stage: &&HostStage| {
            matches!(stage, HostStage::Ordered | HostStage::Unanswered { .. } | HostStage::Down { .. })
        };
        self.stages.values().filter(is_down).count() as u32
    }

    fn emptying(&self) -> u32 {
        self.stages.values().filter(|stage| matches!(stage, HostStage::Emptying { .. })).count() as u32
    }
}

impl Scheduler {
    /// Takes an operator's order. Hearing of it again changes nothing.
    pub(crate) fn wave_ordered(&mut self, order: WaveOrder) {
        if self.waves.states.contains_key(&order.number) {
            return;
        }
        let begun = self.waves.begun.entry(order.number).or_default();
        let mut stages = BTreeMap::new();
        for host in &order.hosts {
            // A host that a former leader sent down is back, or will be soon: the first look at the list tells.
            let stage = match begun.contains(host) {
                true => HostStage::Down { since_us: 0 },
                false => HostStage::Waiting { not_before_us: 0 },
            };
            stages.insert(host.clone(), stage);
        }
        let state = WaveState { stages, told: None, telling: false, tell_again_us: 0, order };
        self.waves.states.insert(state.order.number, state);
    }

    /// Takes a former leader's record, before the wave's order is heard.
    pub(crate) fn restore_wave(&mut self, number: u64, hosts: Vec<Arc<str>>) {
        self.waves.begun.insert(number, hosts.into_iter().collect());
    }

    /// Decides which hosts go down now.
    pub(super) fn run_waves(&mut self, now_us: u64) {
        if !self.may_order_hosts(now_us) {
            return;
        }
        let numbers: Vec<u64> = self.waves.states.keys().copied().collect();
        for number in numbers {
            self.note_returns(number);
            self.choose_next(now_us, number);
            self.empty_and_order(now_us, number);
            self.tell(now_us, number);
        }
    }

    fn set_stage(&mut self, number: u64, host: &Arc<str>, stage: HostStage) {
        if let Some(wave) = self.waves.states.get_mut(&number) {
            wave.stages.insert(host.clone(), stage);
        }
    }

    /// Hosts that are up again after their time, and hosts that are gone.
    fn note_returns(&mut self, number: u64) {
        let away_us = (self.settings.upkeep_ms + RETURN_MARGIN_MS) * US_PER_MS;
        let Some(wave) = self.waves.states.get_mut(&number) else { return };
        for (host, stage) in &mut wave.stages {
            let Some(record) = self.hosts.get(host) else {
                if !matches!(stage, HostStage::Ordered | HostStage::Over) {
                    log::warn!("host={host} wave={number} outcome=host_gone");
                    *stage = HostStage::Over;
                }
                continue;
            };
            let HostStage::Down { since_us } = *stage else { continue };
            let listed_late_enough = self.duties.hosts_read_us >= since_us + away_us;
            if listed_late_enough && record.phase == HostPhase::Up {
                *stage = HostStage::Over;
            }
        }
    }

    /// Picks hosts to empty: those with the least work first.
    fn choose_next(&mut self, now_us: u64, number: u64) {
        let Some(wave) = self.waves.states.get(&number) else { return };
        let mut free = wave.order.max_down.saturating_sub(wave.down() + wave.emptying());
        if free == 0 {
            return;
        }
        let mut candidates = Vec::new();
        for (host, stage) in &wave.stages {
            let HostStage::Waiting { not_before_us } = stage else { continue };
            let Some(record) = self.hosts.get(host) else { continue };
            if now_us < *not_before_us
                || record.phase != HostPhase::Up
                || self.duties.is_moving(host)
                || !self.is_settled(now_us, host)
            {
                continue;
            }
            candidates.push((self.work_on(host), host.clone()));
        }
        candidates.sort();
        for (_, host) in candidates {
            if free == 0 {
                return;
            }
            free -= 1;
            self.cordon(&host, true);
            self.set_stage(number, &host, HostStage::Emptying { since_us: now_us });
        }
    }

    /// Work that a host has: work that lasts, and processor in use.
    fn work_on(&self, host: &str) -> (u32, u64) {
        match self.worker_on(host).and_then(|id| self.workers.get(&id)) {
            Some(worker) => (worker.long_running_count, worker.reserved.cpu_milli),
            None => (0, 0),
        }
    }

    /// The worker that runs on a host.
    pub(super) fn worker_on(&self, host: &str) -> Option<Arc<str>> {
        let by_list = self.hosts.get(host).and_then(|record| record.worker.clone());
        if by_list.as_ref().is_some_and(|id| self.workers.get(id).is_some_and(|worker| worker.is_listed)) {
            return by_list;
        }
        let id = self.on_host.get(host)?;
        self.workers.get(id).is_some_and(|worker| worker.is_listed).then(|| id.clone())
    }

    /// Keeps new work away from a host, or lets it come again.
    pub(super) fn cordon(&mut self, host: &str, is_cordoned: bool) {
        let Some(id) = self.worker_on(host) else { return };
        if let Some(worker) = self.workers.get_mut(&id) {
            worker.is_cordoned = is_cordoned;
        }
    }

    fn empty_and_order(&mut self, now_us: u64, number: u64) {
        let Some(wave) = self.waves.states.get(&number) else { return };
        let mut emptying = Vec::new();
        let mut again = Vec::new();
        for (host, stage) in &wave.stages {
            match *stage {
                HostStage::Emptying { since_us } => emptying.push((host.clone(), since_us)),
                HostStage::Unanswered { again_us } if now_us >= again_us => again.push(host.clone()),
                _ => {}
            }
        }
        for (host, since_us) in emptying {
            let waited_ms = now_us.saturating_sub(since_us) / US_PER_MS;
            if self.empty(now_us, &host, waited_ms) {
                again.push(host);
            }
        }
        for host in again {
            self.set_stage(number, &host, HostStage::Ordered);
            self.host_orders.push(now_us, HostOrder::Maintain { host, wave: number });
        }
    }

    /// Brings a host's work to an end; whether it has none.
    fn empty(&mut self, now_us: u64, host: &str, waited_ms: u64) -> bool {
        let Some(id) = self.worker_on(host) else { return true };
        let Some(worker) = self.workers.get_mut(&id) else { return true };
        worker.is_cordoned = true;
        let tasks: Vec<TaskRef> = worker.tasks.iter().cloned().collect();
        for at in &tasks {
            let Some(step) = self.step_of(at) else { continue };
            let (long_running, checkpoints) = (step.long_running, step.checkpoints);
            let may_stop = match long_running {
                true => {
                    self.may_be_away(now_us, at)
                        && (waited_ms >= OTHER_PLACE_MS || self.has_other_place(now_us, at, step))
                }
                false => waited_ms >= DRAIN_MS || checkpoints,
            };
            if may_stop {
                self.order_stop(now_us, at);
            }
        }
        tasks.is_empty()
    }

    /// Whether another worker could run a work item once its own work that ends by itself has ended.
    fn has_other_place(&self, now_us: u64, at: &TaskRef, step: &Step) -> bool {
        let Some(job) = self.jobs.get(&at.job) else { return true };
        let pool = &self.queue_of(job).pool;
        let members = self.members(at, step);
        self.candidates(now_us, pool).iter().any(|worker| {
            let members = members.get(&worker.id).copied().unwrap_or(0);
            worker.admits(step, members) && step.reserved().fits_in(&worker.room_beside_lasting)
        })
    }

    /// Whether one more work item of its step may be away.
    pub(super) fn may_be_away(&self, now_us: u64, at: &TaskRef) -> bool {
        let Some(step) = self.step_of(at) else { return true };
        let Some(max_unavailable) = step.max_unavailable else { return true };
        let Some(occurrence) = self.jobs.get(&at.job).and_then(|job| job.occurrences.get(&at.occurrence)) else {
            return true;
        };
        let tasks = &occurrence.steps[at.step as usize].tasks;
        let mut others_away = 0;
        for (index, task) in tasks.iter().enumerate() {
            if index as u32 == at.index {
                let is_settled = matches!(task.state, TaskState::Placed { phase: RunPhase::Running { .. }, .. });
                if !is_settled {
                    return true;
                }
                continue;
            }
            let is_heard = task
                .placed_on()
                .and_then(|life| self.workers.get(&life.id))
                .is_some_and(|worker| worker.is_listed && worker.has_answered_recently(now_us));
            others_away += u32::from(!task.is_fully_running() || !is_heard);
        }
        others_away < max_unavailable
    }

    /// An order to maintain a host was answered, or was not.
    pub(crate) fn maintenance_ended(&mut self, now_us: u64, host: &Arc<str>, number: u64, end: HostOrderOutcome) {
        let retry_us = now_us + DUTY_RETRY_MS * US_PER_MS;
        let stage = match end {
            HostOrderOutcome::Done => {
                self.waves.note_begun(number, host);
                self.host_taken(now_us, host);
                HostStage::Down { since_us: now_us }
            }
            HostOrderOutcome::Unanswered => HostStage::Unanswered { again_us: retry_us },
            HostOrderOutcome::NotInWave | HostOrderOutcome::Invalid => {
                log::warn!("host={host} wave={number} end={end:?} outcome=maintenance_refused");
                self.cordon(host, false);
                HostStage::Over
            }
            HostOrderOutcome::Busy
            | HostOrderOutcome::Throttled
            | HostOrderOutcome::NotDone
            | HostOrderOutcome::Fenced => {
                self.cordon(host, false);
                HostStage::Waiting { not_before_us: retry_us }
            }
        };
        self.set_stage(number, host, stage);
    }

    /// The provider took a host away: whatever ran there is over.
    pub(super) fn host_taken(&mut self, now_us: u64, host: &str) {
        let Some(id) = self.worker_on(host) else { return };
        self.lose_all(now_us, &id);
        self.worker_unlisted(&id);
        if let Some(record) = self.hosts.get_mut(host) {
            record.worker = None;
        }
    }

    /// Tells operators how a wave stands.
    fn tell(&mut self, now_us: u64, number: u64) {
        let Some(wave) = self.waves.states.get_mut(&number) else { return };
        let is_complete = wave.stages.values().all(|stage| *stage == HostStage::Over);
        if wave.told == Some(is_complete) || wave.telling || now_us < wave.tell_again_us {
            return;
        }
        wave.telling = true;
        self.actions.push(Action::ReportWave { wave: number, complete: is_complete });
    }

    /// A report about a wave was written, or was not.
    pub(crate) fn wave_reported(&mut self, now_us: u64, number: u64, complete: bool, written: bool) {
        let Some(wave) = self.waves.states.get_mut(&number) else { return };
        wave.telling = false;
        if written {
            wave.told = Some(complete);
        } else {
            wave.tell_again_us = now_us + REPORT_RETRY_MS * US_PER_MS;
        }
    }
}
