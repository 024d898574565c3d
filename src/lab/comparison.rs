//! Compares two ways of deciding on the same seeds.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

use serde::Serialize;

use super::outcome::Outcome;
use super::player::play;
use super::policy::PolicySet;
use super::workload::Workload;

/// One figure with both ways.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Difference {
    /// Name of the figure.
    pub figure: &'static str,
    /// Mean over the seeds with the first way.
    pub base: f64,
    /// The same with the second way.
    pub head: f64,
    /// Mean of the differences, paired by seed.
    pub mean: f64,
    /// Standard error of this mean.
    pub standard_error: f64,
    /// Lowest, median and highest difference of a seed.
    pub quantiles: [f64; 3],
}

/// All figures of a workload with both ways.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Comparison {
    /// Name of the workload.
    pub workload: String,
    /// Number of seeds.
    pub seeds: usize,
    /// One for each figure.
    pub differences: Vec<Difference>,
    /// Violated invariants of all plays.
    pub violations: Vec<String>,
}

/// Plays a workload with each seed, on all cores.
pub fn play_seeds(workload: &Workload, seeds: &[u64], policies: &PolicySet) -> Vec<Outcome> {
    let next = AtomicUsize::new(0);
    let outcomes = Mutex::new(vec![Outcome::default(); seeds.len()]);
    let threads = std::thread::available_parallelism().map_or(1, |count| count.get()).min(seeds.len());
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| loop {
                let index = next.fetch_add(1, Ordering::Relaxed);
                let Some(seed) = seeds.get(index) else { return };
                let outcome = play(workload, *seed, policies);
                let mut outcomes = outcomes.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
                outcomes[index] = outcome;
            });
        }
    });
    outcomes.into_inner().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Plays a workload with both ways, paired by seed.
pub fn compare(workload: &Workload, seeds: &[u64], base: &PolicySet, head: &PolicySet) -> Comparison {
    let base_outcomes = play_seeds(workload, seeds, base);
    let head_outcomes = play_seeds(workload, seeds, head);
    let violations = base_outcomes.iter().chain(&head_outcomes).flat_map(|outcome| outcome.violations.clone());
    Comparison {
        workload: workload.name().to_owned(),
        seeds: seeds.len(),
        differences: differences(&base_outcomes, &head_outcomes),
        violations: violations.collect(),
    }
}

fn differences(base: &[Outcome], head: &[Outcome]) -> Vec<Difference> {
    let base: Vec<Vec<(&'static str, f64)>> = base.iter().map(Outcome::figures).collect();
    let head: Vec<Vec<(&'static str, f64)>> = head.iter().map(Outcome::figures).collect();
    let Some(first) = base.first() else { return Vec::new() };
    let mut differences = Vec::new();
    for (index, (figure, _)) in first.iter().enumerate() {
        let of_seed = |outcomes: &[Vec<(&'static str, f64)>]| -> Vec<f64> {
            outcomes.iter().map(|figures| figures[index].1).collect()
        };
        let (base, head) = (of_seed(&base), of_seed(&head));
        let mut paired: Vec<f64> = base.iter().zip(&head).map(|(base, head)| head - base).collect();
        paired.sort_by(f64::total_cmp);
        let (mean, standard_error) = mean_and_error(&paired);
        differences.push(Difference {
            figure,
            base: mean_and_error(&base).0,
            head: mean_and_error(&head).0,
            mean,
            standard_error,
            quantiles: [paired[0], paired[paired.len() / 2], paired[paired.len() - 1]],
        });
    }
    differences
}

/// Mean and its standard error; the error is 0 for a single value.
fn mean_and_error(values: &[f64]) -> (f64, f64) {
    let count = values.len() as f64;
    let mean = values.iter().sum::<f64>() / count;
    if values.len() < 2 {
        return (mean, 0.0);
    }
    let variance = values.iter().map(|value| (value - mean).powi(2)).sum::<f64>() / (count - 1.0);
    (mean, (variance / count).sqrt())
}
