//! Commands and flags about jobs.

xflags::xflags! {
    /// Jobs, as callers hand them in.
    ///
    /// Exit status: 0 done, 1 refused, failed or unknown, 2 usage.
    cmd job {
        /// Print JSON.
        optional --json
        /// Address for callers of a daemon. Default: 127.0.0.1:7080
        optional --front address: String
        /// Host name and path of the queue. Default: print.example/jobs/
        optional --queue queue: String
        /// Hand a job of one step in; its name is printed.
        cmd submit {
            /// Name, 16 hexadecimal digits. The same name again is the same job. Default: a new one
            optional --id id: String
            /// What the work items are to do. Default: empty
            optional --spec text: String
            /// Work items. Default: 1
            optional --tasks count: u32
            /// Need of each work item, in thousandths of a core. Default: 1000
            optional --cpu-milli milli: u64
            /// Need of each work item, in MB. Default: 256
            optional --mem-mb mb: u64
            /// How long each work item is thought to run, in milliseconds. Default: 500
            optional --estimate-ms ms: u64
            /// Wait until it is over. Exit status 1 unless it is completed then.
            optional --wait
        }
        /// Print the state of a job.
        cmd show {
            /// Name of the job.
            required id: String
        }
        /// Cancel a job.
        cmd cancel {
            /// Name of the job.
            required id: String
        }
        /// Print how many jobs of the queue have not begun.
        cmd list {}
    }
}
