//! Run times as multiples of their estimates, learned for each queue from the runs that ended as done.
//!
//! The distribution is kept in bins of equal width on a logarithmic scale, since run times of one queue may differ from
//! their estimates by orders of magnitude in both directions. Earlier runs lose weight with each later one.

use std::sync::Arc;

use foldhash::HashMap;

/// Maximum number of queues with a distribution; the queue whose runs ended least recently is dropped for a new one.
const MAX_QUEUES: usize = 512;
/// Bins for each doubling of the ratio. With 8, the bounds of a bin differ by 9%.
const BINS_PER_OCTAVE: i32 = 8;
/// Ratios below 2 to the power of this count as that.
const MIN_EXPONENT: i32 = -12;
/// Ratios above 2 to the power of this count as that.
const MAX_EXPONENT: i32 = 12;
const BIN_COUNT: usize = ((MAX_EXPONENT - MIN_EXPONENT) * BINS_PER_OCTAVE) as usize;
/// By how much each later run reduces the weight of a run: half is left after 177 runs.
const DECAY: f64 = 1.0 / 256.0;
/// Minimum effective number of runs by which single runs are compared with the median.
const MIN_SAMPLES_FOR_MEDIAN: f64 = 20.0;
/// Estimates are reliable if the middle 80% of the ratios differ by at most this factor.
const MAX_RELIABLE_SPREAD: f64 = 2.0;
/// Weight of the latest run in the moving average of the ratio.
const AVERAGE_WEIGHT: f64 = 0.05;

/// Distributions of all queues.
#[derive(Debug, Default)]
pub(super) struct RunTimes {
    queues: HashMap<Arc<str>, QueueRunTimes>,
    /// Number of runs recorded so far.
    recorded: u64,
}

/// Distribution of actual over estimated run time in one queue.
#[derive(Debug)]
pub(super) struct QueueRunTimes {
    /// Weight of the runs in each bin.
    bins: Box<[f32; BIN_COUNT]>,
    total_weight: f64,
    /// Sum of the squares of the runs' weights.
    squared_weight: f64,
    average_ratio: f64,
    /// [`RunTimes::recorded`] after the latest run.
    last_recorded: u64,
}

impl RunTimes {
    /// Adds a run that ended as done. Runs without an estimate have no ratio and are left out.
    pub(super) fn record(&mut self, queue: &Arc<str>, estimate_ms: u64, run_ms: u64) {
        if estimate_ms == 0 {
            return;
        }
        self.recorded += 1;
        if !self.queues.contains_key(queue) {
            self.drop_least_recent();
            self.queues.insert(queue.clone(), QueueRunTimes::new());
        }
        if let Some(known) = self.queues.get_mut(queue) {
            known.record(run_ms as f64 / estimate_ms as f64);
            known.last_recorded = self.recorded;
        }
    }

    /// Distribution of a queue, if any of its runs has ended as done.
    pub(super) fn queue(&self, queue: &str) -> Option<&QueueRunTimes> {
        self.queues.get(queue)
    }

    /// Moving average of a queue's ratio of actual to estimated run time; 20 runs cover about two thirds of a change. 1 for
    /// an unknown queue.
    pub(super) fn average_ratio(&self, queue: &str) -> f64 {
        self.queues.get(queue).map_or(1.0, |known| known.average_ratio)
    }

    /// Whether the estimates of a queue tell which of its jobs are large. False until enough of its runs have ended.
    pub(super) fn are_estimates_reliable(&self, queue: &str) -> bool {
        self.queues.get(queue).is_some_and(QueueRunTimes::are_estimates_reliable)
    }

    /// Makes room for one more queue.
    fn drop_least_recent(&mut self) {
        if self.queues.len() < MAX_QUEUES {
            return;
        }
        let least_recent = self.queues.iter().min_by_key(|(_, known)| known.last_recorded);
        if let Some(name) = least_recent.map(|(name, _)| name.clone()) {
            self.queues.remove(&name);
        }
    }
}

impl QueueRunTimes {
    fn new() -> QueueRunTimes {
        QueueRunTimes {
            bins: Box::new([0.0; BIN_COUNT]),
            total_weight: 0.0,
            squared_weight: 0.0,
            average_ratio: 1.0,
            last_recorded: 0,
        }
    }

    fn record(&mut self, ratio: f64) {
        let keep = 1.0 - DECAY;
        self.bins.iter_mut().for_each(|weight| *weight *= keep as f32);
        self.bins[bin_of(ratio)] += 1.0;
        self.total_weight = self.total_weight * keep + 1.0;
        self.squared_weight = self.squared_weight * keep * keep + 1.0;
        self.average_ratio += AVERAGE_WEIGHT * (ratio - self.average_ratio);
    }

    /// Number of equally weighted runs that would tell as much as the recorded ones.
    pub(super) fn effective_samples(&self) -> f64 {
        self.total_weight * self.total_weight / self.squared_weight.max(f64::MIN_POSITIVE)
    }

    /// The ratio that this share of the runs does not exceed.
    pub(super) fn quantile(&self, share: f64) -> f64 {
        let mut left = self.total_weight * share.clamp(0.0, 1.0);
        let mut highest = 1.0;
        for (bin, weight) in self.bins.iter().enumerate() {
            let weight = f64::from(*weight);
            if weight <= 0.0 {
                continue;
            }
            if left <= weight {
                return lower_bound(bin) * (upper_bound(bin) / lower_bound(bin)).powf(left / weight);
            }
            left -= weight;
            highest = upper_bound(bin);
        }
        highest
    }

    fn are_estimates_reliable(&self) -> bool {
        self.effective_samples() >= MIN_SAMPLES_FOR_MEDIAN
            && self.quantile(0.9) <= self.quantile(0.1) * MAX_RELIABLE_SPREAD
    }

    pub(super) fn median_ratio(&self) -> f64 {
        self.quantile(0.5)
    }

    /// Weighted mean of the ratio; 1 without any run.
    pub(super) fn mean_ratio(&self) -> f64 {
        let (weight, sum) = self.runs_beyond(0.0);
        if weight <= 0.0 {
            return 1.0;
        }
        sum / weight
    }

    /// Expected run time of a run that has not started.
    pub(super) fn expected_ms(&self, estimate_ms: u64) -> f64 {
        self.mean_ratio() * estimate_ms as f64
    }

    /// How long a run took compared with the queue's median; `None` if there is no estimate or too few runs tell the
    /// median.
    pub(super) fn ratio_to_median(&self, estimate_ms: u64, run_ms: u64) -> Option<f64> {
        if estimate_ms == 0 || self.effective_samples() < MIN_SAMPLES_FOR_MEDIAN {
            return None;
        }
        Some(run_ms as f64 / (estimate_ms as f64 * self.median_ratio()))
    }

    /// Expected remaining time of a run of this age: the mean rest of those recorded runs that took longer.
    ///
    /// As far as fewer than one run's weight took longer, the run is expected to take as long again as it has taken so
    /// far, which is the mean rest if the probability of a longer time falls with its square.
    pub(super) fn expected_remaining_ms(&self, estimate_ms: u64, age_ms: u64) -> f64 {
        if estimate_ms == 0 {
            return age_ms as f64;
        }
        let age = age_ms as f64 / estimate_ms as f64;
        let (weight, sum) = self.runs_beyond(age);
        let known_rest = if weight > 0.0 { (sum / weight - age).max(0.0) } else { 0.0 };
        let certainty = weight.min(1.0);
        (certainty * known_rest + (1.0 - certainty) * age) * estimate_ms as f64
    }

    /// Weight of the runs with a ratio above `least`, and the weighted sum of their ratios. Within a bin, runs are taken
    /// to be spread evenly on the logarithmic scale.
    fn runs_beyond(&self, least: f64) -> (f64, f64) {
        let (mut weight_beyond, mut sum) = (0.0, 0.0);
        for (bin, weight) in self.bins.iter().enumerate() {
            if *weight <= 0.0 {
                continue;
            }
            let (lower, upper) = (lower_bound(bin), upper_bound(bin));
            if upper <= least {
                continue;
            }
            let from = lower.max(least);
            let share = (upper / from).ln() / (upper / lower).ln();
            weight_beyond += f64::from(*weight) * share;
            sum += f64::from(*weight) * share * (from * upper).sqrt();
        }
        (weight_beyond, sum)
    }
}

fn bin_of(ratio: f64) -> usize {
    let octaves = ratio.max(f64::MIN_POSITIVE).log2() - f64::from(MIN_EXPONENT);
    ((octaves * f64::from(BINS_PER_OCTAVE)).max(0.0) as usize).min(BIN_COUNT - 1)
}

fn lower_bound(bin: usize) -> f64 {
    (f64::from(MIN_EXPONENT) + bin as f64 / f64::from(BINS_PER_OCTAVE)).exp2()
}

fn upper_bound(bin: usize) -> f64 {
    lower_bound(bin + 1)
}
