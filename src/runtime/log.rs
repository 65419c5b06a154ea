//! Structured events for the operators, on standard error: text or JSON, and bounded, so that a flood can't
//! fill what keeps the log. What the bound drops is counted in an event of its own.

use crate::notice::Notice;
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
const WINDOW: Duration = Duration::from_secs(1);

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

#[derive(Default)]
struct Window {
    since: Option<Instant>,
    count: u32,
}

impl Window {
    /// Whether one more goes through, and how many did not in the window before.
    fn take(&mut self, now: Instant) -> (bool, u32) {
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
            warn!(lines = dropped, "left out: more than {LINES_MOST} within a second");
        }
        passes
    }
}

/// Gives the core's notices their form.
pub fn write(notice: &Notice) {
    match notice {
        Notice::Listed { revision, kind, member } => {
            let at = member.address.map(tracing::field::display);
            let up_since = member.up_since.map(|t| t.as_secs_f64());
            let (standing, shard) = (member.readiness, member.shard);
            info!(id = member.id, ?standing, shard, at, up_since, revision, ?kind, "list");
        }
        Notice::Inherited { revision, boxes, suspended, drained } => {
            info!(boxes, revision, suspended, drained, "inherited");
        }
        Notice::Suspended(id) => info!(id, "suspended by hand"),
        Notice::Resumed(id) => info!(id, "resumed by hand, cold"),
        Notice::Drained => info!("drained by hand: clients are to go elsewhere"),
        Notice::Activated => info!("activated by hand: clients are taken again"),
        Notice::SoFar { classes, ends, open } => {
            for (class, t) in classes {
                let (taken, served, refused, failed, left) = (t.taken, t.served, t.refused, t.failed, t.left);
                info!(class, taken, served, refused, failed, left, "so far");
            }
            let ends: Vec<String> = ends.iter().map(|(end, count)| format!("{end} {count}")).collect();
            info!(open, attempts = ends.join(", "), "so far");
        }
        Notice::Advised { id, stopped, held, started_ago } => {
            let started_ago_ms = started_ago.map(|ago| ago.as_millis() as u64);
            info!(id, stopped, held, started_ago_ms, "advice on a box");
        }
        Notice::Refused { from, unsound } => warn!(from, unsound, "a peer told what can't be taken"),
        Notice::Decided(line) => debug!("{line}"),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::io::Write;
    use std::sync::Arc;

    #[derive(Clone, Default)]
    struct Kept(Arc<Mutex<Vec<u8>>>);

    impl Write for Kept {
        fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
            self.0.lock().unwrap().extend(bytes);
            Ok(bytes.len())
        }

        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }

    impl Kept {
        fn lines(&self) -> Vec<String> {
            String::from_utf8(self.0.lock().unwrap().clone()).unwrap().lines().map(String::from).collect()
        }
    }

    fn under(form: Form, level: LevelFilter, told: impl FnOnce()) -> Vec<String> {
        let kept = Kept::default();
        let out = kept.clone();
        tracing::subscriber::with_default(subscriber(form, level, move || out.clone()), told);
        kept.lines()
    }

    #[test]
    fn a_flood_is_cut_and_the_next_window_says_by_how_many() {
        let start = Instant::now();
        let mut window = Window::default();
        let taken = (0..80).filter(|i| window.take(start + Duration::from_millis(*i)).0).count();
        assert_eq!(taken, LINES_MOST as usize);
        assert_eq!(window.take(start + WINDOW), (true, 30));
        assert_eq!(window.take(start + 2 * WINDOW), (true, 0), "they are counted once");
        let lines = under(Form::Text, LevelFilter::INFO, || (0..80).for_each(|i| info!(i, "flood")));
        assert_eq!(lines.len(), LINES_MOST as usize);
    }

    #[test]
    fn both_forms_hold_level_message_and_fields_and_the_level_cuts() {
        let say = || {
            info!(id = "s-1", revision = 7, "list");
            debug!("unseen");
        };
        let text = under(Form::Text, LevelFilter::INFO, say);
        assert_eq!(text.len(), 1);
        assert!(text[0].ends_with(r#" INFO list id="s-1" revision=7"#), "{}", text[0]);
        let mut json = under(Form::Json, LevelFilter::DEBUG, say).remove(0).into_bytes();
        let json = simd_json::to_borrowed_value(&mut json).unwrap();
        assert_eq!((json["level"].as_str(), json["message"].as_str()), (Some("INFO"), Some("list")));
        assert_eq!((json["id"].as_str(), json["revision"].as_u64()), (Some("s-1"), Some(7)));
    }

    use simd_json::prelude::*;

    #[test]
    fn a_list_entry_tells_its_fields() {
        let member = crate::members::Member {
            id: "s-2".into(),
            address: Some("127.0.0.1:7".parse().unwrap()),
            zone: "z".into(),
            shard: 3,
            readiness: crate::interface::Readiness::Draining,
            up_since: None,
        };
        let notice = Notice::Listed { revision: 9, kind: crate::interface::ListKind::Full, member };
        let line = under(Form::Text, LevelFilter::INFO, || write(&notice)).remove(0);
        assert!(
            line.ends_with(r#"list id="s-2" standing=Draining shard=3 at=127.0.0.1:7 revision=9 kind=Full"#),
            "{line}"
        );
    }
}
