//! The description of a load that the lab plays, as a JSON file.

use std::collections::BTreeSet;

use serde::Deserialize;

use super::arrivals::Shape;
use super::sizes::Size;

/// Why a workload file cannot be used. The text names the place and what was expected there.
#[derive(Debug, thiserror::Error)]
pub enum WorkloadError {
    /// The file is not JSON, or a field is missing, unknown or of the wrong type.
    #[error("{field}: {source}")]
    Syntax {
        /// Path of the field in the file.
        field: String,
        /// The error of the JSON parser, with line and column.
        source: serde_json::Error,
    },
    /// A value that cannot be played.
    #[error("{field}: {problem}")]
    Value {
        /// Path of the field in the file.
        field: String,
        /// What is wrong with the value, and what was expected.
        problem: String,
    },
}

/// Hosts of the fleet; all are alike.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Hosts {
    pub(super) count: usize,
    /// Thousandths of a core.
    pub(super) cpu_milli: u64,
    pub(super) mem_mb: u64,
    /// Availability zones, over which the hosts are spread evenly.
    pub(super) zones: Vec<String>,
    /// How long a host is away while it moves to another pool.
    pub(super) move_ms: u64,
    /// Host orders that the provider accepts per second.
    pub(super) orders_per_s: u32,
}

/// An organisation that submits jobs.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct OrganisationLoad {
    pub(super) name: String,
    /// Jobs per second that are within its rate.
    pub(super) weight: f64,
    /// CPU that its tasks may hold, in thousandths of a core; 0 for no limit.
    #[serde(default)]
    pub(super) cap_cpu_milli: u64,
    /// Share of all jobs that it submits, in relation to the others.
    pub(super) submits: f64,
}

/// Jobs of one queue.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct QueueLoad {
    pub(super) name: String,
    pub(super) pool: String,
    #[serde(default)]
    pub(super) priority: u32,
    /// Time that a job may take, as a multiple of its critical path.
    pub(super) stretch: f64,
    /// Added to that time.
    pub(super) target_latency_ms: u64,
    /// What a job earns on time, and if it takes up to three times its allowed time.
    pub(super) worth: f64,
    pub(super) late_worth: f64,
    /// Mean rate over the play.
    pub(super) jobs_per_s: f64,
    pub(super) shape: Shape,
    pub(super) steps: Size,
    /// Tasks of a step.
    pub(super) width: Size,
    pub(super) cpu_milli: Size,
    /// Run time of the tasks of a step.
    pub(super) run_ms: Size,
    /// Standard deviation of the logarithm of estimate over run time.
    #[serde(default)]
    pub(super) estimate_error: f64,
    /// Share of the jobs whose tasks write checkpoints.
    #[serde(default)]
    pub(super) checkpoint_share: f64,
    /// Share of the tasks that run [`QueueLoad::tail_factor`] times as long.
    #[serde(default)]
    pub(super) tail_share: f64,
    #[serde(default)]
    pub(super) tail_factor: f64,
}

/// A long-running job that is there from the beginning, with at most one task on a host.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct LongRunningLoad {
    pub(super) queue: String,
    pub(super) tasks: u32,
    pub(super) cpu_milli: u64,
    pub(super) mem_mb: u64,
    pub(super) max_unavailable: u32,
}

/// A fault at a moment of the play, in seconds from its start.
#[derive(Debug, Clone, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub(super) enum Fault {
    /// The store answers nothing; entries of a share of the workers expire meanwhile.
    StoreAway {
        at_s: f64,
        for_s: f64,
        #[serde(default)]
        expired_share: f64,
    },
    /// The workers of a zone cannot be reached; they run on.
    ZoneLost { at_s: f64, for_s: f64, zone: String },
    /// The leader is killed, and the next one starts after a pause.
    LeaderKilled { at_s: f64, pause_s: f64 },
    /// An organisation submits a multiple of its usual jobs.
    Flood { at_s: f64, for_s: f64, organisation: String, factor: f64 },
}

impl Fault {
    pub(super) fn at_s(&self) -> f64 {
        match self {
            Fault::StoreAway { at_s, .. }
            | Fault::ZoneLost { at_s, .. }
            | Fault::LeaderKilled { at_s, .. }
            | Fault::Flood { at_s, .. } => *at_s,
        }
    }
}

/// A load that the lab plays.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    pub(super) name: String,
    /// How long jobs are submitted.
    pub(super) length_s: f64,
    pub(super) hosts: Hosts,
    /// Pools that run jobs. There is one more, for spare hosts.
    pub(super) pools: Vec<String>,
    #[serde(default)]
    pub(super) organisations: Vec<OrganisationLoad>,
    pub(super) queues: Vec<QueueLoad>,
    #[serde(default)]
    pub(super) long_running: Vec<LongRunningLoad>,
    #[serde(default)]
    pub(super) faults: Vec<Fault>,
}

impl Workload {
    /// Reads a workload and checks it.
    pub fn from_json(json: &[u8]) -> Result<Workload, WorkloadError> {
        let mut deserializer = serde_json::Deserializer::from_slice(json);
        let workload: Workload = serde_path_to_error::deserialize(&mut deserializer).map_err(|error| {
            let field = error.path().to_string();
            WorkloadError::Syntax { field, source: error.into_inner() }
        })?;
        workload.check()?;
        Ok(workload)
    }

    /// Name of the workload, as its file states it.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The same load with all queues in one pool that has all hosts, so that no host has to move. No division of the hosts
    /// between the pools can be expected to serve more.
    #[must_use]
    pub fn undivided(&self) -> Workload {
        let mut workload = self.clone();
        workload.name = format!("{} (one pool)", self.name);
        workload.pools.truncate(1);
        for queue in &mut workload.queues {
            queue.pool.clone_from(&workload.pools[0]);
        }
        workload
    }

    /// The same load with a multiple of its jobs.
    #[must_use]
    pub fn scaled(&self, multiple: f64) -> Workload {
        let mut workload = self.clone();
        for queue in &mut workload.queues {
            queue.jobs_per_s *= multiple;
        }
        workload
    }

    /// Cores of one host.
    pub fn cores_per_host(&self) -> f64 {
        self.hosts.cpu_milli as f64 / 1_000.0
    }

    fn check(&self) -> Result<(), WorkloadError> {
        positive("length_s", self.length_s)?;
        positive("hosts.count", self.hosts.count as f64)?;
        positive("hosts.cpu_milli", self.hosts.cpu_milli as f64)?;
        not_empty("hosts.zones", &self.hosts.zones)?;
        not_empty("pools", &self.pools)?;
        let mut names = BTreeSet::new();
        for (index, queue) in self.queues.iter().enumerate() {
            let field = |name: &str| format!("queues[{index}].{name}");
            if !names.insert(&queue.name) {
                return Err(value(field("name"), format!("{:?} stands twice", queue.name)));
            }
            known(&field("pool"), &queue.pool, &self.pools)?;
            positive(&field("jobs_per_s"), queue.jobs_per_s)?;
            queue.shape.check().map_err(|problem| value(field("shape"), problem))?;
            let sizes = [&queue.steps, &queue.width, &queue.cpu_milli, &queue.run_ms];
            for (name, size) in ["steps", "width", "cpu_milli", "run_ms"].iter().zip(sizes) {
                size.check().map_err(|problem| value(field(name), problem))?;
            }
            if queue.cpu_milli.max > self.hosts.cpu_milli as f64 {
                return Err(value(field("cpu_milli.max"), format!("at most a host's {}", self.hosts.cpu_milli)));
            }
        }
        let queues: Vec<String> = self.queues.iter().map(|queue| queue.name.clone()).collect();
        for (index, load) in self.long_running.iter().enumerate() {
            known(&format!("long_running[{index}].queue"), &load.queue, &queues)?;
        }
        let organisations: Vec<String> = self.organisations.iter().map(|load| load.name.clone()).collect();
        for (index, fault) in self.faults.iter().enumerate() {
            let field = |name: &str| format!("faults[{index}].{name}");
            match fault {
                Fault::ZoneLost { zone, .. } => known(&field("zone"), zone, &self.hosts.zones)?,
                Fault::Flood { organisation, .. } => known(&field("organisation"), organisation, &organisations)?,
                Fault::StoreAway { .. } | Fault::LeaderKilled { .. } => {}
            }
        }
        Ok(())
    }
}

fn value(field: impl Into<String>, problem: impl Into<String>) -> WorkloadError {
    WorkloadError::Value { field: field.into(), problem: problem.into() }
}

fn positive(field: &str, number: f64) -> Result<(), WorkloadError> {
    if number > 0.0 && number.is_finite() {
        return Ok(());
    }
    Err(value(field, format!("{number} is not above 0")))
}

fn not_empty(field: &str, names: &[String]) -> Result<(), WorkloadError> {
    if names.is_empty() {
        return Err(value(field, "at least one name is needed"));
    }
    Ok(())
}

fn known(field: &str, name: &str, names: &[String]) -> Result<(), WorkloadError> {
    if names.iter().any(|known| known == name) {
        return Ok(());
    }
    Err(value(field, format!("{name:?} is none of {names:?}")))
}
