//! The administration API.
//!
//! | request | role | answer |
//! |---|---|---|
//! | `GET /healthz`, `/readyz`, `/metrics` | none | health, readiness, metrics |
//! | `GET /v1/status`, `/v1/pools`, `/v1/hosts`, `/v1/waves` | viewer | JSON |
//! | `GET /v1/sheet` | viewer | the sheet in force as CSV |
//! | `POST /v1/sheet/check` | viewer | the sheet's problems |
//! | `PUT /v1/sheet` | operator | [`Applied`], or [`SheetConflict`] |
//! | `POST /v1/tokens` with an [`Identity`] | admin | [`IssuedToken`] |
//! | `DELETE /v1/tokens/TEAM` | admin | [`WithdrawnTokens`] |

use std::rc::Rc;
use std::sync::mpsc::{sync_channel, SyncSender};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::channel::mpsc::{unbounded, UnboundedReceiver, UnboundedSender};
use futures::StreamExt;
use http::header::CONTENT_TYPE;
use http::{HeaderName, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use metrics_exporter_prometheus::PrometheusHandle;
use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::api::{ApiReply, ApiRequest};
use crate::auth::{AuthError, Authenticator, Identity, Role};
use crate::daemon::Daemon;
use crate::endpoint_client::before;
use crate::error::{Error, Result};
use crate::held_body::{collect, BodyError, ByteBudget};
use crate::http_server::{serve, Body, ServerLimits};
use crate::kernel::{Plugin, Stage};
use crate::platform::{Platform, PlatformError};
use crate::reactor::spawn;
use crate::sheet::{Sheet, SheetRejected, MAX_SHEET_BYTES};
use crate::sheet_store::{self, ApplyOutcome, ApplyRequest, SheetRecord};
use crate::telemetry;
use crate::view::AdminCall;
use crate::worker_pool::WorkerPool;

/// Chosen by the operator's program; the same for every try of one apply.
pub const APPLY_ID_HEADER: &str = "Sardineseam-Apply-Id";
/// Version of the sheet in an answer.
pub const SHEET_VERSION_HEADER: &str = "Sardineseam-Sheet-Version";
const WORKER_COUNT: usize = 4;
const MAX_BODY_BYTES: usize = MAX_SHEET_BYTES + 1;
const MAX_CONNECTIONS: usize = 128;
const MAX_HEADER_BYTES: usize = 16 * 1024;
/// Memory for the bodies of requests being read.
const MAX_HELD_BYTES: usize = 8 << 20;
/// Longest wait for a request's headers, and then for its body.
const READ_TIMEOUT_MS: u64 = 10_000;
const DAEMON_TIMEOUT_MS: u64 = 2_000;
const CSV: &str = "text/csv; charset=utf-8";
const TEXT: &str = "text/plain; charset=utf-8";

/// A sheet was accepted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Applied {
    /// The accepted sheet.
    pub accepted: SheetRecord,
}

/// Another sheet stands.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SheetConflict {
    /// The reason, for the operator.
    pub error: String,
    /// The sheet that stands.
    pub standing: SheetRecord,
}

/// A sheet has problems.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SheetProblems {
    /// The reason, for the operator.
    pub error: String,
    /// Every problem.
    #[serde(flatten)]
    pub rejected: SheetRejected,
}

/// A sheet has no problems.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SheetSummary {
    /// Number of pools.
    pub pools: usize,
    /// Number of waves.
    pub waves: usize,
}

/// A new token.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct IssuedToken {
    /// Shown only here.
    pub token: String,
}

/// Tokens that are no longer valid.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WithdrawnTokens {
    /// Their number.
    pub count: usize,
}

inventory::submit! {
    Plugin { name: "admin", stage: Stage::Service, start }
}

fn start(daemon: &Rc<Daemon>) -> Result<()> {
    let listener = daemon.listeners.borrow_mut().admin.take();
    let listener =
        listener.ok_or_else(|| Error::io("serve administration")(std::io::Error::other("no listener was bound")))?;
    let (calls, receiver) = unbounded();
    let settings = &daemon.settings;
    let admin = Admin {
        calls,
        platform: daemon.platform.platform().clone(),
        authenticator: Authenticator::new(
            daemon.platform.platform().clone(),
            settings.bootstrap_token.as_deref(),
            settings.accepts_development_token(),
        ),
        metrics: telemetry::metrics_handle(),
    };
    let served = Rc::new(Served {
        admin: Arc::new(admin),
        workers: WorkerPool::start(WORKER_COUNT),
        held_bytes: ByteBudget::new(MAX_HELD_BYTES),
    });
    let handler = Rc::new(move |request| {
        let served = served.clone();
        Box::pin(async move { served.answer(request).await }) as _
    });
    let limits = ServerLimits {
        max_connections: MAX_CONNECTIONS,
        header_timeout_ms: READ_TIMEOUT_MS,
        max_header_bytes: MAX_HEADER_BYTES,
    };
    spawn(serve(listener, limits, daemon.admin_control.clone(), handler));
    spawn(answer_calls(daemon.clone(), receiver));
    Ok(())
}

/// Reads requests on the event loop and answers them on threads that may block.
struct Served {
    admin: Arc<Admin>,
    workers: WorkerPool,
    held_bytes: ByteBudget,
}

impl Served {
    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        let reply = match self.read(request).await {
            Ok(request) => {
                let admin = self.admin.clone();
                let answered = self.workers.call(move || admin.answer(&request)).await;
                answered.unwrap_or_else(|error| ApiReply::error(503, &error.to_string()))
            }
            Err(refusal) => refusal,
        };
        into_response(reply)
    }

    async fn read(&self, request: Request<Incoming>) -> std::result::Result<ApiRequest, ApiReply> {
        let (head, body) = request.into_parts();
        let deadline = Instant::now() + Duration::from_millis(READ_TIMEOUT_MS);
        let body = match before(deadline, collect(body, MAX_BODY_BYTES, &self.held_bytes)).await {
            Some(Ok(body)) => body,
            Some(Err(error @ BodyError::TooLarge { .. })) => return Err(ApiReply::error(413, &error.to_string())),
            Some(Err(error @ BodyError::NoMemory)) => return Err(ApiReply::error(503, &error.to_string())),
            Some(Err(error)) => return Err(ApiReply::error(400, &error.to_string())),
            None => return Err(ApiReply::error(408, "the body did not arrive in time")),
        };
        let mut headers = Vec::new();
        for (name, value) in &head.headers {
            headers.push((name.to_string(), String::from_utf8_lossy(value.as_bytes()).into_owned()));
        }
        Ok(ApiRequest {
            method: head.method,
            path: head.uri.path().to_owned(),
            query: head.uri.query().unwrap_or("").to_owned(),
            headers,
            body: body.bytes.to_vec(),
        })
    }
}

fn into_response(reply: ApiReply) -> Response<Body> {
    let mut response = Response::new(Full::new(Bytes::from(reply.body)));
    *response.status_mut() = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(reply.content_type));
    for (name, value) in reply.headers {
        if let (Ok(name), Ok(value)) = (HeaderName::try_from(name), HeaderValue::try_from(value)) {
            headers.insert(name, value);
        }
    }
    response
}

async fn answer_calls(daemon: Rc<Daemon>, mut calls: UnboundedReceiver<AdminCall>) {
    while let Some(call) = calls.next().await {
        daemon.handle_admin_call(call);
    }
}

type Answer = std::result::Result<ApiReply, ApiReply>;

/// Shared by the administration threads.
struct Admin {
    calls: UnboundedSender<AdminCall>,
    platform: Arc<dyn Platform>,
    authenticator: Authenticator,
    metrics: PrometheusHandle,
}

impl Admin {
    fn answer(&self, request: &ApiRequest) -> ApiReply {
        let reply = match (&request.method, request.path.as_str()) {
            (&Method::GET, "/healthz") => Ok(ApiReply::bytes(TEXT, b"ok\n".to_vec())),
            (&Method::GET, "/readyz") => self.readiness(),
            (&Method::GET, "/metrics") => Ok(ApiReply::bytes(TEXT, self.metrics.render().into_bytes())),
            (&Method::GET, "/v1/status") => self.view(request, AdminCall::Status),
            (&Method::GET, "/v1/pools") => self.view(request, AdminCall::Pools),
            (&Method::GET, "/v1/hosts") => self.view(request, AdminCall::Hosts),
            (&Method::GET, "/v1/waves") => self.view(request, AdminCall::Waves),
            (&Method::GET, "/v1/sheet") => self.sheet(request),
            (&Method::PUT, "/v1/sheet") => self.apply(request),
            (&Method::POST, "/v1/sheet/check") => self.check(request),
            (&Method::POST, "/v1/tokens") => self.issue_token(request),
            (&Method::DELETE, path) if path.starts_with("/v1/tokens/") => self.withdraw_tokens(request),
            (method, path) => Err(ApiReply::error(404, &format!("no such resource: {method} {path}"))),
        };
        reply.unwrap_or_else(|refusal| refusal)
    }

    fn authorise(&self, request: &ApiRequest, needed: Role) -> std::result::Result<Identity, ApiReply> {
        let bearer = request.header("Authorization").and_then(|value| value.strip_prefix("Bearer "));
        self.authenticator.check(bearer.map(str::trim), needed).map_err(|error| {
            let status = match error {
                AuthError::Missing | AuthError::Unknown => 401,
                AuthError::Role { .. } => 403,
                AuthError::Platform(_) => 503,
            };
            ApiReply::error(status, &error.to_string())
        })
    }

    /// Asks the daemon's thread.
    fn ask<T>(&self, call: impl FnOnce(SyncSender<T>) -> AdminCall) -> std::result::Result<T, ApiReply> {
        let (sender, receiver) = sync_channel(1);
        let stopping = || ApiReply::error(503, "the daemon is stopping");
        self.calls.unbounded_send(call(sender)).map_err(|_| stopping())?;
        receiver.recv_timeout(Duration::from_millis(DAEMON_TIMEOUT_MS)).map_err(|_| stopping())
    }

    fn readiness(&self) -> Answer {
        let status = self.ask(AdminCall::Status)?;
        if status.ready {
            return Ok(ApiReply::bytes(TEXT, b"ready\n".to_vec()));
        }
        let reason = if status.stopping { "stopping" } else { "no sheet is in force here yet" };
        Err(ApiReply::error(503, reason))
    }

    fn view<T: Serialize>(&self, request: &ApiRequest, call: impl FnOnce(SyncSender<T>) -> AdminCall) -> Answer {
        self.authorise(request, Role::Viewer)?;
        Ok(ApiReply::json(200, &self.ask(call)?))
    }

    fn sheet(&self, request: &ApiRequest) -> Answer {
        self.authorise(request, Role::Viewer)?;
        let Some(accepted) = self.ask(AdminCall::Sheet)? else {
            return Err(ApiReply::error(404, "no sheet is in force here yet; apply one"));
        };
        let version = accepted.reference.version.to_string();
        Ok(ApiReply::bytes(CSV, accepted.body.clone()).with_header(SHEET_VERSION_HEADER, version))
    }

    fn check(&self, request: &ApiRequest) -> Answer {
        self.authorise(request, Role::Viewer)?;
        let sheet = read_sheet(&request.body)?;
        Ok(ApiReply::json(200, &SheetSummary { pools: sheet.pools.len(), waves: sheet.waves.len() }))
    }

    fn apply(&self, request: &ApiRequest) -> Answer {
        let identity = self.authorise(request, Role::Operator)?;
        let base_version = base_version(request)?;
        read_sheet(&request.body)?;
        let apply_id = match request.header(APPLY_ID_HEADER) {
            Some(apply_id) => apply_id.to_owned(),
            None => format!("{:032x}", rand::rng().random::<u128>()),
        };
        let apply = ApplyRequest { body: &request.body, base_version, apply_id: &apply_id, team: &identity.team };
        match sheet_store::apply(&*self.platform, &apply) {
            Ok(ApplyOutcome::Accepted(accepted)) => {
                metrics::counter!("sheets_accepted_total").increment(1);
                // A stopping daemon no longer listens; the others hear of the sheet from the table.
                let _ = self.calls.unbounded_send(AdminCall::SheetAccepted(accepted.reference.clone()));
                Ok(ApiReply::json(200, &Applied { accepted }))
            }
            Ok(ApplyOutcome::Conflict(standing)) => {
                metrics::counter!("sheet_conflicts_total").increment(1);
                let error = format!(
                    "version {} of team {} stands; look at it with `sardineseam sheet show` and apply again",
                    standing.reference.version, standing.team
                );
                Err(ApiReply::json(409, &SheetConflict { error, standing }))
            }
            Err(error) => Err(apply_failure(&error)),
        }
    }

    fn issue_token(&self, request: &ApiRequest) -> Answer {
        self.authorise(request, Role::Admin)?;
        let identity: Identity = serde_json::from_slice(&request.body).map_err(|error| {
            let example = r#"{"team": "press", "role": "operator"}"#;
            ApiReply::error(400, &format!("body: {error}; send {example}"))
        })?;
        if identity.team.is_empty() {
            return Err(ApiReply::error(400, "body: team must not be empty"));
        }
        let token = self.authenticator.issue(&identity).map_err(|error| platform_failure(&error))?;
        Ok(ApiReply::json(200, &IssuedToken { token }))
    }

    fn withdraw_tokens(&self, request: &ApiRequest) -> Answer {
        self.authorise(request, Role::Admin)?;
        let team = request.path.trim_start_matches("/v1/tokens/");
        let count = self.authenticator.withdraw(team).map_err(|error| platform_failure(&error))?;
        Ok(ApiReply::json(200, &WithdrawnTokens { count }))
    }
}

/// The version to replace, from `If-Match`.
fn base_version(request: &ApiRequest) -> std::result::Result<Option<u64>, ApiReply> {
    let Some(value) = request.header("If-Match") else { return Ok(None) };
    let version = value.trim().trim_matches('"').parse::<u64>();
    version.map(Some).map_err(|_| ApiReply::error(400, "If-Match must hold the version to replace, such as 7"))
}

fn read_sheet(body: &[u8]) -> std::result::Result<Sheet, ApiReply> {
    Sheet::read(body).map_err(|rejected| {
        let error = rejected.to_string();
        ApiReply::json(422, &SheetProblems { error, rejected })
    })
}

fn apply_failure(error: &PlatformError) -> ApiReply {
    if let PlatformError::AnswerLost { .. } = error {
        let message = format!("{error}; the sheet may have been accepted: apply again with the same apply id");
        return ApiReply::error(504, &message);
    }
    ApiReply::error(503, &format!("{error}; nothing was accepted: apply again later"))
}

fn platform_failure(error: &PlatformError) -> ApiReply {
    ApiReply::error(503, &format!("{error}; try again later"))
}
