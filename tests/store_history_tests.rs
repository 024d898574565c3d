//! Runs jobs on daemon processes with a store that drops the history of its changes.

mod support;

use std::thread;
use std::time::Duration;

use sardineseam::{StoreFaults, UsersPlatformStandIn};
use support::control_daemon::ControlDaemon;
use support::eventually;

const RUN_MS: u64 = 50;
const DAEMONS: usize = 2;
const WORKERS: usize = 8;
/// Time that an answer of a slow store takes; each submission and each read of a partition takes as long.
const SLOW_ANSWER_MS: u64 = 200;
const JOB: &str = r#"{"spec":"print","steps":[{"count":1,"cpu":1000,"memMb":100,"estimateMs":50}]}"#;

#[test]
fn jobs_stored_in_new_partitions_while_the_leader_reads_all_jobs_again_are_run() {
    // Guards against accepted jobs that the leader never reads: their partition got its first row after the leader had
    // listed the partitions, and their version is lower than the one from which it follows the changes.
    let platform = UsersPlatformStandIn::start(WORKERS, RUN_MS);
    let daemons = ControlDaemon::start_all("new-partitions", DAEMONS, &platform);
    daemons[0].submit("00000000000000a0", JOB);
    daemons[0].wait_for_state("00000000000000a0", "completed");
    let ids: Vec<String> = (1..8).map(|digit| format!("{digit}0000000000000a0")).collect();
    platform.set_store_faults(StoreFaults { answer_ms: SLOW_ANSWER_MS, ..StoreFaults::default() });

    platform.drop_store_history();
    thread::scope(|scope| {
        for id in &ids {
            let daemons = &daemons;
            scope.spawn(move || daemons[1].submit(id, JOB));
            thread::sleep(Duration::from_millis(SLOW_ANSWER_MS / 3));
        }
    });
    platform.set_store_faults(StoreFaults::default());

    ids.iter().for_each(|id| daemons[0].wait_for_state(id, "completed"));
}

#[test]
fn leader_without_jobs_does_not_read_them_again_and_again_after_the_history_is_gone() {
    // Guards against a leader that uses up the store's limit on reads: after it had read an empty table, it followed the
    // changes from a version that is gone as well, and read the table again without a pause.
    let platform = UsersPlatformStandIn::start(WORKERS, RUN_MS);
    let _daemons = ControlDaemon::start_all("no-jobs", DAEMONS, &platform);
    eventually("a daemon leads", || platform.leader().is_some());
    eventually("the leader follows the changes", || platform.store_call_count("/rows-feed") > 10);
    let lists_before = platform.store_call_count("/rows-parts");

    eventually("the jobs are read again", || {
        // Another writer's row, so that the version that the leader has read last is gone.
        platform.put_row("notes", "note", b"note");
        platform.drop_store_history();
        platform.store_call_count("/rows-parts") > lists_before
    });
    let writes_before = platform.store_call_count("/rows-tx");
    eventually("leadership is renewed", || platform.store_call_count("/rows-tx") >= writes_before + 4);

    let lists = platform.store_call_count("/rows-parts") - lists_before;
    assert!(lists <= 4, "the partitions were listed {lists} times");
}
