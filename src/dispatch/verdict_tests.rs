//! Each request gets one true verdict, whatever happens, in random but repeatable worlds.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::dispatch_tests::{arrival, dispatcher, hosts, well, LOST, POOL};
use super::*;
use crate::clock::US_PER_S;

/// What the fake world does with an attempt.
fn end_of(kind: u8) -> AttemptOutcome {
    match kind {
        0..=3 => well(2),
        4 => AttemptOutcome::Answered { failed: true, load: None },
        5 => AttemptOutcome::Refused { load: Some(LoadReport { in_flight: 9, slots: 8 }) },
        6 => AttemptOutcome::NotSent,
        7 => LOST,
        _ => AttemptOutcome::Lost { fresh_connection: false },
    }
}

#[derive(Debug, Default)]
struct Tally {
    finished: BTreeMap<u64, Verdict>,
    may_have_run: BTreeSet<u64>,
    attempts: BTreeMap<u64, u32>,
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300, rng_seed: RngSeed::Fixed(6), failure_persistence: None, ..ProptestConfig::default()
    })]

    /// Whatever happens, each request gets one verdict; `not-run` only if no attempt may have run; a request that
    /// must not run twice is never sent again after it may have run.
    #[test]
    fn one_true_verdict_each(
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
        let mut tally = Tally::default();
        let note = |actions: Vec<Action>, running: &mut Vec<(AttemptId, u64)>, tally: &mut Tally,
                        idempotent: &BTreeMap<u64, bool>| -> Result<(), TestCaseError> {
            for action in actions {
                match action {
                    Action::Start { request, attempt, .. } => {
                        *tally.attempts.entry(request.0).or_default() += 1;
                        let again = tally.may_have_run.contains(&request.0);
                        prop_assert!(!again || idempotent[&request.0], "sent again after it may have run");
                        prop_assert!(!tally.finished.contains_key(&request.0), "sent after its verdict");
                        running.push((attempt, request.0));
                    }
                    Action::Finish { request, verdict } => {
                        if let Verdict::NotRun { .. } = verdict {
                            prop_assert!(!tally.may_have_run.contains(&request.0), "it may have run");
                        }
                        prop_assert!(tally.finished.insert(request.0, verdict).is_none(), "two verdicts");
                    }
                }
            }
            Ok(())
        };
        for (kind, pick, flag) in events {
            now_us += u64::from(pick) * 20;
            let actions = match kind {
                0..=5 => {
                    next_id += 1;
                    idempotent.insert(next_id, flag);
                    let caller = if pick % 3 == 0 { "a" } else { "b" };
                    let deadline_us = now_us + u64::from(pick) * 50 + 1;
                    dispatcher.on_arrival(now_us, Arrival { caller: caller.into(), deadline_us, ..arrival(next_id, flag) })
                }
                6..=10 if !running.is_empty() => {
                    let (attempt, request) = running.remove(usize::from(pick) % running.len());
                    let end = end_of((pick % 9) as u8);
                    if matches!(end, AttemptOutcome::Lost { .. }) {
                        tally.may_have_run.insert(request);
                    }
                    dispatcher.on_attempt_end(now_us, attempt, end)
                }
                11 => {
                    let kept = endpoints.len() - usize::from(flag);
                    dispatcher.set_endpoints(now_us, &POOL.into(), &endpoints[..kept])
                }
                _ => dispatcher.tick(now_us),
            };
            note(actions, &mut running, &mut tally, &idempotent)?;
            prop_assert!(dispatcher.queued(POOL) <= max_queued + 3, "retries may stand beyond the bound");
            prop_assert_eq!(dispatcher.total_in_flight(), running.len());
        }
        // Everything that still runs is answered; then nothing may be left over.
        while let Some((attempt, _)) = running.pop() {
            let actions = dispatcher.on_attempt_end(now_us, attempt, well(0));
            note(actions, &mut running, &mut tally, &idempotent)?;
        }
        let actions = dispatcher.tick(u64::MAX / 2);
        note(actions, &mut running, &mut tally, &idempotent)?;
        prop_assert_eq!(tally.finished.len() as u64, next_id);
        prop_assert!(tally.attempts.values().all(|attempts| *attempts <= 3));
    }
}
