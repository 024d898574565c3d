//! Answers callers.

use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_TYPE, HOST, RETRY_AFTER};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use metrics_exporter_prometheus::PrometheusHandle;

use super::intake::{self, Stored};
use super::{job_partition, Node, JOB_TABLE, OVER_TABLE};
use crate::clock::{US_PER_MS, US_PER_S};
use crate::held_body::{collect, ByteBudget};
use crate::http_server::{Body, Handler};
use crate::platform::callers::{is_job_id, job_spec, pending_body, phase_body, DEADLINE_MS};
use crate::sched::model::{Catalog, JobId, JobPhase, Queue};
use crate::sched::record::{decode_final_phase, encode_spec};
use crate::store::StoreError;

const MAX_BODY_BYTES: usize = 262_144;
const MAX_HELD_BYTES: usize = 24 << 20;
/// Deadline of requests that name none.
const DEFAULT_DEADLINE_MS: u64 = 3_000;
/// Part of a caller's time in which the store must say whether a job is stored.
const DEADLINE_SHARE: f64 = 0.6;
/// When a caller is told to come back while something is away for a moment.
const RETRY_AFTER_S: u64 = 1;

/// Answers the platform's question whether this daemon takes new connections.
pub(super) fn readiness_handler(node: &Rc<Node>) -> Handler {
    let node = node.clone();
    Rc::new(move |_| {
        let is_ready = node.catalog.borrow().is_some() && !node.is_stopping.get() && node.store_is_near();
        let status = if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        Box::pin(async move { plain(status, "") })
    })
}

/// Shows the process's metrics.
pub(super) fn metrics_handler(metrics: PrometheusHandle) -> Handler {
    Rc::new(move |_| {
        let text = metrics.render();
        Box::pin(async move { Response::new(Full::new(text.into())) })
    })
}

/// Answers callers' requests.
pub(super) fn handler(node: &Rc<Node>) -> Handler {
    let node = node.clone();
    let budget = ByteBudget::new(MAX_HELD_BYTES);
    Rc::new(move |request| {
        let node = node.clone();
        let budget = budget.clone();
        Box::pin(async move { answer(&node, request, &budget).await })
    })
}

async fn answer(node: &Rc<Node>, request: Request<Incoming>, budget: &ByteBudget) -> Response<Body> {
    let arrived_us = node.now_us();
    let (head, body) = request.into_parts();
    let body = match collect(body, MAX_BODY_BYTES, budget).await {
        Ok(body) => body,
        Err(error) => return plain(StatusCode::PAYLOAD_TOO_LARGE, &error.to_string()),
    };
    let Some(catalog) = node.catalog.borrow().clone() else {
        return unavailable("no configuration yet");
    };
    let path = head.uri.path();
    let Some(queue) = queue_of(&catalog, &head.headers, path) else {
        return plain(StatusCode::NOT_FOUND, "no such queue");
    };
    let rest = path[queue.path_prefix.len()..].trim_end_matches('/');
    if rest.is_empty() && head.method == Method::GET {
        let pending = node.status.borrow().pending(&queue.name);
        return json(StatusCode::OK, pending_body(pending));
    }
    if !is_job_id(rest) {
        return plain(StatusCode::NOT_FOUND, "a job's name has 16 hexadecimal digits");
    }
    let id: JobId = rest.into();
    match head.method {
        Method::POST => submit(node, &queue, id, &body.bytes, deadline_us(arrived_us, &head.headers)).await,
        Method::GET => tell(node, &id).await,
        Method::DELETE => cancel(node, &id).await,
        _ => plain(StatusCode::METHOD_NOT_ALLOWED, "POST, GET or DELETE"),
    }
}

fn queue_of(catalog: &Catalog, headers: &HeaderMap, path: &str) -> Option<Arc<Queue>> {
    let host = headers.get(HOST)?.to_str().ok()?;
    let host = host.split(':').next().unwrap_or(host);
    catalog.queue_for(host, path).cloned()
}

fn deadline_us(arrived_us: u64, headers: &HeaderMap) -> u64 {
    let told = headers.get(DEADLINE_MS).and_then(|value| value.to_str().ok()).and_then(|text| text.parse().ok());
    let allowed_ms: u64 = told.unwrap_or(DEFAULT_DEADLINE_MS);
    arrived_us + (allowed_ms as f64 * DEADLINE_SHARE) as u64 * US_PER_MS
}

async fn submit(node: &Rc<Node>, queue: &Arc<Queue>, id: JobId, body: &[u8], deadline_us: u64) -> Response<Body> {
    let spec = match job_spec(queue, body, node.clock.unix_ms()) {
        Ok(spec) => spec,
        Err(error) => {
            log::info!("job={id} queue={} error={error} outcome=refused", queue.name);
            return plain(StatusCode::BAD_REQUEST, &error.to_string());
        }
    };
    if node.status.borrow().phase(&id).is_some() {
        return json(StatusCode::OK, "{}".to_owned());
    }
    let began_us = node.now_us();
    let stored = node.intake.submit(id.clone(), encode_spec(&spec), deadline_us).await;
    log::info!("job={id} queue={} stored={stored:?} outcome=submitted", queue.name);
    metrics::counter!("submissions_total", "stored" => stored.name()).increment(1);
    metrics::histogram!("submission_seconds").record((node.now_us() - began_us) as f64 / US_PER_S as f64);
    match stored {
        Stored::Yes => json(StatusCode::OK, "{}".to_owned()),
        Stored::No => unavailable("the store does not take the job now"),
        Stored::Unknown => plain(StatusCode::GATEWAY_TIMEOUT, "the job may have been stored; send it again"),
    }
}

/// Whether and how far a job is known: from this daemon's view or from the store.
async fn find(node: &Rc<Node>, id: &JobId) -> Result<Option<JobPhase>, Response<Body>> {
    if let Some(phase) = node.status.borrow().phase(id) {
        return Ok(Some(phase));
    }
    match read_phase(node, id).await {
        Ok(phase) => Ok(phase),
        Err(error) => {
            log::info!("job={id} error={error} outcome=state_unknown");
            Err(unavailable("the store cannot be read now"))
        }
    }
}

/// A job's phase as the store alone tells it.
async fn read_phase(node: &Rc<Node>, id: &JobId) -> Result<Option<JobPhase>, StoreError> {
    let partition = job_partition(id);
    let stored = node.store.read(JOB_TABLE, &partition, id, 1).await?;
    if stored.rows.iter().any(|row| row.at.key == *id && row.value.is_some()) {
        node.status.borrow_mut().note_stored(id);
        return Ok(Some(JobPhase::Queued));
    }
    let over = node.store.read(OVER_TABLE, &partition, id, 1).await?;
    let Some(row) = over.rows.iter().find(|row| row.at.key == *id) else { return Ok(None) };
    let Some(value) = &row.value else { return Ok(None) };
    decode_final_phase(value).map(Some).map_err(|error| StoreError::Protocol(error.to_string()))
}

async fn tell(node: &Rc<Node>, id: &JobId) -> Response<Body> {
    match find(node, id).await {
        Ok(Some(phase)) => json(StatusCode::OK, phase_body(phase)),
        Ok(None) => plain(StatusCode::GONE, "no such job"),
        Err(response) => response,
    }
}

async fn cancel(node: &Rc<Node>, id: &JobId) -> Response<Body> {
    match find(node, id).await {
        Ok(Some(phase)) if phase.is_final() => return json(StatusCode::OK, "{}".to_owned()),
        Ok(Some(_)) => {}
        Ok(None) => return plain(StatusCode::GONE, "no such job"),
        Err(response) => return response,
    }
    let stored = intake::cancel(node, id).await;
    log::info!("job={id} stored={stored:?} outcome=cancel_asked");
    match stored {
        Stored::Yes => json(StatusCode::OK, "{}".to_owned()),
        Stored::No => unavailable("the store does not take the cancellation now"),
        Stored::Unknown => plain(StatusCode::GATEWAY_TIMEOUT, "the cancellation may have been stored; send it again"),
    }
}

fn unavailable(reason: &str) -> Response<Body> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, reason);
    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(RETRY_AFTER_S));
    // The caller's next connection may reach a daemon that can serve it.
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

fn plain(status: StatusCode, text: &str) -> Response<Body> {
    let body = match text {
        "" => Bytes::new(),
        text => Bytes::from(serde_json::json!({ "error": text }).to_string()),
    };
    json_bytes(status, body)
}

fn json(status: StatusCode, body: String) -> Response<Body> {
    json_bytes(status, body.into())
}

fn json_bytes(status: StatusCode, body: Bytes) -> Response<Body> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
