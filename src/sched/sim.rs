//! Simulation of a leader, workers and a store in virtual time, which injects faults and checks invariants.

mod advice;
mod availability;
mod capacity;
mod crashes;
mod faults;
mod fixtures;
mod gangs;
mod hosts;
mod job_checks;
mod leader;
mod message;
mod observation;
mod planned_restarts;
mod quotas;
mod registry;
mod restarts;
mod run_durations;
mod sharing;
mod stops;
mod worker;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::action::Batch;
use super::admission::AdmissionReport;
use super::model::{Catalog, JobId, JobSpec, OrderOutcome, TaskRef, WaveOrder, WorkerEntry};
use super::scheduler::{SchedSettings, Scheduler};
use crate::clock::US_PER_MS;

pub(super) use advice::AdviceService;
use availability::TaskAvailability;
use crashes::Crashes;
pub(super) use crashes::NextWorkerId;
pub(crate) use faults::Faults;
pub(crate) use fixtures::{catalog, settings, spec, worker_entry};
pub(super) use fixtures::{organisation, organisations, queue, spec_of, step};
use hosts::SimHost;
use message::Message;
pub(super) use planned_restarts::PlannedRestart;
use planned_restarts::PlannedRestarts;
use registry::SimRegistry;
use restarts::Restarts;
pub(super) use restarts::{ClockSteps, HoldEnd};
pub(crate) use run_durations::Stragglers;
pub(super) use sharing::Latencies;
pub(super) use stops::{StopListing, StopTimes};
use worker::{sim_worker, SimWorker};

/// Virtual time per tick of the simulation.
const TICK_US: u64 = 5 * US_PER_MS;
/// One-way network delay to a worker or the store.
const DELAY_US: u64 = 2 * US_PER_MS;
const ORDER_TIMEOUT_US: u64 = 800 * US_PER_MS;
/// Delay before the answer to a commit that the store did not take.
const STORE_RETRY_DELAY_US: u64 = 40 * US_PER_MS;
/// Fencing tokens of calls to workers between those of two terms.
const FENCES_PER_TERM: u64 = 1_000_000;
/// Unix time at the start of the simulation, in milliseconds.
pub(crate) const START_UNIX_MS: u64 = 1_700_000_000_000;
pub(super) const MAX_ATTEMPTS: u32 = 3;

/// Description of a violated invariant.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Violation(pub(crate) String);

/// State of the simulation.
pub(crate) struct Sim {
    pub(crate) now_us: u64,
    rng: SmallRng,
    faults: Faults,
    /// First entry of each worker, by number.
    entries: Vec<WorkerEntry>,
    workers: BTreeMap<Arc<str>, SimWorker>,
    pub(in crate::sched) registry: SimRegistry,
    /// Hosts in the provider's list, by name. Empty unless [`Sim::add_hosts`] has been called.
    hosts: BTreeMap<Arc<str>, SimHost>,
    next_host_list_us: u64,
    catalog: Arc<Catalog>,
    pub(super) scheduler: Scheduler,
    settings: SchedSettings,
    /// Number of the current leader, or of the next one while there is none.
    leader: u32,
    /// Fencing token of the current leader.
    token: u64,
    /// Number of times that the current leader has raised the token of its calls to a worker.
    raised_fences: HashMap<Arc<str>, u64>,
    leader_down_until_us: Option<u64>,
    /// Until then, the leader's process stands still; what is sent to it arrives afterwards.
    leader_frozen_until_us: u64,
    /// Until then, the store answers nothing.
    store_down_until_us: u64,
    /// When a fault last disturbed anything.
    last_disturbance_us: u64,
    /// Messages in flight, and when each arrives.
    messages: Vec<(u64, Message)>,
    /// Workers whose hold request has not been answered yet.
    holds_in_flight: HashSet<Arc<str>>,
    commit_in_flight: bool,
    pub(super) specs: BTreeMap<JobId, JobSpec>,
    /// When each cancelled job was cancelled.
    cancelled: HashMap<JobId, u64>,
    /// Records of jobs in the simulated store.
    records: HashMap<JobId, Vec<u8>>,
    waves: Vec<WaveOrder>,
    /// Records of waves and of ordered hosts in the simulated store.
    wave_records: BTreeMap<u64, Vec<Arc<str>>>,
    ordered_hosts: Vec<Arc<str>>,
    /// Waves that the leader has reported to be complete.
    pub(super) complete_waves: HashSet<u64>,
    /// Availability of the tasks of steps with a disruption budget.
    availability: HashMap<TaskRef, TaskAvailability>,
    /// Number of runs at work that an order ended.
    pub(super) disruption_count: u32,
    /// Number of hosts that were moved.
    pub(crate) move_count: u32,
    /// Tasks with a run that completed.
    done: HashSet<TaskRef>,
    /// Gangs of which a run completed, by their first task, and the number of the run.
    completed_gangs: HashSet<(TaskRef, u32)>,
    /// Tasks whose completion the leader has acknowledged.
    acknowledged_done: HashSet<TaskRef>,
    /// Number of failed runs of each task that the leader has acknowledged.
    acknowledged_failures: HashMap<TaskRef, u32>,
    /// Number of failed runs of each task.
    failures: HashMap<TaskRef, u32>,
    pub(crate) start_count: u32,
    pub(crate) violations: Vec<Violation>,
    pub(super) run_duration_us: u64,
    /// Run times vary uniformly by up to this share of their average.
    pub(super) run_time_spread: f64,
    pub(crate) stragglers: Stragglers,
    /// Number of starts while another run of the same task was at work.
    pub(super) copy_start_count: u32,
    /// What happens when a worker restarts under its ID.
    pub(super) restarts: Restarts,
    pub(super) stop_listing: StopListing,
    pub(super) stop_times: StopTimes,
    crashes: Crashes,
    planned_restarts: PlannedRestarts,
    /// When the quotas were last changed; 0 if they never were.
    quotas_changed_us: u64,
    /// Run times of tasks that differ from `run_duration_us`.
    pub(crate) task_run_us: HashMap<TaskRef, u64>,
    /// The latest admission report that the leader has stored.
    pub(crate) admission: Option<AdmissionReport>,
    pub(crate) admission_stored_us: u64,
    /// The advice service, if the queue requires its tickets.
    pub(super) advice: Option<AdviceService>,
    /// Tail latencies that workers report, if any.
    pub(super) latencies: Option<Latencies>,
}

impl Sim {
    /// Creates workers and starts a leader.
    pub(super) fn new(seed: u64, worker_count: usize, faults: Faults) -> Sim {
        Sim::with_settings(seed, worker_count, faults, settings())
    }

    pub(super) fn with_settings(seed: u64, worker_count: usize, faults: Faults, settings: SchedSettings) -> Sim {
        let entries = (0..worker_count).map(|number| worker_entry(number, START_UNIX_MS)).collect();
        Sim::with_entries(seed, entries, faults, settings)
    }

    /// Creates a simulation with these workers.
    pub(crate) fn with_entries(seed: u64, entries: Vec<WorkerEntry>, faults: Faults, settings: SchedSettings) -> Sim {
        let now_us = 1_000_000;
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut workers = BTreeMap::new();
        for entry in &entries {
            workers.insert(entry.id.clone(), sim_worker(now_us, entry.clone(), rng.random_range(0.98..1.0)));
        }
        let mut sim = Sim {
            now_us,
            rng,
            faults,
            entries,
            registry: SimRegistry::new(workers.values().map(|worker: &SimWorker| worker.entry.clone())),
            workers,
            hosts: BTreeMap::new(),
            next_host_list_us: 0,
            catalog: catalog(),
            scheduler: Scheduler::new(now_us, settings.clone()),
            settings,
            leader: 1,
            token: 1,
            raised_fences: HashMap::new(),
            leader_down_until_us: None,
            leader_frozen_until_us: 0,
            store_down_until_us: 0,
            last_disturbance_us: 0,
            messages: Vec::new(),
            holds_in_flight: HashSet::new(),
            commit_in_flight: false,
            specs: BTreeMap::new(),
            cancelled: HashMap::new(),
            records: HashMap::new(),
            waves: Vec::new(),
            wave_records: BTreeMap::new(),
            ordered_hosts: Vec::new(),
            complete_waves: HashSet::new(),
            availability: HashMap::new(),
            disruption_count: 0,
            move_count: 0,
            done: HashSet::new(),
            completed_gangs: HashSet::new(),
            acknowledged_done: HashSet::new(),
            acknowledged_failures: HashMap::new(),
            failures: HashMap::new(),
            start_count: 0,
            violations: Vec::new(),
            run_duration_us: 500 * US_PER_MS,
            run_time_spread: 0.0,
            stragglers: Stragglers::default(),
            copy_start_count: 0,
            restarts: Restarts::default(),
            stop_listing: StopListing::default(),
            stop_times: StopTimes::default(),
            crashes: Crashes::default(),
            planned_restarts: PlannedRestarts::default(),
            quotas_changed_us: 0,
            task_run_us: HashMap::new(),
            admission: None,
            admission_stored_us: 0,
            advice: None,
            latencies: None,
        };
        sim.start_leader();
        sim
    }

    fn unix_ms(&self) -> u64 {
        START_UNIX_MS + self.now_us / US_PER_MS
    }

    /// Starts a leader that knows only what the store and the registry contain.
    fn start_leader(&mut self) {
        self.scheduler = Scheduler::new(self.now_us, self.settings.clone());
        self.raised_fences.clear();
        self.scheduler.configure(self.catalog.clone());
        self.scheduler.replace_registry(self.now_us, self.registry.read_all());
        for (id, spec) in &self.specs {
            let record = self.records.get(id).map(Vec::as_slice);
            let unix_ms = START_UNIX_MS + self.now_us / US_PER_MS;
            self.scheduler.restore(self.now_us, unix_ms, id.clone(), spec.clone(), record).expect("a valid record");
        }
        self.scheduler.classify_restored(self.now_us, START_UNIX_MS + self.now_us / US_PER_MS);
        for (number, hosts) in &self.wave_records {
            self.scheduler.restore_wave(*number, hosts.clone());
        }
        self.scheduler.restore_host_orders(Some(self.ordered_hosts.clone()));
        for wave in &self.waves {
            self.scheduler.add_wave(self.now_us, wave.clone());
        }
        for id in self.cancelled.keys() {
            self.scheduler.cancel(self.now_us, id);
        }
        self.next_host_list_us = self.now_us;
        self.holds_in_flight.clear();
        self.commit_in_flight = false;
    }

    /// Stores a caller's job and passes it to the leader.
    pub(crate) fn submit(&mut self, name: &str, mut spec: JobSpec) -> JobId {
        let id: JobId = name.into();
        let unix_ms = self.unix_ms();
        spec.accepted_unix_ms = unix_ms;
        self.specs.insert(id.clone(), spec.clone());
        self.scheduler.submit(self.now_us, unix_ms, id.clone(), spec);
        id
    }

    /// Stores a caller's request to cancel a job and passes it to the leader.
    pub(super) fn cancel(&mut self, id: &JobId) {
        self.cancelled.insert(id.clone(), self.now_us);
        self.scheduler.cancel(self.now_us, id);
    }

    /// Makes the leader's process stand still for `for_ms`.
    pub(super) fn freeze_leader(&mut self, for_ms: u64) {
        self.leader_frozen_until_us = self.now_us + for_ms * US_PER_MS;
        self.last_disturbance_us = self.last_disturbance_us.max(self.leader_frozen_until_us);
    }

    fn is_leader_frozen(&self) -> bool {
        self.now_us < self.leader_frozen_until_us
    }

    fn is_leader_up(&self) -> bool {
        self.leader_down_until_us.is_none() && !self.is_leader_frozen()
    }

    fn is_store_down(&self) -> bool {
        self.now_us < self.store_down_until_us
    }

    /// Runs the simulation for `for_ms` of virtual time.
    pub(crate) fn run_for(&mut self, for_ms: u64) {
        let end_us = self.now_us + for_ms * US_PER_MS;
        while self.now_us < end_us {
            self.now_us += TICK_US;
            self.inject_faults();
            self.return_entries();
            self.expire_partitioned_entries();
            self.return_hosts();
            self.deliver();
            self.run_workers();
            self.advance_crashes();
            self.advance_planned_restarts();
            self.update_availability();
            self.check_harm();
            self.run_leader();
            self.check_usage();
        }
    }

    /// Runs without new faults until every job is in a final phase, for at most `for_ms`.
    pub(super) fn run_until_jobs_final(&mut self, for_ms: u64) {
        self.end_faults();
        let end_us = self.now_us + for_ms * US_PER_MS;
        while self.now_us < end_us && !self.are_jobs_final() {
            self.run_for(100);
        }
    }

    pub(super) fn end_faults(&mut self) {
        self.faults = Faults::default();
    }

    fn are_jobs_final(&self) -> bool {
        let is_final = |id: &JobId| self.scheduler.jobs.get(id).is_some_and(|job| job.phase.is_final());
        self.leader_down_until_us.is_none() && self.specs.keys().all(is_final)
    }

    fn send(&mut self, after_us: u64, message: Message) {
        self.messages.push((self.now_us + after_us, message));
    }

    fn deliver(&mut self) {
        let is_frozen = self.is_leader_frozen();
        let is_due =
            |(at_us, message): &(u64, Message)| *at_us <= self.now_us && !(is_frozen && message.is_for_leader());
        let (due, later) = std::mem::take(&mut self.messages).into_iter().partition(is_due);
        self.messages = later;
        let mut due: Vec<(u64, Message)> = due;
        due.sort_by_key(|(at_us, _)| *at_us);
        for (_, message) in due {
            self.handle(message);
        }
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::QueuedStart { start, leader } => {
                if self.is_current_leader(leader) {
                    self.send_start(start);
                }
            }
            Message::Start { start, token, answered, delayed_for_incarnation } => {
                let incarnation = self.workers.get(&start.worker).map(|worker| worker.entry.started_unix_ms);
                let is_for_former = delayed_for_incarnation.is_some() && delayed_for_incarnation != incarnation;
                if is_for_former && !self.restarts.receives_delayed_calls {
                    return;
                }
                let outcome = self.handle_start(&start, token, delayed_for_incarnation.is_some());
                if answered {
                    self.send(DELAY_US, Message::StartAnswer { start, leader: self.leader, outcome });
                }
            }
            Message::Stop { worker, task, run, token, answered } => {
                let outcome = self.handle_stop(&worker, &task, run, token);
                if answered {
                    self.send(DELAY_US, Message::StopAnswer { worker, task, run, leader: self.leader, outcome });
                }
            }
            Message::Hold(request) => self.handle_hold(request),
            Message::HostOrder { order, leader, token } => self.handle_host_order(order, leader, token),
            Message::HostOrderAnswer { order, leader, outcome } => {
                if self.is_current_leader(leader) {
                    self.report_host_outcome(&order, outcome);
                }
            }
            Message::Commit { leader, token, batch, sent_us } => self.handle_commit(leader, token, batch, sent_us),
            Message::StartAnswer { start, leader, outcome } => {
                if self.is_current_leader(leader) {
                    self.scheduler.on_start_outcome(self.now_us, &start, &outcome);
                }
            }
            Message::StopAnswer { worker, task, run, leader, outcome } => {
                if self.is_current_leader(leader) {
                    if matches!(outcome, OrderOutcome::Accepted { .. }) {
                        self.stop_times.stop_acknowledged(self.now_us, &task);
                    }
                    self.scheduler.on_stop_outcome(self.now_us, &worker, &task, run, &outcome);
                }
            }
            Message::Pace { worker, task, run, percent, leader, token, is_lost } => {
                let outcome = match is_lost {
                    true => OrderOutcome::Unanswered,
                    false => self.handle_pace((&worker, &task, run), percent, token),
                };
                if self.is_current_leader(leader) {
                    self.scheduler.on_pace_outcome(&worker, &task, run, percent, &outcome);
                }
            }
            Message::HoldAnswer { worker, sent_us, leader, answer } => {
                if !self.is_current_leader(leader) {
                    return;
                }
                self.holds_in_flight.remove(&worker);
                match answer {
                    Some(answer) => self.scheduler.on_hold_answer(self.now_us, sent_us, &worker, &answer),
                    None => self.scheduler.on_hold_failure(self.now_us, &worker, &OrderOutcome::Unanswered),
                }
            }
            Message::AdviceAnswer { step: (job, occurrence, step), workers, leader, advice } => {
                if self.is_current_leader(leader) {
                    let step = (&job, occurrence, step);
                    self.scheduler.on_advice_answer(self.now_us, step, &workers, advice.as_ref());
                }
            }
            Message::CommitAnswer { leader, batch, sent_us, is_confirmed } => {
                if !self.is_current_leader(leader) {
                    return;
                }
                if is_confirmed {
                    self.commit_in_flight = false;
                    self.scheduler.batch_committed(self.now_us, sent_us, &batch);
                } else {
                    // The leader retries the batch until its commit is confirmed.
                    self.send(DELAY_US, Message::Commit { leader, token: self.token, batch, sent_us: self.now_us });
                }
            }
        }
    }

    fn is_current_leader(&self, leader: u32) -> bool {
        leader == self.leader && self.leader_down_until_us.is_none()
    }

    fn handle_commit(&mut self, leader: u32, token: u64, batch: Batch, sent_us: u64) {
        if token != self.token || leader != self.leader {
            return;
        }
        if self.is_store_down() {
            let answer = Message::CommitAnswer { leader, batch, sent_us, is_confirmed: false };
            self.send(STORE_RETRY_DELAY_US, answer);
            return;
        }
        for (id, record) in &batch.records {
            self.records.insert(id.clone(), record.clone());
        }
        for (number, hosts) in &batch.waves {
            self.wave_records.insert(*number, hosts.clone());
        }
        if batch.admission.is_some() {
            self.admission.clone_from(&batch.admission);
            self.admission_stored_us = self.now_us;
        }
        if let Some(hosts) = &batch.ordered_hosts {
            self.ordered_hosts = hosts.clone();
        }
        let is_confirmed = !self.chance(self.faults.commit_answer_loss_rate);
        let answer = Message::CommitAnswer { leader, batch, sent_us, is_confirmed };
        self.send((5 + self.faults.commit_delay_ms) * US_PER_MS, answer);
    }
}
