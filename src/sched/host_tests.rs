//! Tests of host moves and maintenance waves, and of workers whose hosts leave.

use std::sync::Arc;

use super::action::Action;
use super::leader_fixtures::host;
use super::model::{
    ActiveRun, HoldAnswer, HostPhase, HostRecord, JobSpec, OrderOutcome, OrderRefusal, PoolConfig, TaskRef, WaveOrder,
};
use super::scheduler::Scheduler;
use super::sim::{catalog, settings, spec, step, worker_entry};
use super::worker::Worker;

const SECOND_US: u64 = 1_000_000;

/// A leader with a worker of kind `a` in its only regular pool, and one spare host each of kind `a` and `b`.
fn leader_with_spare_hosts() -> Scheduler {
    let mut scheduler = Scheduler::new(0, settings());
    let mut config = (*catalog()).clone();
    config.pools.push(PoolConfig { name: "spare".into(), spare: true });
    scheduler.configure(Arc::new(config));
    scheduler.worker_listed(0, worker_entry(0, 1));
    let answer = HoldAnswer {
        clock_ms: 20_000,
        started_unix_ms: None,
        is_complete: true,
        running: Vec::new(),
        ended: Vec::new(),
    };
    scheduler.on_hold_answer(0, 0, &"w0".into(), &answer);
    let host = |name: &str, pool: &str, kind: &str| HostRecord {
        name: name.into(),
        pool: pool.into(),
        phase: HostPhase::Up,
        worker: None,
        capacity: worker_entry(0, 1).capacity,
        zone: "hall-a".into(),
        labels: [kind.into(), "r0".into()].into(),
    };
    scheduler.hosts_listed(0, 0, vec![host("h0", "press", "a"), host("h8", "spare", "a"), host("h9", "spare", "b")]);
    scheduler
}

/// Submits a job whose only task needs a worker with a label.
fn submit_job_with_label(scheduler: &mut Scheduler, now_us: u64, label: &str) {
    let mut labelled = step(1, &[]);
    labelled.required_label = Some(label.into());
    scheduler.submit(now_us, 0, "job".into(), spec(vec![labelled]));
}

#[test]
fn host_with_a_required_label_moves_to_the_pool_that_needs_it() {
    let mut scheduler = leader_with_spare_hosts();
    submit_job_with_label(&mut scheduler, 10 * SECOND_US, "b");

    let moved = confirmed_moves_at(&mut scheduler, 10 * SECOND_US);

    assert_eq!(moved, [("h9".to_owned(), "press".to_owned())]);
}

/// Moves that the leader orders directly after its leadership was confirmed at `now_us`.
fn confirmed_moves_at(scheduler: &mut Scheduler, now_us: u64) -> Vec<(String, String)> {
    commit_batch(scheduler, now_us);
    scheduler.tick(now_us + 200_000, 0);
    assert_eq!(requested_moves(scheduler), [], "a move must be recorded before it is ordered");
    commit_batch(scheduler, now_us + 200_000);
    requested_moves(scheduler)
}

fn commit_batch(scheduler: &mut Scheduler, now_us: u64) {
    let batch = scheduler.take_batch(now_us);
    scheduler.batch_committed(now_us, now_us, &batch);
}

fn requested_moves(scheduler: &mut Scheduler) -> Vec<(String, String)> {
    let moves = scheduler.take_actions().into_iter().filter_map(|action| match action {
        Action::MoveHost { host, pool } => Some((host.to_string(), pool.to_string())),
        _ => None,
    });
    moves.collect()
}

#[test]
fn maintenance_wave_keeps_long_running_task_until_another_worker_can_run_it() {
    for (other_kind, is_stopped) in [("b", false), ("a", true)] {
        let mut scheduler = leader_with_spare_hosts();
        let mut other_worker = worker_entry(1, 1);
        other_worker.labels = [other_kind.into(), other_worker.labels[1].clone()].into();
        scheduler.worker_listed(0, other_worker);
        let answer = HoldAnswer {
            clock_ms: 20_000,
            started_unix_ms: None,
            is_complete: true,
            running: Vec::new(),
            ended: Vec::new(),
        };
        let mut long_step = step(1, &[]);
        long_step.long_running = true;
        long_step.required_label = Some("a".into());
        scheduler.submit(10 * SECOND_US, 0, "long-running".into(), spec(vec![long_step]));
        confirmed_moves_at(&mut scheduler, 10 * SECOND_US);
        scheduler.on_hold_answer(10 * SECOND_US, 10 * SECOND_US, &"w1".into(), &answer);
        let host = scheduler.workers["w0"].entry.host.clone().expect("the worker has a host");

        let hosts = vec![host];
        scheduler.add_wave(0, WaveOrder { number: 1, hosts, duration_ms: 20_000, max_down: 1 });
        let task_ref = TaskRef { job: "long-running".into(), occurrence: 0, step: 0, index: 0 };
        let active_run = ActiveRun { task: task_ref, run: 1, checkpoint: "".into(), percent: 100, load: None };
        let hold_answer = HoldAnswer { running: vec![active_run], ..answer };
        for second in 11..14 {
            confirmed_moves_at(&mut scheduler, second * SECOND_US);
            scheduler.on_hold_answer(second * SECOND_US, second * SECOND_US, &"w0".into(), &hold_answer);
        }

        let stopped = scheduler.jobs["long-running"].tasks().all(|(_, task)| !task.is_fully_running());
        assert_eq!(stopped, is_stopped, "the other worker is of kind {other_kind}");
    }
}

#[test]
fn untracked_run_occupies_capacity() {
    let mut scheduler = leader_with_spare_hosts();
    scheduler.submit(SECOND_US, 0, "job".into(), spec(vec![step(8, &[])]));
    let task_ref = |job: &str| TaskRef { job: job.into(), occurrence: 0, step: 0, index: 0 };
    let running = vec![ActiveRun { task: task_ref("job"), run: 3, checkpoint: "".into(), percent: 10, load: None }];
    let answer = HoldAnswer { clock_ms: 21_000, started_unix_ms: None, is_complete: true, running, ended: Vec::new() };

    scheduler.on_hold_answer(SECOND_US, SECOND_US, &"w0".into(), &answer);
    let free = scheduler.workers["w0"].free_capacity();

    assert_eq!(free.cpu_milli, 14_000);
}

#[test]
fn new_leader_delays_orders_only_for_hosts_in_the_former_leaders_record() {
    let cases = [(Some(vec![]), true), (Some(vec!["h9".into()]), false), (None, false)];
    for (recorded, is_moved) in cases {
        let mut scheduler = leader_with_spare_hosts();
        scheduler.restore_host_orders(recorded.clone());
        submit_job_with_label(&mut scheduler, SECOND_US, "b");

        let soon = confirmed_moves_at(&mut scheduler, 1_500_000);
        let later = confirmed_moves_at(&mut scheduler, 6 * SECOND_US);

        let moved = vec![("h9".to_owned(), "press".to_owned())];
        assert_eq!(soon == moved, is_moved, "recorded {recorded:?}: {soon:?}");
        assert_eq!(later == moved, !is_moved, "recorded {recorded:?}: {later:?}");
    }
}

#[test]
fn host_order_record_keeps_hosts_until_another_leader_may_order_them() {
    let mut scheduler = leader_with_spare_hosts();
    submit_job_with_label(&mut scheduler, SECOND_US, "b");
    commit_batch(&mut scheduler, 10 * SECOND_US);

    scheduler.tick(10 * SECOND_US + 200_000, 0);
    let with_order = scheduler.take_batch(10 * SECOND_US + 200_000);
    let soon = scheduler.take_batch(14 * SECOND_US);
    let later = scheduler.take_batch(17 * SECOND_US);

    assert_eq!(with_order.ordered_hosts, Some(vec!["h9".into()]));
    assert_eq!(soon.ordered_hosts, None, "nothing changed");
    assert_eq!(later.ordered_hosts, Some(Vec::new()));
}

#[test]
fn tasks_are_released_after_the_lease_when_another_worker_answers_at_the_address() {
    let mut scheduler = leader_with_spare_hosts();
    let mut long_step = step(1, &[]);
    long_step.long_running = true;
    scheduler.submit(10 * SECOND_US, 0, "long-running".into(), spec(vec![long_step]));
    confirmed_moves_at(&mut scheduler, 10 * SECOND_US);
    let task_ref = TaskRef { job: "long-running".into(), occurrence: 0, step: 0, index: 0 };
    let active_run = ActiveRun { task: task_ref.clone(), run: 1, checkpoint: "".into(), percent: 100, load: None };
    let hold_answer = HoldAnswer {
        clock_ms: 31_000,
        started_unix_ms: None,
        is_complete: true,
        running: vec![active_run],
        ended: Vec::new(),
    };
    scheduler.on_hold_answer(11 * SECOND_US, 11 * SECOND_US, &"w0".into(), &hold_answer);
    let mut draining = worker_entry(0, 1);
    draining.draining = true;
    scheduler.worker_listed(11 * SECOND_US, draining);

    let refusal = OrderOutcome::Refused(OrderRefusal::WrongWorker);
    for tenth in 110..250_u64 {
        let now_us = tenth * 100_000;
        commit_batch(&mut scheduler, now_us);
        scheduler.on_hold_failure(now_us, &"w0".into(), &refusal);
        scheduler.on_stop_outcome(now_us, &"w0".into(), &task_ref, 1, &refusal);
        scheduler.plan_hold(now_us, &"w0".into());
        scheduler.tick(now_us, 0);
    }

    let task = scheduler.jobs["long-running"].task(&task_ref).expect("the task is known");
    assert_eq!(task.placed_on(), None, "the task waits for another worker: {:?}", task.state);
}

#[test]
fn unreachable_worker_gets_no_tasks_and_no_lease_extension() {
    let mut worker = Worker::new(0, worker_entry(1, 0));
    worker.is_synced = true;
    worker.record_clock(0, 50_000);
    worker.last_answer_us = 0;
    assert!(worker.accepts_new_tasks(SECOND_US) && worker.can_receive_start(SECOND_US));

    worker.is_silent = true;

    assert!(!worker.accepts_new_tasks(SECOND_US), "the latest hold request failed");
    assert!(!worker.can_receive_start(SECOND_US), "a start order would extend the lease");
}

#[test]
fn host_order_that_an_outage_delayed_is_dropped_and_decided_anew() {
    let mut scheduler = leader_with_spare_hosts();
    submit_job_with_label(&mut scheduler, SECOND_US, "b");
    commit_batch(&mut scheduler, 10 * SECOND_US);
    scheduler.tick(10 * SECOND_US + 200_000, 0);
    let delayed = scheduler.take_batch(10 * SECOND_US + 200_000);

    scheduler.batch_committed(14 * SECOND_US, 14 * SECOND_US, &delayed);
    let sent = requested_moves(&mut scheduler);
    let decided_anew = confirmed_moves_at(&mut scheduler, 15 * SECOND_US);

    assert_eq!(delayed.host_orders.len(), 1);
    assert_eq!(sent, []);
    assert_eq!(decided_anew, [("h9".to_owned(), "press".to_owned())]);
}

#[test]
fn hosts_with_long_running_tasks_drain_while_others_are_down_but_no_more_than_allowed_are_down() {
    let mut scheduler = Scheduler::new(0, settings());
    scheduler.configure(catalog());
    let host = |number: usize, pool: &str| HostRecord {
        name: format!("h{number}").into(),
        pool: pool.into(),
        phase: HostPhase::Up,
        worker: Some(format!("w{number}").into()),
        capacity: worker_entry(number, 1).capacity,
        zone: "hall-a".into(),
        labels: worker_entry(number, 1).labels,
    };
    let answer = HoldAnswer {
        clock_ms: 20_000,
        started_unix_ms: None,
        is_complete: true,
        running: Vec::new(),
        ended: Vec::new(),
    };
    for number in 0..4 {
        scheduler.worker_listed(0, worker_entry(number, 1));
        scheduler.on_hold_answer(10 * SECOND_US, 10 * SECOND_US, &format!("w{number}").into(), &answer);
    }
    scheduler.hosts_listed(10 * SECOND_US, 10 * SECOND_US, (0..4).map(|number| host(number, "press")).collect());
    let mut long_step = step(2, &[]);
    long_step.long_running = true;
    long_step.max_per_worker = Some(1);
    scheduler.submit(10 * SECOND_US, 0, "long-running".into(), spec(vec![long_step]));
    confirmed_moves_at(&mut scheduler, 10 * SECOND_US);
    let loaded: Vec<Arc<str>> =
        scheduler.workers.values().filter(|worker| !worker.tasks.is_empty()).map(host_of).collect();

    let hosts = (0..4).map(|number| format!("h{number}").into()).collect();
    scheduler.add_wave(0, WaveOrder { number: 1, hosts, duration_ms: 20_000, max_down: 2 });
    commit_batch(&mut scheduler, 11 * SECOND_US);
    scheduler.tick(11 * SECOND_US + 200_000, 0);
    commit_batch(&mut scheduler, 11 * SECOND_US + 200_000);

    let is_cordoned =
        |host: &Arc<str>| scheduler.workers.values().any(|worker| worker.is_cordoned && host_of(worker) == *host);
    assert_eq!(loaded.len(), 2);
    assert!(loaded.iter().all(is_cordoned), "both are drained");
    assert_eq!(requested_maintenance(&mut scheduler), 2, "the hosts without tasks go down");

    for worker in scheduler.workers.values_mut() {
        worker.tasks.clear();
    }
    scheduler.tick(11 * SECOND_US + 400_000, 0);
    commit_batch(&mut scheduler, 11 * SECOND_US + 400_000);

    assert_eq!(requested_maintenance(&mut scheduler), 0, "the drained hosts wait until the first two are up again");
}

/// Takes the requested actions, and counts the orders to maintain a host among them.
fn requested_maintenance(scheduler: &mut Scheduler) -> usize {
    let actions = scheduler.take_actions().into_iter();
    actions.filter(|action| matches!(action, Action::MaintainHost { .. })).count()
}

#[test]
fn wave_without_a_practical_limit_takes_its_hosts_down() {
    let mut scheduler = leader_with_spare_hosts();
    let hosts = vec!["h0".into()];
    scheduler.add_wave(0, WaveOrder { number: 1, hosts, duration_ms: 20_000, max_down: u32::MAX });

    commit_batch(&mut scheduler, 10 * SECOND_US);
    scheduler.tick(10 * SECOND_US + 200_000, 0);
    commit_batch(&mut scheduler, 10 * SECOND_US + 200_000);

    assert_eq!(requested_maintenance(&mut scheduler), 1);
}

fn host_of(worker: &Worker) -> Arc<str> {
    worker.entry.host.clone().expect("the worker has a host")
}

#[test]
fn pool_without_a_worker_gets_a_host_of_a_pool_that_expects_more_load_than_it_has_hosts() {
    let mut scheduler = Scheduler::new(0, settings());
    let mut config = (*catalog()).clone();
    config.pools.push(PoolConfig { name: "sheets".into(), spare: false });
    let mut sheets = (*config.queues[0]).clone();
    (sheets.name, sheets.pool) = ("sheets".into(), "sheets".into());
    let sheets = Arc::new(sheets);
    config.queues.push(sheets.clone());
    scheduler.configure(Arc::new(config));
    let answer = HoldAnswer {
        clock_ms: 20_000,
        started_unix_ms: None,
        is_complete: true,
        running: Vec::new(),
        ended: Vec::new(),
    };
    let mut hosts = Vec::new();
    for number in 0..2 {
        let entry = worker_entry(number, 1);
        hosts.push(host(&entry, true));
        scheduler.worker_listed(0, entry.clone());
        scheduler.on_hold_answer(10 * SECOND_US, 10 * SECOND_US, &entry.id, &answer);
    }
    scheduler.hosts_listed(10 * SECOND_US, 10 * SECOND_US, hosts);
    for number in 0..20 {
        scheduler.submit(10 * SECOND_US, 0, format!("job-{number}").into(), spec(vec![step(8, &[])]));
    }
    let mut long_step = step(1, &[]);
    long_step.long_running = true;
    scheduler.submit(10 * SECOND_US, 0, "long-running".into(), JobSpec { queue: sheets, ..spec(vec![long_step]) });
    confirmed_moves_at(&mut scheduler, 10 * SECOND_US);

    let drained = scheduler.workers.values().filter(|worker| worker.is_cordoned).count();

    assert_eq!(drained, 1, "one busy host is drained for the pool without a worker");
}
