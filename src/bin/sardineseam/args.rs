//! Commands and flags of the command line for operators.

use std::path::PathBuf;
use std::str::FromStr;

/// Action of the commands on pools, hosts, waves and organisations.
#[derive(Debug, Clone, Copy)]
pub(crate) enum ListAction {
    List,
}

impl FromStr for ListAction {
    type Err = String;

    fn from_str(text: &str) -> Result<ListAction, String> {
        match text {
            "list" => Ok(ListAction::List),
            other => Err(format!("{other:?} is not an action; use list")),
        }
    }
}

xflags::xflags! {
    /// Command line for operators. It calls the administration API of a daemon.
    ///
    /// For jobs on the users' platform, see sardineseam job --help. The commands organisation and fleet ask a daemon in
    /// the control role.
    ///
    /// The token is read from SARDINESEAM_TOKEN. Exit status: 0 success, 1 failure, 2 wrong usage.
    cmd sardineseam {
        /// Administration address of a daemon. Default: SARDINESEAM_ADMIN, or 127.0.0.1:7081
        optional --admin address: String
        /// Operators' address of a daemon in the control role, where it serves its metrics. Only the leader answers;
        /// others name it. Default: SARDINESEAM_DAEMON, or 127.0.0.1:9090
        optional --daemon address: String
        /// Print JSON.
        optional --json

        /// Check, apply and show the sheet of pools, budgets and maintenance waves.
        cmd sheet {
            /// Check a sheet, without calling a daemon.
            cmd check {
                /// Sheet as CSV.
                required file: PathBuf
            }
            /// Apply a sheet: it replaces the current one on all daemons.
            cmd apply {
                /// Sheet as CSV.
                required file: PathBuf
                /// Version to replace; the apply fails if another one is accepted. Default: the version in force
                optional --base-version version: u64
            }
            /// Print the sheet in force at the daemon.
            cmd show {}
        }
        /// Show the daemon's state.
        cmd status {}
        /// Show pools of hosts.
        cmd pool {
            /// list: list the pools with their budgets and load.
            required action: ListAction
        }
        /// Show hosts.
        cmd host {
            /// list: list the hosts with their pools and states.
            required action: ListAction
        }
        /// Show maintenance waves.
        cmd wave {
            /// list: list the waves of the sheet in force.
            required action: ListAction
        }
        /// Show the organisations that share the fleet of the control role.
        cmd organisation {
            /// list: list the organisations with their quotas, usage and jobs.
            required action: ListAction
        }
        /// Show the fleet of the control role.
        cmd fleet {
            /// List the pools with their workers, capacity and demand.
            cmd pools {}
            /// List the workers with their states.
            cmd workers {
                /// Only the workers of this pool.
                optional --pool pool: String
            }
        }
        /// Issue and revoke operators' tokens.
        cmd token {
            /// Issue a token and print it. It cannot be shown again.
            cmd issue {
                /// Team of the operator.
                required team: String
                /// Role: viewer, operator or admin.
                required role: String
            }
            /// Revoke all tokens of a team.
            cmd withdraw {
                /// Team whose tokens are revoked.
                required team: String
            }
        }
    }
}
