//! A new version takes over from a running one, and an older one from a newer: what they hand each other keeps its form.
//!
//! The fixtures were written by the release before the renaming of December 2026. Each is decoded and encoded again: a
//! field or variant renamed without its stored name would lose what the other process knows, or end the hand-over.

use serde_json::Value;
use shaletack::broker::OperatorCommand;
use shaletack::net::handover::HandoverState;

const HANDOVER_STATE: &str = include_str!("fixtures/handover-state.json");
const OPERATOR_COMMANDS: &str = include_str!("fixtures/operator-commands.json");

fn json(text: &str) -> Value {
    serde_json::from_str(text).unwrap()
}

#[test]
fn the_state_handed_over_by_an_earlier_release_is_read_and_written_alike() {
    let state: HandoverState = serde_json::from_str(HANDOVER_STATE).unwrap();
    let written = serde_json::to_string(&state).unwrap();
    assert_eq!(json(&written), json(HANDOVER_STATE));
}

/// Fields that are left out read as defaults, so a lost name would not show in decoding alone: each has to be there.
#[test]
fn the_fixture_holds_every_part_that_a_successor_needs() {
    let state = json(HANDOVER_STATE);
    let legacy = &state["legacy"];
    assert_eq!(legacy["heard"].as_object().unwrap().len(), 5);
    assert_eq!(legacy["learnt"]["volumes"].as_array().unwrap().len(), 3);
    assert!(!legacy["learnt"]["nodes"].as_array().unwrap().is_empty());
    assert!(legacy["starts"]["wall"].is_object() && legacy["now"].is_object());
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
