//! What one daemon knows of one endpoint.

use std::sync::Arc;

use super::health::Health;
use super::DispatchSettings;
use crate::platform::HostEntry;

/// Weight of the latest latency in the average.
const LATENCY_WEIGHT: f64 = 0.1;
/// Latency above the best by this factor makes the learned limit shrink.
const CONGESTED_FACTOR: f64 = 2.0;
const SHRINK_FACTOR: f64 = 0.9;
/// Weight of a latency without company in the best latency, so that a lasting change is learned.
const ALONE_WEIGHT: f64 = 0.2;

/// Load that an endpoint tells with its answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests at the endpoint, running or waiting there, without the one answered.
    pub in_flight: u32,
    /// Requests that it runs at once.
    pub slots: u32,
}

#[derive(Debug, Clone, Copy)]
struct SeenLoad {
    at_us: u64,
    /// Requests of other daemons.
    others: u32,
    slots: u32,
}

/// Concurrency learned from latency, for endpoints that tell no load.
#[derive(Debug, Clone)]
struct LearnedLimit {
    limit: f64,
    best_us: f64,
}

/// State of one endpoint.
#[derive(Debug, Clone)]
pub(super) struct Endpoint {
    pub(super) host: Arc<HostEntry>,
    pub(super) health: Health,
    pub(super) in_flight: u32,
    pub(super) local: bool,
    seen: Option<SeenLoad>,
    learned: LearnedLimit,
}

impl Endpoint {
    pub(super) fn new(host: Arc<HostEntry>, local: bool, settings: &DispatchSettings) -> Endpoint {
        Endpoint {
            host,
            health: Health::new(),
            in_flight: 0,
            local,
            seen: None,
            learned: LearnedLimit { limit: f64::from(settings.default_slots), best_us: f64::INFINITY },
        }
    }

    /// Takes a load report that came with an answer; `in_flight` no longer counts the answered request.
    pub(super) fn report(&mut self, now_us: u64, load: LoadReport) {
        let others = load.in_flight.saturating_sub(self.in_flight);
        self.seen = Some(SeenLoad { at_us: now_us, others, slots: load.slots.max(1) });
    }

    /// Learns from the time that an answer took.
    pub(super) fn learn(&mut self, latency_us: u64) {
        let latency_us = latency_us as f64;
        let learned = &mut self.learned;
        if latency_us < learned.best_us {
            learned.best_us = latency_us;
        } else if self.in_flight == 0 {
            // Nothing of this daemon's was in the way, so the endpoint itself has become slower. A limit that shrinks for
            // this reason ends here.
            learned.best_us += ALONE_WEIGHT * (latency_us - learned.best_us);
        }
        if latency_us > learned.best_us * CONGESTED_FACTOR {
            let weight = LATENCY_WEIGHT;
            learned.limit = learned.limit * (1.0 - weight) + learned.limit * SHRINK_FACTOR * weight;
        } else if f64::from(self.in_flight + 1) >= learned.limit.floor() {
            learned.limit += 1.0 / learned.limit;
        }
        learned.limit = learned.limit.max(1.0);
    }

    /// Slots that the endpoint is believed to have.
    pub(super) fn slots(&self, settings: &DispatchSettings) -> u32 {
        self.seen.map_or(settings.default_slots, |seen| seen.slots)
    }

    /// Requests of other daemons at the endpoint; a report loses weight with age.
    pub(super) fn others(&self, now_us: u64, settings: &DispatchSettings) -> f64 {
        let Some(seen) = self.seen else { return 0.0 };
        let age_us = now_us.saturating_sub(seen.at_us).min(settings.load_stale_us);
        let freshness = 1.0 - age_us as f64 / settings.load_stale_us as f64;
        f64::from(seen.others) * freshness
    }

    /// Share of its slots in use.
    pub(super) fn load(&self, now_us: u64, settings: &DispatchSettings) -> f64 {
        (f64::from(self.in_flight) + self.others(now_us, settings)) / f64::from(self.slots(settings))
    }

    /// Requests that this daemon may have at the endpoint at once, by what others have there.
    pub(super) fn limit(&self, now_us: u64, settings: &DispatchSettings) -> u32 {
        if self.seen.is_none() {
            return self.learned.limit as u32;
        }
        let room = f64::from(self.slots(settings) + settings.slack) - self.others(now_us, settings);
        (room.round().max(1.0)) as u32
    }
}
