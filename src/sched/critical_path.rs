//! Critical path of a job, from estimated run times and, where these are far off, measured ones.

use super::model::Step;

/// Measured run times replace an estimate that they exceed by more than this factor. Smaller errors are left to the margin
/// that jobs need to count as on time.
const MIN_ESTIMATE_ERROR_FACTOR: f64 = 1.5;

/// Run times of a step's tasks, as completed runs and the progress of active ones tell them. The tasks of a step take
/// about the same time, which its estimate may miss by a multiple.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct MeasuredRunTimes {
    pub(crate) shortest_ms: u64,
    pub(crate) longest_ms: u64,
}

impl MeasuredRunTimes {
    pub(super) fn add(known: Option<MeasuredRunTimes>, run_ms: u64) -> MeasuredRunTimes {
        let Some(known) = known else { return MeasuredRunTimes { shortest_ms: run_ms, longest_ms: run_ms } };
        MeasuredRunTimes { shortest_ms: known.shortest_ms.min(run_ms), longest_ms: known.longest_ms.max(run_ms) }
    }
}

/// Computes the critical path from each step, the highest sum of run times of steps that depend on each other, starting
/// with this step. `measured_ms` tells the longest measured run time of a step's tasks.
pub(super) fn critical_paths_ms(steps: &[Step], measured_ms: impl Fn(usize) -> Option<u64>) -> Vec<u64> {
    let mut longest = vec![0; steps.len()];
    for index in (0..steps.len()).rev() {
        let mut remaining_ms = 0;
        for (later, other) in steps.iter().enumerate().skip(index + 1) {
            if other.after.contains(&(index as u32)) {
                remaining_ms = remaining_ms.max(longest[later]);
            }
        }
        longest[index] = remaining_ms + run_time_ms(steps[index].estimate_ms, measured_ms(index));
    }
    longest
}

/// Run time of a step's tasks for the critical path.
fn run_time_ms(estimate_ms: u64, measured_ms: Option<u64>) -> u64 {
    let limit_ms = estimate_ms as f64 * MIN_ESTIMATE_ERROR_FACTOR;
    measured_ms.filter(|measured_ms| *measured_ms as f64 > limit_ms).unwrap_or(estimate_ms)
}

/// Critical path of a job with these steps.
pub(crate) fn critical_path_ms(steps: &[Step]) -> u64 {
    critical_paths_ms(steps, |_| None).into_iter().max().unwrap_or(0)
}
