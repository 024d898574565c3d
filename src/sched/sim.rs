//! Workers, a store and a leader in virtual time, with faults, and checks of what must always hold.

mod fixtures;
mod worker;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::action::{Action, Batch, HoldPlan, StartRun};
use super::model::{HoldAnswer, JobId, JobSpec, OrderOutcome, TaskRef};
use super::scheduler::Scheduler;
use crate::clock::US_PER_MS;

pub(super) use fixtures::{catalog, settings, spec, step, worker_entry};
use worker::{sim_worker, SimWorker};

/// Time of one step of the simulation.
const STEP_US: u64 = 5 * US_PER_MS;
/// One way to a worker or the store.
const WAY_US: u64 = 2 * US_PER_MS;
const ORDER_TIMEOUT_US: u64 = 800 * US_PER_MS;
/// Unix time at the start of the simulation, in milliseconds.
const START_UNIX_MS: u64 = 1_700_000_000_000;
pub(super) const MAX_ATTEMPTS: u32 = 3;

/// How often things go wrong.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Faults {
    /// Share of orders whose answer is lost after they took effect.
    pub(super) answer_lost: f64,
    /// Share of orders that get no answer and take effect seconds later.
    pub(super) applied_late: f64,
    /// Share of orders that never arrive.
    pub(super) order_lost: f64,
    /// Share of runs that fail.
    pub(super) run_fails: f64,
    /// Crashes of workers a second, each back as a new life after a while.
    pub(super) crashes_per_s: f64,
    /// Cuts of workers a second, in which work goes on.
    pub(super) cuts_per_s: f64,
    /// Ends of the leader a second; the next one starts from the store.
    pub(super) takeovers_per_s: f64,
    /// Share of the store's answers that are lost after the effect.
    pub(super) commit_lost: f64,
    /// How much later than usual the store takes a transaction and answers.
    pub(super) commit_late_ms: u64,
}

/// A rule that was broken.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Broken(pub(super) String);

#[derive(Debug, Clone)]
enum Message {
    /// `late_in` is the life that holds the order up; such an order ends with it.
    Start {
        start: StartRun,
        token: u64,
        answered: bool,
        late_in: Option<u64>,
    },
    StartAnswer {
        start: StartRun,
        leader: u32,
        end: OrderOutcome,
    },
    Stop {
        worker: Arc<str>,
        task: TaskRef,
        run: u32,
        token: u64,
        answered: bool,
    },
    StopAnswer {
        worker: Arc<str>,
        task: TaskRef,
        run: u32,
        leader: u32,
        end: OrderOutcome,
    },
    Hold {
        worker: Arc<str>,
        lease_end_ms: Option<u64>,
        acknowledged: u64,
        until_us: u64,
        asked_us: u64,
        token: u64,
    },
    HoldAnswer {
        worker: Arc<str>,
        asked_us: u64,
        leader: u32,
        answer: Option<HoldAnswer>,
    },
    Commit {
        leader: u32,
        token: u64,
        batch: Batch,
        sent_us: u64,
    },
    CommitAnswer {
        leader: u32,
        batch: Batch,
        sent_us: u64,
        is_written: bool,
    },
}

/// See the module.
pub(super) struct Sim {
    pub(super) now_us: u64,
    rng: SmallRng,
    faults: Faults,
    workers: BTreeMap<Arc<str>, SimWorker>,
    pub(super) scheduler: Scheduler,
    leader: u32,
    token: u64,
    leader_down_until_us: Option<u64>,
    messages: Vec<(u64, Message)>,
    holding: HashSet<Arc<str>>,
    commit_under_way: bool,
    pub(super) specs: BTreeMap<JobId, JobSpec>,
    cancelled: HashMap<JobId, u64>,
    records: HashMap<JobId, Vec<u8>>,
    /// Work items with a run that ended well.
    done: HashSet<TaskRef>,
    /// Work items whose good end was taken note of.
    noted_done: HashSet<TaskRef>,
    noted_failures: HashMap<TaskRef, u32>,
    /// Runs of each work item that failed.
    failures: HashMap<TaskRef, u32>,
    pub(super) starts: u32,
    pub(super) broken: Vec<Broken>,
    duration_us: u64,
    reborn: u32,
}

impl Sim {
    /// Starts workers and a leader.
    pub(super) fn new(seed: u64, worker_count: usize, faults: Faults) -> Sim {
        let now_us = 1_000_000;
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut workers = BTreeMap::new();
        for number in 0..worker_count {
            let entry = worker_entry(number, START_UNIX_MS);
            workers.insert(entry.id.clone(), sim_worker(now_us, entry, rng.random_range(0.98..1.0)));
        }
        let mut sim = Sim {
            now_us,
            rng,
            faults,
            workers,
            scheduler: Scheduler::new(now_us, settings()),
            leader: 1,
            token: 1,
            leader_down_until_us: None,
            messages: Vec::new(),
            holding: HashSet::new(),
            commit_under_way: false,
            specs: BTreeMap::new(),
            cancelled: HashMap::new(),
            records: HashMap::new(),
            done: HashSet::new(),
            noted_done: HashSet::new(),
            noted_failures: HashMap::new(),
            failures: HashMap::new(),
            starts: 0,
            broken: Vec::new(),
            duration_us: 500 * US_PER_MS,
            reborn: 0,
        };
        sim.lead();
        sim
    }

    fn unix_ms(&self) -> u64 {
        START_UNIX_MS + self.now_us / US_PER_MS
    }

    /// A leader begins with nothing but what the store holds.
    fn lead(&mut self) {
        self.scheduler = Scheduler::new(self.now_us, settings());
        self.scheduler.configure(catalog());
        let entries = self.workers.values().filter(|worker| worker.is_up).map(|worker| worker.entry.clone());
        self.scheduler.replace_registry(self.now_us, entries.collect());
        for (id, spec) in &self.specs {
            let record = self.records.get(id).map(Vec::as_slice);
            let unix_ms = START_UNIX_MS + self.now_us / US_PER_MS;
            self.scheduler.restore(self.now_us, unix_ms, id.clone(), spec.clone(), record).expect("our own record");
        }
        for id in self.cancelled.keys() {
            self.scheduler.cancel(self.now_us, id);
        }
        self.holding.clear();
        self.commit_under_way = false;
    }

    /// A caller's job is stored and the leader hears of it.
    pub(super) fn submit(&mut self, name: &str, spec: JobSpec) -> JobId {
        let id: JobId = name.into();
        self.specs.insert(id.clone(), spec.clone());
        let unix_ms = self.unix_ms();
        self.scheduler.submit(self.now_us, unix_ms, id.clone(), spec);
        id
    }

    /// A caller's wish to cancel is stored and the leader hears of it.
    pub(super) fn cancel(&mut self, id: &JobId) {
        self.cancelled.insert(id.clone(), self.now_us);
        self.scheduler.cancel(self.now_us, id);
    }

    /// Ends the leader; the next one starts after `pause_ms`.
    pub(super) fn end_leader(&mut self, pause_ms: u64) {
        self.leader_down_until_us = Some(self.now_us + pause_ms * US_PER_MS);
        self.leader += 1;
    }

    /// Crashes a worker; a new life of it comes back at once.
    pub(super) fn crash(&mut self, number: usize) {
        let id = worker_entry(number, 0).id;
        self.reborn += 1;
        let mut entry = worker_entry(number, START_UNIX_MS + u64::from(self.reborn));
        entry.id = id.clone();
        let rate = self.rng.random_range(0.98..1.0);
        self.workers.insert(id, sim_worker(self.now_us, entry.clone(), rate));
        if self.leader_down_until_us.is_none() {
            self.scheduler.worker_listed(self.now_us, entry);
        }
    }

    /// Cuts a worker off; it runs on.
    pub(super) fn cut(&mut self, number: usize, for_ms: u64) {
        let id = worker_entry(number, 0).id;
        let until_us = self.now_us + for_ms * US_PER_MS;
        if let Some(worker) = self.workers.get_mut(&id) {
            worker.cut_until_us = until_us;
        }
    }

    /// Plays `for_ms` milliseconds.
    pub(super) fn play(&mut self, for_ms: u64) {
        let end_us = self.now_us + for_ms * US_PER_MS;
        while self.now_us < end_us {
            self.now_us += STEP_US;
            self.strike();
            self.deliver();
            self.run_workers();
            self.run_leader();
        }
    }

    /// Plays on without new faults, until every job is over or `for_ms` milliseconds have passed.
    pub(super) fn settle(&mut self, for_ms: u64) {
        self.faults = Faults::default();
        let end_us = self.now_us + for_ms * US_PER_MS;
        while self.now_us < end_us && !self.is_settled() {
            self.play(100);
        }
    }

    /// Whether a work item of the job failed as often as allowed.
    pub(super) fn has_cause_to_fail(&self, id: &JobId) -> bool {
        self.failures.iter().any(|(task, count)| task.job == *id && *count >= MAX_ATTEMPTS)
    }

    fn is_settled(&self) -> bool {
        let is_over = |id: &JobId| self.scheduler.jobs.get(id).is_some_and(|job| job.phase.is_final());
        self.leader_down_until_us.is_none() && self.specs.keys().all(is_over)
    }

    fn chance(&mut self, share: f64) -> bool {
        share > 0.0 && self.rng.random_bool(share.min(1.0))
    }

    fn strike(&mut self) {
        let step_s = STEP_US as f64 / 1e6;
        let count = self.workers.len();
        if self.chance(self.faults.crashes_per_s * step_s) {
            let number = self.rng.random_range(0..count);
            self.crash(number);
        }
        if self.chance(self.faults.cuts_per_s * step_s) {
            let number = self.rng.random_range(0..count);
            let for_ms = self.rng.random_range(500..9_000);
            self.cut(number, for_ms);
        }
        if self.leader_down_until_us.is_none() && self.chance(self.faults.takeovers_per_s * step_s) {
            let pause_ms = self.rng.random_range(50..6_000);
            self.end_leader(pause_ms);
        }
        if self.leader_down_until_us.is_some_and(|until_us| self.now_us >= until_us) {
            self.leader_down_until_us = None;
            self.token += 1;
            self.lead();
        }
    }

    fn send(&mut self, after_us: u64, message: Message) {
        self.messages.push((self.now_us + after_us, message));
    }

    fn deliver(&mut self) {
        let (due, later) = std::mem::take(&mut self.messages).into_iter().partition(|(at_us, _)| *at_us <= self.now_us);
        self.messages = later;
        let mut due: Vec<(u64, Message)> = due;
        due.sort_by_key(|(at_us, _)| *at_us);
        for (_, message) in due {
            self.take(message);
        }
    }

    fn take(&mut self, message: Message) {
        match message {
            Message::Start { start, token, answered, late_in } => {
                let life = self.workers.get(&start.worker).map(|worker| worker.entry.started_unix_ms);
                if late_in.is_some() && late_in != life {
                    return;
                }
                let end = self.start_arrives(&start, token, late_in.is_some());
                if answered {
                    self.send(WAY_US, Message::StartAnswer { start, leader: self.leader, end });
                }
            }
            Message::Stop { worker, task, run, token, answered } => {
                let end = self.stop_arrives(&worker, &task, run, token);
                if answered {
                    self.send(WAY_US, Message::StopAnswer { worker, task, run, leader: self.leader, end });
                }
            }
            Message::Hold { worker, lease_end_ms, acknowledged, until_us, asked_us, token } => {
                self.hold_arrives(worker, lease_end_ms, acknowledged, until_us, asked_us, token);
            }
            Message::Commit { leader, token, batch, sent_us } => self.commit_arrives(leader, token, batch, sent_us),
            Message::StartAnswer { start, leader, end } => {
                if self.leads(leader) {
                    self.scheduler.start_ended(self.now_us, &start, &end);
                }
            }
            Message::StopAnswer { worker, task, run, leader, end } => {
                if self.leads(leader) {
                    self.scheduler.stop_ended(self.now_us, &worker, &task, run, &end);
                }
            }
            Message::HoldAnswer { worker, asked_us, leader, answer } => {
                if !self.leads(leader) {
                    return;
                }
                self.holding.remove(&worker);
                match answer {
                    Some(answer) => self.scheduler.worker_answered(self.now_us, asked_us, &worker, &answer),
                    None => self.scheduler.worker_silent(self.now_us, &worker, &OrderOutcome::Unanswered),
                }
            }
            Message::CommitAnswer { leader, batch, sent_us, is_written } => {
                if !self.leads(leader) {
                    return;
                }
                if is_written {
                    self.commit_under_way = false;
                    self.scheduler.batch_written(self.now_us, sent_us, &batch);
                } else {
                    // The leader repeats the batch until it is told that it stands.
                    self.send(WAY_US, Message::Commit { leader, token: self.token, batch, sent_us: self.now_us });
                }
            }
        }
    }

    fn leads(&self, leader: u32) -> bool {
        leader == self.leader && self.leader_down_until_us.is_none()
    }

    fn commit_arrives(&mut self, leader: u32, token: u64, batch: Batch, sent_us: u64) {
        if token != self.token || leader != self.leader {
            return;
        }
        for (id, record) in &batch.records {
            self.records.insert(id.clone(), record.clone());
        }
        let is_written = !self.chance(self.faults.commit_lost);
        let answer = Message::CommitAnswer { leader, batch, sent_us, is_written };
        self.send((5 + self.faults.commit_late_ms) * US_PER_MS, answer);
    }

    fn run_leader(&mut self) {
        if self.leader_down_until_us.is_some() {
            return;
        }
        let unix_ms = self.unix_ms();
        self.scheduler.tick(self.now_us, unix_ms);
        for action in self.scheduler.take_actions() {
            self.perform(action);
        }
        let idle: Vec<Arc<str>> = self.workers.keys().filter(|id| !self.holding.contains(*id)).cloned().collect();
        for id in idle {
            let plan = self.scheduler.plan_hold(self.now_us, &id);
            let HoldPlan::Send { lease_end_ms, acknowledged, wait_ms, .. } = plan else { continue };
            self.holding.insert(id.clone());
            let until_us = self.now_us + wait_ms * US_PER_MS;
            let (asked_us, token) = (self.now_us, self.token);
            self.send(WAY_US, Message::Hold { worker: id, lease_end_ms, acknowledged, until_us, asked_us, token });
        }
        self.scheduler.acknowledge_without_writing();
        if !self.commit_under_way {
            // An empty batch renews leadership.
            self.commit_under_way = true;
            let batch = self.scheduler.take_batch(self.now_us);
            let commit = Message::Commit { leader: self.leader, token: self.token, batch, sent_us: self.now_us };
            self.send(WAY_US + self.faults.commit_late_ms * US_PER_MS, commit);
        }
    }

    fn perform(&mut self, action: Action) {
        let (token, leader) = (self.token, self.leader);
        let fate = self.rng.random::<f64>();
        let late = self.faults.applied_late;
        let lost = late + self.faults.order_lost;
        let silent = lost + self.faults.answer_lost;
        let after_us = if fate < late { self.rng.random_range(2_000_000..12_000_000) } else { WAY_US };
        let (arrives, answered) = (fate < late || fate >= lost, fate >= silent);
        match action {
            Action::Start(start) => {
                if arrives {
                    let life = self.workers.get(&start.worker).map(|worker| worker.entry.started_unix_ms);
                    let late_in = if fate < late { life } else { None };
                    self.send(after_us, Message::Start { start: start.clone(), token, answered, late_in });
                }
                if !answered {
                    let answer = Message::StartAnswer { start, leader, end: OrderOutcome::Unanswered };
                    self.send(ORDER_TIMEOUT_US, answer);
                }
            }
            Action::Stop { worker, task, run } => {
                if arrives {
                    let stop = Message::Stop { worker: worker.clone(), task: task.clone(), run, token, answered };
                    self.send(after_us, stop);
                }
                if !answered {
                    let answer = Message::StopAnswer { worker, task, run, leader, end: OrderOutcome::Unanswered };
                    self.send(ORDER_TIMEOUT_US, answer);
                }
            }
            _ => {}
        }
    }
}
