//! Actor that owns the futures of one thread and polls those whose wakers fired.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context as TaskContext, Poll, Wake, Waker};
use std::thread::{self, ThreadId};

use stakker::CX;

use super::LocalFuture;

/// Slots of the tasks to poll. Wakers on any thread can add to it.
pub(super) struct ReadyQueue {
    slots: Mutex<Vec<usize>>,
    /// Thread of the event loop.
    owner: ThreadId,
    loop_waker: Arc<mio::Waker>,
}

impl ReadyQueue {
    pub(super) fn new(loop_waker: Arc<mio::Waker>) -> ReadyQueue {
        ReadyQueue { slots: Mutex::default(), owner: thread::current().id(), loop_waker }
    }

    pub(super) fn has_work(&self) -> bool {
        !self.slots.lock().unwrap_or_else(PoisonError::into_inner).is_empty()
    }

    fn take(&self) -> Vec<usize> {
        std::mem::take(&mut *self.slots.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn push(&self, slot: usize) {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner).push(slot);
        if thread::current().id() != self.owner {
            // Fails only if the event loop and its futures have been dropped.
            let _ = self.loop_waker.wake();
        }
    }
}

struct TaskWaker {
    slot: usize,
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
            self.ready.push(self.slot);
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

    /// Polls the newly spawned futures, then the woken ones.
    pub(super) fn run_ready(&mut self, _: CX![], spawned: Vec<LocalFuture>) {
        let Some(ready) = self.ready.clone() else { return };
        for future in spawned {
            let slot = self.insert(future, &ready);
            self.poll(slot);
        }
        for slot in ready.take() {
            self.poll(slot);
        }
    }

    fn insert(&mut self, future: LocalFuture, ready: &Arc<ReadyQueue>) -> usize {
        let slot = self.free_slots.pop().unwrap_or_else(|| {
            self.tasks.push(None);
            self.tasks.len() - 1
        });
        let task_waker = Arc::new(TaskWaker { slot, queued: AtomicBool::new(false), ready: ready.clone() });
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
