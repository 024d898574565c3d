//! Requests with a key: at most one of all that carry the same key runs.

use std::sync::Arc;

use bytes::Bytes;
use futures::channel::oneshot;
use rand::Rng;

use super::plan::Plan;
use super::reply::{CallerReply, KeyRefused};
use super::{Lane, RequestIds};
use crate::endpoint_client::timeout_at;
use crate::keyed::book::{Begin, Ending};
use crate::keyed::claims::{load_large, row_key, Claim, ClaimRow, Claimed, Closing, RETENTION_S};
use crate::keyed::now_s;
use crate::keyed::tickets::{Ticket, Use};
use crate::keyed::LATE_LOOKS;
use crate::keyed::{request_digest, Final, KeptAnswer};
use crate::request_path::{ForwardOrder, Report};
use crate::wire::Outcome;

/// Serves a request that carries `key`.
pub(super) async fn serve(lane: &Lane, plan: &Plan, key: &str, body: Bytes, ids: &RequestIds) -> CallerReply {
    let digest = request_digest(plan.method.as_str(), plan.path.as_str(), &body);
    if let Some(ticket) = Ticket::parse(key) {
        return serve_ticket(lane, plan, &ticket, &digest, body, ids).await;
    }
    let key = row_key(&plan.pool, key);
    let begin = lane.path.key_book().begin(&key, &digest);
    match begin {
        Begin::Fresh => claim_and_run(lane, plan, &key, digest, body, ids).await,
        other => follow(lane, plan, other, ids).await,
    }
}

/// Answers a resend from what became, or becomes, of the first request.
async fn follow(lane: &Lane, plan: &Plan, begin: Begin, ids: &RequestIds) -> CallerReply {
    let ending = match begin {
        Begin::Mismatch | Begin::Fresh => return CallerReply::key_refused(&KeyRefused::Mismatch, &ids.name),
        Begin::Ended(last) => Ending::Final(last),
        Begin::Join(receiver) => match timeout_at(lane.path.clock.instant(plan.deadline_us), receiver).await {
            Some(Ok(ending)) => ending,
            Some(Err(oneshot::Canceled)) | None => Ending::Elsewhere,
        },
    };
    match ending {
        Ending::Final(last) => CallerReply::replayed(&last, &ids.name),
        Ending::NotRun => CallerReply::key_refused(&KeyRefused::FirstNotRun, &ids.name),
        Ending::Elsewhere => CallerReply::key_refused(&KeyRefused::InProgress, &ids.name),
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
    let row_version = match lane.path.claimer.claim(claim.clone()).await {
        Claimed::Mine { row_version } => row_version,
        Claimed::Taken(row) => {
            lane.path.key_book().end(key, &Ending::Elsewhere);
            return answer_taken(lane, row, &digest, ids).await;
        }
        Claimed::Failed { maybe_written, error } => {
            lane.path.key_book().end(key, &Ending::Elsewhere);
            if maybe_written {
                let closing = Closing { claim, ending: None, looks_left: LATE_LOOKS };
                lane.path.report(Report::Close { closing, row_version: None });
            }
            let refused = KeyRefused::Unchecked { reason: error.to_string() };
            return CallerReply::key_refused(&refused, &ids.name);
        }
    };
    let reply = super::dispatch(lane, plan, body, ids).await;
    let ending = ending_of(&reply);
    lane.path.key_book().end(key, &ending);
    let ending = match ending {
        Ending::Final(last) => Some(Final::clone(&last)),
        Ending::NotRun | Ending::Elsewhere => None,
    };
    lane.path
        .report(Report::Close { closing: Closing { claim, ending, looks_left: 0 }, row_version: Some(row_version) });
    reply
}

fn ending_of(reply: &CallerReply) -> Ending {
    match reply.outcome {
        Outcome::Ran => Ending::Final(Final::Answered(KeptAnswer::new(reply.response())).into()),
        Outcome::NotRun => Ending::NotRun,
        Outcome::Unknown => Ending::Final(Final::Unknown.into()),
    }
}

/// Another claim of the key stands in the table.
async fn answer_taken(lane: &Lane, row: ClaimRow, digest: &str, ids: &RequestIds) -> CallerReply {
    if &*row.digest != digest {
        return CallerReply::key_refused(&KeyRefused::Mismatch, &ids.name);
    }
    let last = match row.ending {
        None => return CallerReply::key_refused(&KeyRefused::InProgress, &ids.name),
        Some(Final::Answered(answer)) => {
            let loaded = lane.path.platform.call("load answer", move |platform| load_large(platform, answer)).await;
            loaded.unwrap_or(Final::AnswerDropped)
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
        tickets.is_own(ticket).then(|| tickets.begin(ticket, digest))
    };
    match used {
        None => forward(lane, plan, ticket, body, ids).await,
        Some(Use::Forged) => CallerReply::key_refused(&KeyRefused::Forged, &ids.name),
        Some(Use::Expired) => CallerReply::key_refused(&KeyRefused::Expired, &ids.name),
        Some(Use::Begin(Begin::Fresh)) => {
            let reply = super::dispatch(lane, plan, body, ids).await;
            lane.path.tickets().end(ticket, &ending_of(&reply));
            reply
        }
        Some(Use::Begin(other)) => follow(lane, plan, other, ids).await,
    }
}

/// Hands a request to the daemon that issued its ticket; no other one may run it.
async fn forward(lane: &Lane, plan: &Plan, ticket: &Ticket, body: Bytes, ids: &RequestIds) -> CallerReply {
    if plan.forwarded {
        return CallerReply::key_refused(&KeyRefused::IssuerGone, &ids.name);
    }
    let (sender, receiver) = oneshot::channel();
    let order = ForwardOrder {
        daemon: ticket.daemon.clone(),
        incarnation: ticket.incarnation,
        deadline_us: plan.deadline_us,
        message: plan.to_forward(&ticket.key, &body, &ids.context, lane.path.now_us()),
        reply: sender,
    };
    lane.path.report(Report::Forward(order));
    match receiver.await {
        Ok(Some(forwarded)) => CallerReply::forwarded(forwarded),
        Ok(None) | Err(oneshot::Canceled) => CallerReply::key_refused(&KeyRefused::IssuerGone, &ids.name),
    }
}
