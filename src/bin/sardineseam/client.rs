//! HTTP client of a daemon's administration API.

use std::time::Duration;

use sardineseam::{Error, Result};
use serde::de::DeserializeOwned;
use serde::Deserialize;
use ureq::http::{Response, StatusCode};
use ureq::{Agent, Body};

const REQUEST_TIMEOUT_S: u64 = 20;
const MAX_RESPONSE_BYTES: u64 = 64 << 20;
const DEFAULT_ADDRESS: &str = "127.0.0.1:7081";

/// A response, with its body read in full.
pub(crate) struct AdminResponse {
    pub(crate) status: u16,
    /// Version of the returned sheet, if the response holds one.
    pub(crate) sheet_version: Option<u64>,
    pub(crate) body: Vec<u8>,
}

#[derive(Debug, Deserialize)]
struct ErrorBody {
    error: String,
}

impl AdminResponse {
    /// Parses the JSON body of a successful response.
    pub(crate) fn json<T: DeserializeOwned>(self) -> Result<T> {
        let response = self.error_for_status()?;
        serde_json::from_slice(&response.body).map_err(|error| Error::Refused {
            status: response.status,
            message: format!("cannot parse the daemon's response: {error}"),
        })
    }

    /// Returns an error unless the status is 200.
    pub(crate) fn error_for_status(self) -> Result<AdminResponse> {
        if self.status == StatusCode::OK.as_u16() {
            return Ok(self);
        }
        let message = match serde_json::from_slice::<ErrorBody>(&self.body) {
            Ok(body) => body.error,
            Err(_) => format!("the daemon responded with HTTP status {}", self.status),
        };
        Err(Error::Refused { status: self.status, message })
    }
}

/// Client of one daemon.
pub(crate) struct Client {
    agent: Agent,
    address: String,
    token: String,
}

impl Client {
    pub(crate) fn new(address: Option<String>) -> Client {
        let env_var = |name: &str| std::env::var(name).ok().filter(|value| !value.is_empty());
        let address = address.or_else(|| env_var("SARDINESEAM_ADMIN"));
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(Duration::from_secs(REQUEST_TIMEOUT_S)))
            .build();
        Client {
            agent: config.into(),
            address: address.unwrap_or_else(|| DEFAULT_ADDRESS.to_owned()),
            token: env_var("SARDINESEAM_TOKEN").unwrap_or_default(),
        }
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    fn bearer(&self) -> String {
        format!("Bearer {}", self.token)
    }

    pub(crate) fn get(&self, path: &str) -> Result<AdminResponse> {
        let request = self.agent.get(self.url(path)).header("Authorization", self.bearer());
        self.read_response(request.call())
    }

    pub(crate) fn delete(&self, path: &str) -> Result<AdminResponse> {
        let request = self.agent.delete(self.url(path)).header("Authorization", self.bearer());
        self.read_response(request.call())
    }

    pub(crate) fn post(&self, path: &str, body: &[u8]) -> Result<AdminResponse> {
        let request = self.agent.post(self.url(path)).header("Authorization", self.bearer());
        self.read_response(request.send(body))
    }

    pub(crate) fn put(&self, path: &str, headers: &[(&str, String)], body: &[u8]) -> Result<AdminResponse> {
        let mut request = self.agent.put(self.url(path)).header("Authorization", self.bearer());
        for (name, value) in headers {
            request = request.header(*name, value);
        }
        self.read_response(request.send(body))
    }

    fn read_response(&self, response: std::result::Result<Response<Body>, ureq::Error>) -> Result<AdminResponse> {
        let unreachable =
            |error: ureq::Error| Error::AdminUnreachable { address: self.address.clone(), reason: error.to_string() };
        let mut response = response.map_err(unreachable)?;
        let sheet_version = response.headers().get(sardineseam::SHEET_VERSION_HEADER);
        let sheet_version = sheet_version.and_then(|value| value.to_str().ok()?.parse().ok());
        let status = response.status().as_u16();
        let body = response.body_mut().with_config().limit(MAX_RESPONSE_BYTES).read_to_vec().map_err(unreachable)?;
        Ok(AdminResponse { status, sheet_version, body })
    }
}
