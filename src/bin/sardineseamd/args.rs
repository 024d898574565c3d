//! Flags of the daemon.

xflags::xflags! {
    /// Entry daemon of sardineseam: serves callers, follows the sheet, talks to its peers.
    ///
    /// Every flag has an environment variable of the same name: --admin-listen is SARDINESEAM_ADMIN_LISTEN.
    /// A flag goes before its variable.
    cmd sardineseamd {
        /// Run jobs on the users' platform; all settings come from the file that it places on the machine.
        optional --control
        /// With --control: a stand-in for the users' platform inside the process, with one queue, print.example/jobs/,
        /// and four workers. Callers are served on the address of --listen.
        optional --stand-in
        /// Port of the metrics with --control, on the address for callers. Default: none
        optional --metrics-port port: String
        /// Unique name of this daemon. Default: zone and peer address.
        optional --name name: String
        /// Availability zone of this daemon. Default: local
        optional --zone zone: String
        /// Address for callers. Default: 127.0.0.1:7080
        optional --listen address: String
        /// Address for administration. Default: 127.0.0.1:7081
        optional --admin-listen address: String
        /// Address for other daemons. Default: 127.0.0.1:7082
        optional --peer-listen address: String
        /// Address under which other daemons reach this one. Default: the peer address
        optional --peer-advertise address: String
        /// Peers to ask before the platform answers, separated by commas. Default: none
        optional --peers addresses: String
        /// Platform: embedded, or its URL such as http://127.0.0.1:7070. Default: embedded
        optional --platform platform: String
        /// Sheet to apply at the start; embedded platform only. Default: none
        optional --sheet file: String
        /// Form of log lines: text or json. Default: text
        optional --log-format format: String
        /// Token of the first operator; better given as SARDINESEAM_BOOTSTRAP_TOKEN. Default: none
        optional --bootstrap-token token: String
        /// Trace collector's URL for OTLP over HTTP, such as http://127.0.0.1:4318. Default: none
        optional --otlp-url url: String
        /// Threads that serve callers. Default: one for each processor, at most 4
        optional --lanes count: String
        /// Connections held from callers. Default: 4096
        optional --max-callers count: String
        /// Largest body of a request, in bytes. Default: 1048576
        optional --max-body-bytes bytes: String
        /// Largest body of an answer, in bytes. Default: 8388608
        optional --max-answer-bytes bytes: String
        /// Memory for the bodies of all requests and answers in progress, in bytes. Default: 16777216
        optional --max-held-bytes bytes: String
        /// Deadline of requests that name none, in milliseconds. Default: 30000
        optional --default-deadline-ms ms: String
        /// Connections an endpoint accepts from all daemons together. Default: 64
        optional --endpoint-connections count: String
        /// Requests an endpoint runs at once, unless its answers say otherwise. Default: 8
        optional --endpoint-slots count: String
        /// Longest queue of a pool, in requests. Default: 512
        optional --max-queued count: String
        /// Longest wait in a queue, in milliseconds. Default: 1000
        optional --max-queue-wait-ms ms: String
    }
}
