//! Commands and flags for operators.

use std::path::PathBuf;
use std::str::FromStr;

/// What can be done with pools, hosts and waves.
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
    /// Command line of sardineseam. It speaks to a daemon's administration API.
    ///
    /// Jobs of the users' platform: see sardineseam job --help.
    ///
    /// The token is taken from SARDINESEAM_TOKEN. Exit status: 0 done, 1 refused or failed, 2 usage.
    cmd sardineseam {
        /// Administration address of a daemon. Default: SARDINESEAM_ADMIN, or 127.0.0.1:7081
        optional --admin address: String
        /// Print JSON.
        optional --json

        /// Check, apply and show the day's sheet.
        cmd sheet {
            /// Check a sheet without a daemon.
            cmd check {
                /// Sheet as CSV.
                required file: PathBuf
            }
            /// Make a sheet the current one.
            cmd apply {
                /// Sheet as CSV.
                required file: PathBuf
                /// Version that it replaces. Default: the one in force at the daemon
                optional --base-version version: u64
            }
            /// Print the sheet in force.
            cmd show {}
        }
        /// Show the daemon's state.
        cmd status {}
        /// Pools of hosts.
        cmd pool {
            /// list: list the pools with their budgets and load.
            required action: ListAction
        }
        /// Hosts.
        cmd host {
            /// list: list the hosts with their pools and states.
            required action: ListAction
        }
        /// Maintenance waves.
        cmd wave {
            /// list: list the waves of the sheet in force.
            required action: ListAction
        }
        /// Operators' tokens.
        cmd token {
            /// Issue a token; it is printed once.
            cmd issue {
                /// Team it belongs to.
                required team: String
                /// viewer, operator or admin.
                required role: String
            }
            /// Withdraw every token of a team.
            cmd withdraw {
                /// Team.
                required team: String
            }
        }
    }
}
