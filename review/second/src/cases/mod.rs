//! The cases, and what they share.

pub mod advice;
pub mod beside;
pub mod budget;
pub mod cancel;
pub mod drain;
pub mod explore;
pub mod ghost;
pub mod kind;
pub mod late;
pub mod moves;
pub mod wave;

use std::path::PathBuf;
use std::time::Duration;

use serde_json::{json, Value};

use crate::daemons::{eventually, Daemon};
use crate::record::Record;
use crate::store::Store;
use crate::world::World;

pub struct Setting {
    pub repository: PathBuf,
    pub folder: PathBuf,
    pub record: Record,
    pub has_trouble: bool,
}

/// A small deployment: the store, machines and daemons.
pub struct Deployment {
    pub store: Store,
    pub world: World,
    pub daemons: Vec<Daemon>,
}

fn configuration(guards: bool) -> Value {
    json!({
        "version": 3,
        "routes": [{ "name": "jobs", "host": "print.example", "pathPrefix": "/jobs/", "service": "press", "kind": "unsafe",
            "timeoutMs": 3_000, "priority": 0, "attempts": 4, "stretch": 2.0, "targetLatencyMs": 2_000 }],
        "services": [{ "name": "press", "enforcesCapacity": guards, "spare": false }],
        "limits": {},
    })
}

impl Setting {
    pub fn deploy(&self) -> Deployment {
        let store = Store::new();
        let world = World::start(&store, &self.record);
        store.put("op", "config", &configuration(true));
        Deployment { store, world, daemons: Vec::new() }
    }
}

impl Deployment {
    /// Starts daemons and waits until all are ready and one leads.
    pub fn start_daemons(&mut self, setting: &Setting, count: u8) -> Result<(), String> {
        for number in 1..=count {
            let folders = (setting.repository.as_path(), setting.folder.as_path());
            let mut daemon = Daemon::prepare(number, folders, &self.store, &self.world);
            daemon.start();
            self.daemons.push(daemon);
        }
        let daemons = &self.daemons;
        if !eventually(Duration::from_secs(20), || {
            daemons.iter().all(Daemon::is_ready) && self.store.leader().is_some()
        }) {
            return Err("the daemons are not ready".to_owned());
        }
        setting.record.line(&format!("all daemons are ready, {} leads", self.store.leader().unwrap_or_default()));
        Ok(())
    }

    /// Submits a job at a daemon until it is accepted.
    pub fn submit(&self, setting: &Setting, daemon: usize, id: &str, spec: &str, steps: Value) -> Result<(), String> {
        self.world.add_job(id, &steps);
        let body = json!({ "spec": spec, "steps": steps }).to_string();
        for _ in 0..5 {
            if self.daemons[daemon].client(&setting.record, ("POST", id), &body) == Some(200) {
                return Ok(());
            }
        }
        Err(format!("job {id} is not accepted"))
    }
}
