//! Settings of the daemon, checked.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::error::{Error, Result};

/// Where the platform is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatformSetting {
    /// A stand-in inside the daemon, with sample endpoints.
    Embedded,
    /// The platform's base URL.
    Http(String),
}

/// Form of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// One line of text.
    Text,
    /// One JSON object a line.
    Json,
}

/// Checked settings of one daemon.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Unique among daemons.
    pub name: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for administration.
    pub admin_listen: SocketAddr,
    /// Address for other daemons.
    pub peer_listen: SocketAddr,
    /// Address under which other daemons reach this one, if not the listening one.
    pub peer_advertise: Option<SocketAddr>,
    /// Peers known before the platform answers.
    pub peers: Vec<SocketAddr>,
    /// Where the platform is.
    pub platform: PlatformSetting,
    /// Sheet applied at the start if none stands; embedded platform only.
    pub sheet: Option<String>,
    /// Form of log lines.
    pub log_format: LogFormat,
    /// Token of the first operator.
    pub bootstrap_token: Option<String>,
    /// Collector for traces, over OTLP/HTTP.
    pub otlp_url: Option<String>,
    /// Threads that serve callers.
    pub lanes: usize,
    /// Connections held from callers.
    pub max_callers: usize,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Largest body of an answer, in bytes.
    pub max_answer_bytes: usize,
    /// Memory for bodies of all requests in progress, in bytes.
    pub max_held_bytes: usize,
    /// Deadline of requests that name none, in milliseconds.
    pub default_deadline_ms: u64,
    /// Connections an endpoint accepts from all daemons together.
    pub endpoint_connections: usize,
    /// Requests an endpoint runs at once, unless its answers say otherwise.
    pub endpoint_slots: u32,
    /// Longest queue of a pool, in requests.
    pub max_queued: usize,
    /// Longest wait in a queue, in milliseconds.
    pub max_queue_wait_ms: u64,
}

impl Settings {
    /// Checks what flags alone cannot.
    ///
    /// # Errors
    /// Names the first setting that does not fit the others.
    pub fn check(&self) -> Result<()> {
        let refuse =
            |name: &'static str, value: String, fix: &str| Err(Error::Setting { name, value, fix: fix.to_owned() });
        if self.sheet.is_some() && self.platform != PlatformSetting::Embedded {
            return refuse("sheet", self.sheet.clone().unwrap_or_default(), "use `sardineseam sheet apply` instead");
        }
        if let PlatformSetting::Http(url) = &self.platform {
            if !url.starts_with("http://") {
                return refuse("platform", url.clone(), "must be embedded or http://ADDRESS:PORT");
            }
        }
        let advertised = self.peer_advertise.unwrap_or(self.peer_listen).ip();
        if advertised.is_unspecified() {
            let fix = "peers cannot connect to it; set --peer-advertise to this host's address";
            return refuse("peer-listen", self.peer_listen.to_string(), fix);
        }
        if self.max_body_bytes > self.max_held_bytes {
            return refuse("max-body-bytes", self.max_body_bytes.to_string(), "must not exceed --max-held-bytes");
        }
        if self.lanes == 0 || self.max_callers == 0 || self.endpoint_slots == 0 || self.endpoint_connections == 0 {
            return refuse("max-callers", "0".to_owned(), "counts must be at least 1");
        }
        Ok(())
    }

    /// Whether the token `development` is accepted.
    pub fn accepts_development_token(&self) -> bool {
        self.platform == PlatformSetting::Embedded && self.admin_listen.ip().is_loopback()
    }
}
