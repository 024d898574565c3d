//! Fleet capacity and maintenance manager: pools of hosts, availability budgets, maintenance waves, and the
//! way of callers' requests to the pools' endpoints.
//!
//! A sheet that planners export each morning names the day's pools, budgets and waves:
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
//! Decisions are free of I/O and clocks: [`dispatch::Dispatcher`] takes the time and events and returns
//! actions. The daemon feeds it from sockets, the benchmarks from a virtual clock.

mod admin;
mod api;
mod auth;
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
mod held_body;
mod http_server;
mod idempotency;
mod ingress;
mod ingress_state;
mod kernel;
mod membership;
mod peer_client;
mod peer_message;
mod peer_server;
mod platform;
mod platform_client;
mod platform_pool;
mod reactor;
mod request_metrics;
pub mod sample_endpoint;
mod sched;
mod settings;
mod sheet;
mod sheet_state;
mod sheet_store;
pub mod standin;
mod store;
pub mod table;
mod telemetry;
mod trace;
mod view;
pub mod wire;
mod worker_pool;

pub use admin::{
    Applied, IssuedToken, SheetConflict, SheetProblems, SheetSummary, WithdrawnTokens, APPLY_ID_HEADER,
    SHEET_VERSION_HEADER,
};
pub use auth::{Identity, Role};
pub use clock::{Clock, US_PER_MS, US_PER_S};
pub use control::{run as run_control, ControlSettings};
pub use daemon::{populate, run, BoundDaemon};
pub use error::{Error, Result};
pub use platform::job_client::{JobClient, JobOrder, JobState};
pub use platform::settings::{load as load_deployment_settings, parse as parse_deployment_settings};
pub use platform::standin::StandIn as PlatformStandIn;
pub use platform::{HostChanges, HostEntry, HostState, Platform, PlatformError};
pub use platform_client::HttpPlatform;
pub use settings::{LogFormat, PlatformSetting, Settings};
pub use sheet::{Pool, Sheet, SheetProblem, SheetRejected, Wave};
pub use sheet_state::SheetRef;
pub use sheet_store::{ApplyOutcome, ApplyRequest, SheetRecord};
pub use telemetry::{announce, start_bounded_logging, start_logging};
pub use view::{PeerView, PoolView, StatusView};
