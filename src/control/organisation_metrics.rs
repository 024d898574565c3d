//! Metrics of each organisation.
//!
//! Each daemon counts the submissions that it handles; the leader counts completed jobs and reports running CPU.

#[cfg(test)]
mod organisation_metrics_tests;

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use foldhash::HashMap;
use metrics::{Counter, Gauge};

use super::leader::Leader;
use crate::sched::model::Resources;
use crate::sched::organisation::{Organisation, Organisations};
use crate::sched::organisation_counts::OrganisationCounts;

/// Organisations with a label of their own. Each takes five time series in every daemon.
const MAX_LABELS: usize = 100;
/// Label of all other organisations.
const OTHER: &str = "other";
const REPORT_INTERVAL_MS: u64 = 1_000;
const MILLI_PER_CORE: f64 = 1_000.0;

/// Handles of the metrics with one label.
struct LabelledMetrics {
    running_cpu: Gauge,
    submitted: Counter,
    completed: Counter,
    late: Counter,
    refused: Counter,
}

impl LabelledMetrics {
    fn new(label: &str) -> LabelledMetrics {
        let label = [("organisation", label.to_owned())];
        LabelledMetrics {
            running_cpu: metrics::gauge!("organisation_running_cpu_cores", &label),
            submitted: metrics::counter!("organisation_jobs_submitted_total", &label),
            completed: metrics::counter!("organisation_jobs_completed_total", &label),
            late: metrics::counter!("organisation_jobs_late_total", &label),
            refused: metrics::counter!("organisation_jobs_refused_total", &label),
        }
    }
}

/// Metrics of the organisations. Empty until a configuration with organisations is in force.
#[derive(Default)]
pub(super) struct OrganisationMetrics {
    by_name: HashMap<Arc<str>, LabelledMetrics>,
    other: Option<LabelledMetrics>,
}

impl OrganisationMetrics {
    /// Gives labels to the organisations of a configuration, in the order of their weights. An organisation keeps its
    /// label, also if it is removed: its time series stay in the process.
    pub(super) fn configure(&mut self, organisations: &Organisations) {
        let mut by_weight: Vec<&Arc<Organisation>> = organisations.iter().collect();
        if by_weight.is_empty() {
            return;
        }
        by_weight.sort_by(|a, b| b.weight.total_cmp(&a.weight).then_with(|| a.name.cmp(&b.name)));
        for organisation in by_weight {
            if self.by_name.len() == MAX_LABELS {
                break;
            }
            let name = &organisation.name;
            self.by_name.entry(name.clone()).or_insert_with(|| LabelledMetrics::new(name));
        }
        self.other.get_or_insert_with(|| LabelledMetrics::new(OTHER));
    }

    /// Counts a job that was stored.
    pub(super) fn count_submitted(&self, organisation: Option<&Arc<str>>) {
        if let Some(metrics) = self.of(organisation) {
            metrics.submitted.increment(1);
        }
    }

    /// Counts a submission that was refused and never runs.
    pub(super) fn count_refused(&self, organisation: Option<&Arc<str>>) {
        if let Some(metrics) = self.of(organisation) {
            metrics.refused.increment(1);
        }
    }

    fn of(&self, organisation: Option<&Arc<str>>) -> Option<&LabelledMetrics> {
        self.by_name.get(organisation?).or(self.other.as_ref())
    }

    /// Sets the running CPU of each organisation.
    fn set_running(&self, running: &BTreeMap<Arc<str>, Resources>) {
        for (name, metrics) in &self.by_name {
            let milli = running.get(name).map_or(0, |resources| resources.cpu_milli);
            metrics.running_cpu.set(milli as f64 / MILLI_PER_CORE);
        }
        let others = running.iter().filter(|(name, _)| !self.by_name.contains_key(*name));
        let milli: u64 = others.map(|(_, resources)| resources.cpu_milli).sum();
        if let Some(other) = &self.other {
            other.running_cpu.set(milli as f64 / MILLI_PER_CORE);
        }
    }

    /// Adds the jobs that completed since `reported`.
    fn add_completed(&self, name: &Arc<str>, counts: OrganisationCounts, reported: OrganisationCounts) {
        let Some(metrics) = self.of(Some(name)) else { return };
        // Counts begin again when an organisation is removed and configured again.
        let reported = if counts.completed < reported.completed { OrganisationCounts::default() } else { reported };
        metrics.completed.increment(counts.completed - reported.completed);
        metrics.late.increment(counts.late.saturating_sub(reported.late));
    }
}

/// Reports what the leader knows, until leadership has ended. Then nothing counts as running here any more.
pub(super) async fn report(leader: Rc<Leader>) {
    let mut reported: HashMap<Arc<str>, OrganisationCounts> = HashMap::default();
    loop {
        leader.daemon.sleep_ms(REPORT_INTERVAL_MS).await;
        let metrics = leader.daemon.organisation_metrics.borrow();
        let scheduler = leader.scheduler.borrow();
        for (name, counts) in scheduler.organisation_counts() {
            metrics.add_completed(name, counts, reported.get(name).copied().unwrap_or_default());
        }
        reported = scheduler.organisation_counts().map(|(name, counts)| (name.clone(), counts)).collect();
        if leader.has_ended.get() {
            metrics.set_running(&BTreeMap::new());
            return;
        }
        if metrics.other.is_some() {
            metrics.set_running(&scheduler.running_by_organisation());
        }
    }
}
