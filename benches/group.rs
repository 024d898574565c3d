//! Six daemons on one stand-in: what they cost while idle, and how soon a sheet is in force everywhere.

mod support;

use std::thread;
use std::time::{Duration, Instant};

use support::{http, median, percentile, wait_until, Process, STANDIN};

const DAEMONS: usize = 6;
const IDLE: Duration = Duration::from_secs(20);
const APPLIES: usize = 20;
const TICKS_PER_S: f64 = 100.0;

fn main() {
    let sheet = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/liantu.csv");
    let body = std::fs::read_to_string(sheet).expect("the sheet");
    let standin = Process::start(STANDIN, &["--listen", "127.0.0.1:0", "--endpoints", sheet]);
    let platform = format!("http://{}", standin.address("standin"));
    let daemons: Vec<Process> = (1..=DAEMONS)
        .map(|number| Process::daemon(&format!("d{number}"), &format!("taoyuan-{}", number % 4 + 1), &platform, &[]))
        .collect();
    let admins: Vec<String> = daemons.iter().map(|daemon| daemon.address("admin")).collect();
    apply(&admins[0], &body);
    wait_until(|| admins.iter().all(|admin| version(admin) == 1));
    thread::sleep(Duration::from_secs(6));

    println!("| idle daemon of six | median | worst |");
    println!("|---|---|---|");
    let before: Vec<u64> = daemons.iter().map(Process::cpu_ticks).collect();
    let bytes_before = loopback_bytes();
    let started = Instant::now();
    thread::sleep(IDLE);
    let elapsed_s = started.elapsed().as_secs_f64();
    let mut cpu: Vec<f64> = Vec::new();
    let kb_per_s = (loopback_bytes() - bytes_before) as f64 / elapsed_s / 1_000.0 / DAEMONS as f64;
    for (daemon, ticks) in daemons.iter().zip(before) {
        cpu.push((daemon.cpu_ticks() - ticks) as f64 / TICKS_PER_S / elapsed_s * 100.0);
    }
    let mut resident: Vec<f64> = daemons.iter().map(|daemon| daemon.resident_kib() as f64 / 1_024.0).collect();
    println!("| processor, % of a core | {:.2} | {:.2} |", median(&mut cpu), percentile(&mut cpu, 100.0));
    println!("| resident, MiB | {:.1} | {:.1} |", median(&mut resident), percentile(&mut resident, 100.0));
    println!("| sent and received, KB/s | {kb_per_s:.2} on average | |");

    println!();
    println!("| sheet in force on six daemons | median s | worst s |");
    println!("|---|---|---|");
    for lag_ms in [0, 10_000] {
        let faults = format!(r#"{{"list_lag_ms": {lag_ms}}}"#);
        http("PUT", &format!("{platform}/faults"), faults.as_bytes());
        let mut times: Vec<f64> = Vec::new();
        for number in 0..APPLIES {
            let base = version(&admins[0]);
            let budget = number % 2 + 1;
            apply(&admins[number % DAEMONS], &body.replace("curing,,,,,1,", &format!("curing,,,,,{budget},")));
            let started = Instant::now();
            let expected = if base == 1 && budget == 1 { base } else { base + 1 };
            wait_until(|| admins.iter().all(|admin| version(admin) >= expected));
            times.push(started.elapsed().as_secs_f64());
        }
        let name = if lag_ms == 0 { "no fault" } else { "host list 10 s late" };
        println!("| {name} | {:.3} | {:.3} |", median(&mut times), percentile(&mut times, 100.0));
    }
}

fn apply(admin: &str, body: &str) {
    let (status, answer) = http("PUT", &format!("http://{admin}/v1/sheet"), body.as_bytes());
    assert_eq!(status, 200, "{answer}");
}

fn version(admin: &str) -> u64 {
    let (_, body) = http("GET", &format!("http://{admin}/v1/status"), b"");
    serde_json::from_str::<serde_json::Value>(&body).ok().and_then(|view| view["sheet_version"].as_u64()).unwrap_or(0)
}

/// Bytes that crossed the loopback interface, headers included: all traffic of the daemons with each other and
/// with the stand-in, each byte once.
fn loopback_bytes() -> u64 {
    let devices = std::fs::read_to_string("/proc/net/dev").expect("devices");
    let line = devices.lines().find(|line| line.trim_start().starts_with("lo:")).expect("loopback");
    line.split_whitespace().nth(9).expect("a number").parse().expect("a number")
}
