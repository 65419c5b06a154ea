//! Structured events for the operators, on standard error: text or JSON, and bounded, so that a flood can't
//! fill what keeps the log. What the bound drops is counted in an event of its own.

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

/// Events written within one second.
pub const LINES_MOST: u32 = 50;
/// The span over which they are counted.
pub const WINDOW: Duration = Duration::from_secs(1);

/// The form of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// A line for people: time, level, message, fields.
    Text,
    /// One JSON object a line.
    Json,
}

impl FromStr for Form {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "text" => Ok(Form::Text),
            "json" => Ok(Form::Json),
            other => Err(format!("'{other}' is not a form of the log: text or json")),
        }
    }
}

/// From now on events of the whole process go to standard error; where that is closed they are lost, and no
/// more.
pub fn start(form: Form, level: LevelFilter) {
    // One is set already only where a process starts twice, and then that one serves.
    let _ = tracing::subscriber::set_global_default(subscriber(form, level, io::stderr));
}

/// What [`start`] sets up, to any writer.
pub fn subscriber(
    form: Form,
    level: LevelFilter,
    out: impl for<'a> MakeWriter<'a> + Send + Sync + 'static,
) -> impl Subscriber + Send + Sync {
    // A complaint about a closed standard error would itself go there, and end the process.
    let lines = fmt::layer().with_writer(out).with_target(false).with_ansi(false).log_internal_errors(false);
    let lines: Box<dyn Layer<_> + Send + Sync> = match form {
        Form::Text => lines.boxed(),
        Form::Json => lines.json().flatten_event(true).with_current_span(false).boxed(),
    };
    tracing_subscriber::registry().with(lines).with(level).with(Bound::default())
}

/// Lets so many events through in a second.
#[derive(Default)]
struct Bound(Mutex<Window>);

/// How many events came in the present second.
#[derive(Default)]
pub struct Window {
    since: Option<Instant>,
    count: u32,
}

impl Window {
    /// Whether one more goes through, and how many did not in the window before.
    pub fn take(&mut self, now: Instant) -> (bool, u32) {
        if self.since.is_some_and(|since| now < since + WINDOW) {
            self.count += 1;
            return (self.count <= LINES_MOST, 0);
        }
        let dropped = self.count.saturating_sub(LINES_MOST);
        *self = Window { since: Some(now), count: 1 };
        (true, dropped)
    }
}

impl<S: Subscriber + for<'a> LookupSpan<'a>> Layer<S> for Bound {
    fn event_enabled(&self, _: &Event<'_>, _: Context<'_, S>) -> bool {
        let taken = self.0.lock().map(|mut window| window.take(Instant::now()));
        // A lock that a panic spoilt must not silence the log.
        let (passes, dropped) = taken.unwrap_or((true, 0));
        if dropped > 0 {
            warn!(lines = dropped, "log lines dropped: more than {LINES_MOST} within a second");
        }
        passes
    }
}

/// Writes an event of the core as a line of the log.
pub fn write(notice: &OperatorEvent) {
    match notice {
        OperatorEvent::EndpointListed { revision, kind, record } => {
            let at = record.address.map(tracing::field::display);
            let up_since = record.up_since.map(|t| t.as_secs_f64());
            let (readiness, shard) = (record.readiness, record.shard);
            info!(id = record.id, ?readiness, shard, at, up_since, revision, ?kind, "endpoint listed");
        }
        OperatorEvent::EndpointChangesNotLogged { revision, count } => {
            info!(more = count, revision, "more endpoints listed")
        }
        OperatorEvent::HandoverRestored { revision, endpoints, suspended, drained } => {
            info!(endpoints, revision, suspended, drained, "hand-over state restored");
        }
        OperatorEvent::EndpointSuspended(id) => info!(id, "endpoint suspended by an operator"),
        OperatorEvent::EndpointResumed(id) => info!(id, "endpoint resumed by an operator, in slow start"),
        OperatorEvent::ClientsDrained => info!("drained by an operator: clients are to go elsewhere"),
        OperatorEvent::ClientsAccepted => info!("activated by an operator: clients are accepted again"),
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
