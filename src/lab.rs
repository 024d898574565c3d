//! Plays the scheduler against a simulated platform, in virtual time, to compare ways of deciding.
//!
//! A [`Workload`] describes pools, hosts, queues, long-running work and faults. [`play`] runs it from a seed with the same
//! scheduler that a leader owns, and returns what callers got. A play with the same
//! workload, seed and ways repeats exactly.

mod arrivals;
mod chart;
mod comparison;
mod leader_work;
mod outcome;
mod player;
mod policy;
mod sizes;
mod workload;

#[cfg(test)]
mod lab_tests;

pub use chart::draw;
pub use comparison::{compare, play_seeds, Comparison, Difference};
pub use leader_work::{leader_work, LeaderLoad, LeaderWork};
pub use outcome::{FleetOutcome, Outcome, QueueOutcome, Sample};
pub use player::play;
pub use policy::{PolicyError, PolicySet};
pub use workload::{Workload, WorkloadError};
