//! Load and concurrency limit of one endpoint, as this daemon knows them.

use std::sync::Arc;

use super::health::Health;
use super::DispatchSettings;
use crate::platform::HostEntry;

/// Weight of a single congested response in the adaptive limit.
const LIMIT_SMOOTHING: f64 = 0.1;
/// A response whose latency exceeds the baseline by more than this factor is a sign of congestion.
const CONGESTION_FACTOR: f64 = 2.0;
/// Factor by which congestion multiplies the adaptive limit, before smoothing.
const LIMIT_DECREASE_FACTOR: f64 = 0.9;
/// Weight in the baseline of a latency above it, measured with no other request of this daemon in flight. It lets the
/// baseline follow an endpoint that has become slower for good.
const BASELINE_WEIGHT: f64 = 0.2;

/// Load that an endpoint reports with its responses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests running or queued at the endpoint, without the one that the response belongs to.
    pub in_flight: u32,
    /// Maximum number of requests that the endpoint runs at once.
    pub slots: u32,
}

/// Last load report of an endpoint, without the requests of this daemon.
#[derive(Debug, Clone, Copy)]
struct ReportedLoad {
    received_at_us: u64,
    /// Requests of other daemons in flight at the endpoint.
    others_in_flight: u32,
    slots: u32,
}

/// Concurrency limit estimated from latency, for endpoints that report no load.
#[derive(Debug, Clone)]
struct AdaptiveLimit {
    limit: f64,
    /// Estimated latency without congestion; infinite until the first response.
    baseline_us: f64,
}

/// An endpoint as this daemon sees it.
#[derive(Debug, Clone)]
pub(super) struct Endpoint {
    pub(super) host: Arc<HostEntry>,
    pub(super) health: Health,
    /// Requests of this daemon in flight at the endpoint.
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

    /// Records the load reported with a response; `in_flight` must no longer count the request it belongs to.
    pub(super) fn record_load(&mut self, now_us: u64, load: LoadReport) {
        let others_in_flight = load.in_flight.saturating_sub(self.in_flight);
        self.reported = Some(ReportedLoad { received_at_us: now_us, others_in_flight, slots: load.slots.max(1) });
    }

    /// Adjusts the adaptive limit to the latency of a response; `in_flight` must no longer count the request it belongs
    /// to.
    pub(super) fn record_latency(&mut self, latency_us: u64) {
        let latency_us = latency_us as f64;
        let adaptive = &mut self.adaptive;
        if latency_us < adaptive.baseline_us {
            adaptive.baseline_us = latency_us;
        } else if self.in_flight == 0 {
            // No other request of this daemon delayed the response, so the endpoint itself has become slower. Raising
            // the baseline stops the limit from shrinking further for this reason.
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

    /// Slots according to the last load report, or the default.
    pub(super) fn slots(&self, settings: &DispatchSettings) -> u32 {
        self.reported.map_or(settings.default_slots, |reported| reported.slots)
    }

    /// Requests of other daemons according to the last load report, whose weight falls linearly to zero as it ages.
    pub(super) fn others_in_flight(&self, now_us: u64, settings: &DispatchSettings) -> f64 {
        let Some(reported) = self.reported else { return 0.0 };
        let age_us = now_us.saturating_sub(reported.received_at_us).min(settings.load_report_max_age_us);
        let weight = 1.0 - age_us as f64 / settings.load_report_max_age_us as f64;
        f64::from(reported.others_in_flight) * weight
    }

    /// Requests at the endpoint divided by its slots; above 1 if requests queue there.
    pub(super) fn load(&self, now_us: u64, settings: &DispatchSettings) -> f64 {
        (f64::from(self.in_flight) + self.others_in_flight(now_us, settings)) / f64::from(self.slots(settings))
    }

    /// Requests that this daemon may have at the endpoint at once: the slots that other daemons leave free plus
    /// [`DispatchSettings::extra_slots`], or the adaptive limit if the endpoint reports no load.
    pub(super) fn max_in_flight(&self, now_us: u64, settings: &DispatchSettings) -> u32 {
        if self.reported.is_none() {
            return self.adaptive.limit as u32;
        }
        let free = f64::from(self.slots(settings) + settings.extra_slots) - self.others_in_flight(now_us, settings);
        (free.round().max(1.0)) as u32
    }
}
