//! Selects which jobs of a pool are given up as late when not all of them can be on time.
//!
//! The load that this answers: a pool whose on-time jobs, of very unequal size, need more than its workers can do, such as
//! at the beginning of a rise, while many hosts are lost, or after an outage. In the order of their deadlines alone, each
//! job then starts at the last moment and all are late by a little. Giving up the largest jobs first leaves the most jobs
//! on time (Moore's algorithm for the number of late jobs, on the pool's capacity as one machine). With organisations, it
//! is the largest job of the one that has most work for its weight, so that each gives up jobs in proportion.
//!
//! This needs estimates that tell large jobs from small ones. Where a queue's run times have shown that its estimates do
//! not, none of its jobs is given up.
//!
//! A job that is given up is placed after those on time, and is considered again in the next round.

use std::collections::BinaryHeap;
use std::sync::Arc;

use foldhash::HashMap;

use super::candidate::Candidate;
use super::job::{DeadlineForecast, Job};
use super::scheduler::Scheduler;
use super::urgency::{Rank, Urgency};
use crate::clock::{MS_PER_S, US_PER_MS};

/// Which jobs that have not begun are placed first where not all can be on time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum OverloadOrder {
    /// Those with the least time left, as long as they can still be on time.
    #[cfg(any(test, feature = "lab"))]
    LeastTimeLeft,
    /// Those of the largest set that can be on time together.
    #[default]
    MostJobsOnTime,
}

/// Work of a job that can still be on time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct DueWork {
    /// Jobs of a lower rank come first whatever their deadlines are, and are never given up for one of a higher rank.
    pub(super) rank: Rank,
    /// Index of the job's organisation in the list of their loads.
    pub(super) organisation: usize,
    /// The job is on time if its remaining tasks can start by this time.
    pub(super) latest_start_us: u64,
    /// Work of its waiting tasks, in thousandths of a core times milliseconds.
    pub(super) work: u64,
    /// Whether none of its tasks has started, and the estimates of its queue are reliable. Others are never given up.
    pub(super) may_give_up: bool,
}

/// What a pool's workers can do, in thousandths of a core.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct PoolCapacity {
    pub(super) now_us: u64,
    pub(super) present_milli: f64,
    /// Of hosts on their way to the pool.
    pub(super) incoming_milli: f64,
    /// When these can run tasks.
    pub(super) incoming_from_us: u64,
}

impl PoolCapacity {
    /// When an amount of work, in thousandths of a core times milliseconds, is done.
    fn done_us(&self, work: f64) -> f64 {
        let until_incoming_ms = self.incoming_from_us.saturating_sub(self.now_us) as f64 / US_PER_MS as f64;
        let before_incoming = self.present_milli * until_incoming_ms;
        let elapsed_ms = if work <= before_incoming {
            work / self.present_milli
        } else {
            until_incoming_ms + (work - before_incoming) / (self.present_milli + self.incoming_milli)
        };
        self.now_us as f64 + elapsed_ms * US_PER_MS as f64
    }
}

/// What one organisation holds, whose jobs wait in the pool.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct OrganisationLoad {
    pub(super) weight: f64,
    /// What is left of its running tasks in all pools, in thousandths of a core times milliseconds.
    pub(super) running_work: f64,
}

/// Jobs of one organisation that are expected to be on time.
#[derive(Debug, Default)]
struct Accepted {
    work: f64,
    /// Those that may be given up, as (work, latest start, index). The largest is on top, and among equals the newest.
    may_give_up: BinaryHeap<(u64, u64, usize)>,
}

/// Indices of the jobs to give up, so that as many of the others as possible start in time. `running_work` is what is left
/// of the pool's running tasks.
pub(super) fn jobs_to_give_up(
    capacity: &PoolCapacity,
    running_work: f64,
    loads: &[OrganisationLoad],
    jobs: &[DueWork],
) -> Vec<usize> {
    let mut by_deadline: Vec<usize> = (0..jobs.len()).collect();
    by_deadline.sort_by_key(|index| (jobs[*index].rank, jobs[*index].latest_start_us, *index));
    let mut accepted: Vec<Accepted> = Vec::with_capacity(loads.len());
    accepted.extend(loads.iter().map(|load| Accepted { work: load.running_work, ..Accepted::default() }));
    let mut ahead = running_work;
    let mut given_up = Vec::new();
    let mut rank = Rank::default();
    for index in by_deadline {
        let job = &jobs[index];
        if job.rank != rank {
            accepted.iter_mut().for_each(|accepted| accepted.may_give_up.clear());
            rank = job.rank;
        }
        let is_late = capacity.done_us(ahead) > job.latest_start_us as f64;
        ahead += job.work as f64;
        let own = &mut accepted[job.organisation];
        own.work += job.work as f64;
        if job.may_give_up {
            own.may_give_up.push((job.work, job.latest_start_us, index));
        }
        if !is_late {
            continue;
        }
        let Some(most_loaded) = most_loaded(&accepted, loads) else { continue };
        if let Some((work, _, largest)) = accepted[most_loaded].may_give_up.pop() {
            accepted[most_loaded].work -= work as f64;
            ahead -= work as f64;
            given_up.push(largest);
        }
    }
    given_up
}

/// The organisation with the most work for its weight among those with a job that may be given up; among equals, the one
/// with the largest and newest such job.
fn most_loaded(accepted: &[Accepted], loads: &[OrganisationLoad]) -> Option<usize> {
    let mut most: Option<((f64, u64, u64), usize)> = None;
    for (index, (accepted, load)) in accepted.iter().zip(loads).enumerate() {
        let Some((work, latest_start_us, _)) = accepted.may_give_up.peek() else { continue };
        let weighted = if load.weight > 0.0 { accepted.work / load.weight } else { f64::INFINITY };
        let key = (weighted, *work, *latest_start_us);
        if most.is_none_or(|(known, _)| key > known) {
            most = Some((key, index));
        }
    }
    most.map(|(_, index)| index)
}

/// What is left of running tasks, which are half done on average.
fn remaining_work(reserved_milli: f64, average_run_ms: f64) -> f64 {
    reserved_milli * average_run_ms / 2.0
}

/// The waiting jobs of a pool that can still be on time.
#[derive(Debug, Default)]
pub(super) struct DueJobs {
    pub(super) work: Vec<DueWork>,
    /// Index of each job among all waiting jobs of the pool.
    indices: Vec<usize>,
    pub(super) loads: Vec<OrganisationLoad>,
}

impl Scheduler {
    /// Marks those of a pool's waiting jobs as late that are given up so that others can be on time.
    pub(super) fn give_up_late_jobs(&self, now_us: u64, pool: &str, workers: &[Candidate], jobs: &mut [Urgency]) {
        match self.settings.policies.overload_order {
            #[cfg(any(test, feature = "lab"))]
            OverloadOrder::LeastTimeLeft => return,
            OverloadOrder::MostJobsOnTime => {}
        }
        let average_run_ms = self.average_run_ms(jobs);
        let due = self.due_jobs(jobs, average_run_ms);
        let capacity = self.pool_capacity(now_us, pool, workers);
        let free_milli: u64 = workers.iter().map(|worker| worker.free_capacity.cpu_milli).sum();
        let running_milli = (capacity.present_milli - free_milli as f64).max(0.0);
        let running_work = remaining_work(running_milli, average_run_ms);
        for given_up in jobs_to_give_up(&capacity, running_work, &due.loads, &due.work) {
            jobs[due.indices[given_up]].mark_late();
        }
    }

    /// Marks those of a pool's waiting jobs as late that are given up because the leader can start only so many tasks a
    /// second.
    pub(super) fn give_up_beyond_rate(&self, now_us: u64, starts_per_s: f64, jobs: &mut [Urgency]) {
        let mut due = self.due_jobs(jobs, 0.0);
        for (work, index) in due.work.iter_mut().zip(&due.indices) {
            work.work = self.jobs.get(&jobs[*index].id).map_or(0, Job::waiting_tasks);
        }
        let capacity = PoolCapacity {
            now_us,
            present_milli: starts_per_s / MS_PER_S as f64,
            incoming_milli: 0.0,
            incoming_from_us: now_us,
        };
        for given_up in jobs_to_give_up(&capacity, 0.0, &due.loads, &due.work) {
            jobs[due.indices[given_up]].mark_late();
        }
    }

    /// Capacity of a pool without what long-running tasks hold.
    pub(super) fn pool_capacity(&self, now_us: u64, pool: &str, workers: &[Candidate]) -> PoolCapacity {
        let present = workers.iter().map(|worker| worker.capacity_excluding_long_running.cpu_milli);
        PoolCapacity {
            now_us,
            present_milli: present.sum::<u64>() as f64,
            incoming_milli: self.host_moves.incoming_capacity_milli(now_us, pool, &self.hosts) as f64,
            incoming_from_us: now_us + self.settings.host_move_ms * US_PER_MS,
        }
    }

    pub(super) fn due_jobs(&self, jobs: &[Urgency], average_run_ms: f64) -> DueJobs {
        let mut due = DueJobs::default();
        let mut load_indices: HashMap<Option<&Arc<str>>, usize> = HashMap::default();
        let mut has_reliable_estimates: HashMap<&str, bool> = HashMap::default();
        for (index, urgency) in jobs.iter().enumerate() {
            let Some(DeadlineForecast::OnTime { latest_start_us }) = urgency.on_time_forecast() else { continue };
            let Some(job) = self.jobs.get(&urgency.id) else { continue };
            let queue = &*job.spec.queue.name;
            let organisation = *load_indices.entry(urgency.organisation.as_ref()).or_insert_with(|| {
                due.loads.push(self.organisation_load(urgency.organisation.as_ref(), average_run_ms));
                due.loads.len() - 1
            });
            let is_reliable =
                *has_reliable_estimates.entry(queue).or_insert_with(|| self.run_times.are_estimates_reliable(queue));
            due.work.push(DueWork {
                rank: urgency.rank(),
                organisation,
                latest_start_us,
                work: (job.waiting_work() as f64 * self.run_times.average_ratio(queue)) as u64,
                may_give_up: is_reliable && !job.has_begun(),
            });
            due.indices.push(index);
        }
        due
    }

    fn organisation_load(&self, name: Option<&Arc<str>>, average_run_ms: f64) -> OrganisationLoad {
        let Some(name) = name else { return OrganisationLoad { weight: 1.0, running_work: 0.0 } };
        OrganisationLoad {
            // An organisation that is no longer configured has no share.
            weight: self.catalog.organisations.get(name).map_or(0.0, |organisation| organisation.weight),
            running_work: remaining_work(self.usage.of(name).resources.cpu_milli as f64, average_run_ms),
        }
    }

    /// Average run time of the tasks of these jobs' first steps.
    fn average_run_ms(&self, jobs: &[Urgency]) -> f64 {
        let (mut sum_ms, mut count) = (0.0, 0.0);
        for urgency in jobs {
            let Some(job) = self.jobs.get(&urgency.id) else { continue };
            let Some(step) = job.spec.steps.first().filter(|step| !step.long_running) else { continue };
            sum_ms += step.estimate_ms as f64 * self.run_times.average_ratio(&job.spec.queue.name);
            count += 1.0;
        }
        if count > 0.0 {
            sum_ms / count
        } else {
            0.0
        }
    }
}
