//! Load and concurrency limit of one endpoint, as this daemon knows them.

use std::sync::Arc;

use super::health::Health;
use super::DispatchSettings;
use crate::platform::HostEntry;

/// Weight of a single congested answer in the adaptive limit.
const LIMIT_SMOOTHING: f64 = 0.1;
/// An answer that takes longer than the baseline by this factor is a sign of congestion.
const CONGESTION_FACTOR: f64 = 2.0;
/// Factor by which congestion reduces the adaptive limit.
const LIMIT_DECREASE_FACTOR: f64 = 0.9;
/// Weight of a latency above the baseline, measured with no other request of this daemon in flight. It lets the
/// baseline follow an endpoint that has become slower for good.
const BASELINE_WEIGHT: f64 = 0.2;

/// Load that an endpoint reports with its answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests running or queued at the endpoint, without the one answered.
    pub in_flight: u32,
    /// Requests that it runs at once.
    pub slots: u32,
}

#[derive(Debug, Clone, Copy)]
struct ReportedLoad {
    at_us: u64,
    /// Requests of other daemons.
    others_in_flight: u32,
    slots: u32,
}

/// Concurrency limit estimated from latency, for endpoints that report no load.
#[derive(Debug, Clone)]
struct AdaptiveLimit {
    limit: f64,
    /// Latency without congestion.
    baseline_us: f64,
}

/// An endpoint as this daemon sees it.
#[derive(Debug, Clone)]
pub(super) struct Endpoint {
    pub(super) host: Arc<HostEntry>,
    pub(super) health: Health,
    /// Requests of this daemon.
    pub(super) in_flight: u32,
    /// Whether it is in the daemon's availability zone.
    pub(super) is_local: bool,
    reported: Option<ReportedLoad>,
    adaptive: AdaptiveLimit,
}

impl Endpoint {
    pub(super) fn new(host: Arc<HostEntry>, is_local: bool, settings: &DispatchSettings) -> Endpoint {
        Endpoint {
            host,
            health: Health::new(),
            in_flight: 0,
            is_local,
            reported: None,
            adaptive: AdaptiveLimit { limit: f64::from(settings.default_slots), baseline_us: f64::INFINITY },
        }
    }

    /// Records the load reported with an answer; `in_flight` must no longer count the answered request.
    pub(super) fn record_load(&mut self, now_us: u64, load: LoadReport) {
        let others_in_flight = load.in_flight.saturating_sub(self.in_flight);
        self.reported = Some(ReportedLoad { at_us: now_us, others_in_flight, slots: load.slots.max(1) });
    }

    /// Adjusts the adaptive limit to the latency of an answer; `in_flight` must no longer count the answered request.
    pub(super) fn record_latency(&mut self, latency_us: u64) {
        let latency_us = latency_us as f64;
        let adaptive = &mut self.adaptive;
        if latency_us < adaptive.baseline_us {
            adaptive.baseline_us = latency_us;
        } else if self.in_flight == 0 {
            // No other request of this daemon delayed the answer, so the endpoint itself has become slower. Raising the
            // baseline stops the limit from shrinking further for this reason.
            adaptive.baseline_us += BASELINE_WEIGHT * (latency_us - adaptive.baseline_us);
        }
        if latency_us > adaptive.baseline_us * CONGESTION_FACTOR {
            let weight = LIMIT_SMOOTHING;
            adaptive.limit = adaptive.limit * (1.0 - weight) + adaptive.limit * LIMIT_DECREASE_FACTOR * weight;
        } else if f64::from(self.in_flight + 1) >= adaptive.limit.floor() {
            adaptive.limit += 1.0 / adaptive.limit;
        }
        adaptive.limit = adaptive.limit.max(1.0);
    }

    /// Slots by the last load report, or the default.
    pub(super) fn slots(&self, settings: &DispatchSettings) -> u32 {
        self.reported.map_or(settings.default_slots, |reported| reported.slots)
    }

    /// Requests of other daemons by the last load report, whose weight falls linearly to zero as it ages.
    pub(super) fn others_in_flight(&self, now_us: u64, settings: &DispatchSettings) -> f64 {
        let Some(reported) = self.reported else { return 0.0 };
        let age_us = now_us.saturating_sub(reported.at_us).min(settings.load_report_max_age_us);
        let weight = 1.0 - age_us as f64 / settings.load_report_max_age_us as f64;
        f64::from(reported.others_in_flight) * weight
    }

    /// Requests at the endpoint divided by its slots; above 1 if requests queue there.
    pub(super) fn load(&self, now_us: u64, settings: &DispatchSettings) -> f64 {
        (f64::from(self.in_flight) + self.others_in_flight(now_us, settings)) / f64::from(self.slots(settings))
    }

    /// Requests that this daemon may have at the endpoint at once: the slots that other daemons leave free and
    /// [`DispatchSettings::extra_slots`], or the adaptive limit if the endpoint reports no load.
    pub(super) fn max_in_flight(&self, now_us: u64, settings: &DispatchSettings) -> u32 {
        if self.reported.is_none() {
            return self.adaptive.limit as u32;
        }
        let free = f64::from(self.slots(settings) + settings.extra_slots) - self.others_in_flight(now_us, settings);
        (free.round().max(1.0)) as u32
    }
}
