//! Order of the jobs of one pool: by urgency, and by organisation where capacity is scarce.
//!
//! The organisations with waiting jobs within their rate contend for the pool. What they hold together, divided by their
//! weights, is the level at which each holds its fair share. Jobs of organisations at or below the level come first, by
//! urgency. The others follow one by one, the next always from the organisation that holds least for its weight. Jobs that
//! cannot be on time come after all that can, in the same way, so that none of them takes a worker from a job that would be
//! on time there; then come the jobs beyond the rate of their organisation. No job is left out, so capacity that some do
//! not use goes to the others in the same round. Where all jobs find capacity, their order does not matter.

use std::cmp::{Ordering, Reverse};
use std::collections::{BinaryHeap, VecDeque};
use std::iter::Peekable;
use std::sync::Arc;
use std::vec::IntoIter;

use foldhash::{HashMap, HashSet};

use super::job::ShareClass;
use super::model::Resources;
use super::scheduler::Scheduler;
use super::urgency::Urgency;

/// Part of the fleet that does not count towards an organisation's share. Without it, a single wide job would put an
/// organisation with a small weight above its share, and its next job would be late.
const UNCOUNTED_SHARE: f64 = 0.03;

/// Where the late jobs of organisations that hold less than their share are placed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum LateJobs {
    /// Before the on-time jobs of organisations that hold more.
    #[cfg(any(test, feature = "lab"))]
    ByShare,
    /// After the on-time jobs of all organisations.
    #[default]
    AfterOnTime,
}

/// Jobs that are placed before those of any later stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Stage {
    share_class: ShareClass,
    is_late: bool,
}

/// An organisation with waiting jobs within its rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Contender {
    pub(super) weight: f64,
    /// Its [`dominant_share`] of the fleet, without [`UNCOUNTED_SHARE`].
    pub(super) dominant_share: f64,
}

/// Largest share of the fleet's CPU, memory or GPUs that these resources are.
pub(super) fn dominant_share(held: &Resources, fleet: &Resources) -> f64 {
    let pairs = [(held.cpu_milli, fleet.cpu_milli), (held.mem_mb, fleet.mem_mb), (held.gpus, fleet.gpus)];
    let shares = pairs.into_iter().filter(|(_, all)| *all > 0).map(|(held, all)| held as f64 / all as f64);
    shares.fold(0.0, f64::max)
}

/// A share in relation to the weight of its organisation. Without a weight, an organisation always holds too much.
pub(super) fn weighted_share(dominant_share: f64, weight: f64) -> f64 {
    if weight > 0.0 {
        dominant_share / weight
    } else {
        f64::INFINITY
    }
}

/// The weighted share at which all contenders hold their fair share of what they hold together.
pub(super) fn fair_level(contenders: impl IntoIterator<Item = Contender>) -> f64 {
    let (mut share, mut weight) = (0.0, 0.0);
    for contender in contenders {
        if contender.weight > 0.0 {
            share += contender.dominant_share;
            weight += contender.weight;
        }
    }
    weighted_share(share, weight)
}

/// Jobs of one organisation, by urgency. Sorts by who comes first.
#[derive(Debug)]
struct OrganisationQueue {
    weighted_share: f64,
    jobs: VecDeque<Urgency>,
}

impl Ord for OrganisationQueue {
    fn cmp(&self, other: &OrganisationQueue) -> Ordering {
        let shares = self.weighted_share.total_cmp(&other.weighted_share);
        shares.then_with(|| self.jobs.front().cmp(&other.jobs.front()))
    }
}

impl PartialOrd for OrganisationQueue {
    fn partial_cmp(&self, other: &OrganisationQueue) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for OrganisationQueue {
    fn eq(&self, other: &OrganisationQueue) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for OrganisationQueue {}

/// The jobs of one pool. Each call of [`FairOrder::next`] takes the weighted shares that hold by then.
#[derive(Debug)]
pub(super) struct FairOrder {
    by_urgency: Peekable<IntoIter<Urgency>>,
    level: f64,
    late_jobs: LateJobs,
    /// Stage of the jobs that are being placed.
    stage: Stage,
    /// Jobs of the stage whose organisations hold more than their fair share.
    deferred: HashMap<Arc<str>, VecDeque<Urgency>>,
    /// The same, once no other job of the stage is left.
    queues: BinaryHeap<Reverse<OrganisationQueue>>,
    /// Queue from which the last job was taken; its organisation may hold more by now.
    last_queue: Option<(Arc<str>, VecDeque<Urgency>)>,
}

impl FairOrder {
    pub(super) fn new(mut jobs: Vec<Urgency>, level: f64, late_jobs: LateJobs) -> FairOrder {
        jobs.sort();
        FairOrder {
            by_urgency: jobs.into_iter().peekable(),
            level,
            late_jobs,
            stage: Stage { share_class: ShareClass::WithinRate, is_late: false },
            deferred: HashMap::default(),
            queues: BinaryHeap::new(),
            last_queue: None,
        }
    }

    /// The next job, given the present weighted share of each organisation.
    pub(super) fn next(&mut self, weighted_share: impl Fn(&str) -> f64) -> Option<Urgency> {
        loop {
            while let Some(job) = self.next_of_stage() {
                match &job.organisation {
                    _ if job.share_class == ShareClass::BeyondRate => self.defer(job),
                    Some(name) if !job.is_long_running() && weighted_share(name) > self.level => self.defer(job),
                    _ => return Some(job),
                }
            }
            if let Some(job) = self.next_deferred(&weighted_share) {
                return Some(job);
            }
            self.stage = stage_of(self.by_urgency.peek()?, self.late_jobs);
        }
    }

    fn next_of_stage(&mut self) -> Option<Urgency> {
        let (stage, late_jobs) = (self.stage, self.late_jobs);
        self.by_urgency.next_if(|job| stage_of(job, late_jobs) == stage)
    }

    fn defer(&mut self, job: Urgency) {
        let name = job.organisation.clone().unwrap_or_default();
        self.deferred.entry(name).or_default().push_back(job);
    }

    /// The next job of the organisation that holds least for its weight.
    fn next_deferred(&mut self, weighted_share: impl Fn(&str) -> f64) -> Option<Urgency> {
        for (name, jobs) in self.deferred.drain().chain(self.last_queue.take()) {
            if !jobs.is_empty() {
                self.queues.push(Reverse(OrganisationQueue { weighted_share: weighted_share(&name), jobs }));
            }
        }
        let Reverse(mut queue) = self.queues.pop()?;
        let job = queue.jobs.pop_front()?;
        self.last_queue = job.organisation.clone().map(|name| (name, queue.jobs));
        Some(job)
    }
}

fn stage_of(job: &Urgency, late_jobs: LateJobs) -> Stage {
    let is_late = match late_jobs {
        #[cfg(any(test, feature = "lab"))]
        LateJobs::ByShare => false,
        LateJobs::AfterOnTime => job.is_late(),
    };
    Stage { share_class: job.share_class, is_late }
}

impl Scheduler {
    /// Updates the capacity of which organisations have shares.
    pub(super) fn update_fleet_capacity(&mut self) {
        if self.catalog.organisations.is_empty() {
            return;
        }
        self.fleet_capacity = Resources::default();
        for worker in self.workers.values().filter(|worker| worker.is_usable()) {
            self.fleet_capacity.add(&worker.entry.capacity);
        }
    }

    /// What an organisation holds in relation to its weight. An organisation that is no longer configured has none.
    pub(super) fn weighted_share(&self, organisation: &str) -> f64 {
        let Contender { weight, dominant_share } = self.contender(organisation);
        weighted_share(dominant_share, weight)
    }

    fn contender(&self, organisation: &str) -> Contender {
        let held_share = dominant_share(&self.usage.of(organisation).resources, &self.fleet_capacity);
        Contender {
            weight: self.catalog.organisations.get(organisation).map_or(0.0, |organisation| organisation.weight),
            dominant_share: (held_share - UNCOUNTED_SHARE).max(0.0),
        }
    }

    /// The [`fair_level`] of the organisations that have jobs within their rate among these.
    pub(super) fn fair_level<'a>(&self, jobs: impl Iterator<Item = (ShareClass, Option<&'a Arc<str>>)>) -> f64 {
        let mut names: HashSet<&Arc<str>> = HashSet::default();
        names.extend(jobs.filter(|(class, _)| *class == ShareClass::WithinRate).filter_map(|(_, name)| name));
        fair_level(names.into_iter().map(|name| self.contender(name)))
    }
}
