//! Decisions about jobs, workers and hosts, free of I/O and clocks.
//!
//! One daemon, the leader, owns a [`scheduler::Scheduler`]. It tells the scheduler of jobs, workers, answers and the
//! time; the scheduler returns [`action::Action`]s and transactions to commit. Whatever must outlive the leader is
//! written first: a run before its order goes out, an end before the worker may forget it.

pub(crate) mod action;
mod batches;
mod candidate;
mod demand;
mod explain;
mod host_moves;
pub(crate) mod host_orders;
pub(crate) mod job;
mod labels;
pub(crate) mod model;
mod pace;
mod placement;
mod progress;
mod rebalance;
mod reconcile;
pub(crate) mod record;
mod registry;
pub(crate) mod scheduler;
mod waves;
pub(crate) mod worker;

#[cfg(test)]
mod scheduler_tests;
#[cfg(test)]
mod sim;
