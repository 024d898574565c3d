//! Decodes the rows that operators write to the row store: the configuration and maintenance waves.
//!
//! In these rows, a queue is a route, a pool is a service, a host is a machine and an organisation is a tenant.

use std::sync::Arc;

use serde::de::DeserializeOwned;
use serde::Deserialize;

use crate::sched::model::{AdvicePolicy, Catalog, PoolConfig, Queue, Resources, WaveOrder};
use crate::sched::organisation::{InvalidOrganisation, Organisation, Organisations};

/// [`Queue::stretch`] of a route that does not set one.
const DEFAULT_STRETCH: f64 = 2.0;
/// [`Organisation::weight`] of a tenant that does not set one.
const DEFAULT_WEIGHT: f64 = 1.0;

/// Why an operator's row cannot be used.
#[derive(Debug, thiserror::Error)]
pub(crate) enum InvalidRow {
    #[error("not a valid row: {path}: {problem}")]
    Syntax { path: String, problem: String },
    #[error(transparent)]
    Organisation(#[from] InvalidOrganisation),
}

#[derive(Deserialize)]
struct ConfigBody {
    version: u64,
    #[serde(default)]
    routes: Vec<RouteBody>,
    #[serde(default)]
    services: Vec<ServiceBody>,
    // Absent if the fleet is not shared; callers then need no keys.
    tenants: Option<Vec<TenantBody>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct TenantBody {
    name: Arc<str>,
    api_keys: Option<Vec<String>>,
    weight: Option<f64>,
    cap: Option<CapBody>,
}

// What a tenant may have running, its quota; 0 means no limit.
#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct CapBody {
    // Thousandths of a core.
    cpu: f64,
    mem_mb: f64,
    gpu: f64,
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
    // Whether callers need no key.
    #[serde(default)]
    public: bool,
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

fn parse<T: DeserializeOwned>(value: &[u8]) -> Result<T, InvalidRow> {
    let mut deserializer = serde_json::Deserializer::from_slice(value);
    let body = serde_path_to_error::deserialize(&mut deserializer)
        .map_err(|error| InvalidRow::Syntax { path: error.path().to_string(), problem: describe(error.inner()) })?;
    let at_end = deserializer.end();
    at_end.map_err(|error| InvalidRow::Syntax { path: "end".to_owned(), problem: describe(&error) })?;
    Ok(body)
}

/// What is wrong with a field, without its value, which may be a key.
fn describe(error: &serde_json::Error) -> String {
    const EXPECTED: &str = ", expected ";
    let text = error.to_string();
    match text.rfind(EXPECTED) {
        Some(position) if text.starts_with("invalid ") => format!("must be {}", &text[position + EXPECTED.len()..]),
        _ => text,
    }
}

/// Decodes the configuration.
pub(crate) fn decode_catalog(value: &[u8]) -> Result<Catalog, InvalidRow> {
    let body: ConfigBody = parse(value)?;
    let is_shared = body.tenants.is_some();
    let organisations = decode_organisations(body.tenants.unwrap_or_default())?;
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
            requires_key: is_shared && !route.public,
        }));
    }
    let pools = body.services.into_iter().map(|service| PoolConfig { name: service.name, spare: service.spare });
    Ok(Catalog { version: body.version, queues, pools: pools.collect(), organisations })
}

fn decode_organisations(tenants: Vec<TenantBody>) -> Result<Organisations, InvalidOrganisation> {
    let mut organisations = Organisations::default();
    for (index, tenant) in tenants.into_iter().enumerate() {
        let weight = tenant.weight.unwrap_or(DEFAULT_WEIGHT);
        let cap = tenant.cap.unwrap_or_default();
        let fields = [("weight", weight), ("cap.cpu", cap.cpu), ("cap.memMb", cap.mem_mb), ("cap.gpu", cap.gpu)];
        if let Some((field, _)) = fields.into_iter().find(|(_, value)| *value < 0.0) {
            return Err(InvalidOrganisation::Negative { index, name: tenant.name, field });
        }
        let cap = Resources { cpu_milli: limit(cap.cpu), mem_mb: limit(cap.mem_mb), gpus: limit(cap.gpu) };
        let organisation = Organisation { name: tenant.name, weight, cap };
        let keys = tenant.api_keys.unwrap_or_default();
        organisations.add(organisation, keys.iter().map(String::as_str))?;
    }
    Ok(organisations)
}

fn limit(value: f64) -> u64 {
    if value == 0.0 {
        return u64::MAX;
    }
    value as u64
}

/// Decodes a maintenance wave.
pub(crate) fn decode_wave(value: &[u8]) -> Result<WaveOrder, InvalidRow> {
    let body: WaveBody = parse(value)?;
    Ok(WaveOrder {
        number: body.wave,
        hosts: body.machines,
        duration_ms: (body.duration_s * 1_000.0) as u64,
        max_down: body.cap.max(1),
    })
}
