//! Flags of sardineseam-lab.

use std::path::PathBuf;

xflags::xflags! {
    /// Plays loads against the scheduler in virtual time, to compare ways of deciding.
    cmd sardineseam-lab {
        /// Print JSON instead of a table
        optional --json
        /// Print CSV instead of a table
        optional --csv
        /// Number of seeds, counted from 1. Default: 8
        optional --seeds count: u64

        /// Plays a workload, and prints what callers got on average
        cmd run {
            /// Workload file
            required file: PathBuf
            /// Ways of deciding, as DECISION=WAY, separated by commas. Default: those of the daemon
            optional --policies list: String
            /// Put all queues into one pool that has all hosts
            optional --undivided
            /// Write a picture of the first seed, as SVG
            optional --svg path: PathBuf
        }
        /// Plays workloads with two ways, paired by seed
        cmd compare {
            /// Workload files
            repeated files: PathBuf
            /// Ways of deciding to compare with
            required --base list: String
            /// Ways of deciding to judge. Default: those of the daemon
            optional --head list: String
        }
        /// Plays a workload at several multiples of its load
        cmd sweep {
            /// Workload file
            required file: PathBuf
            /// Multiples of the load, separated by commas. Default: 0.6,0.8,1,1.2,1.5
            optional --loads list: String
            /// Ways of deciding, as DECISION=WAY, separated by commas. Default: those of the daemon
            optional --policies list: String
        }
    }
}
