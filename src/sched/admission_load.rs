//! Collects what the admission estimate needs from the scheduler's state, and decides when daemons are told.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use foldhash::HashMap;

use super::admission::{pool_waits, AdmissionReport, Backlog, PoolLoad, FULL_SHARE};
use super::job::{DeadlineForecast, Job, ShareClass};
use super::model::{HostPhase, Queue, Resources};
use super::scheduler::Scheduler;
use crate::clock::US_PER_MS;
use crate::row_store::MAX_ROW_BYTES;

/// Minimum time between two reports.
const REPORT_INTERVAL_MS: u64 = 500;
/// For this long after its latest job beyond its rate, an organisation counts as submitting beyond it.
const BEYOND_RATE_MEMORY_MS: u64 = 2_000;

/// The latest admission report, and when one was last computed.
#[derive(Debug, Default)]
pub(super) struct AdmissionReports {
    /// Whether or not the report had changed.
    checked_us: u64,
    reported: AdmissionReport,
    /// Whether the latest report was too long for a row.
    is_shortened: bool,
}

/// Key of a backlog: organisation, class and priority.
type BacklogKey = (Option<Arc<str>>, ShareClass, u32);

/// Sums over the workers of a pool.
#[derive(Debug, Default)]
struct PoolTotals {
    capacity: Resources,
    reserved: Resources,
    long_running_milli: u64,
}

impl Scheduler {
    /// The report to be stored for the daemons with the next batch, at most one per `REPORT_INTERVAL_MS`. A report that is
    /// not empty is repeated, because daemons disregard one that has become old. Without organisations there is none.
    pub(super) fn take_admission_report(&mut self, now_us: u64) -> Option<AdmissionReport> {
        let is_due = now_us >= self.admission_reports.checked_us + REPORT_INTERVAL_MS * US_PER_MS;
        if !is_due || self.catalog.organisations.is_empty() {
            return None;
        }
        self.admission_reports.checked_us = now_us;
        let mut report = self.admission_report(now_us);
        let left_out = report.limit_to(MAX_ROW_BYTES);
        if left_out > 0 && !self.admission_reports.is_shortened {
            log::warn!("left_out={left_out} waits={} outcome=admission_report_shortened", report.waits.len());
        }
        self.admission_reports.is_shortened = left_out > 0;
        if report.is_empty() && self.admission_reports.reported.is_empty() {
            return None;
        }
        self.admission_reports.reported.clone_from(&report);
        Some(report)
    }

    fn admission_report(&self, now_us: u64) -> AdmissionReport {
        let backlogs = self.backlogs(now_us);
        let mut pools = self.full_pools(backlogs.keys());
        if !pools.is_empty() {
            self.add_expected_capacity(now_us, &mut pools);
        }
        for (pool, of_pool) in backlogs {
            let Some(load) = pools.get_mut(&pool) else { continue };
            for ((organisation, class, priority), work) in of_pool {
                let configured = organisation.as_ref().and_then(|name| self.catalog.organisations.get(name));
                // A removed organisation keeps its jobs, without a quota and without a share.
                let cap_milli = configured.map_or(u64::MAX, |configured| configured.cap.cpu_milli);
                let weight = configured.map_or(0.0, |configured| configured.weight);
                load.backlog.push(Backlog { organisation, class, priority, work, weight, cap_milli });
            }
        }
        AdmissionReport { waits: pool_waits(&pools), beyond_rate: self.organisations_beyond_rate(now_us) }
    }

    /// Work that waits in each pool.
    fn backlogs(&self, now_us: u64) -> BTreeMap<Arc<str>, BTreeMap<BacklogKey, u64>> {
        let queues: HashMap<&str, &Arc<Queue>> =
            self.catalog.queues.iter().map(|queue| (&*queue.name, queue)).collect();
        let mut backlogs: BTreeMap<Arc<str>, BTreeMap<BacklogKey, u64>> = BTreeMap::new();
        for job in self.jobs.values() {
            if job.phase.is_final() || !counts_as_backlog(now_us, job) {
                continue;
            }
            let queue = queues.get(&*job.spec.queue.name).copied().unwrap_or(&job.spec.queue);
            let work = (job.waiting_work() as f64 * self.run_times.average_ratio(&queue.name)) as u64;
            if work == 0 {
                continue;
            }
            let key = (job.spec.organisation.clone(), job.share_class, queue.priority);
            *backlogs.entry(queue.pool.clone()).or_default().entry(key).or_default() += work;
        }
        backlogs
    }

    fn organisations_beyond_rate(&self, now_us: u64) -> Vec<Arc<str>> {
        let mut beyond_rate: BTreeSet<Arc<str>> = BTreeSet::new();
        for job in self.jobs.values() {
            let is_recent = now_us < job.accepted_us + BEYOND_RATE_MEMORY_MS * US_PER_MS;
            if job.share_class == ShareClass::BeyondRate && is_recent {
                beyond_rate.extend(job.spec.organisation.clone());
            }
        }
        beyond_rate.into_iter().collect()
    }

    /// Those of `pools` in which a job may find no room, with the capacity of their workers. Workers that have not answered
    /// yet count, those that have failed to do not.
    fn full_pools<'a>(&self, pools: impl Iterator<Item = &'a Arc<str>>) -> BTreeMap<Arc<str>, PoolLoad> {
        let mut totals: BTreeMap<&Arc<str>, PoolTotals> = pools.map(|pool| (pool, PoolTotals::default())).collect();
        for worker in self.workers.values() {
            if !worker.is_listed || worker.is_silent || worker.entry.draining {
                continue;
            }
            let Some(total) = totals.get_mut(&worker.entry.pool) else { continue };
            total.capacity.add(&worker.entry.capacity);
            total.reserved.add(&worker.reserved);
            total.long_running_milli += worker.long_running_milli();
        }
        let mut loads = BTreeMap::new();
        for (pool, total) in totals {
            let reserved_share = highest_share(&total.reserved, &total.capacity);
            if reserved_share < FULL_SHARE {
                continue;
            }
            let capacity_milli = total.capacity.cpu_milli.saturating_sub(total.long_running_milli);
            let load = PoolLoad { capacity_milli, reserved_share, ..PoolLoad::default() };
            loads.insert(pool.clone(), load);
        }
        loads
    }

    fn add_expected_capacity(&self, now_us: u64, pools: &mut BTreeMap<Arc<str>, PoolLoad>) {
        let (idle, all_idle_milli) = self.idle_milli_by_pool();
        let former_leader_moves = self.former_leader_moves();
        for (pool, load) in pools {
            let milli_of = |by_pool: &BTreeMap<Arc<str>, u64>| by_pool.get(pool).copied().unwrap_or(0);
            let incoming_milli = self.host_moves.incoming_capacity_milli(now_us, pool, &self.hosts);
            load.expected_milli = incoming_milli + milli_of(&former_leader_moves) + all_idle_milli - milli_of(&idle);
        }
    }

    /// CPU of hosts without tasks, by pool and in total. Hosts of the spare pool count in the total.
    fn idle_milli_by_pool(&self) -> (BTreeMap<Arc<str>, u64>, u64) {
        let mut by_pool: BTreeMap<Arc<str>, u64> = BTreeMap::new();
        let mut all_milli = 0;
        for (name, host) in &self.hosts {
            if host.phase != HostPhase::Up || self.is_host_leaving(name) || self.may_run_tasks(name) {
                continue;
            }
            *by_pool.entry(host.pool.clone()).or_default() += host.capacity.cpu_milli;
            all_milli += host.capacity.cpu_milli;
        }
        (by_pool, all_milli)
    }
}

/// Whether a job's waiting tasks keep others waiting. Jobs whose result has lost its value come after all others.
fn counts_as_backlog(now_us: u64, job: &Job) -> bool {
    match job.deadline_forecast(now_us) {
        DeadlineForecast::OnTime { .. } | DeadlineForecast::Late { .. } => true,
        DeadlineForecast::LongRunning | DeadlineForecast::Expired { .. } => false,
    }
}

/// Highest share of a resource that is reserved.
fn highest_share(reserved: &Resources, capacity: &Resources) -> f64 {
    let pairs =
        [(reserved.cpu_milli, capacity.cpu_milli), (reserved.mem_mb, capacity.mem_mb), (reserved.gpus, capacity.gpus)];
    let mut highest: f64 = 0.0;
    for (reserved, capacity) in pairs {
        if capacity > 0 {
            highest = highest.max(reserved as f64 / capacity as f64);
        }
    }
    highest
}
