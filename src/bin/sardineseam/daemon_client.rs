//! HTTP client of the operators' address of a daemon in the control role.

use std::time::Duration;

use sardineseam::{Error, Result};
use serde::de::DeserializeOwned;
use ureq::Agent;

use crate::client::AdminResponse;

const REQUEST_TIMEOUT_S: u64 = 10;
const MAX_RESPONSE_BYTES: u64 = 8 << 20;
const ADDRESS_VARIABLE: &str = "SARDINESEAM_DAEMON";
const DEFAULT_ADDRESS: &str = "127.0.0.1:9090";

/// Client of one daemon.
pub(crate) struct DaemonClient {
    agent: Agent,
    address: String,
}

impl DaemonClient {
    /// Creates a client of the daemon at `address`, or else at the address in the environment.
    pub(crate) fn new(address: Option<String>) -> DaemonClient {
        let from_environment = || std::env::var(ADDRESS_VARIABLE).ok().filter(|value| !value.is_empty());
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(Duration::from_secs(REQUEST_TIMEOUT_S)))
            .build();
        DaemonClient {
            agent: config.into(),
            address: address.or_else(from_environment).unwrap_or_else(|| DEFAULT_ADDRESS.to_owned()),
        }
    }

    /// Returns the answer at a path. The error of a daemon that does not lead names the leader.
    pub(crate) fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        let unreachable =
            |error: ureq::Error| Error::DaemonUnreachable { address: self.address.clone(), reason: error.to_string() };
        let mut response = self.agent.get(format!("http://{}{path}", self.address)).call().map_err(unreachable)?;
        let status = response.status().as_u16();
        let body = response.body_mut().with_config().limit(MAX_RESPONSE_BYTES).read_to_vec().map_err(unreachable)?;
        AdminResponse { status, sheet_version: None, body }.json()
    }
}
