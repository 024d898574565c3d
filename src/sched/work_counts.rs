//! Counts of what the scheduler looks at, which tell what its decisions cost apart from the speed of the processor.

use std::cell::Cell;

/// A kind of work, each unit of which takes about the same time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Work {
    /// Placement rounds.
    Rounds,
    /// Waiting jobs put in order for a round.
    JobsRanked,
    /// Workers listed as candidates for a round.
    WorkersListed,
    /// Candidates compared for a task.
    WorkersCompared,
    /// Runs counted for the balances of pools.
    RunsCounted,
    /// Workers counted for the balances of pools.
    WorkersCounted,
    /// Hosts considered for a move.
    HostsConsidered,
    /// Runs checked for a copy.
    CopiesChecked,
    /// Answers to hold requests.
    HoldAnswers,
    /// Outcomes of orders to workers.
    OrderOutcomes,
    /// Records of jobs encoded for the store.
    RecordsEncoded,
}

impl Work {
    pub(crate) const COUNT: usize = 11;
    pub(crate) const ALL: [Work; Work::COUNT] = [
        Work::Rounds,
        Work::JobsRanked,
        Work::WorkersListed,
        Work::WorkersCompared,
        Work::RunsCounted,
        Work::WorkersCounted,
        Work::HostsConsidered,
        Work::CopiesChecked,
        Work::HoldAnswers,
        Work::OrderOutcomes,
        Work::RecordsEncoded,
    ];

    /// Label value in metrics, and key in log lines.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Work::Rounds => "rounds",
            Work::JobsRanked => "jobs_ranked",
            Work::WorkersListed => "workers_listed",
            Work::WorkersCompared => "workers_compared",
            Work::RunsCounted => "runs_counted",
            Work::WorkersCounted => "workers_counted",
            Work::HostsConsidered => "hosts_considered",
            Work::CopiesChecked => "copies_checked",
            Work::HoldAnswers => "hold_answers",
            Work::OrderOutcomes => "order_outcomes",
            Work::RecordsEncoded => "records_encoded",
        }
    }
}

/// Units of each kind of work, in the order of [`Work::ALL`].
#[derive(Debug, Default, Clone)]
pub(crate) struct WorkCounts {
    counts: [Cell<u64>; Work::COUNT],
}

impl WorkCounts {
    /// Counts units of work. Takes a shared reference, since most of the work is in reading.
    pub(super) fn add(&self, work: Work, units: usize) {
        let count = &self.counts[work as usize];
        count.set(count.get() + units as u64);
    }

    pub(crate) fn of(&self, work: Work) -> u64 {
        self.counts[work as usize].get()
    }

    /// What has been counted since an earlier state of the counts.
    pub(crate) fn since(&self, earlier: &WorkCounts) -> WorkCounts {
        let difference = |work: Work| Cell::new(self.of(work) - earlier.of(work));
        WorkCounts { counts: Work::ALL.map(difference) }
    }
}
