//! Reads the settings of the control role, from the file that the users' platform places on each host.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use serde_json::Value;

use crate::control::ControlSettings;
use crate::error::{Error, Result};

/// Environment variable with the path of the settings file.
const PATH_VARIABLE: &str = "SARDINESEAM_BOOT";

/// Limit on orders to the host provider per second, if the file sets none.
const DEFAULT_HOST_ORDERS_PER_S: u64 = 16;

/// [`ControlSettings::revocation_ms`], if the file sets none.
const DEFAULT_REVOCATION_MS: u64 = 5_000;

/// Reads the settings file whose path is in the environment variable `SARDINESEAM_BOOT`.
///
/// # Errors
/// The error names the variable, file or field that is missing or invalid.
pub fn load() -> Result<ControlSettings> {
    let Some(path) = std::env::var_os(PATH_VARIABLE) else {
        let fix = "must hold the path of the platform's settings file".to_owned();
        return Err(Error::Setting { name: PATH_VARIABLE, value: String::new(), fix });
    };
    let path = Path::new(&path);
    let text = std::fs::read(path).map_err(Error::io(format!("read settings {}", path.display())))?;
    parse(&text)
}

/// Parses the content of a settings file. Unknown fields are ignored.
///
/// # Errors
/// The error names the field that is missing or invalid.
pub fn parse(text: &[u8]) -> Result<ControlSettings> {
    let value: Value = serde_json::from_slice(text).map_err(|error| Error::SettingsFile {
        field: "(whole file)".to_owned(),
        fix: format!("must be JSON: {error}"),
    })?;
    let fields = Fields(&value);
    Ok(ControlSettings {
        name: fields.string("node")?,
        zone: fields.string("zone")?,
        callers_listen: fields.address("listen.front")?,
        readiness_listen: fields.address("listen.readiness")?,
        store: fields.address("platform.addr")?,
        provider: fields.optional_address("cloudApi.addr")?,
        advice: fields.optional_address("advice")?,
        orders_by_heartbeat: fields.optional_string("orders")? == Some("heartbeat".into()),
        cpu_share: fields.non_negative("limits.cpuShare")?,
        max_lease_ms: fields.integer("bounds.holdMaxMs")?,
        stop_grace_ms: fields.integer("bounds.stopGraceMs")?,
        leader_change_wait_ms: fields.integer("bounds.leaseMs")?,
        host_move_ms: fields.seconds_as_ms("bounds.moveS")?,
        host_maintenance_ms: fields.seconds_as_ms("bounds.upkeepS")?,
        host_orders_per_s: fields.integer_or("cloudApi.dutyPerS", DEFAULT_HOST_ORDERS_PER_S)? as u32,
        shutdown_grace_ms: fields.seconds_as_ms("bounds.graceS")?,
        revokes_strictly: fields.boolean_or("bounds.revokeStrict", false)?,
        revocation_ms: fields.integer_or("bounds.revokeMs", DEFAULT_REVOCATION_MS)?,
    })
}

/// Looks up fields by their dotted path, such as `listen.front`. A field that is null counts as missing.
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

    fn optional_string(&self, path: &str) -> Result<Option<Arc<str>>> {
        let Some(value) = self.find(path) else { return Ok(None) };
        let text = value.as_str().ok_or_else(|| invalid(path, "must be a string"))?;
        Ok(Some(text.into()))
    }

    fn string(&self, path: &str) -> Result<Arc<str>> {
        self.optional_string(path)?.ok_or_else(|| invalid(path, "is missing; must be a string"))
    }

    /// An empty string counts as missing.
    fn optional_address(&self, path: &str) -> Result<Option<SocketAddr>> {
        let Some(text) = self.optional_string(path)? else { return Ok(None) };
        if text.is_empty() {
            return Ok(None);
        }
        text.parse().map(Some).map_err(|_| invalid(path, "must be IP:PORT"))
    }

    fn address(&self, path: &str) -> Result<SocketAddr> {
        self.optional_address(path)?.ok_or_else(|| invalid(path, "is missing; must be IP:PORT"))
    }

    fn non_negative(&self, path: &str) -> Result<f64> {
        let value = self.find(path).and_then(Value::as_f64);
        value.filter(|number| *number >= 0.0).ok_or_else(|| invalid(path, "must be a number that is not negative"))
    }

    /// Discards the fractional part.
    fn integer(&self, path: &str) -> Result<u64> {
        self.non_negative(path).map(|number| number as u64)
    }

    fn integer_or(&self, path: &str, default: u64) -> Result<u64> {
        if self.find(path).is_none() {
            return Ok(default);
        }
        self.integer(path)
    }

    fn boolean_or(&self, path: &str, default: bool) -> Result<bool> {
        let Some(value) = self.find(path) else { return Ok(default) };
        value.as_bool().ok_or_else(|| invalid(path, "must be true or false"))
    }

    fn seconds_as_ms(&self, path: &str) -> Result<u64> {
        self.non_negative(path).map(|seconds| (seconds * 1_000.0) as u64)
    }
}

fn invalid(path: &str, fix: &str) -> Error {
    Error::SettingsFile { field: path.to_owned(), fix: fix.to_owned() }
}
