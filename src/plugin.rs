//! Plug-ins of the daemon. Each one registers itself with `inventory` and is started with the daemon's shared state.

use std::rc::Rc;

use crate::daemon::Daemon;
use crate::error::Result;

/// Start order of plug-ins; those of a later stage may rely on those of an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Stage {
    /// Plug-ins that keep sheets, the host list, the list of daemons and idempotency claims in sync with the platform
    /// and with peers.
    Membership,
    /// Plug-ins that communicate with callers, operators and peers.
    Service,
}

/// A part of the daemon.
pub(crate) struct Plugin {
    pub(crate) name: &'static str,
    pub(crate) stage: Stage,
    /// Spawns the plug-in's futures on this thread's event loop.
    pub(crate) start: fn(&Rc<Daemon>) -> Result<()>,
}

inventory::collect!(Plugin);

/// Starts every registered plug-in, ordered by stage and then by name.
pub(crate) fn start_plugins(daemon: &Rc<Daemon>) -> Result<()> {
    let mut plugins: Vec<&Plugin> = inventory::iter::<Plugin>.into_iter().collect();
    plugins.sort_by_key(|plugin| (plugin.stage, plugin.name));
    for plugin in plugins {
        (plugin.start)(daemon)?;
        log::debug!("plugin={} outcome=started", plugin.name);
    }
    Ok(())
}
