//! Flags of the stand-in.

use std::net::SocketAddr;
use std::path::PathBuf;

xflags::xflags! {
    /// Stand-in for the platform: table, object store, host list and workers, with switchable faults.
    cmd sardineseam-standin {
        /// Address to listen on. Default: 127.0.0.1:7070
        optional --listen address: SocketAddr
        /// Sheet for whose hosts sample endpoints are started and listed. Default: none
        optional --endpoints file: PathBuf
    }
}
