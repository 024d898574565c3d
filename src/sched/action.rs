//! What the scheduler asks its surroundings to do.

use std::net::SocketAddr;
use std::sync::Arc;

use super::host_orders::HostOrder;
use super::model::{JobId, JobPhase, TaskRef};

/// One request of the scheduler. The answer comes back through the scheduler's method of the same subject.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Action {
    /// Begin to renew this worker's lease.
    OpenSession {
        worker: Arc<str>,
    },
    Start(StartRun),
    Stop {
        worker: Arc<str>,
        task: TaskRef,
        run: u32,
    },
    Pace {
        worker: Arc<str>,
        task: TaskRef,
        run: u32,
        percent: u32,
    },
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
    ReportWave {
        wave: u64,
        complete: bool,
    },
    /// Somebody else may lead: check before the next order.
    CheckLeadership,
}

/// Order to start a work item.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct StartRun {
    pub(crate) worker: Arc<str>,
    pub(crate) task: TaskRef,
    pub(crate) run: u32,
    pub(crate) spec: Arc<str>,
    pub(crate) lease_end_ms: u64,
    pub(crate) checkpoint: Arc<str>,
    pub(crate) ticket: Option<Arc<str>>,
}

/// The next renewal of a worker's lease.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum HoldPlan {
    Send {
        address: SocketAddr,
        lease_end_ms: Option<u64>,
        acknowledged: u64,
        wait_ms: u64,
    },
    /// Nothing to do before this time.
    WaitUntil {
        at_us: u64,
    },
    /// The worker is gone.
    Close,
}

/// What must be written together before the scheduler goes on.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct Batch {
    /// New record of each job.
    pub(crate) records: Vec<(JobId, Vec<u8>)>,
    /// Jobs whose callers are told something new.
    pub(crate) phases: Vec<(JobId, JobPhase)>,
    /// Jobs of each queue that have not begun, if they changed.
    pub(crate) pending: Option<Vec<(Arc<str>, u64)>>,
    /// Hosts of each wave whose maintenance has begun, where that changed.
    pub(crate) waves: Vec<(u64, Vec<Arc<str>>)>,
    /// Hosts about which an order went out lately or will once the batch is written, if they changed.
    pub(crate) ordered_hosts: Option<Vec<Arc<str>>>,
    /// Orders about hosts that may go out once the batch is written.
    pub(crate) host_orders: Vec<HostOrder>,
    /// Jobs whose records are needed no more.
    pub(crate) removed_records: Vec<JobId>,
    /// Runs that may be ordered once the batch is written.
    pub(crate) intents: Vec<(TaskRef, u32)>,
    /// Ends that workers may forget once the batch is written.
    pub(crate) acknowledged: Vec<(Arc<str>, u64, u64)>,
}
