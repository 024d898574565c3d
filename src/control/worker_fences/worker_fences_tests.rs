//! Tests of raised fencing tokens.

use super::WorkerFences;

const TERM_TOKEN: u64 = 40;

// Guards against a token that is not raised, so that late calls are still carried out, and against one that is raised for
// all workers.
#[test]
fn token_of_a_restarted_worker_is_raised_to_the_latest_committed_version() {
    let fences = WorkerFences::default();
    fences.request("w0".into());

    let raised = fences.raise(TERM_TOKEN, 57);

    assert_eq!(raised, ["w0".into()]);
    assert_eq!(fences.token_for("w0", TERM_TOKEN), 57);
    assert_eq!(fences.token_for("w1", TERM_TOKEN), TERM_TOKEN);
}

// Guards against a second restart between two transactions, for which the token would stay the same.
#[test]
fn token_that_cannot_be_raised_yet_waits_for_the_next_transaction() {
    let fences = WorkerFences::default();
    fences.request("w0".into());
    assert!(fences.raise(TERM_TOKEN, TERM_TOKEN).is_empty(), "the term has committed nothing");
    fences.raise(TERM_TOKEN, 57);

    fences.request("w0".into());
    let before = fences.raise(TERM_TOKEN, 57);
    let after = fences.raise(TERM_TOKEN, 58);

    assert_eq!((before.len(), after.len()), (0, 1));
    assert_eq!(fences.token_for("w0", TERM_TOKEN), 58);
}
