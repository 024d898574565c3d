//! Which workers and tasks may be on a host, and whether new tasks are kept off it.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::model::TaskRef;
use super::scheduler::Scheduler;
use super::worker::Worker;

impl Scheduler {
    /// Number of long-running tasks on a host, and its reserved CPU in thousandths of a core.
    pub(super) fn load_on(&self, host: &str) -> (u32, u64) {
        let mut long_running_count = 0;
        let mut cpu_milli = 0;
        for id in self.possible_workers_on(host) {
            let Some(worker) = self.workers.get(&id) else { continue };
            long_running_count += worker.long_running_count;
            cpu_milli += worker.reserved.cpu_milli;
        }
        (long_running_count, cpu_milli)
    }

    /// The registered worker on a host: the one that the provider names, otherwise the last one known.
    pub(super) fn worker_on(&self, host: &str) -> Option<Arc<str>> {
        let listed = self.hosts.get(host).and_then(|record| record.worker.clone());
        if listed.as_ref().is_some_and(|id| self.workers.get(id).is_some_and(|worker| worker.is_listed)) {
            return listed;
        }
        let id = self.worker_by_host.get(host)?;
        self.workers.get(id).is_some_and(|worker| worker.is_listed).then(|| id.clone())
    }

    /// Workers that may be on a host, registered or not: the one that the provider names, the last one known, and all that
    /// name the host themselves. A former worker of the host may run tasks beside the latest one.
    pub(super) fn possible_workers_on(&self, host: &str) -> BTreeSet<Arc<str>> {
        let listed = self.hosts.get(host).and_then(|record| record.worker.as_ref());
        let named = self.workers_naming_host.get(host).into_iter().flatten();
        listed.into_iter().chain(self.worker_by_host.get(host)).chain(named).cloned().collect()
    }

    /// Adds a worker, and notes the host that it names.
    pub(super) fn insert_worker(&mut self, worker: Worker) {
        let id = worker.entry.id.clone();
        self.workers.insert(id.clone(), worker);
        self.note_host_of(&id, None);
    }

    pub(super) fn remove_worker(&mut self, id: &Arc<str>) -> Option<Worker> {
        let worker = self.workers.remove(id)?;
        self.note_host_of(id, worker.entry.host.as_ref());
        Some(worker)
    }

    /// Notes the host that a worker names now, instead of the one that it named before.
    pub(super) fn note_host_of(&mut self, id: &Arc<str>, former: Option<&Arc<str>>) {
        let named = self.workers.get(id).and_then(|worker| worker.entry.host.as_ref());
        if let Some(host) = named {
            self.workers_naming_host.entry(host.clone()).or_default().insert(id.clone());
        }
        let Some(former) = former.filter(|former| Some(*former) != named) else { return };
        let Some(ids) = self.workers_naming_host.get_mut(former) else { return };
        ids.remove(id);
        if ids.is_empty() {
            self.workers_naming_host.remove(former);
        }
    }

    /// Tasks of which a run may be on a host, with the ID of its worker. A worker without an entry in the registry may
    /// still run its tasks, so these count until they are released.
    pub(super) fn runs_on(&self, host: &str) -> Vec<(TaskRef, Arc<str>)> {
        let mut tasks = Vec::new();
        for id in self.possible_workers_on(host) {
            if let Some(worker) = self.workers.get(&id) {
                tasks.extend(worker.tasks.iter().map(|task_ref| (task_ref.clone(), id.clone())));
                continue;
            }
            for task_ref in self.unattached_tasks.get(&id).into_iter().flatten() {
                let task = self.task(task_ref);
                if task.is_some_and(|task| task.run_on(&id).is_some()) {
                    tasks.push((task_ref.clone(), id.clone()));
                }
            }
        }
        tasks
    }

    pub(super) fn may_run_tasks(&self, host: &str) -> bool {
        !self.runs_on(host).is_empty()
    }

    /// Whether a host is drained, or ordered to move or to be maintained.
    pub(super) fn is_host_leaving(&self, host: &str) -> bool {
        self.waves.is_taking_down(host) || self.host_moves.is_leaving(host)
    }

    /// Sets whether new tasks are kept off a host's worker.
    pub(super) fn set_cordoned(&mut self, host: &str, is_cordoned: bool) {
        for id in self.possible_workers_on(host) {
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.is_cordoned = is_cordoned;
            }
        }
    }
}
