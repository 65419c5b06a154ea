//! Tests of the log's formats, its rate limit, and the lines that events of the core produce.

mod common;
use common::captured_log::CapturedLog;
use shaletack::operator_event::OperatorEvent;
use shaletack::runtime::log::{write, EventWindow, LogFormat, MAX_EVENTS, WINDOW};
use simd_json::prelude::*;
use std::time::{Duration, Instant};
use tracing::level_filters::LevelFilter;
use tracing::{debug, info};

/// Returns the lines that `emit` logs.
fn logged_lines(format: LogFormat, level: LevelFilter, emit: impl FnOnce()) -> Vec<String> {
    let (kept, _guard) = CapturedLog::start(format, level);
    emit();
    kept.lines("")
}

#[test]
fn a_flood_is_limited_and_the_next_window_reports_the_dropped_events() {
    let start = Instant::now();
    let mut window = EventWindow::default();
    let admitted = (0..80).filter(|i| window.admit(start + Duration::from_millis(*i)).0).count();
    assert_eq!(admitted, MAX_EVENTS as usize);
    assert_eq!(window.admit(start + WINDOW), (true, 30));
    assert_eq!(window.admit(start + 2 * WINDOW), (true, 0), "dropped events are reported once");
    let lines = logged_lines(LogFormat::Text, LevelFilter::INFO, || (0..80).for_each(|i| info!(i, "flood")));
    assert_eq!(lines.len(), MAX_EVENTS as usize);
}

#[test]
fn both_formats_contain_level_message_and_fields_and_the_level_filters() {
    let emit = || {
        info!(id = "s-1", revision = 7, "list");
        debug!("unseen");
    };
    let text = logged_lines(LogFormat::Text, LevelFilter::INFO, emit);
    assert_eq!(text.len(), 1);
    assert!(text[0].ends_with(r#" INFO list id="s-1" revision=7"#), "{}", text[0]);
    let mut json = logged_lines(LogFormat::Json, LevelFilter::DEBUG, emit).remove(0).into_bytes();
    let json = simd_json::to_borrowed_value(&mut json).unwrap();
    assert_eq!((json["level"].as_str(), json["message"].as_str()), (Some("INFO"), Some("list")));
    assert_eq!((json["id"].as_str(), json["revision"].as_u64()), (Some("s-1"), Some(7)));
}

#[test]
fn a_list_entry_logs_its_fields() {
    let record = shaletack::endpoint_list::EndpointRecord {
        id: "s-2".into(),
        address: Some("127.0.0.1:7".parse().unwrap()),
        zone: "z".into(),
        shard: 3,
        readiness: shaletack::interface::Readiness::Draining,
        up_since: None,
    };
    let event = OperatorEvent::EndpointListed {
        revision: 9,
        kind: shaletack::interface::EndpointListKind::Full,
        record,
    };
    let line = logged_lines(LogFormat::Text, LevelFilter::INFO, || write(&event)).remove(0);
    assert!(
        line.ends_with(
            r#"endpoint listed id="s-2" readiness=Draining shard=3 at=127.0.0.1:7 revision=9 kind=Full"#
        ),
        "{line}"
    );
}
