//! Fleet capacity and maintenance manager: pools of hosts, availability budgets, maintenance waves, and the routing
//! of callers' requests to the pools' endpoints.
//!
//! The pools, budgets and waves of a day come from a sheet, a CSV file that planners export each morning:
//!
//! ```
//! use sardineseam::Sheet;
//!
//! let csv = b"kind,name,pool,service,zones,hosts,spare,max_unavailable,opens_at,closes_at,max_concurrent\n\
//!     pool,proofs,,proofs,taoyuan-1 taoyuan-2,10,no,,,,\n\
//!     budget,,proofs,,,,,2,,,\n";
//! let sheet = Sheet::read(csv)?;
//! assert_eq!(sheet.pools[0].max_unavailable_hosts, 2);
//! # Ok::<(), sardineseam::SheetRejected>(())
//! ```
//!
//! The daemon has two roles:
//! - It routes requests ([`run`]). This role uses the platform behind [`Platform`]: a table, an object store and a list
//!   of hosts. [`standin`] imitates it.
//! - With `--control`, it schedules callers' jobs on workers ([`run_control`]). This role uses the users' platform,
//!   which has a row store, a host provider, an advice service and workers. [`UsersPlatformStandIn`] imitates it.
//!
//! The decision logic performs no I/O and reads no clock: for example, [`dispatch::Dispatcher`] is passed events with
//! the current time and returns actions. The daemon drives it from sockets, the benchmarks from a virtual clock.

mod admin;
mod api;
mod async_platform;
mod auth;
mod blocking_pool;
mod boot_clock;
mod buffered_body;
mod call_progress;
mod callers;
pub mod capacity;
mod clock;
mod control;
mod daemon;
mod daemon_registry;
pub mod dispatch;
mod endpoint_client;
mod error;
#[cfg(test)]
mod faulty_platform;
mod fleet;
mod gossip;
mod http_platform;
mod http_server;
mod idempotency;
mod ingress;
mod ingress_state;
#[cfg(feature = "lab")]
pub mod lab;
mod membership;
mod operator_view;
mod peer_client;
mod peer_message;
mod peer_server;
mod platform;
mod plugin;
mod reactor;
mod request_metrics;
mod row_store;
pub mod sample_endpoint;
mod sched;
mod settings;
mod sheet;
mod sheet_state;
mod sheet_store;
pub mod standin;
pub mod table;
mod telemetry;
mod trace;
mod view;
pub mod wire;

pub use admin::{
    AppliedSheet, IssuedToken, RevokedTokens, SheetConflict, SheetProblems, SheetSummary, APPLY_ID_HEADER,
    SHEET_VERSION_HEADER,
};
pub use auth::{Identity, Role};
pub use clock::{Clock, US_PER_MS, US_PER_S};
pub use control::{run as run_control, ControlSettings};
pub use daemon::{add_sample_hosts, run, BoundDaemon};
pub use error::{Error, Result};
pub use http_platform::HttpPlatform;
pub use operator_view::{
    JobView, Listing, OrganisationView, QuotaView, ResourcesView, ShareClassView, StepView, WaitView, WorkerPoolView,
    WorkerState, WorkerView,
};
pub use platform::job_client::{JobClient, JobState, JobSubmission, KEY_VARIABLE};
pub use platform::settings::{load as load_control_settings, parse as parse_control_settings};
pub use platform::users_platform_standin::{StoppingRuns, StoreFaults, UsersPlatformStandIn, WorkerRestart};
pub use platform::{HostChanges, HostEntry, HostState, Platform, PlatformError};
pub use settings::{LogFormat, PlatformSetting, Settings};
pub use sheet::{Pool, Sheet, SheetProblem, SheetRejected, Wave};
pub use sheet_state::SheetRef;
pub use sheet_store::{ApplyOutcome, ApplyRequest, SheetRecord};
pub use telemetry::{print_startup_line, start_logging, start_non_blocking_logging};
pub use view::{PeerView, PoolView, StatusView};
