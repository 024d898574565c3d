//! HTTP implementation of [`Platform`], used by daemons that route requests.

#[cfg(test)]
mod http_platform_tests;

use std::sync::Arc;
use std::time::Duration;

use serde::de::DeserializeOwned;
use ureq::http::Response;
use ureq::{Agent, Body};

use crate::api::percent_encode;
use crate::platform::{HostChanges, Platform, PlatformError};
use crate::standin::ZONE_HEADER;
use crate::table::{CommitOutcome, Row, Transaction};

const CONNECT_TIMEOUT_MS: u64 = 500;
const CALL_TIMEOUT_MS: u64 = 2_000;
const MAX_RESPONSE_BYTES: u64 = 32 << 20;

/// HTTP client of the platform; its requests carry the availability zone that they come from.
#[derive(Debug, Clone)]
pub struct HttpPlatform {
    agent: Agent,
    base_url: Arc<str>,
    zone: Arc<str>,
}

impl HttpPlatform {
    /// Creates a client of the platform at `base_url`, such as `http://127.0.0.1:7000`, for a daemon in `zone`.
    pub fn new(base_url: &str, zone: &str) -> HttpPlatform {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(Duration::from_millis(CONNECT_TIMEOUT_MS)))
            .timeout_global(Some(Duration::from_millis(CALL_TIMEOUT_MS)))
            .build();
        let base_url = base_url.trim_end_matches('/').into();
        HttpPlatform { agent: config.into(), base_url, zone: zone.into() }
    }

    fn get(&self, operation: &'static str, path: &str) -> Result<Option<Response<Body>>, PlatformError> {
        let request = self.agent.get(format!("{}{path}", self.base_url)).header(ZONE_HEADER, &*self.zone);
        check_status(operation, request.call())
    }
}

/// Returns the response for status 200 and `None` for 404. A 503 means that the call had no effect; after any other 5xx
/// status it may have taken effect.
fn check_status(
    operation: &'static str,
    response: Result<Response<Body>, ureq::Error>,
) -> Result<Option<Response<Body>>, PlatformError> {
    let response = response.map_err(|error| transport_error(operation, &error))?;
    match response.status().as_u16() {
        200 => Ok(Some(response)),
        404 => Ok(None),
        503 => Err(PlatformError::Unavailable { operation, reason: "HTTP status 503".to_owned() }),
        status if status >= 500 => {
            Err(PlatformError::ResponseLost { operation, reason: format!("HTTP status {status}") })
        }
        status => Err(PlatformError::Protocol { operation, reason: format!("HTTP status {status}") }),
    }
}

/// A call is known to have had no effect only if no connection was established. After any other error it may have taken
/// effect.
fn transport_error(operation: &'static str, error: &ureq::Error) -> PlatformError {
    let reason = error.to_string();
    let never_connected = match error {
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => true,
        ureq::Error::Io(io) => io.kind() == std::io::ErrorKind::ConnectionRefused,
        ureq::Error::Timeout(ureq::Timeout::Connect) => true,
        _ => false,
    };
    if never_connected {
        return PlatformError::Unavailable { operation, reason };
    }
    PlatformError::ResponseLost { operation, reason }
}

fn read_body(operation: &'static str, mut response: Response<Body>) -> Result<Vec<u8>, PlatformError> {
    let body = response.body_mut().with_config().limit(MAX_RESPONSE_BYTES).read_to_vec();
    body.map_err(|error| PlatformError::ResponseLost { operation, reason: error.to_string() })
}

fn read_json<T: DeserializeOwned>(
    operation: &'static str,
    response: Option<Response<Body>>,
) -> Result<T, PlatformError> {
    let protocol = |reason: String| PlatformError::Protocol { operation, reason };
    let response = response.ok_or_else(|| protocol("HTTP status 404".to_owned()))?;
    serde_json::from_slice(&read_body(operation, response)?).map_err(|error| protocol(error.to_string()))
}

impl Platform for HttpPlatform {
    fn read(&self, key: &str) -> Result<Option<Row>, PlatformError> {
        match self.get("read", &format!("/table/{}", percent_encode(key)))? {
            Some(response) => read_json("read", Some(response)).map(Some),
            None => Ok(None),
        }
    }

    fn scan(&self, prefix: &str) -> Result<Vec<Row>, PlatformError> {
        read_json("scan", self.get("scan", &format!("/table?prefix={}", percent_encode(prefix)))?)
    }

    fn commit(&self, transaction: &Transaction) -> Result<CommitOutcome, PlatformError> {
        let operation = "commit";
        let body = serde_json::to_vec(transaction)
            .map_err(|error| PlatformError::Protocol { operation, reason: error.to_string() })?;
        let request = self.agent.post(format!("{}/table", self.base_url)).header(ZONE_HEADER, &*self.zone);
        read_json(operation, check_status(operation, request.send(&body[..]))?)
    }

    fn put_object(&self, key: &str, body: &[u8]) -> Result<(), PlatformError> {
        let operation = "put_object";
        let url = format!("{}/objects/{}", self.base_url, percent_encode(key));
        let request = self.agent.put(url).header(ZONE_HEADER, &*self.zone);
        read_json(operation, check_status(operation, request.send(body))?)
    }

    fn get_object(&self, key: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        match self.get("get_object", &format!("/objects/{}", percent_encode(key)))? {
            Some(response) => read_body("get_object", response).map(Some),
            None => Ok(None),
        }
    }

    fn delete_object(&self, key: &str) -> Result<(), PlatformError> {
        let operation = "delete_object";
        let url = format!("{}/objects/{}", self.base_url, percent_encode(key));
        let request = self.agent.delete(url).header(ZONE_HEADER, &*self.zone);
        check_status(operation, request.call()).map(|_| ())
    }

    fn host_changes(&self, cursor: u64) -> Result<HostChanges, PlatformError> {
        read_json("hosts", self.get("hosts", &format!("/hosts?cursor={cursor}"))?)
    }
}
