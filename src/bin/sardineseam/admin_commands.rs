//! Commands that call the administration API; those of the control role are in [`daemon_commands`].

use std::path::Path;

use percent_encoding::{utf8_percent_encode, NON_ALPHANUMERIC};
use rand::Rng;
use sardineseam::{
    AppliedSheet, Error, HostEntry, Identity, IssuedToken, PoolView, Result, RevokedTokens, Role, Sheet, SheetSummary,
    StatusView, Wave, APPLY_ID_HEADER,
};

use crate::args::{ListAction, Sardineseam, SardineseamCmd, SheetCmd, TokenCmd};
use crate::client::Client;
use crate::daemon_commands;
use crate::output::Output;

/// Attempts of one apply, the first included.
const MAX_APPLY_ATTEMPTS: u32 = 3;
const NOT_FOUND: u16 = 404;
/// HTTP status of the daemon if it does not know whether the platform accepted the sheet.
const OUTCOME_UNKNOWN: u16 = 504;

/// Runs the command that the arguments select.
pub(crate) fn run(args: Sardineseam) -> Result<()> {
    let client = Client::new(args.admin);
    let output = Output::new(args.json);
    match args.subcommand {
        SardineseamCmd::Sheet(sheet) => match sheet.subcommand {
            SheetCmd::Check(check) => check_sheet(&output, &check.file),
            SheetCmd::Apply(apply) => apply_sheet(&client, &output, &apply.file, apply.base_version),
            SheetCmd::Show(_) => show_sheet(&client, &output),
        },
        SardineseamCmd::Status(_) => {
            let status: StatusView = client.get("/v1/status")?.json()?;
            output.status(&status)
        }
        SardineseamCmd::Pool(pool) => {
            let ListAction::List = pool.action;
            let pools: Vec<PoolView> = client.get("/v1/pools")?.json()?;
            output.pools(&pools)
        }
        SardineseamCmd::Host(host) => {
            let ListAction::List = host.action;
            let hosts: Vec<HostEntry> = client.get("/v1/hosts")?.json()?;
            output.hosts(&hosts)
        }
        SardineseamCmd::Wave(wave) => {
            let ListAction::List = wave.action;
            let waves: Vec<Wave> = client.get("/v1/waves")?.json()?;
            output.waves(&waves)
        }
        SardineseamCmd::Organisation(organisation) => {
            let ListAction::List = organisation.action;
            daemon_commands::list_organisations(args.daemon, &output)
        }
        SardineseamCmd::Fleet(fleet) => daemon_commands::show_fleet(args.daemon, &output, &fleet),
        SardineseamCmd::Token(token) => match token.subcommand {
            TokenCmd::Issue(issue) => issue_token(&client, &output, &issue.team, &issue.role),
            TokenCmd::Withdraw(withdraw) => {
                let team = utf8_percent_encode(&withdraw.team, NON_ALPHANUMERIC);
                let revoked: RevokedTokens = client.delete(&format!("/v1/tokens/{team}"))?.json()?;
                output.revoked(&revoked)
            }
        },
    }
}

fn read_file(file: &Path) -> Result<Vec<u8>> {
    std::fs::read(file).map_err(Error::io(format!("read {}", file.display())))
}

fn check_sheet(output: &Output, file: &Path) -> Result<()> {
    match Sheet::read(&read_file(file)?) {
        Ok(sheet) => output.summary(&SheetSummary { pools: sheet.pools.len(), waves: sheet.waves.len() }),
        Err(rejected) => {
            output.problems(&rejected)?;
            Err(rejected.into())
        }
    }
}

fn apply_sheet(client: &Client, output: &Output, file: &Path, base_version: Option<u64>) -> Result<()> {
    let body = read_file(file)?;
    // Reports the problems of an invalid sheet without calling the daemon.
    Sheet::read(&body)?;
    let base_version = match base_version {
        Some(base_version) => base_version,
        None => version_in_force(client)?,
    };
    let headers = [
        ("If-Match", base_version.to_string()),
        (APPLY_ID_HEADER, format!("{:032x}", rand::rng().random::<u128>())),
        ("Content-Type", "text/csv".to_owned()),
    ];
    let mut attempts = 1;
    loop {
        // Retries carry the same apply ID, so that the daemon recognises an apply whose response was lost and does
        // not apply it again.
        let response = client.put("/v1/sheet", &headers, &body);
        let outcome_unknown = match &response {
            Ok(response) => response.status == OUTCOME_UNKNOWN,
            Err(_) => true,
        };
        if !outcome_unknown || attempts >= MAX_APPLY_ATTEMPTS {
            let applied: AppliedSheet = response?.json()?;
            return output.applied(&applied);
        }
        attempts += 1;
    }
}

/// Version of the sheet in force at the daemon, 0 if none.
fn version_in_force(client: &Client) -> Result<u64> {
    let response = client.get("/v1/sheet")?;
    if response.status == NOT_FOUND {
        return Ok(0);
    }
    Ok(response.error_for_status()?.sheet_version.unwrap_or(0))
}

fn show_sheet(client: &Client, output: &Output) -> Result<()> {
    let response = client.get("/v1/sheet")?.error_for_status()?;
    output.sheet(response.sheet_version.unwrap_or(0), &response.body)
}

fn issue_token(client: &Client, output: &Output, team: &str, role: &str) -> Result<()> {
    let role = match role {
        "viewer" => Role::Viewer,
        "operator" => Role::Operator,
        "admin" => Role::Admin,
        other => {
            let fix = "must be viewer, operator or admin".to_owned();
            return Err(Error::Setting { name: "role", value: other.to_owned(), fix });
        }
    };
    let identity = Identity { team: team.into(), role };
    let body = serde_json::to_vec(&identity).unwrap_or_default();
    let issued: IssuedToken = client.post("/v1/tokens", &body)?.json()?;
    output.issued(&issued)
}
