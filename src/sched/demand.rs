//! Room and demand of each pool.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;

use super::job::{Job, TaskState};
use super::model::HostPhase;
use super::scheduler::Scheduler;
use super::worker::Worker;
use crate::clock::US_PER_MS;

/// Fewer workers say nothing about being cut off.
const MIN_KNOWN: f64 = 4.0;
/// Time between two reports of the pools.
const REPORT_MS: u64 = 1_000;
/// Room wanted beyond the demand: work items do not fill workers to the last core.
const HEADROOM: f64 = 1.2;

/// Time over which waiting work is spread when it is counted as demand: workers are free again and again until then.
const SPREAD_MS: u64 = 1_500;

/// A pool's room and demand, in thousandths of a core.
#[derive(Debug, Default, Clone)]
pub(super) struct Balance {
    pub(super) room: u64,
    /// Work that is owed or can be done in time.
    pub(super) demand: u64,
    /// Further work, for which room that nobody else needs is enough.
    pub(super) late_demand: u64,
}

impl Balance {
    pub(super) fn all_demand(&self) -> u64 {
        self.demand + self.late_demand
    }

    /// Room beyond the demand that claims hosts.
    pub(super) fn surplus(&self) -> u64 {
        self.room.saturating_sub(self.demand)
    }
}

impl Scheduler {
    /// Room and demand of every pool.
    pub(super) fn balances(&mut self, now_us: u64) -> BTreeMap<Arc<str>, Balance> {
        let mut balances: BTreeMap<Arc<str>, Balance> = BTreeMap::new();
        for pool in &self.catalog.pools {
            if !pool.spare {
                balances.insert(pool.name.clone(), Balance::default());
            }
        }
        self.note_claims(now_us);
        self.note_silent_zones();
        for worker in self.workers.values() {
            let Some(balance) = balances.get_mut(&worker.entry.pool) else { continue };
            if worker.is_usable() {
                balance.room += worker.entry.capacity.cpu_milli;
            }
            let firm = self.firm_cpu_milli(worker);
            balance.demand += firm;
            balance.late_demand += worker.reserved.cpu_milli.saturating_sub(firm);
        }
        for id in &self.ready {
            let Some(job) = self.jobs.get(id) else { continue };
            let queue = self.queue_of(job);
            let Some(balance) = balances.get_mut(&queue.pool) else { continue };
            if self.duties.claims.contains(id) {
                balance.demand += waiting_cpu_milli(job);
            } else {
                balance.late_demand += waiting_cpu_milli(job);
            }
        }
        let inherited = self.inherited_moves();
        for (pool, balance) in &mut balances {
            let lasting = self.lasting_cpu_milli(pool);
            let arriving = self.duties.arriving_work(now_us, pool) + lasting;
            self.duties.note_demand(now_us, pool, balance.demand.max(arriving));
            balance.demand = (self.duties.recent_demand(pool) as f64 * HEADROOM) as u64;
            balance.room += self.duties.arriving(now_us, pool) + inherited.get(pool).copied().unwrap_or(0);
        }
        balances
    }

    /// Room on its way to each pool that a former leader ordered.
    fn inherited_moves(&self) -> BTreeMap<Arc<str>, u64> {
        let mut milli = BTreeMap::new();
        for (name, host) in &self.hosts {
            if host.phase == HostPhase::Moving && !self.duties.is_moving(name) {
                *milli.entry(host.pool.clone()).or_default() += host.capacity.cpu_milli;
            }
        }
        milli
    }

    /// Writes one line for each pool now and then.
    pub(super) fn report_pools(&mut self, now_us: u64, balances: &BTreeMap<Arc<str>, Balance>) {
        if now_us < self.duties.report_at_us {
            return;
        }
        self.duties.report_at_us = now_us + REPORT_MS * US_PER_MS;
        for (pool, balance) in balances {
            let (mut workers, mut usable, mut used) = (0, 0, 0);
            for worker in self.workers.values() {
                if worker.entry.pool != *pool {
                    continue;
                }
                workers += u32::from(worker.is_listed);
                usable += u32::from(worker.accepts_new_tasks(now_us));
                used += worker.reserved.cpu_milli;
            }
            log::info!(
                "pool={pool} workers={workers} usable={usable} used_milli={used} room_milli={} demand_milli={} late_milli={} moving={} \
                 outcome=balance",
                balance.room,
                balance.demand,
                balance.late_demand,
                self.duties.moving_count()
            );
            self.report_waiting(now_us, pool);
        }
    }

    /// Finds the zones that are cut off from here.
    fn note_silent_zones(&mut self) {
        let mut counts: BTreeMap<Arc<str>, (u32, u32)> = BTreeMap::new();
        for worker in self.workers.values() {
            let (silent, all) = counts.entry(worker.entry.zone.clone()).or_default();
            *silent += u32::from(worker.is_silent);
            *all += 1;
        }
        let mostly_silent = |(_, (silent, all)): &(Arc<str>, (u32, u32))| silent * 2 > *all;
        self.duties.silent_zones = counts.into_iter().filter(mostly_silent).map(|(zone, _)| zone).collect();
    }

    /// Share of the workers that do not answer.
    pub(crate) fn silent_share(&self) -> f64 {
        let (mut silent, mut known) = (0.0, 0.0);
        for worker in self.workers.values() {
            if !worker.is_listed || !(worker.is_silent || worker.is_synced) {
                continue;
            }
            silent += f64::from(u8::from(worker.is_silent));
            known += 1.0;
        }
        if known < MIN_KNOWN {
            0.0
        } else {
            silent / known
        }
    }

    /// Processor in use by work that lasts, in thousandths of a core.
    fn lasting_cpu_milli(&self, pool: &str) -> u64 {
        let mut milli = 0;
        for worker in self.workers.values() {
            if &*worker.entry.pool != pool || worker.long_running_count == 0 {
                continue;
            }
            for at in &worker.tasks {
                let Some(step) = self.step_of(at) else { continue };
                if step.long_running {
                    milli += step.reserved().cpu_milli;
                }
            }
        }
        milli
    }

    /// Notes which jobs' work claims hosts.
    fn note_claims(&mut self, now_us: u64) {
        let mut claims = HashSet::new();
        let placed = self.workers.values().flat_map(|worker| worker.tasks.iter().map(|at| &at.job));
        for id in placed.chain(&self.ready) {
            if claims.contains(id) {
                continue;
            }
            if self.jobs.get(id).is_some_and(|job| job.deadline_forecast(now_us).claims_hosts()) {
                claims.insert(id.clone());
            }
        }
        self.duties.claims = claims;
    }

    /// Processor in use by work that is owed or can be done in time.
    pub(super) fn firm_cpu_milli(&self, worker: &Worker) -> u64 {
        let mut milli = 0;
        for at in &worker.tasks {
            if !self.duties.claims.contains(&at.job) {
                continue;
            }
            if let Some(job) = self.jobs.get(&at.job) {
                milli += job.spec.steps[at.step as usize].reserved().cpu_milli;
            }
        }
        milli
    }
}

/// Processor need of work items that could start now.
fn waiting_cpu_milli(job: &Job) -> u64 {
    let mut milli = 0;
    for (number, occurrence) in &job.occurrences {
        for (index, step) in occurrence.steps.iter().enumerate() {
            if !job.is_step_unblocked(*number, index) {
                continue;
            }
            let waiting = step.tasks.iter().filter(|task| task.state == TaskState::Waiting).count() as u64;
            let spec = &job.spec.steps[index];
            let share_ms = if spec.long_running { SPREAD_MS } else { spec.estimate_ms.min(SPREAD_MS) };
            milli += waiting * spec.reserved().cpu_milli * share_ms / SPREAD_MS;
        }
    }
    milli
}
