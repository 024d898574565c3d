//! Gangs on simulated workers: the completion of one member ends the others.

use super::super::model::{RunOutcome, TaskRef};
use super::Sim;

impl Sim {
    /// Ends the runs of the other members of a completed task's gang, if it belongs to one.
    pub(super) fn end_gang_of(&mut self, task: &TaskRef) {
        let step = self.specs.get(&task.job).and_then(|spec| spec.steps.get(task.step as usize));
        let Some(step) = step.filter(|step| step.gang) else { return };
        let members: Vec<TaskRef> = (0..step.count).map(|index| TaskRef { index, ..task.clone() }).collect();
        for worker in self.workers.values_mut().filter(|worker| worker.is_up) {
            for member in &members {
                let numbers: Vec<u32> = worker.runs_of(member).map(|(number, _)| number).collect();
                for number in numbers {
                    worker.runs.remove(&(member.clone(), number));
                    worker.record_end(member, number, RunOutcome::GangMemberEnded);
                }
            }
        }
    }
}
