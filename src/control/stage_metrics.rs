//! Histograms of the stages of jobs and tasks.

use metrics::Histogram;

use crate::clock::US_PER_S;
use crate::sched::stages::Stage;

/// Handles of the histograms, in the order of [`Stage::ALL`], so that recording needs no look-up by label.
pub(super) struct StageMetrics {
    histograms: [Histogram; Stage::COUNT],
}

impl StageMetrics {
    pub(super) fn new() -> StageMetrics {
        StageMetrics {
            histograms: Stage::ALL.map(|stage| metrics::histogram!("job_stage_seconds", "stage" => stage.label())),
        }
    }

    /// Records durations in microseconds.
    pub(super) fn record(&self, passed: impl Iterator<Item = (Stage, u64)>) {
        for (stage, elapsed_us) in passed {
            self.histograms[stage as usize].record(elapsed_us as f64 / US_PER_S as f64);
        }
    }
}
