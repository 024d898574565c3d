//! Capacity and demand of each pool.

use std::collections::BTreeMap;
use std::sync::Arc;

use foldhash::HashSet;

use super::allocation::PoolBalance;
use super::job::{Job, ShareClass, TaskState};
use super::model::HostPhase;
use super::scheduler::Scheduler;
use super::usage::QuotaBudget;
use super::work_counts::Work;
use super::worker::Worker;
use crate::clock::US_PER_MS;

/// With fewer workers than this, the share of silent ones does not tell whether this daemon is cut off.
const MIN_WORKERS_FOR_SHARE: f64 = 4.0;
/// Interval between two log lines about each pool.
const REPORT_INTERVAL_MS: u64 = 1_000;
/// Capacity wanted as a multiple of the demand, because tasks do not fill workers to the last core.
const DEMAND_HEADROOM: f64 = 1.2;
/// A waiting task with a shorter estimate than this counts as demand in proportion to its estimate, because workers
/// become free again within this time and can run several such tasks one after the other.
const SHORT_TASK_MS: u64 = 1_500;

impl Scheduler {
    /// Balances of all pools other than the spare pool.
    pub(super) fn pool_balances(&mut self, now_us: u64) -> BTreeMap<Arc<str>, PoolBalance> {
        let mut balances: BTreeMap<Arc<str>, PoolBalance> = BTreeMap::new();
        for pool in &self.catalog.pools {
            if !pool.spare {
                balances.insert(pool.name.clone(), PoolBalance::default());
            }
        }
        self.update_on_time_jobs(now_us);
        self.update_silent_zones();
        self.work_counts.add(Work::WorkersCounted, self.workers.len());
        for worker in self.workers.values() {
            let Some(balance) = balances.get_mut(&worker.entry.pool) else { continue };
            if worker.is_usable() {
                balance.capacity += worker.entry.capacity.cpu_milli;
            }
            let on_time = self.on_time_cpu_milli(worker);
            balance.present_demand += on_time;
            // Copies bring no hosts to their pool.
            let of_tasks = worker.reserved.cpu_milli.saturating_sub(self.copies_cpu_milli(worker));
            balance.late_demand += of_tasks.saturating_sub(on_time);
        }
        let mut quotas = self.quota_budget();
        for job in self.ready_jobs_on_time_first() {
            let queue = &job.queue;
            let Some(balance) = balances.get_mut(&queue.pool) else { continue };
            if self.host_moves.on_time_jobs.contains(&job.id) {
                balance.present_demand += waiting_cpu_milli(job, &mut quotas);
            } else {
                balance.late_demand += waiting_cpu_milli(job, &mut quotas);
            }
        }
        let former_leader_moves = self.former_leader_moves();
        for (pool, balance) in &mut balances {
            let long_running = self.long_running_cpu_milli(pool);
            let arriving = self.forecast.arriving_demand_milli(now_us, pool) + long_running;
            let recent = self.forecast.record_demand(now_us, pool, balance.present_demand, arriving);
            balance.present_demand = with_headroom(recent.present_milli);
            balance.expected_demand = with_headroom(recent.present_milli.max(recent.arriving_milli));
            balance.capacity += self.host_moves.incoming_capacity_milli(now_us, pool, &self.hosts)
                + former_leader_moves.get(pool).copied().unwrap_or(0);
        }
        balances
    }

    /// Jobs with tasks that could start; on-time jobs come first, as they do where a quota lets only some tasks start.
    pub(super) fn ready_jobs_on_time_first(&self) -> impl Iterator<Item = &Job> {
        let of_kind = move |is_on_time: bool| {
            let ids = self.ready_jobs.iter().filter(move |id| self.host_moves.on_time_jobs.contains(*id) == is_on_time);
            ids.filter_map(|id| self.jobs.get(id))
        };
        of_kind(true).chain(of_kind(false))
    }

    /// Capacity that is moving to each pool by order of a former leader.
    pub(super) fn former_leader_moves(&self) -> BTreeMap<Arc<str>, u64> {
        let mut milli = BTreeMap::new();
        for (name, host) in &self.hosts {
            if host.phase == HostPhase::Moving && !self.host_moves.is_moving(name) {
                *milli.entry(host.pool.clone()).or_default() += host.capacity.cpu_milli;
            }
        }
        milli
    }

    /// Logs one line per pool, at most once per `REPORT_INTERVAL_MS`.
    pub(super) fn report_pools(&mut self, now_us: u64, balances: &BTreeMap<Arc<str>, PoolBalance>) {
        if now_us < self.host_moves.next_report_us {
            return;
        }
        self.host_moves.next_report_us = now_us + REPORT_INTERVAL_MS * US_PER_MS;
        for (pool, balance) in balances {
            let (mut workers, mut usable, mut reserved) = (0, 0, 0);
            for worker in self.workers.values() {
                if worker.entry.pool != *pool {
                    continue;
                }
                workers += u32::from(worker.is_listed);
                usable += u32::from(worker.accepts_new_tasks(now_us));
                reserved += worker.reserved.cpu_milli;
            }
            log::info!(
                "pool={pool} workers={workers} usable={usable} reserved_milli={reserved} capacity_milli={} \
                 on_time_demand_milli={} expected_demand_milli={} late_demand_milli={} moving_hosts={} \
                 outcome=balance",
                balance.capacity,
                balance.present_demand,
                balance.expected_demand,
                balance.late_demand,
                self.host_moves.moving_count()
            );
            self.log_wait_causes(now_us, pool);
        }
    }

    /// Finds the zones in which most workers do not answer.
    fn update_silent_zones(&mut self) {
        let mut counts: BTreeMap<Arc<str>, (u32, u32)> = BTreeMap::new();
        for worker in self.workers.values() {
            let (silent, all) = counts.entry(worker.entry.zone.clone()).or_default();
            *silent += u32::from(worker.is_silent);
            *all += 1;
        }
        let mostly_silent = |(_, (silent, all)): &(Arc<str>, (u32, u32))| silent * 2 > *all;
        self.host_moves.silent_zones = counts.into_iter().filter(mostly_silent).map(|(zone, _)| zone).collect();
    }

    /// Share of silent workers among those that are known to be alive: they have answered this leader, or renew their entries
    /// in the registry without answering. A worker that does neither is reached by no other leader either.
    pub(crate) fn silent_share(&self) -> f64 {
        let (mut silent, mut known) = (0.0, 0.0);
        for worker in self.workers.values() {
            let is_alive = worker.is_synced || (worker.is_silent && worker.has_renewed_entry);
            if !worker.is_listed || !is_alive {
                continue;
            }
            silent += f64::from(u8::from(worker.is_silent));
            known += 1.0;
        }
        if known < MIN_WORKERS_FOR_SHARE {
            0.0
        } else {
            silent / known
        }
    }

    /// CPU reserved by long-running tasks of a pool, in thousandths of a core.
    fn long_running_cpu_milli(&self, pool: &str) -> u64 {
        let mut milli = 0;
        for worker in self.workers.values() {
            if &*worker.entry.pool != pool || worker.long_running_count == 0 {
                continue;
            }
            for task_ref in &worker.tasks {
                let Some(step) = self.step_of(task_ref) else { continue };
                if step.long_running {
                    milli += step.reserved().cpu_milli;
                }
            }
        }
        milli
    }

    /// Finds the on-time jobs among those that have placed tasks or tasks that could start. Jobs beyond the rate of their
    /// organisation do not count as such.
    fn update_on_time_jobs(&mut self, now_us: u64) {
        let mut jobs = HashSet::default();
        let placed = self.workers.values().flat_map(|worker| worker.tasks.iter().map(|task_ref| &task_ref.job));
        for id in placed.chain(self.ready_jobs.iter()) {
            if jobs.contains(id) {
                continue;
            }
            let Some(job) = self.jobs.get(id) else { continue };
            if job.share_class == ShareClass::WithinRate && job.deadline_forecast(now_us).claims_hosts() {
                jobs.insert(id.clone());
            }
        }
        self.host_moves.on_time_jobs = jobs;
    }

    /// CPU reserved by a worker's tasks of on-time jobs, without copies, in thousandths of a core.
    pub(super) fn on_time_cpu_milli(&self, worker: &Worker) -> u64 {
        let mut milli = 0;
        self.work_counts.add(Work::RunsCounted, worker.tasks.len());
        for task_ref in &worker.tasks {
            if !self.host_moves.on_time_jobs.contains(&task_ref.job) {
                continue;
            }
            if worker.speculative_count > 0 && self.is_copy_on(task_ref, worker) {
                continue;
            }
            if let Some(job) = self.jobs.get(&task_ref.job) {
                milli += job.spec.steps[task_ref.step as usize].reserved().cpu_milli;
            }
        }
        milli
    }
}

fn with_headroom(milli: u64) -> u64 {
    (milli as f64 * DEMAND_HEADROOM) as u64
}

/// CPU needed by tasks that could start now, also by their quota, in thousandths of a core.
pub(super) fn waiting_cpu_milli(job: &Job, quotas: &mut QuotaBudget<'_>) -> u64 {
    let mut milli = 0;
    for (number, occurrence) in &job.occurrences {
        for (index, step) in occurrence.steps.iter().enumerate() {
            if !job.is_step_unblocked(*number, index) {
                continue;
            }
            let waiting = step.tasks.iter().filter(|task| task.state == TaskState::Waiting).count() as u32;
            let spec = &job.spec.steps[index];
            let startable = u64::from(quotas.take(job.spec.organisation.as_ref(), spec, waiting));
            let share_ms = if spec.long_running { SHORT_TASK_MS } else { spec.estimate_ms.min(SHORT_TASK_MS) };
            milli += startable * spec.reserved().cpu_milli * share_ms / SHORT_TASK_MS;
        }
    }
    milli
}
