//! Helpers for texts on the platform's wire.

use std::sync::Arc;

use crate::sched::model::TaskRef;

/// Decodes a work item's name, which has the form JOB.OCCURRENCE.STEP.INDEX.
pub(super) fn parse_task(name: &str) -> Option<TaskRef> {
    let mut parts = name.rsplitn(4, '.');
    let index = parts.next()?.parse().ok()?;
    let step = parts.next()?.parse().ok()?;
    let occurrence = parts.next()?.parse().ok()?;
    let job = Arc::from(parts.next()?);
    Some(TaskRef { job, occurrence, step, index })
}

/// Encodes a work item's name.
pub(super) fn task_name(task: &TaskRef) -> String {
    format!("{}.{}.{}.{}", task.job, task.occurrence, task.step, task.index)
}
