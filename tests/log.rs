//! The log's forms, its bound, and what a notice looks like in it.

mod common;
use common::kept::Kept;
use shaletack::operator_event::OperatorEvent;
use shaletack::runtime::log::{write, Form, Window, LINES_MOST, WINDOW};
use simd_json::prelude::*;
use std::time::{Duration, Instant};
use tracing::level_filters::LevelFilter;
use tracing::{debug, info};

fn under(form: Form, level: LevelFilter, told: impl FnOnce()) -> Vec<String> {
    let (kept, _guard) = Kept::start(form, level);
    told();
    kept.lines("")
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
    let notice = OperatorEvent::EndpointListed {
        revision: 9,
        kind: shaletack::interface::EndpointListKind::Full,
        record,
    };
    let line = under(Form::Text, LevelFilter::INFO, || write(&notice)).remove(0);
    assert!(
        line.ends_with(
            r#"endpoint listed id="s-2" readiness=Draining shard=3 at=127.0.0.1:7 revision=9 kind=Full"#
        ),
        "{line}"
    );
}
