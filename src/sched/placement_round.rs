//! Placement rounds: their limits, and when a round must try all jobs.
//!
//! In a full pool, trying every waiting job in every round would cost more than it finds, so a round ends once many steps in a
//! row have found no worker. Jobs behind those that need more than any worker has free would then wait for as long as these
//! do, although they fit. So from time to time a round is complete: it tries all jobs.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::candidate::Candidate;
use super::model::Resources;
use crate::clock::US_PER_MS;

/// A round ends after this many consecutive steps for which no worker had capacity, unless it is complete.
const MAX_STEPS_WITHOUT_CAPACITY: u32 = 48;
/// Maximum number of tasks placed in one round of a pool, to keep the round short. Tasks of gangs do not count.
const MAX_PLACED_PER_ROUND: usize = 400;
/// Share of the capacity left by long-running tasks.
const MUCH_FREE_SHARE: f64 = 0.25;
/// Time from a round that ended early until a complete one.
const COMPLETE_ROUND_DELAY_MS: u64 = 250;

/// Limits and findings of one placement round in one pool.
#[derive(Debug)]
pub(super) struct PlacementRound {
    /// Workers that may get tasks.
    pub(super) workers: Vec<Candidate>,
    /// Tasks that may still be placed in this round, not counting those of gangs.
    pub(super) placements_left: usize,
    /// Resource needs for which no worker had capacity. Needs that exceed others in this list are left out.
    pub(super) unplaceable_needs: Vec<Resources>,
    /// Consecutive steps for which no worker had capacity.
    pub(super) steps_without_capacity: u32,
    /// Whether all jobs are tried, however many find no worker.
    is_complete: bool,
}

impl PlacementRound {
    /// A round in which at most `max_starts` tasks are placed, and, if it is complete, all jobs are tried.
    pub(super) fn new(workers: Vec<Candidate>, max_starts: usize, is_complete: bool) -> PlacementRound {
        PlacementRound {
            workers,
            placements_left: max_starts.min(MAX_PLACED_PER_ROUND),
            unplaceable_needs: Vec::new(),
            steps_without_capacity: 0,
            is_complete,
        }
    }

    /// Whether to try the jobs that cannot be on time, after all others. A round that has found no room for many of those
    /// tries them only if it is complete and much capacity is free, which then fits none of the others.
    pub(super) fn allows_late_jobs(&self) -> bool {
        if self.placements_left == 0 || self.workers.is_empty() {
            return false;
        }
        self.steps_without_capacity < MAX_STEPS_WITHOUT_CAPACITY || (self.is_complete && self.has_much_free_capacity())
    }

    fn has_much_free_capacity(&self) -> bool {
        let sum =
            |of: fn(&Candidate) -> &Resources| self.workers.iter().map(|worker| of(worker).cpu_milli).sum::<u64>();
        let free = sum(|worker| &worker.free_capacity);
        free as f64 > MUCH_FREE_SHARE * sum(|worker| &worker.capacity_excluding_long_running) as f64
    }

    /// Whether so many steps found no worker that the others are not tried.
    pub(super) fn has_no_capacity(&self) -> bool {
        !self.is_complete && self.steps_without_capacity >= MAX_STEPS_WITHOUT_CAPACITY
    }

    /// Whether a worker may have capacity: no equal or smaller needs have failed in this round.
    pub(super) fn may_fit(&self, needs: &Resources) -> bool {
        !self.unplaceable_needs.iter().any(|failed| failed.fits_in(needs))
    }

    pub(super) fn record_placed(&mut self) {
        self.placements_left = self.placements_left.saturating_sub(1);
        self.steps_without_capacity = 0;
    }

    /// Records that no worker has capacity for these needs.
    pub(super) fn record_unplaceable(&mut self, needs: Resources) {
        self.unplaceable_needs.retain(|known| !needs.fits_in(known));
        self.unplaceable_needs.push(needs);
    }
}

/// Pools in which a round ended before all jobs were tried, and when a complete round is due in each.
#[derive(Debug, Default)]
pub(super) struct CompleteRounds {
    due_us: BTreeMap<Arc<str>, u64>,
}

impl CompleteRounds {
    /// Whether a complete round is due in any pool.
    pub(super) fn are_due(&self, now_us: u64) -> bool {
        self.due_us.values().any(|due_us| now_us >= *due_us)
    }

    pub(super) fn is_due_in(&self, now_us: u64, pool: &str) -> bool {
        self.due_us.get(pool).is_some_and(|due_us| now_us >= *due_us)
    }

    /// Records the rounds of all pools in which jobs wait.
    pub(super) fn record(&mut self, now_us: u64, rounds: &BTreeMap<Arc<str>, PlacementRound>) {
        self.due_us.retain(|pool, _| rounds.get(pool).is_some_and(PlacementRound::has_no_capacity));
        for (pool, round) in rounds {
            if round.has_no_capacity() {
                self.due_us.entry(pool.clone()).or_insert(now_us + COMPLETE_ROUND_DELAY_MS * US_PER_MS);
            }
        }
    }
}
