//! Settings of the daemon, and their validation.

#[cfg(test)]
pub(crate) mod settings_tests;

use std::net::SocketAddr;
use std::sync::Arc;

use crate::error::{Error, Result};

/// Which platform the daemon uses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatformSetting {
    /// A stand-in inside the daemon process, with sample endpoints.
    Embedded,
    /// The platform at this base URL.
    Http(String),
}

/// Format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// Plain text.
    Text,
    /// One JSON object per line.
    Json,
}

/// Settings of a daemon.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the daemon; unique among daemons.
    pub name: Arc<str>,
    /// Availability zone of the daemon.
    pub zone: Arc<str>,
    /// Listening address for callers.
    pub listen: SocketAddr,
    /// Listening address of the administration API.
    pub admin_listen: SocketAddr,
    /// Listening address for other daemons.
    pub peer_listen: SocketAddr,
    /// Address at which other daemons reach this one, if it differs from the listening address.
    pub peer_advertise: Option<SocketAddr>,
    /// Peers known at startup; the platform lists the others.
    pub peers: Vec<SocketAddr>,
    /// Which platform the daemon uses.
    pub platform: PlatformSetting,
    /// Path of the sheet to apply at startup; embedded platform only.
    pub sheet: Option<String>,
    /// Format of log lines.
    pub log_format: LogFormat,
    /// Token with which the first operator signs in.
    pub bootstrap_token: Option<String>,
    /// Base URL of the OTLP/HTTP collector for traces.
    pub otlp_url: Option<String>,
    /// Number of lanes, which are the threads that serve callers.
    pub lanes: usize,
    /// Maximum number of open connections from callers.
    pub max_callers: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum size of an endpoint's response body, in bytes.
    pub max_answer_bytes: usize,
    /// Memory for the request and response bodies of all requests in progress, in bytes.
    pub max_held_bytes: usize,
    /// Deadline of requests that specify none, in milliseconds.
    pub default_deadline_ms: u64,
    /// Number of connections that an endpoint accepts from all daemons together.
    pub endpoint_connections: usize,
    /// Number of requests that an endpoint runs concurrently, unless its responses report another number.
    pub endpoint_slots: u32,
    /// Maximum number of requests in the queue of a pool.
    pub max_queued: usize,
    /// Maximum time that a request waits in a queue, in milliseconds.
    pub max_queue_wait_ms: u64,
}

impl Settings {
    /// Checks constraints that parsing a single flag cannot check.
    ///
    /// # Errors
    /// [`Error::Setting`] with the first setting that is invalid or conflicts with another one.
    pub fn validate(&self) -> Result<()> {
        let invalid =
            |name: &'static str, value: String, fix: &str| Err(Error::Setting { name, value, fix: fix.to_owned() });
        if self.sheet.is_some() && self.platform != PlatformSetting::Embedded {
            return invalid("sheet", self.sheet.clone().unwrap_or_default(), "use `sardineseam sheet apply` instead");
        }
        if let PlatformSetting::Http(url) = &self.platform {
            if !url.starts_with("http://") {
                return invalid("platform", url.clone(), "must be embedded or http://ADDRESS:PORT");
            }
        }
        let advertised = self.peer_advertise.unwrap_or(self.peer_listen).ip();
        if advertised.is_unspecified() {
            let fix = "peers cannot connect to it; set --peer-advertise to this host's address";
            return invalid("peer-listen", self.peer_listen.to_string(), fix);
        }
        if self.max_body_bytes > self.max_held_bytes {
            return invalid("max-body-bytes", self.max_body_bytes.to_string(), "must not exceed --max-held-bytes");
        }
        let counts = [
            ("lanes", self.lanes),
            ("max-callers", self.max_callers),
            ("endpoint-slots", self.endpoint_slots as usize),
            ("endpoint-connections", self.endpoint_connections),
        ];
        match counts.into_iter().find(|(_, count)| *count == 0) {
            Some((name, _)) => invalid(name, "0".to_owned(), "must be at least 1"),
            None => Ok(()),
        }
    }

    /// Whether the token `development` grants access to the administration API: only with the embedded platform and an
    /// administration address on loopback.
    pub fn accepts_development_token(&self) -> bool {
        self.platform == PlatformSetting::Embedded && self.admin_listen.ip().is_loopback()
    }
}
