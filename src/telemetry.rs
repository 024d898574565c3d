//! Logging and metrics of a process.

#[cfg(test)]
mod telemetry_tests;

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

/// Upper bounds of the buckets of latency histograms, in seconds.
const LATENCY_BUCKETS_S: [f64; 14] =
    [0.000_5, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 30.0];

/// Capacity of the queue of log lines; further lines are dropped and counted.
const MAX_QUEUED_LINES: usize = 8_192;
/// Delay between the first queued line and the write, so that lines are written in batches.
const WRITE_DELAY_MS: u64 = 40;
/// Longest wait for queued lines to be written when the process ends.
const FLUSH_TIMEOUT_MS: u64 = 400;

/// Message to the thread that writes log lines.
enum LogMessage {
    Line(String),
    /// Asks the thread to write everything queued before this message and then send on this channel.
    Flush(SyncSender<()>),
}

static LOG_QUEUE: OnceLock<SyncSender<LogMessage>> = OnceLock::new();
/// Lines dropped since the last write.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Sends log records to standard error.
///
/// # Errors
/// Fails if the process has a logger already.
pub fn start_logging(format: LogFormat) -> Result<()> {
    format_records(format).chain(std::io::stderr()).apply()?;
    Ok(())
}

/// Sends log records to standard output without blocking the caller: a thread writes them from a bounded queue, and
/// records that do not fit in the queue are dropped and counted.
///
/// # Errors
/// Fails if the process has a logger already.
pub fn start_non_blocking_logging(format: LogFormat) -> Result<()> {
    let (sender, queue) = sync_channel(MAX_QUEUED_LINES);
    thread::spawn(move || write_lines(format, &queue));
    let _ = LOG_QUEUE.set(sender.clone());
    let output = fern::Output::call(move |record| {
        if sender.try_send(LogMessage::Line(record.args().to_string())).is_err() {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
    });
    format_records(format).chain(output).apply()?;
    Ok(())
}

/// Waits up to [`FLUSH_TIMEOUT_MS`] until the lines logged so far are written.
pub(crate) fn flush_logs() {
    let Some(sender) = LOG_QUEUE.get() else { return };
    let (done, written) = sync_channel(1);
    if sender.try_send(LogMessage::Flush(done)).is_ok() {
        // A blocked standard output must not keep the process from ending.
        let _ = written.recv_timeout(Duration::from_millis(FLUSH_TIMEOUT_MS));
    }
}

fn write_lines(format: LogFormat, queue: &Receiver<LogMessage>) {
    while let Ok(first) = queue.recv() {
        if matches!(first, LogMessage::Line(_)) {
            thread::sleep(Duration::from_millis(WRITE_DELAY_MS));
        }
        let mut text = String::new();
        let mut flush_requests = Vec::new();
        for message in std::iter::once(first).chain(queue.try_iter()) {
            match message {
                LogMessage::Line(line) => {
                    text.push_str(&line);
                    text.push('\n');
                }
                LogMessage::Flush(done) => flush_requests.push(done),
            }
        }
        let dropped_lines = DROPPED_LINES.swap(0, Ordering::Relaxed);
        if dropped_lines > 0 {
            text.push_str(&dropped_lines_record(format, dropped_lines));
            text.push('\n');
        }
        // A failed write to standard output cannot be logged.
        let _ = std::io::stdout().lock().write_all(text.as_bytes());
        for done in flush_requests {
            let _ = done.send(());
        }
    }
}

/// Reports dropped lines. They are not logged, because the queue may still be full.
fn dropped_lines_record(format: LogFormat, dropped_lines: u64) -> String {
    let message = format!("lines={dropped_lines} outcome=left_out");
    match format {
        LogFormat::Text => format!("{} WARN {}: {message}", jiff::Timestamp::now(), module_path!()),
        LogFormat::Json => json!({ "level": "WARN", "message": message }).to_string(),
    }
}

fn format_records(format: LogFormat) -> fern::Dispatch {
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

/// Handle to the process's metrics; the first call installs the recorder.
pub(crate) fn metrics_handle() -> PrometheusHandle {
    static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();
    HANDLE.get_or_init(install_recorder).clone()
}

fn install_recorder() -> PrometheusHandle {
    let latency = Matcher::Suffix("_seconds".to_owned());
    let builder = PrometheusBuilder::new();
    let recorder = match builder.set_buckets_for_metric(latency, &LATENCY_BUCKETS_S) {
        Ok(builder) => builder.build_recorder(),
        // Fails only on an empty list of buckets.
        Err(_) => PrometheusBuilder::new().build_recorder(),
    };
    let handle = recorder.handle();
    if metrics::set_global_recorder(recorder).is_err() {
        log::warn!("another metrics recorder is already installed; /metrics will be empty");
    }
    handle
}

/// Prints a line to standard output and flushes it, so that the process that started this one can read the bound
/// addresses from it.
pub fn print_startup_line(line: &str) {
    let mut out = std::io::stdout().lock();
    // A closed standard output means that no one reads the line.
    let _ = writeln!(out, "{line}");
    let _ = out.flush();
}
