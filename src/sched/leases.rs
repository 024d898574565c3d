//! For how long orders may grant leases, when leases have expired, and when leadership allows orders about hosts.

use super::scheduler::Scheduler;
use super::worker::Worker;
use crate::clock::US_PER_MS;

/// Duration of the lease that a start order or a hold request grants. A worker that is cut off keeps running its tasks
/// for this long; a new leader has this long to reach it before they stop.
const LEASE_MS: u64 = 4_500;
/// A lease may end later than the latest confirmed renewal of leadership by at most this share of `max_lease_ms`.
const MAX_LEASE_SHARE: f64 = 0.85;
/// Time from taking over to the first host order. By then, the last order that a former leader sent has been carried
/// out and shows in the provider's host list.
const FORMER_LEADER_ORDERS_WAIT_MS: u64 = 1_000;
/// Host orders may be sent for this long after the latest confirmed renewal of leadership.
const HOST_ORDERS_AFTER_RENEWAL_MS: u64 = 1_200;
/// On a worker whose clock runs up to 2% slow, a lease lasts longer by up to this factor.
const LEASE_EXPIRY_FACTOR: f64 = 1.03;
/// A call without an answer is carried out no later than this after it was sent.
pub(super) const MAX_CALL_DELAY_MS: u64 = 12_000;
/// Added to the time after which a lease has expired, for errors in reading workers' clocks.
const LEASE_EXPIRY_MARGIN_MS: u64 = 300;

impl Scheduler {
    /// Time up to which an order sent now may grant a lease.
    pub(super) fn lease_until_us(&self, now_us: u64) -> u64 {
        let leadership_limit_us = self.leadership_renewed_us + self.max_granted_lease_ms() * US_PER_MS;
        (now_us + LEASE_MS * US_PER_MS).min(leadership_limit_us)
    }

    /// Whether host orders may be sent: not directly after taking over, and not without a recently confirmed
    /// renewal of leadership, since some time must pass between the orders of two leaders for the same host.
    pub(super) fn may_order_hosts(&self, now_us: u64) -> bool {
        now_us >= self.leader_since_us + FORMER_LEADER_ORDERS_WAIT_MS * US_PER_MS
            && !self.hosts.is_empty()
            && now_us < self.leadership_renewed_us + HOST_ORDERS_AFTER_RENEWAL_MS * US_PER_MS
    }

    /// Handles a confirmed renewal of leadership that was sent at `sent_us`.
    pub(super) fn leadership_renewed(&mut self, now_us: u64, sent_us: u64) {
        if now_us >= self.leadership_renewed_us + HOST_ORDERS_AFTER_RENEWAL_MS * US_PER_MS {
            log::info!(
                "unconfirmed_ms={} outcome=store_gap_ended",
                now_us.saturating_sub(self.leadership_renewed_us) / US_PER_MS
            );
            self.knowledge_since_us = now_us;
        }
        self.leadership_renewed_us = self.leadership_renewed_us.max(sent_us);
    }

    /// Whether a host order may be sent. The leader checks this again just before it sends each order.
    pub(crate) fn may_send_host_order(&self, now_us: u64) -> bool {
        self.may_order_hosts(now_us)
    }

    /// Maximum time from a confirmed renewal of leadership to the end of a lease.
    fn max_granted_lease_ms(&self) -> u64 {
        (self.settings.max_lease_ms as f64 * MAX_LEASE_SHARE) as u64
    }

    /// Time at which every lease granted by a former leader has expired.
    pub(super) fn former_leader_leases_end_us(&self) -> u64 {
        self.leader_since_us + self.longest_lease_wait_us()
    }

    /// Time after which a lease has expired on any incarnation of a worker, which shortens it to the maximum on its own clock.
    pub(super) fn longest_lease_wait_us(&self) -> u64 {
        lease_expiry_wait_us(self.settings.max_lease_ms)
    }

    /// When every lease has ended that calls to the known incarnation of a worker may have granted to a later one, of which
    /// the leader has not learned.
    pub(super) fn lease_end_on_later_incarnation_us(&self, worker: &Worker) -> u64 {
        let last_call_us = worker.last_lease_call_us.max(self.last_former_leader_call_us());
        last_call_us + MAX_CALL_DELAY_MS * US_PER_MS + self.longest_lease_wait_us()
    }

    /// When every lease has ended that former leaders may have granted on a worker that is only known from the record.
    pub(super) fn lease_end_on_unknown_worker_us(&self) -> u64 {
        self.former_leader_calls_end_us() + self.longest_lease_wait_us()
    }

    /// Until when a call of a former leader may be carried out.
    pub(super) fn former_leader_calls_end_us(&self) -> u64 {
        self.last_former_leader_call_us() + MAX_CALL_DELAY_MS * US_PER_MS
    }

    /// Time after which no former leader sends a call that may grant a lease. One that is paused may send calls until its
    /// leadership would have allowed no lease any more.
    fn last_former_leader_call_us(&self) -> u64 {
        if !self.has_former_leader {
            return 0;
        }
        self.leader_since_us + self.max_granted_lease_ms() * US_PER_MS
    }

    /// When every lease has ended that earlier calls may have granted to a later incarnation which has become known at
    /// `now_us`: they may reach it until it has seen a higher fencing token.
    pub(super) fn lease_end_after_restart_us(&self, now_us: u64, former: &Worker) -> u64 {
        let from_now_us = now_us + self.longest_lease_wait_us();
        from_now_us.max(self.lease_end_on_later_incarnation_us(former)).max(former.unknown_lease_end_us)
    }

    /// Time without an answer after which a worker's lease has expired for certain.
    pub(super) fn lease_expiry_wait_us(&self) -> u64 {
        lease_expiry_wait_us(self.max_granted_lease_ms())
    }
}

/// Time after which a lease of this length has expired for certain.
fn lease_expiry_wait_us(lease_ms: u64) -> u64 {
    let wait_ms = (lease_ms as f64 * LEASE_EXPIRY_FACTOR) as u64 + LEASE_EXPIRY_MARGIN_MS;
    wait_ms * US_PER_MS
}
