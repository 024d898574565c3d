//! Scheduling logic for jobs, workers and hosts, without I/O or access to clocks.
//!
//! One daemon, the leader, owns a [`scheduler::Scheduler`]. It passes in jobs, worker entries, answers and the current
//! time; the scheduler returns [`action::Action`]s to carry out and [`action::Batch`]es to commit. State that must
//! survive the leader is committed first: a run before its start order is sent, the end of a run before it is
//! acknowledged to the worker.

pub(crate) mod action;
pub(crate) mod admission;
mod admission_load;
mod allocation;
mod batches;
mod candidate;
pub(crate) mod copies;
pub(crate) mod critical_path;
mod demand;
mod dirty_jobs;
mod disruption;
mod explain;
pub(crate) mod fair_order;
pub(crate) mod forecast;
mod gangs;
mod host_moves;
pub(crate) mod host_orders;
mod host_successors;
mod host_workers;
mod isolation;
pub(crate) mod job;
mod labels;
mod late_starts;
mod leases;
mod lost_workers;
pub(crate) mod model;
mod operator_views;
pub(crate) mod organisation;
pub(crate) mod organisation_counts;
pub(crate) mod overload;
mod pace;
mod packed_row;
pub(crate) mod phase_rows;
mod placement;
mod placement_round;
pub(crate) mod policies;
mod progress;
mod ranked_workers;
mod ready_jobs;
mod rebalance;
mod reconcile;
pub(crate) mod record;
mod refused_batches;
mod registry;
mod restarts;
pub(crate) mod run_end;
pub(crate) mod run_stops;
mod run_times;
pub(crate) mod scheduler;
mod share;
mod sharing;
pub(crate) mod stages;
pub(crate) mod start_orders;
mod start_outcomes;
mod start_rate;
mod task_runs;
mod tickets;
mod unplaceable;
mod urgency;
mod usage;
mod waves;
pub(crate) mod work_counts;
pub(crate) mod worker;
pub(crate) mod worker_loss;
mod worker_speed;

#[cfg(test)]
mod admission_load_tests;
#[cfg(test)]
mod allocation_tests;
#[cfg(test)]
mod candidate_tests;
#[cfg(test)]
mod capacity_tests;
#[cfg(test)]
mod copies_fault_tests;
#[cfg(test)]
mod copies_fixtures;
#[cfg(test)]
mod copies_tests;
#[cfg(test)]
mod copy_end_tests;
#[cfg(test)]
mod critical_path_tests;
#[cfg(test)]
mod dirty_jobs_tests;
#[cfg(test)]
mod disruption_tests;
#[cfg(test)]
mod duplicate_run_tests;
#[cfg(test)]
mod early_stop_tests;
#[cfg(test)]
mod fair_order_tests;
#[cfg(test)]
mod forecast_tests;
#[cfg(test)]
mod host_demand_tests;
#[cfg(test)]
mod host_drain_tests;
#[cfg(test)]
mod host_successor_tests;
#[cfg(test)]
mod host_tests;
#[cfg(test)]
mod incarnation_fixtures;
#[cfg(test)]
mod incarnation_tests;
#[cfg(test)]
mod late_starts_tests;
#[cfg(test)]
mod leader_fixtures;
#[cfg(test)]
mod operator_views_tests;
#[cfg(test)]
mod overload_order_tests;
#[cfg(test)]
mod overload_tests;
#[cfg(test)]
mod placement_round_tests;
#[cfg(test)]
mod planned_work_tests;
#[cfg(test)]
mod ranked_workers_tests;
#[cfg(test)]
mod record_tests;
#[cfg(test)]
mod recut_tests;
#[cfg(test)]
mod refused_batches_tests;
#[cfg(test)]
mod run_end_tests;
#[cfg(test)]
mod run_stops_tests;
#[cfg(test)]
mod run_times_tests;
#[cfg(test)]
mod scheduler_tests;
#[cfg(test)]
mod share_tests;
#[cfg(test)]
mod sharing_tests;
#[cfg(test)]
mod silent_workers_tests;
#[cfg(any(test, feature = "lab"))]
#[cfg_attr(
    not(all(test, feature = "lab")),
    allow(dead_code, unused_imports, reason = "the lab uses only a part of the simulation")
)]
pub(crate) mod sim;
#[cfg(test)]
mod stages_tests;
#[cfg(test)]
mod start_orders_tests;
#[cfg(test)]
mod start_rate_tests;
#[cfg(test)]
mod takeover_tests;
#[cfg(test)]
mod tickets_tests;
#[cfg(test)]
mod urgency_tests;
#[cfg(test)]
mod usage_tests;
#[cfg(test)]
mod wave_tests;
#[cfg(test)]
mod work_counts_tests;
#[cfg(test)]
mod worker_loss_tests;
#[cfg(test)]
mod worker_speed_tests;
