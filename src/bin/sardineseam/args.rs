//! Commands and flags of the command line for operators.

use std::path::PathBuf;
use std::str::FromStr;

/// Action of the commands on pools, hosts and waves.
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
    /// For jobs on the users' platform, see sardineseam job --help.
    ///
    /// The token is read from SARDINESEAM_TOKEN. Exit status: 0 success, 1 failure, 2 wrong usage.
    cmd sardineseam {
        /// Administration address of a daemon. Default: SARDINESEAM_ADMIN, or 127.0.0.1:7081
        optional --admin address: String
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
