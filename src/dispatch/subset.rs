//! Choice of the endpoints of a large pool that a daemon connects to.

use std::cmp::Reverse;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

use super::pool::MIN_CONNECTIONS;
use super::DispatchSettings;
use crate::platform::HostEntry;

/// Smallest number of endpoints that a daemon uses of a pool that has more.
const MIN_SUBSET: usize = 4;

/// Endpoints that this daemon connects to: all of a small pool, otherwise a subset chosen by rendezvous hashing, with
/// those in the daemon's zone first. Its size leaves each daemon about [`MIN_CONNECTIONS`] to each of its endpoints.
pub(super) fn choose_subset(
    settings: &DispatchSettings,
    endpoints: &[Arc<HostEntry>],
    daemon: &str,
    zone: &str,
    daemon_count: usize,
) -> Vec<Arc<HostEntry>> {
    let connections = endpoints.len() * settings.endpoint_connections;
    let size = connections.div_ceil(daemon_count * MIN_CONNECTIONS).max(MIN_SUBSET);
    if size >= endpoints.len() {
        return endpoints.to_vec();
    }
    let mut ranked: Vec<Arc<HostEntry>> = endpoints.to_vec();
    ranked.sort_by_key(|host| (&*host.zone != zone, Reverse(rendezvous_score(daemon, &host.name))));
    ranked.truncate(size);
    ranked
}

fn rendezvous_score(daemon: &str, host: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (daemon, host).hash(&mut hasher);
    hasher.finish()
}
