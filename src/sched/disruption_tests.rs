//! Tests of stop orders within the disruption budget of a step, beside waves and planned restarts of workers.

use super::host_drain_tests::{commit, leader_with_two_tasks_at_work, report_runs, stop_order_count};
use super::job::{RunPhase, TaskState};
use super::model::{ActiveRun, HoldAnswer, HostRecord, WaveOrder, WorkerEntry};
use super::planned_work_tests::{
    assert_budgets_kept, assert_wave_complete, run_with_small_jobs, with_budgeted_tasks, MAX_DOWN, WAVE, WORKER_COUNT,
};
use super::scheduler::{SchedSettings, Scheduler};
use super::sim::{settings, Faults, PlannedRestart, Sim};
use super::start_orders::MAX_START_REPEATS;
use crate::clock::US_PER_MS;

/// A worker that drains stays a little longer than it has reported.
const RESTART: PlannedRestart = PlannedRestart { remaining_ms: 2_000, stays_ms: 2_500, down_ms: 500 };

/// Hosts with long-running tasks that have a disruption budget, all of them at work. Stops take up to 900 ms.
fn sim_with_slow_stops(seed: u64) -> Sim {
    let slow_stops = SchedSettings { stop_grace_ms: 900, ..settings() };
    with_budgeted_tasks(seed, Sim::with_settings(seed, WORKER_COUNT, Faults::default(), slow_stops))
}

/// Guards against stops on draining workers that break the budget of a stop for a wave which is under way (review/10).
#[test]
fn budgets_are_kept_when_workers_shut_down_as_planned_during_a_wave() {
    for seed in 0..40 {
        let mut sim = sim_with_slow_stops(seed);
        sim.order_wave(WAVE, MAX_DOWN);

        for round in 0..16 {
            run_with_small_jobs(&mut sim, 1_000 + seed % 7 * 250);
            sim.restart_as_planned(seed as usize * 7 + round * 5, RESTART);
        }
        run_with_small_jobs(&mut sim, 60_000);

        assert_budgets_kept(&sim, seed);
        assert_wave_complete(&sim, seed);
    }
}

/// Makes the worker of one of the two tasks report that it drains.
fn drain_first_worker(leader: &mut Scheduler, now_ms: u64, remaining_ms: u64) {
    let draining = WorkerEntry { draining: true, remaining_ms, ..leader.workers["w0"].entry.clone() };
    leader.worker_listed(now_ms * US_PER_MS, draining);
}

/// Guards against evictions that leave more tasks unavailable than the budget allows, and against evictions that wait until
/// the worker has left.
#[test]
fn task_leaves_a_draining_worker_within_the_budget_or_right_before_the_worker_does() {
    // Percentage of the other task, time after the report of the drain, and the expected number of stops.
    let cases = [(100, 0, 1), (40, 0, 0), (40, 1_000, 0), (40, 1_700, 1)];
    for (percent, after_ms, expected_stops) in cases {
        let mut leader = leader_with_two_tasks_at_work();
        commit(&mut leader, 11_000);
        report_runs(&mut leader, 11_100, 11_050, 100);
        report_run_of(&mut leader, "w1", 11_150, Some(percent));

        drain_first_worker(&mut leader, 11_200, 2_000);
        leader.tick((11_200 + after_ms) * US_PER_MS, 0);

        assert_eq!(stop_order_count(&mut leader), expected_stops, "{percent} percent, {after_ms} ms");
    }
}

/// Guards against a new leader that leaves tasks on workers which began to drain before it took over.
#[test]
fn tasks_on_a_worker_that_drained_before_its_leader_knew_it_are_stopped() {
    let mut leader = leader_with_two_tasks_at_work();
    commit(&mut leader, 11_000);
    report_runs(&mut leader, 11_100, 11_050, 100);
    if let Some(worker) = leader.workers.get_mut("w0") {
        worker.entry.draining = true;
    }

    leader.tick(11_200 * US_PER_MS, 0);

    assert_eq!(stop_order_count(&mut leader), 1);
}

/// Lets one worker answer a hold request: its run is active at this progress, or is not listed.
fn report_run_of(leader: &mut Scheduler, id: &str, at_ms: u64, percent: Option<u32>) {
    let id = leader.workers[id].entry.id.clone();
    let mut running = Vec::new();
    for task in leader.workers[&id].tasks.clone() {
        let run = leader.jobs[&task.job].task(&task).map_or(0, |known| known.run);
        let Some(percent) = percent else { continue };
        running.push(ActiveRun { task, run, checkpoint: "".into(), percent, load: None });
    }
    let answer = HoldAnswer { clock_ms: at_ms, started_unix_ms: None, is_complete: true, running, ended: Vec::new() };
    leader.on_hold_answer(at_ms * US_PER_MS, at_ms * US_PER_MS, &id, &answer);
}

/// A leader that has no answer to the last repetition of the start order of the run on `w0` since 11.1 s, while the other
/// task is at this progress.
fn leader_with_unanswered_start(percent: u32) -> Scheduler {
    let mut leader = leader_with_two_tasks_at_work();
    commit(&mut leader, 11_000);
    report_runs(&mut leader, 11_050, 11_050, percent);
    let job = leader.jobs.get_mut("long-running").expect("the job is known");
    let occurrence = job.occurrences.get_mut(&0).expect("it has begun");
    for task in &mut occurrence.steps[0].tasks {
        let TaskState::Placed { phase, worker } = &mut task.state else { continue };
        if &*worker.id != "w0" {
            continue;
        }
        *phase = RunPhase::Unanswered { since_us: 11_100 * US_PER_MS };
        task.report.is_listed = false;
        task.report.start_repeats = MAX_START_REPEATS;
    }
    leader
}

/// Guards against the stop of a run whose start order arrives late: it may be at work when the stop arrives, while another
/// task of its step is unavailable.
#[test]
fn unlisted_run_is_stopped_within_the_budget_or_after_a_while() {
    let cases = [(100, 11_200, 1), (40, 11_200, 0), (40, 16_000, 0), (40, 16_200, 1)];
    for (percent, at_ms, expected_stops) in cases {
        let mut leader = leader_with_unanswered_start(percent);

        report_run_of(&mut leader, "w0", at_ms, None);

        assert_eq!(stop_order_count(&mut leader), expected_stops, "{percent} percent at {at_ms} ms");
    }
}

/// Guards against the maintenance of a host on which a former worker still runs a task beside the latest one.
#[test]
fn host_is_not_taken_down_while_a_former_worker_of_it_has_tasks() {
    let mut leader = leader_with_two_tasks_at_work();
    let latest = WorkerEntry { id: "w0-latest".into(), started_unix_ms: 2, ..leader.workers["w0"].entry.clone() };
    leader.worker_listed(11_000 * US_PER_MS, latest.clone());
    let mut hosts: Vec<HostRecord> = leader.hosts.values().cloned().collect();
    hosts.iter_mut().filter(|host| &*host.name == "h0").for_each(|host| host.worker = Some(latest.id.clone()));
    leader.hosts_listed(11_000 * US_PER_MS, 11_000 * US_PER_MS, hosts);
    commit(&mut leader, 11_000);
    report_runs(&mut leader, 11_100, 11_050, 40);
    let order = WaveOrder { number: WAVE, hosts: vec!["h0".into()], duration_ms: 30_000, max_down: 1 };
    leader.add_wave(0, order);

    leader.tick(11_200 * US_PER_MS, 0);

    let batch = leader.take_batch(11_200 * US_PER_MS);
    assert!(batch.host_orders.is_empty(), "{:?}", batch.host_orders);
}
