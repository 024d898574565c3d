//! Actions and transactions that the scheduler requests from the leader.

use std::net::SocketAddr;
use std::sync::Arc;

use super::admission::AdmissionReport;
use super::host_orders::HostOrder;
use super::model::{JobId, ReportedPhase, TaskRef};

/// One request of the scheduler to the leader. The leader reports its outcome to the corresponding method of the
/// scheduler, for example [`Scheduler::on_start_outcome`](super::scheduler::Scheduler::on_start_outcome) for
/// [`Action::Start`].
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Action {
    /// Start sending hold requests, which renew the worker's lease and ask for its runs.
    OpenSession {
        worker: Arc<str>,
    },
    /// Plan the worker's next hold request anew.
    WakeSession {
        worker: Arc<str>,
    },
    /// Send a higher fencing token to the worker from now on, so that it refuses calls that were sent before. Reported by
    /// [`Scheduler::fence_raised`](super::scheduler::Scheduler::fence_raised).
    RaiseFence {
        worker: Arc<str>,
    },
    Start(StartRun),
    Stop {
        worker: Arc<str>,
        task: TaskRef,
        run: u32,
    },
    /// Limit a best-effort run to a percentage of its CPU time.
    Pace {
        worker: Arc<str>,
        task: TaskRef,
        run: u32,
        percent: u32,
    },
    /// Ask the advice service which of these workers may run a step.
    RequestAdvice {
        job: JobId,
        occurrence: u32,
        step: u32,
        workers: Vec<Arc<str>>,
    },
    MoveHost {
        host: Arc<str>,
        pool: Arc<str>,
    },
    MaintainHost {
        host: Arc<str>,
        wave: u64,
    },
    /// Store for operators whether a maintenance wave is complete.
    ReportWave {
        wave: u64,
        complete: bool,
    },
    /// Check whether this daemon still leads: a worker has seen a higher fencing token.
    CheckLeadership,
}

/// Order to a worker to start a run of a task.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct StartRun {
    pub(crate) worker: Arc<str>,
    /// Start time of the worker's incarnation for which the lease and the ticket are meant.
    pub(crate) started_unix_ms: u64,
    pub(crate) task: TaskRef,
    pub(crate) run: u32,
    /// The job's [`task_spec`](super::model::JobSpec::task_spec).
    pub(crate) spec: Arc<str>,
    /// End of the lease on the worker's clock.
    pub(crate) lease_end_ms: u64,
    pub(crate) checkpoint: Arc<str>,
    /// Ticket of the advice service for this worker, if the queue requires one.
    pub(crate) ticket: Option<Arc<str>>,
}

/// Next step of a worker's session.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum HoldPlan {
    /// Send a hold request.
    Send {
        address: SocketAddr,
        /// New end of the lease on the worker's clock; `None` leaves the lease as it is.
        lease_end_ms: Option<u64>,
        /// Acknowledgement: the worker may forget ended runs up to this number.
        acknowledged: u64,
        /// How long the worker may wait for a run to end before it answers.
        wait_ms: u64,
    },
    /// Nothing to send yet: make the next plan at this time.
    WaitUntil { at_us: u64 },
    /// End the session: the worker has left the registry and has no tasks.
    Close,
}

/// Changes to be committed in one transaction, and the actions that may follow once it is committed.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct Batch {
    /// Encoded state of each changed job.
    pub(crate) records: Vec<(JobId, Vec<u8>)>,
    /// Jobs whose phase has changed, to be reported to their callers.
    pub(crate) phases: Vec<ReportedPhase>,
    /// Number of queued jobs of each queue, if the numbers have changed.
    pub(crate) pending_counts: Option<Vec<(Arc<str>, u64)>>,
    /// How long new jobs would wait, if the daemons are to be told.
    pub(crate) admission: Option<AdmissionReport>,
    /// For each changed wave, its number and the hosts whose maintenance has begun.
    pub(crate) waves: Vec<(u64, Vec<Arc<str>>)>,
    /// Hosts for which an order was sent recently or will be sent after this batch, if the list has changed.
    pub(crate) ordered_hosts: Option<Vec<Arc<str>>>,
    /// Host orders that may be sent once the batch is committed.
    pub(crate) host_orders: Vec<HostOrder>,
    /// Jobs whose records are to be removed.
    pub(crate) removed_records: Vec<JobId>,
    /// Runs that may be started once the batch is committed.
    pub(crate) starts: Vec<(TaskRef, u32)>,
    /// Ended runs that may be acknowledged once the batch is committed: worker ID, start time of its incarnation, and
    /// highest number.
    pub(crate) acknowledged: Vec<(Arc<str>, u64, u64)>,
}
