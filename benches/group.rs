//! Measures six daemons that use one platform stand-in: their processor time, memory and traffic while idle, and the
//! time until a new sheet is in force at all of them.

mod support;

use std::thread;
use std::time::{Duration, Instant};

use support::{http, median, percentile, wait_until, Process, STANDIN};

const DAEMONS: usize = 6;
const IDLE_PERIOD: Duration = Duration::from_secs(20);
const APPLY_COUNT: usize = 20;
/// Unit of the processor times in `/proc/<pid>/stat`.
const CLOCK_TICKS_PER_S: f64 = 100.0;

fn main() {
    let sheet = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/liantu.csv");
    let body = std::fs::read_to_string(sheet).expect("the sheet file is readable");
    let standin = Process::start(STANDIN, &["--listen", "127.0.0.1:0", "--endpoints", sheet]);
    let platform = format!("http://{}", standin.address("standin"));
    let daemons: Vec<Process> = (1..=DAEMONS)
        .map(|number| {
            Process::start_daemon(&format!("d{number}"), &format!("taoyuan-{}", number % 4 + 1), &platform, &[])
        })
        .collect();
    let admins: Vec<String> = daemons.iter().map(|daemon| daemon.address("admin")).collect();
    apply_sheet(&admins[0], &body);
    wait_until(|| admins.iter().all(|admin| sheet_version(admin) == 1));
    thread::sleep(Duration::from_secs(6));

    println!("| idle daemon, one of six | median | highest |");
    println!("|---|---|---|");
    let ticks_before: Vec<u64> = daemons.iter().map(Process::cpu_ticks).collect();
    let bytes_before = loopback_bytes();
    let started = Instant::now();
    thread::sleep(IDLE_PERIOD);
    let elapsed_s = started.elapsed().as_secs_f64();
    let mut cpu_percent: Vec<f64> = Vec::new();
    let kb_per_s = (loopback_bytes() - bytes_before) as f64 / elapsed_s / 1_000.0 / DAEMONS as f64;
    for (daemon, ticks) in daemons.iter().zip(ticks_before) {
        cpu_percent.push((daemon.cpu_ticks() - ticks) as f64 / CLOCK_TICKS_PER_S / elapsed_s * 100.0);
    }
    let mut resident_mib: Vec<f64> = daemons.iter().map(|daemon| daemon.resident_kib() as f64 / 1_024.0).collect();
    println!(
        "| processor, % of a core | {:.2} | {:.2} |",
        median(&mut cpu_percent),
        percentile(&mut cpu_percent, 100.0)
    );
    println!(
        "| resident memory, MiB | {:.1} | {:.1} |",
        median(&mut resident_mib),
        percentile(&mut resident_mib, 100.0)
    );
    println!("| sent and received, KB/s | {kb_per_s:.2} (mean) | |");

    println!();
    println!("| time until a sheet is in force at six daemons | median s | longest s |");
    println!("|---|---|---|");
    for lag_ms in [0, 10_000] {
        let faults = format!(r#"{{"list_lag_ms": {lag_ms}}}"#);
        http("PUT", &format!("{platform}/faults"), faults.as_bytes());
        let mut times: Vec<f64> = Vec::new();
        for number in 0..APPLY_COUNT {
            let version_before = sheet_version(&admins[0]);
            let budget = number % 2 + 1;
            apply_sheet(&admins[number % DAEMONS], &body.replace("curing,,,,,1,", &format!("curing,,,,,{budget},")));
            let started = Instant::now();
            // An apply of the sheet that is in force already, such as the first one, creates no new version.
            let expected = if version_before == 1 && budget == 1 { version_before } else { version_before + 1 };
            wait_until(|| admins.iter().all(|admin| sheet_version(admin) >= expected));
            times.push(started.elapsed().as_secs_f64());
        }
        let name = if lag_ms == 0 { "no fault" } else { "host list 10 s stale" };
        println!("| {name} | {:.3} | {:.3} |", median(&mut times), percentile(&mut times, 100.0));
    }
}

fn apply_sheet(admin: &str, body: &str) {
    let (status, answer) = http("PUT", &format!("http://{admin}/v1/sheet"), body.as_bytes());
    assert_eq!(status, 200, "{answer}");
}

/// Version of the sheet in force at the daemon; 0 if it has none or does not answer.
fn sheet_version(admin: &str) -> u64 {
    let (_, body) = http("GET", &format!("http://{admin}/v1/status"), b"");
    serde_json::from_str::<serde_json::Value>(&body).ok().and_then(|view| view["sheet_version"].as_u64()).unwrap_or(0)
}

/// Bytes sent over the loopback interface, headers included: all traffic of the daemons with each other and with the
/// stand-in, each byte counted once.
fn loopback_bytes() -> u64 {
    let devices = std::fs::read_to_string("/proc/net/dev").expect("/proc/net/dev is readable");
    let line = devices.lines().find(|line| line.trim_start().starts_with("lo:")).expect("a loopback interface");
    line.split_whitespace().nth(9).expect("a number").parse().expect("a number")
}
