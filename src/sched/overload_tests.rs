//! Tests that play heavy loads and check what callers get, and how the leader behaves when it is behind.

use std::collections::BTreeMap;
use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::action::HoldPlan;
use super::leader_fixtures::{
    add_hosts, answer_holds, entry_in, host, leader_with_workers, long_step, run, JOB, SECOND_US,
};
use super::model::{JobId, JobPhase, JobSpec, PoolConfig, Queue, Step};
use super::scheduler::Scheduler;
use super::sim::{catalog, spec, step, Faults, Sim};
use super::work_counts::Work;

const HOSTS: usize = 12;
const PLAY_MS: u64 = 24_000;
const STEP_MS: u64 = 20;

/// A second queue whose jobs run in a pool of their own.
fn sheets_queue() -> Arc<Queue> {
    Arc::new(Queue { name: "sheets".into(), pool: "sheets".into(), ..(*catalog().queues[0]).clone() })
}

/// Jobs that were submitted, and when each was complete.
#[derive(Debug, Default)]
struct Completions {
    submitted_us: BTreeMap<JobId, u64>,
    completed_us: BTreeMap<JobId, u64>,
}

impl Completions {
    fn submit(&mut self, sim: &mut Sim, id: String, job: JobSpec) {
        let id = sim.submit(&id, job);
        self.submitted_us.insert(id, sim.now_us);
    }

    fn update(&mut self, sim: &Sim) {
        for id in self.submitted_us.keys() {
            if sim.scheduler.jobs.get(id).is_some_and(|job| job.phase == JobPhase::Completed) {
                self.completed_us.entry(id.clone()).or_insert(sim.now_us);
            }
        }
    }

    /// Share of the jobs whose IDs have this prefix that were complete within `within_ms`.
    fn share_within(&self, prefix: &str, within_ms: u64) -> f64 {
        let jobs = self.submitted_us.iter().filter(|(id, _)| id.starts_with(prefix));
        let is_in_time = |(id, submitted_us): &(&JobId, &u64)| {
            self.completed_us.get(*id).is_some_and(|completed_us| *completed_us <= **submitted_us + within_ms * 1_000)
        };
        jobs.clone().filter(is_in_time).count() as f64 / jobs.count() as f64
    }
}

/// A pool of few wide jobs, which arrive irregularly, beside one of many narrow jobs that have their turn for 8 of 16
/// seconds. Together they need about two thirds of the hosts.
fn play_wide_beside_narrow(seed: u64) -> Completions {
    let mut config = (*catalog()).clone();
    config.pools.push(PoolConfig { name: "sheets".into(), spare: false });
    config.queues.push(sheets_queue());
    let mut sim = Sim::new(seed, HOSTS, Faults::default());
    sim.add_hosts(Arc::new(config));
    sim.run_for(2_000);
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut completions = Completions::default();
    for elapsed_ms in (0..PLAY_MS).step_by(STEP_MS as usize) {
        let is_turn_of_narrow = elapsed_ms % 16_000 >= 4_000 && elapsed_ms % 16_000 < 12_000;
        let narrow_per_s = if is_turn_of_narrow { 30.0 } else { 1.5 };
        if rng.random::<f64>() < 1.5 * STEP_MS as f64 / 1_000.0 {
            let mut wide = [step(rng.random_range(4..12), &[]), step(4, &[0])];
            wide.iter_mut().for_each(|step| step.needs.cpu_milli = 4_000);
            completions.submit(&mut sim, format!("wide-{elapsed_ms}"), spec(wide.to_vec()));
        }
        if rng.random::<f64>() < narrow_per_s * STEP_MS as f64 / 1_000.0 {
            let narrow = JobSpec { queue: sheets_queue(), ..spec(vec![step(3, &[])]) };
            completions.submit(&mut sim, format!("narrow-{elapsed_ms}"), narrow);
        }
        sim.run_for(STEP_MS);
        completions.update(&sim);
    }
    for _ in 0..50 {
        sim.run_for(100);
        completions.update(&sim);
    }
    assert_eq!(sim.violations, [], "seed {seed}");
    completions
}

#[test]
fn narrow_jobs_are_on_time_beside_few_wide_ones_that_look_like_a_rise() {
    let (mut narrow, mut wide) = (0.0, 0.0);
    for seed in 1..=6 {
        let completions = play_wide_beside_narrow(seed);
        // Deadlines: twice the critical path of 0.5 or 1 s, and a second.
        narrow += completions.share_within("narrow", 2_000) / 6.0;
        wide += completions.share_within("wide", 3_000) / 6.0;
    }

    assert!(narrow >= 0.85, "{narrow} of the narrow jobs, {wide} of the wide ones");
    assert!(wide >= 0.85, "{wide} of the wide jobs, {narrow} of the narrow ones");
}

#[test]
fn hosts_that_are_drained_for_a_pool_count_as_on_their_way_to_it() {
    let mut leader = leader_with_workers(1);
    leader.hosts.remove("h9");
    let mut config = (*leader.catalog).clone();
    config.pools.push(PoolConfig { name: "sheets".into(), spare: false });
    config.queues.push(sheets_queue());
    leader.configure(Arc::new(config));
    for number in 1..9 {
        let entry = entry_in("sheets", number);
        leader.worker_listed(10 * SECOND_US, entry.clone());
        add_hosts(&mut leader, [host(&entry, true)]);
    }
    run(&mut leader, 10 * SECOND_US, 300);
    // Tasks of late jobs keep all hosts of the other pool busy.
    for number in 0..8 {
        let job = JobSpec { queue: sheets_queue(), accepted_unix_ms: 0, ..spec(vec![step(8, &[])]) };
        leader.submit(10_300_000, 60_000, format!("late-{number}").into(), job);
    }
    run(&mut leader, 10_300_000, 500);
    // It was accepted so long ago that it no longer looks like the beginning of a rise.
    leader.submit(10_800_000, 10_800, JOB.into(), JobSpec { accepted_unix_ms: 9_000, ..spec(vec![wide_step()]) });

    run(&mut leader, 10_800_000, 800);

    let drained = leader.workers.values().filter(|worker| worker.is_cordoned).count();
    assert!((1..=3).contains(&drained), "{drained} hosts are drained where two are enough");
}

/// Sixteen tasks of 2 cores: two hosts.
fn wide_step() -> Step {
    let mut wide = step(16, &[]);
    wide.estimate_ms = 1_500;
    wide
}

/// Delay from an answer of a busy worker to its next hold request, in milliseconds.
fn hold_delay_ms(lag_ms: u64) -> u64 {
    let mut leader = leader_with_workers(1);
    leader.submit(10 * SECOND_US, 0, JOB.into(), spec(vec![step(2, &[])]));
    run(&mut leader, 10 * SECOND_US, 200);
    leader.record_lag(lag_ms * 1_000);
    answer_holds(&mut leader, 10_200_000);
    match leader.plan_hold(10_200_000, &"w0".into()) {
        HoldPlan::WaitUntil { at_us } => (at_us - 10_200_000) / 1_000,
        plan => panic!("{plan:?}"),
    }
}

#[test]
fn leader_that_is_behind_asks_busy_workers_less_often() {
    let on_time = hold_delay_ms(0);
    let behind = hold_delay_ms(100);
    let far_behind = hold_delay_ms(10_000);

    assert!(behind >= 3 * on_time, "{on_time} and {behind} ms");
    assert!(far_behind <= 500, "{far_behind} ms: ends must be noticed soon all the same");
}

#[test]
fn lag_is_forgotten_when_the_leader_has_caught_up() {
    let mut leader = leader_with_workers(1);
    leader.record_lag(200_000);

    for _ in 0..40 {
        leader.record_lag(0);
    }

    assert_eq!(leader.lag_ms, 0);
}

#[test]
fn start_on_an_idle_worker_brings_its_next_hold_request_forward() {
    let mut leader = leader_with_workers(1);
    run(&mut leader, 10 * SECOND_US, 200);
    leader.submit(10_200_000, 0, JOB.into(), spec(vec![step(1, &[])]));

    leader.tick(10_300_000, 10_300);
    let batch = leader.take_batch(10_300_000);
    leader.batch_committed(10_300_000, 10_300_000, &batch);

    let plan = leader.plan_hold(10_300_000, &"w0".into());
    let is_soon = matches!(plan, HoldPlan::WaitUntil { at_us } if at_us <= 10_400_000);
    assert!(is_soon || matches!(plan, HoldPlan::Send { .. }), "{plan:?}");
}

#[test]
fn provider_that_accepts_one_order_per_second_gets_moves() {
    let mut leader = leader_with_workers(1);
    leader.settings.host_orders_per_s = 1;
    run(&mut leader, 10 * SECOND_US, 1_500);
    leader.host_moves.moves_left = 0;
    let accepted_unix_ms = 11_500;
    leader.submit(11_500_000, accepted_unix_ms, JOB.into(), JobSpec { accepted_unix_ms, ..spec(vec![wide_step()]) });

    let moves = run(&mut leader, 11_500_000, 2_000);

    assert_eq!(moves.len(), 1, "{moves:?}");
}

#[test]
fn hosts_return_to_the_spare_pool_only_as_far_as_a_rise_leaves_moves() {
    let mut leader = leader_with_workers(8);
    leader.settings.host_orders_per_s = 20;

    // All hosts are idle for 3 s at the same time.
    let moves = run(&mut leader, 10 * SECOND_US, 1_700);

    assert!(!moves.is_empty(), "hosts that no pool needs return");
    assert!(leader.host_moves.moves_left >= 10, "{} of 16 moves are left", leader.host_moves.moves_left);
}

/// A leader with one free worker, a job that cannot be on time, and one that can.
fn leader_with_a_late_job() -> Scheduler {
    let mut leader = leader_with_workers(1);
    let accepted_unix_ms = 100_000;
    let late = JobSpec { accepted_unix_ms: accepted_unix_ms - 3_000, ..spec(vec![step(1, &[])]) };
    let on_time = JobSpec { accepted_unix_ms, ..spec(vec![step(1, &[])]) };
    leader.submit(10 * SECOND_US, accepted_unix_ms, "late".into(), late);
    leader.submit(10 * SECOND_US, accepted_unix_ms, "on-time".into(), on_time);
    leader
}

#[test]
fn leader_that_is_behind_leaves_late_jobs_for_later() {
    let mut leader = leader_with_a_late_job();
    leader.record_lag(100_000);
    run(&mut leader, 10 * SECOND_US, 100);
    let has_begun = |leader: &Scheduler, id: &str| leader.jobs[id].has_begun();
    let while_behind = (has_begun(&leader, "late"), has_begun(&leader, "on-time"));

    (0..40).for_each(|_| leader.record_lag(0));
    run(&mut leader, 10_100_000, 300);

    assert_eq!(while_behind, (false, true));
    assert!(has_begun(&leader, "late"), "the late job is started once the leader has caught up");
}

#[test]
fn leader_that_is_behind_places_long_running_tasks() {
    let mut leader = leader_with_workers(1);
    leader.submit(10 * SECOND_US, 0, JOB.into(), spec(vec![long_step(1, 2_000)]));
    leader.record_lag(100_000);

    run(&mut leader, 10 * SECOND_US, 100);

    assert!(leader.jobs[JOB].has_begun());
}

/// A leader whose limit on starts allows none now.
fn leader_without_starts_left(now_us: u64) -> Scheduler {
    let mut leader = leader_with_workers(4);
    run(&mut leader, now_us - 200_000, 200);
    leader.start_rate.adjust(now_us - 100_000, false);
    (0..100).for_each(|_| leader.start_rate.record_start());
    leader.start_rate.adjust(now_us, true);
    let allowed = leader.start_rate.allowance(now_us).expect("starts are limited");
    (0..allowed).for_each(|_| leader.start_rate.record_start());
    leader
}

#[test]
fn all_long_running_jobs_start_at_once_where_starts_are_limited() {
    let now_us = 10_300_000;
    let mut leader = leader_without_starts_left(now_us);
    for number in 0..3 {
        leader.submit(now_us, 10_300, format!("long-{number}").into(), spec(vec![long_step(1, 2_000)]));
    }
    leader.submit(now_us, 10_300, "short".into(), spec(vec![step(1, &[])]));

    leader.place_now(now_us);

    let begun: Vec<bool> =
        ["long-0", "long-1", "long-2", "short"].iter().map(|id| leader.jobs[*id].has_begun()).collect();
    assert_eq!(begun, [true, true, true, false]);
}

/// Lets the leader start tasks for a second while its ticks, two between adjustments of the limit, are late by these times.
/// Returns the limit on starts.
fn limit_after_ticks(late_ms: [u64; 2]) -> Option<f64> {
    let mut leader = leader_with_workers(1);
    for sweep in 0..10 {
        (0..100).for_each(|_| leader.start_rate.record_start());
        late_ms.into_iter().for_each(|late_ms| leader.record_lag(late_ms * 1_000));
        run(&mut leader, 10 * SECOND_US + sweep * 100_000, 100);
    }
    leader.start_rate.limit_per_s()
}

#[test]
fn starts_are_limited_while_all_ticks_are_late_but_not_after_a_single_one() {
    let all_late = limit_after_ticks([60, 40]);
    let one_late = limit_after_ticks([60, 5]);

    assert!(all_late.is_some());
    assert_eq!(one_late, None);
}

#[test]
fn leader_starts_no_copies_while_starts_are_limited() {
    let mut leader = leader_with_workers(2);
    let copied = Step { speculative: true, ..step(4, &[]) };
    leader.submit(10 * SECOND_US, 10_000, JOB.into(), spec(vec![copied]));
    run(&mut leader, 10 * SECOND_US, 300);
    let checked = |leader: &Scheduler| leader.work_counts().of(Work::CopiesChecked);
    let without_limit = checked(&leader);
    (0..100).for_each(|_| leader.start_rate.record_start());
    leader.start_rate.adjust(10_300_000, true);

    // The next sweep adjusts the limit, which stays in force for some time.
    run(&mut leader, 10_300_000, 100);

    assert!(without_limit > 0);
    assert!(leader.start_rate.limit_per_s().is_some());
    assert_eq!(checked(&leader), without_limit);
}
