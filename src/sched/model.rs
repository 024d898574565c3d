//! What the scheduler speaks about: queues, jobs, work items, workers and hosts.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The configuration in force.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct Catalog {
    pub(crate) version: u64,
    pub(crate) queues: Vec<Arc<Queue>>,
    pub(crate) pools: Vec<PoolConfig>,
}

impl Catalog {
    /// The queue that a request is for: its host name and the longest prefix of its path.
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
    /// 0 comes first.
    pub(crate) priority: u32,
    /// Failed runs of one work item after which its job has failed.
    pub(crate) max_attempts: u32,
    /// A job's objective is this multiple of its longest chain of work, plus `target_latency_ms`.
    pub(crate) stretch: f64,
    pub(crate) target_latency_ms: u64,
    /// Present if the advice service must allow each worker of a step.
    pub(crate) advice: Option<AdvicePolicy>,
}

/// How long tickets of the advice service hold.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub(crate) struct AdvicePolicy {
    pub(crate) valid_ms: u64,
}

/// Rules of one pool of workers.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct PoolConfig {
    pub(crate) name: Arc<str>,
    /// Hosts of the spare pool are switched off and cost nothing.
    pub(crate) spare: bool,
}

/// Name of a job, chosen by its caller.
pub(crate) type JobId = Arc<str>;

/// Processor, memory and accelerators.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Resources {
    /// Thousandths of a core.
    pub(crate) cpu_milli: u64,
    pub(crate) mem_mb: u64,
    pub(crate) gpus: u64,
}

impl Resources {
    /// More than any worker has.
    pub(crate) const MAX: Resources = Resources { cpu_milli: u64::MAX, mem_mb: u64::MAX, gpus: u64::MAX };

    pub(crate) fn fits_in(&self, room: &Resources) -> bool {
        self.cpu_milli <= room.cpu_milli && self.mem_mb <= room.mem_mb && self.gpus <= room.gpus
    }

    pub(crate) fn add(&mut self, other: &Resources) {
        self.cpu_milli = self.cpu_milli.saturating_add(other.cpu_milli);
        self.mem_mb = self.mem_mb.saturating_add(other.mem_mb);
        self.gpus = self.gpus.saturating_add(other.gpus);
    }

    pub(crate) fn minus(&self, other: &Resources) -> Resources {
        Resources {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            mem_mb: self.mem_mb.saturating_sub(other.mem_mb),
            gpus: self.gpus.saturating_sub(other.gpus),
        }
    }
}

/// State of a job, as its caller is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum JobPhase {
    /// No work item has started.
    Queued,
    Running,
    /// All work items are done.
    Completed,
    /// A work item has failed too often.
    Failed,
    Cancelled,
}

impl JobPhase {
    /// Whether the job needs no more work.
    pub(crate) fn is_final(self) -> bool {
        matches!(self, JobPhase::Completed | JobPhase::Failed | JobPhase::Cancelled)
    }
}

/// What a caller submitted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct JobSpec {
    /// The queue as it was when the job was accepted; it may be gone from the configuration since.
    pub(crate) queue: Arc<Queue>,
    pub(crate) task_spec: Arc<str>,
    pub(crate) steps: Vec<Step>,
    /// How often the steps run on a timetable; 0 means once, at once.
    pub(crate) scheduled_occurrences: u32,
    pub(crate) first_run_unix_ms: u64,
    pub(crate) interval_ms: u64,
    /// Time of day at the daemon that accepted it.
    pub(crate) accepted_unix_ms: u64,
}

/// A group of like work items.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Step {
    pub(crate) count: u32,
    pub(crate) needs: Resources,
    pub(crate) estimate_ms: u64,
    /// Earlier steps that must be done first.
    pub(crate) after: Vec<u32>,
    pub(crate) checkpoints: bool,
    /// Work items run only together.
    pub(crate) gang: bool,
    /// A gang is slower when spread over racks.
    pub(crate) same_rack: bool,
    pub(crate) required_label: Option<Arc<str>>,
    pub(crate) data_rack: Option<Arc<str>>,
    /// Most work items of this step on one worker.
    pub(crate) max_per_worker: Option<u32>,
    pub(crate) speculative: bool,
    /// Runs until the job is cancelled.
    pub(crate) long_running: bool,
    pub(crate) image: Option<Arc<str>>,
    /// Response time that a work item serving its own users must stay below.
    pub(crate) target_ms: Option<u64>,
    /// Lives from capacity that others leave unused; its processor need is not counted.
    pub(crate) best_effort: bool,
    /// Work items that may be away at once by the system's own actions.
    pub(crate) max_unavailable: Option<u32>,
}

impl Step {
    /// Whether any worker with room will do.
    pub(crate) fn has_no_placement_constraints(&self) -> bool {
        self.required_label.is_none() && self.max_per_worker.is_none() && !self.best_effort && self.target_ms.is_none()
    }

    /// What a work item takes of a worker's capacity.
    pub(crate) fn reserved(&self) -> Resources {
        if self.best_effort {
            return Resources { cpu_milli: 0, ..self.needs };
        }
        self.needs
    }
}

/// One work item of a job.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct TaskRef {
    pub(crate) job: JobId,
    pub(crate) occurrence: u32,
    pub(crate) step: u32,
    pub(crate) index: u32,
}

/// A worker as it registers itself.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct WorkerEntry {
    pub(crate) id: Arc<str>,
    pub(crate) address: SocketAddr,
    pub(crate) pool: Arc<str>,
    pub(crate) zone: Arc<str>,
    /// Start of this life, Unix milliseconds; tells lives with one id apart.
    pub(crate) started_unix_ms: u64,
    pub(crate) draining: bool,
    pub(crate) capacity: Resources,
    pub(crate) labels: Vec<Arc<str>>,
    /// Host on which it runs, where it says so.
    pub(crate) host: Option<Arc<str>>,
}

/// One line of what a worker runs.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct ActiveRun {
    pub(crate) task: TaskRef,
    pub(crate) run: u32,
    pub(crate) checkpoint: Arc<str>,
    pub(crate) percent: u32,
    /// Tail latency in milliseconds for a work item that serves, else processor use.
    pub(crate) load: Option<u64>,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunOutcome {
    Done,
    Failed,
    Stopped,
    LeaseExpired,
    /// Another member of its gang ended.
    GangMemberEnded,
    /// It waited too long for the rest of its gang.
    GangIncomplete,
}

/// One run that ended on a worker.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct EndedRun {
    /// Grows by one with each end of this life of the worker.
    pub(crate) number: u64,
    pub(crate) task: TaskRef,
    pub(crate) run: u32,
    pub(crate) kind: RunOutcome,
    pub(crate) checkpoint: Arc<str>,
}

/// A worker's answer to a renewal of its lease.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct HoldAnswer {
    pub(crate) clock_ms: u64,
    pub(crate) started_unix_ms: Option<u64>,
    pub(crate) running: Vec<ActiveRun>,
    pub(crate) ended: Vec<EndedRun>,
}

/// Why a worker did not take an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OrderRefusal {
    /// It has seen a higher fencing token.
    Fenced,
    /// A run with this number or a higher one was there already.
    StaleRun,
    /// The lease in the order had passed.
    LeaseExpired,
    InsufficientCapacity,
    TicketRejected,
    /// It is another life of the worker.
    WrongWorker,
    Unhealthy,
    Invalid,
}

/// What came of an order to a worker.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum OrderOutcome {
    Accepted {
        clock_ms: Option<u64>,
    },
    Refused(OrderRefusal),
    /// It never left this process.
    NotSent,
    /// It may have been carried out, or will be.
    Unanswered,
}

/// State of a host at the provider.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HostPhase {
    Up,
    Moving,
    Upkeep,
    Down,
}

/// A host as the provider lists it.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct HostRecord {
    pub(crate) name: Arc<str>,
    pub(crate) pool: Arc<str>,
    pub(crate) phase: HostPhase,
    pub(crate) worker: Option<Arc<str>>,
    pub(crate) capacity: Resources,
    pub(crate) zone: Arc<str>,
    /// The kind comes first, the rack last.
    pub(crate) labels: Vec<Arc<str>>,
}

/// An operator's order to maintain hosts.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct WaveOrder {
    pub(crate) number: u64,
    pub(crate) hosts: Vec<Arc<str>>,
    pub(crate) duration_ms: u64,
    /// Most hosts of the wave down at once.
    pub(crate) max_down: u32,
}

/// What came of an order to the provider about a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HostOrderOutcome {
    Done,
    Busy,
    NotInWave,
    Fenced,
    Invalid,
    Throttled,
    /// Not done for certain.
    NotDone,
    /// It may have been done.
    Unanswered,
}

/// Tickets for the workers that may run a step.
#[derive(Debug, Clone, Default)]
pub(crate) struct Advice {
    /// Worker and its ticket.
    pub(crate) tickets: Vec<(Arc<str>, Arc<str>)>,
    /// How long they hold; the queue's rule if the service does not say.
    pub(crate) valid_ms: Option<u64>,
}
