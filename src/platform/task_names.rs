//! Names of tasks in messages to and from workers, in the form JOB.OCCURRENCE.STEP.INDEX.

use std::sync::Arc;

use crate::sched::model::TaskRef;

/// Parses a task's name; `None` if it does not have the required form.
pub(super) fn parse_task_name(name: &str) -> Option<TaskRef> {
    let mut parts = name.rsplitn(4, '.');
    let index = parts.next()?.parse().ok()?;
    let step = parts.next()?.parse().ok()?;
    let occurrence = parts.next()?.parse().ok()?;
    let job = Arc::from(parts.next()?);
    Some(TaskRef { job, occurrence, step, index })
}

pub(super) fn format_task_name(task: &TaskRef) -> String {
    format!("{}.{}.{}.{}", task.job, task.occurrence, task.step, task.index)
}
