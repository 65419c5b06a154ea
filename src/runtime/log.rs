//! The structured log for operators, written to standard error as text or JSON.
//!
//! Its rate is limited, so that a flood of events cannot fill the disk or service that stores the log. The
//! number of events that the limit dropped is logged in an event of its own.

use crate::operator_event::OperatorEvent;
use shaletack_core::counters::RequestCounters;
use std::io;
use std::str::FromStr;
use std::sync::Mutex;
use std::time::{Duration, Instant};
use tracing::level_filters::LevelFilter;
use tracing::{debug, info, warn, Event, Subscriber};
use tracing_subscriber::fmt::{self, MakeWriter};
use tracing_subscriber::layer::{Context, Layer, SubscriberExt};
use tracing_subscriber::registry::LookupSpan;

/// The maximum number of events that are written within one [`WINDOW`].
pub const MAX_EVENTS: u32 = 50;
/// The time window over which events are counted for the rate limit.
pub const WINDOW: Duration = Duration::from_secs(1);

/// The output format of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// One line of text for each event: time, level, message, fields.
    Text,
    /// One JSON object on a line for each event.
    Json,
}

impl FromStr for LogFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "text" => Ok(LogFormat::Text),
            "json" => Ok(LogFormat::Json),
            other => Err(format!("unknown log format '{other}': expected text or json")),
        }
    }
}

/// Sends the events of the whole process to standard error. If standard error is closed, events are lost and
/// nothing else happens.
pub fn init(format: LogFormat, level: LevelFilter) {
    // Fails only if a subscriber is set already, which then stays in use.
    let _ = tracing::subscriber::set_global_default(subscriber(format, level, io::stderr));
}

/// Returns the subscriber that [`init`] sets up, writing to `out`.
pub fn subscriber(
    format: LogFormat,
    level: LevelFilter,
    out: impl for<'a> MakeWriter<'a> + Send + Sync + 'static,
) -> impl Subscriber + Send + Sync {
    // The library would report a failed write to standard error, and panic if that is closed.
    let lines = fmt::layer().with_writer(out).with_target(false).with_ansi(false).log_internal_errors(false);
    let lines: Box<dyn Layer<_> + Send + Sync> = match format {
        LogFormat::Text => lines.boxed(),
        LogFormat::Json => lines.json().flatten_event(true).with_current_span(false).boxed(),
    };
    tracing_subscriber::registry().with(lines).with(level).with(RateLimit::default())
}

/// Lets at most [`MAX_EVENTS`] events pass in each [`WINDOW`].
#[derive(Default)]
struct RateLimit(Mutex<EventWindow>);

/// Counts the events in the current time window.
#[derive(Default)]
pub struct EventWindow {
    since: Option<Instant>,
    count: u32,
}

impl EventWindow {
    /// Counts one more event. Returns whether it may be written, and how many events were dropped in the
    /// previous window if this event begins a new one.
    pub fn admit(&mut self, now: Instant) -> (bool, u32) {
        if self.since.is_some_and(|since| now < since + WINDOW) {
            self.count += 1;
            return (self.count <= MAX_EVENTS, 0);
        }
        let dropped = self.count.saturating_sub(MAX_EVENTS);
        *self = EventWindow { since: Some(now), count: 1 };
        (true, dropped)
    }
}

impl<S: Subscriber + for<'a> LookupSpan<'a>> Layer<S> for RateLimit {
    fn event_enabled(&self, _: &Event<'_>, _: Context<'_, S>) -> bool {
        let admission = self.0.lock().map(|mut window| window.admit(Instant::now()));
        // A mutex that was poisoned by a panic must not silence the log.
        let (is_admitted, dropped) = admission.unwrap_or((true, 0));
        if dropped > 0 {
            warn!(lines = dropped, "log lines dropped: more than {MAX_EVENTS} within a second");
        }
        is_admitted
    }
}

/// Writes an event of the core to the log.
pub fn write(event: &OperatorEvent) {
    match event {
        OperatorEvent::EndpointListed { revision, kind, record } => {
            let at = record.address.map(tracing::field::display);
            let up_since = record.up_since.map(|t| t.as_secs_f64());
            let (readiness, shard) = (record.readiness, record.shard);
            info!(id = record.id, ?readiness, shard, at, up_since, revision, ?kind, "endpoint listed");
        }
        OperatorEvent::EndpointChangesNotLogged { revision, count } => {
            info!(more = count, revision, "more endpoints listed, not logged one by one")
        }
        OperatorEvent::HandoverRestored { revision, endpoints, suspended, drained } => {
            info!(endpoints, revision, suspended, drained, "hand-over state restored");
        }
        OperatorEvent::EndpointSuspended(id) => info!(id, "endpoint suspended by an operator"),
        OperatorEvent::EndpointResumed(id) => info!(id, "endpoint resumed by an operator, in slow start"),
        OperatorEvent::ClientsDrained => {
            info!("initiator drained by an operator: reported as not ready, client connections close")
        }
        OperatorEvent::ClientsAccepted => {
            info!("initiator activated by an operator: clients are accepted again")
        }
        OperatorEvent::Counters { classes, attempt_outcomes, open_requests } => {
            for counters in classes {
                let (class, requests) = (&counters.class, &counters.requests);
                let RequestCounters { taken, served, rejected, failed, client_left, .. } = *requests;
                info!(class, taken, served, rejected, failed, client_left, "request counters");
            }
            let attempts: Vec<String> =
                attempt_outcomes.iter().map(|(outcome, count)| format!("{outcome} {count}")).collect();
            info!(open_requests, attempts = attempts.join(", "), "attempt outcomes");
        }
        OperatorEvent::AdviceChanged { id, stopped, held, started_ago } => {
            let started_ago_ms = started_ago.map(|ago| ago.as_millis() as u64);
            info!(id, stopped, held, started_ago_ms, "advice on an endpoint");
        }
        OperatorEvent::PeerReportsRejected { from, invalid } => {
            warn!(from, invalid, "a peer sent invalid reports")
        }
        OperatorEvent::SchedulerMessage(line) => debug!("{line}"),
    }
}
