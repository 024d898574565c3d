//! Logs and metrics of a process.

use std::io::Write;
use std::sync::OnceLock;

use log::LevelFilter;
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use serde_json::json;

use crate::error::Result;
use crate::settings::LogFormat;

/// Upper bounds of the latency histogram, in seconds.
const LATENCY_BUCKETS_S: [f64; 14] =
    [0.000_5, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 30.0];

/// Sends log records to standard error.
///
/// # Errors
/// Fails if the process has a logger already.
pub fn start_logging(format: LogFormat) -> Result<()> {
    let dispatch = fern::Dispatch::new().level(LevelFilter::Info).format(move |out, message, record| {
        let time = jiff::Timestamp::now();
        let (level, target) = (record.level(), record.target());
        match format {
            LogFormat::Text => out.finish(format_args!("{time} {level} {target}: {message}")),
            LogFormat::Json => {
                let line = json!({
                    "time": time.to_string(),
                    "level": level.as_str(),
                    "target": target,
                    "message": message.to_string(),
                });
                out.finish(format_args!("{line}"));
            }
        }
    });
    dispatch.chain(std::io::stderr()).apply()?;
    Ok(())
}

/// The process's metrics; installed on first use.
pub(crate) fn metrics_handle() -> PrometheusHandle {
    static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();
    HANDLE.get_or_init(install_recorder).clone()
}

fn install_recorder() -> PrometheusHandle {
    let latency = Matcher::Suffix("_seconds".to_owned());
    let builder = PrometheusBuilder::new();
    let recorder = match builder.set_buckets_for_metric(latency, &LATENCY_BUCKETS_S) {
        Ok(builder) => builder.build_recorder(),
        // Only an empty list of buckets is refused.
        Err(_) => PrometheusBuilder::new().build_recorder(),
    };
    let handle = recorder.handle();
    if metrics::set_global_recorder(recorder).is_err() {
        log::warn!("another metrics recorder is installed; /metrics shows nothing");
    }
    handle
}

/// Prints one line to standard output at once, for whoever started the process.
pub fn announce(line: &str) {
    let mut out = std::io::stdout().lock();
    // Nobody reads it if it cannot be written.
    let _ = writeln!(out, "{line}");
    let _ = out.flush();
}
