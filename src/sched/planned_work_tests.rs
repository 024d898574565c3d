//! Tests of planned work on hosts beside faults, in the simulation: the disruption budget of each step is kept, as its
//! tasks have it.

use std::sync::Arc;

use super::model::{Catalog, JobSpec, PoolConfig, Queue, Step};
use super::sim::{catalog, spec, step, Faults, Sim};

pub(super) const WORKER_COUNT: usize = 12;
pub(super) const WAVE: u64 = 1;
pub(super) const MAX_DOWN: u32 = 3;

/// A second pool, which gets its hosts from the first one.
fn catalog_with_second_pool() -> Arc<Catalog> {
    let mut config = (*catalog()).clone();
    config.pools.push(PoolConfig { name: "sheets".into(), spare: false });
    let mut sheets: Queue = (*config.queues[0]).clone();
    (sheets.name, sheets.pool) = ("sheets".into(), "sheets".into());
    config.queues.push(Arc::new(sheets));
    Arc::new(config)
}

/// Four long-running tasks, of which one may be unavailable.
pub(super) fn budgeted_step(cpu_milli: u64) -> Step {
    let mut long_step = step(4, &[]);
    long_step.needs.cpu_milli = cpu_milli;
    long_step.long_running = true;
    long_step.max_unavailable = Some(1);
    long_step.max_per_worker = Some(1);
    long_step
}

/// Hosts with long-running tasks that have a disruption budget, all of them at work.
fn sim_with_budgeted_tasks(seed: u64, faults: Faults) -> Sim {
    with_budgeted_tasks(seed, Sim::new(seed, WORKER_COUNT, faults))
}

/// Adds hosts and the tasks to a simulation, and lets it run until they are at work.
pub(super) fn with_budgeted_tasks(seed: u64, mut sim: Sim) -> Sim {
    sim.add_hosts(catalog_with_second_pool());
    for cpu_milli in [7_000, 5_000, 3_000, 2_000] {
        sim.submit(&format!("long-running-{cpu_milli}"), spec(vec![budgeted_step(cpu_milli)]));
    }
    run_with_small_jobs(&mut sim, 4_000);
    assert!(sim.are_budgeted_tasks_at_work(), "seed {seed}: the tasks have started");
    sim
}

/// Runs the simulation for `for_ms` and submits jobs all the while.
pub(super) fn run_with_small_jobs(sim: &mut Sim, for_ms: u64) {
    for _ in 0..for_ms / 250 {
        let id = format!("small-{:04}", sim.specs.len());
        sim.submit(&id, spec(vec![step(3, &[])]));
        sim.run_for(250);
    }
}

/// Submits jobs to the second pool, so that hosts move there.
fn submit_to_second_pool(sim: &mut Sim, count: u32) {
    let queue = catalog_with_second_pool().queues[1].clone();
    for _ in 0..count {
        let id = format!("sheet-{:04}", sim.specs.len());
        sim.submit(&id, JobSpec { queue: queue.clone(), ..spec(vec![step(8, &[])]) });
    }
}

pub(super) fn assert_budgets_kept(sim: &Sim, seed: u64) {
    assert_eq!(sim.violations, [], "seed {seed}");
    assert!(sim.disruption_count > 0, "seed {seed}: no task had to leave its host");
    assert!(sim.are_budgeted_tasks_at_work(), "seed {seed}: all tasks are at work again");
}

pub(super) fn assert_wave_complete(sim: &Sim, seed: u64) {
    assert!(sim.complete_waves.contains(&WAVE), "seed {seed}: the wave has not ended");
}

#[test]
fn hosts_whose_workers_are_unlisted_after_a_store_outage_keep_their_tasks() {
    for seed in 0..40 {
        let mut sim = sim_with_budgeted_tasks(seed, Faults::default());
        sim.order_wave(WAVE, MAX_DOWN);
        run_with_small_jobs(&mut sim, 1_000 + seed % 9 * 1_500);

        sim.stop_store(4_500, 1.0);
        run_with_small_jobs(&mut sim, 56_000);

        assert_budgets_kept(&sim, seed);
        assert_wave_complete(&sim, seed);
    }
}

#[test]
fn budgets_are_kept_when_a_part_of_the_entries_expires_during_a_wave() {
    for seed in 0..40 {
        let mut sim = sim_with_budgeted_tasks(seed, Faults::default());
        sim.order_wave(WAVE, MAX_DOWN);

        for _ in 0..4 {
            run_with_small_jobs(&mut sim, 2_500);
            let now_us = sim.now_us;
            sim.expire_entries(now_us, 0.4);
        }
        run_with_small_jobs(&mut sim, 50_000);

        assert_budgets_kept(&sim, seed);
        assert_wave_complete(&sim, seed);
    }
}

#[test]
fn budgets_are_kept_when_leaders_change_during_a_wave() {
    for seed in 0..40 {
        let mut sim = sim_with_budgeted_tasks(seed, Faults::default());
        sim.order_wave(WAVE, MAX_DOWN);

        for _ in 0..3 {
            run_with_small_jobs(&mut sim, 2_000 + seed % 10 * 250);
            sim.stop_leader(100 + seed % 4 * 500);
        }
        run_with_small_jobs(&mut sim, 60_000);

        assert_budgets_kept(&sim, seed);
        assert_wave_complete(&sim, seed);
    }
}

#[test]
fn budgets_are_kept_when_the_leader_changes_while_the_entries_are_missing() {
    for seed in 0..40 {
        let mut sim = sim_with_budgeted_tasks(seed, Faults::default());
        sim.order_wave(WAVE, MAX_DOWN);
        run_with_small_jobs(&mut sim, 1_000 + seed % 9 * 1_500);

        sim.stop_store(4_500, 1.0);
        run_with_small_jobs(&mut sim, 3_000);
        sim.stop_leader(1_500 + seed % 5 * 250);
        run_with_small_jobs(&mut sim, 70_000);

        assert_budgets_kept(&sim, seed);
        assert_wave_complete(&sim, seed);
    }
}

#[test]
fn budgets_are_kept_when_the_leader_stands_still_during_a_wave() {
    for seed in 0..40 {
        let mut sim = sim_with_budgeted_tasks(seed, Faults::default());
        sim.order_wave(WAVE, MAX_DOWN);

        for _ in 0..4 {
            run_with_small_jobs(&mut sim, 1_500 + seed % 10 * 250);
            sim.partition((seed as usize * 5 + 3) % WORKER_COUNT, 6_000);
            run_with_small_jobs(&mut sim, 250);
            sim.freeze_leader(1_300 + seed % 5 * 1_000);
        }
        run_with_small_jobs(&mut sim, 60_000);

        assert_budgets_kept(&sim, seed);
        assert_wave_complete(&sim, seed);
    }
}

#[test]
fn budgets_are_kept_when_workers_are_cut_off_and_come_back_during_a_wave() {
    for seed in 0..40 {
        let mut sim = sim_with_budgeted_tasks(seed, Faults::default());
        sim.order_wave(WAVE, MAX_DOWN);

        for round in 0..4 {
            run_with_small_jobs(&mut sim, 1_500 + seed % 10 * 250);
            for number in 0..4 {
                sim.partition((round * 3 + number) % WORKER_COUNT, 2_000 + seed % 7 * 1_000);
            }
        }
        run_with_small_jobs(&mut sim, 60_000);

        assert_budgets_kept(&sim, seed);
        assert_wave_complete(&sim, seed);
    }
}

#[test]
fn budgets_are_kept_when_workers_drain_and_the_store_returns_during_a_wave() {
    for seed in 0..40 {
        let mut sim = sim_with_budgeted_tasks(seed, Faults::default());
        sim.order_wave(WAVE, MAX_DOWN);
        run_with_small_jobs(&mut sim, 1_000 + seed % 9 * 1_500);

        sim.stop_store(4_500, 1.0);
        run_with_small_jobs(&mut sim, 1_000 + seed % 12 * 500);
        sim.drain_worker(seed as usize % WORKER_COUNT);
        run_with_small_jobs(&mut sim, 60_000);

        assert_eq!(sim.violations, [], "seed {seed}");
        assert_wave_complete(&sim, seed);
    }
}

#[test]
fn moves_that_a_store_outage_delayed_end_no_tasks() {
    for seed in 0..40 {
        let mut sim = sim_with_budgeted_tasks(seed, Faults::default());
        submit_to_second_pool(&mut sim, 6);
        run_with_small_jobs(&mut sim, seed % 8 * 250);

        submit_to_second_pool(&mut sim, 6);
        sim.stop_store(4_500, 1.0);
        run_with_small_jobs(&mut sim, 30_000);

        assert_eq!(sim.violations, [], "seed {seed}");
        assert!(sim.move_count > 0, "seed {seed}: no host has moved");
        assert!(sim.are_budgeted_tasks_at_work(), "seed {seed}: all tasks are at work");
    }
}

#[test]
fn budgets_are_kept_when_answers_about_hosts_are_lost_and_entries_expire() {
    for seed in 0..40 {
        let faults = Faults { host_answer_loss_rate: 0.4, ..Faults::default() };
        let mut sim = sim_with_budgeted_tasks(seed, faults);
        sim.order_wave(WAVE, MAX_DOWN);

        for _ in 0..6 {
            run_with_small_jobs(&mut sim, 1_500);
            let now_us = sim.now_us;
            sim.expire_entries(now_us, 0.3);
        }
        run_with_small_jobs(&mut sim, 60_000);

        assert_budgets_kept(&sim, seed);
        assert_wave_complete(&sim, seed);
    }
}

#[test]
fn wave_limit_is_kept_when_leaders_change_and_answers_about_hosts_are_lost() {
    for seed in 0..40 {
        let faults = Faults { host_answer_loss_rate: 0.3, failovers_per_s: 0.3, ..Faults::default() };
        let mut sim = sim_with_budgeted_tasks(seed, faults);
        sim.order_wave(WAVE, MAX_DOWN);

        run_with_small_jobs(&mut sim, 40_000);
        sim.end_faults();
        run_with_small_jobs(&mut sim, 60_000);

        assert_budgets_kept(&sim, seed);
        assert_wave_complete(&sim, seed);
    }
}

/// A pool whose hosts all have a task of the same step, beside spare hosts.
fn sim_with_a_task_on_each_host(seed: u64) -> Sim {
    const TASKS: u32 = 10;
    let mut config = (*catalog()).clone();
    config.pools.push(PoolConfig { name: "spare".into(), spare: true });
    let mut sim = Sim::new(seed, 2 * TASKS as usize, Faults::default());
    sim.add_hosts(Arc::new(config));
    // Tasks so small that the pool's demand holds no other host: the others return to the spare pool.
    sim.submit("long-running", spec(vec![Step { count: TASKS, ..budgeted_step(1_000) }]));
    sim.run_for(12_000);
    assert!(sim.are_budgeted_tasks_at_work(), "seed {seed}: the tasks have started");
    assert_eq!(sim.hosts_by_pool().get("press"), Some(&TASKS), "seed {seed}: the pool has no other host");
    sim
}

#[test]
fn wave_is_not_held_up_by_a_pool_without_a_host_for_the_next_task() {
    // Ten tasks leave their hosts one after the other. Each may take the grace of 0.2 s to stop, and takes 1.5 s until it is
    // at work again.
    const WAVE_MS: u64 = 22_000 + 10 * 200;
    for seed in 1..=4 {
        let mut sim = sim_with_a_task_on_each_host(seed);
        sim.order_wave(WAVE, 8);

        sim.run_for(WAVE_MS);

        assert_budgets_kept(&sim, seed);
        assert_wave_complete(&sim, seed);
    }
}
