//! HTTP API of the stand-in. [`HttpPlatform`](crate::HttpPlatform) is its client.
//!
//! | request | response |
//! |---|---|
//! | `GET /table/KEY`, `GET /table?prefix=P` | row, rows |
//! | `POST /table` with a [`Transaction`] | [`crate::table::CommitOutcome`] |
//! | `PUT`, `GET`, `DELETE /objects/KEY` | `null`, the object, `null` |
//! | `GET /hosts?cursor=N` | [`crate::platform::HostChanges`] |
//! | `PUT /hosts/NAME` with a [`HostUpdate`], `DELETE /hosts/NAME` | the host, `null` |
//! | `GET /tasks`, `POST /tasks/ID` with a [`TaskUpdate`] | tasks, task |
//! | `PUT /faults` with a [`FaultChange`], `GET /faults` | [`super::Faults`] |
//! | `GET /stats` | [`super::CallCounts`] |
//!
//! Clients name their zone in the header `Sardineseam-Zone`. A call that an injected fault keeps from taking effect
//! gets status 503; one that takes effect but whose response counts as lost gets 500.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

use http::Method;
use serde::de::DeserializeOwned;

use super::api_server::ApiServer;
use super::{FaultChange, HostUpdate, StandIn, TaskUpdate};
use crate::api::{percent_decode, ApiRequest, ApiResponse};
use crate::error::Result;
use crate::platform::PlatformError;
use crate::table::Transaction;

/// Request header with the availability zone of the client.
pub(crate) const ZONE_HEADER: &str = "Sardineseam-Zone";
const MAX_BODY_BYTES: usize = 16 << 20;
const OBJECT_CONTENT_TYPE: &str = "application/octet-stream";

/// HTTP server of a [`StandIn`].
#[derive(Debug)]
pub struct StandInServer {
    server: ApiServer,
}

impl StandInServer {
    /// Serves `standin` on `listener` with `thread_count` threads.
    ///
    /// # Errors
    /// Fails if the listener cannot be used.
    pub fn start(standin: Arc<StandIn>, listener: TcpListener, thread_count: usize) -> Result<StandInServer> {
        let server =
            ApiServer::start(listener, thread_count, MAX_BODY_BYTES, move |request| handle(&standin, request))?;
        Ok(StandInServer { server })
    }

    /// Listening address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }
}

fn handle(standin: &StandIn, request: &ApiRequest) -> ApiResponse {
    let path = request.path.trim_start_matches('/');
    let (collection, key) = path.split_once('/').unwrap_or((path, ""));
    let Some(key) = percent_decode(key) else { return ApiResponse::error(400, "the key is not UTF-8") };
    let key = key.as_str();
    let response = match (&request.method, collection) {
        (&Method::GET, "faults") => Ok(ApiResponse::json(200, &standin.faults())),
        (&Method::PUT, "faults") => change_faults(standin, request),
        (&Method::GET, "stats") => Ok(ApiResponse::json(200, &standin.state().call_counts())),
        (&Method::PUT | &Method::DELETE, "hosts") => change_host(standin, request, key),
        (&Method::GET, "hosts") => list_hosts(standin, request),
        (&Method::GET, "tasks") => {
            let now_us = standin.now_us();
            Ok(ApiResponse::json(200, &standin.state().tasks.list(now_us)))
        }
        (&Method::POST, "tasks") => update_task(standin, request, key),
        (&Method::GET, "table") => read_table(standin, request, key),
        (&Method::POST, "table") => commit(standin, request),
        (&Method::GET | &Method::PUT | &Method::DELETE, "objects") => handle_object(standin, request, key),
        _ => Err(ApiResponse::error(404, &format!("no such resource: {} {}", request.method, request.path))),
    };
    response.unwrap_or_else(|error_response| error_response)
}

/// Outcome of a request; `Err` holds an error response.
type HandlerResult = std::result::Result<ApiResponse, ApiResponse>;

fn zone_of(request: &ApiRequest) -> &str {
    request.header(ZONE_HEADER).unwrap_or("")
}

fn parse<T: DeserializeOwned>(request: &ApiRequest) -> std::result::Result<T, ApiResponse> {
    serde_json::from_slice(&request.body).map_err(|error| ApiResponse::error(400, &format!("body: {error}")))
}

fn platform_error_response(error: &PlatformError) -> ApiResponse {
    let status = if matches!(error, PlatformError::Unavailable { .. }) { 503 } else { 500 };
    ApiResponse::error(status, &error.to_string())
}

fn change_faults(standin: &StandIn, request: &ApiRequest) -> HandlerResult {
    let change: FaultChange = parse(request)?;
    Ok(ApiResponse::json(200, &standin.change_faults(&change)))
}

fn change_host(standin: &StandIn, request: &ApiRequest, name: &str) -> HandlerResult {
    if name.is_empty() {
        return Err(ApiResponse::error(404, "name the host: /hosts/NAME"));
    }
    let now_us = standin.now_us();
    if request.method == Method::DELETE {
        let removed = standin.state().remove_host(now_us, name);
        return if removed { Ok(ApiResponse::json(200, &())) } else { Err(ApiResponse::error(404, "no such host")) };
    }
    let update: HostUpdate = parse(request)?;
    Ok(ApiResponse::json(200, &standin.state().put_host(now_us, name, &update)))
}

fn list_hosts(standin: &StandIn, request: &ApiRequest) -> HandlerResult {
    let cursor = request.query_parameter("cursor").unwrap_or_else(|| "0".to_owned());
    let cursor = cursor.parse::<u64>().map_err(|_| ApiResponse::error(400, "cursor must be a whole number"))?;
    let lag_ms = standin.faults().list_lag_ms;
    let changes =
        standin.call_with_faults(zone_of(request), "hosts", |state, now_us| state.host_changes(now_us, lag_ms, cursor));
    Ok(ApiResponse::json(200, &changes.map_err(|error| platform_error_response(&error))?))
}

fn update_task(standin: &StandIn, request: &ApiRequest, id: &str) -> HandlerResult {
    let update: TaskUpdate = parse(request)?;
    let task =
        standin.call_with_faults(zone_of(request), "task", |state, now_us| state.tasks.update(now_us, id, &update));
    match task.map_err(|error| platform_error_response(&error))? {
        Some(task) => Ok(ApiResponse::json(200, &task)),
        None => Err(ApiResponse::error(404, "no such task; start it first")),
    }
}

fn read_table(standin: &StandIn, request: &ApiRequest, key: &str) -> HandlerResult {
    let zone = zone_of(request);
    if let Some(prefix) = request.query_parameter("prefix") {
        let rows = standin.call_with_faults(zone, "scan", |state, _| state.scan(&prefix));
        return Ok(ApiResponse::json(200, &rows.map_err(|error| platform_error_response(&error))?));
    }
    let row = standin.call_with_faults(zone, "read", |state, _| state.read(key));
    match row.map_err(|error| platform_error_response(&error))? {
        Some(row) => Ok(ApiResponse::json(200, &row)),
        None => Err(ApiResponse::error(404, "no such row")),
    }
}

fn commit(standin: &StandIn, request: &ApiRequest) -> HandlerResult {
    let transaction: Transaction = parse(request)?;
    let commit = standin.call_with_faults(zone_of(request), "commit", |state, _| state.commit(&transaction));
    Ok(ApiResponse::json(200, &commit.map_err(|error| platform_error_response(&error))?))
}

fn handle_object(standin: &StandIn, request: &ApiRequest, key: &str) -> HandlerResult {
    let zone = zone_of(request);
    if request.method == Method::PUT {
        let stored = standin.call_with_faults(zone, "put_object", |state, _| state.put_object(key, &request.body));
        return Ok(ApiResponse::json(200, &stored.map_err(|error| platform_error_response(&error))?));
    }
    if request.method == Method::DELETE {
        let deleted = standin.call_with_faults(zone, "delete_object", |state, _| state.delete_object(key));
        return Ok(ApiResponse::json(200, &deleted.map_err(|error| platform_error_response(&error))?));
    }
    let object = standin.call_with_faults(zone, "get_object", |state, _| state.get_object(key));
    match object.map_err(|error| platform_error_response(&error))? {
        Some(body) => Ok(ApiResponse::bytes(OBJECT_CONTENT_TYPE, body)),
        None => Err(ApiResponse::error(404, "no such object")),
    }
}
