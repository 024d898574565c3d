//! Placement of gangs, whose tasks start together or not at all.

use std::sync::Arc;

use super::candidate::{racks, Candidate};
use super::model::{Step, TaskRef};
use super::scheduler::Scheduler;

impl Scheduler {
    /// Places all tasks of a gang, or none of them.
    pub(super) fn place_gang(&mut self, now_us: u64, waiting: &[TaskRef], step: &Step, workers: &mut [Candidate]) {
        if waiting.len() < step.count as usize {
            return;
        }
        let Some((chosen, trial)) = self.find_gang(now_us, waiting, step, workers) else { return };
        self.assign_gang(now_us, waiting, &chosen);
        for (worker, tried) in workers.iter_mut().zip(trial) {
            *worker = Candidate { is_allowed: worker.is_allowed, siblings: 0, ..tried };
        }
    }

    /// Workers for all tasks of a gang, and the candidates with the capacity for it reserved.
    pub(super) fn find_gang(
        &self,
        now_us: u64,
        waiting: &[TaskRef],
        step: &Step,
        workers: &[Candidate],
    ) -> Option<(Vec<Arc<str>>, Vec<Candidate>)> {
        let needed_milli = step.reserved().cpu_milli * u64::from(step.count);
        for rack in racks(step, workers) {
            let mut trial = workers.to_vec();
            for worker in &mut trial {
                worker.is_allowed &= rack.is_none() || worker.labels.last() == rack.as_ref();
            }
            let allowed = trial.iter().filter(|worker| worker.is_allowed);
            if allowed.map(|worker| worker.free_capacity.cpu_milli).sum::<u64>() < needed_milli {
                continue;
            }
            if let Some(chosen) = self.choose_gang(now_us, waiting, step, &mut trial) {
                return Some((chosen, trial));
            }
        }
        None
    }

    fn choose_gang(
        &self,
        now_us: u64,
        waiting: &[TaskRef],
        step: &Step,
        workers: &mut [Candidate],
    ) -> Option<Vec<Arc<str>>> {
        let mut chosen = Vec::new();
        for task_ref in waiting {
            let index = self.choose(now_us, task_ref, step, workers)?;
            self.reserve(task_ref, step, &mut workers[index]);
            workers[index].siblings += 1;
            chosen.push(workers[index].id.clone());
        }
        Some(chosen)
    }

    fn assign_gang(&mut self, now_us: u64, waiting: &[TaskRef], chosen: &[Arc<str>]) {
        let Some(job) = self.jobs.get(&waiting[0].job) else { return };
        let run =
            waiting.iter().filter_map(|task_ref| job.task(task_ref)).map(|task| task.last_run + 1).max().unwrap_or(1);
        // All tasks of a gang resume from the same checkpoint.
        let checkpoint = waiting.iter().filter_map(|task_ref| job.task(task_ref)).map(|task| task.checkpoint.clone());
        let checkpoint = checkpoint.max().unwrap_or_else(|| Arc::from(""));
        for (task_ref, worker) in waiting.iter().zip(chosen) {
            if let Some(task) = self.jobs.get_mut(&task_ref.job).and_then(|job| job.task_mut(task_ref)) {
                task.checkpoint = checkpoint.clone();
            }
            self.assign(now_us, task_ref, worker, run);
        }
    }
}
