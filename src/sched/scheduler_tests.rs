//! Jobs on workers that fail, played in virtual time.

use std::sync::Arc;

use super::job::{DeadlineForecast, Job};
use super::model::{JobPhase, Step};
use super::sim::{catalog, settings, spec, step, worker_entry, Faults, Sim};
use super::worker::Worker;

const SECOND_US: u64 = 1_000_000;

fn phase(sim: &Sim, job: &str) -> Option<JobPhase> {
    sim.scheduler.jobs.get(job).map(|job| job.phase)
}

fn two_steps() -> Vec<Step> {
    vec![step(4, &[]), step(3, &[0])]
}

/// Submits jobs while faults strike, then lets everything end.
fn play_with(seed: u64, faults: Faults) -> Sim {
    let mut sim = Sim::new(seed, 6, faults);
    for number in 0..12 {
        let id = sim.submit(&format!("job-{number:02}"), spec(two_steps()));
        sim.play(700);
        if number % 5 == 4 {
            sim.cancel(&id);
        }
    }
    sim.settle(60_000);
    sim
}

fn assert_kept(seed: u64, faults: Faults) {
    let sim = play_with(seed, faults);

    assert_eq!(sim.broken, [], "seed {seed}, {faults:?}");
    for id in sim.specs.keys() {
        let phase = phase(&sim, id);
        assert!(phase.is_some_and(JobPhase::is_final), "seed {seed}, {faults:?}: {id} is {phase:?}");
        let has_cause = phase != Some(JobPhase::Failed) || sim.has_cause_to_fail(id);
        assert!(has_cause, "seed {seed}, {faults:?}: {id} failed without cause");
    }
}

#[test]
fn a_job_runs_its_steps_in_order() {
    let mut sim = Sim::new(1, 4, Faults::default());

    sim.submit("job", spec(two_steps()));
    sim.play(3_000);

    assert_eq!(phase(&sim, "job"), Some(JobPhase::Completed));
    assert_eq!((sim.starts, sim.broken.len()), (7, 0));
}

#[test]
fn single_faults_break_no_rule() {
    let cases = [
        Faults { answer_lost: 0.3, ..Faults::default() },
        Faults { applied_late: 0.3, ..Faults::default() },
        Faults { order_lost: 0.3, ..Faults::default() },
        Faults { run_fails: 0.2, ..Faults::default() },
        Faults { crashes_per_s: 0.5, ..Faults::default() },
        Faults { cuts_per_s: 0.5, ..Faults::default() },
        Faults { takeovers_per_s: 0.3, ..Faults::default() },
        Faults { commit_lost: 0.3, ..Faults::default() },
        Faults { commit_late_ms: 200, takeovers_per_s: 0.6, ..Faults::default() },
        Faults { commit_late_ms: 200, takeovers_per_s: 0.6, run_fails: 0.3, ..Faults::default() },
    ];

    for faults in cases {
        for seed in 0..16 {
            assert_kept(seed, faults);
        }
    }
}

#[test]
fn faults_together_break_no_rule() {
    let faults = Faults {
        answer_lost: 0.08,
        applied_late: 0.08,
        order_lost: 0.05,
        run_fails: 0.05,
        crashes_per_s: 0.1,
        cuts_per_s: 0.2,
        takeovers_per_s: 0.15,
        commit_lost: 0.1,
        commit_late_ms: 20,
    };

    for seed in 100..400 {
        assert_kept(seed, faults);
    }
}

#[test]
fn a_dark_worker_loses_its_work_when_its_lease_is_over() {
    let mut sim = Sim::new(1, 2, Faults::default());
    let mut lasting = step(2, &[]);
    lasting.long_running = true;
    lasting.max_per_worker = Some(2);
    sim.submit("job", spec(vec![lasting]));
    sim.play(1_000);
    let dark: Vec<usize> = (0..2).filter(|number| has_work(&sim, *number)).collect();

    sim.cut(dark[0], 60_000);
    sim.play(9_000);

    assert!(!has_work(&sim, dark[0]), "its work is elsewhere");
    assert!(has_work(&sim, 1 - dark[0]));
    assert_eq!(sim.broken, []);
}

fn has_work(sim: &Sim, number: usize) -> bool {
    let id: Arc<str> = format!("w{number}").into();
    sim.scheduler.workers.get(&id).is_some_and(|worker| !worker.tasks.is_empty())
}

#[test]
fn a_new_leader_goes_on_where_the_last_one_ended() {
    let mut sim = Sim::new(1, 4, Faults::default());
    sim.submit("job", spec(two_steps()));
    sim.play(300);

    sim.end_leader(1_000);
    sim.play(5_000);

    assert_eq!(phase(&sim, "job"), Some(JobPhase::Completed));
    assert_eq!((sim.starts, sim.broken.len()), (7, 0), "nothing ran again");
}

#[test]
fn no_order_about_hosts_without_confirmed_leadership() {
    let mut scheduler = super::scheduler::Scheduler::new(SECOND_US, settings());
    scheduler.configure(catalog());
    let host = super::model::HostRecord {
        name: "h1".into(),
        pool: "press".into(),
        phase: super::model::HostPhase::Up,
        worker: None,
        capacity: super::model::Resources::default(),
        zone: "hall-a".into(),
        labels: Vec::new(),
    };
    scheduler.hosts_listed(SECOND_US, vec![host]);
    let written = |scheduler: &mut super::scheduler::Scheduler, now_us| {
        let batch = scheduler.take_batch(now_us);
        scheduler.batch_written(now_us, now_us, &batch);
    };

    assert!(!scheduler.is_lately_confirmed(SECOND_US + 100_000), "a former leader's orders may be under way");
    written(&mut scheduler, 3 * SECOND_US);
    assert!(scheduler.is_lately_confirmed(3 * SECOND_US + 500_000));
    assert!(!scheduler.is_lately_confirmed(5 * SECOND_US), "the store has not confirmed for two seconds");
}

#[test]
fn a_lease_is_over_only_when_a_slow_clock_says_so() {
    let mut worker = Worker::new(0, worker_entry(1, 0));
    worker.record_clock(SECOND_US, 50_000);
    worker.lease_end_ms = worker.lease_end_for(SECOND_US + 4 * SECOND_US).expect("its clock is known");

    assert_eq!(worker.lease_end_ms, 54_000);
    assert!(!worker.lease_certainly_expired(5 * SECOND_US + 50_000), "its clock may be 2% slow");
    assert!(worker.lease_certainly_expired(5 * SECOND_US + 100_000));
}

#[test]
fn a_job_that_cannot_be_in_time_claims_no_hosts() {
    let mut job = Job::new("job".into(), Arc::new(spec(two_steps())));
    job.begin_occurrence(0);
    job.set_deadline(0, 2.0, 1_000);

    // Two steps of 500 ms, twice their time and a second more.
    assert_eq!(job.deadline_forecast(0), DeadlineForecast::OnTime { latest_start_us: 2 * SECOND_US });
    assert_eq!(job.deadline_forecast(3 * SECOND_US), DeadlineForecast::Late { latest_start_us: 8 * SECOND_US });
    assert_eq!(job.deadline_forecast(9 * SECOND_US), DeadlineForecast::Expired { deadline_us: 3 * SECOND_US });
    assert!(!job.deadline_forecast(3 * SECOND_US).claims_hosts());
}

#[test]
fn arrivals_call_for_hosts_before_work_waits() {
    let mut duties = super::duties::Duties::new(0, 3_000);
    let mut job = Job::new("job".into(), Arc::new(spec(two_steps())));
    job.begin_occurrence(0);

    for number in 0..6 {
        duties.note_arrival(SECOND_US + number * 100_000, &"press".into(), &job);
    }

    // Seven work items of 2 cores and 0.5 s each, ten jobs a second.
    assert_eq!(duties.arriving_work(SECOND_US + 550_000, "press"), 70_000);
    assert_eq!(duties.arriving_work(9 * SECOND_US, "press"), 0);
}

#[test]
fn a_failed_work_item_starts_again_although_nothing_else_happens() {
    let mut sim = Sim::new(3, 1, Faults { run_fails: 1.0, ..Faults::default() });
    sim.submit("job", spec(vec![step(1, &[])]));

    sim.play(4_000);

    assert_eq!((phase(&sim, "job"), sim.starts), (Some(JobPhase::Failed), 3));
}

/// Submits small jobs at such a rate that no worker is ever free of them.
fn play_crowded(sim: &mut Sim, rounds: u32) {
    for _ in 0..rounds {
        let id = format!("small-{:04}", sim.specs.len());
        sim.submit(&id, spec(vec![step(3, &[])]));
        sim.play(25);
    }
}

#[test]
fn work_that_lasts_gets_room_on_workers_that_are_never_empty() {
    let mut sim = Sim::new(1, 2, Faults::default());
    play_crowded(&mut sim, 80);
    let mut lasting = step(1, &[]);
    lasting.long_running = true;
    lasting.needs.cpu_milli = 13_000;
    lasting.required_label = Some("r0".into());
    sim.submit("lasting", spec(vec![lasting]));

    play_crowded(&mut sim, 120);

    assert_eq!(phase(&sim, "lasting"), Some(JobPhase::Running));
    assert_eq!(sim.broken, []);
}

#[test]
fn jobs_for_which_no_worker_has_the_label_hold_up_no_others() {
    let mut sim = Sim::new(1, 2, Faults::default());
    let mut labelled = step(1, &[]);
    labelled.required_label = Some("b".into());
    for number in 0..60 {
        sim.submit(&format!("labelled-{number:02}"), spec(vec![labelled.clone()]));
    }
    sim.submit("plain", spec(vec![step(1, &[])]));

    sim.play(2_000);

    assert_eq!(phase(&sim, "plain"), Some(JobPhase::Completed));
}

/// A leader whose one pool has a worker of kind `a`, with one spare host of kind `a` and one of kind `b`.
fn leader_with_spare_hosts() -> super::scheduler::Scheduler {
    let mut scheduler = super::scheduler::Scheduler::new(0, settings());
    let mut rules = (*catalog()).clone();
    rules.pools.push(super::model::PoolConfig { name: "spare".into(), spare: true });
    scheduler.configure(Arc::new(rules));
    scheduler.worker_listed(0, worker_entry(0, 1));
    let answer =
        super::model::HoldAnswer { clock_ms: 20_000, started_unix_ms: None, running: Vec::new(), ended: Vec::new() };
    scheduler.worker_answered(0, 0, &"w0".into(), &answer);
    let host = |name: &str, pool: &str, kind: &str| super::model::HostRecord {
        name: name.into(),
        pool: pool.into(),
        phase: super::model::HostPhase::Up,
        worker: None,
        capacity: worker_entry(0, 1).capacity,
        zone: "hall-a".into(),
        labels: vec![kind.into(), "r0".into()],
    };
    scheduler.hosts_listed(0, vec![host("h0", "press", "a"), host("h8", "spare", "a"), host("h9", "spare", "b")]);
    scheduler
}

#[test]
fn a_host_with_the_label_comes_to_the_pool_whose_work_needs_it() {
    let mut scheduler = leader_with_spare_hosts();
    let mut labelled = step(1, &[]);
    labelled.required_label = Some("b".into());
    scheduler.submit(10 * SECOND_US, 0, "job".into(), spec(vec![labelled]));

    let moved = moves_at(&mut scheduler, 10 * SECOND_US);

    assert_eq!(moved, [("h9".to_owned(), "press".to_owned())]);
}

/// Moves that a leader orders whose leadership has just been confirmed.
fn moves_at(scheduler: &mut super::scheduler::Scheduler, now_us: u64) -> Vec<(String, String)> {
    write_batch(scheduler, now_us);
    scheduler.tick(now_us + 200_000, 0);
    assert_eq!(moves_asked_for(scheduler), [], "a move is recorded first");
    write_batch(scheduler, now_us + 200_000);
    moves_asked_for(scheduler)
}

fn write_batch(scheduler: &mut super::scheduler::Scheduler, now_us: u64) {
    let batch = scheduler.take_batch(now_us);
    scheduler.batch_written(now_us, now_us, &batch);
}

fn moves_asked_for(scheduler: &mut super::scheduler::Scheduler) -> Vec<(String, String)> {
    let moves = scheduler.take_actions().into_iter().filter_map(|action| match action {
        super::action::Action::MoveHost { host, pool } => Some((host.to_string(), pool.to_string())),
        _ => None,
    });
    moves.collect()
}

#[test]
fn work_that_lasts_stays_on_a_host_of_a_wave_until_another_worker_could_run_it() {
    for (other_kind, is_stopped) in [("b", false), ("a", true)] {
        let mut scheduler = leader_with_spare_hosts();
        let mut other = worker_entry(1, 1);
        other.labels[0] = other_kind.into();
        scheduler.worker_listed(0, other);
        let answer = super::model::HoldAnswer {
            clock_ms: 20_000,
            started_unix_ms: None,
            running: Vec::new(),
            ended: Vec::new(),
        };
        let mut lasting = step(1, &[]);
        lasting.long_running = true;
        lasting.required_label = Some("a".into());
        scheduler.submit(10 * SECOND_US, 0, "lasting".into(), spec(vec![lasting]));
        moves_at(&mut scheduler, 10 * SECOND_US);
        scheduler.worker_answered(10 * SECOND_US, 10 * SECOND_US, &"w1".into(), &answer);
        let host = scheduler.workers["w0"].entry.host.clone().expect("it has a host");

        let hosts = vec![host];
        scheduler.wave_ordered(super::model::WaveOrder { number: 1, hosts, duration_ms: 20_000, max_down: 1 });
        let at = super::model::TaskRef { job: "lasting".into(), occurrence: 0, step: 0, index: 0 };
        let row = super::model::ActiveRun { task: at, run: 1, checkpoint: "".into(), percent: 100, load: None };
        let runs = super::model::HoldAnswer { running: vec![row], ..answer };
        for second in 11..14 {
            moves_at(&mut scheduler, second * SECOND_US);
            scheduler.worker_answered(second * SECOND_US, second * SECOND_US, &"w0".into(), &runs);
        }

        let stopped = scheduler.jobs["lasting"].tasks().all(|(_, task)| !task.is_fully_running());
        assert_eq!(stopped, is_stopped, "the other worker is of kind {other_kind}");
    }
}

#[test]
fn a_run_that_is_not_ours_holds_its_room_until_it_has_ended() {
    let mut scheduler = leader_with_spare_hosts();
    scheduler.submit(SECOND_US, 0, "job".into(), spec(vec![step(8, &[])]));
    let at = |job: &str| super::model::TaskRef { job: job.into(), occurrence: 0, step: 0, index: 0 };
    let running =
        vec![super::model::ActiveRun { task: at("job"), run: 3, checkpoint: "".into(), percent: 10, load: None }];
    let answer = super::model::HoldAnswer { clock_ms: 21_000, started_unix_ms: None, running, ended: Vec::new() };

    scheduler.worker_answered(SECOND_US, SECOND_US, &"w0".into(), &answer);
    let room = scheduler.workers["w0"].free_capacity();

    assert_eq!(room.cpu_milli, 14_000);
}

#[test]
fn a_new_leader_leaves_alone_only_the_hosts_that_its_predecessor_may_have_ordered() {
    let cases = [(Some(vec![]), true), (Some(vec!["h9".into()]), false), (None, false)];
    for (recorded, is_moved) in cases {
        let mut scheduler = leader_with_spare_hosts();
        let mut labelled = step(1, &[]);
        labelled.required_label = Some("b".into());
        scheduler.restore_host_orders(recorded.clone());
        scheduler.submit(SECOND_US, 0, "job".into(), spec(vec![labelled]));

        let soon = moves_at(&mut scheduler, 1_500_000);
        let later = moves_at(&mut scheduler, 6 * SECOND_US);

        let moved = vec![("h9".to_owned(), "press".to_owned())];
        assert_eq!(soon == moved, is_moved, "recorded {recorded:?}: {soon:?}");
        assert_eq!(later == moved, !is_moved, "recorded {recorded:?}: {later:?}");
    }
}

#[test]
fn the_record_names_each_host_for_as_long_as_another_leader_must_not_order_it() {
    let mut scheduler = leader_with_spare_hosts();
    let mut labelled = step(1, &[]);
    labelled.required_label = Some("b".into());
    scheduler.submit(SECOND_US, 0, "job".into(), spec(vec![labelled]));
    write_batch(&mut scheduler, 10 * SECOND_US);

    scheduler.tick(10 * SECOND_US + 200_000, 0);
    let with_order = scheduler.take_batch(10 * SECOND_US + 200_000);
    let soon = scheduler.take_batch(14 * SECOND_US);
    let later = scheduler.take_batch(17 * SECOND_US);

    assert_eq!(with_order.ordered_hosts, Some(vec!["h9".into()]));
    assert_eq!(soon.ordered_hosts, None, "nothing changed");
    assert_eq!(later.ordered_hosts, Some(Vec::new()));
}

#[test]
fn a_worker_at_whose_address_another_one_answers_loses_its_work_when_its_lease_is_over() {
    let mut scheduler = leader_with_spare_hosts();
    let mut lasting = step(1, &[]);
    lasting.long_running = true;
    scheduler.submit(10 * SECOND_US, 0, "lasting".into(), spec(vec![lasting]));
    moves_at(&mut scheduler, 10 * SECOND_US);
    let at = super::model::TaskRef { job: "lasting".into(), occurrence: 0, step: 0, index: 0 };
    let row = super::model::ActiveRun { task: at.clone(), run: 1, checkpoint: "".into(), percent: 100, load: None };
    let runs =
        super::model::HoldAnswer { clock_ms: 31_000, started_unix_ms: None, running: vec![row], ended: Vec::new() };
    scheduler.worker_answered(11 * SECOND_US, 11 * SECOND_US, &"w0".into(), &runs);
    let mut draining = worker_entry(0, 1);
    draining.draining = true;
    scheduler.worker_listed(11 * SECOND_US, draining);

    let other = super::model::OrderOutcome::Refused(super::model::OrderRefusal::WrongWorker);
    for tenth in 110..250_u64 {
        let now_us = tenth * 100_000;
        write_batch(&mut scheduler, now_us);
        scheduler.worker_silent(now_us, &"w0".into(), &other);
        scheduler.stop_ended(now_us, &"w0".into(), &at, 1, &other);
        scheduler.plan_hold(now_us, &"w0".into());
        scheduler.tick(now_us, 0);
    }

    let task = scheduler.jobs["lasting"].task(&at).expect("it is known");
    assert_eq!(task.placed_on(), None, "it waits for another worker: {:?}", task.state);
}

#[test]
fn a_worker_that_does_not_answer_gets_no_work_and_no_longer_lease() {
    let mut worker = Worker::new(0, worker_entry(1, 0));
    worker.is_synced = true;
    worker.record_clock(0, 50_000);
    worker.last_answer_us = 0;
    assert!(worker.accepts_new_tasks(SECOND_US) && worker.can_receive_start(SECOND_US));

    worker.is_silent = true;

    assert!(!worker.accepts_new_tasks(SECOND_US), "its look failed");
    assert!(!worker.can_receive_start(SECOND_US), "an order to start would make its lease longer");
}
