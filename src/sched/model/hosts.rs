//! Hosts in the provider's list, maintenance waves, and the outcomes of orders to the provider.

use std::sync::Arc;

use super::Resources;

/// State of a host as reported by the provider.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HostPhase {
    Up,
    /// Moving between pools.
    Moving,
    /// Down for maintenance.
    Maintenance,
    Down,
}

/// A host in the provider's list.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct HostRecord {
    pub(crate) name: Arc<str>,
    pub(crate) pool: Arc<str>,
    pub(crate) phase: HostPhase,
    pub(crate) worker: Option<Arc<str>>,
    pub(crate) capacity: Resources,
    pub(crate) zone: Arc<str>,
    /// The first label is the kind of host, the last one its rack.
    pub(crate) labels: Arc<[Arc<str>]>,
}

/// The provider's list of hosts.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct HostList {
    pub(crate) hosts: Vec<HostRecord>,
    /// Whether every entry could be read; otherwise a host that is missing may still exist.
    pub(crate) is_complete: bool,
}

impl HostRecord {
    /// Whether the host has a label, if one is required, and these resources.
    pub(crate) fn offers(&self, label: Option<&Arc<str>>, needs: &Resources) -> bool {
        label.is_none_or(|label| self.labels.contains(label)) && needs.fits_in(&self.capacity)
    }
}

/// A maintenance wave: an operator's order to take a group of hosts down for maintenance.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct WaveOrder {
    pub(crate) number: u64,
    pub(crate) hosts: Vec<Arc<str>>,
    /// Logged, but not used by the scheduler.
    pub(crate) duration_ms: u64,
    /// Maximum number of hosts of the wave that may be down at the same time.
    pub(crate) max_down: u32,
}

/// Outcome of an order to the provider to move or maintain a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HostOrderOutcome {
    Done,
    /// The host cannot take the order at present.
    Busy,
    /// The wave does not include the host.
    NotInWave,
    /// The provider has seen a higher fencing token.
    Fenced,
    /// The order itself is wrong, so that repeating it is useless.
    Invalid,
    /// The provider's limit on the rate of orders is exceeded.
    Throttled,
    /// The provider has certainly not carried out the order.
    NotDone,
    /// No usable answer arrived; the provider may have carried out the order.
    Unanswered,
}
