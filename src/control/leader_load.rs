//! What the leader does in each second, by which a leader that has too little processor time can be told from one whose
//! workers or store are slow.

use metrics::Counter;
use rustix::time::{clock_gettime, ClockId};

use crate::clock::{US_PER_MS, US_PER_S};
use crate::sched::work_counts::{Work, WorkCounts};

const REPORT_INTERVAL_US: u64 = US_PER_S;

/// Collects the load of the leader and reports it once a second.
pub(super) struct LeaderLoad {
    counters: [Counter; Work::COUNT],
    reported_us: u64,
    reported_processor_us: u64,
    reported_counts: WorkCounts,
    tick_count: u32,
    max_late_us: u64,
}

impl LeaderLoad {
    pub(super) fn new(now_us: u64) -> LeaderLoad {
        LeaderLoad {
            counters: Work::ALL.map(|work| metrics::counter!("leader_work_total", "kind" => work.label())),
            reported_us: now_us,
            reported_processor_us: processor_us(),
            reported_counts: WorkCounts::default(),
            tick_count: 0,
            max_late_us: 0,
        }
    }

    /// Records by how much a tick was late.
    pub(super) fn record_tick(&mut self, late_us: u64) {
        self.tick_count += 1;
        self.max_late_us = self.max_late_us.max(late_us);
    }

    /// Logs the load since the last report, at most once per second.
    pub(super) fn report(&mut self, now_us: u64, counts: &WorkCounts) {
        if now_us < self.reported_us + REPORT_INTERVAL_US {
            return;
        }
        let processor_us = processor_us();
        let since = counts.since(&self.reported_counts);
        let mut work = String::new();
        for kind in Work::ALL {
            self.counters[kind as usize].increment(since.of(kind));
            work += &format!("{}={} ", kind.label(), since.of(kind));
        }
        log::info!(
            "over_ms={} processor_ms={} ticks={} max_late_ms={} {work}outcome=leader_load",
            (now_us - self.reported_us) / US_PER_MS,
            processor_us.saturating_sub(self.reported_processor_us) / US_PER_MS,
            self.tick_count,
            self.max_late_us / US_PER_MS,
        );
        self.reported_us = now_us;
        self.reported_processor_us = processor_us;
        self.reported_counts = counts.clone();
        self.tick_count = 0;
        self.max_late_us = 0;
    }
}

/// Processor time that this process has used.
fn processor_us() -> u64 {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    seconds * US_PER_S + u64::try_from(time.tv_nsec).unwrap_or(0) / 1_000
}
