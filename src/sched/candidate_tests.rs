//! Tests of which worker a task gets, over many placements.

use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::candidate::{score, Candidate};
use super::model::{HostPhase, HostRecord, Resources, Step};

/// Widest tasks; they fit on the large workers only.
const WIDE_MILLI: u64 = 40_000;
const STEPS: u64 = 20_000;

fn worker(number: usize, cpu_milli: u64) -> Candidate {
    Candidate::of_host(&HostRecord {
        name: format!("w{number:02}").into(),
        pool: "press".into(),
        phase: HostPhase::Up,
        worker: None,
        capacity: Resources { cpu_milli, mem_mb: 1_000_000, gpus: 0 },
        zone: "hall-a".into(),
        labels: Arc::new([]),
    })
}

/// Sixteen workers of 16 cores and eight of 64.
fn workers() -> Vec<Candidate> {
    (0..24).map(|number| worker(number, if number < 16 { 16_000 } else { 64_000 })).collect()
}

fn task(cpu_milli: u64) -> Step {
    Step { needs: Resources { cpu_milli, mem_mb: 100, gpus: 0 }, ..Step::default() }
}

/// The worker with room for a task that `prefer` sorts first.
fn choose<K: PartialOrd>(workers: &[Candidate], task: &Step, prefer: impl Fn(&Candidate) -> K) -> Option<usize> {
    let mut best: Option<(K, usize)> = None;
    for (index, worker) in workers.iter().enumerate() {
        let key = prefer(worker);
        if task.needs.fits_in(&worker.free_capacity) && best.as_ref().is_none_or(|(known, _)| key < *known) {
            best = Some((key, index));
        }
    }
    best.map(|(_, index)| index)
}

/// Share of the wide tasks that find a worker at once while narrow tasks of 1.5 to 12 cores come and go and keep about
/// `load` of all CPU busy.
fn share_of_wide_placed<K: PartialOrd>(load: f64, prefer: impl Fn(&Candidate, &Step) -> K) -> f64 {
    let mut rng = SmallRng::seed_from_u64(3);
    let mut workers = workers();
    let capacity: u64 = workers.iter().map(|worker| worker.free_capacity.cpu_milli).sum();
    let mut running: Vec<(u64, usize, u64)> = Vec::new();
    let (mut asked, mut placed) = (0.0, 0.0);
    for now in 0..STEPS {
        running.retain(|(ends, index, milli)| {
            if *ends <= now {
                workers[*index].free_capacity.cpu_milli += milli;
            }
            *ends > now
        });
        let busy: u64 = running.iter().map(|(_, _, milli)| milli).sum();
        if now % 20 == 0 && now > STEPS / 10 {
            let wide = task(WIDE_MILLI);
            asked += 1.0;
            placed += f64::from(u8::from(choose(&workers, &wide, |worker| prefer(worker, &wide)).is_some()));
        }
        if busy as f64 >= load * capacity as f64 {
            continue;
        }
        let narrow = task(rng.random_range(3..=24) * 500);
        let Some(index) = choose(&workers, &narrow, |worker| prefer(worker, &narrow)) else { continue };
        workers[index].reserve(&narrow);
        running.push((now + rng.random_range(20..400), index, narrow.needs.cpu_milli));
    }
    placed / asked
}

#[test]
fn wide_tasks_find_a_worker_beside_narrow_ones() {
    for (load, least) in [(0.5, 0.99), (0.6, 0.95), (0.7, 0.9)] {
        let by_score = share_of_wide_placed(load, |worker, step| score(worker, step, false, false));
        // Filling the emptiest worker first, as a load balancer would, is what the score must avoid.
        let by_spreading = share_of_wide_placed(load, |worker, _| std::cmp::Reverse(worker.free_capacity.cpu_milli));

        assert!(by_score >= least, "load {load}: {by_score} of the wide tasks, {by_spreading} when spread");
        assert!(by_score >= by_spreading, "load {load}: {by_score} of the wide tasks, {by_spreading} when spread");
    }
}

// Guards against long-running tasks that are moved for a wave and must leave their next worker for it, too.
#[test]
fn long_running_task_prefers_a_worker_that_needs_no_maintenance_soon() {
    let long = Step { long_running: true, ..task(1_000) };
    let awaiting = Candidate { awaits_maintenance: true, long_running_count: 1, ..worker(0, 16_000) };
    let free = worker(1, 64_000);

    assert!(score(&free, &long, false, false) < score(&awaiting, &long, false, false));
    assert!(score(&awaiting, &task(1_000), false, false) < score(&free, &task(1_000), false, false));
}
