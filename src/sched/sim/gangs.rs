//! Gangs on simulated workers: the completion of one member ends the others, and none starts afterwards.

use super::super::action::StartRun;
use super::super::model::{RunOutcome, TaskRef};
use super::Sim;

/// Any member of a gang stands for all of them.
fn gang_of(task: &TaskRef) -> TaskRef {
    TaskRef { index: 0, ..task.clone() }
}

impl Sim {
    /// Ends the other members' runs of the same number after a run has completed, if its task belongs to a gang.
    pub(super) fn end_gang_of(&mut self, task: &TaskRef, run: u32) {
        let step = self.specs.get(&task.job).and_then(|spec| spec.steps.get(task.step as usize));
        let Some(step) = step.filter(|step| step.gang) else { return };
        self.completed_gangs.insert((gang_of(task), run));
        for worker in self.workers.values_mut().filter(|worker| worker.is_up) {
            for index in 0..step.count {
                let member = TaskRef { index, ..task.clone() };
                if worker.runs.remove(&(member.clone(), run)).is_some() {
                    worker.record_end(&member, run, RunOutcome::GangMemberEnded);
                }
            }
        }
    }

    /// Ends a run that has just started if its gang has completed, as after an order that was delayed on its way.
    pub(super) fn end_late_gang_member(&mut self, start: &StartRun) -> bool {
        let is_late = self.completed_gangs.contains(&(gang_of(&start.task), start.run));
        let Some(worker) = self.workers.get_mut(&start.worker).filter(|_| is_late) else { return false };
        worker.runs.remove(&(start.task.clone(), start.run));
        worker.record_end(&start.task, start.run, RunOutcome::GangIncomplete);
        true
    }
}
