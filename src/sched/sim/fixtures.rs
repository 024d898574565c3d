//! Settings, queues, jobs and workers for the tests of the scheduler.

use std::sync::Arc;

use super::super::model::{Catalog, JobSpec, PoolConfig, Queue, Resources, Step, WorkerEntry};
use super::super::organisation::{Organisation, Organisations};
use super::super::policies::Policies;
use super::super::scheduler::SchedSettings;
use super::{MAX_ATTEMPTS, START_UNIX_MS};

pub(crate) fn settings() -> SchedSettings {
    SchedSettings {
        max_lease_ms: 10_000,
        stop_grace_ms: 200,
        leader_change_wait_ms: 3_000,
        host_move_ms: 1_500,
        host_maintenance_ms: 2_000,
        host_orders_per_s: 64,
        policies: Policies::default(),
    }
}

pub(in crate::sched) fn queue() -> Arc<Queue> {
    Arc::new(Queue {
        name: "proofs".into(),
        host: "studio.example".into(),
        path_prefix: "/proofs/".into(),
        pool: "press".into(),
        priority: 0,
        max_attempts: MAX_ATTEMPTS,
        stretch: 2.0,
        target_latency_ms: 1_000,
        advice: None,
        requires_key: false,
    })
}

pub(crate) fn catalog() -> Arc<Catalog> {
    let pools = vec![PoolConfig { name: "press".into(), spare: false }];
    Arc::new(Catalog { version: 1, queues: vec![queue()], pools, organisations: Organisations::default() })
}

/// An organisation with a weight of 1 and a quota in thousandths of a core.
pub(in crate::sched) fn organisation(name: &str, cpu_milli: u64) -> Organisation {
    Organisation { name: name.into(), weight: 1.0, cap: Resources { cpu_milli, ..Resources::MAX } }
}

pub(in crate::sched) fn organisations(all: impl IntoIterator<Item = Organisation>) -> Organisations {
    let mut organisations = Organisations::default();
    for organisation in all {
        organisations.add(organisation, []).expect("the names differ");
    }
    organisations
}

pub(in crate::sched) fn spec_of(organisation: &str, steps: Vec<Step>) -> JobSpec {
    JobSpec { organisation: Some(organisation.into()), ..spec(steps) }
}

pub(in crate::sched) fn step(count: u32, after: &[u32]) -> Step {
    let needs = Resources { cpu_milli: 2_000, mem_mb: 1_000, gpus: 0 };
    Step { count, needs, estimate_ms: 500, after: after.to_vec(), ..Step::default() }
}

pub(crate) fn spec(steps: Vec<Step>) -> JobSpec {
    JobSpec {
        queue: queue(),
        task_spec: "print".into(),
        steps,
        recurring_occurrences: 0,
        first_run_unix_ms: 0,
        interval_ms: 0,
        accepted_unix_ms: START_UNIX_MS,
        organisation: None,
    }
}

pub(crate) fn worker_entry(number: usize, started_unix_ms: u64) -> WorkerEntry {
    WorkerEntry {
        id: format!("w{number}").into(),
        address: ([10, 0, 0, 1], 1_000 + number as u16).into(),
        pool: "press".into(),
        zone: "hall-a".into(),
        started_unix_ms,
        draining: false,
        remaining_ms: 0,
        capacity: Resources { cpu_milli: 16_000, mem_mb: 64_000, gpus: 0 },
        labels: ["a".into(), format!("r{}", number / 4).into()].into(),
        host: Some(format!("h{number}").into()),
    }
}
