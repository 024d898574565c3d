//! Settings of the daemon: a flag takes precedence over its environment variable, and both over the default.

use std::net::SocketAddr;
use std::str::FromStr;

use sardineseam::{
    parse_control_settings, ControlSettings, Error, LogFormat, PlatformSetting, Result, Settings, UsersPlatformStandIn,
};

use super::args::Sardineseamd;

/// More lanes do not help.
const MAX_DEFAULT_LANES: usize = 4;
const VARIABLE_PREFIX: &str = "SARDINESEAM_";

/// Function that returns the value of an environment variable.
pub(crate) type Environment<'a> = &'a dyn Fn(&str) -> Option<String>;

struct SettingSource<'a> {
    environment: Environment<'a>,
}

impl SettingSource<'_> {
    /// Value of the flag, or else of its environment variable. An empty value counts as none.
    fn lookup(&self, name: &str, flag: Option<String>) -> Option<String> {
        let variable = format!("{VARIABLE_PREFIX}{}", name.replace('-', "_").to_uppercase());
        flag.or_else(|| (self.environment)(&variable)).filter(|value| !value.is_empty())
    }

    fn parse_or<T: FromStr>(&self, name: &'static str, flag: Option<String>, default: T, fix: &str) -> Result<T> {
        let Some(value) = self.lookup(name, flag) else { return Ok(default) };
        value.parse().map_err(|_| Error::Setting { name, value, fix: fix.to_owned() })
    }

    fn address_or(&self, name: &'static str, flag: Option<String>, default: SocketAddr) -> Result<SocketAddr> {
        self.parse_or(name, flag, default, "must be IP:PORT")
    }

    fn number_or<T: FromStr>(&self, name: &'static str, flag: Option<String>, default: T) -> Result<T> {
        self.parse_or(name, flag, default, "must be a whole number")
    }
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// One lane (a thread that serves callers) per processor, up to [`MAX_DEFAULT_LANES`].
fn default_lanes() -> usize {
    std::thread::available_parallelism().map_or(1, |count| count.get().min(MAX_DEFAULT_LANES))
}

/// Reads the daemon's settings from flags, environment variables and defaults.
///
/// # Errors
/// Fails on the first setting whose value is invalid.
pub(crate) fn parse_settings(args: Sardineseamd, environment: Environment<'_>) -> Result<Settings> {
    let source = SettingSource { environment };
    let zone = source.lookup("zone", args.zone).unwrap_or_else(|| "local".to_owned());
    let peer_listen = source.address_or("peer-listen", args.peer_listen, loopback(7082))?;
    let name = source.lookup("name", args.name).unwrap_or_else(|| format!("{zone}-{peer_listen}"));
    check_name("name", &name)?;
    check_name("zone", &zone)?;
    let peer_advertise = match source.lookup("peer-advertise", args.peer_advertise) {
        Some(value) => Some(source.address_or("peer-advertise", Some(value), peer_listen)?),
        None => None,
    };
    Ok(Settings {
        name: name.into(),
        zone: zone.into(),
        listen: source.address_or("listen", args.listen, loopback(7080))?,
        admin_listen: source.address_or("admin-listen", args.admin_listen, loopback(7081))?,
        peer_listen,
        peer_advertise,
        peers: parse_peers(source.lookup("peers", args.peers))?,
        platform: parse_platform(source.lookup("platform", args.platform)),
        sheet: source.lookup("sheet", args.sheet),
        log_format: parse_log_format(source.lookup("log-format", args.log_format))?,
        bootstrap_token: source.lookup("bootstrap-token", args.bootstrap_token),
        otlp_url: source.lookup("otlp-url", args.otlp_url),
        lanes: source.number_or("lanes", args.lanes, default_lanes())?,
        max_callers: source.number_or("max-callers", args.max_callers, 4_096)?,
        max_body_bytes: source.number_or("max-body-bytes", args.max_body_bytes, 1 << 20)?,
        max_answer_bytes: source.number_or("max-answer-bytes", args.max_answer_bytes, 8 << 20)?,
        max_held_bytes: source.number_or("max-held-bytes", args.max_held_bytes, 16 << 20)?,
        default_deadline_ms: source.number_or("default-deadline-ms", args.default_deadline_ms, 30_000)?,
        endpoint_connections: source.number_or("endpoint-connections", args.endpoint_connections, 64)?,
        endpoint_slots: source.number_or("endpoint-slots", args.endpoint_slots, 8)?,
        max_queued: source.number_or("max-queued", args.max_queued, 512)?,
        max_queue_wait_ms: source.number_or("max-queue-wait-ms", args.max_queue_wait_ms, 1_000)?,
    })
}

/// Parses `--metrics-port`, which is used only with `--control`.
///
/// # Errors
/// Fails if the value is not a port.
pub(crate) fn parse_metrics_port(value: Option<String>) -> Result<Option<u16>> {
    let Some(value) = value else { return Ok(None) };
    let fix = "must be a port from 1 to 65535".to_owned();
    match value.parse() {
        Ok(0) | Err(_) => Err(Error::Setting { name: "metrics-port", value, fix }),
        Ok(port) => Ok(Some(port)),
    }
}

/// Settings of a daemon that runs with `--control --stand-in`.
///
/// # Errors
/// Fails if the value of `--listen` is not an address.
pub(crate) fn stand_in_settings(platform: &UsersPlatformStandIn, listen: Option<String>) -> Result<ControlSettings> {
    let value = listen.unwrap_or_else(|| "127.0.0.1:7080".to_owned());
    let Ok(callers) = value.parse() else {
        return Err(Error::Setting { name: "listen", value, fix: "must be IP:PORT".to_owned() });
    };
    let readiness = ([127, 0, 0, 1], 0).into();
    let text = platform.settings("stand-in", callers, readiness, platform.store_address);
    parse_control_settings(text.as_bytes())
}

/// Checks the name of a daemon or a zone. Both become parts of row keys and header values.
fn check_name(name: &'static str, value: &str) -> Result<()> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.:[]".contains(c);
    if value.chars().all(allowed) {
        return Ok(());
    }
    let fix = "use letters, digits and any of -_.:[]".to_owned();
    Err(Error::Setting { name, value: value.to_owned(), fix })
}

fn parse_peers(value: Option<String>) -> Result<Vec<SocketAddr>> {
    let mut peers = Vec::new();
    for address in value.unwrap_or_default().split(',') {
        let address = address.trim();
        if address.is_empty() {
            continue;
        }
        let parsed = address.parse().map_err(|_| Error::Setting {
            name: "peers",
            value: address.to_owned(),
            fix: "must be IP:PORT, separated by commas".to_owned(),
        })?;
        peers.push(parsed);
    }
    Ok(peers)
}

fn parse_platform(value: Option<String>) -> PlatformSetting {
    match value.as_deref() {
        None | Some("embedded") => PlatformSetting::Embedded,
        Some(url) => PlatformSetting::Http(url.to_owned()),
    }
}

fn parse_log_format(value: Option<String>) -> Result<LogFormat> {
    match value.as_deref() {
        None | Some("text") => Ok(LogFormat::Text),
        Some("json") => Ok(LogFormat::Json),
        Some(other) => {
            Err(Error::Setting { name: "log-format", value: other.to_owned(), fix: "must be text or json".to_owned() })
        }
    }
}
