//! Runs jobs on daemon processes with a store that takes less than usual in one call and in one row.

mod support;

use sardineseam::UsersPlatformStandIn;
use support::control_daemon::ControlDaemon;
use support::eventually;
use support::proxy::Mode;

const RUN_MS: u64 = 50;
const DAEMONS: usize = 3;
const WORKERS: usize = 8;
/// Usual limit on a row.
const ROW_BYTES: usize = 65_536;
/// Usual limit on a call.
const CALL_BYTES: usize = 1_000_000;

fn job(tasks: u32) -> String {
    format!(r#"{{"spec":"print","steps":[{{"count":{tasks},"cpu":1000,"memMb":100,"estimateMs":50}}]}}"#)
}

#[test]
fn batch_that_the_store_refuses_is_stored_in_parts() {
    // Guards against a leader that repeats a refused batch, and stores nothing any more: after an outage of the store, the
    // records of all jobs have changed at the same time.
    let platform = UsersPlatformStandIn::start(WORKERS, RUN_MS);
    let daemons = ControlDaemon::start_all("refused-batch", DAEMONS, &platform);
    let ids: Vec<String> = (0..12).map(|number| format!("{number:x}0000000000000b1")).collect();
    ids.iter().for_each(|id| daemons[0].submit(id, &job(200)));
    daemons[0].wait_for_state(&ids[0], "running");
    platform.limit_writes(4_000, ROW_BYTES);
    daemons.iter().for_each(|daemon| daemon.proxy.set_mode(Mode::Disconnect));
    eventually("all runs have ended", || platform.with_run_log(|log| log.done.len() as u64 == log.starts));
    daemons.iter().for_each(|daemon| daemon.proxy.set_mode(Mode::Forward));

    for id in &ids {
        daemons[1].wait_for_state(id, "completed");
    }

    assert!(platform.refused_call_count() > 0, "the limit was never met");
    platform.with_run_log(|log| assert_eq!(log.violations, Vec::<String>::new()));
}

#[test]
fn job_whose_record_the_store_refuses_fails_and_others_complete() {
    // Guards against one job that stops all others because its record never fits.
    let platform = UsersPlatformStandIn::start(WORKERS, RUN_MS);
    platform.limit_writes(CALL_BYTES, 1_000);
    let daemons = ControlDaemon::start_all("refused-record", DAEMONS, &platform);
    let (large, small) = ("00000000000000c1", ["10000000000000c2", "20000000000000c3"]);

    daemons[0].submit(small[0], &job(8));
    daemons[0].submit(large, &job(800));
    daemons[0].submit(small[1], &job(8));

    daemons[1].wait_for_state(large, "failed");
    for id in small {
        daemons[1].wait_for_state(id, "completed");
    }
    platform.with_run_log(|log| assert_eq!(log.violations, Vec::<String>::new()));
}

#[test]
fn job_that_does_not_fit_in_a_row_is_refused_with_the_limit() {
    // Guards against a submission that is answered with 503 for good, and takes others of its batch with it.
    let platform = UsersPlatformStandIn::start(WORKERS, RUN_MS);
    let daemons = ControlDaemon::start_all("large-submission", DAEMONS, &platform);
    let step = format!(r#"{{"count":1,"cpu":1000,"image":"{}"}}"#, "i".repeat(200));
    let steps = vec![step; 400].join(",");
    daemons[0].submit("00000000000000d1", &job(1));

    let answer = daemons[0].call("POST", "10000000000000d2", &format!(r#"{{"spec":"print","steps":[{steps}]}}"#));

    let (status, body) = answer.expect("an answer");
    assert_eq!(status, 400, "{body}");
    assert!(body.contains("60000"), "{body}");
}
