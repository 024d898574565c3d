//! State of callers' requests that the threads serving them share.

use std::fmt;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};

use futures::channel::mpsc::UnboundedSender;
use futures::channel::oneshot;
use rand::Rng;

use crate::buffered_body::ByteBudget;
use crate::clock::Clock;
use crate::dispatch::{Action, Dispatcher, Verdict};
use crate::entry::{AttemptOrder, RequestTable, Step};
use crate::fleet::Departure;
use crate::keyed::book::KeyBook;
use crate::keyed::claimer::Claimer;
use crate::keyed::claims::Closing;
use crate::keyed::tickets::TicketBook;
use crate::peer_message::{Forward, Forwarded};
use crate::platform_pool::PlatformPool;
use crate::request_metrics::RequestMetrics;
use crate::settings::Settings;
use crate::sheet_state::AcceptedSheet;
use crate::trace::SpanExporter;

/// What the threads that serve callers tell the daemon's main thread.
#[derive(Debug)]
pub(crate) enum Report {
    /// An endpoint said that it leaves.
    Departed(Departure),
    /// Requests began to wait in a queue.
    Waiting,
    /// A claim has ended.
    Close {
        closing: Closing,
        /// Version of the claim's row, if it is known.
        row_version: Option<u64>,
    },
    /// A request must go to the daemon that issued its ticket.
    Forward(ForwardOrder),
}

/// A request to hand to another daemon.
#[derive(Debug)]
pub(crate) struct ForwardOrder {
    pub(crate) daemon: Arc<str>,
    pub(crate) incarnation: u64,
    pub(crate) deadline_us: u64,
    pub(crate) message: Forward,
    /// Gets `None` if that daemon gave no answer.
    pub(crate) reply: oneshot::Sender<Option<Forwarded>>,
}

/// See the module.
pub(crate) struct RequestPath {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) requests: RequestTable,
    /// Memory for bodies of requests and answers.
    pub(crate) held_bytes: ByteBudget,
    pub(crate) spans: SpanExporter,
    pub(crate) metrics: RequestMetrics,
    pub(crate) platform: PlatformPool,
    pub(crate) claimer: Claimer,
    key_book: Mutex<KeyBook>,
    tickets: Mutex<TicketBook>,
    dispatcher: Mutex<Dispatcher>,
    sheet: RwLock<Option<Arc<AcceptedSheet>>>,
    reports: UnboundedSender<Report>,
    waiting_reported: AtomicBool,
}

impl fmt::Debug for RequestPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("RequestPath")
    }
}

impl RequestPath {
    pub(crate) fn new(
        settings: Settings,
        dispatcher: Dispatcher,
        incarnation: u64,
        platform: PlatformPool,
        reports: UnboundedSender<Report>,
    ) -> RequestPath {
        RequestPath {
            clock: Clock::new(),
            requests: RequestTable::new(incarnation),
            held_bytes: ByteBudget::new(settings.max_held_bytes),
            spans: SpanExporter::start(settings.otlp_url.as_deref(), &settings.name),
            metrics: RequestMetrics::new(),
            claimer: Claimer::new(platform.clone()),
            platform,
            key_book: Mutex::default(),
            tickets: Mutex::new(TicketBook::new(&settings.name, incarnation, rand::rng().random())),
            dispatcher: Mutex::new(dispatcher),
            sheet: RwLock::new(None),
            reports,
            waiting_reported: AtomicBool::new(false),
            settings,
        }
    }

    pub(crate) fn now_us(&self) -> u64 {
        self.clock.now_us()
    }

    /// The decisions; hold them for one event only.
    pub(crate) fn dispatcher(&self) -> MutexGuard<'_, Dispatcher> {
        self.dispatcher.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Callers' keys in use in this daemon.
    pub(crate) fn key_book(&self) -> MutexGuard<'_, KeyBook> {
        self.key_book.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tickets of this run.
    pub(crate) fn tickets(&self) -> MutexGuard<'_, TicketBook> {
        self.tickets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The sheet in force.
    pub(crate) fn sheet(&self) -> Option<Arc<AcceptedSheet>> {
        self.sheet.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Puts a sheet in force for new requests.
    pub(crate) fn set_sheet(&self, sheet: Arc<AcceptedSheet>) {
        *self.sheet.write().unwrap_or_else(PoisonError::into_inner) = Some(sheet);
    }

    /// Tells the main thread.
    pub(crate) fn report(&self, report: Report) {
        // Fails only when the main thread has ended, and the process with it.
        let _ = self.reports.unbounded_send(report);
    }

    /// Lets the dispatcher decide on one event, and hands its instructions to the requests that they are for.
    pub(crate) fn decide(&self, event: impl FnOnce(&mut Dispatcher, u64) -> Vec<Action>) {
        let (actions, waiting) = {
            let mut dispatcher = self.dispatcher();
            let actions = event(&mut dispatcher, self.now_us());
            (actions, dispatcher.has_waiting())
        };
        for action in actions {
            match action {
                Action::Start { request, attempt, endpoint, deadline_us } => {
                    let order = AttemptOrder { attempt, endpoint, deadline_us };
                    self.requests.send(request, Step::Attempt(order));
                }
                Action::Finish { request, verdict } => {
                    if let Verdict::NotRun { refusal, .. } = verdict {
                        self.metrics.record_refusal(refusal);
                    }
                    self.requests.send(request, Step::Finish(verdict));
                }
            }
        }
        if waiting && !self.waiting_reported.swap(true, Ordering::AcqRel) {
            self.report(Report::Waiting);
        }
    }

    /// Whether requests still wait; if not, the next one that does is reported anew.
    pub(crate) fn still_waiting(&self) -> bool {
        self.waiting_reported.store(false, Ordering::Release);
        let waiting = self.dispatcher().has_waiting();
        if waiting {
            self.waiting_reported.store(true, Ordering::Release);
        }
        waiting
    }
}
