//! Chooses hosts to move to pools that lack capacity.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::candidate::Candidate;
use super::demand::PoolBalance;
use super::host_moves::LEADER_CHANGE_MARGIN_MS;
use super::labels::{is_last_with_label, is_needed_for_label, LabelBalances};
use super::model::{HostPhase, HostRecord, Resources};
use super::scheduler::Scheduler;
use super::unplaceable::UnplaceableTasks;
use crate::clock::US_PER_MS;

/// How long a host must have been idle before it may move to a pool that lacks capacity.
const IDLE_BEFORE_MOVE_MS: u64 = 150;

/// How long a wave leaves a host alone whose drain was ended for a waiting task. The task is at work by then.
const DRAIN_POSTPONED_MS: u64 = 4_000;

/// A host selected to move to another pool.
#[derive(Debug)]
struct SelectedHost {
    host: Arc<str>,
    /// Whether it runs no tasks and can move at once; otherwise it is drained first.
    is_idle: bool,
}

/// Why a pool requests a host; this decides which hosts it may get.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestKind {
    /// For demand of late jobs. Only hosts without tasks are taken.
    Late,
    /// For demand of on-time jobs. Hosts whose own tasks all belong to late jobs may be drained.
    OnTime,
    /// No worker of the pool can run the tasks. Any host without long-running tasks may be drained.
    Unschedulable,
}

/// A pool's request for a host.
#[derive(Debug)]
struct HostRequest<'a> {
    pool: &'a Arc<str>,
    /// Label that the host must have.
    label: Option<&'a Arc<str>>,
    kind: RequestKind,
    /// Capacity that the host must have.
    needs: Resources,
}

/// State of one search for hosts: the balances after the moves chosen so far, and the hosts chosen.
#[derive(Debug)]
struct HostSearch<'a> {
    balances: BTreeMap<Arc<str>, PoolBalance>,
    labels: &'a LabelBalances,
    taken: BTreeSet<Arc<str>>,
}

impl Scheduler {
    /// Moves hosts to pools that lack capacity: first for labels, then for tasks that no worker can take and for pools
    /// without any worker, then for on-time jobs, then for late jobs.
    pub(super) fn cover_shortfalls(
        &mut self,
        now_us: u64,
        balances: &BTreeMap<Arc<str>, PoolBalance>,
        labels: &LabelBalances,
    ) {
        let mut search = HostSearch { balances: balances.clone(), labels, taken: BTreeSet::new() };
        for ((pool, label), balance) in labels {
            let kind = if balance.has_no_capacity() { RequestKind::Unschedulable } else { RequestKind::OnTime };
            let request = HostRequest { pool, label: Some(label), kind, needs: Resources::default() };
            self.cover_shortfall(now_us, &request, balance.shortfall(), &mut search);
        }
        self.cover_unplaceable_tasks(now_us, &mut search);
        for pool in balances.keys() {
            let balance = &search.balances[pool];
            if balance.capacity > 0 || balance.on_time_demand == 0 {
                continue;
            }
            // Other pools may claim all hosts for the load that they expect.
            let kind = RequestKind::Unschedulable;
            let request = HostRequest { pool, label: None, kind, needs: Resources::default() };
            self.cover_shortfall(now_us, &request, 1, &mut search);
        }
        for kind in [RequestKind::OnTime, RequestKind::Late] {
            let mut shortfalls: Vec<(u64, Arc<str>)> = Vec::new();
            for (pool, balance) in &search.balances {
                let demand = if kind == RequestKind::OnTime { balance.on_time_demand } else { balance.total_demand() };
                if demand > balance.capacity {
                    shortfalls.push((demand - balance.capacity, pool.clone()));
                }
            }
            shortfalls.sort_by(|a, b| b.cmp(a));
            for (shortfall, pool) in shortfalls {
                let request = HostRequest { pool: &pool, label: None, kind, needs: Resources::default() };
                let is_found = self.cover_shortfall(now_us, &request, shortfall, &mut search);
                // Pools that lack capacity spare no hosts for each other, so the others would not get one either.
                if !is_found && !self.host_moves.has_rejected_moves_to(&pool) {
                    break;
                }
            }
        }
    }

    /// Moves hosts to pools for tasks that none of their workers can take.
    fn cover_unplaceable_tasks(&mut self, now_us: u64, search: &mut HostSearch<'_>) {
        for tasks in self.unplaceable_tasks(now_us) {
            let step = tasks.step();
            let request = HostRequest {
                pool: &tasks.pool,
                label: step.required_label.as_ref(),
                kind: RequestKind::Unschedulable,
                needs: step.reserved(),
            };
            for _ in 0..tasks.host_count {
                if self.cover_shortfall(now_us, &request, 1, search) {
                    continue;
                }
                if step.long_running {
                    self.give_back_draining_worker(now_us, &tasks);
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

    /// Returns false if the search ended because no host may move to the pool. The limit on the rate of orders also ends
    /// it, until the next one.
    fn cover_shortfall(
        &mut self,
        now_us: u64,
        request: &HostRequest<'_>,
        mut shortfall: u64,
        search: &mut HostSearch<'_>,
    ) -> bool {
        while shortfall > 0 && self.host_moves.moves_left > 0 {
            let Some(selected) = self.select_host(now_us, request, search) else { return false };
            search.taken.insert(selected.host.clone());
            let capacity = self.hosts.get(&selected.host).map_or(0, |record| record.capacity.cpu_milli);
            if let Some(balance) =
                self.hosts.get(&selected.host).and_then(|record| search.balances.get_mut(&record.pool))
            {
                balance.capacity = balance.capacity.saturating_sub(capacity);
            }
            if let Some(balance) = search.balances.get_mut(request.pool) {
                balance.capacity += capacity;
            }
            if selected.is_idle {
                self.order_move(now_us, &selected.host, request.pool);
            } else {
                self.begin_drain(now_us, &selected.host, request.pool);
            }
            shortfall = shortfall.saturating_sub(capacity.max(1));
        }
        true
    }

    /// Selects the best host to take from another pool: the least busy one. Among equals, one of the spare pool comes
    /// first, then one of the pool with the largest surplus.
    fn select_host(&self, now_us: u64, request: &HostRequest<'_>, search: &HostSearch<'_>) -> Option<SelectedHost> {
        let mut best: Option<(Reverse<u64>, bool, u64, &Arc<str>)> = None;
        for (name, host) in &self.hosts {
            if host.pool == *request.pool || !host.offers(request.label, &request.needs) {
                continue;
            }
            if search.taken.contains(name) || !self.may_move(now_us, name, host, request.pool) {
                continue;
            }
            let must_stay = match request.kind {
                RequestKind::Unschedulable => is_last_with_label(host, search.labels),
                RequestKind::OnTime | RequestKind::Late => is_needed_for_label(host, search.labels),
            };
            if must_stay {
                continue;
            }
            let is_spare = self.catalog.pool(&host.pool).is_some_and(|pool| pool.spare);
            let (busy, surplus) = match search.balances.get(&host.pool) {
                Some(_) if request.kind == RequestKind::Unschedulable => {
                    let Some(busy) = self.busy_milli(now_us, name, request.kind) else { continue };
                    (busy, u64::MAX)
                }
                Some(balance) if request.kind == RequestKind::OnTime => {
                    let Some(busy) = self.busy_milli(now_us, name, request.kind) else { continue };
                    (busy, balance.surplus())
                }
                Some(balance) => {
                    if !self.is_idle(now_us, name, IDLE_BEFORE_MOVE_MS) {
                        continue;
                    }
                    (0, balance.capacity.saturating_sub(balance.total_demand()))
                }
                None if is_spare => (0, u64::MAX),
                None => continue,
            };
            if surplus < host.capacity.cpu_milli {
                continue;
            }
            let candidate = (Reverse(busy), is_spare, surplus, name);
            if best.as_ref().is_none_or(|known| candidate > *known) {
                best = Some(candidate);
            }
        }
        best.map(|(Reverse(busy), _, _, name)| SelectedHost { host: name.clone(), is_idle: busy == 0 })
    }

    /// CPU reserved on a host that may be taken from its pool, 0 if it has no tasks; `None` if the host must stay.
    fn busy_milli(&self, now_us: u64, host: &str, kind: RequestKind) -> Option<u64> {
        let worker = self.worker_on(host).and_then(|id| self.workers.get(&id))?;
        if !worker.is_synced || worker.entry.draining || worker.is_cordoned || worker.long_running_count > 0 {
            return None;
        }
        if worker.tasks.is_empty() {
            return (now_us >= worker.idle_since_us + IDLE_BEFORE_MOVE_MS * US_PER_MS).then_some(0);
        }
        // For on-time jobs, only hosts whose own tasks are all late are drained.
        (kind == RequestKind::Unschedulable || self.on_time_cpu_milli(worker) == 0)
            .then_some(worker.reserved.cpu_milli.max(1))
    }

    pub(super) fn may_move(&self, now_us: u64, name: &Arc<str>, host: &HostRecord, pool: &Arc<str>) -> bool {
        host.phase == HostPhase::Up
            && !self.host_moves.silent_zones.contains(&host.zone)
            && !self.host_moves.is_moving(name)
            && self.is_free_of_former_leader_orders(now_us, name)
            && !self.waves.is_handling(name)
            && !self.host_moves.rejected_moves.contains(&(name.clone(), pool.clone()))
            && self.host_moves.retry_not_before_us.get(name).is_none_or(|not_before_us| now_us >= *not_before_us)
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
