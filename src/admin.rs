//! HTTP API for administration.
//!
//! | request | required role | response |
//! |---|---|---|
//! | `GET /healthz`, `/readyz`, `/metrics` | none | liveness, readiness, Prometheus metrics |
//! | `GET /v1/status`, `/v1/pools`, `/v1/hosts`, `/v1/waves` | viewer | state of this daemon as JSON |
//! | `GET /v1/sheet` | viewer | the sheet in force as CSV |
//! | `POST /v1/sheet/check` | viewer | [`SheetSummary`], or [`SheetProblems`] |
//! | `PUT /v1/sheet` | operator | [`AppliedSheet`], [`SheetProblems`] or [`SheetConflict`] |
//! | `POST /v1/tokens` with an [`Identity`] | admin | [`IssuedToken`] |
//! | `DELETE /v1/tokens/TEAM` | admin | [`RevokedTokens`] |
//!
//! A sheet is accepted once its version is committed to the platform's table. It is then the current sheet until a
//! later one is accepted. The sheet in force at a daemon is the newest one that the daemon has fetched.

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

use crate::api::{percent_decode, ApiRequest, ApiResponse};
use crate::auth::{AuthError, Authenticator, Identity, Role};
use crate::blocking_pool::BlockingPool;
use crate::buffered_body::{collect_body, BodyError, ByteBudget};
use crate::daemon::Daemon;
use crate::endpoint_client::timeout_at;
use crate::error::{Error, Result};
use crate::http_server::{serve, Body, ServerLimits};
use crate::platform::{Platform, PlatformError};
use crate::plugin::{Plugin, Stage};
use crate::reactor::spawn;
use crate::sheet::{Sheet, SheetRejected, MAX_SHEET_BYTES};
use crate::sheet_store::{self, ApplyOutcome, ApplyRequest, SheetRecord};
use crate::telemetry;
use crate::view::AdminCall;

/// Request header with the idempotency key of an apply. The client chooses it and sends it again with every retry.
pub const APPLY_ID_HEADER: &str = "Sardineseam-Apply-Id";
/// Response header with the version of the returned sheet.
pub const SHEET_VERSION_HEADER: &str = "Sardineseam-Sheet-Version";
const HANDLER_THREADS: usize = 4;
const MAX_BODY_BYTES: usize = MAX_SHEET_BYTES + 1;
const MAX_CONNECTIONS: usize = 128;
const MAX_HEADER_BYTES: usize = 16 * 1024;
/// Memory budget for the bodies of all requests that are being received.
const BODY_MEMORY_BYTES: usize = 8 << 20;
/// Timeout for the headers of a request, and again for its body.
const READ_TIMEOUT_MS: u64 = 10_000;
/// Longest time that a handler thread waits for the daemon's event loop.
const EVENT_LOOP_TIMEOUT_MS: u64 = 2_000;
const CSV_CONTENT_TYPE: &str = "text/csv; charset=utf-8";
const TEXT_CONTENT_TYPE: &str = "text/plain; charset=utf-8";

/// Response body: the sheet was accepted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AppliedSheet {
    /// The accepted sheet.
    pub accepted: SheetRecord,
}

/// Response body: the version to replace is not the current one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SheetConflict {
    /// The reason, for the operator.
    pub error: String,
    /// The current sheet.
    pub standing: SheetRecord,
}

/// Response body: the sheet is invalid.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SheetProblems {
    /// The reason, for the operator.
    pub error: String,
    /// All problems that were found.
    #[serde(flatten)]
    pub rejected: SheetRejected,
}

/// Response body: the sheet is valid.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SheetSummary {
    /// Number of pools.
    pub pools: usize,
    /// Number of waves.
    pub waves: usize,
}

/// Response body: a new token.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct IssuedToken {
    /// The token itself. It cannot be read again, since only its digest is stored.
    pub token: String,
}

/// Response body: the tokens of a team were revoked.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RevokedTokens {
    /// Number of revoked tokens.
    pub count: usize,
}

inventory::submit! {
    Plugin { name: "admin", stage: Stage::Service, start }
}

fn start(daemon: &Rc<Daemon>) -> Result<()> {
    let listener = daemon.listeners.borrow_mut().admin.take();
    let listener = listener.ok_or_else(|| {
        Error::io("serve the administration API")(std::io::Error::other("the plug-in has already been started"))
    })?;
    let (calls, receiver) = unbounded();
    let settings = &daemon.settings;
    let api = AdminApi {
        calls,
        platform: daemon.platform.platform().clone(),
        authenticator: Authenticator::new(
            daemon.platform.platform().clone(),
            settings.bootstrap_token.as_deref(),
            settings.accepts_development_token(),
        ),
        metrics: telemetry::metrics_handle(),
    };
    let server = Rc::new(AdminServer {
        api: Arc::new(api),
        handler_pool: BlockingPool::start(HANDLER_THREADS),
        body_budget: ByteBudget::new(BODY_MEMORY_BYTES),
    });
    let handler = Rc::new(move |request| {
        let server = server.clone();
        Box::pin(async move { server.handle(request).await }) as _
    });
    let limits = ServerLimits {
        max_connections: MAX_CONNECTIONS,
        header_timeout_ms: READ_TIMEOUT_MS,
        max_header_bytes: MAX_HEADER_BYTES,
    };
    spawn(serve(listener, limits, daemon.admin_control.clone(), handler));
    spawn(handle_admin_calls(daemon.clone(), receiver));
    Ok(())
}

/// Receives requests on the event loop and handles them on threads that may block.
struct AdminServer {
    api: Arc<AdminApi>,
    handler_pool: BlockingPool,
    body_budget: ByteBudget,
}

impl AdminServer {
    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let reply = match self.read_request(request).await {
            Ok(request) => {
                let api = self.api.clone();
                let handled = self.handler_pool.call(move || api.handle(&request)).await;
                handled.unwrap_or_else(|error| ApiResponse::error(503, &error.to_string()))
            }
            Err(error_reply) => error_reply,
        };
        into_response(reply)
    }

    async fn read_request(&self, request: Request<Incoming>) -> std::result::Result<ApiRequest, ApiResponse> {
        let (head, body) = request.into_parts();
        let deadline = Instant::now() + Duration::from_millis(READ_TIMEOUT_MS);
        let body = match timeout_at(deadline, collect_body(body, MAX_BODY_BYTES, &self.body_budget)).await {
            Some(Ok(body)) => body,
            Some(Err(error @ BodyError::TooLarge { .. })) => return Err(ApiResponse::error(413, &error.to_string())),
            Some(Err(error @ BodyError::BudgetExceeded)) => return Err(ApiResponse::error(503, &error.to_string())),
            Some(Err(error)) => return Err(ApiResponse::error(400, &error.to_string())),
            None => return Err(ApiResponse::error(408, "the body did not arrive in time")),
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

fn into_response(reply: ApiResponse) -> Response<Body> {
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

/// Handles the calls of the handler threads on the event loop.
async fn handle_admin_calls(daemon: Rc<Daemon>, mut calls: UnboundedReceiver<AdminCall>) {
    while let Some(call) = calls.next().await {
        daemon.handle_admin_call(call);
    }
}

/// Response to a request; `Err` holds an error response.
type HandlerResult = std::result::Result<ApiResponse, ApiResponse>;

/// Request handlers, shared by the handler threads.
struct AdminApi {
    calls: UnboundedSender<AdminCall>,
    platform: Arc<dyn Platform>,
    authenticator: Authenticator,
    metrics: PrometheusHandle,
}

impl AdminApi {
    fn handle(&self, request: &ApiRequest) -> ApiResponse {
        let reply = match (&request.method, request.path.as_str()) {
            (&Method::GET, "/healthz") => Ok(ApiResponse::bytes(TEXT_CONTENT_TYPE, b"ok\n".to_vec())),
            (&Method::GET, "/readyz") => self.readiness(),
            (&Method::GET, "/metrics") => Ok(ApiResponse::bytes(TEXT_CONTENT_TYPE, self.metrics.render().into_bytes())),
            (&Method::GET, "/v1/status") => self.daemon_view(request, AdminCall::Status),
            (&Method::GET, "/v1/pools") => self.daemon_view(request, AdminCall::Pools),
            (&Method::GET, "/v1/hosts") => self.daemon_view(request, AdminCall::Hosts),
            (&Method::GET, "/v1/waves") => self.daemon_view(request, AdminCall::Waves),
            (&Method::GET, "/v1/sheet") => self.sheet_in_force(request),
            (&Method::PUT, "/v1/sheet") => self.apply_sheet(request),
            (&Method::POST, "/v1/sheet/check") => self.check_sheet(request),
            (&Method::POST, "/v1/tokens") => self.issue_token(request),
            (&Method::DELETE, path) if path.starts_with("/v1/tokens/") => self.revoke_tokens(request),
            (method, path) => Err(ApiResponse::error(404, &format!("no such resource: {method} {path}"))),
        };
        reply.unwrap_or_else(|error_reply| error_reply)
    }

    fn authorise(&self, request: &ApiRequest, needed: Role) -> std::result::Result<Identity, ApiResponse> {
        let bearer = request.header("Authorization").and_then(|value| value.strip_prefix("Bearer "));
        self.authenticator.authorise(bearer.map(str::trim), needed).map_err(|error| {
            let status = match error {
                AuthError::MissingToken | AuthError::UnknownToken => 401,
                AuthError::InsufficientRole { .. } => 403,
                AuthError::Platform(_) => 503,
            };
            ApiResponse::error(status, &error.to_string())
        })
    }

    /// Sends a call to the daemon's event loop and blocks until it is answered. A timeout is reported as if the daemon
    /// were stopping.
    fn call_daemon<T>(&self, call: impl FnOnce(SyncSender<T>) -> AdminCall) -> std::result::Result<T, ApiResponse> {
        let (sender, receiver) = sync_channel(1);
        let stopping = || ApiResponse::error(503, "the daemon is stopping");
        self.calls.unbounded_send(call(sender)).map_err(|_| stopping())?;
        receiver.recv_timeout(Duration::from_millis(EVENT_LOOP_TIMEOUT_MS)).map_err(|_| stopping())
    }

    fn readiness(&self) -> HandlerResult {
        let status = self.call_daemon(AdminCall::Status)?;
        if status.ready {
            return Ok(ApiResponse::bytes(TEXT_CONTENT_TYPE, b"ready\n".to_vec()));
        }
        let reason = if status.stopping { "stopping" } else { "no sheet is in force here yet" };
        Err(ApiResponse::error(503, reason))
    }

    fn daemon_view<T: Serialize>(
        &self,
        request: &ApiRequest,
        call: impl FnOnce(SyncSender<T>) -> AdminCall,
    ) -> HandlerResult {
        self.authorise(request, Role::Viewer)?;
        Ok(ApiResponse::json(200, &self.call_daemon(call)?))
    }

    fn sheet_in_force(&self, request: &ApiRequest) -> HandlerResult {
        self.authorise(request, Role::Viewer)?;
        let Some(accepted) = self.call_daemon(AdminCall::Sheet)? else {
            return Err(ApiResponse::error(404, "no sheet is in force here yet; apply one"));
        };
        let version = accepted.reference.version.to_string();
        Ok(ApiResponse::bytes(CSV_CONTENT_TYPE, accepted.body.clone()).with_header(SHEET_VERSION_HEADER, version))
    }

    fn check_sheet(&self, request: &ApiRequest) -> HandlerResult {
        self.authorise(request, Role::Viewer)?;
        let sheet = parse_sheet(&request.body)?;
        Ok(ApiResponse::json(200, &SheetSummary { pools: sheet.pools.len(), waves: sheet.waves.len() }))
    }

    fn apply_sheet(&self, request: &ApiRequest) -> HandlerResult {
        let identity = self.authorise(request, Role::Operator)?;
        let base_version = base_version(request)?;
        parse_sheet(&request.body)?;
        let apply_id = match request.header(APPLY_ID_HEADER) {
            Some(apply_id) => apply_id.to_owned(),
            None => format!("{:032x}", rand::rng().random::<u128>()),
        };
        let apply = ApplyRequest { body: &request.body, base_version, apply_id: &apply_id, team: &identity.team };
        match sheet_store::apply(&*self.platform, &apply) {
            Ok(ApplyOutcome::Accepted(accepted)) => {
                metrics::counter!("sheets_accepted_total").increment(1);
                let is_sent_body = Sheet::digest(&request.body) == accepted.reference.digest;
                let body = is_sent_body.then(|| request.body.clone());
                // Fails only if this daemon is stopping or overloaded; it and the other daemons find the new version in
                // the platform's table.
                let _ = self.call_daemon(|reply| AdminCall::SheetAccepted(accepted.reference.clone(), body, reply));
                Ok(ApiResponse::json(200, &AppliedSheet { accepted }))
            }
            Ok(ApplyOutcome::Conflict(standing)) => {
                metrics::counter!("sheet_conflicts_total").increment(1);
                let error = format!(
                    "version {} of team {} stands; look at it with `sardineseam sheet show` and apply again",
                    standing.reference.version, standing.team
                );
                Err(ApiResponse::json(409, &SheetConflict { error, standing }))
            }
            Err(error) => Err(apply_error_reply(&error)),
        }
    }

    fn issue_token(&self, request: &ApiRequest) -> HandlerResult {
        self.authorise(request, Role::Admin)?;
        let identity: Identity = serde_json::from_slice(&request.body).map_err(|error| {
            let example = r#"{"team": "press", "role": "operator"}"#;
            ApiResponse::error(400, &format!("body: {error}; send {example}"))
        })?;
        if identity.team.is_empty() {
            return Err(ApiResponse::error(400, "body: team must not be empty"));
        }
        let token = self.authenticator.issue(&identity).map_err(|error| platform_error_reply(&error))?;
        Ok(ApiResponse::json(200, &IssuedToken { token }))
    }

    fn revoke_tokens(&self, request: &ApiRequest) -> HandlerResult {
        self.authorise(request, Role::Admin)?;
        let team = request.path.strip_prefix("/v1/tokens/").and_then(percent_decode);
        let team = team.ok_or_else(|| ApiResponse::error(400, "the team's name is not UTF-8"))?;
        let count = self.authenticator.revoke(&team).map_err(|error| platform_error_reply(&error))?;
        Ok(ApiResponse::json(200, &RevokedTokens { count }))
    }
}

/// Version that the sheet is to replace, from `If-Match`; `None` without that header.
fn base_version(request: &ApiRequest) -> std::result::Result<Option<u64>, ApiResponse> {
    let Some(value) = request.header("If-Match") else { return Ok(None) };
    let version = value.trim().trim_matches('"').parse::<u64>();
    version.map(Some).map_err(|_| ApiResponse::error(400, "If-Match must hold the version to replace, such as 7"))
}

fn parse_sheet(body: &[u8]) -> std::result::Result<Sheet, ApiResponse> {
    Sheet::read(body).map_err(|rejected| {
        let error = rejected.to_string();
        ApiResponse::json(422, &SheetProblems { error, rejected })
    })
}

fn apply_error_reply(error: &PlatformError) -> ApiResponse {
    if let PlatformError::ResponseLost { .. } = error {
        let message = format!("{error}; the sheet may have been accepted: apply again with the same apply id");
        return ApiResponse::error(504, &message);
    }
    ApiResponse::error(503, &format!("{error}; nothing was accepted: apply again later"))
}

fn platform_error_reply(error: &PlatformError) -> ApiResponse {
    ApiResponse::error(503, &format!("{error}; try again later"))
}
