//! Workers whose capacity changes while they run tasks.

use std::sync::Arc;

use super::super::model::TaskRef;
use super::{Sim, Violation};
use crate::clock::US_PER_MS;

/// Starts may exceed a capacity that has shrunk for this long: the registry and the leader learn of it only then.
const SHRINK_NOTICE_US: u64 = 300 * US_PER_MS;

/// A capacity that a worker had until lately.
#[derive(Debug, Clone, Copy)]
pub(super) struct FormerCapacity {
    cpu_milli: u64,
    until_us: u64,
}

impl Sim {
    /// Changes a worker's CPU, which it reports in its entry. Its runs go on.
    pub(in crate::sched) fn resize_worker(&mut self, number: usize, cpu_milli: u64) {
        let id: Arc<str> = format!("w{number}").into();
        let now_us = self.now_us;
        let Some(worker) = self.workers.get_mut(&id) else { return };
        let former_milli = worker.entry.capacity.cpu_milli;
        if cpu_milli < former_milli {
            let until_us = now_us + SHRINK_NOTICE_US;
            worker.former_capacity = Some(FormerCapacity { cpu_milli: former_milli, until_us });
        }
        worker.entry.capacity.cpu_milli = cpu_milli;
        let entry = worker.entry.clone();
        self.registry.insert(entry);
    }

    /// Checks that a start keeps the worker within its capacity.
    pub(super) fn check_capacity(&mut self, task_ref: &TaskRef, id: &Arc<str>) {
        let used_milli = self.cpu_in_use_milli(id);
        let worker = &self.workers[id];
        let former = worker.former_capacity.filter(|former| self.now_us < former.until_us);
        let capacity_milli = worker.entry.capacity.cpu_milli.max(former.map_or(0, |former| former.cpu_milli));
        if used_milli > capacity_milli {
            let text = format!("OVERCOMMITTED: {id} has {used_milli} thousandths of a core in use with {task_ref:?}");
            self.violations.push(Violation(text));
        }
    }

    /// CPU reserved by the runs on a worker. Simulated workers accept every run, even beyond their capacity.
    fn cpu_in_use_milli(&self, id: &Arc<str>) -> u64 {
        let mut used_milli = 0;
        for (task_ref, _) in self.workers[id].runs.keys() {
            let step = self.specs.get(&task_ref.job).and_then(|spec| spec.steps.get(task_ref.step as usize));
            used_milli += step.map_or(0, |step| step.reserved().cpu_milli);
        }
        used_milli
    }
}
