//! The simulated provider of hosts: takes hosts away for maintenance and moves, and brings them back.

use std::sync::Arc;

use rand::Rng;

use super::super::model::{Catalog, HostOrderOutcome, HostPhase, HostRecord, Resources, WaveOrder};
use super::worker::sim_worker;
use super::{Message, Sim, Violation, DELAY_US, ORDER_TIMEOUT_US};
use crate::clock::US_PER_MS;

/// Interval at which the leader reads the list of hosts.
const LIST_INTERVAL_US: u64 = 500 * US_PER_MS;
/// Time from a host's return until its worker is registered.
const WORKER_START_US: u64 = 300 * US_PER_MS;

/// An order to the provider.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum HostAction {
    Move { host: Arc<str>, pool: Arc<str> },
    Maintain { host: Arc<str>, wave: u64 },
}

impl HostAction {
    fn host(&self) -> &Arc<str> {
        match self {
            HostAction::Move { host, .. } | HostAction::Maintain { host, .. } => host,
        }
    }
}

#[derive(Debug)]
pub(super) struct SimHost {
    number: usize,
    pub(super) pool: Arc<str>,
    phase: HostPhase,
    worker: Option<Arc<str>>,
    /// When the host is up again, unless it is up.
    up_again_us: u64,
    /// When its worker starts, unless it has one.
    worker_starts_us: u64,
    life_count: u32,
    /// Wave that maintains the host.
    wave: Option<u64>,
    /// Waves that have maintained the host.
    maintained_by: Vec<u64>,
}

impl SimHost {
    /// Whether the order has been carried out, or is being carried out.
    fn has_carried_out(&self, order: &HostAction) -> bool {
        match order {
            HostAction::Move { pool, .. } => self.pool == *pool,
            HostAction::Maintain { wave, .. } => self.maintained_by.contains(wave),
        }
    }
}

impl Sim {
    /// Runs each worker on a host of its own, which the provider lists. The catalog replaces the default one.
    pub(crate) fn add_hosts(&mut self, catalog: Arc<Catalog>) {
        let ids: Vec<Arc<str>> = self.workers.keys().cloned().collect();
        for number in 0..ids.len() {
            let entry = self.entries[number].clone();
            let Some(name) = entry.host else { continue };
            let host = SimHost {
                number,
                pool: entry.pool,
                phase: HostPhase::Up,
                worker: Some(entry.id),
                up_again_us: 0,
                worker_starts_us: 0,
                life_count: 0,
                wave: None,
                maintained_by: Vec::new(),
            };
            self.hosts.insert(name, host);
        }
        self.scheduler.configure(catalog.clone());
        self.catalog = catalog;
    }

    /// Stores an operator's order of a maintenance wave of all hosts.
    pub(in crate::sched) fn order_wave(&mut self, number: u64, max_down: u32) {
        let hosts = self.hosts.keys().cloned().collect();
        let wave = WaveOrder { number, hosts, duration_ms: 30_000, max_down };
        self.waves.push(wave.clone());
        self.scheduler.add_wave(self.now_us, wave);
    }

    pub(super) fn list_hosts(&mut self) {
        if self.hosts.is_empty() || self.now_us < self.next_host_list_us {
            return;
        }
        self.next_host_list_us = self.now_us + LIST_INTERVAL_US;
        let mut records = Vec::new();
        for (name, host) in &self.hosts {
            let entry = self.entries[host.number].clone();
            records.push(HostRecord {
                name: name.clone(),
                pool: host.pool.clone(),
                phase: host.phase,
                worker: host.worker.clone(),
                capacity: Resources { ..entry.capacity },
                zone: entry.zone,
                labels: entry.labels,
            });
        }
        self.scheduler.hosts_listed(self.now_us, self.now_us, records);
    }

    pub(super) fn send_host_order(&mut self, order: HostAction) {
        if !self.scheduler.may_send_host_order(self.now_us) {
            self.report_host_outcome(&order, HostOrderOutcome::NotDone);
            return;
        }
        self.send(DELAY_US, Message::HostOrder { order, leader: self.leader, token: self.token });
    }

    pub(super) fn report_host_outcome(&mut self, order: &HostAction, outcome: HostOrderOutcome) {
        match order {
            HostAction::Move { host, pool } => self.scheduler.on_move_outcome(self.now_us, host, pool, outcome),
            HostAction::Maintain { host, wave } => {
                self.scheduler.on_maintenance_outcome(self.now_us, host, *wave, outcome);
            }
        }
    }

    pub(super) fn handle_host_order(&mut self, order: HostAction, leader: u32, token: u64) {
        let outcome = if token < self.token { HostOrderOutcome::Fenced } else { self.carry_out(&order) };
        let is_answered = !self.chance(self.faults.host_answer_loss_rate);
        let (after_us, outcome) = match is_answered {
            true => (DELAY_US, outcome),
            false => (ORDER_TIMEOUT_US, HostOrderOutcome::Unanswered),
        };
        self.send(after_us, Message::HostOrderAnswer { order, leader, outcome });
    }

    fn carry_out(&mut self, order: &HostAction) -> HostOrderOutcome {
        let Some(host) = self.hosts.get_mut(order.host()) else { return HostOrderOutcome::Invalid };
        if host.has_carried_out(order) {
            return HostOrderOutcome::Done;
        }
        if host.phase != HostPhase::Up {
            return HostOrderOutcome::Busy;
        }
        let away_ms = match order {
            HostAction::Move { pool, .. } => {
                host.pool = pool.clone();
                host.phase = HostPhase::Moving;
                self.move_count += 1;
                self.settings.host_move_ms
            }
            HostAction::Maintain { wave, .. } => {
                host.maintained_by.push(*wave);
                host.phase = HostPhase::Maintenance;
                self.settings.host_maintenance_ms
            }
        };
        host.up_again_us = self.now_us + away_ms * US_PER_MS;
        let worker = host.worker.take();
        if let HostAction::Maintain { host, wave } = order {
            self.check_wave_limit(host, *wave);
        }
        let Some(id) = worker else { return HostOrderOutcome::Done };
        self.registry.remove(&id);
        let Some(worker) = self.workers.remove(&id) else { return HostOrderOutcome::Done };
        for ((task, _), run) in &worker.runs {
            self.check_disruption(task, run, worker.entry.draining, &format!("{order:?}"));
        }
        HostOrderOutcome::Done
    }

    /// Counts a host that goes down, and checks the limit of its wave.
    fn check_wave_limit(&mut self, name: &Arc<str>, number: u64) {
        let down = self.hosts.values().filter(|host| host.wave == Some(number)).count();
        if let Some(host) = self.hosts.get_mut(name) {
            host.wave = Some(number);
        }
        let Some(wave) = self.waves.iter().find(|wave| wave.number == number) else { return };
        if down >= wave.max_down as usize {
            self.violations.push(Violation(format!("TOO MANY DOWN: {down} hosts of wave {number} are down")));
        }
    }

    /// Brings hosts back whose maintenance or move has ended, and starts a new worker on each.
    pub(super) fn return_hosts(&mut self) {
        let now_us = self.now_us;
        let mut started = Vec::new();
        for host in self.hosts.values_mut() {
            if host.phase != HostPhase::Up && now_us >= host.up_again_us {
                host.phase = HostPhase::Up;
                host.wave = None;
                host.worker_starts_us = now_us + WORKER_START_US;
            }
            if host.phase != HostPhase::Up || host.worker.is_some() || now_us < host.worker_starts_us {
                continue;
            }
            host.life_count += 1;
            let mut entry = self.entries[host.number].clone();
            entry.started_unix_ms = now_us / US_PER_MS;
            entry.id = format!("w{}-{}", host.number, host.life_count).into();
            entry.pool = host.pool.clone();
            host.worker = Some(entry.id.clone());
            started.push(entry);
        }
        for entry in started {
            let rate = self.rng.random_range(0.98..1.0);
            self.workers.insert(entry.id.clone(), sim_worker(now_us, entry.clone(), rate));
            self.registry.insert(entry);
        }
    }

    pub(super) fn report_wave(&mut self, number: u64, is_complete: bool) {
        let is_stored = !self.is_store_down();
        self.scheduler.on_wave_report_outcome(self.now_us, number, is_complete, is_stored);
        if !is_stored || !is_complete {
            return;
        }
        self.complete_waves.insert(number);
        let remaining = self.hosts.values().filter(|host| !host.maintained_by.contains(&number)).count();
        if remaining > 0 {
            self.violations.push(Violation(format!("INCOMPLETE: wave {number} ends with {remaining} hosts remaining")));
        }
    }
}
