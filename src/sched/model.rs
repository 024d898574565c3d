//! Data types of the scheduler: queues, jobs, tasks, workers and hosts.

mod hosts;
mod resources;

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::organisation::Organisations;

pub(crate) use hosts::{HostList, HostOrderOutcome, HostPhase, HostRecord, WaveOrder};
pub(crate) use resources::Resources;

/// The queues, pools and organisations of the current configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct Catalog {
    pub(crate) version: u64,
    pub(crate) queues: Vec<Arc<Queue>>,
    pub(crate) pools: Vec<PoolConfig>,
    pub(crate) organisations: Organisations,
}

impl Catalog {
    /// Finds the queue for a request: the host name must match, and the longest matching path prefix wins.
    pub(crate) fn queue_for(&self, host: &str, path: &str) -> Option<&Arc<Queue>> {
        let mut best: Option<&Arc<Queue>> = None;
        for queue in &self.queues {
            if !queue.host.eq_ignore_ascii_case(host) || !path.starts_with(&*queue.path_prefix) {
                continue;
            }
            if best.is_none_or(|best| queue.path_prefix.len() > best.path_prefix.len()) {
                best = Some(queue);
            }
        }
        best
    }

    pub(crate) fn queue(&self, name: &str) -> Option<&Arc<Queue>> {
        self.queues.iter().find(|queue| &*queue.name == name)
    }

    pub(crate) fn pool(&self, name: &str) -> Option<&PoolConfig> {
        self.pools.iter().find(|pool| &*pool.name == name)
    }
}

/// A queue of jobs, served by the workers of one pool.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Queue {
    pub(crate) name: Arc<str>,
    pub(crate) host: Arc<str>,
    pub(crate) path_prefix: Arc<str>,
    pub(crate) pool: Arc<str>,
    /// Lower values are scheduled first.
    pub(crate) priority: u32,
    /// Number of failed runs of a task after which the job fails.
    pub(crate) max_attempts: u32,
    /// A job's deadline allows for this multiple of its critical path plus `target_latency_ms`.
    pub(crate) stretch: f64,
    pub(crate) target_latency_ms: u64,
    /// Present if tasks may run only on workers for which the advice service has issued a ticket.
    pub(crate) advice: Option<AdvicePolicy>,
    /// Whether callers must present the key of an organisation. Only the configuration in force decides this, so it is
    /// not stored with jobs.
    #[serde(skip)]
    pub(crate) requires_key: bool,
}

/// Rules for tickets of the advice service.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub(crate) struct AdvicePolicy {
    /// Validity of a ticket if the service does not state one.
    pub(crate) valid_ms: u64,
}

/// Configuration of one pool of workers.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct PoolConfig {
    pub(crate) name: Arc<str>,
    /// Whether this is the spare pool, whose hosts are switched off and cost nothing.
    pub(crate) spare: bool,
}

/// ID of a job, chosen by its caller.
pub(crate) type JobId = Arc<str>;

/// State of a job as reported to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum JobPhase {
    /// No task has started.
    Queued,
    Running,
    /// All tasks have completed.
    Completed,
    /// A task has failed as often as its queue allows.
    Failed,
    Cancelled,
}

impl JobPhase {
    /// Whether the job cannot change its phase any more.
    pub(crate) fn is_final(self) -> bool {
        matches!(self, JobPhase::Completed | JobPhase::Failed | JobPhase::Cancelled)
    }
}

/// Where a job was submitted, and on whose behalf. This decides which callers see the job.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct JobOrigin {
    pub(crate) queue: Arc<str>,
    pub(crate) organisation: Option<Arc<str>>,
}

/// A job's phase as it is reported to callers.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct ReportedPhase {
    pub(crate) job: JobId,
    pub(crate) phase: JobPhase,
    /// `None` if the job belongs to no organisation.
    pub(crate) origin: Option<JobOrigin>,
}

/// A job whose submission was removed, or that was cancelled before it was submitted.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct FinishedJob {
    pub(crate) phase: JobPhase,
    /// `None` if the job belonged to no organisation.
    pub(crate) origin: Option<JobOrigin>,
    pub(crate) was_submitted: bool,
}

/// A job as its caller submitted it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct JobSpec {
    /// The queue as configured when the job was accepted; it may have been removed from the configuration since.
    pub(crate) queue: Arc<Queue>,
    /// Opaque text that a worker receives with every start order for a task of the job.
    pub(crate) task_spec: Arc<str>,
    pub(crate) steps: Vec<Step>,
    /// Number of occurrences of a recurring job; 0 for a job that runs once, immediately.
    pub(crate) recurring_occurrences: u32,
    /// Due time of the first occurrence.
    pub(crate) first_run_unix_ms: u64,
    /// Time between the due times of two occurrences.
    pub(crate) interval_ms: u64,
    /// Acceptance time on the clock of the daemon that accepted the job.
    pub(crate) accepted_unix_ms: u64,
    /// Organisation that submitted the job; `None` if it was submitted without a key. Stored after the other fields, see
    /// [`encode_spec`](super::record::encode_spec).
    #[serde(skip)]
    pub(crate) organisation: Option<Arc<str>>,
}

impl JobSpec {
    pub(crate) fn origin(&self) -> JobOrigin {
        JobOrigin { queue: self.queue.name.clone(), organisation: self.organisation.clone() }
    }

    /// The phase to be reported for this job.
    pub(crate) fn reported_phase(&self, job: JobId, phase: JobPhase) -> ReportedPhase {
        ReportedPhase { job, phase, origin: self.organisation.is_some().then(|| self.origin()) }
    }
}

/// A group of identical tasks within a job.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Step {
    /// Number of tasks.
    pub(crate) count: u32,
    /// Resources that each task needs.
    pub(crate) needs: Resources,
    /// Estimated run time of a task.
    pub(crate) estimate_ms: u64,
    /// Indexes of the earlier steps that must complete first.
    pub(crate) after: Vec<u32>,
    /// Whether the tasks write checkpoints from which a later run resumes.
    pub(crate) checkpoints: bool,
    /// Whether the tasks must all run at the same time.
    pub(crate) gang: bool,
    /// Whether to place the gang within one rack if possible; it runs more slowly across racks.
    pub(crate) same_rack: bool,
    pub(crate) required_label: Option<Arc<str>>,
    /// Rack that holds the input data; workers there are preferred.
    pub(crate) data_rack: Option<Arc<str>>,
    /// Maximum number of tasks of this step on one worker.
    pub(crate) max_per_worker: Option<u32>,
    /// Whether a task may have a copy: a second run beside the first, of which the first to complete counts.
    pub(crate) speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    pub(crate) long_running: bool,
    /// Accepted from callers, but not used by the scheduler.
    pub(crate) image: Option<Arc<str>>,
    /// Target for the tail latency of a task that serves users. Best-effort tasks are slowed down to meet it.
    pub(crate) target_ms: Option<u64>,
    /// Whether the tasks use only CPU time that others leave idle; no CPU is reserved for them. Callers call it
    /// `fills`.
    pub(crate) best_effort: bool,
    /// Maximum number of tasks that the scheduler itself may make unavailable at the same time.
    pub(crate) max_unavailable: Option<u32>,
}

impl Step {
    /// Whether the tasks can run on any worker with enough free capacity.
    pub(crate) fn has_no_placement_constraints(&self) -> bool {
        self.required_label.is_none() && self.max_per_worker.is_none() && !self.best_effort && self.target_ms.is_none()
    }

    /// Whether it matters for the placement of a task where the other tasks of the step are.
    pub(crate) fn has_placement_by_siblings(&self) -> bool {
        self.max_per_worker.is_some() || self.long_running
    }

    /// Number of tasks that must start at the same time.
    pub(crate) fn started_together(&self) -> u32 {
        if self.gang {
            self.count
        } else {
            1
        }
    }

    /// Whether the scheduler may start copies of the tasks. Gangs and long-running tasks get none.
    pub(crate) fn allows_copies(&self) -> bool {
        self.speculative && !self.gang && !self.long_running
    }

    /// Resources that a task reserves on its worker.
    pub(crate) fn reserved(&self) -> Resources {
        if self.best_effort {
            return Resources { cpu_milli: 0, ..self.needs };
        }
        self.needs
    }
}

/// Identifies one task of a job.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct TaskRef {
    pub(crate) job: JobId,
    pub(crate) occurrence: u32,
    pub(crate) step: u32,
    pub(crate) index: u32,
}

/// A worker's entry in the registry, written by the worker itself.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct WorkerEntry {
    pub(crate) id: Arc<str>,
    pub(crate) address: SocketAddr,
    pub(crate) pool: Arc<str>,
    pub(crate) zone: Arc<str>,
    /// Start time of the worker process; distinguishes incarnations with the same ID.
    pub(crate) started_unix_ms: u64,
    pub(crate) draining: bool,
    /// Time for which a draining worker stays at least, as of its latest report.
    pub(crate) remaining_ms: u64,
    pub(crate) capacity: Resources,
    pub(crate) labels: Arc<[Arc<str>]>,
    /// Host on which the worker runs, if it reports one.
    pub(crate) host: Option<Arc<str>>,
}

/// A run in progress, as its worker reports it.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct ActiveRun {
    pub(crate) task: TaskRef,
    pub(crate) run: u32,
    pub(crate) checkpoint: Arc<str>,
    pub(crate) percent: u32,
    /// Tail latency in milliseconds for a task with a latency target, otherwise CPU usage.
    pub(crate) load: Option<u64>,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunOutcome {
    Done,
    Failed,
    Stopped,
    LeaseExpired,
    /// Another member of the gang ended.
    GangMemberEnded,
    /// The other members of the gang did not start in time.
    GangIncomplete,
}

/// A run that ended, as its worker reports it.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct EndedRun {
    /// Number of the ended run: an incarnation of a worker numbers its ended runs in the order in which they end.
    pub(crate) number: u64,
    pub(crate) task: TaskRef,
    pub(crate) run: u32,
    pub(crate) outcome: RunOutcome,
    pub(crate) checkpoint: Arc<str>,
}

/// A worker's answer to a hold request, which renews its lease and asks for its runs.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct HoldAnswer {
    /// Time since the worker started, on its own clock.
    pub(crate) clock_ms: u64,
    pub(crate) started_unix_ms: Option<u64>,
    /// Whether the lists hold all active runs, and all ended runs that are not acknowledged.
    pub(crate) is_complete: bool,
    pub(crate) running: Vec<ActiveRun>,
    pub(crate) ended: Vec<EndedRun>,
}

/// Why a worker refused an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OrderRefusal {
    /// The worker has seen a higher fencing token.
    Fenced,
    /// The worker has already had a run of the task with this number or a higher one.
    StaleRun,
    /// The lease given by the order had already expired.
    LeaseExpired,
    InsufficientCapacity,
    TicketRejected,
    /// A different worker answers at this address.
    WrongWorker,
    Unhealthy,
    Invalid,
}

/// Outcome of an order to a worker.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum OrderOutcome {
    Accepted {
        clock_ms: Option<u64>,
    },
    Refused(OrderRefusal),
    /// The worker could not be reached, so the order has certainly not been carried out.
    NotSent,
    /// The order was not sent, since what it was decided on no longer holds.
    Withdrawn,
    /// No answer arrived; the worker may have carried out the order, or may do so later.
    Unanswered,
}

/// The advice service's answer: tickets for the workers that may run a step.
#[derive(Debug, Clone, Default)]
pub(crate) struct Advice {
    /// Worker IDs with their tickets.
    pub(crate) tickets: Vec<(Arc<str>, Arc<str>)>,
    /// Validity of the tickets; [`AdvicePolicy::valid_ms`] applies if the service does not state one.
    pub(crate) valid_ms: Option<u64>,
}
