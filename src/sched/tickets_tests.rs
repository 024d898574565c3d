//! Tests of queues whose steps need tickets of the advice service.

use std::sync::Arc;

use super::model::{JobPhase, JobSpec, Step};
use super::sim::{spec, step, AdviceService, Faults, Sim};

/// More workers than one request names at least.
const WORKERS: usize = 62;

fn service() -> AdviceService {
    AdviceService { decide_ms: 5, each_ms: 1, valid_ms: 3_000, ..AdviceService::default() }
}

/// A simulation with a queue whose steps need tickets, for which the service refuses one of ten workers.
fn sim_with_advice(seed: u64, workers: usize, faults: Faults) -> Sim {
    let mut sim = Sim::new(seed, workers, faults);
    let refused = (0..workers).step_by(10).map(|number| format!("w{number}").into()).collect();
    sim.use_advice(AdviceService { refused, ..service() });
    sim.run_for(6_000);
    sim
}

fn phase(sim: &Sim, job: &str) -> Option<JobPhase> {
    sim.scheduler.jobs.get(job).map(|job| job.phase)
}

/// Number of tasks of a job that are placed on a worker.
fn placed(sim: &Sim, job: &str) -> usize {
    sim.scheduler.jobs[job].tasks().filter(|(_, task)| task.placed_on().is_some()).count()
}

fn spread_step(count: u32) -> Step {
    Step { max_per_worker: Some(1), ..step(count, &[]) }
}

#[test]
fn step_that_requires_a_rare_label_is_placed_while_others_have_tickets() {
    // Guards against requests that name only workers that cannot take the step, because there are enough of them.
    let mut sim = sim_with_advice(1, WORKERS, Faults::default());
    // These workers are not among the first ones by ID.
    let labelled = Step { required_label: Some("r12".into()), ..step(2, &[]) };
    sim.submit("labelled", spec(vec![labelled]));

    sim.run_for(2_000);

    assert_eq!(phase(&sim, "labelled"), Some(JobPhase::Completed));
    assert_eq!(sim.violations, []);
}

#[test]
fn all_lasting_tasks_of_a_step_start_though_they_need_more_workers_than_one_request_names() {
    // Guards against tasks that never start because workers with a ticket still have free capacity, though none for them.
    let mut sim = sim_with_advice(1, WORKERS, Faults::default());
    sim.submit("lasting", spec(vec![Step { long_running: true, ..spread_step(40) }]));

    sim.run_for(2_000);

    assert_eq!(placed(&sim, "lasting"), 40);
    assert_eq!(sim.violations, []);
}

#[test]
fn gang_starts_though_it_needs_more_workers_than_one_request_names() {
    // Guards against gangs that wait for ever for tickets, also if these run out one after the other.
    for (members, workers) in [(40, WORKERS), (120, 140)] {
        let mut sim = sim_with_advice(1, workers, Faults::default());
        sim.submit("gang", spec(vec![Step { gang: true, ..spread_step(members) }]));

        sim.run_for(4_000);

        assert_eq!(phase(&sim, "gang"), Some(JobPhase::Completed), "{members} members");
        assert_eq!(sim.violations, []);
    }
}

#[test]
fn failed_request_is_repeated_without_any_other_event() {
    // Guards against tasks that wait for another event after a request to the advice service has failed.
    let mut sim = sim_with_advice(1, 4, Faults::default());
    let fails_until_us = sim.now_us + 1_000_000;
    sim.use_advice(AdviceService { fails_until_us, ..service() });
    sim.submit("job", spec(vec![step(2, &[])]));

    sim.run_for(4_000);

    assert_eq!(phase(&sim, "job"), Some(JobPhase::Completed));
}

#[test]
fn workers_that_were_refused_are_not_asked_about_again() {
    // Guards against requests without end for a step that no worker may run.
    let mut sim = Sim::new(1, WORKERS, Faults::default());
    let refused = (0..WORKERS).map(|number| format!("w{number}").into()).collect();
    sim.use_advice(AdviceService { refused, ..service() });
    sim.submit("job", spec(vec![step(2, &[])]));

    sim.run_for(20_000);

    let requests = sim.advice.as_ref().map(|service| service.request_count);
    assert_eq!((placed(&sim, "job"), requests), (0, Some(3)), "62 workers, 30 in a request");
}

/// Submits small jobs so often that no worker is ever without tasks.
fn keep_busy(sim: &mut Sim, rounds: u32) {
    for _ in 0..rounds {
        let id = format!("small-{:04}", sim.specs.len());
        sim.submit(&id, spec(vec![step(3, &[])]));
        sim.run_for(25);
    }
}

#[test]
fn lasting_task_that_needs_a_ticket_gets_capacity_on_busy_workers() {
    // Guards against lasting tasks for which no worker is kept free, since tickets were only asked for with free capacity.
    let mut sim = sim_with_advice(1, 2, Faults::default());
    sim.use_advice(service());
    keep_busy(&mut sim, 80);
    let mut lasting = Step { long_running: true, ..step(1, &[]) };
    lasting.needs.cpu_milli = 13_000;
    sim.submit("lasting", spec(vec![lasting]));

    keep_busy(&mut sim, 160);

    assert_eq!(phase(&sim, "lasting"), Some(JobPhase::Running));
    assert_eq!(sim.violations, []);
}

#[test]
fn each_lasting_task_of_a_step_gets_capacity_on_a_busy_worker_of_its_own() {
    // Guards against a worker that has a ticket, and as many tasks of the step as it may, which keeps others from being asked
    // about.
    let mut sim = sim_with_advice(1, 2, Faults::default());
    sim.use_advice(service());
    keep_busy(&mut sim, 80);
    let mut lasting = Step { long_running: true, ..spread_step(2) };
    lasting.needs.cpu_milli = 13_000;
    sim.submit("lasting", spec(vec![lasting]));

    keep_busy(&mut sim, 240);

    assert_eq!(placed(&sim, "lasting"), 2);
    assert_eq!(sim.violations, []);
}

/// Steps with all that restricts where a task may run.
fn mixed_job(number: usize) -> JobSpec {
    let label = |rack: usize| -> Option<Arc<str>> { Some(format!("r{rack}").into()) };
    let first = match number % 4 {
        0 => spread_step(10),
        1 => Step { gang: true, ..spread_step(6) },
        2 => Step { required_label: label(number % 5), ..step(3, &[]) },
        _ => Step { gang: true, same_rack: true, ..step(3, &[]) },
    };
    spec(vec![first, step(2, &[0])])
}

#[test]
fn jobs_of_a_queue_with_advice_complete_despite_faults() {
    // Guards against starts without a valid ticket that use up the time, and against jobs that are never placed, while workers
    // crash, orders are lost, leaders change and the service fails for a while.
    for seed in 0..6 {
        let faults = Faults { crashes_per_s: 0.3, failovers_per_s: 0.1, answer_loss_rate: 0.05, ..Faults::default() };
        let mut sim = sim_with_advice(seed, 20, faults);
        for number in 0..16 {
            sim.submit(&format!("job-{number:02}"), mixed_job(number));
            sim.run_for(500);
            if number == 8 {
                let fails_until_us = sim.now_us + 1_500_000;
                if let Some(service) = &mut sim.advice {
                    service.fails_until_us = fails_until_us;
                }
            }
        }

        sim.run_until_jobs_final(60_000);

        sim.assert_jobs_have_ended(&format!("seed {seed}"));
    }
}
