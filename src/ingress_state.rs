//! State shared by the lanes, the threads that serve callers.

mod tick_flag;

use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};

use futures::channel::mpsc::UnboundedSender;
use futures::channel::oneshot;
use rand::Rng;

use crate::async_platform::AsyncPlatform;
use crate::buffered_body::ByteBudget;
use crate::clock::Clock;
use crate::dispatch::{Action, Dispatcher, Verdict};
use crate::fleet::Departure;
use crate::idempotency::claim_batcher::ClaimBatcher;
use crate::idempotency::claims::ClaimClosing;
use crate::idempotency::key_registry::KeyRegistry;
use crate::idempotency::tickets::TicketRegistry;
use crate::ingress::{ActiveRequests, AttemptCommand, Step};
use crate::peer_message::{ForwardedRequest, ForwardedResponse};
use crate::request_metrics::RequestMetrics;
use crate::settings::Settings;
use crate::sheet_state::AcceptedSheet;
use crate::trace::SpanExporter;
use tick_flag::TickFlag;

/// An event sent by a lane to the daemon's main thread.
#[derive(Debug)]
pub(crate) enum LaneEvent {
    /// An endpoint announced in a response that it is leaving.
    HostLeaving(Departure),
    /// Requests are queued, so the main thread must start to tick the dispatcher.
    RequestsQueued,
    /// The request of a claim has ended, or the claim failed but its row may exist. The claim must be closed.
    ClaimFinished {
        closing: ClaimClosing,
        /// Version of the claim row, if known.
        row_version: Option<u64>,
    },
    /// A request must be forwarded to the daemon that issued its ticket.
    ForwardNeeded(PendingForward),
}

/// A request that waits to be forwarded to another daemon.
#[derive(Debug)]
pub(crate) struct PendingForward {
    /// Name of the daemon that issued the ticket.
    pub(crate) daemon: Arc<str>,
    /// Incarnation of that daemon that issued the ticket; no other one may run the request.
    pub(crate) incarnation: u64,
    pub(crate) deadline_us: u64,
    pub(crate) message: ForwardedRequest,
    /// Receives the other daemon's reply, or `None` if there is none.
    pub(crate) reply: oneshot::Sender<Option<ForwardedResponse>>,
}

/// Shared state of the lanes. Requests forwarded by other daemons are served with it on the main thread.
pub(crate) struct IngressState {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) requests: ActiveRequests,
    /// Memory budget for the bodies of requests and responses.
    pub(crate) body_budget: ByteBudget,
    pub(crate) spans: SpanExporter,
    pub(crate) metrics: RequestMetrics,
    pub(crate) platform: AsyncPlatform,
    pub(crate) claim_batcher: ClaimBatcher,
    key_registry: Mutex<KeyRegistry>,
    tickets: Mutex<TicketRegistry>,
    dispatcher: Mutex<Dispatcher>,
    sheet: RwLock<Option<Arc<AcceptedSheet>>>,
    events: UnboundedSender<LaneEvent>,
    /// Set from a [`LaneEvent::RequestsQueued`] until the main thread stops ticking the dispatcher, so that lanes do
    /// not emit the event for every queued request.
    ticking: TickFlag,
}

impl fmt::Debug for IngressState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("IngressState")
    }
}

impl IngressState {
    pub(crate) fn new(
        settings: Settings,
        dispatcher: Dispatcher,
        incarnation: u64,
        platform: AsyncPlatform,
        events: UnboundedSender<LaneEvent>,
    ) -> IngressState {
        IngressState {
            clock: Clock::new(),
            requests: ActiveRequests::new(incarnation),
            body_budget: ByteBudget::new(settings.max_held_bytes),
            spans: SpanExporter::start(settings.otlp_url.as_deref(), &settings.name),
            metrics: RequestMetrics::new(),
            claim_batcher: ClaimBatcher::new(platform.clone()),
            platform,
            key_registry: Mutex::default(),
            tickets: Mutex::new(TicketRegistry::new(&settings.name, incarnation, rand::rng().random())),
            dispatcher: Mutex::new(dispatcher),
            sheet: RwLock::new(None),
            events,
            ticking: TickFlag::default(),
            settings,
        }
    }

    pub(crate) fn now_us(&self) -> u64 {
        self.clock.now_us()
    }

    /// Locks the dispatcher. All lanes need it, so hold the lock for one event only.
    pub(crate) fn dispatcher(&self) -> MutexGuard<'_, Dispatcher> {
        self.dispatcher.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the registry of the callers' keys in use in this daemon.
    pub(crate) fn key_registry(&self) -> MutexGuard<'_, KeyRegistry> {
        self.key_registry.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the registry of the tickets issued by this incarnation.
    pub(crate) fn tickets(&self) -> MutexGuard<'_, TicketRegistry> {
        self.tickets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the sheet in force.
    pub(crate) fn sheet(&self) -> Option<Arc<AcceptedSheet>> {
        self.sheet.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Puts a sheet in force for new requests.
    pub(crate) fn set_sheet(&self, sheet: Arc<AcceptedSheet>) {
        *self.sheet.write().unwrap_or_else(PoisonError::into_inner) = Some(sheet);
    }

    /// Sends an event to the main thread.
    pub(crate) fn emit(&self, event: LaneEvent) {
        // Fails only if the main thread has stopped, which ends the process.
        let _ = self.events.unbounded_send(event);
    }

    /// Passes one event to the dispatcher, by calling `handle_event` with the dispatcher and the current time, and
    /// sends the resulting actions to the requests concerned.
    pub(crate) fn dispatch_event(&self, handle_event: impl FnOnce(&mut Dispatcher, u64) -> Vec<Action>) {
        let (actions, any_queued) = {
            let mut dispatcher = self.dispatcher();
            let actions = handle_event(&mut dispatcher, self.now_us());
            (actions, dispatcher.has_queued_requests())
        };
        for action in actions {
            match action {
                Action::Start { request, attempt, endpoint, deadline_us } => {
                    let command = AttemptCommand { attempt, endpoint, deadline_us };
                    self.requests.send(request, Step::Attempt(command));
                }
                Action::Finish { request, verdict } => {
                    if let Verdict::NotRun { refusal, .. } = verdict {
                        self.metrics.record_refusal(refusal);
                    }
                    self.requests.send(request, Step::Finish(verdict));
                }
            }
        }
        if any_queued && self.ticking.try_start() {
            self.emit(LaneEvent::RequestsQueued);
        }
    }

    /// Whether requests are still queued, so that the main thread must keep ticking the dispatcher. If not, the next
    /// queued request emits [`LaneEvent::RequestsQueued`] again.
    pub(crate) fn keep_ticking(&self) -> bool {
        self.ticking.keep_ticking(|| self.dispatcher().has_queued_requests())
    }
}
