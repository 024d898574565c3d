//! Workers among which a round of placing chooses, and how good each is for a work item.

use std::cmp::Reverse;
use std::sync::Arc;

use super::model::{Resources, Step};

/// A worker among which a round chooses.
#[derive(Debug, Clone)]
pub(super) struct Candidate {
    pub(super) id: Arc<str>,
    pub(super) room: Resources,
    /// Room once all work that ends by itself has ended.
    pub(super) room_beside_lasting: Resources,
    /// The kind comes first, the rack last.
    pub(super) labels: Vec<Arc<str>>,
    pub(super) lasting: u32,
    pub(super) serving: u32,
    pub(super) filling: u32,
    pub(super) failure_tenths: u32,
    pub(super) is_allowed: bool,
}

impl Candidate {
    /// Whether a work item may run there, room aside. `members` is how many others of its step do.
    pub(super) fn admits(&self, step: &Step, members: u32) -> bool {
        if !self.is_allowed || step.max_per_worker.is_some_and(|most| members >= most) {
            return false;
        }
        if step.required_label.as_ref().is_some_and(|label| !self.labels.contains(label)) {
            return false;
        }
        // Work that fills disturbs work that serves: they are kept apart.
        let is_disturbed = (step.best_effort && self.serving > 0) || (step.target_ms.is_some() && self.filling > 0);
        !is_disturbed
    }

    /// Takes the room of one work item.
    pub(super) fn take(&mut self, step: &Step) {
        self.room = self.room.minus(&step.reserved());
        if step.long_running {
            self.room_beside_lasting = self.room_beside_lasting.minus(&step.reserved());
        }
        self.lasting += u32::from(step.long_running);
        self.serving += u32::from(step.target_ms.is_some());
        self.filling += u32::from(step.best_effort);
    }
}

/// One round of placing in one pool.
#[derive(Debug)]
pub(super) struct Round {
    /// Work items that may still be placed.
    pub(super) left: usize,
    /// Needs for which no worker had room.
    pub(super) too_large: Vec<Resources>,
    /// Jobs in a row for which there was no room.
    pub(super) without_room: u32,
}

impl Round {
    /// Whether some worker may have room for these needs.
    pub(super) fn may_fit(&self, needs: &Resources) -> bool {
        !self.too_large.iter().any(|failed| failed.fits_in(needs))
    }

    /// Counts a work item that was placed.
    pub(super) fn note_placed(&mut self) {
        self.left -= 1;
        self.without_room = 0;
    }

    /// Notes that no worker has room for these needs.
    pub(super) fn note_too_large(&mut self, needs: Resources) {
        self.too_large.retain(|known| !needs.fits_in(known));
        self.too_large.push(needs);
    }
}

/// Smaller is better.
#[derive(Debug, PartialEq, PartialOrd)]
pub(super) struct Score {
    /// It failed there before.
    is_avoided: bool,
    is_far_from_data: bool,
    /// Members of the same step there; a loss of one worker should not take many.
    members: u32,
    /// Work that lasts keeps a host from being moved: it gathers where there is some already.
    lasting: Reverse<u32>,
    failure_tenths: u32,
    /// Room left afterwards: full workers leave others free to be moved away.
    room_left_milli: u64,
}

pub(super) fn score(worker: &Candidate, step: &Step, is_avoided: bool, members: u32) -> Score {
    Score {
        is_avoided,
        is_far_from_data: step.data_rack.as_ref().is_some_and(|rack| worker.labels.last() != Some(rack)),
        members: if step.long_running { members } else { 0 },
        lasting: Reverse(if step.long_running { worker.lasting.min(1) } else { 0 }),
        failure_tenths: worker.failure_tenths,
        room_left_milli: worker.room.cpu_milli.saturating_sub(step.reserved().cpu_milli),
    }
}

/// Racks to which a gang may be confined, `None` for no confinement, best first.
pub(super) fn racks(step: &Step, workers: &[Candidate]) -> Vec<Option<Arc<str>>> {
    let mut racks: Vec<Option<Arc<str>>> = Vec::new();
    if step.same_rack {
        let mut known: Vec<Arc<str>> = workers.iter().filter_map(|worker| worker.labels.last().cloned()).collect();
        known.sort();
        known.dedup();
        racks.extend(known.into_iter().map(Some));
    }
    racks.push(None);
    racks
}
