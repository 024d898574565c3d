//! Decodes the rows that operators write to the row store: the configuration and maintenance waves.
//!
//! In these rows, a queue is a route, a pool is a service and a host is a machine.

use std::sync::Arc;

use serde::Deserialize;

use crate::sched::model::{AdvicePolicy, Catalog, PoolConfig, Queue, WaveOrder};

/// [`Queue::stretch`] of a route that does not set one.
const DEFAULT_STRETCH: f64 = 2.0;

#[derive(Deserialize)]
struct ConfigBody {
    version: u64,
    #[serde(default)]
    routes: Vec<RouteBody>,
    #[serde(default)]
    services: Vec<ServiceBody>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RouteBody {
    name: Arc<str>,
    host: Arc<str>,
    path_prefix: Arc<str>,
    service: Arc<str>,
    #[serde(default)]
    priority: u32,
    #[serde(default = "default_attempts")]
    attempts: u32,
    stretch: Option<f64>,
    #[serde(default)]
    target_latency_ms: f64,
    advice: Option<AdviceBody>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct AdviceBody {
    #[serde(default)]
    valid_ms: u64,
}

#[derive(Deserialize)]
struct ServiceBody {
    name: Arc<str>,
    #[serde(default)]
    spare: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WaveBody {
    wave: u64,
    machines: Vec<Arc<str>>,
    // Time within which the whole wave should be complete.
    duration_s: f64,
    // Maximum number of the wave's machines that may be down at the same time.
    cap: u32,
}

fn default_attempts() -> u32 {
    1
}

/// Decodes the configuration.
pub(crate) fn decode_catalog(value: &[u8]) -> Result<Catalog, serde_json::Error> {
    let body: ConfigBody = serde_json::from_slice(value)?;
    let mut queues = Vec::with_capacity(body.routes.len());
    for route in body.routes {
        queues.push(Arc::new(Queue {
            name: route.name,
            host: route.host,
            path_prefix: route.path_prefix,
            pool: route.service,
            priority: route.priority,
            max_attempts: route.attempts.max(1),
            stretch: route.stretch.unwrap_or(DEFAULT_STRETCH),
            target_latency_ms: route.target_latency_ms as u64,
            advice: route.advice.map(|advice| AdvicePolicy { valid_ms: advice.valid_ms }),
        }));
    }
    let pools = body.services.into_iter().map(|service| PoolConfig { name: service.name, spare: service.spare });
    Ok(Catalog { version: body.version, queues, pools: pools.collect() })
}

/// Decodes a maintenance wave.
pub(crate) fn decode_wave(value: &[u8]) -> Result<WaveOrder, serde_json::Error> {
    let body: WaveBody = serde_json::from_slice(value)?;
    Ok(WaveOrder {
        number: body.wave,
        hosts: body.machines,
        duration_ms: (body.duration_s * 1_000.0) as u64,
        max_down: body.cap.max(1),
    })
}
