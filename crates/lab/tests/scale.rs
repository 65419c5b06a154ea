//! `shaletack-lab scale` from outside: what it refuses, and a small fleet of fixed seeds.

use std::path::Path;
use std::process::{Command, Output};

fn scale(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_shaletack-lab")).arg("scale").args(args).output().unwrap()
}

/// One line on standard error that has these words, nothing on standard output, and a non-zero exit.
fn is_refused(args: &[&str], words: &[&str]) {
    let done = scale(args);
    let said = String::from_utf8(done.stderr).unwrap();
    assert!(!done.status.success(), "{args:?}: {said}");
    assert!(done.stdout.is_empty(), "{args:?}");
    assert_eq!(said.lines().count(), 1, "{args:?}: {said}");
    words.iter().for_each(|word| assert!(said.contains(word), "{args:?}: {said}"));
}

#[test]
fn arguments_that_make_no_fleet_are_one_clear_line() {
    is_refused(&["--initiators", "0"], &["--initiators 0", "from 2"]);
    is_refused(&["--initiators", "1"], &["--initiators 1"]);
    is_refused(&["--initiators", "many"], &["--initiators", "'many'"]);
    is_refused(&["--initiators", "-3"], &["'-3'"]);
    is_refused(&["--initiators", "8", "--zones", "9"], &["--zones 9", "8"]);
    is_refused(&["--zones", "2", "--regions", "3"], &["--regions 3", "2"]);
    is_refused(&["--boxes", "0"], &["--boxes 0"]);
    is_refused(&["--volumes", "0"], &["--volumes 0"]);
    is_refused(&["--seeds", "0"], &["--seeds 0"]);
    is_refused(&["--sizes", "30,x"], &["'x'"]);
    is_refused(&["--sizes", "1"], &["--sizes 1"]);
    is_refused(&["--plans", "guess"], &["'guess'"]);
    is_refused(&["--arms", "between"], &["'between'"]);
    is_refused(&["--machines", "3"], &["--machines"]);
    is_refused(&["--initiators"], &["--initiators"]);
    is_refused(&["more"], &["more"]);
}

#[test]
fn a_folder_that_can_not_be_written_is_one_clear_line() {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("file");
    std::fs::write(&file, "").unwrap();
    for out in [file.as_path(), &file.join("below"), Path::new("/proc/nowhere")] {
        let out = out.to_str().unwrap();
        is_refused(&["--initiators", "4", "--zones", "2", "--regions", "1", "--out", out], &[out]);
    }
}

fn small(out: &Path, more: &[&str]) -> Output {
    let out = out.to_str().unwrap();
    let args = ["--arms", "after", "--plans", "busy", "--boxes", "12", "--volumes", "12", "--seeds", "1"];
    scale(&[&args[..], &["--out", out], more].concat())
}

/// What one initiator spends on control with 300 of them, against 30: bytes on the wire and processor time of
/// the reducers, by its thread's clock, so that a busy machine only makes it last longer.
#[test]
fn neither_bytes_nor_processor_time_of_an_initiator_grow_with_the_fleet() {
    let dir = tempfile::tempdir().unwrap();
    let done = small(dir.path(), &["--sizes", "30", "--initiators", "300", "--bend", "2"]);
    let (said, why) = (String::from_utf8(done.stdout).unwrap(), String::from_utf8(done.stderr).unwrap());
    assert!(done.status.success(), "{said}{why}");
    let begins = ["spread: ", "cost: ", "sums: ", "slope: ", "faults: "];
    let lines: Vec<&str> = said.lines().collect();
    assert_eq!(lines.len(), 5, "{said}");
    lines.iter().zip(begins).for_each(|(line, begin)| assert!(line.starts_with(begin), "{said}"));
    let table = std::fs::read_to_string(dir.path().join("scale-cost.csv")).unwrap();
    let rows: Vec<&str> = table.lines().filter(|line| line.starts_with("after,busy,")).collect();
    assert_eq!(rows.len(), 2, "{table}");
}

#[test]
fn a_slope_that_bends_up_fails_and_is_named() {
    let dir = tempfile::tempdir().unwrap();
    let small = small(dir.path(), &["--sizes", "9", "--initiators", "18", "--bend", "0.001"]);
    let said = String::from_utf8(small.stderr).unwrap();
    assert!(!small.status.success() && said.contains("bytes at 18 is"), "{said}");
}
