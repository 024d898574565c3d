//! Prints the answers of the leader of the control role.

#[cfg(test)]
mod daemon_output_tests;

use std::sync::Arc;

use sardineseam::{JobView, Listing, OrganisationView, QuotaView, Result, StepView, WorkerPoolView, WorkerView};

use crate::output::{format_table, yes_no, Output};

impl Output {
    pub(crate) fn job_view(&self, view: &JobView) -> Result<()> {
        self.print(view, || format_job(view))
    }

    pub(crate) fn organisations(&self, listing: &Listing<OrganisationView>) -> Result<()> {
        self.print(listing, || format_organisations(listing))
    }

    pub(crate) fn worker_pools(&self, listing: &Listing<WorkerPoolView>) -> Result<()> {
        self.print(listing, || format_pools(listing))
    }

    pub(crate) fn workers(&self, listing: &Listing<WorkerView>) -> Result<()> {
        self.print(listing, || format_workers(listing))
    }
}

fn format_job(view: &JobView) -> String {
    let organisation = match &view.organisation {
        Some(name) => format!("{name}, {}", view.share_class.as_str()),
        None => "none".to_owned(),
    };
    let mut text = format_table(&[
        ["job".to_owned(), view.id.to_string()],
        ["phase".to_owned(), view.phase.clone()],
        ["queue".to_owned(), view.queue.to_string()],
        ["pool".to_owned(), view.pool.to_string()],
        ["organisation".to_owned(), organisation],
        ["deadline in".to_owned(), format!("{} ms", view.deadline_in_ms)],
    ]);
    let mut rows = vec![["STEP", "WAITING", "PLACED", "DONE", "FAILURES", "BLOCKED", "WORKERS"].map(str::to_owned)];
    for step in &view.steps.entries {
        rows.push([
            format!("{}.{}", step.occurrence, step.step),
            step.waiting.to_string(),
            step.placed.to_string(),
            step.done.to_string(),
            step.failures.to_string(),
            yes_no(step.blocked),
            format_step_workers(step),
        ]);
    }
    if rows.len() > 1 {
        text.push_str(&format_table(&rows));
    }
    text.push_str(&left_out(view.steps.left_out));
    if let Some(waiting) = &view.waiting {
        text.push_str(&format!(
            "tasks of step {}.{} that wait: {}; the first, {}.{}.{}: {}\n",
            waiting.occurrence,
            waiting.step,
            waiting.waiting,
            waiting.occurrence,
            waiting.step,
            waiting.task,
            waiting.explanation
        ));
    }
    text
}

fn format_step_workers(step: &StepView) -> String {
    let mut names: Vec<&Arc<str>> = step.workers.entries.iter().collect();
    names.sort();
    let mut text = names.into_iter().map(|name| &**name).collect::<Vec<&str>>().join(" ");
    if step.workers.left_out > 0 {
        text.push_str(&format!(" and {} more", step.workers.left_out));
    }
    text.trim().to_owned()
}

fn format_organisations(listing: &Listing<OrganisationView>) -> String {
    const COLUMNS: [&str; 10] = [
        "ORGANISATION",
        "WEIGHT",
        "RUNNING CPU",
        "QUOTA",
        "WAITING",
        "RUNNING",
        "WITHIN RATE",
        "BEYOND RATE",
        "COMPLETED",
        "LATE",
    ];
    let mut rows = vec![COLUMNS.map(str::to_owned)];
    for view in &listing.entries {
        rows.push([
            view.name.to_string(),
            view.weight.map_or("removed".to_owned(), |weight| weight.to_string()),
            format_cores(view.running.cpu_milli),
            format_quota(view.quota.as_ref()),
            view.jobs_waiting.to_string(),
            view.jobs_running.to_string(),
            view.jobs_within_rate.to_string(),
            view.jobs_beyond_rate.to_string(),
            view.completed.to_string(),
            view.late.to_string(),
        ]);
    }
    format_table(&rows) + &left_out(listing.left_out)
}

fn format_quota(quota: Option<&QuotaView>) -> String {
    let Some(quota) = quota else { return "none".to_owned() };
    let limits = [
        quota.cpu_milli.map(|milli| format!("{} CPU", format_cores(milli))),
        quota.mem_mb.map(|mb| format!("{mb} MB")),
        quota.gpus.map(|gpus| format!("{gpus} GPU")),
    ];
    limits.into_iter().flatten().collect::<Vec<String>>().join(", ")
}

fn format_pools(listing: &Listing<WorkerPoolView>) -> String {
    let mut rows = vec![["POOL", "SPARE", "WORKERS", "USABLE", "CAPACITY", "RESERVED", "DEMAND"].map(str::to_owned)];
    for view in &listing.entries {
        rows.push([
            view.name.to_string(),
            yes_no(view.spare),
            view.workers.to_string(),
            view.usable_workers.to_string(),
            format_cores(view.capacity_milli),
            format_cores(view.reserved_milli),
            format_cores(view.demand_milli),
        ]);
    }
    format_table(&rows) + &left_out(listing.left_out)
}

fn format_workers(listing: &Listing<WorkerView>) -> String {
    let mut rows = vec![["WORKER", "POOL", "ZONE", "STATE", "TASKS", "FAILURES"].map(str::to_owned)];
    for view in &listing.entries {
        rows.push([
            view.id.to_string(),
            view.pool.to_string(),
            view.zone.to_string(),
            view.state.as_str().to_owned(),
            view.tasks.to_string(),
            format!("{:.2}", view.failure_average),
        ]);
    }
    format_table(&rows) + &left_out(listing.left_out)
}

/// Cores with up to three decimals.
fn format_cores(milli: u64) -> String {
    (milli as f64 / 1_000.0).to_string()
}

fn left_out(count: usize) -> String {
    match count {
        0 => String::new(),
        count => format!("{count} more are not shown\n"),
    }
}
