//! Queue that serves teams in turn, and the callers of each team in turn, so that one caller's burst does not delay
//! the others.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use super::{Arrival, Request};

/// Requests of one team, grouped by caller.
#[derive(Debug, Default)]
struct TeamQueue {
    by_caller: HashMap<Arc<str>, VecDeque<Request>>,
    /// Callers with waiting requests, next one first.
    turns: VecDeque<Arc<str>>,
    count: usize,
}

impl TeamQueue {
    /// Requests that leave the queue before one that `caller` adds now.
    fn ahead_of(&self, caller: &str) -> usize {
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
    fn expected_wait_us(&self, caller: &str, now_us: u64) -> u64 {
        let Some(waiting) = self.by_caller.get(caller) else { return 0 };
        let Some(next) = waiting.front() else { return 0 };
        let waited_us = now_us.saturating_sub(next.queued_us);
        waited_us.saturating_mul(waiting.len() as u64) / next.queued_behind.max(1) as u64
    }

    /// Adds a request behind its caller's others.
    fn push(&mut self, mut request: Request) {
        request.queued_behind = self.by_caller.get(&request.arrival.caller).map_or(0, VecDeque::len);
        self.add(request, VecDeque::push_back);
    }

    /// Adds a request that has waited its turn before.
    fn push_first(&mut self, request: Request) {
        let caller = request.arrival.caller.clone();
        self.add(request, VecDeque::push_front);
        self.turns.retain(|turn| *turn != caller);
        self.turns.push_front(caller);
    }

    fn add(&mut self, request: Request, place: impl FnOnce(&mut VecDeque<Request>, Request)) {
        self.count += 1;
        let caller = request.arrival.caller.clone();
        let waiting = self.by_caller.entry(caller.clone()).or_default();
        if waiting.is_empty() {
            self.turns.push_back(caller);
        }
        place(waiting, request);
    }

    /// Removes the next request of the next caller.
    fn pop(&mut self) -> Option<Request> {
        let caller = self.turns.pop_front()?;
        let waiting = self.by_caller.get_mut(&caller)?;
        let request = waiting.pop_front()?;
        if waiting.is_empty() {
            self.by_caller.remove(&caller);
        } else {
            self.turns.push_back(caller);
        }
        self.count -= 1;
        Some(request)
    }

    /// Caller with the most waiting requests, and their number.
    fn busiest(&self) -> Option<(Arc<str>, usize)> {
        // The name breaks ties, so that the choice does not depend on the map's order.
        let busiest = self.by_caller.iter().max_by_key(|(name, waiting)| (waiting.len(), (*name).clone()));
        busiest.map(|(name, waiting)| (name.clone(), waiting.len()))
    }

    fn waiting_of(&self, caller: &str) -> usize {
        self.by_caller.get(caller).map_or(0, VecDeque::len)
    }

    /// Removes the newest request of a caller.
    fn remove_newest(&mut self, caller: &Arc<str>) -> Option<Request> {
        let waiting = self.by_caller.get_mut(caller)?;
        let request = waiting.pop_back()?;
        if waiting.is_empty() {
            self.by_caller.remove(caller);
            self.turns.retain(|turn| turn != caller);
        }
        self.count -= 1;
        Some(request)
    }

    /// Removes the requests for which `keep` is false.
    fn remove_unless(&mut self, keep: &impl Fn(&Request) -> bool) -> Vec<Request> {
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
        self.count -= removed.len();
        removed
    }
}

/// Requests waiting for an endpoint, grouped by team.
#[derive(Debug, Default)]
pub(super) struct FairQueue {
    by_team: HashMap<Arc<str>, TeamQueue>,
    /// Teams with waiting requests, next one first.
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

    /// Requests that leave the queue before one that arrives now.
    pub(super) fn ahead_of(&self, arrival: &Arrival) -> usize {
        let own = self.by_team.get(&arrival.team).map_or(0, |team| team.ahead_of(&arrival.caller));
        let mut ahead = own;
        for (name, team) in &self.by_team {
            if *name != arrival.team {
                ahead += team.count.min(own + 1);
            }
        }
        ahead
    }

    /// How long a request that arrives now will wait, if its caller's turns go on coming as they did.
    pub(super) fn expected_wait_us(&self, arrival: &Arrival, now_us: u64) -> u64 {
        self.by_team.get(&arrival.team).map_or(0, |team| team.expected_wait_us(&arrival.caller, now_us))
    }

    /// Adds a request behind its caller's others.
    pub(super) fn push(&mut self, request: Request) {
        self.add(request, TeamQueue::push);
    }

    /// Adds a request that has waited its turn before.
    pub(super) fn push_first(&mut self, request: Request) {
        let team = request.arrival.team.clone();
        self.add(request, TeamQueue::push_first);
        self.turns.retain(|turn| *turn != team);
        self.turns.push_front(team);
    }

    fn add(&mut self, request: Request, place: impl FnOnce(&mut TeamQueue, Request)) {
        self.count += 1;
        self.bytes += request.arrival.body_bytes;
        let name = request.arrival.team.clone();
        let team = self.by_team.entry(name.clone()).or_default();
        if team.count == 0 {
            self.turns.push_back(name);
        }
        place(team, request);
    }

    /// Removes the next request of the next team.
    pub(super) fn pop(&mut self) -> Option<Request> {
        let name = self.turns.pop_front()?;
        let team = self.by_team.get_mut(&name)?;
        let request = team.pop()?;
        if team.count == 0 {
            self.by_team.remove(&name);
        } else {
            self.turns.push_back(name);
        }
        self.forget(&request);
        Some(request)
    }

    /// Removes the newest request of the busiest caller of the busiest team, unless `arrival` would then make its own
    /// caller or team the busiest.
    pub(super) fn displace_for(&mut self, arrival: &Arrival) -> Option<Request> {
        let own_count = self.by_team.get(&arrival.team).map_or(0, |team| team.count);
        // The name breaks ties, so that the choice does not depend on the map's order.
        let busiest = self.by_team.iter().max_by_key(|(name, team)| (team.count, (*name).clone()));
        let (busiest, busiest_count) = busiest.map(|(name, team)| (name.clone(), team.count))?;
        let other_team = busiest != arrival.team && busiest_count > own_count + 1;
        let name = if other_team { busiest } else { arrival.team.clone() };
        let team = self.by_team.get_mut(&name)?;
        let (caller, count) = team.busiest()?;
        if !other_team && count <= team.waiting_of(&arrival.caller) + 1 {
            return None;
        }
        let request = team.remove_newest(&caller)?;
        if team.count == 0 {
            self.by_team.remove(&name);
            self.turns.retain(|turn| *turn != name);
        }
        self.forget(&request);
        Some(request)
    }

    /// Removes the requests for which `keep` is false.
    pub(super) fn remove_unless(&mut self, keep: impl Fn(&Request) -> bool) -> Vec<Request> {
        let mut removed = Vec::new();
        for team in self.by_team.values_mut() {
            removed.extend(team.remove_unless(&keep));
        }
        self.by_team.retain(|_, team| team.count > 0);
        self.turns.retain(|team| self.by_team.contains_key(team));
        for request in &removed {
            self.forget(request);
        }
        removed.sort_by_key(|request| request.arrival.id);
        removed
    }

    fn forget(&mut self, request: &Request) {
        self.count -= 1;
        self.bytes -= request.arrival.body_bytes;
    }
}
