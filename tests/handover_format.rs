//! The format of the hand-over state stays compatible: a new version may take over from an older one, and
//! an older one from a newer.
//!
//! The fixtures were written by the release before the renaming of December 2026. Each is decoded and
//! encoded again. A field or variant that is renamed without a `serde` attribute for its stored name would
//! lose the other process's state, or make the hand-over fail.

use serde_json::Value;
use shaletack::broker::OperatorCommand;
use shaletack::net::handover::HandoverState;

const HANDOVER_STATE: &str = include_str!("fixtures/handover-state.json");
const OPERATOR_COMMANDS: &str = include_str!("fixtures/operator-commands.json");

fn parse_json(text: &str) -> Value {
    serde_json::from_str(text).unwrap()
}

#[test]
fn the_state_of_an_earlier_release_is_decoded_and_encoded_unchanged() {
    let state: HandoverState = serde_json::from_str(HANDOVER_STATE).unwrap();
    let written = serde_json::to_string(&state).unwrap();
    assert_eq!(parse_json(&written), parse_json(HANDOVER_STATE));
}

/// Missing fields are decoded as defaults, so decoding alone would not detect a lost name. The fixture must
/// contain each field.
#[test]
fn the_fixture_contains_every_part_that_a_successor_needs() {
    let state = parse_json(HANDOVER_STATE);
    let core = &state["legacy"];
    assert_eq!(core["heard"].as_object().unwrap().len(), 5);
    assert_eq!(core["learnt"]["volumes"].as_array().unwrap().len(), 3);
    assert!(!core["learnt"]["nodes"].as_array().unwrap().is_empty());
    assert!(core["starts"]["wall"].is_object() && core["now"].is_object());
    assert_eq!(state["traces"].as_array().unwrap().len(), 2);
}

#[test]
fn operator_commands_between_two_processes_keep_their_names() {
    let commands: Vec<OperatorCommand> = serde_json::from_str(OPERATOR_COMMANDS).unwrap();
    let endpoint = String::from("s-1");
    assert_eq!(
        commands,
        [
            OperatorCommand::Suspend(endpoint.clone()),
            OperatorCommand::Resume(endpoint),
            OperatorCommand::Drain,
            OperatorCommand::Activate
        ]
    );
    assert_eq!(serde_json::to_string(&commands).unwrap(), OPERATOR_COMMANDS);
}
