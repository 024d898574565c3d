//! HTTP handlers for callers' job requests and readiness checks.

#[cfg(test)]
mod http_api_tests;

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_TYPE, HOST, RETRY_AFTER, WWW_AUTHENTICATE};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;

use super::access::{authorize, AccessError, Caller};
use super::admission::{admit, AdmissionError};
use super::ownership::{find_job, read_job, JobLookup, StoredJob};
use super::submissions::{self, Stored};
use super::ControlDaemon;
use crate::buffered_body::{collect_body, BodyError, ByteBudget};
use crate::clock::US_PER_S;
use crate::http_server::{Body, Handler};
use crate::platform::job_api::{decode_job, is_job_id, job_state_body, pending_count_body, DEADLINE_HEADER};
use crate::row_store::RowStoreError;
use crate::sched::model::{Catalog, JobId, JobOrigin, JobSpec, Queue};

const MAX_BODY_BYTES: usize = 262_144;
/// Limit on all request bodies held in memory at the same time.
const MAX_HELD_BYTES: usize = 24 << 20;
/// Deadline of requests that do not set one.
const DEFAULT_DEADLINE_MS: u64 = 3_000;
/// A longer deadline that a caller gives is shortened to this.
const MAX_DEADLINE_MS: u64 = 60_000;
/// Share of the caller's deadline in which the store must confirm a submission.
const STORE_DEADLINE_SHARE: f64 = 0.6;
/// Value of the Retry-After header when the daemon or the store is temporarily unavailable.
const RETRY_AFTER_S: u64 = 1;
/// Reason in metrics of a refusal because the job belongs to another organisation, or to none.
const JOB_OF_OTHERS: &str = "job_of_others";

/// Answers the platform's readiness checks: whether this daemon accepts new connections.
pub(super) fn readiness_handler(daemon: &Rc<ControlDaemon>) -> Handler {
    let daemon = daemon.clone();
    Rc::new(move |_| {
        let is_ready = daemon.catalog().is_some() && !daemon.is_stopping.get() && daemon.is_store_reachable();
        let status = if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        Box::pin(async move { status_response(status, "") })
    })
}

/// Serves callers: submits jobs, reports their state, cancels them and counts the queued ones.
pub(super) fn job_handler(daemon: &Rc<ControlDaemon>) -> Handler {
    let daemon = daemon.clone();
    let budget = ByteBudget::new(MAX_HELD_BYTES);
    Rc::new(move |request| {
        let daemon = daemon.clone();
        let budget = budget.clone();
        Box::pin(async move { handle_request(&daemon, request, &budget).await })
    })
}

/// An authorised request about one job.
struct JobRequest {
    catalog: Arc<Catalog>,
    queue: Arc<Queue>,
    caller: Caller,
    id: JobId,
}

impl JobRequest {
    async fn find_job(&self, daemon: &Rc<ControlDaemon>) -> Result<JobLookup, RowStoreError> {
        find_job(daemon, &self.caller, &self.queue.name, &self.id).await
    }

    /// Where the caller submits jobs by this request.
    fn origin(&self) -> JobOrigin {
        JobOrigin { queue: self.queue.name.clone(), organisation: self.caller.organisation().cloned() }
    }

    /// Name of the caller's organisation in log lines.
    fn organisation(&self) -> &str {
        self.caller.organisation().map_or("", |name| name)
    }
}

async fn handle_request(daemon: &Rc<ControlDaemon>, request: Request<Incoming>, budget: &ByteBudget) -> Response<Body> {
    let arrived = Instant::now();
    let (parts, body) = request.into_parts();
    let body = match collect_body(body, MAX_BODY_BYTES, budget).await {
        Ok(body) => body,
        Err(error) => return body_error_response(&error),
    };
    daemon.refresh_configuration().await;
    let Some(catalog) = daemon.catalog() else {
        return unavailable("no configuration yet");
    };
    let path = parts.uri.path();
    let Some(queue) = queue_for_request(&catalog, &parts.headers, path) else {
        return status_response(StatusCode::NOT_FOUND, "no such queue");
    };
    let caller = match authorize(&catalog, daemon.may_accept_keys(), &queue, &parts.headers) {
        Ok(caller) => caller,
        Err(error) => return unauthorized(&queue, error),
    };
    let job_id = path[queue.path_prefix.len()..].trim_end_matches('/');
    if job_id.is_empty() && parts.method == Method::GET {
        let pending = daemon.status.borrow().pending_count(&queue.name);
        return json(StatusCode::OK, pending_count_body(pending));
    }
    if !is_job_id(job_id) {
        return status_response(StatusCode::NOT_FOUND, "a job's name has 16 hexadecimal digits");
    }
    let request = JobRequest { catalog, queue, caller, id: job_id.into() };
    match parts.method {
        Method::POST => submit_job(daemon, &request, &body.bytes, answer_deadline(arrived, &parts.headers)).await,
        Method::GET => get_job(daemon, &request).await,
        Method::DELETE => cancel_job(daemon, &request).await,
        _ => status_response(StatusCode::METHOD_NOT_ALLOWED, "POST, GET or DELETE"),
    }
}

/// Finds the queue by the request's path and its host name without the port.
fn queue_for_request(catalog: &Catalog, headers: &HeaderMap, path: &str) -> Option<Arc<Queue>> {
    let host = headers.get(HOST)?.to_str().ok()?;
    let host = host.split(':').next().unwrap_or(host);
    catalog.queue_for(host, path).cloned()
}

/// Time by which a submission is answered.
fn answer_deadline(arrived: Instant, headers: &HeaderMap) -> Instant {
    let requested_ms =
        headers.get(DEADLINE_HEADER).and_then(|value| value.to_str().ok()).and_then(|text| text.parse().ok());
    let allowed_ms: u64 = requested_ms.unwrap_or(DEFAULT_DEADLINE_MS).min(MAX_DEADLINE_MS);
    arrived + Duration::from_millis((allowed_ms as f64 * STORE_DEADLINE_SHARE) as u64)
}

async fn submit_job(
    daemon: &Rc<ControlDaemon>,
    request: &JobRequest,
    body: &[u8],
    deadline: Instant,
) -> Response<Body> {
    let JobRequest { queue, caller, id, .. } = request;
    let mut spec = match decode_job(queue, body, daemon.clock.unix_ms()) {
        Ok(spec) => spec,
        Err(error) => {
            log::info!("job={id} queue={} error={error} outcome=refused", queue.name);
            daemon.organisation_metrics.borrow().count_refused(caller.organisation());
            return status_response(StatusCode::BAD_REQUEST, &error.to_string());
        }
    };
    spec.organisation = caller.organisation().cloned();
    // Submitting is idempotent: repeating a known job succeeds without a write.
    if daemon.status.borrow().job(id).is_some() {
        return resubmission_response(daemon, request).await;
    }
    if !daemon.store.is_reachable() {
        let failing_ms = daemon.store.failing_ms();
        log::info!("job={id} queue={} failing_ms={failing_ms} outcome=refused_while_store_unreachable", queue.name);
        daemon.organisation_metrics.borrow().count_refused(caller.organisation());
        return unavailable("the store does not answer now");
    }
    if let Err(error) = admit_job(daemon, request, &spec) {
        if let Some(response) = not_admitted_response(daemon, request, &error).await {
            return response;
        }
    }
    let started_us = daemon.now_us();
    let mut stored = daemon.submissions.submit(id.clone(), &spec, caller, deadline).await;
    if stored == Stored::Existing && caller.organisation().is_none() && request.catalog.organisations.is_empty() {
        // Without organisations, all submissions of a job are its caller's.
        daemon.status.borrow_mut().mark_stored(id, None);
        stored = Stored::Yes;
    }
    log::info!("job={id} queue={} stored={stored:?} outcome=submitted", queue.name);
    metrics::counter!("submissions_total", "stored" => stored.label()).increment(1);
    metrics::histogram!("submission_seconds").record((daemon.now_us() - started_us) as f64 / US_PER_S as f64);
    match stored {
        Stored::Yes => {
            daemon.organisation_metrics.borrow().count_submitted(caller.organisation());
            json(StatusCode::OK, "{}".to_owned())
        }
        Stored::Existing => resubmission_response(daemon, request).await,
        Stored::Cancelled => {
            daemon.organisation_metrics.borrow().count_refused(caller.organisation());
            never_submitted_response(request)
        }
        Stored::No => {
            daemon.organisation_metrics.borrow().count_refused(caller.organisation());
            unavailable("the store does not take the job now")
        }
        Stored::Unknown => may_be_stored_response(),
        Stored::Refused(error) => unauthorized(queue, error),
    }
}

/// Decides whether a new job is accepted. Without organisations, each one is.
fn admit_job(daemon: &Rc<ControlDaemon>, request: &JobRequest, spec: &JobSpec) -> Result<(), AdmissionError> {
    let organisations = &request.catalog.organisations;
    if organisations.is_empty() {
        return Ok(());
    }
    admit(daemon.now_us(), spec, organisations, daemon.status.borrow().admission())
}

/// Response to a submission that is not admitted. `None` if the job may have been accepted before: its caller must not be
/// told that it never runs.
async fn not_admitted_response(
    daemon: &Rc<ControlDaemon>,
    request: &JobRequest,
    error: &AdmissionError,
) -> Option<Response<Body>> {
    match read_job(daemon, &request.id).await {
        Ok(StoredJob::Absent) => {}
        Ok(StoredJob::Job(_) | StoredJob::NeverSubmitted) => {
            return Some(resubmission_response(daemon, request).await);
        }
        Err(_) if matches!(error, AdmissionError::GangBeyondQuota { .. }) => return Some(may_be_stored_response()),
        Err(_) => return None,
    }
    let JobRequest { id, queue, .. } = request;
    let organisation = request.organisation();
    count_refusal(error.label());
    daemon.organisation_metrics.borrow().count_refused(request.caller.organisation());
    let mut response = status_response(StatusCode::TOO_MANY_REQUESTS, &error.to_string());
    match error {
        AdmissionError::WouldBeLate { wait_ms, retry_after_s, report_age_ms } => {
            log::info!(
                "job={id} queue={} organisation={organisation} wait_ms={wait_ms} report_age_ms={report_age_ms} \
                 retry_after_s={retry_after_s} outcome=refused_too_late",
                queue.name
            );
            response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(*retry_after_s));
        }
        AdmissionError::GangBeyondQuota { .. } => {
            log::info!(
                "job={id} queue={} organisation={organisation} error={error} outcome=refused_beyond_quota",
                queue.name
            );
        }
    }
    Some(response)
}

/// Response to a submission whose job ID is taken: by this job itself, or by one of others.
async fn resubmission_response(daemon: &Rc<ControlDaemon>, request: &JobRequest) -> Response<Body> {
    match request.find_job(daemon).await {
        Ok(JobLookup::Visible(_)) => json(StatusCode::OK, "{}".to_owned()),
        Ok(JobLookup::Hidden) => {
            log::info!(
                "job={} queue={} organisation={} outcome=refused_job_of_others",
                request.id,
                request.queue.name,
                request.organisation()
            );
            count_refusal(JOB_OF_OTHERS);
            status_response(StatusCode::CONFLICT, "another job has this ID")
        }
        Ok(JobLookup::NeverSubmitted) => never_submitted_response(request),
        // The job may be this caller's, so it must not be told that it never runs.
        Ok(JobLookup::Absent) => may_be_stored_response(),
        Err(error) => {
            log::info!("job={} error={error} outcome=phase_read_failed", request.id);
            may_be_stored_response()
        }
    }
}

/// Response to a submission of a job that was cancelled before; it never runs.
fn never_submitted_response(request: &JobRequest) -> Response<Body> {
    log::info!("job={} queue={} outcome=refused_cancelled_job", request.id, request.queue.name);
    count_refusal("cancelled_job");
    status_response(StatusCode::CONFLICT, "a job with this ID was cancelled before it was submitted; use another ID")
}

/// Response to a request for a job that does not exist, or that the caller may not see.
fn no_such_job(lookup: JobLookup) -> Response<Body> {
    if lookup == JobLookup::Hidden {
        count_refusal(JOB_OF_OTHERS);
    }
    status_response(StatusCode::GONE, "no such job")
}

fn lookup_error_response(request: &JobRequest, error: &RowStoreError) -> Response<Body> {
    log::info!("job={} error={error} outcome=phase_read_failed", request.id);
    unavailable("the store cannot be read now")
}

async fn get_job(daemon: &Rc<ControlDaemon>, request: &JobRequest) -> Response<Body> {
    match request.find_job(daemon).await {
        Ok(JobLookup::Visible(phase)) => json(StatusCode::OK, job_state_body(phase)),
        Ok(lookup) => no_such_job(lookup),
        Err(error) => lookup_error_response(request, &error),
    }
}

async fn cancel_job(daemon: &Rc<ControlDaemon>, request: &JobRequest) -> Response<Body> {
    let id = &request.id;
    // A job that is absent may be submitted while its cancellation is stored; the second attempt finds it.
    for _ in 0..2 {
        let lookup = match request.find_job(daemon).await {
            Ok(lookup) => lookup,
            Err(error) => return lookup_error_response(request, &error),
        };
        let stored = match lookup {
            JobLookup::Visible(phase) if phase.is_final() => return json(StatusCode::OK, "{}".to_owned()),
            JobLookup::Visible(_) => submissions::cancel(daemon, id).await,
            JobLookup::Hidden | JobLookup::NeverSubmitted => return no_such_job(lookup),
            // An earlier call may have sent a submission that the store performs later.
            JobLookup::Absent => submissions::cancel_before_submission(daemon, id, &request.origin()).await,
        };
        log::info!("job={id} lookup={lookup:?} stored={stored:?} outcome=cancel_requested");
        match stored {
            Stored::Yes if lookup == JobLookup::Absent => return no_such_job(lookup),
            Stored::Yes => return json(StatusCode::OK, "{}".to_owned()),
            Stored::Unknown => {
                let message = "the cancellation may have been stored; send it again";
                return status_response(StatusCode::GATEWAY_TIMEOUT, message);
            }
            Stored::Existing => {}
            Stored::No | Stored::Cancelled | Stored::Refused(_) => break,
        }
    }
    unavailable("the store does not take the cancellation now")
}

/// Response to a request that is not authorised; it has not run.
fn unauthorized(queue: &Queue, error: AccessError) -> Response<Body> {
    log::info!("queue={} error={error} outcome=unauthorized", queue.name);
    count_refusal(error.label());
    match error {
        AccessError::Unconfirmed => unavailable(&error.to_string()),
        AccessError::MissingKey | AccessError::Malformed | AccessError::UnknownKey => {
            let mut response = status_response(StatusCode::UNAUTHORIZED, &error.to_string());
            response.headers_mut().insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
            response
        }
    }
}

/// Counts a request that its caller's organisation or key rules out. The reasons are a closed set.
fn count_refusal(reason: &'static str) {
    metrics::counter!("refused_requests_total", "reason" => reason).increment(1);
}

fn may_be_stored_response() -> Response<Body> {
    status_response(StatusCode::GATEWAY_TIMEOUT, "the job may have been stored; send it again")
}

/// Response to a request whose body could not be read.
fn body_error_response(error: &BodyError) -> Response<Body> {
    match error {
        BodyError::TooLarge { .. } => status_response(StatusCode::PAYLOAD_TOO_LARGE, &error.to_string()),
        BodyError::BudgetExceeded => unavailable(&error.to_string()),
        BodyError::ReadFailed(_) => status_response(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}

fn unavailable(reason: &str) -> Response<Body> {
    let mut response = status_response(StatusCode::SERVICE_UNAVAILABLE, reason);
    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(RETRY_AFTER_S));
    // The caller's next connection may reach another daemon that can serve the request.
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

/// Response with an error message in its body, or with an empty body if the message is empty.
pub(super) fn status_response(status: StatusCode, message: &str) -> Response<Body> {
    let body = match message {
        "" => Bytes::new(),
        message => Bytes::from(serde_json::json!({ "error": message }).to_string()),
    };
    json_bytes(status, body)
}

pub(super) fn json(status: StatusCode, body: String) -> Response<Body> {
    json_bytes(status, body.into())
}

fn json_bytes(status: StatusCode, body: Bytes) -> Response<Body> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
