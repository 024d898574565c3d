//! Logs and metrics of a process.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::OnceLock;
use std::thread;
use std::time::Duration;

use log::LevelFilter;
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use serde_json::json;

use crate::error::Result;
use crate::settings::LogFormat;

/// Upper bounds of the latency histogram, in seconds.
const LATENCY_BUCKETS_S: [f64; 14] =
    [0.000_5, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 30.0];

/// Lines that wait to be written; further ones are left out and counted.
const MAX_WAITING_LINES: usize = 8_192;
/// Pause of the writer, in which lines gather to one write.
const GATHER_MS: u64 = 40;
/// Longest wait for the last lines when a process ends.
const FLUSH_MS: u64 = 400;

/// What the thread that writes log lines is told.
enum LogLine {
    Text(String),
    /// Everything before it is to be written; then the sender is told.
    Flush(SyncSender<()>),
}

static LINES: OnceLock<SyncSender<LogLine>> = OnceLock::new();
static LEFT_OUT: AtomicU64 = AtomicU64::new(0);

/// Sends log records to standard error.
///
/// # Errors
/// Fails if the process has a logger already.
pub fn start_logging(format: LogFormat) -> Result<()> {
    formatted(format).chain(std::io::stderr()).apply()?;
    Ok(())
}

/// Sends log records to standard output without ever waiting for it: a thread writes them, and what it cannot keep up
/// with is left out and counted.
///
/// # Errors
/// Fails if the process has a logger already.
pub fn start_non_blocking_logging(format: LogFormat) -> Result<()> {
    let (sender, lines) = sync_channel(MAX_WAITING_LINES);
    thread::spawn(move || write_lines(&lines));
    let _ = LINES.set(sender.clone());
    let output = fern::Output::call(move |record| {
        if sender.try_send(LogLine::Text(record.args().to_string())).is_err() {
            LEFT_OUT.fetch_add(1, Ordering::Relaxed);
        }
    });
    formatted(format).chain(output).apply()?;
    Ok(())
}

/// Waits a short time until the lines logged so far are written.
pub(crate) fn flush_logs() {
    let Some(sender) = LINES.get() else { return };
    let (done, written) = sync_channel(1);
    if sender.try_send(LogLine::Flush(done)).is_ok() {
        // A reader that does not read must not keep the process from ending.
        let _ = written.recv_timeout(Duration::from_millis(FLUSH_MS));
    }
}

fn write_lines(lines: &Receiver<LogLine>) {
    while let Ok(first) = lines.recv() {
        if matches!(first, LogLine::Text(_)) {
            thread::sleep(Duration::from_millis(GATHER_MS));
        }
        let mut text = String::new();
        let mut flushed = Vec::new();
        for line in std::iter::once(first).chain(lines.try_iter()) {
            match line {
                LogLine::Text(line) => {
                    text.push_str(&line);
                    text.push('\n');
                }
                LogLine::Flush(done) => flushed.push(done),
            }
        }
        let left_out = LEFT_OUT.swap(0, Ordering::Relaxed);
        if left_out > 0 {
            text.push_str(
                &json!({ "level": "WARN", "message": format!("lines={left_out} outcome=left_out") }).to_string(),
            );
            text.push('\n');
        }
        // Nobody reads it if it cannot be written.
        let _ = std::io::stdout().lock().write_all(text.as_bytes());
        for done in flushed {
            let _ = done.send(());
        }
    }
}

fn formatted(format: LogFormat) -> fern::Dispatch {
    fern::Dispatch::new().level(LevelFilter::Info).format(move |out, message, record| {
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
    })
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
