//! Moves hosts to pools that lack capacity.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::allocation::{
    Allocation, DemandTier, HostLoad, HostRequest, MovableHost, PoolBalance, RequestKind, Transfer,
};
use super::candidate::Candidate;
use super::host_moves::LEADER_CHANGE_MARGIN_MS;
use super::labels::LabelBalances;
use super::model::{HostPhase, HostRecord, Resources};
use super::scheduler::Scheduler;
use super::unplaceable::{PlaceNeed, UnplaceableTasks};
use super::work_counts::Work;
use crate::clock::US_PER_MS;

/// How long a host must have been idle before it may move to a pool that lacks capacity.
const IDLE_BEFORE_MOVE_MS: u64 = 150;

/// How long a wave leaves a host alone whose drain was ended for a waiting task. The task is at work by then.
const DRAIN_POSTPONED_MS: u64 = 4_000;

impl Scheduler {
    /// Moves hosts to pools that lack capacity: first for labels, then for tasks that no worker can take and for pools
    /// without any worker, then for on-time jobs, then for late jobs.
    pub(super) fn cover_shortfalls(
        &mut self,
        now_us: u64,
        balances: &BTreeMap<Arc<str>, PoolBalance>,
        labels: &LabelBalances,
    ) {
        let unplaceable = self.unplaceable_tasks(now_us);
        let rejected_moves = self.host_moves.rejected_moves.clone();
        let hosts = self.movable_hosts(now_us);
        self.work_counts.add(Work::HostsConsidered, self.hosts.len());
        let mut allocation = Allocation { balances: balances.clone(), hosts, labels, rejected_moves: &rejected_moves };
        for ((pool, label), balance) in labels {
            let kind = balance.request_kind();
            let request = HostRequest { pool, label: Some(label), kind, needs: Resources::default() };
            self.cover_label(now_us, &request, balance.shortfall(), &mut allocation);
        }
        self.cover_unplaceable_tasks(now_us, &unplaceable, &mut allocation);
        for (pool, balance) in balances {
            if allocation.balances[pool].capacity > 0 || balance.expected_demand == 0 {
                continue;
            }
            // Other pools may claim all hosts for the load that they expect.
            let kind = RequestKind::Unschedulable;
            let request = HostRequest { pool, label: None, kind, needs: Resources::default() };
            self.take_host(now_us, &request, &mut allocation);
        }
        for tier in [DemandTier::Present, DemandTier::Expected, DemandTier::Late] {
            for transfer in allocation.cover_shortfalls(tier, self.host_moves.moves_left) {
                self.begin_transfer(now_us, &transfer);
            }
        }
    }

    /// Moves hosts with a label until their capacity is at least `shortfall`, in thousandths of a core.
    fn cover_label(
        &mut self,
        now_us: u64,
        request: &HostRequest<'_>,
        mut shortfall: u64,
        allocation: &mut Allocation<'_>,
    ) {
        while shortfall > 0 {
            let Some(host) = self.take_host(now_us, request, allocation) else { return };
            let milli = self.hosts.get(&host).map_or(0, |record| record.capacity.cpu_milli);
            shortfall = shortfall.saturating_sub(milli.max(1));
        }
    }

    /// Moves hosts to pools for tasks that none of their workers can take.
    fn cover_unplaceable_tasks(
        &mut self,
        now_us: u64,
        unplaceable: &[UnplaceableTasks],
        allocation: &mut Allocation<'_>,
    ) {
        for tasks in unplaceable {
            let step = tasks.step();
            let request = HostRequest {
                pool: &tasks.pool,
                label: step.required_label.as_ref(),
                kind: RequestKind::Unschedulable,
                needs: step.reserved(),
            };
            for _ in 0..tasks.host_count {
                if self.host_moves.moves_left == 0 || self.take_host(now_us, &request, allocation).is_some() {
                    continue;
                }
                if step.long_running && tasks.need == PlaceNeed::Waiting {
                    self.give_back_draining_worker(now_us, tasks);
                }
                break;
            }
        }
    }

    /// Ends the drain, for a wave, of a worker that could run long-running tasks which no other worker and no host can
    /// take. Otherwise a drain that waits for the disruption budget of these tasks would keep them waiting.
    fn give_back_draining_worker(&mut self, now_us: u64, tasks: &UnplaceableTasks) {
        let mut given_back = None;
        for worker in self.workers.values() {
            let Some(host) = &worker.entry.host else { continue };
            let siblings = tasks.siblings.get(&worker.entry.id).copied().unwrap_or(0);
            let can_run = worker.entry.pool == tasks.pool
                && worker.is_cordoned
                && worker.is_listed
                && !worker.is_silent
                && !worker.entry.draining
                && Candidate::of_worker(worker).can_ever_run(tasks.step(), siblings);
            if can_run && self.waves.is_only_draining(host) {
                given_back = Some(host.clone());
                break;
            }
        }
        let Some(host) = given_back else { return };
        log::info!("host={host} pool={} outcome=drain_ended_for_waiting_task", tasks.pool);
        self.waves.postpone_drain(&host, now_us + DRAIN_POSTPONED_MS * US_PER_MS);
        self.set_cordoned(&host, false);
        self.wants_placement = true;
    }

    /// Moves the best host for a request and returns its name. `None` if no host may move, or no more orders may be sent
    /// now.
    fn take_host(
        &mut self,
        now_us: u64,
        request: &HostRequest<'_>,
        allocation: &mut Allocation<'_>,
    ) -> Option<Arc<str>> {
        if self.host_moves.moves_left == 0 {
            return None;
        }
        let transfer = allocation.take_host(request)?;
        self.begin_transfer(now_us, &transfer);
        Some(transfer.host)
    }

    fn begin_transfer(&mut self, now_us: u64, transfer: &Transfer) {
        if transfer.is_idle {
            self.order_move(now_us, &transfer.host, &transfer.pool);
        } else {
            self.begin_drain(now_us, &transfer.host, &transfer.pool);
        }
    }

    /// Hosts that may be taken from their pools.
    fn movable_hosts(&self, now_us: u64) -> Vec<MovableHost> {
        let mut movable = Vec::new();
        for (name, record) in &self.hosts {
            if !self.may_leave(now_us, name, record) {
                continue;
            }
            let is_spare = self.catalog.pool(&record.pool).is_some_and(|pool| pool.spare);
            let load = if is_spare { Some(HostLoad::Idle) } else { self.load_of_movable(now_us, name) };
            if let Some(load) = load {
                let awaits_maintenance = self.waves.awaits_maintenance(name);
                movable.push(MovableHost { record: record.clone(), is_spare, awaits_maintenance, load });
            }
        }
        movable
    }

    /// What runs on a host; `None` if the host must stay in its pool.
    fn load_of_movable(&self, now_us: u64, host: &str) -> Option<HostLoad> {
        let worker = self.worker_on(host).and_then(|id| self.workers.get(&id))?;
        if !worker.is_synced || worker.entry.draining || worker.is_cordoned || worker.long_running_count > 0 {
            return None;
        }
        if worker.tasks.is_empty() {
            let has_been_idle = now_us >= worker.idle_since_us + IDLE_BEFORE_MOVE_MS * US_PER_MS;
            return has_been_idle.then_some(HostLoad::Idle);
        }
        let has_on_time_tasks = self.on_time_cpu_milli(worker) > 0;
        Some(HostLoad::Busy { reserved_milli: worker.reserved.cpu_milli, has_on_time_tasks })
    }

    /// Whether a host may leave its pool, as far as its tasks allow it.
    fn may_leave(&self, now_us: u64, name: &Arc<str>, host: &HostRecord) -> bool {
        host.phase == HostPhase::Up
            && !self.host_moves.silent_zones.contains(&host.zone)
            && !self.host_moves.is_moving(name)
            && self.is_free_of_former_leader_orders(now_us, name)
            && !self.waves.is_handling(name)
            && self.host_moves.retry_not_before_us.get(name).is_none_or(|not_before_us| now_us >= *not_before_us)
    }

    pub(super) fn may_move(&self, now_us: u64, name: &Arc<str>, host: &HostRecord, pool: &Arc<str>) -> bool {
        self.may_leave(now_us, name, host) && !self.host_moves.rejected_moves.contains(&(name.clone(), pool.clone()))
    }

    /// Whether no order of a former leader can conflict with a new order for the host: the former leader recorded none,
    /// enough time has passed since, or the host's worker has been running for longer than that time.
    pub(super) fn is_free_of_former_leader_orders(&self, now_us: u64, host: &str) -> bool {
        if !self.host_orders.may_be_ordered_by_former_leader(host)
            || now_us >= self.host_moves.former_leader_orders_until_us
        {
            return true;
        }
        let worker = self.worker_on(host).and_then(|id| self.workers.get(&id));
        let former_leader_orders_wait_ms = self.settings.leader_change_wait_ms + LEADER_CHANGE_MARGIN_MS;
        worker.is_some_and(|worker| worker.is_synced && worker.uptime_ms() >= former_leader_orders_wait_ms)
    }

    /// Whether a host's worker has had no tasks for at least `wait_ms`.
    pub(super) fn is_idle(&self, now_us: u64, host: &str, wait_ms: u64) -> bool {
        let Some(worker) = self.worker_on(host).and_then(|id| self.workers.get(&id)) else { return false };
        worker.tasks.is_empty()
            && worker.is_synced
            && !worker.entry.draining
            && now_us >= worker.idle_since_us + wait_ms * US_PER_MS
    }
}
