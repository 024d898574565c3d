//! Limits on the numbers in messages of other writers, so that sums and products of them cannot overflow.

use crate::sched::model::Resources;

/// Largest quantity of a resource: no worker has as much, and the sum over all tasks of a fleet fits in 64 bits.
const MAX_RESOURCE: f64 = u32::MAX as f64;
/// Largest duration and longest time since 1970, in milliseconds; both also fit in 64 bits in microseconds.
const MAX_TIME_MS: u64 = 1 << 42;

/// Resources that a worker or host offers; `None` if a quantity is negative or larger than any worker has.
pub(super) fn offered_resources(cpu_milli: f64, mem_mb: f64, gpus: f64) -> Option<Resources> {
    let is_valid = |quantity: f64| (0.0..=MAX_RESOURCE).contains(&quantity);
    let are_valid = is_valid(cpu_milli) && is_valid(mem_mb) && is_valid(gpus);
    are_valid.then(|| needed_resources(cpu_milli, mem_mb, gpus))
}

/// Resources that a task needs. One that needs more than any worker has waits in any case.
pub(super) fn needed_resources(cpu_milli: f64, mem_mb: f64, gpus: f64) -> Resources {
    let bounded = |quantity: f64| quantity.min(MAX_RESOURCE) as u64;
    Resources { cpu_milli: bounded(cpu_milli), mem_mb: bounded(mem_mb), gpus: bounded(gpus) }
}

/// A duration or a time since 1970, limited to the largest that can be calculated with.
pub(super) fn bounded_ms(time_ms: u64) -> u64 {
    time_ms.min(MAX_TIME_MS)
}

/// Whether a time is one that a clock can show.
pub(super) fn is_valid_ms(time_ms: u64) -> bool {
    time_ms <= MAX_TIME_MS
}
