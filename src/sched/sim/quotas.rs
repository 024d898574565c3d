//! Organisations in the simulation: a recount of their running usage, and whether runs stay within quotas.

use std::collections::HashMap;
use std::sync::Arc;

use super::super::model::{Catalog, Resources, TaskRef};
use super::super::organisation::Organisation;
use super::{Sim, Violation};
use crate::clock::US_PER_MS;

/// Orders that were sent before a quota was lowered may still be carried out for this long.
const LATE_ORDERS_US: u64 = 13_000 * US_PER_MS;

/// Resources held by runs, and the number of the runs.
type Held = HashMap<Arc<str>, (Resources, u32)>;

fn add(held: &mut Held, organisation: &Arc<str>, needs: &Resources) {
    let (resources, run_count) = held.entry(organisation.clone()).or_default();
    resources.add(needs);
    *run_count += 1;
}

impl Sim {
    /// Replaces the configured organisations, and passes the configuration to the leader.
    pub(in crate::sched) fn set_organisations(&mut self, organisations: impl IntoIterator<Item = Organisation>) {
        let mut catalog = Catalog { version: self.catalog.version + 1, ..(*self.catalog).clone() };
        catalog.organisations = super::fixtures::organisations(organisations);
        self.catalog = Arc::new(catalog);
        self.quotas_changed_us = self.now_us;
        if self.is_leader_up() {
            self.scheduler.configure(self.catalog.clone());
        }
    }

    /// Checks quotas from now on, although they were changed lately: no order was sent before.
    pub(in crate::sched) fn check_quotas_now(&mut self) {
        self.quotas_changed_us = 0;
    }

    /// Compares the usage that the scheduler keeps with a count of all placed tasks.
    pub(super) fn check_usage(&mut self) {
        let mut expected = Held::new();
        for job in self.scheduler.jobs.values() {
            let Some(organisation) = &job.spec.organisation else { continue };
            for (task_ref, task) in job.tasks() {
                if task.placed_on().is_some() {
                    add(&mut expected, organisation, &job.spec.steps[task_ref.step as usize].needs);
                }
            }
        }
        for (organisation, needs) in self.scheduler.usage.untracked_runs() {
            add(&mut expected, organisation, needs);
        }
        let kept = self.scheduler.usage.iter();
        let kept: Held = kept.map(|(name, usage)| (name.clone(), (usage.resources, usage.run_count))).collect();
        if kept != expected && self.violations.len() < 10 {
            self.violations.push(Violation(format!("USAGE: {kept:?} is kept, but {expected:?} are placed")));
        }
    }

    /// Resources held by all runs of an organisation on the simulated workers, and the number of the runs.
    pub(in crate::sched) fn held_by(&self, organisation: &str) -> (Resources, u32) {
        let mut held = Held::new();
        for worker in self.workers.values().filter(|worker| worker.is_up) {
            for (task_ref, _) in worker.runs.keys() {
                let Some(spec) = self.specs.get(&task_ref.job) else { continue };
                let Some(name) = spec.organisation.as_ref().filter(|name| &***name == organisation) else { continue };
                if !self.has_gang_ended(task_ref) {
                    add(&mut held, name, &spec.steps[task_ref.step as usize].needs);
                }
            }
        }
        held.remove(organisation).unwrap_or_default()
    }

    /// Whether another member of a task's gang has completed. Workers of the platform start and end the members of a gang
    /// together, so the leader counts none of them any more; simulated workers run each member by itself.
    fn has_gang_ended(&self, task_ref: &TaskRef) -> bool {
        let Some(step) = self.specs.get(&task_ref.job).and_then(|spec| spec.steps.get(task_ref.step as usize)) else {
            return false;
        };
        let mut members = (0..step.count).map(|index| TaskRef { index, ..task_ref.clone() });
        step.gang && members.any(|member| self.done.contains(&member))
    }

    /// Checks the quota of a task's organisation once a run of the task has started.
    pub(super) fn check_quota(&mut self, task_ref: &TaskRef) {
        if self.now_us < self.quotas_changed_us + LATE_ORDERS_US && self.quotas_changed_us > 0 {
            return;
        }
        let name = self.specs.get(&task_ref.job).and_then(|spec| spec.organisation.clone());
        let Some(organisation) = name.and_then(|name| self.catalog.organisations.get(&name).cloned()) else { return };
        let (resources, run_count) = self.held_by(&organisation.name);
        if run_count > 1 && !resources.fits_in(&organisation.cap) {
            let cap = organisation.cap;
            self.violations.push(Violation(format!("QUOTA: {resources} of {cap} held with {task_ref:?}")));
        }
    }
}
