//! Fair queue: serves teams round-robin, and the callers of each team round-robin, so that one caller's burst does not
//! delay the others.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use super::{Arrival, Request};

/// Requests of one team, grouped by caller.
#[derive(Debug, Default)]
struct TeamQueue {
    by_caller: HashMap<Arc<str>, VecDeque<Request>>,
    /// Callers with queued requests, in the order in which they are served next.
    rotation: VecDeque<Arc<str>>,
    count: usize,
}

impl TeamQueue {
    /// Number of requests that would leave this queue before one that `caller` adds now.
    fn count_ahead_of(&self, caller: &str) -> usize {
        let own = self.by_caller.get(caller).map_or(0, VecDeque::len);
        let mut ahead = own;
        for (other, queued) in &self.by_caller {
            if &**other != caller {
                ahead += queued.len().min(own + 1);
            }
        }
        ahead
    }

    /// Estimated wait of a request that `caller` adds now, extrapolated from the first of the caller's queued requests:
    /// the time it has waited, divided by the number of the caller's requests that were ahead of it, times the number
    /// queued now.
    fn extrapolated_wait_us(&self, caller: &str, now_us: u64) -> u64 {
        let Some(queued) = self.by_caller.get(caller) else { return 0 };
        let Some(next) = queued.front() else { return 0 };
        let waited_us = now_us.saturating_sub(next.queued_at_us);
        waited_us.saturating_mul(queued.len() as u64) / next.ahead_when_queued.max(1) as u64
    }

    /// Adds a request at the end of its caller's queue.
    fn push(&mut self, mut request: Request) {
        request.ahead_when_queued = self.by_caller.get(&request.arrival.caller).map_or(0, VecDeque::len);
        self.add(request, VecDeque::push_back);
    }

    /// Puts a request that is to be retried first in its caller's queue, and the caller first in the rotation.
    fn push_front(&mut self, request: Request) {
        let caller = request.arrival.caller.clone();
        self.add(request, VecDeque::push_front);
        self.rotation.retain(|queued| *queued != caller);
        self.rotation.push_front(caller);
    }

    /// Adds a request to its caller's queue with `place`, which pushes it at either end.
    fn add(&mut self, request: Request, place: impl FnOnce(&mut VecDeque<Request>, Request)) {
        self.count += 1;
        let caller = request.arrival.caller.clone();
        let queued = self.by_caller.entry(caller.clone()).or_default();
        if queued.is_empty() {
            self.rotation.push_back(caller);
        }
        place(queued, request);
    }

    /// Removes the next request of the next caller.
    fn pop(&mut self) -> Option<Request> {
        let caller = self.rotation.pop_front()?;
        let queued = self.by_caller.get_mut(&caller)?;
        let request = queued.pop_front()?;
        if queued.is_empty() {
            self.by_caller.remove(&caller);
        } else {
            self.rotation.push_back(caller);
        }
        self.count -= 1;
        Some(request)
    }

    /// The caller with the most queued requests, and their number.
    fn busiest(&self) -> Option<(Arc<str>, usize)> {
        // The name breaks ties, so that the choice does not depend on the iteration order of the map.
        let busiest = self.by_caller.iter().max_by_key(|(name, queued)| (queued.len(), (*name).clone()));
        busiest.map(|(name, queued)| (name.clone(), queued.len()))
    }

    fn queued_by(&self, caller: &str) -> usize {
        self.by_caller.get(caller).map_or(0, VecDeque::len)
    }

    /// Removes the request that a caller added last.
    fn remove_newest_of(&mut self, caller: &Arc<str>) -> Option<Request> {
        let queued = self.by_caller.get_mut(caller)?;
        let request = queued.pop_back()?;
        if queued.is_empty() {
            self.by_caller.remove(caller);
            self.rotation.retain(|queued| queued != caller);
        }
        self.count -= 1;
        Some(request)
    }

    /// Removes and returns the requests for which `keep` is false.
    fn remove_unless(&mut self, keep: &impl Fn(&Request) -> bool) -> Vec<Request> {
        let mut removed = Vec::new();
        for queued in self.by_caller.values_mut() {
            let mut index = 0;
            while let Some(request) = queued.get(index) {
                if keep(request) {
                    index += 1;
                    continue;
                }
                removed.extend(queued.remove(index));
            }
        }
        self.by_caller.retain(|_, queued| !queued.is_empty());
        self.rotation.retain(|caller| self.by_caller.contains_key(caller));
        self.count -= removed.len();
        removed
    }
}

/// Requests of a pool that wait for an endpoint, grouped by team.
#[derive(Debug, Default)]
pub(super) struct FairQueue {
    by_team: HashMap<Arc<str>, TeamQueue>,
    /// Teams with queued requests, in the order in which they are served next.
    rotation: VecDeque<Arc<str>>,
    count: usize,
    /// Total size of the request bodies.
    bytes: usize,
}

impl FairQueue {
    pub(super) fn len(&self) -> usize {
        self.count
    }

    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Number of requests that would leave the queue before one that arrives now.
    pub(super) fn count_ahead_of(&self, arrival: &Arrival) -> usize {
        let own = self.by_team.get(&arrival.team).map_or(0, |team| team.count_ahead_of(&arrival.caller));
        let mut ahead = own;
        for (name, team) in &self.by_team {
            if *name != arrival.team {
                ahead += team.count.min(own + 1);
            }
        }
        ahead
    }

    /// Estimated wait of a request that arrives now, extrapolated from how fast its caller has been served. Zero if the
    /// caller has no queued requests.
    pub(super) fn extrapolated_wait_us(&self, arrival: &Arrival, now_us: u64) -> u64 {
        self.by_team.get(&arrival.team).map_or(0, |team| team.extrapolated_wait_us(&arrival.caller, now_us))
    }

    /// Adds a request at the end of its caller's queue.
    pub(super) fn push(&mut self, request: Request) {
        self.add(request, TeamQueue::push);
    }

    /// Puts a request that is to be retried at the head of the queue.
    pub(super) fn push_front(&mut self, request: Request) {
        let team = request.arrival.team.clone();
        self.add(request, TeamQueue::push_front);
        self.rotation.retain(|queued| *queued != team);
        self.rotation.push_front(team);
    }

    /// Adds a request to its team's queue with `place`, which pushes it at either end.
    fn add(&mut self, request: Request, place: impl FnOnce(&mut TeamQueue, Request)) {
        self.count += 1;
        self.bytes += request.arrival.body_bytes;
        let name = request.arrival.team.clone();
        let team = self.by_team.entry(name.clone()).or_default();
        if team.count == 0 {
            self.rotation.push_back(name);
        }
        place(team, request);
    }

    /// Removes the next request of the next team.
    pub(super) fn pop(&mut self) -> Option<Request> {
        let name = self.rotation.pop_front()?;
        let team = self.by_team.get_mut(&name)?;
        let request = team.pop()?;
        if team.count == 0 {
            self.by_team.remove(&name);
        } else {
            self.rotation.push_back(name);
        }
        self.subtract_from_totals(&request);
        Some(request)
    }

    /// Removes a request to make room for `arrival`: the newest one of the caller with the most queued requests, in the
    /// team with the most. If `arrival` would make its own team as busy as that one, takes the request from its own
    /// team; returns `None` if its caller would then have as many requests as the busiest caller of the team.
    pub(super) fn evict_for(&mut self, arrival: &Arrival) -> Option<Request> {
        let own_count = self.by_team.get(&arrival.team).map_or(0, |team| team.count);
        // The name breaks ties, so that the choice does not depend on the iteration order of the map.
        let busiest = self.by_team.iter().max_by_key(|(name, team)| (team.count, (*name).clone()));
        let (busiest, most_queued) = busiest.map(|(name, team)| (name.clone(), team.count))?;
        let from_other_team = busiest != arrival.team && most_queued > own_count + 1;
        let name = if from_other_team { busiest } else { arrival.team.clone() };
        let team = self.by_team.get_mut(&name)?;
        let (caller, count) = team.busiest()?;
        if !from_other_team && count <= team.queued_by(&arrival.caller) + 1 {
            return None;
        }
        let request = team.remove_newest_of(&caller)?;
        if team.count == 0 {
            self.by_team.remove(&name);
            self.rotation.retain(|queued| *queued != name);
        }
        self.subtract_from_totals(&request);
        Some(request)
    }

    /// Removes the requests for which `keep` is false, and returns them in the order of their ids.
    pub(super) fn remove_unless(&mut self, keep: impl Fn(&Request) -> bool) -> Vec<Request> {
        let mut removed = Vec::new();
        for team in self.by_team.values_mut() {
            removed.extend(team.remove_unless(&keep));
        }
        self.by_team.retain(|_, team| team.count > 0);
        self.rotation.retain(|team| self.by_team.contains_key(team));
        for request in &removed {
            self.subtract_from_totals(request);
        }
        removed.sort_by_key(|request| request.arrival.id);
        removed
    }

    fn subtract_from_totals(&mut self, request: &Request) {
        self.count -= 1;
        self.bytes -= request.arrival.body_bytes;
    }
}
