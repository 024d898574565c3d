//! Callers' requests: read, dispatched, sent to an endpoint, answered.

mod attempt;
mod plan;
mod reply;
mod request_table;

use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use futures::channel::{mpsc, oneshot};
use futures::StreamExt;
use hyper::body::Incoming;
use hyper::{Request, Response};

use crate::clock::US_PER_MS;
use crate::daemon::Daemon;
use crate::dispatch::{Action, Arrival, RequestId, Verdict};
use crate::endpoint_client::before;
use crate::error::{Error, Result};
use crate::held_body::{collect, HeldBody};
use crate::http_server::{serve, Body, ServerLimits};
use crate::kernel::{Plugin, Stage};
use crate::reactor::{sleep_until, spawn};
use crate::trace::{unix_now_ns, Span, SpanKind, TraceContext};

use plan::Plan;
use reply::{CallerReply, Refused};

pub(crate) use request_table::{RequestTable, Step};

/// Longest wait for a request's headers, the idle time before them included.
const HEADER_TIMEOUT_MS: u64 = 30_000;
/// Longest wait for a request's body, also if its deadline is later.
const BODY_TIMEOUT_MS: u64 = 10_000;
const MAX_HEADER_BYTES: usize = 32 * 1024;

inventory::submit! {
    Plugin { name: "entry", stage: Stage::Service, start }
}

fn start(daemon: &Rc<Daemon>) -> Result<()> {
    let listener = daemon.listeners.borrow_mut().callers.take();
    let listener =
        listener.ok_or_else(|| Error::io("serve callers")(std::io::Error::other("no listener was bound")))?;
    let limits = ServerLimits {
        max_connections: daemon.settings.max_callers,
        header_timeout_ms: HEADER_TIMEOUT_MS,
        max_header_bytes: MAX_HEADER_BYTES,
    };
    let served = daemon.clone();
    let handler = Rc::new(move |request| {
        let daemon = served.clone();
        Box::pin(handle(daemon, request)) as _
    });
    spawn(serve(listener, limits, daemon.control.clone(), handler));
    spawn(tick(daemon.clone()));
    Ok(())
}

/// Checks waiting requests while there are any.
async fn tick(daemon: Rc<Daemon>) {
    loop {
        let due_us = || daemon.dispatcher.borrow().next_tick_us(daemon.now_us());
        daemon.waiting.until(|| due_us().is_some()).await;
        let Some(due_us) = due_us() else { continue };
        sleep_until(daemon.clock.instant(due_us)).await;
        let actions = daemon.dispatcher.borrow_mut().tick(daemon.now_us());
        daemon.act(actions);
    }
}

/// Answers one request. It runs on when its caller hangs up, since the endpoint may be at work on it.
async fn handle(daemon: Rc<Daemon>, request: Request<Incoming>) -> Response<Body> {
    let (sender, receiver) = oneshot::channel();
    spawn(async move {
        let response = answer(&daemon, request).await;
        // The caller may have hung up.
        let _ = sender.send(response);
    });
    receiver.await.unwrap_or_default()
}

async fn answer(daemon: &Daemon, request: Request<Incoming>) -> Response<Body> {
    let started = Instant::now();
    let started_ns = unix_now_ns();
    let request_id = daemon.requests.next_id();
    let request_name = daemon.requests.name(request_id);
    let parent = plan::trace_parent(request.headers());
    let context = parent.as_ref().map_or_else(TraceContext::root, TraceContext::child);
    let reply = match serve_request(daemon, request, request_id, &request_name, &context).await {
        Ok(reply) => reply,
        Err(refused) => CallerReply::refused(&refused, &request_name),
    };
    metrics::counter!("requests_total", "outcome" => reply.outcome.name()).increment(1);
    metrics::histogram!("request_seconds").record(started.elapsed().as_secs_f64());
    if daemon.spans.is_enabled() {
        daemon.spans.export(Span {
            context,
            parent_span_id: parent.map(|parent| parent.span_id),
            name: "request",
            kind: SpanKind::Server,
            start_ns: started_ns,
            end_ns: unix_now_ns(),
            attributes: vec![("request.id", request_name.clone()), ("outcome", reply.outcome.name().to_owned())],
        });
    }
    reply.into_response(&request_name)
}

async fn serve_request(
    daemon: &Daemon,
    request: Request<Incoming>,
    request_id: RequestId,
    request_name: &str,
    context: &TraceContext,
) -> Result<CallerReply, Refused> {
    let now_us = daemon.now_us();
    let (head, body) = request.into_parts();
    let plan = {
        let sheet = daemon.sheet.borrow();
        let accepted = sheet.in_force().ok_or(Refused::NotReady)?;
        Plan::new(&head, &accepted.sheet, now_us, daemon.settings.default_deadline_ms)?
    };
    let body = read_body(daemon, body, &plan).await?;
    let reply = dispatch(daemon, &plan, body.bytes.clone(), request_id, request_name, context).await;
    drop(body.held);
    Ok(reply)
}

async fn read_body(daemon: &Daemon, body: Incoming, plan: &Plan) -> Result<HeldBody, Refused> {
    let latest_us = (daemon.now_us() + BODY_TIMEOUT_MS * US_PER_MS).min(plan.deadline_us);
    let collected = collect(body, daemon.settings.max_body_bytes, &daemon.held_bytes);
    match before(daemon.clock.instant(latest_us), collected).await {
        Some(body) => Ok(body?),
        None => Err(Refused::SlowBody),
    }
}

/// Follows the dispatcher's instructions until it gives the verdict.
async fn dispatch(
    daemon: &Daemon,
    plan: &Plan,
    body: Bytes,
    request_id: RequestId,
    request_name: &str,
    context: &TraceContext,
) -> CallerReply {
    let (sender, mut steps) = mpsc::unbounded();
    daemon.requests.insert(request_id, sender);
    let arrival = Arrival {
        request: request_id,
        pool: plan.pool.clone(),
        caller: plan.caller.clone(),
        idempotent: plan.idempotent,
        deadline_us: plan.deadline_us,
        body_bytes: body.len(),
    };
    let actions = daemon.dispatcher.borrow_mut().arrive(daemon.now_us(), arrival);
    daemon.act(actions);
    let mut answer = None;
    let mut last_failure = None;
    let mut verdict = Verdict::Unknown;
    while let Some(step) = steps.next().await {
        match step {
            Step::Attempt(order) => {
                let attempt_id = order.attempt;
                let attempt = attempt::run(daemon, plan, &order, body.clone(), request_name, context).await;
                answer = attempt.answer;
                last_failure = attempt.failure.or(last_failure);
                let actions = daemon.dispatcher.borrow_mut().end(daemon.now_us(), attempt_id, attempt.end);
                daemon.act(actions);
            }
            Step::Finish(finished) => {
                verdict = finished;
                break;
            }
        }
    }
    daemon.requests.remove(request_id);
    CallerReply::from_verdict(verdict, answer, last_failure, request_name)
}

impl Daemon {
    /// Hands the dispatcher's instructions to the requests that they are for.
    pub(crate) fn act(&self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start { request, attempt, endpoint, deadline_us } => {
                    let order = request_table::AttemptOrder { attempt, endpoint, deadline_us };
                    self.requests.send(request, Step::Attempt(order));
                }
                Action::Finish { request, verdict } => {
                    if let Verdict::NotRun { refusal, .. } = verdict {
                        metrics::counter!("refusals_total", "reason" => refusal.name()).increment(1);
                    }
                    self.requests.send(request, Step::Finish(verdict));
                }
            }
        }
        self.waiting.notify();
    }
}
