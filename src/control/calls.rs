//! Calls to the advice service, the provider and the store that the scheduler has requested. Each reports its outcome
//! to the scheduler.

use std::rc::Rc;
use std::sync::Arc;

use super::leader::Leader;
use crate::row_store::RowStoreCommitOutcome;
use crate::sched::model::{HostOrderOutcome, JobId};

pub(super) async fn request_advice(leader: Rc<Leader>, job: JobId, occurrence: u32, step: u32, workers: Vec<Arc<str>>) {
    let answer = match &leader.advice_client {
        Some(client) => client.request_advice(&job, occurrence, step, &workers).await,
        None => Err("no advice service in the settings".to_owned()),
    };
    let outcome = if answer.is_ok() { "answered" } else { "failed" };
    metrics::counter!("advice_requests_total", "outcome" => outcome).increment(1);
    metrics::counter!("advice_workers_asked_total").increment(workers.len() as u64);
    match &answer {
        Ok(advice) => log::info!(
            "job={job} step={occurrence}.{step} asked={} allowed={} outcome=advice_received",
            workers.len(),
            advice.tickets.len()
        ),
        Err(reason) => {
            log::info!(
                "job={job} step={occurrence}.{step} asked={} error={reason} outcome=advice_failed",
                workers.len()
            );
        }
    }
    let answer = answer.ok();
    let now_us = leader.now_us();
    leader.scheduler.borrow_mut().on_advice_answer(now_us, (&job, occurrence, step), &workers, answer.as_ref());
    leader.run_scheduler();
}

pub(super) async fn move_host(leader: Rc<Leader>, host: Arc<str>, pool: Arc<str>) {
    let outcome = match &leader.host_client {
        Some(client) if leader.may_order_hosts() => client.move_to(&host, &pool, leader.fencing_token).await,
        _ => HostOrderOutcome::NotDone,
    };
    log::info!("host={host} pool={pool} end={outcome:?} outcome=move_ended");
    metrics::counter!(
        "host_orders_total",
        "kind" => "move",
        "done" => (outcome == HostOrderOutcome::Done).to_string()
    )
    .increment(1);
    leader.scheduler.borrow_mut().on_move_outcome(leader.now_us(), &host, &pool, outcome);
    leader.run_scheduler();
}

pub(super) async fn maintain_host(leader: Rc<Leader>, host: Arc<str>, wave: u64) {
    let outcome = match &leader.host_client {
        Some(client) if leader.may_order_hosts() => client.maintain(&host, wave, leader.fencing_token).await,
        _ => HostOrderOutcome::NotDone,
    };
    log::info!("host={host} wave={wave} end={outcome:?} outcome=maintenance_ended");
    metrics::counter!(
        "host_orders_total",
        "kind" => "maintain",
        "done" => (outcome == HostOrderOutcome::Done).to_string()
    )
    .increment(1);
    leader.scheduler.borrow_mut().on_maintenance_outcome(leader.now_us(), &host, wave, outcome);
    leader.run_scheduler();
}

pub(super) async fn report_wave(leader: Rc<Leader>, wave: u64, complete: bool) {
    let is_stored = match leader.daemon.store.report_wave(wave, complete).await {
        Ok(RowStoreCommitOutcome::Applied { .. }) => true,
        Ok(RowStoreCommitOutcome::Conflict { .. }) => false,
        Err(error) => {
            log::warn!("wave={wave} error={error} outcome=wave_report_failed");
            false
        }
    };
    leader.scheduler.borrow_mut().on_wave_report_outcome(leader.now_us(), wave, complete, is_stored);
}
