//! Settings from flags, environment variables and defaults, in this order.

use std::net::SocketAddr;
use std::str::FromStr;

use sardineseam::{
    parse_deployment_settings, ControlSettings, Error, LogFormat, PlatformSetting, PlatformStandIn, Result, Settings,
};

use super::args::Sardineseamd;

const MAX_DEFAULT_LANES: usize = 4;
const VARIABLE_PREFIX: &str = "SARDINESEAM_";

/// Looks settings up in the environment.
pub(crate) type Environment<'a> = &'a dyn Fn(&str) -> Option<String>;

struct Source<'a> {
    environment: Environment<'a>,
}

impl Source<'_> {
    fn text(&self, name: &str, flag: Option<String>) -> Option<String> {
        let variable = format!("{VARIABLE_PREFIX}{}", name.replace('-', "_").to_uppercase());
        flag.or_else(|| (self.environment)(&variable)).filter(|value| !value.is_empty())
    }

    fn parsed<T: FromStr>(&self, name: &'static str, flag: Option<String>, default: T, fix: &str) -> Result<T> {
        let Some(value) = self.text(name, flag) else { return Ok(default) };
        value.parse().map_err(|_| Error::Setting { name, value, fix: fix.to_owned() })
    }

    fn address(&self, name: &'static str, flag: Option<String>, default: SocketAddr) -> Result<SocketAddr> {
        self.parsed(name, flag, default, "must be IP:PORT")
    }

    fn count<T: FromStr>(&self, name: &'static str, flag: Option<String>, default: T) -> Result<T> {
        self.parsed(name, flag, default, "must be a whole number")
    }
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// One thread for each processor, as far as more of them help.
fn default_lanes() -> usize {
    std::thread::available_parallelism().map_or(1, |count| count.get().min(MAX_DEFAULT_LANES))
}

/// Builds the daemon's settings.
///
/// # Errors
/// Names the first setting that is not usable.
pub(crate) fn settings(args: Sardineseamd, environment: Environment<'_>) -> Result<Settings> {
    let source = Source { environment };
    let zone = source.text("zone", args.zone).unwrap_or_else(|| "local".to_owned());
    let peer_listen = source.address("peer-listen", args.peer_listen, loopback(7082))?;
    let name = source.text("name", args.name).unwrap_or_else(|| format!("{zone}-{peer_listen}"));
    check_name("name", &name)?;
    check_name("zone", &zone)?;
    let peer_advertise = match source.text("peer-advertise", args.peer_advertise) {
        Some(value) => Some(source.address("peer-advertise", Some(value), peer_listen)?),
        None => None,
    };
    Ok(Settings {
        name: name.into(),
        zone: zone.into(),
        listen: source.address("listen", args.listen, loopback(7080))?,
        admin_listen: source.address("admin-listen", args.admin_listen, loopback(7081))?,
        peer_listen,
        peer_advertise,
        peers: peers(source.text("peers", args.peers))?,
        platform: platform(source.text("platform", args.platform)),
        sheet: source.text("sheet", args.sheet),
        log_format: log_format(source.text("log-format", args.log_format))?,
        bootstrap_token: source.text("bootstrap-token", args.bootstrap_token),
        otlp_url: source.text("otlp-url", args.otlp_url),
        lanes: source.count("lanes", args.lanes, default_lanes())?,
        max_callers: source.count("max-callers", args.max_callers, 4_096)?,
        max_body_bytes: source.count("max-body-bytes", args.max_body_bytes, 1 << 20)?,
        max_answer_bytes: source.count("max-answer-bytes", args.max_answer_bytes, 8 << 20)?,
        max_held_bytes: source.count("max-held-bytes", args.max_held_bytes, 16 << 20)?,
        default_deadline_ms: source.count("default-deadline-ms", args.default_deadline_ms, 30_000)?,
        endpoint_connections: source.count("endpoint-connections", args.endpoint_connections, 64)?,
        endpoint_slots: source.count("endpoint-slots", args.endpoint_slots, 8)?,
        max_queued: source.count("max-queued", args.max_queued, 512)?,
        max_queue_wait_ms: source.count("max-queue-wait-ms", args.max_queue_wait_ms, 1_000)?,
    })
}

/// The port of the metrics in the control role, if there is to be one.
///
/// # Errors
/// Names the flag if its value is no port.
pub(crate) fn metrics_port(value: Option<String>) -> Result<Option<u16>> {
    let Some(value) = value else { return Ok(None) };
    let fix = "must be a port from 1 to 65535".to_owned();
    match value.parse() {
        Ok(0) | Err(_) => Err(Error::Setting { name: "metrics-port", value, fix }),
        Ok(port) => Ok(Some(port)),
    }
}

/// Settings of a daemon in the control role that uses the stand-in.
///
/// # Errors
/// Names the flag if its value is no address.
pub(crate) fn stand_in(platform: &PlatformStandIn, listen: Option<String>) -> Result<ControlSettings> {
    let value = listen.unwrap_or_else(|| "127.0.0.1:7080".to_owned());
    let Ok(callers) = value.parse() else {
        return Err(Error::Setting { name: "listen", value, fix: "must be IP:PORT".to_owned() });
    };
    let readiness = ([127, 0, 0, 1], 0).into();
    let text = platform.settings("stand-in", callers, readiness, platform.store);
    parse_deployment_settings(text.as_bytes())
}

/// Names become parts of row keys and header values.
fn check_name(name: &'static str, value: &str) -> Result<()> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.:[]".contains(c);
    if value.chars().all(allowed) {
        return Ok(());
    }
    let fix = "use letters, digits and any of -_.:[]".to_owned();
    Err(Error::Setting { name, value: value.to_owned(), fix })
}

fn peers(value: Option<String>) -> Result<Vec<SocketAddr>> {
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

fn platform(value: Option<String>) -> PlatformSetting {
    match value.as_deref() {
        None | Some("embedded") => PlatformSetting::Embedded,
        Some(url) => PlatformSetting::Http(url.to_owned()),
    }
}

fn log_format(value: Option<String>) -> Result<LogFormat> {
    match value.as_deref() {
        None | Some("text") => Ok(LogFormat::Text),
        Some("json") => Ok(LogFormat::Json),
        Some(other) => {
            Err(Error::Setting { name: "log-format", value: other.to_owned(), fix: "must be text or json".to_owned() })
        }
    }
}
