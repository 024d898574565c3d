//! The request decisions under load and faults, in virtual time with fixed seeds, held to their targets.

#![allow(dead_code, reason = "the simulation serves a benchmark, too")]

#[path = "support/sim.rs"]
mod sim;

use sardineseam::dispatch::RoutingPolicy;

use sim::{ideal_times_us, run, Fault, Report, Scenario};

const SEEDS: [u64; 2] = [1, 2];
const LOADS: [f64; 4] = [0.05, 0.5, 0.9, 1.5];
/// Share of the capacity that is left during the fault, over the whole run.
fn possible(fault: Fault, scenario: &Scenario) -> f64 {
    let share = (scenario.fault_until_us - scenario.fault_from_us) as f64 / scenario.duration_us as f64;
    match fault {
        Fault::FailingEndpoint | Fault::PlatformOutage => 1.0 - share * 0.1,
        Fault::SlowEndpoint => 1.0 - share * 0.09,
        Fault::None | Fault::LyingEndpoint | Fault::SilentPath | Fault::ZoneCut => 1.0,
    }
}

#[test]
fn goodput_under_overload_stays_at_capacity() {
    for seed in SEEDS {
        for fault in Fault::ALL {
            let at = |load| Scenario::new(RoutingPolicy::LeastLoaded, load, fault, seed);
            let goodput = run(&at(5.0)).goodput(&at(5.0));
            let limit = 0.95 * possible(fault, &at(5.0));
            assert!(goodput >= limit, "{} seed {seed}: {goodput:.3} of {limit:.3}", fault.name());
        }
    }
}

#[test]
fn goodput_at_five_times_the_capacity_is_not_below_that_at_one_and_a_half() {
    for seed in SEEDS {
        let at = |load| Scenario::new(RoutingPolicy::LeastLoaded, load, Fault::None, seed);
        let (heavy, light) = (run(&at(5.0)).goodput(&at(5.0)), run(&at(1.5)).goodput(&at(1.5)));
        assert!(heavy >= light, "seed {seed}: {heavy:.4} at 5, {light:.4} at 1.5");
    }
}

#[test]
fn near_capacity_the_slowest_hundredth_is_close_to_the_ideal_queue() {
    for seed in SEEDS {
        let scenario = Scenario::new(RoutingPolicy::LeastLoaded, 0.9, Fault::None, seed);
        let p99_ms = Report::percentile_ms(&run(&scenario).times_us, 99.0);
        let ideal_ms = Report::percentile_ms(&ideal_times_us(&scenario), 99.0);
        assert!(p99_ms <= 1.3 * ideal_ms, "seed {seed}: {p99_ms:.1} ms, ideal {ideal_ms:.1} ms");
    }
}

#[test]
fn outcomes_are_true_and_retries_few_under_every_fault_and_load() {
    for seed in SEEDS {
        for fault in Fault::ALL {
            for load in LOADS {
                let scenario = Scenario::new(RoutingPolicy::LeastLoaded, load, fault, seed);
                let report = run(&scenario);
                let cell = format!("{} at {load}, seed {seed}", fault.name());
                assert_eq!((report.duplicates, report.wrong_outcomes), (0, 0), "{cell}");
                assert!(report.retries_per_request() <= 0.1, "{cell}: {}", report.retries_per_request());
                assert!(report.recovery_s(&scenario) <= 2.0, "{cell}: {}", report.recovery_s(&scenario));
            }
        }
    }
}

#[test]
fn the_busiest_caller_takes_only_what_the_others_leave() {
    for seed in SEEDS {
        for load in [1.5, 5.0] {
            let report = run(&Scenario::new(RoutingPolicy::LeastLoaded, load, Fault::None, seed));
            assert!(report.fairness() >= 0.98, "load {load}, seed {seed}: {}", report.fairness());
        }
    }
}
