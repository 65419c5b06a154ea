//! Tests of the command `shaletack-lab scale`: invalid arguments, and a small fleet with a fixed seed.

use std::path::Path;
use std::process::{Command, Output};

fn scale(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_shaletack-lab")).arg("scale").args(args).output().unwrap()
}

/// Asserts that the command fails with one line on standard error that contains `words`, and prints nothing
/// on standard output.
fn assert_rejected(args: &[&str], words: &[&str]) {
    let done = scale(args);
    let stderr = String::from_utf8(done.stderr).unwrap();
    assert!(!done.status.success(), "{args:?}: {stderr}");
    assert!(done.stdout.is_empty(), "{args:?}");
    assert_eq!(stderr.lines().count(), 1, "{args:?}: {stderr}");
    words.iter().for_each(|word| assert!(stderr.contains(word), "{args:?}: {stderr}"));
}

#[test]
fn invalid_arguments_fail_with_one_line() {
    assert_rejected(&["--initiators", "0"], &["--initiators 0", "from 2"]);
    assert_rejected(&["--initiators", "1"], &["--initiators 1"]);
    assert_rejected(&["--initiators", "many"], &["--initiators", "'many'"]);
    assert_rejected(&["--initiators", "-3"], &["'-3'"]);
    assert_rejected(&["--initiators", "8", "--zones", "9"], &["--zones 9", "8"]);
    assert_rejected(&["--zones", "2", "--regions", "3"], &["--regions 3", "2"]);
    assert_rejected(&["--boxes", "0"], &["--boxes 0"]);
    assert_rejected(&["--volumes", "0"], &["--volumes 0"]);
    assert_rejected(&["--seeds", "0"], &["--seeds 0"]);
    assert_rejected(&["--sizes", "30,x"], &["'x'"]);
    assert_rejected(&["--sizes", "1"], &["--sizes 1"]);
    assert_rejected(&["--plans", "guess"], &["'guess'"]);
    assert_rejected(&["--arms", "between"], &["'between'"]);
    assert_rejected(&["--machines", "3"], &["--machines"]);
    assert_rejected(&["--initiators"], &["--initiators"]);
    assert_rejected(&["more"], &["more"]);
}

#[test]
fn an_unwritable_output_directory_fails_with_one_line() {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("file");
    std::fs::write(&file, "").unwrap();
    for out in [file.as_path(), &file.join("below"), Path::new("/proc/nowhere")] {
        let out = out.to_str().unwrap();
        assert_rejected(&["--initiators", "4", "--zones", "2", "--regions", "1", "--out", out], &[out]);
    }
}

/// Runs the `busy` plan of a fleet with 12 endpoints, 12 volumes and one seed.
fn run_small(out: &Path, more: &[&str]) -> Output {
    let out = out.to_str().unwrap();
    let args = ["--arms", "after", "--plans", "busy", "--boxes", "12", "--volumes", "12", "--seeds", "1"];
    scale(&[&args[..], &["--out", out], more].concat())
}

/// Compares the control cost of one initiator in a fleet of 300 with that in a fleet of 30: bytes on the wire
/// and processor time of the reducers. The processor time is that of the thread, so that other load on the
/// machine only makes the test run longer.
#[test]
fn neither_bytes_nor_processor_time_of_an_initiator_grow_with_the_fleet() {
    let dir = tempfile::tempdir().unwrap();
    let done = run_small(dir.path(), &["--sizes", "30", "--initiators", "300", "--bend", "2"]);
    let (stdout, stderr) = (String::from_utf8(done.stdout).unwrap(), String::from_utf8(done.stderr).unwrap());
    assert!(done.status.success(), "{stdout}{stderr}");
    let begins = ["spread: ", "cost: ", "sums: ", "slope: ", "faults: "];
    let lines: Vec<&str> = stdout.lines().collect();
    assert_eq!(lines.len(), 5, "{stdout}");
    lines.iter().zip(begins).for_each(|(line, begin)| assert!(line.starts_with(begin), "{stdout}"));
    let table = std::fs::read_to_string(dir.path().join("scale-cost.csv")).unwrap();
    let rows: Vec<&str> = table.lines().filter(|line| line.starts_with("after,busy,")).collect();
    assert_eq!(rows.len(), 2, "{table}");
}

#[test]
fn growth_above_the_limit_fails_and_names_the_measure() {
    let dir = tempfile::tempdir().unwrap();
    let output = run_small(dir.path(), &["--sizes", "9", "--initiators", "18", "--bend", "0.001"]);
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert!(!output.status.success() && stderr.contains("bytes at 18 is"), "{stderr}");
}
