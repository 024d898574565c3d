//! Actor that owns the futures of one thread and polls those whose wakers fired.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context as TaskContext, Poll, Wake, Waker};
use std::thread::{self, ThreadId};

use stakker::CX;

use super::{LocalFuture, Spawned};

/// Tasks polled before the event loop looks for new events. Events for tasks of high priority would otherwise wait until
/// all other tasks that are ready have been polled.
const MAX_POLLS_PER_PASS: usize = 32;
/// Tasks polled one after the other because the one before woke them, before others get their turn.
const MAX_CHAINED_POLLS: usize = 16;

/// Which of the tasks that are ready are polled first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Priority {
    /// Before all tasks of normal priority.
    High,
    Normal,
}

/// Slots of the tasks that are ready.
#[derive(Default)]
struct ReadySlots {
    /// Woken by the task that is being polled. They go on with what it has begun, such as a request that it has handed to
    /// a connection, so that each step of a request does not wait for all other tasks.
    chained: VecDeque<usize>,
    is_polling: bool,
    high: VecDeque<usize>,
    normal: VecDeque<usize>,
}

/// Slots of the tasks to poll. Wakers on any thread can add to it.
pub(super) struct ReadyQueue {
    slots: Mutex<ReadySlots>,
    /// Thread of the event loop.
    owner: ThreadId,
    loop_waker: Arc<mio::Waker>,
}

impl ReadyQueue {
    pub(super) fn new(loop_waker: Arc<mio::Waker>) -> ReadyQueue {
        ReadyQueue { slots: Mutex::default(), owner: thread::current().id(), loop_waker }
    }

    pub(super) fn has_work(&self) -> bool {
        let slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        !slots.high.is_empty() || !slots.normal.is_empty()
    }

    /// Takes the next slot: one of high priority if there is any, otherwise the one that has waited the longest.
    fn next(&self) -> Option<usize> {
        let mut slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        slots.is_polling = true;
        slots.high.pop_front().or_else(|| slots.normal.pop_front())
    }

    /// Takes the next slot that was woken by the task polled last.
    fn next_chained(&self) -> Option<usize> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner).chained.pop_front()
    }

    /// Lets the slots that are left wait for their turn like all others.
    fn end_chain(&self) {
        let slots = &mut *self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        slots.normal.append(&mut slots.chained);
    }

    fn end_polling(&self) {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner).is_polling = false;
    }

    fn push(&self, slot: usize, priority: Priority) {
        let is_owner = thread::current().id() == self.owner;
        let mut slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        match priority {
            Priority::High => slots.high.push_back(slot),
            Priority::Normal if is_owner && slots.is_polling => slots.chained.push_back(slot),
            Priority::Normal => slots.normal.push_back(slot),
        }
        drop(slots);
        if !is_owner {
            // Fails only if the event loop and its futures have been dropped.
            let _ = self.loop_waker.wake();
        }
    }
}

struct TaskWaker {
    slot: usize,
    priority: Priority,
    /// Whether the slot is already in the ready queue.
    queued: AtomicBool,
    ready: Arc<ReadyQueue>,
}

impl Wake for TaskWaker {
    fn wake(self: Arc<Self>) {
        self.wake_by_ref();
    }

    fn wake_by_ref(self: &Arc<Self>) {
        if !self.queued.swap(true, Ordering::AcqRel) {
            self.ready.push(self.slot, self.priority);
        }
    }
}

/// A spawned future. Unrelated to the tasks of jobs.
struct Task {
    future: LocalFuture,
    task_waker: Arc<TaskWaker>,
    /// Made from `task_waker`.
    waker: Waker,
}

/// Slab of tasks, indexed by slot.
pub(super) struct Executor {
    tasks: Vec<Option<Task>>,
    free_slots: Vec<usize>,
    /// `None` in the executor that [`Executor::empty`] creates.
    ready: Option<Arc<ReadyQueue>>,
}

impl Executor {
    pub(super) fn init(_: CX![], ready: Arc<ReadyQueue>) -> Option<Executor> {
        Some(Executor { tasks: Vec::new(), free_slots: Vec::new(), ready: Some(ready) })
    }

    /// An executor without tasks, which replaces the real one while the event loop is dropped.
    pub(super) fn empty(_: CX![]) -> Option<Executor> {
        Some(Executor { tasks: Vec::new(), free_slots: Vec::new(), ready: None })
    }

    /// Polls the newly spawned futures, then up to [`MAX_POLLS_PER_PASS`] of the woken ones.
    pub(super) fn run_ready(&mut self, _: CX![], spawned: Vec<Spawned>) {
        let Some(ready) = self.ready.clone() else { return };
        for Spawned { future, priority } in spawned {
            let slot = self.insert(future, priority, &ready);
            self.poll(slot);
        }
        for _ in 0..MAX_POLLS_PER_PASS {
            let Some(slot) = ready.next() else { break };
            self.poll(slot);
            for _ in 0..MAX_CHAINED_POLLS {
                let Some(chained) = ready.next_chained() else { break };
                self.poll(chained);
            }
            ready.end_chain();
        }
        ready.end_polling();
    }

    fn insert(&mut self, future: LocalFuture, priority: Priority, ready: &Arc<ReadyQueue>) -> usize {
        let slot = self.free_slots.pop().unwrap_or_else(|| {
            self.tasks.push(None);
            self.tasks.len() - 1
        });
        let task_waker = Arc::new(TaskWaker { slot, priority, queued: AtomicBool::new(false), ready: ready.clone() });
        let waker = Waker::from(task_waker.clone());
        self.tasks[slot] = Some(Task { future, task_waker, waker });
        slot
    }

    /// Polls the task in a slot. A waker may outlive its task and thus wake the next task in the slot; a spurious poll
    /// is harmless.
    fn poll(&mut self, slot: usize) {
        let Some(Some(task)) = self.tasks.get_mut(slot) else { return };
        task.task_waker.queued.store(false, Ordering::Release);
        let mut cx = TaskContext::from_waker(&task.waker);
        if let Poll::Ready(()) = task.future.as_mut().poll(&mut cx) {
            self.tasks[slot] = None;
            self.free_slots.push(slot);
        }
    }
}
