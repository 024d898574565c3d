//! Starts daemons beside a scripted endpoint.

use super::cluster::{Daemon, StandIn, SMALL_SHEET};
use super::endpoint::{Script, ScriptedEndpoint};
use super::eventually;

pub const KEY_HEADER: &str = "idempotency-key";

/// Daemons and one scripted endpoint, which is the only host of pool alpha.
pub struct Setup {
    pub standin: StandIn,
    pub endpoint: ScriptedEndpoint,
    pub daemons: Vec<Daemon>,
}

pub fn setup(script: Script, daemon_count: usize, extra_args: &[&str]) -> Setup {
    let standin = StandIn::start(None);
    let endpoint = ScriptedEndpoint::start(script);
    standin.put_host("scripted", &endpoint.address, "alpha", "live");
    let mut daemons = Vec::new();
    for number in 1..=daemon_count {
        daemons.push(Daemon::start(&format!("d{number}"), "z1", &standin.url, extra_args));
    }
    let applied = daemons[0].cli(&["sheet", "apply", SMALL_SHEET]);
    assert_eq!(applied.status, 0, "{}", applied.stderr);
    for daemon in &daemons {
        eventually("the daemon knows the host", || daemon.live_hosts("alpha") == 1);
    }
    Setup { standin, endpoint, daemons }
}
