//! What a tick of the leader costs, by the size of the fleet and of the backlog. Counts do not depend on the processor;
//! times are compared within one run only. `work_counts_tests` bounds the counts.

use sardineseam::lab::{leader_work, LeaderLoad, LeaderWork};

const FLEETS: [usize; 4] = [350, 550, 3_000, 6_400];
/// On-time and late jobs that wait.
const BACKLOGS: [(usize, usize); 4] = [(0, 0), (100, 0), (1_000, 0), (100, 5_000)];
const TICKS: u32 = 100;
const KINDS: [&str; 5] = ["jobs_ranked", "workers_listed", "workers_compared", "workers_counted", "runs_counted"];

fn main() {
    println!("| workers | on-time jobs | late jobs | tick us | ratio to no backlog | {} |", KINDS.join(" | "));
    println!("|---|---|---|---|---|{}", "---|".repeat(KINDS.len()));
    for workers in FLEETS {
        let mut idle_us = None;
        for (on_time_jobs, late_jobs) in BACKLOGS {
            let LeaderWork { units, tick_us } = leader_work(LeaderLoad { workers, on_time_jobs, late_jobs }, TICKS);
            let ratio = tick_us / *idle_us.get_or_insert(tick_us);
            let units = KINDS.map(|kind| units.iter().find(|(name, _)| *name == kind).map_or(0.0, |(_, count)| *count));
            let units: Vec<String> = units.iter().map(|count| format!("{count:.0}")).collect();
            println!(
                "| {workers} | {on_time_jobs} | {late_jobs} | {tick_us:.0} | {ratio:.2} | {} |",
                units.join(" | ")
            );
        }
    }
}
