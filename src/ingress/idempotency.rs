//! Requests with a key: at most one of all that carry the same key runs.

use std::sync::Arc;

use bytes::Bytes;
use futures::channel::oneshot;
use rand::Rng;

use super::parsed_request::Plan;
use super::reply::{CallerReply, KeyRefused};
use super::{Lane, RequestIds};
use crate::endpoint_client::before;
use crate::idempotency::claims::{load_stored_body, row_key, Claim, ClaimClosing, ClaimResult, ClaimRow, RETENTION_S};
use crate::idempotency::key_registry::{BeginResult, Completion};
use crate::idempotency::now_s;
use crate::idempotency::tickets::{Ticket, TicketBegin};
use crate::idempotency::MAX_LATE_ROW_RECHECKS;
use crate::idempotency::{request_digest, FinalResult, StoredResponse};
use crate::ingress_state::{LaneEvent, PendingForward};
use crate::wire::Outcome;

/// Serves a request that carries `key`.
pub(super) async fn serve(lane: &Lane, plan: &Plan, key: &str, body: Bytes, ids: &RequestIds) -> CallerReply {
    let digest = request_digest(plan.method.as_str(), plan.path.as_str(), &body);
    if let Some(ticket) = Ticket::parse(key) {
        return serve_ticket(lane, plan, &ticket, &digest, body, ids).await;
    }
    let key = row_key(&plan.pool, key);
    let begin = lane.path.key_registry().begin(&key, &digest);
    match begin {
        BeginResult::New => claim_and_run(lane, plan, &key, digest, body, ids).await,
        other => follow(lane, plan, other, ids).await,
    }
}

/// Answers a resend from what became, or becomes, of the first request.
async fn follow(lane: &Lane, plan: &Plan, begin: BeginResult, ids: &RequestIds) -> CallerReply {
    let ending = match begin {
        BeginResult::Mismatch | BeginResult::New => return CallerReply::key_refused(&KeyRefused::Mismatch, &ids.name),
        BeginResult::Completed(last) => Completion::Final(last),
        BeginResult::InProgress(receiver) => match before(lane.path.clock.instant(plan.deadline_us), receiver).await {
            Some(Ok(ending)) => ending,
            Some(Err(oneshot::Canceled)) | None => Completion::HeldElsewhere,
        },
    };
    match ending {
        Completion::Final(last) => CallerReply::replayed(&last, &ids.name),
        Completion::NotRun => CallerReply::key_refused(&KeyRefused::FirstNotRun, &ids.name),
        Completion::HeldElsewhere => CallerReply::key_refused(&KeyRefused::InProgress, &ids.name),
    }
}

async fn claim_and_run(
    lane: &Lane,
    plan: &Plan,
    key: &Arc<str>,
    digest: Arc<str>,
    body: Bytes,
    ids: &RequestIds,
) -> CallerReply {
    let claim = Claim {
        row_key: key.clone(),
        row: ClaimRow {
            claim_id: format!("{:032x}", rand::rng().random::<u128>()).into(),
            daemon: lane.path.settings.name.clone(),
            digest: digest.clone(),
            expires_at_s: now_s() + RETENTION_S,
            ending: None,
        },
    };
    let row_version = match lane.path.claim_batcher.claim(claim.clone()).await {
        ClaimResult::Acquired { row_version } => row_version,
        ClaimResult::AlreadyClaimed(row) => {
            lane.path.key_registry().end(key, &Completion::HeldElsewhere);
            return answer_taken(lane, row, &digest, ids).await;
        }
        ClaimResult::Failed { maybe_written, error } => {
            lane.path.key_registry().end(key, &Completion::HeldElsewhere);
            if maybe_written {
                let closing = ClaimClosing { claim, ending: None, rechecks_left: MAX_LATE_ROW_RECHECKS };
                lane.path.emit(LaneEvent::ClaimFinished { closing, row_version: None });
            }
            let refused = KeyRefused::Unchecked { reason: error.to_string() };
            return CallerReply::key_refused(&refused, &ids.name);
        }
    };
    let reply = super::dispatch(lane, plan, body, ids).await;
    let ending = ending_of(&reply);
    lane.path.key_registry().end(key, &ending);
    let ending = match ending {
        Completion::Final(last) => Some(FinalResult::clone(&last)),
        Completion::NotRun | Completion::HeldElsewhere => None,
    };
    lane.path.emit(LaneEvent::ClaimFinished {
        closing: ClaimClosing { claim, ending, rechecks_left: 0 },
        row_version: Some(row_version),
    });
    reply
}

fn ending_of(reply: &CallerReply) -> Completion {
    match reply.outcome {
        Outcome::Ran => Completion::Final(FinalResult::Answered(StoredResponse::new(reply.response())).into()),
        Outcome::NotRun => Completion::NotRun,
        Outcome::Unknown => Completion::Final(FinalResult::Unknown.into()),
    }
}

/// Another claim of the key stands in the table.
async fn answer_taken(lane: &Lane, row: ClaimRow, digest: &str, ids: &RequestIds) -> CallerReply {
    if &*row.digest != digest {
        return CallerReply::key_refused(&KeyRefused::Mismatch, &ids.name);
    }
    let last = match row.ending {
        None => return CallerReply::key_refused(&KeyRefused::InProgress, &ids.name),
        Some(FinalResult::Answered(answer)) => {
            let loaded =
                lane.path.platform.call("load answer", move |platform| load_stored_body(platform, answer)).await;
            loaded.unwrap_or(FinalResult::AnswerDropped)
        }
        Some(last) => last,
    };
    CallerReply::replayed(&last, &ids.name)
}

async fn serve_ticket(
    lane: &Lane,
    plan: &Plan,
    ticket: &Ticket,
    digest: &Arc<str>,
    body: Bytes,
    ids: &RequestIds,
) -> CallerReply {
    let used = {
        let mut tickets = lane.path.tickets();
        tickets.was_issued_here(ticket).then(|| tickets.begin(ticket, digest))
    };
    match used {
        None => forward(lane, plan, ticket, body, ids).await,
        Some(TicketBegin::Forged) => CallerReply::key_refused(&KeyRefused::Forged, &ids.name),
        Some(TicketBegin::Expired) => CallerReply::key_refused(&KeyRefused::Expired, &ids.name),
        Some(TicketBegin::Valid(BeginResult::New)) => {
            let reply = super::dispatch(lane, plan, body, ids).await;
            lane.path.tickets().end(ticket, &ending_of(&reply));
            reply
        }
        Some(TicketBegin::Valid(other)) => follow(lane, plan, other, ids).await,
    }
}

/// Hands a request to the daemon that issued its ticket; no other one may run it.
async fn forward(lane: &Lane, plan: &Plan, ticket: &Ticket, body: Bytes, ids: &RequestIds) -> CallerReply {
    if plan.forwarded {
        return CallerReply::key_refused(&KeyRefused::IssuerGone, &ids.name);
    }
    let (sender, receiver) = oneshot::channel();
    let order = PendingForward {
        daemon: ticket.daemon.clone(),
        incarnation: ticket.incarnation,
        deadline_us: plan.deadline_us,
        message: plan.to_forward(&ticket.key, &body, &ids.context, lane.path.now_us()),
        reply: sender,
    };
    lane.path.emit(LaneEvent::ForwardNeeded(order));
    match receiver.await {
        Ok(Some(forwarded)) => CallerReply::forwarded(forwarded),
        Ok(None) | Err(oneshot::Canceled) => CallerReply::key_refused(&KeyRefused::IssuerGone, &ids.name),
    }
}
