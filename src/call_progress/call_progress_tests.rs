//! Tests of what counts as progress of a call.

use std::time::{Duration, Instant};

use super::{CallDeadline, CallProgress, ProgressMark, MAX_SILENCE_MS};

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn a_few_bytes_now_and_then_are_no_progress() {
    // Guards against a connection that carries next to nothing and is waited for without end.
    let start = Instant::now();
    let mut mark = ProgressMark::default();
    for tenth in 1..=30 {
        mark.advance(100 * u64::from(tenth), Some(start + tenth * SECOND / 10));
    }

    assert_eq!(mark.at, None);
}

#[test]
fn progress_is_dated_by_the_last_byte() {
    // Guards against silence that is counted from when it was looked for.
    let start = Instant::now();
    let mut mark = ProgressMark::default();

    mark.advance(100_000, Some(start + SECOND));
    mark.advance(100_000, Some(start + SECOND));
    mark.advance(100_500, Some(start + 2 * SECOND));

    assert_eq!(mark.at, Some(start + SECOND));
}

#[test]
fn only_a_deadline_that_progress_extends_moves() {
    let start = Instant::now();
    let (idle, progress) = (CallProgress::default(), CallProgress::default());
    progress.0.mark.set(ProgressMark { bytes: 100_000, at: Some(start + SECOND) });

    let (fixed, extended) = (CallDeadline::Fixed(start + SECOND), CallDeadline::ExtendedByProgress(start + SECOND));

    assert_eq!([fixed.after(&idle), fixed.after(&progress), extended.after(&idle)], [start + SECOND; 3]);
    assert_eq!(extended.after(&progress), start + SECOND + Duration::from_millis(MAX_SILENCE_MS));
}
