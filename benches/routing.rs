//! Request decisions under load and faults, in virtual time: each routing beside the others over the same draws.

#[path = "../tests/support/sim.rs"]
#[allow(dead_code, missing_docs)]
mod sim;

use sardineseam::dispatch::RoutingPolicy;

use sim::{capacity_per_s, ideal_times_us, run, Fault, Report, Scenario, DAEMONS, ENDPOINTS, SLOTS};

const SEED: u64 = 20_261_203;
const LOADS: [f64; 5] = [0.05, 0.5, 0.9, 1.5, 5.0];
const ROUTINGS: [(RoutingPolicy, &str); 5] = [
    (RoutingPolicy::LeastLoaded, "least loaded"),
    (RoutingPolicy::PowerOfTwoChoices, "least of two"),
    (RoutingPolicy::RoundRobin, "round robin"),
    (RoutingPolicy::StaticSplit, "static split"),
    (RoutingPolicy::DynamicSplit, "traded shares"),
];

fn main() {
    println!(
        "{DAEMONS} daemons, {ENDPOINTS} endpoints of {SLOTS} slots, capacity {:.0} requests/s, seed {SEED}",
        capacity_per_s()
    );
    println!();
    println!(
        "| fault | load | routing | goodput | wait p50 ms | wait p99 ms | p99 / ideal | refused | unknown | retries \
         | fairness | duplicates | wrong | recovery s |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    for fault in Fault::ALL {
        for load in LOADS {
            for (routing, name) in ROUTINGS {
                row(&Scenario::new(routing, load, fault, SEED), name);
            }
        }
    }
}

fn row(scenario: &Scenario, name: &str) {
    let report = run(scenario);
    let ideal = if scenario.load < 1.0 {
        let ideal_ms = Report::percentile_ms(&ideal_times_us(scenario), 99.0);
        format!("{:.2}", Report::percentile_ms(&report.times_us, 99.0) / ideal_ms)
    } else {
        "-".to_owned()
    };
    let recovery =
        if scenario.fault == Fault::None { "-".to_owned() } else { format!("{:.1}", report.recovery_s(scenario)) };
    println!(
        "| {} | {} | {name} | {:.3} | {:.1} | {:.1} | {ideal} | {:.3} | {:.4} | {:.4} | {:.3} | {} | {} | {recovery} |",
        scenario.fault.name(),
        scenario.load,
        report.goodput(scenario),
        Report::percentile_ms(&report.waits_us, 50.0),
        Report::percentile_ms(&report.waits_us, 99.0),
        report.refused as f64 / report.offered as f64,
        report.unknown as f64 / report.offered as f64,
        report.retries_per_request(),
        report.fairness(),
        report.duplicates,
        report.wrong_outcomes,
    );
}
