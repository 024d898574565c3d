//! Settings file that the platform places on each machine, and the command to find it.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use serde_json::Value;

use crate::control::ControlSettings;
use crate::error::{Error, Result};

/// Environment variable that holds the path of the settings file.
const PATH_VARIABLE: &str = "SARDINESEAM_BOOT";

/// Orders about hosts in a second, where the provider names no rate.
const DEFAULT_HOST_ORDERS_PER_S: u64 = 16;

/// Reads the settings file that the environment names.
///
/// # Errors
/// Names the variable, file or field that is missing or not usable.
pub fn load() -> Result<ControlSettings> {
    let Some(path) = std::env::var_os(PATH_VARIABLE) else {
        let fix = "must hold the path of the platform's settings file".to_owned();
        return Err(Error::Setting { name: PATH_VARIABLE, value: String::new(), fix });
    };
    let path = Path::new(&path);
    let text = std::fs::read(path).map_err(Error::io(format!("read settings {}", path.display())))?;
    parse(&text)
}

/// Decodes settings; fields that this program does not know are ignored.
///
/// # Errors
/// Names the field that is missing or not usable.
pub fn parse(text: &[u8]) -> Result<ControlSettings> {
    let value: Value = serde_json::from_slice(text).map_err(|error| Error::DeploymentSetting {
        field: "(whole file)".to_owned(),
        fix: format!("must be JSON: {error}"),
    })?;
    let fields = Fields(&value);
    Ok(ControlSettings {
        name: fields.text("node")?,
        zone: fields.text("zone")?,
        callers_listen: fields.address("listen.front")?,
        readiness_listen: fields.address("listen.readiness")?,
        store: fields.address("platform.addr")?,
        provider: fields.optional_address("cloudApi.addr")?,
        advice: fields.optional_address("advice")?,
        orders_by_heartbeat: fields.optional_text("orders")? == Some("heartbeat".into()),
        cpu_share: fields.ratio("limits.cpuShare")?,
        max_lease_ms: fields.number("bounds.holdMaxMs")?,
        stop_grace_ms: fields.number("bounds.stopGraceMs")?,
        leader_change_wait_ms: fields.number("bounds.leaseMs")?,
        host_move_ms: fields.seconds_as_ms("bounds.moveS")?,
        host_maintenance_ms: fields.seconds_as_ms("bounds.upkeepS")?,
        host_orders_per_s: fields.number_or("cloudApi.dutyPerS", DEFAULT_HOST_ORDERS_PER_S)? as u32,
        shutdown_grace_ms: fields.seconds_as_ms("bounds.graceS")?,
    })
}

/// Looks fields up by their dotted path.
struct Fields<'a>(&'a Value);

impl Fields<'_> {
    fn find(&self, path: &str) -> Option<&Value> {
        let mut value = self.0;
        for part in path.split('.') {
            value = value.get(part)?;
        }
        if value.is_null() {
            return None;
        }
        Some(value)
    }

    fn optional_text(&self, path: &str) -> Result<Option<Arc<str>>> {
        let Some(value) = self.find(path) else { return Ok(None) };
        let text = value.as_str().ok_or_else(|| unusable(path, "must be a text"))?;
        Ok(Some(text.into()))
    }

    fn text(&self, path: &str) -> Result<Arc<str>> {
        self.optional_text(path)?.ok_or_else(|| unusable(path, "is missing; must be a text"))
    }

    fn optional_address(&self, path: &str) -> Result<Option<SocketAddr>> {
        let Some(text) = self.optional_text(path)? else { return Ok(None) };
        if text.is_empty() {
            return Ok(None);
        }
        text.parse().map(Some).map_err(|_| unusable(path, "must be IP:PORT"))
    }

    fn address(&self, path: &str) -> Result<SocketAddr> {
        self.optional_address(path)?.ok_or_else(|| unusable(path, "is missing; must be IP:PORT"))
    }

    fn ratio(&self, path: &str) -> Result<f64> {
        let value = self.find(path).and_then(Value::as_f64);
        value.filter(|number| *number >= 0.0).ok_or_else(|| unusable(path, "must be a number that is not negative"))
    }

    fn number(&self, path: &str) -> Result<u64> {
        self.ratio(path).map(|number| number as u64)
    }

    fn number_or(&self, path: &str, default: u64) -> Result<u64> {
        if self.find(path).is_none() {
            return Ok(default);
        }
        self.number(path)
    }

    fn seconds_as_ms(&self, path: &str) -> Result<u64> {
        self.ratio(path).map(|seconds| (seconds * 1_000.0) as u64)
    }
}

fn unusable(path: &str, fix: &str) -> Error {
    Error::DeploymentSetting { field: path.to_owned(), fix: fix.to_owned() }
}
