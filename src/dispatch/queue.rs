//! Bounded queue that serves its callers in turn, so that one caller's burst does not delay the others.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use super::Request;

/// Requests waiting for an endpoint, grouped by caller.
#[derive(Debug, Default)]
pub(super) struct FairQueue {
    by_caller: HashMap<Arc<str>, VecDeque<Request>>,
    /// Callers with waiting requests, next one first.
    turns: VecDeque<Arc<str>>,
    count: usize,
    bytes: usize,
}

impl FairQueue {
    pub(super) fn len(&self) -> usize {
        self.count
    }

    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Requests that leave the queue before one that `caller` adds now.
    pub(super) fn ahead_of(&self, caller: &str) -> usize {
        let own = self.by_caller.get(caller).map_or(0, VecDeque::len);
        let mut ahead = own;
        for (other, waiting) in &self.by_caller {
            if &**other != caller {
                ahead += waiting.len().min(own + 1);
            }
        }
        ahead
    }

    /// How long a request that `caller` adds now will wait, if its turns go on coming as they did for its next one.
    pub(super) fn expected_wait_us(&self, caller: &str, now_us: u64) -> u64 {
        let Some(waiting) = self.by_caller.get(caller) else { return 0 };
        let Some(next) = waiting.front() else { return 0 };
        let waited_us = now_us.saturating_sub(next.queued_us);
        waited_us.saturating_mul(waiting.len() as u64) / next.queued_behind.max(1) as u64
    }

    /// Adds a request behind its caller's others.
    pub(super) fn push(&mut self, mut request: Request) {
        request.queued_behind = self.by_caller.get(&request.arrival.caller).map_or(0, VecDeque::len);
        self.add(request, VecDeque::push_back);
    }

    /// Adds a request that has waited its turn before.
    pub(super) fn push_first(&mut self, request: Request) {
        let caller = request.arrival.caller.clone();
        self.add(request, VecDeque::push_front);
        self.turns.retain(|turn| *turn != caller);
        self.turns.push_front(caller);
    }

    fn add(&mut self, request: Request, place: impl FnOnce(&mut VecDeque<Request>, Request)) {
        self.count += 1;
        self.bytes += request.arrival.body_bytes;
        let caller = request.arrival.caller.clone();
        let waiting = self.by_caller.entry(caller.clone()).or_default();
        if waiting.is_empty() {
            self.turns.push_back(caller);
        }
        place(waiting, request);
    }

    /// Removes the next request of the next caller.
    pub(super) fn pop(&mut self) -> Option<Request> {
        let caller = self.turns.pop_front()?;
        let waiting = self.by_caller.get_mut(&caller)?;
        let request = waiting.pop_front()?;
        if waiting.is_empty() {
            self.by_caller.remove(&caller);
        } else {
            self.turns.push_back(caller);
        }
        self.forget(&request);
        Some(request)
    }

    /// Removes the newest request of the caller with the most, if that is more than `caller` would then have.
    pub(super) fn displace_for(&mut self, caller: &str) -> Option<Request> {
        let own = self.by_caller.get(caller).map_or(0, VecDeque::len);
        // The name breaks ties, so that the choice does not depend on the map's order.
        let longest = self.by_caller.iter().max_by_key(|(name, waiting)| (waiting.len(), (*name).clone()));
        let (longest, waiting) = longest?;
        if waiting.len() <= own + 1 {
            return None;
        }
        let longest = longest.clone();
        let request = self.by_caller.get_mut(&longest)?.pop_back()?;
        self.forget(&request);
        Some(request)
    }

    /// Removes the requests for which `keep` is false.
    pub(super) fn remove_unless(&mut self, keep: impl Fn(&Request) -> bool) -> Vec<Request> {
        let mut removed = Vec::new();
        for waiting in self.by_caller.values_mut() {
            let mut index = 0;
            while let Some(request) = waiting.get(index) {
                if keep(request) {
                    index += 1;
                    continue;
                }
                removed.extend(waiting.remove(index));
            }
        }
        self.by_caller.retain(|_, waiting| !waiting.is_empty());
        self.turns.retain(|caller| self.by_caller.contains_key(caller));
        for request in &removed {
            self.count -= 1;
            self.bytes -= request.arrival.body_bytes;
        }
        removed.sort_by_key(|request| request.arrival.request);
        removed
    }

    fn forget(&mut self, request: &Request) {
        self.count -= 1;
        self.bytes -= request.arrival.body_bytes;
    }
}
