//! Flags of sardineseam-standin.

use std::net::SocketAddr;
use std::path::PathBuf;

xflags::xflags! {
    /// In-memory stand-in for the platform: table, object store, host list and workers, with fault injection.
    cmd sardineseam-standin {
        /// Address to listen on. Default: 127.0.0.1:7070
        optional --listen address: SocketAddr
        /// Sheet as CSV; a sample endpoint is started for each of its hosts and added to the host list. Default: none
        optional --endpoints file: PathBuf
    }
}
