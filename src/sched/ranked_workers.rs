//! Workers in the order in which the tasks of one step take them.
//!
//! The load that this answers: a pool of hundreds of workers and thousands of starts per second. The tasks of a step have the
//! same needs, so one comparison of all workers serves them all; after each placement only the chosen worker is compared
//! again.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

use super::candidate::{score, Candidate, Score};
use super::model::Step;

/// A worker that has capacity for a task. Sorts by how well it suits the task, then by its position in the list.
#[derive(Debug)]
struct RankedWorker {
    score: Score,
    index: usize,
}

impl Ord for RankedWorker {
    fn cmp(&self, other: &RankedWorker) -> Ordering {
        // Scores hold no floating-point numbers, so any two of them can be compared.
        let scores = self.score.partial_cmp(&other.score).unwrap_or(Ordering::Equal);
        scores.then(self.index.cmp(&other.index))
    }
}

impl PartialOrd for RankedWorker {
    fn partial_cmp(&self, other: &RankedWorker) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for RankedWorker {
    fn eq(&self, other: &RankedWorker) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for RankedWorker {}

/// The workers that have capacity for a task of one step.
#[derive(Debug)]
pub(super) struct RankedWorkers(BinaryHeap<Reverse<RankedWorker>>);

impl RankedWorkers {
    pub(super) fn new(step: &Step, workers: &[Candidate]) -> RankedWorkers {
        let ranked = (0..workers.len()).filter_map(|index| rank(index, step, workers));
        RankedWorkers(ranked.collect())
    }

    /// Takes the best worker, by its index.
    pub(super) fn take_best(&mut self) -> Option<usize> {
        self.0.pop().map(|Reverse(best)| best.index)
    }

    /// Puts a worker back on which a task has been placed, if it has capacity for another one.
    pub(super) fn put_back(&mut self, index: usize, step: &Step, workers: &[Candidate]) {
        self.0.extend(rank(index, step, workers));
    }
}

fn rank(index: usize, step: &Step, workers: &[Candidate]) -> Option<Reverse<RankedWorker>> {
    let worker = &workers[index];
    worker.can_take(step).then(|| Reverse(RankedWorker { score: score(worker, step, false, false), index }))
}
