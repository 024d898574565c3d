//! Follows what operators write.

use std::rc::Rc;
use std::sync::Arc;

use super::Node;
use crate::platform::operator;
use crate::platform::store::{operator_row, OperatorRow};
use crate::store::{StoreError, StoredRow};

/// Longest wait for a change; a connection that went silent is noticed soon after.
const WAIT_MS: u64 = 800;
const RETRY_MS: u64 = 150;

/// Keeps the daemon's configuration up to date.
pub(super) async fn follow_operator(node: Rc<Node>) {
    let mut version = None;
    loop {
        let read = match version {
            None => node.store.operator_rows().await,
            Some(after) => node.store.operator_changes(after, WAIT_MS).await,
        };
        match read {
            Ok(page) => {
                node.store_answered();
                for row in &page.rows {
                    take(&node, row);
                }
                version = Some(page.version.max(version.unwrap_or(0)));
            }
            Err(StoreError::HistoryGone) => version = None,
            Err(error) => {
                log::debug!("error={error} outcome=operator_rows_unread");
                node.sleep_ms(RETRY_MS).await;
            }
        }
    }
}

fn take(node: &Rc<Node>, row: &StoredRow) {
    let Some(value) = &row.value else { return };
    match operator_row(row) {
        OperatorRow::Configuration => take_configuration(node, value),
        OperatorRow::Wave => take_wave(node, value),
        OperatorRow::Other => {}
    }
}

fn take_configuration(node: &Rc<Node>, value: &[u8]) {
    let catalog = match operator::catalog(value) {
        Ok(catalog) => Arc::new(catalog),
        Err(error) => {
            log::warn!("error={error} outcome=configuration_unreadable");
            return;
        }
    };
    let known = node.catalog.borrow().as_ref().map(|known| known.version);
    if known.is_some_and(|known| known >= catalog.version) {
        return;
    }
    log::info!("version={} queues={} outcome=configured", catalog.version, catalog.queues.len());
    *node.catalog.borrow_mut() = Some(catalog.clone());
    if let Some(leader) = &*node.leader.borrow() {
        leader.configure(catalog);
    }
}

fn take_wave(node: &Rc<Node>, value: &[u8]) {
    let order = match operator::wave(value) {
        Ok(order) => order,
        Err(error) => {
            log::warn!("error={error} outcome=wave_unreadable");
            return;
        }
    };
    let mut waves = node.waves.borrow_mut();
    if waves.iter().any(|known| known.number == order.number) {
        return;
    }
    log::info!(
        "wave={} hosts={} at_once={} within_ms={} outcome=wave_known",
        order.number,
        order.hosts.len(),
        order.max_down,
        order.duration_ms
    );
    waves.push(order.clone());
    drop(waves);
    if let Some(leader) = &*node.leader.borrow() {
        leader.wave_ordered(order);
    }
}
