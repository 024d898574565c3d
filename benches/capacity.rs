//! Measures how processing times, memory and message sizes grow with the size of the fleet. The daemon's own code runs
//! on generated hosts and sheets, without a network.

use std::sync::Arc;
use std::time::Instant;

use sardineseam::dispatch::{Arrival, AttemptOutcome, DispatchSettings, Dispatcher, LoadReport, LocalRequestId};
use sardineseam::{capacity, HostEntry, HostState, Sheet};

/// Workers and pools of each measured size; [`daemon_count`] gives the number of daemons.
const SIZES: [(usize, usize); 4] = [(50, 5), (400, 20), (1_600, 70), (6_400, 270)];
const ZONES: usize = 18;
/// Workers in all copies of a daemon's state together when memory is measured.
const TOTAL_WORKERS: usize = 64_000;
/// Set in the child process that measures memory, to `WORKERS,POOLS`.
const CHILD_SIZE_VARIABLE: &str = "SARDINESEAM_BENCH_COPIES";

/// One daemon for every sixty workers, and at least six.
fn daemon_count(workers: usize) -> usize {
    (workers / 60).max(6)
}

fn host(number: usize, pools: usize) -> HostEntry {
    HostEntry {
        name: format!("worker-{number:05}").into(),
        address: ([10, (number >> 16) as u8, (number >> 8) as u8, number as u8], 8080).into(),
        zone: format!("region-{}-zone-{}", number % 5, number % ZONES).into(),
        pool: format!("pool-{:03}", number % pools).into(),
        state: HostState::Live,
        epoch: 1,
    }
}

fn sheet(workers: usize, pools: usize) -> String {
    let mut csv =
        "kind,name,pool,service,zones,hosts,spare,max_unavailable,opens_at,closes_at,max_concurrent\n".to_owned();
    let zones: Vec<String> = (0..ZONES).map(|zone| format!("region-{}-zone-{zone}", zone % 5)).collect();
    let zones = zones.join(" ");
    for pool in 0..pools {
        csv += &format!("pool,pool-{pool:03},,service-{pool:03},{zones},{},no,,,,\n", workers / pools);
        csv += &format!("budget,,pool-{pool:03},,,,,2,,,\n");
        csv +=
            &format!("wave,wave-{pool:03},pool-{pool:03},,,,,,2026-12-04T01:00:00+08:00,2026-12-04T05:00:00+08:00,2\n");
    }
    csv
}

/// Resident memory of this process, in bytes.
fn resident_bytes() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("/proc/self/status is readable");
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).expect("VmRSS");
    line.split_whitespace().nth(1).expect("a number").parse::<f64>().expect("a number") * 1_024.0
}

/// Median time of one call, in microseconds.
fn median_time_us(rounds: usize, mut call: impl FnMut()) -> f64 {
    let mut times: Vec<f64> = Vec::new();
    for _ in 0..rounds {
        let started = Instant::now();
        call();
        times.push(started.elapsed().as_secs_f64() * 1e6);
    }
    times.sort_by(f64::total_cmp);
    times[times.len() / 2]
}

fn main() {
    if let Ok(size) = std::env::var(CHILD_SIZE_VARIABLE) {
        print_state_kb(&size);
        return;
    }
    println!("| workers | pools | daemons | sheet KB | stored KB | parse sheet us | apply host list us | apply one host change us | fleet and dispatcher KB | gossip bytes, no departures | gossip bytes, 32 departures | snapshot KB | gossip peers | lease scan KB | endpoints used |");
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    for (workers, pools) in SIZES {
        print_row(workers, pools);
    }
    println!();
    println!("| pools | dispatch of one request, arrival to end, us |");
    println!("|---|---|");
    for (workers, pools) in SIZES {
        println!("| {pools} | {:.2} |", mean_request_us(workers, pools));
    }
}

/// Measures one size of the fleet and prints its row.
fn print_row(workers: usize, pools: usize) {
    let daemon_count = daemon_count(workers);
    let csv = sheet(workers, pools);
    let parse_us = median_time_us(9, || drop(Sheet::read(csv.as_bytes()).expect("a valid sheet")));
    let hosts: Vec<HostEntry> = (0..workers).map(|number| host(number, pools)).collect();
    let list_us = median_time_us(5, || drop(capacity::Fleet::from_list(hosts.clone())));
    drop(hosts);
    let (mut fleet, mut dispatcher, endpoints_used) = build_state(workers, pools);
    let state_kb = state_kb(workers, pools);
    let mut epoch = 1;
    let change_us = median_time_us(99, || {
        epoch += 1;
        let changed = HostEntry { epoch, ..host(7, pools) };
        let pool = changed.pool.clone();
        fleet.update_host(changed);
        dispatcher.set_endpoints(0, &pool, &fleet.endpoints(&pool));
    });
    let sizes = capacity::message_sizes(workers, daemon_count, csv.as_bytes(), &fleet);
    println!(
        "| {workers} | {pools} | {daemon_count} | {:.1} | {:.1} | {parse_us:.0} | {list_us:.0} | {change_us:.1} | {state_kb:.0} | {} | {} | {:.0} | {} | {:.1} | {endpoints_used} |",
        csv.len() as f64 / 1_000.0,
        sizes.stored_sheet_bytes as f64 / 1_000.0,
        sizes.min_gossip_bytes,
        sizes.max_gossip_bytes,
        sizes.snapshot_bytes as f64 / 1_000.0,
        sizes.gossip_targets,
        sizes.lease_scan_bytes as f64 / 1_000.0,
    );
}

/// Builds the fleet and the dispatcher of one daemon; the last value is the number of endpoints that it uses.
fn build_state(workers: usize, pools: usize) -> (capacity::Fleet, Dispatcher, usize) {
    let fleet = capacity::Fleet::from_list((0..workers).map(|number| host(number, pools)).collect());
    let mut dispatcher = Dispatcher::new(DispatchSettings::default(), "daemon-000", "region-0-zone-0", 1);
    dispatcher.set_daemon_count(daemon_count(workers));
    let mut endpoints_used = 0;
    for pool in 0..pools {
        let name: Arc<str> = format!("pool-{pool:03}").into();
        dispatcher.set_endpoints(0, &name, &fleet.endpoints(&name));
        endpoints_used += dispatcher.endpoint_count(&name);
    }
    (fleet, dispatcher, endpoints_used)
}

/// Resident memory of one daemon's fleet and dispatcher in KB, as the mean of many copies in a child process.
fn state_kb(workers: usize, pools: usize) -> f64 {
    let program = std::env::current_exe().expect("the path of this program");
    let size = format!("{workers},{pools}");
    let output =
        std::process::Command::new(program).env(CHILD_SIZE_VARIABLE, size).output().expect("the child process runs");
    String::from_utf8_lossy(&output.stdout).trim().parse().expect("a number")
}

/// Runs in the child process: measures the memory for [`state_kb`] and prints it.
fn print_state_kb(size: &str) {
    let (workers, pools) = size.split_once(',').expect("two numbers");
    let (workers, pools): (usize, usize) = (workers.parse().expect("a number"), pools.parse().expect("a number"));
    let copies = TOTAL_WORKERS / workers;
    let before = resident_bytes();
    let states: Vec<_> = (0..copies).map(|_| build_state(workers, pools)).collect();
    println!("{}", (resident_bytes() - before) / 1_000.0 / states.len() as f64);
}

/// Mean time that the dispatcher takes for one request, in microseconds.
fn mean_request_us(workers: usize, pools: usize) -> f64 {
    const REQUESTS: u64 = 50_000;
    let fleet = capacity::Fleet::from_list((0..workers).map(|number| host(number, pools)).collect());
    let mut dispatcher = Dispatcher::new(DispatchSettings::default(), "daemon-000", "region-0-zone-0", 1);
    dispatcher.set_daemon_count(daemon_count(workers));
    let names: Vec<Arc<str>> = (0..pools).map(|pool| format!("pool-{pool:03}").into()).collect();
    for name in &names {
        dispatcher.set_endpoints(0, name, &fleet.endpoints(name));
    }
    let started = Instant::now();
    for id in 0..REQUESTS {
        let arrival = Arrival {
            id: LocalRequestId(id),
            pool: names[id as usize % pools].clone(),
            team: "team".into(),
            caller: "caller".into(),
            idempotent: true,
            deadline_us: id + 1_000_000,
            body_bytes: 100,
        };
        for action in dispatcher.on_arrival(id, arrival) {
            if let sardineseam::dispatch::Action::Start { attempt, .. } = action {
                let load = Some(LoadReport { in_flight: 1, slots: 8 });
                dispatcher.on_attempt_end(id + 10, attempt, AttemptOutcome::Answered { failed: false, load });
            }
        }
    }
    started.elapsed().as_secs_f64() * 1e6 / REQUESTS as f64
}
