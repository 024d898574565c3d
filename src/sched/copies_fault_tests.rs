//! Tests of speculative copies in the simulation: with faults, with stragglers, and in an overload.

use super::model::{JobId, JobPhase, Step, TaskRef};
use super::sim::{spec, step, Faults, Sim, Stragglers};

fn speculative_step(count: u32, after: &[u32]) -> Step {
    Step { speculative: true, ..step(count, after) }
}

fn phase(sim: &Sim, job: &JobId) -> Option<JobPhase> {
    sim.scheduler.jobs.get(job).map(|job| job.phase)
}

/// Plays jobs of which a fifth of the runs take four times as long, then lets all jobs end without faults.
fn play(seed: u64, faults: Faults) -> Sim {
    let mut sim = Sim::new(seed, 6, faults);
    sim.stragglers = Stragglers { rate: 0.2, factor: 4.0, report_progress: seed % 2 == 0, ..Stragglers::default() };
    for number in 0..14 {
        let steps = vec![speculative_step(4, &[]), speculative_step(3, &[0])];
        let id = sim.submit(&format!("job-{number:02}"), spec(steps));
        sim.run_for(700);
        if number % 5 == 4 {
            sim.cancel(&id);
        }
    }
    sim.run_until_jobs_final(60_000);
    sim
}

/// Plays jobs with faults; returns how often a task got a second run beside the first.
fn assert_invariants_hold(seed: u64, faults: Faults) -> u32 {
    let sim = play(seed, faults);

    sim.assert_jobs_have_ended(&format!("seed {seed}, {faults:?}"));
    sim.copy_start_count
}

#[test]
fn invariants_hold_with_copies_under_each_fault() {
    let cases = [
        Faults::default(),
        Faults { answer_loss_rate: 0.3, ..Faults::default() },
        Faults { order_delay_rate: 0.3, ..Faults::default() },
        Faults { order_loss_rate: 0.3, ..Faults::default() },
        Faults { run_failure_rate: 0.2, ..Faults::default() },
        Faults { crashes_per_s: 0.5, ..Faults::default() },
        Faults { partitions_per_s: 0.5, ..Faults::default() },
        Faults { failovers_per_s: 0.3, ..Faults::default() },
        Faults { commit_answer_loss_rate: 0.3, ..Faults::default() },
        Faults { commit_delay_ms: 200, failovers_per_s: 0.3, run_failure_rate: 0.3, ..Faults::default() },
        Faults { order_delay_rate: 0.3, partitions_per_s: 0.5, failovers_per_s: 0.1, ..Faults::default() },
    ];

    for faults in cases {
        let copies: u32 = (0..12).map(|seed| assert_invariants_hold(seed, faults)).sum();
        assert!(copies > 0, "{faults:?}: no copy ran, so the case shows nothing");
    }
}

#[test]
fn invariants_hold_with_copies_under_combined_faults() {
    let faults = Faults {
        answer_loss_rate: 0.08,
        order_delay_rate: 0.1,
        order_loss_rate: 0.05,
        run_failure_rate: 0.05,
        crashes_per_s: 0.1,
        partitions_per_s: 0.2,
        failovers_per_s: 0.1,
        commit_answer_loss_rate: 0.1,
        commit_delay_ms: 20,
        ..Faults::default()
    };

    let copies: u32 = (100..300).map(|seed| assert_invariants_hold(seed, faults)).sum();

    assert!(copies > 200, "{copies} copies in 200 plays");
}

/// Time until a job of ten tasks is complete whose first task runs four times as long at its first run.
fn completion_ms(is_speculative: bool, report_progress: bool, workers: usize) -> u64 {
    let mut sim = Sim::new(1, workers, Faults::default());
    sim.stragglers.report_progress = report_progress;
    let straggler = TaskRef { job: "job".into(), occurrence: 0, step: 0, index: 0 };
    sim.stragglers.first_runs.insert(straggler, 4.4);
    sim.run_for(100);
    let submitted_us = sim.now_us;
    let id = sim.submit("job", spec(vec![Step { speculative: is_speculative, ..step(10, &[]) }]));
    while phase(&sim, &id) != Some(JobPhase::Completed) {
        assert!(sim.now_us < submitted_us + 10_000_000, "the job does not complete");
        sim.run_for(5);
    }
    let elapsed_ms = (sim.now_us - submitted_us) / 1_000;
    sim.run_for(3_000);
    assert_eq!(sim.violations, []);
    assert!(sim.scheduler.workers.values().all(|worker| worker.tasks.is_empty()), "all capacity is free again");
    elapsed_ms
}

#[test]
fn copy_shortens_a_job_with_one_straggler() {
    let without = completion_ms(false, false, 4);
    let with = completion_ms(true, false, 4);
    let with_progress = completion_ms(true, true, 4);

    assert!((2_200..2_600).contains(&without), "{without} ms without copies");
    assert!(with <= 1_800, "{with} ms with a copy, {without} without");
    assert!(with_progress <= 1_500, "{with_progress} ms with a copy that the reported progress called for");
}

#[test]
fn single_worker_gets_no_copies() {
    let with = completion_ms(true, false, 1);

    assert!((2_200..2_700).contains(&with), "{with} ms");
}

#[test]
fn copy_goes_on_as_the_only_run_when_the_lease_of_the_original_expires() {
    let mut sim = Sim::new(1, 8, Faults::default());
    sim.stragglers.report_progress = true;
    sim.submit("early", spec(vec![speculative_step(10, &[])]));
    sim.run_for(1_500);
    let task_ref = TaskRef { job: "job".into(), occurrence: 0, step: 0, index: 0 };
    sim.stragglers.first_runs.insert(task_ref.clone(), 40.0);
    sim.stragglers.workers = (4..8).map(|number| (format!("w{number}").into(), 24.0)).collect();
    let id = sim.submit("job", spec(vec![speculative_step(1, &[])]));
    sim.run_for(1_500);
    let workers = sim.scheduler.jobs[&id].task(&task_ref).expect("the task is known").worker_ids();
    let numbers: Vec<usize> = workers.iter().filter_map(|worker| worker[1..].parse().ok()).collect();
    assert!(numbers.len() == 2 && numbers[0] < 4 && numbers[1] >= 4, "a run and its copy: {workers:?}");

    sim.partition(numbers[0], 60_000);
    let mut placed = workers.clone();
    while placed.contains(&workers[0]) {
        assert!(sim.now_us < 30_000_000, "the lease does not expire");
        sim.run_for(5);
        placed = sim.scheduler.jobs[&id].task(&task_ref).expect("no run has completed").worker_ids();
    }
    let run = sim.scheduler.jobs[&id].task(&task_ref).map(|task| task.run);
    sim.run_for(15_000);

    assert_eq!((placed.first(), run), (workers.last(), Some(2)), "the copy is the task's run");
    assert_eq!(phase(&sim, &id), Some(JobPhase::Completed));
    assert_eq!(sim.violations, []);
}

#[test]
fn tail_that_appears_in_the_middle_gets_copies_and_runs_that_are_all_slow_get_none() {
    let mut sim = Sim::new(1, 8, Faults::default());
    for number in 0..10 {
        sim.submit(&format!("early-{number}"), spec(vec![speculative_step(8, &[])]));
        sim.run_for(700);
    }
    let before = sim.copy_start_count;
    sim.stragglers.rate = 0.1;
    sim.stragglers.factor = 4.0;
    for number in 0..10 {
        sim.submit(&format!("tail-{number}"), spec(vec![speculative_step(8, &[])]));
        sim.run_for(700);
    }
    sim.run_until_jobs_final(20_000);
    let with_tail = sim.copy_start_count;
    // Every run takes longer by the same factor, as on workers that are all slow.
    sim.stragglers.rate = 1.0;
    for number in 0..40 {
        sim.submit(&format!("slow-{number}"), spec(vec![speculative_step(8, &[])]));
        sim.run_for(700);
    }
    let while_learning = sim.copy_start_count;
    for number in 40..60 {
        sim.submit(&format!("slow-{number}"), spec(vec![speculative_step(8, &[])]));
        sim.run_for(700);
    }

    assert_eq!(before, 0, "runs that are alike get no copies");
    assert!(with_tail >= 4, "{with_tail} copies of stragglers");
    assert_eq!(sim.copy_start_count, while_learning, "copies are of no use where all runs take as long");
    assert_eq!(sim.violations, []);
}

/// What came of jobs that need more than the fleet for 4 s.
#[derive(Debug)]
struct Overload {
    /// Copies that started meanwhile.
    copies: u32,
    /// Mean time from the submission of a job to its completion.
    mean_completion_ms: f64,
}

/// Few jobs of narrow tasks, some of which run four times as long, and many of one task that needs a whole worker: copies
/// of the narrow ones would find room on workers that become free for the wide ones.
fn play_overload(seed: u64, is_speculative: bool) -> Overload {
    let mut sim = Sim::new(seed, 4, Faults::default());
    sim.stragglers = Stragglers { rate: 0.08, factor: 4.0, ..Stragglers::default() };
    let narrow = Step { speculative: is_speculative, ..step(4, &[]) };
    let mut wide = step(1, &[]);
    wide.needs.cpu_milli = 16_000;
    sim.submit("first", spec(vec![step(20, &[])]));
    sim.run_for(2_500);
    let mut submitted = Vec::new();
    for number in 0..40 {
        if number % 2 == 0 {
            submitted.push((sim.submit(&format!("narrow-{number:02}"), spec(vec![narrow.clone()])), sim.now_us));
        }
        submitted.push((sim.submit(&format!("wide-{number:02}"), spec(vec![wide.clone()])), sim.now_us));
        sim.run_for(100);
    }
    let copies = sim.copy_start_count;
    let job_count = submitted.len() as f64;
    let mut total_ms = 0.0;
    while !submitted.is_empty() {
        assert!(sim.now_us < 120_000_000, "jobs do not complete: {submitted:?}");
        sim.run_for(5);
        let now_us = sim.now_us;
        submitted.retain(|(id, submitted_us)| {
            let is_complete = phase(&sim, id) == Some(JobPhase::Completed);
            total_ms += if is_complete { (now_us - submitted_us) as f64 / 1_000.0 } else { 0.0 };
            !is_complete
        });
    }
    assert_eq!(sim.violations, []);
    Overload { copies, mean_completion_ms: total_ms / job_count }
}

#[test]
fn copies_do_not_delay_first_runs_in_an_overload() {
    let without: Vec<Overload> = (1..=6).map(|seed| play_overload(seed, false)).collect();
    let with: Vec<Overload> = (1..=6).map(|seed| play_overload(seed, true)).collect();

    let mean_ms = |plays: &[Overload]| plays.iter().map(|play| play.mean_completion_ms).sum::<f64>() / 6.0;
    let copies: u32 = with.iter().map(|play| play.copies).sum();
    assert_eq!(copies, 0, "copies started while tasks waited: {with:?}");
    assert!(mean_ms(&with) <= mean_ms(&without) * 1.02, "{with:?} with copies, {without:?} without");
}
