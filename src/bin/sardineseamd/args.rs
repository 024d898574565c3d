//! Flags of sardineseamd.

xflags::xflags! {
    /// Daemon of sardineseam. It forwards callers' requests to the endpoints of the pools that the sheet defines, or
    /// runs jobs on the users' platform with --control.
    ///
    /// Without --control, every flag that takes a value can also be set by an environment variable of the same name,
    /// such as --admin-listen by SARDINESEAM_ADMIN_LISTEN. The flag takes precedence.
    cmd sardineseamd {
        /// Run jobs on the users' platform. All settings come from the file that the platform places on the machine.
        optional --control
        /// With --control: run a stand-in for the users' platform inside the process, with one queue,
        /// print.example/jobs/, and four workers. Callers are served on the address of --listen.
        optional --stand-in
        /// With --control: port that serves the metrics, on the IP address for callers. Default: none
        optional --metrics-port port: String
        /// Unique name of this daemon. Default: zone and peer address, joined by a hyphen
        optional --name name: String
        /// Availability zone of this daemon. Default: local
        optional --zone zone: String
        /// Address for callers. Default: 127.0.0.1:7080
        optional --listen address: String
        /// Address for administration. Default: 127.0.0.1:7081
        optional --admin-listen address: String
        /// Address for other daemons. Default: 127.0.0.1:7082
        optional --peer-listen address: String
        /// Address at which other daemons reach this one. Default: the address of --peer-listen
        optional --peer-advertise address: String
        /// Addresses of peers to contact before the platform has listed any, separated by commas. Default: none
        optional --peers addresses: String
        /// URL of the platform, such as http://127.0.0.1:7070, or embedded for a stand-in. Default: embedded
        optional --platform platform: String
        /// Sheet to apply at startup; embedded platform only. Default: none
        optional --sheet file: String
        /// Format of log lines: text or json. Default: text
        optional --log-format format: String
        /// Admin token for issuing the first tokens. Better set as SARDINESEAM_BOOTSTRAP_TOKEN, since other
        /// users of the machine can see the flags of a process. Default: none
        optional --bootstrap-token token: String
        /// URL of a trace collector that accepts OTLP over HTTP, such as http://127.0.0.1:4318. Default: none
        optional --otlp-url url: String
        /// Number of threads that serve callers. Default: one per processor, at most 4
        optional --lanes count: String
        /// Maximum number of open connections from callers. Default: 4096
        optional --max-callers count: String
        /// Maximum size of a request body, in bytes. Default: 1048576
        optional --max-body-bytes bytes: String
        /// Maximum size of a response body, in bytes. Default: 8388608
        optional --max-answer-bytes bytes: String
        /// Memory for the bodies of all requests and responses in progress, in bytes. Default: 16777216
        optional --max-held-bytes bytes: String
        /// Deadline of requests that do not set one, in milliseconds. Default: 30000
        optional --default-deadline-ms ms: String
        /// Connections that an endpoint accepts from all daemons together. Default: 64
        optional --endpoint-connections count: String
        /// Requests that an endpoint runs at once, until it reports its own number with a response. Default: 8
        optional --endpoint-slots count: String
        /// Maximum number of queued requests per pool. Default: 512
        optional --max-queued count: String
        /// Longest estimated queue wait at which a request is still accepted, in milliseconds. Default: 1000
        optional --max-queue-wait-ms ms: String
    }
}
