//! Serves requests with idempotency keys. Of all requests that carry the same key, at most one runs.

use std::sync::Arc;

use bytes::Bytes;
use futures::channel::oneshot;
use rand::Rng;

use super::parsed_request::ParsedRequest;
use super::reply::{CallerReply, KeyError};
use super::{Lane, RequestIds};
use crate::endpoint_client::timeout_at;
use crate::idempotency::claims::{load_body, row_key, Claim, ClaimClosing, ClaimResult, ClaimRow, RETENTION_S};
use crate::idempotency::key_registry::{BeginResult, Completion};
use crate::idempotency::now_s;
use crate::idempotency::tickets::{Ticket, TicketBeginResult};
use crate::idempotency::MAX_LATE_ROW_RECHECKS;
use crate::idempotency::{request_digest, FinalResult, StoredResponse};
use crate::ingress_state::{LaneEvent, PendingForward};
use crate::wire::Outcome;

/// Serves a request that carries the idempotency key `key`.
pub(super) async fn serve(
    lane: &Lane,
    parsed: &ParsedRequest,
    key: &str,
    body: Bytes,
    ids: &RequestIds,
) -> CallerReply {
    let digest = request_digest(parsed.method.as_str(), parsed.path.as_str(), &body);
    if let Some(ticket) = Ticket::parse(key) {
        return serve_ticket(lane, parsed, &ticket, &digest, body, ids).await;
    }
    let row_key = row_key(&parsed.pool, key);
    let begin_result = lane.shared.key_registry().begin(&row_key, &digest);
    match begin_result {
        BeginResult::New => claim_and_run(lane, parsed, &row_key, digest, body, ids).await,
        other => reply_to_retry(lane, parsed, other, ids).await,
    }
}

/// Replies to a request whose key is already in use: a retry gets the result of the original request, and waits for it
/// until its own deadline.
async fn reply_to_retry(
    lane: &Lane,
    parsed: &ParsedRequest,
    begin_result: BeginResult,
    ids: &RequestIds,
) -> CallerReply {
    let completion = match begin_result {
        // `New` never gets here; the callers of this function handle it.
        BeginResult::Mismatch | BeginResult::New => {
            return CallerReply::key_error(&KeyError::Mismatch, &ids.request_id)
        }
        BeginResult::Completed(result) => Completion::Final(result),
        BeginResult::InProgress(receiver) => {
            match timeout_at(lane.shared.clock.instant(parsed.deadline_us), receiver).await {
                Some(Ok(completion)) => completion,
                Some(Err(oneshot::Canceled)) | None => Completion::Unresolved,
            }
        }
    };
    match completion {
        Completion::Final(result) => CallerReply::replayed(&result, &ids.request_id),
        Completion::NotRun => CallerReply::key_error(&KeyError::OriginalNotRun, &ids.request_id),
        Completion::Unresolved => CallerReply::key_error(&KeyError::InProgress, &ids.request_id),
    }
}

/// Claims a key chosen by the caller, runs the request, and has the claim closed in the background.
async fn claim_and_run(
    lane: &Lane,
    parsed: &ParsedRequest,
    row_key: &Arc<str>,
    digest: Arc<str>,
    body: Bytes,
    ids: &RequestIds,
) -> CallerReply {
    let claim = Claim {
        row_key: row_key.clone(),
        row: ClaimRow {
            claim_id: format!("{:032x}", rand::rng().random::<u128>()).into(),
            daemon: lane.shared.settings.name.clone(),
            digest: digest.clone(),
            expires_at_s: now_s() + RETENTION_S,
            ending: None,
        },
    };
    let row_version = match lane.shared.claim_batcher.claim(claim.clone()).await {
        ClaimResult::Acquired { row_version } => row_version,
        ClaimResult::AlreadyClaimed(row) => {
            lane.shared.key_registry().complete(row_key, &Completion::Unresolved);
            return reply_from_claim(lane, row, &digest, ids).await;
        }
        ClaimResult::Failed { row_may_exist, error } => {
            lane.shared.key_registry().complete(row_key, &Completion::Unresolved);
            if row_may_exist {
                let closing = ClaimClosing { claim, result: None, rechecks_left: MAX_LATE_ROW_RECHECKS };
                lane.shared.emit(LaneEvent::ClaimFinished { closing, row_version: None });
            }
            let key_error = KeyError::ClaimFailed { reason: error.to_string() };
            return CallerReply::key_error(&key_error, &ids.request_id);
        }
    };
    let reply = super::dispatch(lane, parsed, body, ids).await;
    let completion = completion_of(&reply);
    lane.shared.key_registry().complete(row_key, &completion);
    let result = match completion {
        Completion::Final(result) => Some(FinalResult::clone(&result)),
        Completion::NotRun | Completion::Unresolved => None,
    };
    lane.shared.emit(LaneEvent::ClaimFinished {
        closing: ClaimClosing { claim, result, rechecks_left: 0 },
        row_version: Some(row_version),
    });
    reply
}

/// What retries with the same key are told once the request has got this reply.
fn completion_of(reply: &CallerReply) -> Completion {
    match reply.outcome {
        Outcome::Ran => Completion::Final(FinalResult::Answered(StoredResponse::new(reply.response())).into()),
        Outcome::NotRun => Completion::NotRun,
        Outcome::Unknown => Completion::Final(FinalResult::Unknown.into()),
    }
}

/// Replies to a request whose key is already claimed in the platform's table, from the row of that claim.
async fn reply_from_claim(lane: &Lane, row: ClaimRow, digest: &str, ids: &RequestIds) -> CallerReply {
    if &*row.digest != digest {
        return CallerReply::key_error(&KeyError::Mismatch, &ids.request_id);
    }
    let result = match row.ending {
        None => return CallerReply::key_error(&KeyError::InProgress, &ids.request_id),
        Some(FinalResult::Answered(response)) => {
            let loaded = lane.shared.platform.call("load body", move |platform| load_body(platform, response)).await;
            loaded.unwrap_or(FinalResult::AnswerDropped)
        }
        Some(result) => result,
    };
    CallerReply::replayed(&result, &ids.request_id)
}

/// Serves a request whose key is a ticket, or forwards it to the daemon that issued the ticket.
async fn serve_ticket(
    lane: &Lane,
    parsed: &ParsedRequest,
    ticket: &Ticket,
    digest: &Arc<str>,
    body: Bytes,
    ids: &RequestIds,
) -> CallerReply {
    // `None` if another daemon or incarnation issued the ticket.
    let begin_result = {
        let mut tickets = lane.shared.tickets();
        tickets.is_issuer_of(ticket).then(|| tickets.begin(ticket, digest))
    };
    match begin_result {
        None => forward(lane, parsed, ticket, body, ids).await,
        Some(TicketBeginResult::Forged) => CallerReply::key_error(&KeyError::Forged, &ids.request_id),
        Some(TicketBeginResult::Expired) => CallerReply::key_error(&KeyError::Expired, &ids.request_id),
        Some(TicketBeginResult::Valid(BeginResult::New)) => {
            let reply = super::dispatch(lane, parsed, body, ids).await;
            lane.shared.tickets().complete(ticket, &completion_of(&reply));
            reply
        }
        Some(TicketBeginResult::Valid(other)) => reply_to_retry(lane, parsed, other, ids).await,
    }
}

/// Forwards a request to the daemon that issued its ticket, the only one that may run it. A request that was already
/// forwarded is refused instead, so that it is not passed from daemon to daemon.
async fn forward(lane: &Lane, parsed: &ParsedRequest, ticket: &Ticket, body: Bytes, ids: &RequestIds) -> CallerReply {
    if parsed.forwarded {
        return CallerReply::key_error(&KeyError::IssuerUnreachable, &ids.request_id);
    }
    let (sender, receiver) = oneshot::channel();
    let pending = PendingForward {
        daemon: ticket.daemon.clone(),
        incarnation: ticket.incarnation,
        deadline_us: parsed.deadline_us,
        message: parsed.to_forwarded(&ticket.key, &body, &ids.trace, lane.shared.now_us()),
        reply: sender,
    };
    lane.shared.emit(LaneEvent::ForwardNeeded(pending));
    match receiver.await {
        Ok(Some(forwarded)) => CallerReply::forwarded(forwarded),
        Ok(None) | Err(oneshot::Canceled) => CallerReply::key_error(&KeyError::IssuerUnreachable, &ids.request_id),
    }
}
