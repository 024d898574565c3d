//! Amounts of CPU, memory and GPUs: what a task needs, and what a worker or host offers.

use std::fmt;

use serde::{Deserialize, Serialize};

/// CPU, memory and GPUs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Resources {
    /// Thousandths of a core.
    pub(crate) cpu_milli: u64,
    pub(crate) mem_mb: u64,
    pub(crate) gpus: u64,
}

impl Resources {
    /// More than any worker can offer.
    pub(crate) const MAX: Resources = Resources { cpu_milli: u64::MAX, mem_mb: u64::MAX, gpus: u64::MAX };

    pub(crate) fn fits_in(&self, available: &Resources) -> bool {
        self.cpu_milli <= available.cpu_milli && self.mem_mb <= available.mem_mb && self.gpus <= available.gpus
    }

    pub(crate) fn add(&mut self, other: &Resources) {
        self.cpu_milli = self.cpu_milli.saturating_add(other.cpu_milli);
        self.mem_mb = self.mem_mb.saturating_add(other.mem_mb);
        self.gpus = self.gpus.saturating_add(other.gpus);
    }

    /// The resources of `count` tasks that need these resources each.
    pub(crate) fn times(&self, count: u32) -> Resources {
        let count = u64::from(count);
        Resources {
            cpu_milli: self.cpu_milli.saturating_mul(count),
            mem_mb: self.mem_mb.saturating_mul(count),
            gpus: self.gpus.saturating_mul(count),
        }
    }

    /// How many times `part` fits in these resources; [`u32::MAX`] if it is nothing.
    pub(crate) fn count_of(&self, part: &Resources) -> u32 {
        let pairs = [(self.cpu_milli, part.cpu_milli), (self.mem_mb, part.mem_mb), (self.gpus, part.gpus)];
        let counts = pairs.into_iter().filter_map(|(all, part)| all.checked_div(part));
        counts.min().map_or(u32::MAX, |count| u32::try_from(count).unwrap_or(u32::MAX))
    }

    /// Subtracts each component, stopping at zero.
    pub(crate) fn minus(&self, other: &Resources) -> Resources {
        Resources {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            mem_mb: self.mem_mb.saturating_sub(other.mem_mb),
            gpus: self.gpus.saturating_sub(other.gpus),
        }
    }
}

/// Written as `CPU/memory/GPUs` in the units of the fields; a quantity without a limit is written as `-`.
impl fmt::Display for Resources {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, value) in [self.cpu_milli, self.mem_mb, self.gpus].into_iter().enumerate() {
            let separator = if index == 0 { "" } else { "/" };
            match value {
                u64::MAX => write!(f, "{separator}-")?,
                _ => write!(f, "{separator}{value}")?,
            }
        }
        Ok(())
    }
}
