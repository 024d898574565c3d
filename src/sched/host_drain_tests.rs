//! Tests of single decisions of a leader that drains hosts for planned work, driven without the simulation.

use std::sync::Arc;

use super::action::{Action, HoldPlan};
use super::job::{RunPhase, TaskState};
use super::leader_fixtures::host;
use super::model::{ActiveRun, HoldAnswer, Step, TaskRef, WaveOrder};
use super::planned_work_tests::{budgeted_step, WAVE};
use super::scheduler::Scheduler;
use super::sim::{catalog, settings, spec, step, worker_entry};
use crate::clock::US_PER_MS;

/// A leader with four workers on four hosts, and a long-running step with one task at work on each of two workers. One
/// of the tasks may be unavailable.
pub(super) fn leader_with_two_tasks_at_work() -> Scheduler {
    let mut scheduler = Scheduler::new(0, settings());
    scheduler.configure(catalog());
    let mut hosts = Vec::new();
    for number in 0..4 {
        let entry = worker_entry(number, 1);
        hosts.push(host(&entry, true));
        scheduler.worker_listed(0, entry);
    }
    report_runs(&mut scheduler, 10_000, 10_000, 100);
    scheduler.hosts_listed(10_000 * US_PER_MS, 10_000 * US_PER_MS, hosts);
    let long_step = Step { count: 2, ..budgeted_step(2_000) };
    scheduler.submit(10_000 * US_PER_MS, 0, "long-running".into(), spec(vec![long_step]));
    commit(&mut scheduler, 10_000);
    scheduler.tick(10_200 * US_PER_MS, 0);
    commit(&mut scheduler, 10_200);
    report_runs(&mut scheduler, 10_300, 10_300, 100);
    scheduler
}

pub(super) fn commit(scheduler: &mut Scheduler, now_ms: u64) {
    let batch = scheduler.take_batch(now_ms * US_PER_MS);
    scheduler.batch_committed(now_ms * US_PER_MS, now_ms * US_PER_MS, &batch);
}

/// Lets each worker answer a hold request: all runs placed on it are active at this progress.
pub(super) fn report_runs(scheduler: &mut Scheduler, now_ms: u64, sent_ms: u64, percent: u32) {
    let ids: Vec<Arc<str>> = scheduler.workers.keys().cloned().collect();
    for id in ids {
        let tasks = scheduler.workers[&id].tasks.clone();
        let running = tasks.into_iter().map(|task| {
            let run = scheduler.jobs[&task.job].task(&task).map_or(0, |known| known.run);
            ActiveRun { task, run, checkpoint: "".into(), percent, load: None }
        });
        let running = running.collect();
        let answer =
            HoldAnswer { clock_ms: sent_ms, started_unix_ms: None, is_complete: true, running, ended: Vec::new() };
        scheduler.on_hold_answer(now_ms * US_PER_MS, sent_ms * US_PER_MS, &id, &answer);
    }
}

/// Orders a wave of all hosts, of which one may be down.
fn add_wave(scheduler: &mut Scheduler) {
    let hosts = (0..4).map(|number| format!("h{number}").into()).collect();
    scheduler.add_wave(0, WaveOrder { number: WAVE, hosts, duration_ms: 30_000, max_down: 1 });
}

pub(super) fn stop_order_count(scheduler: &mut Scheduler) -> usize {
    let actions = scheduler.take_actions().into_iter();
    actions.filter(|action| matches!(action, Action::Stop { .. })).count()
}

#[test]
fn a_task_leaves_its_host_only_on_reports_requested_lately_and_after_the_latest_gap() {
    let cases = [
        ("lately", [11_000, 12_000, 13_000, 14_000], 14_050, 1),
        ("before a delay", [11_000, 12_000, 13_000, 14_000], 10_500, 0),
        ("after the gap", [11_000, 11_500, 12_000, 14_000], 14_050, 1),
        ("during the gap", [11_000, 11_500, 12_000, 14_000], 13_900, 0),
    ];
    for (requested, commits_ms, sent_ms, expected_stops) in cases {
        let mut scheduler = leader_with_two_tasks_at_work();
        for commit_ms in commits_ms {
            commit(&mut scheduler, commit_ms);
        }
        report_runs(&mut scheduler, 14_100, sent_ms, 100);
        add_wave(&mut scheduler);

        scheduler.tick(14_200 * US_PER_MS, 0);

        assert_eq!(stop_order_count(&mut scheduler), expected_stops, "reports requested {requested}");
    }
}

#[test]
fn a_run_whose_start_order_got_no_answer_is_stopped_within_its_steps_budget_only() {
    for (percent, expected_stops) in [(100, 1), (40, 0)] {
        let mut scheduler = leader_with_two_tasks_at_work();
        commit(&mut scheduler, 11_000);
        report_runs(&mut scheduler, 11_100, 11_050, percent);
        let long_running = scheduler.jobs.get_mut("long-running").expect("the job is known");
        let occurrence = long_running.occurrences.get_mut(&0).expect("it has begun");
        for task in &mut occurrence.steps[0].tasks {
            let TaskState::Placed { phase, worker } = &mut task.state else { continue };
            if &*worker.id == "w0" {
                *phase = RunPhase::Unanswered { since_us: 11_100 * US_PER_MS };
            }
        }
        let hosts = vec!["h0".into()];
        scheduler.add_wave(0, WaveOrder { number: WAVE, hosts, duration_ms: 30_000, max_down: 1 });

        scheduler.tick(11_200 * US_PER_MS, 0);

        assert_eq!(stop_order_count(&mut scheduler), expected_stops, "the other task is at {percent} percent");
    }
}

#[test]
fn a_worker_registered_again_gets_no_tasks_while_its_host_is_taken_down() {
    let mut scheduler = leader_with_two_tasks_at_work();
    add_wave(&mut scheduler);
    commit(&mut scheduler, 11_000);
    scheduler.tick(11_200 * US_PER_MS, 0);
    let mut cordoned = scheduler.workers.values().filter(|worker| worker.is_cordoned && worker.tasks.is_empty());
    let entry = cordoned.next().map(|worker| worker.entry.clone()).expect("a host without tasks is taken down");

    scheduler.worker_unlisted(11_300 * US_PER_MS, &entry.id);
    let plan = scheduler.plan_hold(11_300 * US_PER_MS, &entry.id);
    scheduler.worker_listed(11_400 * US_PER_MS, entry.clone());

    assert_eq!(plan, HoldPlan::Close);
    assert!(scheduler.workers[&entry.id].is_cordoned);
}

#[test]
fn host_order_decided_while_the_store_answered_nothing_is_dropped() {
    let mut scheduler = leader_with_two_tasks_at_work();
    add_wave(&mut scheduler);
    commit(&mut scheduler, 11_000);
    let in_flight = scheduler.take_batch(11_100 * US_PER_MS);
    scheduler.tick(11_200 * US_PER_MS, 0);

    scheduler.batch_committed(15_000 * US_PER_MS, 15_000 * US_PER_MS, &in_flight);
    let delayed = scheduler.take_batch(15_000 * US_PER_MS);
    scheduler.batch_committed(15_050 * US_PER_MS, 15_050 * US_PER_MS, &delayed);

    assert_eq!(delayed.host_orders.len(), 1);
    let actions = scheduler.take_actions().into_iter();
    assert_eq!(actions.filter(|action| matches!(action, Action::MaintainHost { .. })).count(), 0);
}

#[test]
fn host_order_is_dropped_if_a_task_may_run_on_the_host_by_then() {
    let mut scheduler = leader_with_two_tasks_at_work();
    add_wave(&mut scheduler);
    commit(&mut scheduler, 11_000);
    scheduler.tick(11_200 * US_PER_MS, 0);
    let ordered = scheduler.take_batch(11_200 * US_PER_MS);
    let task = TaskRef { job: "long-running".into(), occurrence: 0, step: 0, index: 0 };
    for worker in scheduler.workers.values_mut() {
        worker.attach(task.clone(), &budgeted_step(2_000));
    }

    scheduler.batch_committed(11_250 * US_PER_MS, 11_250 * US_PER_MS, &ordered);

    assert_eq!(ordered.host_orders.len(), 1);
    let actions = scheduler.take_actions().into_iter();
    assert_eq!(actions.filter(|action| matches!(action, Action::MaintainHost { .. })).count(), 0);
}

/// For how long the worker of a budgeted task may wait before it reports again, `age_ms` after the task's start at a progress.
fn report_wait_ms(age_ms: u64, percent: u32) -> u64 {
    let mut scheduler = leader_with_two_tasks_at_work();
    for at_ms in (10_400..=10_300 + age_ms).step_by(100) {
        report_runs(&mut scheduler, at_ms, at_ms, percent);
    }
    let id =
        scheduler.workers.values().find(|worker| worker.long_running_count > 0).map(|worker| worker.entry.id.clone());
    match scheduler.plan_hold((10_300 + age_ms + 100) * US_PER_MS, &id.expect("a worker with a task")) {
        HoldPlan::Send { wait_ms, .. } => wait_ms,
        plan => panic!("{plan:?}"),
    }
}

// Guards against waves that wait for a report although the task is at work, and against frequent reports for ever.
#[test]
fn worker_reports_soon_while_a_budgeted_task_starts() {
    assert!(report_wait_ms(500, 40) <= 250);
    assert!(report_wait_ms(500, 100) >= 1_000, "at work");
    assert!(report_wait_ms(6_000, 40) >= 1_000, "it does not get further");
}

// Guards against a task at work that is moved to a host which the wave must drain again.
#[test]
fn drain_of_a_host_is_not_ended_for_a_task_that_is_still_at_work() {
    let mut scheduler = leader_with_two_tasks_at_work();
    // Two tasks that fit only on the two hosts without a long-running one.
    let mut wide = step(2, &[]);
    wide.needs.cpu_milli = 15_000;
    scheduler.submit(10_400 * US_PER_MS, 0, "wide".into(), spec(vec![wide]));
    scheduler.tick(10_500 * US_PER_MS, 0);
    commit(&mut scheduler, 10_500);
    report_runs(&mut scheduler, 10_600, 10_600, 100);
    let hosts = (0..4).map(|number| format!("h{number}").into()).collect();
    scheduler.add_wave(0, WaveOrder { number: WAVE, hosts, duration_ms: 30_000, max_down: 2 });

    for at_ms in (11_000..12_500).step_by(100) {
        scheduler.tick(at_ms * US_PER_MS, 0);
        commit(&mut scheduler, at_ms);
        report_runs(&mut scheduler, at_ms, at_ms, 100);
    }

    assert!(scheduler.workers.values().all(|worker| worker.is_cordoned && !worker.tasks.is_empty()));
}
