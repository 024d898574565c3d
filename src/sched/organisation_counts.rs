//! Counts of jobs of each organisation, since this leader took over.

use std::sync::Arc;

use super::model::{Catalog, JobId};
use super::scheduler::Scheduler;

/// Jobs of an organisation that have completed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct OrganisationCounts {
    pub(crate) completed: u64,
    /// Part of `completed` that completed after the deadline.
    pub(crate) late: u64,
}

impl Scheduler {
    /// Counts a job that has completed.
    pub(super) fn count_completed(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        let Some(organisation) = &job.spec.organisation else { return };
        let counts = self.organisation_counts.entry(organisation.clone()).or_default();
        counts.completed += 1;
        counts.late += u64::from(job.last_end_us > job.deadline_us);
    }

    /// Drops the counts of organisations that are not configured any more.
    pub(super) fn retain_organisation_counts(&mut self, catalog: &Catalog) {
        self.organisation_counts.retain(|name, _| catalog.organisations.get(name).is_some());
    }

    /// Counts of the organisations with completed jobs.
    pub(crate) fn organisation_counts(&self) -> impl Iterator<Item = (&Arc<str>, OrganisationCounts)> {
        self.organisation_counts.iter().map(|(name, counts)| (name, *counts))
    }
}
