//! Blocking client of the job API, which callers use to submit, query and cancel jobs.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use ureq::http::header::AUTHORIZATION;
use ureq::http::{HeaderValue, Response};
use ureq::{Agent, Body, RequestBuilder};

use super::job_api::{is_job_id, DEADLINE_HEADER};
use crate::error::{Error, Result};

/// Environment variable from which the command line reads the key.
pub const KEY_VARIABLE: &str = "SARDINESEAM_KEY";
const TIMEOUT_MS: u64 = 5_000;
const MAX_RESPONSE_BYTES: u64 = 1 << 20;

/// A job with one step, to be submitted.
#[derive(Debug, Clone, PartialEq)]
pub struct JobSubmission {
    /// Describes the work; passed to the workers unchanged.
    pub spec: String,
    /// Number of tasks.
    pub tasks: u32,
    /// Processor need of each task, in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory need of each task, in MB.
    pub mem_mb: u64,
    /// Estimated run time of each task, in milliseconds.
    pub estimate_ms: u64,
}

/// State of a job, as the daemon reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobState {
    /// No task has started.
    Queued,
    /// A task has started, and the job has not ended.
    Running,
    /// All tasks are done.
    Completed,
    /// A task has used up its attempts.
    Failed,
    /// The caller has cancelled the job.
    Cancelled,
}

impl JobState {
    /// Whether the job has ended.
    pub fn is_final(self) -> bool {
        matches!(self, JobState::Completed | JobState::Failed | JobState::Cancelled)
    }

    /// Name of the state in the daemon's responses.
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
struct SubmissionBody<'a> {
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
struct JobStateBody {
    state: JobState,
}

#[derive(Deserialize)]
struct PendingBody {
    // Number of accepted jobs that have not started.
    pending: u64,
}

/// Client of one queue on one daemon.
#[derive(Debug)]
pub struct JobClient {
    agent: Agent,
    address: String,
    host: String,
    path_prefix: String,
    /// Value of the header that carries the key; marked as sensitive, so that `Debug` does not show it.
    authorization: Option<HeaderValue>,
}

impl JobClient {
    /// Creates a client of the daemon at `address`. `queue` is the queue's host name and path prefix, such as
    /// `print.example/jobs/`.
    ///
    /// # Errors
    /// Fails if `queue` does not have this form.
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
            authorization: None,
        })
    }

    /// Sends a key of the organisation that owns the jobs with each request.
    ///
    /// # Errors
    /// Fails if the key is empty or has characters that a header cannot carry. The error does not show the key.
    pub fn with_key(mut self, key: &str) -> Result<JobClient> {
        let is_valid = !key.is_empty() && key.bytes().all(|byte| byte.is_ascii_graphic());
        let header = HeaderValue::from_str(&format!("Bearer {key}")).ok().filter(|_| is_valid);
        let Some(mut header) = header else {
            let fix = "the key must consist of printable characters without spaces".to_owned();
            return Err(Error::Setting { name: KEY_VARIABLE, value: "(not shown)".to_owned(), fix });
        };
        header.set_sensitive(true);
        self.authorization = Some(header);
        Ok(self)
    }

    /// Submits a job. Idempotent: submitting the same job again changes nothing.
    ///
    /// # Errors
    /// Fails if the daemon refuses the job or does not respond. Without a response, the job may have been accepted.
    pub fn submit(&self, id: &str, job: &JobSubmission) -> Result<()> {
        let step = StepBody { count: job.tasks, cpu: job.cpu_milli, mem_mb: job.mem_mb, estimate_ms: job.estimate_ms };
        let url = self.url(id)?;
        let request = self.prepare(self.agent.post(&url)).header(DEADLINE_HEADER, TIMEOUT_MS.to_string());
        let body = SubmissionBody { spec: &job.spec, steps: [step] };
        // Serializing a struct of strings and numbers cannot fail.
        let body = serde_json::to_vec(&body).unwrap_or_default();
        self.read_response(request.header("content-type", "application/json").send(&body)).map(|_| ())
    }

    /// Returns a job's state, or `None` if there is no such job.
    ///
    /// # Errors
    /// Fails if the daemon does not respond.
    pub fn state(&self, id: &str) -> Result<Option<JobState>> {
        let url = self.url(id)?;
        match self.read_response(self.prepare(self.agent.get(&url)).call()) {
            Ok(body) => parse_body::<JobStateBody>(&body).map(|body| Some(body.state)),
            Err(Error::Refused { status: 410, .. }) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Cancels a job. Returns `false` if there is no such job.
    ///
    /// # Errors
    /// Fails if the daemon does not respond.
    pub fn cancel(&self, id: &str) -> Result<bool> {
        let url = self.url(id)?;
        match self.read_response(self.prepare(self.agent.delete(&url)).call()) {
            Ok(_) => Ok(true),
            Err(Error::Refused { status: 410, .. }) => Ok(false),
            Err(error) => Err(error),
        }
    }

    /// Returns the number of accepted jobs in the queue that have not started.
    ///
    /// # Errors
    /// Fails if there is no such queue or the daemon does not respond.
    pub fn pending_jobs(&self) -> Result<u64> {
        let url = format!("http://{}{}", self.address, self.path_prefix);
        let body = self.read_response(self.prepare(self.agent.get(&url)).call())?;
        parse_body::<PendingBody>(&body).map(|body| body.pending)
    }

    /// Adds the headers that all requests carry.
    fn prepare<B>(&self, request: RequestBuilder<B>) -> RequestBuilder<B> {
        let request = request.header("host", &self.host);
        match &self.authorization {
            Some(value) => request.header(AUTHORIZATION, value),
            None => request,
        }
    }

    fn read_response(&self, response: std::result::Result<Response<Body>, ureq::Error>) -> Result<Vec<u8>> {
        let no_response =
            |error: ureq::Error| Error::NoResponse { address: self.address.clone(), reason: error.to_string() };
        let mut response = response.map_err(no_response)?;
        let status = response.status().as_u16();
        let body = response.body_mut().with_config().limit(MAX_RESPONSE_BYTES).read_to_vec().map_err(no_response)?;
        if response.status().is_success() {
            return Ok(body);
        }
        let retry_after = response.headers().get("retry-after").and_then(|value| value.to_str().ok());
        let message = match (status, retry_after) {
            (401, _) => self.unauthorized_message(),
            (404, _) => "there is no such queue".to_owned(),
            (409, _) => "another organisation has a job with this id; use another id".to_owned(),
            (_, Some(seconds)) => format!("the daemon cannot accept the request now; retry in {seconds} s"),
            _ => format!("HTTP status {status}: {}", String::from_utf8_lossy(&body)),
        };
        Err(Error::Refused { status, message })
    }

    fn unauthorized_message(&self) -> String {
        match self.authorization {
            Some(_) => format!("the key in {KEY_VARIABLE} is not known, or has been withdrawn"),
            None => format!("this queue needs a key; set {KEY_VARIABLE} to one of your organisation's keys"),
        }
    }

    fn url(&self, id: &str) -> Result<String> {
        if !is_job_id(id) {
            let fix = "must be 16 hexadecimal digits".to_owned();
            return Err(Error::Setting { name: "ID", value: id.to_owned(), fix });
        }
        Ok(format!("http://{}{}{id}", self.address, self.path_prefix))
    }
}

fn parse_body<T: for<'a> Deserialize<'a>>(body: &[u8]) -> Result<T> {
    let unparsable =
        |error| Error::Refused { status: 200, message: format!("cannot parse the daemon's response: {error}") };
    serde_json::from_slice(body).map_err(unparsable)
}
