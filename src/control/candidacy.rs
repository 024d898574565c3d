//! Decides when a daemon claims leadership, from what it reads in the leader rows.

#[cfg(test)]
mod candidacy_tests;

use crate::clock::US_PER_MS;
use crate::row_store::{StoredRow, ABSENT_ROW_VERSION};

/// Time without a change of the sequence row after which another daemon takes over.
const TAKEOVER_AFTER_MS: u64 = 1_400;
/// Daemons with a lower CPU limit than this, in cores, count as small: they wait longer before they claim leadership,
/// so that a larger daemon leads if possible.
const SMALL_DAEMON_CPU_SHARE: f64 = 0.2;
const SMALL_DAEMON_DELAY_MS: u64 = 1_500;
/// Number of polls that must find the same version of the sequence row before a takeover.
const MIN_POLLS: u32 = 3;
/// Value of the sequence row after the leader has stepped down.
pub(super) const RELEASED: &[u8] = b"released";

/// What a daemon does after it has read the leader rows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Decision {
    Wait,
    /// Overwrite the owner row, on condition that it still has this version.
    Claim {
        owner_version: u64,
    },
    /// An earlier claim of this process is in force, and it has not led with it yet: the claim's answer was lost, or the
    /// daemon could not lead at the time.
    Lead {
        fencing_token: u64,
        sequence_version: u64,
    },
}

/// Name of the daemon whose claim is in force; `None` if there is none or it has been released.
pub(super) fn leader_name<'a>(owner: Option<&'a StoredRow>, sequence: Option<&StoredRow>) -> Option<&'a str> {
    if sequence.is_some_and(|row| row.value.as_deref() == Some(RELEASED)) {
        return None;
    }
    let claim = std::str::from_utf8(owner?.value.as_deref()?).ok()?;
    claim.rsplit_once(' ').map(|(name, _)| name)
}

/// How long the sequence row has been unchanged, as observed by polling.
#[derive(Debug, Default)]
struct LeaderObservation {
    sequence_version: u64,
    unchanged_since_us: u64,
    /// Number of polls that found this version; 0 restarts the observation.
    polls: u32,
}

/// A daemon's candidacy for leadership.
#[derive(Debug)]
pub(super) struct Candidacy {
    is_small: bool,
    /// The daemon's name and a space; every claim of a process with this name begins with it.
    claim_prefix: Vec<u8>,
    claim_value: Vec<u8>,
    /// Fencing token of the latest term that this process has begun. The term's writes may still take effect, so that
    /// the next term needs another token.
    begun_token: Option<u64>,
    observed: LeaderObservation,
}

impl Candidacy {
    /// `process_id` is a random number that distinguishes this process from earlier ones with the same name.
    pub(super) fn new(name: &str, cpu_share: f64, process_id: u64) -> Candidacy {
        Candidacy {
            is_small: cpu_share < SMALL_DAEMON_CPU_SHARE,
            claim_prefix: format!("{name} ").into_bytes(),
            claim_value: format!("{name} {process_id:016x}").into_bytes(),
            begun_token: None,
            observed: LeaderObservation::default(),
        }
    }

    /// Records that a term begins.
    pub(super) fn begin_term(&mut self, fencing_token: u64) {
        self.begun_token = Some(fencing_token);
    }

    /// Value of the owner row with which this process claims leadership.
    pub(super) fn claim_value(&self) -> &[u8] {
        &self.claim_value
    }

    /// Restarts the observation. A leader's inactivity counts only while this daemon can read the store.
    pub(super) fn forget_observation(&mut self) {
        self.observed = LeaderObservation::default();
    }

    /// Whether the latest polls found the sequence row unchanged.
    pub(super) fn suspects_leader(&self) -> bool {
        self.observed.polls > 1
    }

    /// Decides from the rows as just read. Before `no_claim_until_us`, the daemon makes no new claim.
    pub(super) fn decide(
        &mut self,
        now_us: u64,
        no_claim_until_us: u64,
        owner: Option<&StoredRow>,
        sequence: Option<&StoredRow>,
    ) -> Decision {
        let owner_version = owner.map_or(ABSENT_ROW_VERSION, |row| row.version);
        let sequence_version = sequence.map_or(ABSENT_ROW_VERSION, |row| row.version);
        let owner_value = owner.and_then(|row| row.value.as_deref()).unwrap_or_default();
        let is_released = sequence.is_some_and(|row| row.value.as_deref() == Some(RELEASED));
        let may_claim = now_us >= no_claim_until_us;
        let is_own_claim = owner_value == self.claim_value;
        if is_own_claim && self.begun_token != Some(owner_version) {
            return Decision::Lead { fencing_token: owner_version, sequence_version };
        }
        // After a step-down, leadership is left to the other daemons for the time of the pause.
        if !may_claim {
            return Decision::Wait;
        }
        if is_own_claim {
            return Decision::Claim { owner_version };
        }
        // An earlier process of this daemon has ended, so nobody needs to be waited for.
        let is_vacant = owner.is_none() || is_released || owner_value.starts_with(&self.claim_prefix);
        if (self.is_small || !is_vacant) && !self.has_waited(now_us, sequence_version, is_vacant) {
            return Decision::Wait;
        }
        Decision::Claim { owner_version }
    }

    /// Whether enough polls over a long enough time have found the sequence row unchanged.
    fn has_waited(&mut self, now_us: u64, sequence_version: u64, is_vacant: bool) -> bool {
        if sequence_version != self.observed.sequence_version || self.observed.polls == 0 {
            self.observed = LeaderObservation { sequence_version, unchanged_since_us: now_us, polls: 1 };
            return false;
        }
        self.observed.polls += 1;
        let delay_ms = if self.is_small { SMALL_DAEMON_DELAY_MS } else { 0 };
        let wait_ms = if is_vacant { delay_ms } else { TAKEOVER_AFTER_MS + delay_ms };
        self.observed.polls >= MIN_POLLS && now_us >= self.observed.unchanged_since_us + wait_ms * US_PER_MS
    }
}
