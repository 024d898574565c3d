//! Calls to a daemon's administration API.

use std::time::Duration;

use sardineseam::{Error, Result};
use serde::de::DeserializeOwned;
use serde::Deserialize;
use ureq::http::{Response, StatusCode};
use ureq::{Agent, Body};

const TIMEOUT_S: u64 = 20;
const MAX_ANSWER_BYTES: u64 = 64 << 20;
const DEFAULT_ADDRESS: &str = "127.0.0.1:7081";

/// An answer, read whole.
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) version: Option<u64>,
    pub(crate) body: Vec<u8>,
}

#[derive(Debug, Deserialize)]
struct ErrorBody {
    error: String,
}

impl Answer {
    /// The body of a successful answer.
    pub(crate) fn json<T: DeserializeOwned>(self) -> Result<T> {
        let answer = self.done()?;
        serde_json::from_slice(&answer.body)
            .map_err(|error| Error::Refused { status: answer.status, message: format!("unexpected answer: {error}") })
    }

    /// Turns a refusal into an error.
    pub(crate) fn done(self) -> Result<Answer> {
        if self.status == StatusCode::OK.as_u16() {
            return Ok(self);
        }
        let message = match serde_json::from_slice::<ErrorBody>(&self.body) {
            Ok(body) => body.error,
            Err(_) => format!("the daemon answered with status {}", self.status),
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
        let environment = |name: &str| std::env::var(name).ok().filter(|value| !value.is_empty());
        let address = address.or_else(|| environment("SARDINESEAM_ADMIN"));
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(Duration::from_secs(TIMEOUT_S)))
            .build();
        Client {
            agent: config.into(),
            address: address.unwrap_or_else(|| DEFAULT_ADDRESS.to_owned()),
            token: environment("SARDINESEAM_TOKEN").unwrap_or_default(),
        }
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    fn bearer(&self) -> String {
        format!("Bearer {}", self.token)
    }

    pub(crate) fn get(&self, path: &str) -> Result<Answer> {
        let request = self.agent.get(self.url(path)).header("Authorization", self.bearer());
        self.read(request.call())
    }

    pub(crate) fn delete(&self, path: &str) -> Result<Answer> {
        let request = self.agent.delete(self.url(path)).header("Authorization", self.bearer());
        self.read(request.call())
    }

    pub(crate) fn post(&self, path: &str, body: &[u8]) -> Result<Answer> {
        let request = self.agent.post(self.url(path)).header("Authorization", self.bearer());
        self.read(request.send(body))
    }

    pub(crate) fn put(&self, path: &str, headers: &[(&str, String)], body: &[u8]) -> Result<Answer> {
        let mut request = self.agent.put(self.url(path)).header("Authorization", self.bearer());
        for (name, value) in headers {
            request = request.header(*name, value);
        }
        self.read(request.send(body))
    }

    fn read(&self, answer: std::result::Result<Response<Body>, ureq::Error>) -> Result<Answer> {
        let unreachable =
            |error: ureq::Error| Error::AdminUnreachable { address: self.address.clone(), reason: error.to_string() };
        let mut answer = answer.map_err(unreachable)?;
        let version = answer.headers().get(sardineseam::SHEET_VERSION_HEADER);
        let version = version.and_then(|value| value.to_str().ok()?.parse().ok());
        let status = answer.status().as_u16();
        let body = answer.body_mut().with_config().limit(MAX_ANSWER_BYTES).read_to_vec().map_err(unreachable)?;
        Ok(Answer { status, version, body })
    }
}
