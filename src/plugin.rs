//! Plug-ins of the daemon: each part registers itself and is started with the daemon's shared state.

use std::rc::Rc;

use crate::daemon::Daemon;
use crate::error::Result;

/// When a part is started; later stages may rely on earlier ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Stage {
    /// Learns of sheets, hosts and daemons.
    Membership,
    /// Serves callers, operators and peers.
    Service,
}

/// One part of the daemon.
pub(crate) struct Plugin {
    pub(crate) name: &'static str,
    pub(crate) stage: Stage,
    /// Starts the part's tasks on this thread's event loop.
    pub(crate) start: fn(&Rc<Daemon>) -> Result<()>,
}

inventory::collect!(Plugin);

/// Starts every registered part, by stage and then by name.
pub(crate) fn start_plugins(daemon: &Rc<Daemon>) -> Result<()> {
    let mut plugins: Vec<&Plugin> = inventory::iter::<Plugin>.into_iter().collect();
    plugins.sort_by_key(|plugin| (plugin.stage, plugin.name));
    for plugin in plugins {
        (plugin.start)(daemon)?;
        log::debug!("plug-in {} started", plugin.name);
    }
    Ok(())
}
