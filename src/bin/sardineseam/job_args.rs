//! Commands and flags of `sardineseam job`.

xflags::xflags! {
    /// Submit, show, explain and cancel jobs on the users' platform, as a caller does.
    ///
    /// If SARDINESEAM_KEY is set, it is sent as the key of the organisation to which the jobs belong.
    ///
    /// Exit status: 0 success, 1 failure or unknown job, 2 wrong usage.
    cmd job {
        /// Print JSON.
        optional --json
        /// Address of a daemon for callers. Default: 127.0.0.1:7080
        optional --front address: String
        /// Host name and path of the queue. Default: print.example/jobs/
        optional --queue queue: String
        /// Submit a job of one step and print its id.
        cmd submit {
            /// Id of the job, 16 hexadecimal digits. Submitting an id again has no effect. Default: a random id
            optional --id id: String
            /// Specification, passed on to the tasks unchanged. Default: empty
            optional --spec text: String
            /// Number of tasks. Default: 1
            optional --tasks count: u32
            /// CPU that each task needs, in thousandths of a core. Default: 1000
            optional --cpu-milli milli: u64
            /// Memory that each task needs, in MB. Default: 256
            optional --mem-mb mb: u64
            /// Estimated run time of each task, in milliseconds. Default: 500
            optional --estimate-ms ms: u64
            /// Wait until the job ends. The exit status is 1 unless it completes.
            optional --wait
        }
        /// Print the state of a job.
        cmd show {
            /// Id of the job.
            required id: String
        }
        /// Explain what a job waits for. Only the leader answers; other daemons name it.
        cmd explain {
            /// Id of the job.
            required id: String
            /// Operators' address of a daemon, where it serves its metrics.
            /// Default: SARDINESEAM_DAEMON, or 127.0.0.1:9090
            optional --daemon address: String
        }
        /// Cancel a job.
        cmd cancel {
            /// Id of the job.
            required id: String
        }
        /// Print the number of jobs in the queue that have not started.
        cmd list {}
    }
}
