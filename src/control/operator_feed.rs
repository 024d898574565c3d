//! Feed of the configuration and the maintenance waves that operators write to the store.

use std::rc::Rc;

use super::configuration::ReadConfiguration;
use super::feed_health::FeedHealth;
use super::{ControlDaemon, ControlSettings};
use crate::platform::operator;
use crate::platform::row_store::{operator_row_kind, OperatorRowKind};
use crate::row_store::{RowStoreError, StoredRow};

/// Time for which the store holds a request for changes while there are none. Kept short, because a connection that has
/// gone silent is noticed only afterwards.
const LONG_POLL_MS: u64 = 800;
/// With strict revocation, this many requests are answered in the time after which keys are no longer accepted.
const POLLS_PER_REVOCATION: u64 = 4;
const RETRY_DELAY_MS: u64 = 150;

/// Applies the operators' changes for as long as the daemon runs.
pub(super) async fn follow(daemon: Rc<ControlDaemon>) {
    let mut version = None;
    let mut health = FeedHealth::new("operator");
    let wait_ms = long_poll_ms(&daemon.settings);
    loop {
        let requested_us = daemon.now_us();
        // Callers may be waiting for the configuration to be confirmed.
        let wait_ms = if daemon.is_configuration_outdated() { 0 } else { wait_ms };
        let read = match version {
            None => daemon.store.operator_rows().await,
            Some(after) => daemon.store.operator_changes(after, wait_ms).await,
        };
        match read {
            Ok(page) => {
                health.record_success(daemon.now_us());
                for row in &page.rows {
                    apply_row(&daemon, row);
                }
                daemon.configuration.borrow_mut().confirm(requested_us);
                version = Some(page.version.max(version.unwrap_or(0)));
            }
            Err(RowStoreError::HistoryGone) => version = None,
            Err(error) => {
                health.record_failure(requested_us, &error);
                daemon.sleep_ms(RETRY_DELAY_MS).await;
            }
        }
    }
}

fn long_poll_ms(settings: &ControlSettings) -> u64 {
    if !settings.revokes_strictly {
        return LONG_POLL_MS;
    }
    LONG_POLL_MS.min(settings.revocation_ms / POLLS_PER_REVOCATION)
}

fn apply_row(daemon: &Rc<ControlDaemon>, row: &StoredRow) {
    match operator_row_kind(row) {
        OperatorRowKind::Configuration => apply_configuration(daemon, row),
        OperatorRowKind::Wave => apply_wave(daemon, row),
        OperatorRowKind::Other => {}
    }
}

fn apply_configuration(daemon: &Rc<ControlDaemon>, row: &StoredRow) {
    let read = daemon.configuration.borrow_mut().read(row);
    let catalog = match read {
        ReadConfiguration::InForce(catalog) => catalog,
        ReadConfiguration::NotNewer | ReadConfiguration::StillRejected => return,
        ReadConfiguration::Rejected(error) => {
            log::warn!("error={error} outcome=configuration_unreadable");
            return;
        }
    };
    log::info!("version={} queues={} outcome=configured", catalog.version, catalog.queues.len());
    daemon.organisation_metrics.borrow_mut().configure(&catalog.organisations);
    if let Some(leader) = &*daemon.leader.borrow() {
        leader.configure(catalog);
    }
}

fn apply_wave(daemon: &Rc<ControlDaemon>, row: &StoredRow) {
    let Some(value) = &row.value else { return };
    let order = match operator::decode_wave(value) {
        Ok(order) => order,
        Err(error) => {
            log::warn!("error={error} outcome=wave_unreadable");
            return;
        }
    };
    let mut waves = daemon.waves.borrow_mut();
    if waves.iter().any(|known| known.number == order.number) {
        return;
    }
    log::info!(
        "wave={} hosts={} max_down={} duration_ms={} outcome=wave_received",
        order.number,
        order.hosts.len(),
        order.max_down,
        order.duration_ms
    );
    waves.push(order.clone());
    drop(waves);
    if let Some(leader) = &*daemon.leader.borrow() {
        leader.add_wave(order);
    }
}
