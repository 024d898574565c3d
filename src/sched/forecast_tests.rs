//! Tests of the demand forecast, on arrivals of several shapes.

use std::sync::Arc;

use super::forecast::{ArrivalGrowth, DemandForecast};
use super::job::Job;
use super::sim::{spec, step};

const SECOND_US: u64 = 1_000_000;
const LEAD_MS: u64 = 1_500;
/// Work of one job of [`job`], in thousandths of a core times seconds: seven tasks of 2 cores and 0.5 s.
const JOB_WORK_MILLI_S: f64 = 7_000.0;

fn job() -> Job {
    let mut job = Job::new("job".into(), Arc::new(spec(vec![step(4, &[]), step(3, &[0])])));
    job.begin_occurrence(0);
    job
}

/// Forecasts in steps of 100 ms for jobs that arrive at `jobs_per_s`, which is given the time in seconds.
fn forecasts(seconds: f64, jobs_per_s: impl Fn(f64) -> f64) -> Vec<f64> {
    const STEP_US: u64 = 1_000;
    let mut forecast = DemandForecast::new(LEAD_MS, ArrivalGrowth::default());
    let (mut due_jobs, mut forecasts) = (0.0, Vec::new());
    for step in 1..=(seconds * 1_000.0) as u64 {
        let now_us = SECOND_US + step * STEP_US;
        due_jobs += jobs_per_s(step as f64 / 1_000.0) / 1_000.0;
        while due_jobs >= 1.0 {
            forecast.record_arrival(now_us, &"press".into(), &job(), 1.0);
            due_jobs -= 1.0;
        }
        if step % 100 == 0 {
            forecasts.push(forecast.arriving_demand_milli(now_us, "press") as f64);
        }
    }
    forecasts
}

#[test]
fn arriving_jobs_count_as_demand_before_their_tasks_wait() {
    let mut forecast = DemandForecast::new(LEAD_MS, ArrivalGrowth::default());

    // Ten jobs per second for longer than the longest window.
    for number in 0..18 {
        forecast.record_arrival(SECOND_US + number * 100_000, &"press".into(), &job(), 1.0);
    }

    assert_eq!(forecast.arriving_demand_milli(SECOND_US + 1_750_000, "press"), 70_000);
    assert_eq!(forecast.arriving_demand_milli(9 * SECOND_US, "press"), 0);
}

#[test]
fn steady_arrivals_are_forecast_at_their_rate() {
    let forecasts = forecasts(4.0, |_| 50.0);

    for (index, forecast) in forecasts.iter().enumerate().skip(7) {
        let ratio = forecast / (50.0 * JOB_WORK_MILLI_S);
        assert!((0.9..1.5).contains(&ratio), "at {} ms: {ratio}", index * 100 + 100);
    }
}

#[test]
fn rise_is_forecast_as_early_as_a_host_takes_to_move() {
    for rise_s in [2.0, 4.0] {
        let jobs_per_s = |time_s: f64| 20.0 + 600.0 * (time_s - 1.0).clamp(0.0, rise_s) / rise_s;
        let forecasts = forecasts(1.0 + rise_s, jobs_per_s);

        // From 600 ms after the beginning of the rise, when the whole window lies in it.
        for (index, forecast) in forecasts.iter().enumerate().skip(16) {
            let time_s = (index + 1) as f64 / 10.0;
            let needed = jobs_per_s(time_s + LEAD_MS as f64 / 1_000.0) * JOB_WORK_MILLI_S;
            assert!(*forecast >= 0.8 * needed, "rise of {rise_s} s, at {time_s} s: {forecast} of {needed}");
        }
    }
}

#[test]
fn one_job_is_no_steep_rise() {
    let forecasts = forecasts(2.0, |time_s| if (0.5..0.6).contains(&time_s) { 10.0 } else { 0.0 });

    let highest = forecasts.iter().copied().fold(0.0, f64::max);
    assert!(highest <= 4.0 * JOB_WORK_MILLI_S / 0.6, "{highest}");
}

#[test]
fn forecast_falls_to_zero_when_a_turn_ends_or_does_not_come() {
    let ended = forecasts(3.0, |time_s| if time_s < 2.0 { 60.0 } else { 0.0 });
    let absent = forecasts(3.0, |_| 0.0);

    assert_eq!(ended[26..], [0.0; 4], "0.7 s after the last job");
    assert_eq!(absent, [0.0; 30]);
}
