//! Tests of batches that exceed what the store takes in one call or in one row.

use std::collections::HashMap;
use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::action::{Action, Batch};
use super::leader_fixtures::{answer_holds, leader_with_workers, SECOND_US};
use super::model::{JobId, JobPhase, Queue, TaskRef};
use super::phase_rows::split_pending_counts;
use super::record::restore_job;
use super::refused_batches::MAX_BATCH_RECORDS;
use super::scheduler::Scheduler;
use super::sim::{spec, step};
use crate::row_store::MAX_TRANSACTION_BYTES;

const ROW_BYTES: usize = 65_536;
const START_US: u64 = 10 * SECOND_US;

fn id(number: usize) -> JobId {
    format!("job-{number:05}").into()
}

/// A text that cannot be compressed to half of its length.
fn checkpoint(bytes: usize) -> String {
    let mut rng = SmallRng::seed_from_u64(bytes as u64);
    (0..bytes).map(|_| char::from(rng.random_range(b' '..b'~'))).collect()
}

/// Adds a job with one task that has failed once, and whose checkpoint has this size.
fn submit(leader: &mut Scheduler, number: usize, checkpoint_bytes: usize) {
    leader.submit(START_US, 0, id(number), spec(vec![step(1, &[])]));
    let task_ref = TaskRef { job: id(number), occurrence: 0, step: 0, index: 0 };
    let task = leader.jobs.get_mut(&id(number)).and_then(|job| job.task_mut(&task_ref)).expect("the task is known");
    task.run = 1;
    task.last_run = 1;
    task.highest_ended_run = 1;
    task.checkpoint = checkpoint(checkpoint_bytes).into();
    leader.mark_dirty(&id(number));
}

fn record_bytes(batch: &Batch) -> usize {
    batch.records.iter().map(|(_, record)| record.len()).sum()
}

/// What a store has stored, and what the leader has ordered.
#[derive(Debug, Default)]
struct Outcome {
    records: HashMap<JobId, Vec<u8>>,
    phases: HashMap<JobId, JobPhase>,
    started: Vec<JobId>,
    refusals: usize,
}

/// Runs the leader for `rounds` ticks of 100 ms, each followed by a batch, with a store that refuses some batches.
fn run(leader: &mut Scheduler, from_us: u64, rounds: u64, refuses: impl Fn(&Batch) -> bool) -> Outcome {
    let mut outcome = Outcome::default();
    for round in 0..rounds {
        let now_us = from_us + round * SECOND_US / 10;
        answer_holds(leader, now_us);
        leader.tick(now_us, now_us / 1_000);
        let batch = leader.take_batch(now_us);
        if refuses(&batch) {
            outcome.refusals += 1;
            leader.batch_refused(now_us, batch);
            continue;
        }
        outcome.records.extend(batch.records.iter().cloned());
        outcome.phases.extend(batch.phases.iter().map(|reported| (reported.job.clone(), reported.phase)));
        leader.batch_committed(now_us, now_us, &batch);
        for action in leader.take_actions() {
            if let Action::Start(start) = action {
                outcome.started.push(start.task.job);
            }
        }
    }
    outcome
}

fn has_large_row(batch: &Batch) -> bool {
    batch.records.iter().any(|(_, record)| record.len() > ROW_BYTES)
}

#[test]
fn batch_is_limited_in_bytes() {
    // Guards against a transaction that the store never takes: after an outage, many large records wait at the same time.
    let mut leader = leader_with_workers(2);
    for number in 0..26 {
        submit(&mut leader, number, 45_000);
    }

    let mut stored = Vec::new();
    while leader.wants_commit(START_US) && stored.len() < 26 {
        let batch = leader.take_batch(START_US);
        assert!(record_bytes(&batch) <= MAX_TRANSACTION_BYTES, "{} bytes", record_bytes(&batch));
        stored.extend(batch.records.iter().map(|(id, _)| id.clone()));
        leader.batch_committed(START_US, START_US, &batch);
    }

    assert_eq!(stored, (0..26).map(id).collect::<Vec<_>>(), "each once, in their order");
}

#[test]
fn record_that_the_store_refuses_ends_only_its_job() {
    // Guards against one record that stops the work of all others.
    let mut leader = leader_with_workers(30);
    for number in 0..20 {
        submit(&mut leader, number, if number == 7 { 100_000 } else { 10 });
    }

    let outcome = run(&mut leader, START_US, 60, has_large_row);

    for number in 0..20 {
        let is_running = outcome.started.contains(&id(number)) && leader.jobs[&id(number)].phase == JobPhase::Running;
        assert_eq!(is_running, number != 7, "job {number}");
    }
    assert_eq!(outcome.phases[&id(7)], JobPhase::Failed, "its caller learns of it");
    let mut restored = super::job::Job::new(id(7), leader.jobs[&id(7)].spec.clone());
    restore_job(&mut restored, &outcome.records[&id(7)]).expect("the record can be decoded");
    assert_eq!(restored.phase, JobPhase::Failed);
}

#[test]
fn refused_record_is_found_soon_while_other_records_change_all_the_time() {
    // Guards against a search that always finds another record to try first, and stores one record after several refusals.
    const MAX_REFUSALS: usize = 12;
    let mut leader = leader_with_workers(30);
    for number in 0..80 {
        submit(&mut leader, number, if number == 40 { 100_000 } else { 10 });
    }

    let mut refusals = 0;
    for round in 0..40 {
        (0..80).filter(|number| *number != 40).for_each(|number| leader.mark_dirty(&id(number)));
        refusals += run(&mut leader, START_US + round * SECOND_US / 10, 1, has_large_row).refusals;
    }

    assert_eq!(leader.jobs[&id(40)].phase, JobPhase::Failed);
    assert!(refusals <= MAX_REFUSALS, "{refusals}");
}

#[test]
fn several_refused_records_end_their_jobs_while_others_go_on() {
    // Guards against a search for one refused record that the next one starts over again.
    let mut leader = leader_with_workers(30);
    for number in 0..20 {
        submit(&mut leader, number, if number % 5 == 0 { 100_000 } else { 10 });
    }

    let outcome = run(&mut leader, START_US, 100, has_large_row);

    for number in 0..20 {
        let phase = leader.jobs[&id(number)].phase;
        assert_eq!(phase, if number % 5 == 0 { JobPhase::Failed } else { JobPhase::Running }, "job {number}");
        assert!(outcome.records.contains_key(&id(number)), "job {number}");
    }
}

#[test]
fn store_that_refuses_everything_ends_no_job() {
    // Guards against jobs that are given up for a fault of the store, or of something else in the transaction.
    let mut leader = leader_with_workers(20);
    for number in 0..10 {
        submit(&mut leader, number, 10);
    }

    let refused = run(&mut leader, START_US, 50, |_| true);
    let accepted = run(&mut leader, START_US + 5 * SECOND_US, 30, |_| false);

    assert_eq!((refused.refusals, refused.started.len()), (50, 0));
    for number in 0..10 {
        assert_eq!(leader.jobs[&id(number)].phase, JobPhase::Running, "job {number}");
        assert!(accepted.started.contains(&id(number)), "job {number}");
    }
}

#[test]
fn other_rows_that_the_store_refuses_do_not_stop_the_records() {
    // Guards against work that stops, or jobs that are given up, for a row that belongs to no job.
    let mut leader = leader_with_workers(20);
    for number in 0..10 {
        submit(&mut leader, number, 10);
    }

    let outcome = run(&mut leader, START_US, 80, |batch| batch.pending_counts.is_some());

    for number in 0..10 {
        assert_eq!(leader.jobs[&id(number)].phase, JobPhase::Running, "job {number}");
        assert!(outcome.started.contains(&id(number)), "job {number}");
    }
}

#[test]
fn run_starts_only_once_its_record_is_stored() {
    // Guards against starts of a refused batch that are lost, or sent without a record.
    let mut leader = leader_with_workers(20);
    for number in 0..12 {
        submit(&mut leader, number, 10);
    }

    let outcome = run(&mut leader, START_US, 40, |batch| batch.records.len() > 1);

    let mut started = outcome.started.clone();
    started.sort();
    assert_eq!(started, (0..12).map(id).collect::<Vec<_>>(), "each once");
    assert!(outcome.refusals > 0);
}

#[test]
fn full_batch_fits_into_the_entries_of_a_call() {
    // Guards against a transaction of more entries than the store takes, which many waves at the same time would cause.
    const ENTRIES: usize = 100;
    const RENEWAL_ENTRIES: usize = 3;
    const OTHER_ROWS: usize = 4;
    let mut leader = leader_with_workers(2);
    for number in 0..MAX_BATCH_RECORDS + 10 {
        submit(&mut leader, number, 10);
    }
    for wave in 1..=20 {
        leader.restore_wave(wave, Vec::new());
        leader.waves.put_back(&[(wave, Vec::new())]);
    }

    let batch = leader.take_batch(START_US);

    let entries = batch.records.len() + batch.removed_records.len() + batch.waves.len();
    assert_eq!(batch.records.len(), MAX_BATCH_RECORDS);
    assert!(entries + RENEWAL_ENTRIES + OTHER_ROWS <= ENTRIES, "{entries}");
    let mut waves = batch.waves.len();
    leader.batch_committed(START_US, START_US, &batch);
    while leader.waves.has_changed() {
        let batch = leader.take_batch(START_US);
        waves += batch.waves.len();
        leader.batch_committed(START_US, START_US, &batch);
    }
    assert_eq!(waves, 20, "the others follow");
}

#[test]
fn numbers_of_queued_jobs_that_take_several_rows_wait_for_a_transaction_with_room() {
    // Guards against a transaction with more entries than the store takes.
    let mut leader = leader_with_workers(2);
    for number in 0..4_000 {
        let mut job = spec(vec![step(16, &[])]);
        let name: Arc<str> = format!("queue-with-a-long-name-{number:06}").into();
        job.queue = Arc::new(Queue { name, ..(*job.queue).clone() });
        leader.submit(START_US, START_US / 1_000, format!("{number:016x}").into(), job);
    }
    let ids: Vec<JobId> = leader.jobs.keys().cloned().collect();
    ids.iter().for_each(|id| leader.mark_dirty(id));
    let now_us = START_US + SECOND_US;

    let full = leader.take_batch(now_us);
    leader.batch_committed(now_us, now_us, &full);
    let last = (2..60)
        .map(|second| leader.take_batch(START_US + second * SECOND_US))
        .find(|batch| batch.records.len() < MAX_BATCH_RECORDS);

    assert_eq!((full.records.len(), full.pending_counts.is_some()), (MAX_BATCH_RECORDS, false));
    assert!(last.and_then(|batch| batch.pending_counts).is_some_and(|counts| split_pending_counts(&counts).len() > 1));
}
