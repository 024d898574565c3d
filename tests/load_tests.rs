//! Checks the request dispatcher against its targets under load and faults, in virtual time with fixed seeds.

#![allow(dead_code, reason = "the routing benchmark shares the simulation")]

#[path = "support/sim.rs"]
mod sim;

use sardineseam::dispatch::RoutingPolicy;

use sim::{ideal_response_times_us, run, Fault, Report, Scenario};

const SEEDS: [u64; 2] = [1, 2];
/// Offered loads, each as a share of the pool's capacity.
const LOADS: [f64; 4] = [0.05, 0.5, 0.9, 1.5];

/// Highest possible goodput of a run with this fault, as a share of the pool's capacity. During the fault, a failing or
/// lost endpoint takes away a tenth of the capacity, and a slow one nine tenths of that.
fn max_goodput(fault: Fault, scenario: &Scenario) -> f64 {
    let fault_share = (scenario.fault_until_us - scenario.fault_from_us) as f64 / scenario.duration_us as f64;
    match fault {
        Fault::FailingEndpoint | Fault::PlatformOutage => 1.0 - fault_share * 0.1,
        Fault::SlowEndpoint => 1.0 - fault_share * 0.09,
        Fault::None | Fault::IdleReportingEndpoint | Fault::SilentConnections | Fault::ZonePartition => 1.0,
    }
}

#[test]
fn goodput_under_overload_stays_at_capacity() {
    for seed in SEEDS {
        for fault in Fault::ALL {
            let scenario_at = |load| Scenario::new(RoutingPolicy::LeastLoaded, load, fault, seed);
            let goodput = run(&scenario_at(5.0)).goodput(&scenario_at(5.0));
            let limit = 0.95 * max_goodput(fault, &scenario_at(5.0));
            assert!(goodput >= limit, "{}, seed {seed}: goodput {goodput:.3}, limit {limit:.3}", fault.name());
        }
    }
}

#[test]
fn goodput_at_five_times_the_capacity_is_not_below_that_at_one_and_a_half() {
    for seed in SEEDS {
        let scenario_at = |load| Scenario::new(RoutingPolicy::LeastLoaded, load, Fault::None, seed);
        let (heavy, light) =
            (run(&scenario_at(5.0)).goodput(&scenario_at(5.0)), run(&scenario_at(1.5)).goodput(&scenario_at(1.5)));
        assert!(heavy >= light, "seed {seed}: goodput {heavy:.4} at load 5, {light:.4} at load 1.5");
    }
}

#[test]
fn near_capacity_the_p99_response_time_is_close_to_that_of_an_ideal_queue() {
    for seed in SEEDS {
        let scenario = Scenario::new(RoutingPolicy::LeastLoaded, 0.9, Fault::None, seed);
        let p99_ms = Report::percentile_ms(&run(&scenario).response_times_us, 99.0);
        let ideal_ms = Report::percentile_ms(&ideal_response_times_us(&scenario), 99.0);
        assert!(p99_ms <= 1.3 * ideal_ms, "seed {seed}: p99 {p99_ms:.1} ms, ideal p99 {ideal_ms:.1} ms");
    }
}

#[test]
fn outcomes_are_correct_retries_few_and_recovery_fast_under_every_fault_and_load() {
    for seed in SEEDS {
        for fault in Fault::ALL {
            for load in LOADS {
                let scenario = Scenario::new(RoutingPolicy::LeastLoaded, load, fault, seed);
                let report = run(&scenario);
                let case = format!("{} at load {load}, seed {seed}", fault.name());
                assert_eq!((report.duplicates, report.wrong_outcomes), (0, 0), "{case}: duplicates, wrong outcomes");
                assert!(
                    report.retries_per_request() <= 0.1,
                    "{case}: {} retries per request",
                    report.retries_per_request()
                );
                assert!(
                    report.recovery_s(&scenario) <= 2.0,
                    "{case}: recovered after {} s",
                    report.recovery_s(&scenario)
                );
            }
        }
    }
}

#[test]
fn goodput_is_shared_fairly_between_callers_under_overload() {
    for seed in SEEDS {
        for load in [1.5, 5.0] {
            let report = run(&Scenario::new(RoutingPolicy::LeastLoaded, load, Fault::None, seed));
            assert!(report.fairness() >= 0.98, "load {load}, seed {seed}: fairness {}", report.fairness());
        }
    }
}
