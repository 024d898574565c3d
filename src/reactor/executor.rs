//! Actor that owns the futures of one thread and polls the ones whose wakers fired.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context as TaskContext, Poll, Wake, Waker};
use std::thread::{self, ThreadId};

use stakker::CX;

use super::LocalFuture;

/// Futures to poll, filled by wakers of any thread.
pub(super) struct ReadyQueue {
    tasks: Mutex<Vec<usize>>,
    owner: ThreadId,
    loop_waker: Arc<mio::Waker>,
}

impl ReadyQueue {
    pub(super) fn new(loop_waker: Arc<mio::Waker>) -> ReadyQueue {
        ReadyQueue { tasks: Mutex::default(), owner: thread::current().id(), loop_waker }
    }

    pub(super) fn has_work(&self) -> bool {
        !self.tasks.lock().unwrap_or_else(PoisonError::into_inner).is_empty()
    }

    fn take(&self) -> Vec<usize> {
        std::mem::take(&mut *self.tasks.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn push(&self, task: usize) {
        self.tasks.lock().unwrap_or_else(PoisonError::into_inner).push(task);
        if thread::current().id() != self.owner {
            // Fails only when the loop is gone, and its futures with it.
            let _ = self.loop_waker.wake();
        }
    }
}

struct TaskWaker {
    task: usize,
    queued: AtomicBool,
    ready: Arc<ReadyQueue>,
}

impl Wake for TaskWaker {
    fn wake(self: Arc<Self>) {
        self.wake_by_ref();
    }

    fn wake_by_ref(self: &Arc<Self>) {
        if !self.queued.swap(true, Ordering::AcqRel) {
            self.ready.push(self.task);
        }
    }
}

struct Task {
    future: LocalFuture,
    state: Arc<TaskWaker>,
    waker: Waker,
}

/// See the module.
pub(super) struct Executor {
    tasks: Vec<Option<Task>>,
    free: Vec<usize>,
    ready: Option<Arc<ReadyQueue>>,
}

impl Executor {
    pub(super) fn init(_: CX![], ready: Arc<ReadyQueue>) -> Option<Executor> {
        Some(Executor { tasks: Vec::new(), free: Vec::new(), ready: Some(ready) })
    }

    /// Stands in while the loop shuts down.
    pub(super) fn nothing(_: CX![]) -> Option<Executor> {
        Some(Executor { tasks: Vec::new(), free: Vec::new(), ready: None })
    }

    /// Polls new futures once, and then those that were woken.
    pub(super) fn run_ready(&mut self, _: CX![], spawned: Vec<LocalFuture>) {
        let Some(ready) = self.ready.clone() else { return };
        for future in spawned {
            let task = self.insert(future, &ready);
            self.poll(task);
        }
        for task in ready.take() {
            self.poll(task);
        }
    }

    fn insert(&mut self, future: LocalFuture, ready: &Arc<ReadyQueue>) -> usize {
        let task = self.free.pop().unwrap_or_else(|| {
            self.tasks.push(None);
            self.tasks.len() - 1
        });
        let state = Arc::new(TaskWaker { task, queued: AtomicBool::new(false), ready: ready.clone() });
        let waker = Waker::from(state.clone());
        self.tasks[task] = Some(Task { future, state, waker });
        task
    }

    /// A waker may outlive its future: polling the slot's next owner once too often does no harm.
    fn poll(&mut self, task: usize) {
        let Some(Some(entry)) = self.tasks.get_mut(task) else { return };
        entry.state.queued.store(false, Ordering::Release);
        let mut cx = TaskContext::from_waker(&entry.waker);
        if let Poll::Ready(()) = entry.future.as_mut().poll(&mut cx) {
            self.tasks[task] = None;
            self.free.push(task);
        }
    }
}
