//! Checks of how jobs end.

use super::super::model::{JobId, JobPhase};
use super::{Sim, MAX_ATTEMPTS};

impl Sim {
    /// Checks that no invariant was violated, and that every job has ended: only those with a cause have failed.
    #[track_caller]
    pub(in crate::sched) fn assert_jobs_have_ended(&self, context: &str) {
        assert_eq!(self.violations, [], "{context}");
        for id in self.specs.keys() {
            let phase = self.scheduler.jobs.get(id).map(|job| job.phase);
            assert!(phase.is_some_and(JobPhase::is_final), "{context}: {id} is {phase:?}");
            let has_cause = self.has_exhausted_attempts(id) || self.may_be_given_up(id);
            assert!(phase != Some(JobPhase::Failed) || has_cause, "{context}: {id} failed without a cause");
        }
    }

    /// Whether a task of the job has failed at least [`MAX_ATTEMPTS`] times.
    fn has_exhausted_attempts(&self, id: &JobId) -> bool {
        self.failures.iter().any(|(task, count)| task.job == *id && *count >= MAX_ATTEMPTS)
    }
}
