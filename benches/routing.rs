//! Compares the routing policies under load and faults, in virtual time and with the same requests for each.

#[path = "../tests/support/sim.rs"]
#[allow(dead_code, missing_docs)]
mod sim;

use sardineseam::dispatch::RoutingPolicy;

use sim::{
    capacity_per_s, ideal_response_times_us, run, Fault, Report, Scenario, DAEMONS, ENDPOINTS, SLOTS_PER_ENDPOINT,
};

const SEED: u64 = 20_261_203;
/// Offered loads, each as a share of the pool's capacity.
const LOADS: [f64; 5] = [0.05, 0.5, 0.9, 1.5, 5.0];
const ROUTING_POLICIES: [(RoutingPolicy, &str); 5] = [
    (RoutingPolicy::LeastLoaded, "least loaded"),
    (RoutingPolicy::PowerOfTwoChoices, "power of two choices"),
    (RoutingPolicy::RoundRobin, "round robin"),
    (RoutingPolicy::StaticSplit, "static split"),
    (RoutingPolicy::DynamicSplit, "dynamic split"),
];

fn main() {
    println!(
        "{DAEMONS} daemons, {ENDPOINTS} endpoints of {SLOTS_PER_ENDPOINT} slots, \
         capacity {:.0} requests/s, seed {SEED}",
        capacity_per_s()
    );
    println!();
    println!(
        "| fault | load | routing policy | goodput | wait p50 ms | wait p99 ms | p99 / ideal | refused | unknown \
         | retries | fairness | duplicates | wrong outcomes | recovery s |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    for fault in Fault::ALL {
        for load in LOADS {
            for (routing, name) in ROUTING_POLICIES {
                print_row(&Scenario::new(routing, load, fault, SEED), name);
            }
        }
    }
}

fn print_row(scenario: &Scenario, name: &str) {
    let report = run(scenario);
    let ratio_to_ideal = if scenario.load < 1.0 {
        let ideal_ms = Report::percentile_ms(&ideal_response_times_us(scenario), 99.0);
        format!("{:.2}", Report::percentile_ms(&report.response_times_us, 99.0) / ideal_ms)
    } else {
        "-".to_owned()
    };
    let recovery =
        if scenario.fault == Fault::None { "-".to_owned() } else { format!("{:.1}", report.recovery_s(scenario)) };
    println!(
        "| {} | {} | {name} | {:.3} | {:.1} | {:.1} | {ratio_to_ideal} \
         | {:.3} | {:.4} | {:.4} | {:.3} | {} | {} | {recovery} |",
        scenario.fault.name(),
        scenario.load,
        report.goodput(scenario),
        Report::percentile_ms(&report.wait_times_us, 50.0),
        Report::percentile_ms(&report.wait_times_us, 99.0),
        report.refused as f64 / report.offered as f64,
        report.unknown as f64 / report.offered as f64,
        report.retries_per_request(),
        report.fairness(),
        report.duplicates,
        report.wrong_outcomes,
    );
}
