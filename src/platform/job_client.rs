//! Hands jobs in and asks for them, as callers do.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use ureq::http::Response;
use ureq::{Agent, Body};

use super::callers::{is_job_id, DEADLINE_MS};
use crate::error::{Error, Result};

const TIMEOUT_MS: u64 = 5_000;
const MAX_ANSWER_BYTES: u64 = 1 << 20;

/// A job of one step.
#[derive(Debug, Clone, PartialEq)]
pub struct JobOrder {
    /// What the work items are to do; passed on as it is.
    pub spec: String,
    /// Work items.
    pub tasks: u32,
    /// Need of each, in thousandths of a core.
    pub cpu_milli: u64,
    /// Need of each, in MB.
    pub mem_mb: u64,
    /// How long each is thought to run, in milliseconds.
    pub estimate_ms: u64,
}

/// State of a job, as the daemon tells it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobState {
    /// No work item has started.
    Queued,
    /// Work items run, or wait for others.
    Running,
    /// All work items are done.
    Completed,
    /// A work item has failed too often.
    Failed,
    /// Its caller cancelled it.
    Cancelled,
}

impl JobState {
    /// Whether it will not change any more.
    pub fn is_final(self) -> bool {
        matches!(self, JobState::Completed | JobState::Failed | JobState::Cancelled)
    }

    /// Its name in answers.
    pub fn as_str(self) -> &'static str {
        match self {
            JobState::Queued => "queued",
            JobState::Running => "running",
            JobState::Completed => "completed",
            JobState::Failed => "failed",
            JobState::Cancelled => "cancelled",
        }
    }
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct OrderBody<'a> {
    spec: &'a str,
    steps: [StepBody; 1],
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct StepBody {
    count: u32,
    cpu: u64,
    mem_mb: u64,
    estimate_ms: u64,
}

#[derive(Deserialize)]
struct StateBody {
    state: JobState,
}

#[derive(Deserialize)]
struct PendingBody {
    // Accepted jobs for which nothing has started.
    pending: u64,
}

/// Client of one queue at one daemon.
#[derive(Debug)]
pub struct JobClient {
    agent: Agent,
    address: String,
    host: String,
    path_prefix: String,
}

impl JobClient {
    /// A client of the queue of a host name and path prefix, written `print.example/jobs/`.
    ///
    /// # Errors
    /// Fails if the queue is not written so.
    pub fn new(address: &str, queue: &str) -> Result<JobClient> {
        let Some((host, path)) = queue.split_once('/').filter(|(host, _)| !host.is_empty()) else {
            let fix = "must be a host name and a path, such as print.example/jobs/".to_owned();
            return Err(Error::Setting { name: "--queue", value: queue.to_owned(), fix });
        };
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(Duration::from_millis(TIMEOUT_MS)))
            .build();
        Ok(JobClient {
            agent: config.into(),
            address: address.to_owned(),
            host: host.to_owned(),
            path_prefix: format!("/{}/", path.trim_matches('/')),
        })
    }

    /// Hands a job in. Handing the same job in again changes nothing.
    ///
    /// # Errors
    /// Fails if the daemon refuses it or does not answer; after no answer it may have been accepted.
    pub fn submit(&self, id: &str, order: &JobOrder) -> Result<()> {
        let step =
            StepBody { count: order.tasks, cpu: order.cpu_milli, mem_mb: order.mem_mb, estimate_ms: order.estimate_ms };
        let url = self.url(id)?;
        let request = self.agent.post(&url).header("host", &self.host).header(DEADLINE_MS, TIMEOUT_MS.to_string());
        let body = OrderBody { spec: &order.spec, steps: [step] };
        // Plain texts and numbers always serialize.
        let body = serde_json::to_vec(&body).unwrap_or_default();
        self.read(request.header("content-type", "application/json").send(&body)).map(|_| ())
    }

    /// The state of a job; `None` if there is no such job.
    ///
    /// # Errors
    /// Fails if the daemon does not answer.
    pub fn state(&self, id: &str) -> Result<Option<JobState>> {
        let url = self.url(id)?;
        match self.read(self.agent.get(&url).header("host", &self.host).call()) {
            Ok(body) => parsed::<StateBody>(&body).map(|body| Some(body.state)),
            Err(Error::Refused { status: 410, .. }) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Cancels a job; `false` if there is no such job.
    ///
    /// # Errors
    /// Fails if the daemon does not answer.
    pub fn cancel(&self, id: &str) -> Result<bool> {
        let url = self.url(id)?;
        match self.read(self.agent.delete(&url).header("host", &self.host).call()) {
            Ok(_) => Ok(true),
            Err(Error::Refused { status: 410, .. }) => Ok(false),
            Err(error) => Err(error),
        }
    }

    /// How many accepted jobs of the queue have not begun.
    ///
    /// # Errors
    /// Fails if there is no such queue or the daemon does not answer.
    pub fn waiting(&self) -> Result<u64> {
        let url = format!("http://{}{}", self.address, self.path_prefix);
        let body = self.read(self.agent.get(&url).header("host", &self.host).call())?;
        parsed::<PendingBody>(&body).map(|body| body.pending)
    }

    fn read(&self, answer: std::result::Result<Response<Body>, ureq::Error>) -> Result<Vec<u8>> {
        let no_answer =
            |error: ureq::Error| Error::NoResponse { address: self.address.clone(), reason: error.to_string() };
        let mut answer = answer.map_err(no_answer)?;
        let status = answer.status().as_u16();
        let body = answer.body_mut().with_config().limit(MAX_ANSWER_BYTES).read_to_vec().map_err(no_answer)?;
        if answer.status().is_success() {
            return Ok(body);
        }
        let retry = answer.headers().get("retry-after").and_then(|value| value.to_str().ok());
        let message = match (status, retry) {
            (404, _) => "there is no such queue".to_owned(),
            (_, Some(after)) => format!("not accepted now; come back in {after} s"),
            _ => format!("status {status}: {}", String::from_utf8_lossy(&body)),
        };
        Err(Error::Refused { status, message })
    }

    fn url(&self, id: &str) -> Result<String> {
        if !is_job_id(id) {
            let fix = "must be 16 hexadecimal digits".to_owned();
            return Err(Error::Setting { name: "ID", value: id.to_owned(), fix });
        }
        Ok(format!("http://{}{}{id}", self.address, self.path_prefix))
    }
}

fn parsed<T: for<'a> Deserialize<'a>>(body: &[u8]) -> Result<T> {
    let unexpected = |error| Error::Refused { status: 200, message: format!("unexpected answer: {error}") };
    serde_json::from_slice(body).map_err(unexpected)
}
