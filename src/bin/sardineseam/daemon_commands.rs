//! Commands that ask the leader of the control role about jobs, organisations, pools and workers.

use sardineseam::{Error, JobView, Listing, OrganisationView, Result, WorkerPoolView, WorkerView};

use crate::args::{Fleet, FleetCmd};
use crate::daemon_client::DaemonClient;
use crate::output::Output;

const JOB_ID_DIGITS: usize = 16;

/// Explains a job.
pub(crate) fn explain_job(daemon: Option<String>, output: &Output, id: &str) -> Result<()> {
    if id.len() != JOB_ID_DIGITS || !id.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        let fix = "must be 16 hexadecimal digits".to_owned();
        return Err(Error::Setting { name: "ID", value: id.to_owned(), fix });
    }
    let view: JobView = DaemonClient::new(daemon).get(&format!("/jobs/{id}"))?;
    output.job_view(&view)
}

/// Lists the organisations.
pub(crate) fn list_organisations(daemon: Option<String>, output: &Output) -> Result<()> {
    let listing: Listing<OrganisationView> = DaemonClient::new(daemon).get("/organisations")?;
    output.organisations(&listing)
}

/// Lists the pools or the workers.
pub(crate) fn show_fleet(daemon: Option<String>, output: &Output, fleet: &Fleet) -> Result<()> {
    let client = DaemonClient::new(daemon);
    match &fleet.subcommand {
        FleetCmd::Pools(_) => {
            let listing: Listing<WorkerPoolView> = client.get("/pools")?;
            output.worker_pools(&listing)
        }
        FleetCmd::Workers(workers) => {
            let path = match &workers.pool {
                Some(pool) => format!("/workers?pool={pool}"),
                None => "/workers".to_owned(),
            };
            let listing: Listing<WorkerView> = client.get(&path)?;
            output.workers(&listing)
        }
    }
}
