//! Property test of the dispatcher with random but reproducible sequences of events.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::dispatch_tests::{answered, arrival, dispatcher, hosts, LOST, POOL};
use super::*;
use crate::clock::US_PER_S;

/// Outcome of a simulated attempt.
fn outcome_of(kind: u8) -> AttemptOutcome {
    match kind {
        0..=3 => answered(2),
        4 => AttemptOutcome::Answered { failed: true, load: None },
        5 => AttemptOutcome::Refused { load: Some(LoadReport { in_flight: 9, slots: 8 }) },
        6 => AttemptOutcome::NotSent,
        7 => LOST,
        _ => AttemptOutcome::Lost { fresh_connection: false },
    }
}

#[derive(Debug, Default)]
struct Observed {
    finished: BTreeMap<u64, Verdict>,
    may_have_run: BTreeSet<u64>,
    attempts: BTreeMap<u64, u32>,
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300, rng_seed: RngSeed::Fixed(6), failure_persistence: None, ..ProptestConfig::default()
    })]

    /// Each request gets exactly one verdict, which is `NotRun` only if no attempt may have run. A request that is not
    /// idempotent is never sent again after it may have run.
    #[test]
    fn each_request_gets_one_verdict_that_fits_its_attempts(
        events in proptest::collection::vec((0_u8..14, any::<u16>(), any::<bool>()), 1..200),
        max_queued in 1_usize..20,
    ) {
        let settings = DispatchSettings { max_queued, max_queue_wait_us: US_PER_S, ..DispatchSettings::default() };
        let endpoints = hosts(3);
        let mut dispatcher = dispatcher(settings, &endpoints);
        let mut now_us = 0;
        let mut next_id = 0;
        let mut running: Vec<(AttemptId, u64)> = Vec::new();
        let mut idempotent = BTreeMap::new();
        let mut observed = Observed::default();
        let check = |actions: Vec<Action>, running: &mut Vec<(AttemptId, u64)>, observed: &mut Observed,
                        idempotent: &BTreeMap<u64, bool>| -> Result<(), TestCaseError> {
            for action in actions {
                match action {
                    Action::Start { request, attempt, .. } => {
                        *observed.attempts.entry(request.0).or_default() += 1;
                        let may_have_run = observed.may_have_run.contains(&request.0);
                        prop_assert!(
                            !may_have_run || idempotent[&request.0],
                            "sent again after it may have run, but not idempotent"
                        );
                        prop_assert!(!observed.finished.contains_key(&request.0), "sent after its verdict");
                        running.push((attempt, request.0));
                    }
                    Action::Finish { request, verdict } => {
                        if let Verdict::NotRun { .. } = verdict {
                            prop_assert!(!observed.may_have_run.contains(&request.0), "an attempt may have run");
                        }
                        prop_assert!(observed.finished.insert(request.0, verdict).is_none(), "got two verdicts");
                    }
                }
            }
            Ok(())
        };
        for (kind, random, flag) in events {
            now_us += u64::from(random) * 20;
            let actions = match kind {
                0..=5 => {
                    next_id += 1;
                    idempotent.insert(next_id, flag);
                    let caller = if random % 3 == 0 { "a" } else { "b" };
                    let deadline_us = now_us + u64::from(random) * 50 + 1;
                    dispatcher
                        .on_arrival(now_us, Arrival { caller: caller.into(), deadline_us, ..arrival(next_id, flag) })
                }
                6..=10 if !running.is_empty() => {
                    let (attempt, request) = running.remove(usize::from(random) % running.len());
                    let outcome = outcome_of((random % 9) as u8);
                    if matches!(outcome, AttemptOutcome::Lost { .. }) {
                        observed.may_have_run.insert(request);
                    }
                    dispatcher.on_attempt_end(now_us, attempt, outcome)
                }
                11 => {
                    let kept = endpoints.len() - usize::from(flag);
                    dispatcher.set_endpoints(now_us, &POOL.into(), &endpoints[..kept])
                }
                _ => dispatcher.tick(now_us),
            };
            check(actions, &mut running, &mut observed, &idempotent)?;
            prop_assert!(dispatcher.queued(POOL) <= max_queued + 3, "only retries may exceed the limit");
            prop_assert_eq!(dispatcher.total_in_flight(), running.len());
        }
        // Answers all attempts still in flight; then every request must have its verdict.
        while let Some((attempt, _)) = running.pop() {
            let actions = dispatcher.on_attempt_end(now_us, attempt, answered(0));
            check(actions, &mut running, &mut observed, &idempotent)?;
        }
        let actions = dispatcher.tick(u64::MAX / 2);
        check(actions, &mut running, &mut observed, &idempotent)?;
        prop_assert_eq!(observed.finished.len() as u64, next_id);
        prop_assert!(observed.attempts.values().all(|attempts| *attempts <= 3));
    }
}
