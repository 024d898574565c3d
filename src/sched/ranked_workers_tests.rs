//! Tests of the order in which the tasks of a step take workers.

use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::candidate::{score, Candidate};
use super::leader_fixtures::{leader_with_workers, run, SECOND_US};
use super::model::{HostPhase, HostRecord, Resources, Step};
use super::ranked_workers::RankedWorkers;
use super::sim::{spec, step};
use super::work_counts::Work;

/// Workers of different size, of which some are slow, have failed runs or get no tasks.
fn workers(rng: &mut SmallRng) -> Vec<Candidate> {
    let mut workers = Vec::new();
    for number in 0..rng.random_range(1..40) {
        let capacity = Resources { cpu_milli: rng.random_range(1..9) * 2_000, mem_mb: 64_000, gpus: 0 };
        let rack: Arc<str> = format!("rack-{}", rng.random_range(0..3)).into();
        let mut worker = Candidate::of_host(&HostRecord {
            name: format!("w{number:02}").into(),
            pool: "press".into(),
            phase: HostPhase::Up,
            worker: None,
            capacity,
            zone: "hall-a".into(),
            labels: Arc::new([rack]),
        });
        worker.is_slow = rng.random_bool(0.1);
        worker.is_isolated = rng.random_bool(0.1);
        worker.is_reserved = rng.random_bool(0.1);
        worker.failure_tenths = rng.random_range(0..3);
        workers.push(worker);
    }
    workers
}

/// Index of the best worker by a comparison of all of them.
fn choose_by_comparison(step: &Step, workers: &[Candidate]) -> Option<usize> {
    let mut best = None;
    for (index, worker) in workers.iter().enumerate() {
        let score = score(worker, step, false, false);
        if worker.can_take(step) && best.as_ref().is_none_or(|(known, _)| score < *known) {
            best = Some((score, index));
        }
    }
    best.map(|(_, index)| index)
}

fn place(step: &Step, worker: &mut Candidate) {
    worker.reserve(step);
    worker.siblings += 1;
}

#[test]
fn tasks_get_the_workers_that_a_comparison_for_each_would_choose() {
    let mut rng = SmallRng::seed_from_u64(5);
    for case in 0..300 {
        let mut compared = workers(&mut rng);
        let mut ranked_workers = compared.clone();
        let step = Step {
            needs: Resources { cpu_milli: rng.random_range(0..5_000), mem_mb: 4_000, gpus: 0 },
            max_per_worker: rng.random_bool(0.3).then_some(2),
            data_rack: rng.random_bool(0.3).then(|| "rack-1".into()),
            ..Step::default()
        };
        let mut ranked = RankedWorkers::new(&step, &ranked_workers);
        for task in 0..60 {
            let expected = choose_by_comparison(&step, &compared);
            let chosen = ranked.take_best();
            assert_eq!(chosen, expected, "task {task} of case {case}");
            let Some(index) = expected else { break };
            place(&step, &mut compared[index]);
            place(&step, &mut ranked_workers[index]);
            ranked.put_back(index, &step, &ranked_workers);
        }
    }
}

#[test]
fn workers_are_compared_once_for_all_tasks_of_a_step() {
    let mut leader = leader_with_workers(8);
    let before = leader.work_counts().clone();
    leader.submit(10 * SECOND_US, 10_000, "wide".into(), spec(vec![step(32, &[])]));

    run(&mut leader, 10 * SECOND_US, 100);

    assert!(leader.jobs["wide"].has_begun());
    assert_eq!(leader.work_counts().since(&before).of(Work::WorkersCompared), 8);
}
