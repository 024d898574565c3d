//! Refuses submissions that cannot be served while their result is worth something, and gangs that can never run.

#[cfg(test)]
mod admission_tests;

use std::sync::Arc;

use crate::clock::{MS_PER_S, US_PER_MS};
use crate::sched::admission::AdmissionReport;
use crate::sched::critical_path::critical_path_ms;
use crate::sched::job::TimeBudget;
use crate::sched::model::{JobSpec, Resources, Step};
use crate::sched::organisation::Organisations;

/// A report that may be older than this refuses nothing.
const MAX_REPORT_AGE_MS: u64 = 2_000;

/// The leader's latest report as a daemon received it.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct ReceivedReport {
    pub(crate) report: AdmissionReport,
    /// The leader wrote the report after this time.
    pub(crate) written_after_us: u64,
}

impl ReceivedReport {
    fn age_ms(&self, now_us: u64) -> u64 {
        now_us.saturating_sub(self.written_after_us) / US_PER_MS
    }
}

/// Why a submission is refused; the text is sent to the caller.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(crate) enum AdmissionError {
    #[error("the job would wait for {wait_ms} ms, so its result would come too late; retry in {retry_after_s} s")]
    WouldBeLate {
        wait_ms: u64,
        /// Time after which a job like this one can be served in time.
        retry_after_s: u64,
        report_age_ms: u64,
    },
    #[error(
        "steps[{step}]: the gang needs more {resource} than the quota of {quota} allows organisation {organisation}"
    )]
    GangBeyondQuota { step: usize, resource: &'static str, quota: u64, organisation: Arc<str> },
}

impl AdmissionError {
    /// Label value in metrics.
    pub(super) fn label(&self) -> &'static str {
        match self {
            AdmissionError::WouldBeLate { .. } => "would_be_late",
            AdmissionError::GangBeyondQuota { .. } => "gang_beyond_quota",
        }
    }
}

/// Decides whether a new job is accepted. When in doubt, it is.
pub(crate) fn admit(
    now_us: u64,
    spec: &JobSpec,
    organisations: &Organisations,
    received: Option<&ReceivedReport>,
) -> Result<(), AdmissionError> {
    check_quota(spec, organisations)?;
    let Some(received) = received else { return Ok(()) };
    let report_age_ms = received.age_ms(now_us);
    if report_age_ms > MAX_REPORT_AGE_MS || !has_time_budget(spec) {
        return Ok(());
    }
    let wait_ms = received.report.wait_ms(&spec.queue.pool, spec.queue.priority, spec.organisation.as_ref());
    if wait_ms == 0 {
        return Ok(());
    }
    let critical_path_ms = critical_path_ms(&spec.steps);
    let budget = TimeBudget::of(critical_path_ms, spec.queue.stretch, spec.queue.target_latency_ms);
    let late_ms = wait_ms.saturating_add(critical_path_ms).saturating_sub(budget.worthless_after_ms);
    if late_ms == 0 {
        return Ok(());
    }
    Err(AdmissionError::WouldBeLate { wait_ms, retry_after_s: late_ms.div_ceil(MS_PER_S), report_age_ms })
}

/// Whether a job's result loses its value with time. Recurring and long-running jobs are never refused as too late.
fn has_time_budget(spec: &JobSpec) -> bool {
    spec.recurring_occurrences == 0 && !spec.steps.iter().any(|step| step.long_running)
}

/// Refuses a gang whose members together exceed their organisation's quota: it could never run.
fn check_quota(spec: &JobSpec, organisations: &Organisations) -> Result<(), AdmissionError> {
    let Some(organisation) = spec.organisation.as_ref().and_then(|name| organisations.get(name)) else {
        return Ok(());
    };
    for (index, step) in spec.steps.iter().enumerate() {
        // An organisation with nothing running may start one task of any size.
        if !step.gang || step.count < 2 {
            continue;
        }
        if let Some((resource, quota)) = exceeded(step, &organisation.cap) {
            let organisation = organisation.name.clone();
            return Err(AdmissionError::GangBeyondQuota { step: index, resource, quota, organisation });
        }
    }
    Ok(())
}

/// The resource of which all tasks of a step together need more than the quota, and the quota.
fn exceeded(step: &Step, quota: &Resources) -> Option<(&'static str, u64)> {
    let needs = step.reserved();
    let count = u64::from(step.count);
    let resources = [
        ("CPU (thousandths of a core)", needs.cpu_milli, quota.cpu_milli),
        ("memory (MB)", needs.mem_mb, quota.mem_mb),
        ("GPUs", needs.gpus, quota.gpus),
    ];
    let exceeded = resources.into_iter().find(|(_, of_task, quota)| of_task.saturating_mul(count) > *quota);
    exceeded.map(|(resource, _, quota)| (resource, quota))
}
