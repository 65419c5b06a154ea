//! This release reads a write-back log that the release of 2 December 2026 left behind when it was killed.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// The operator's file that the log was written with. Its exports and extents are part of the log's identity.
const OPERATOR: &str = r#"{"box_export":"on-the-box","listen":"127.0.0.1:0","unit_bytes":4096,"large_from":16384,
    "teams":[{"name":"t","contracts":[{"plan":"p","reserve":5}]}],
    "exports":[{"name":"serra","team":"t","plan":"p","volume":"a1","size":65536,"write_back":true,
        "extents":[{"length":16384,"shard":1,"at":8192},{"length":49152,"shard":0}]}],
    "write_back":{"folder":"FOLDER","most_mib":64,"attempt_lives_ms":300,"unsettled":"ask"},
    "boxes":[{"id":"s-1","host_port":"127.0.0.1:9","cell":0,"phase":"up"},
        {"id":"s-2","host_port":"127.0.0.1:9","cell":1,"phase":"up"}],
    "settings":{"balancers":1,"step":1000000,"lanes":[
            {"name":"leitura","aim":400000000,"deadline":1500000000,"idempotency":"idempotent","value":1},
            {"name":"gravacao","aim":400000000,"deadline":1500000000,"idempotency":"at_most_once","value":1},
            {"name":"exportacao","aim":400000000,"deadline":1500000000,"idempotency":"idempotent","value":1}],
        "limits":{"connect-timeout":200000000,"try-limit":3,"cancelling":true},
        "domain":{"units-top":8,"unit-mean":2}}}"#;

const EXPECTED_LIST: &str = "1 export=serra from=512 length=512 shard=1 at=8704 may_have_run=true\n\
    2 export=serra from=16896 length=512 shard=0 at=512 may_have_run=true\n";

/// Copies the stored log, and returns the path of an operator's file that refers to the copy.
fn copy_of_stored_log(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("stored-log-{name}"));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    let stored = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/write_back_log");
    for entry in std::fs::read_dir(stored).unwrap() {
        let entry = entry.unwrap();
        std::fs::copy(entry.path(), folder.join(entry.file_name())).unwrap();
    }
    let operator = folder.with_extension("json");
    std::fs::write(&operator, OPERATOR.replace("FOLDER", folder.to_str().unwrap())).unwrap();
    operator
}

fn run_writeback(arguments: &[&str], operator: &Path) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_shaletack"));
    command.arg("writeback").args(arguments).arg("--operator").arg(operator).output().unwrap()
}

#[test]
fn the_unsettled_writes_of_a_stored_log_are_listed() {
    let operator = copy_of_stored_log("list");
    let output = run_writeback(&["list"], &operator);
    assert_eq!(String::from_utf8(output.stdout).unwrap(), EXPECTED_LIST);
    assert!(output.status.success());
}

#[test]
fn a_write_of_a_stored_log_is_settled_by_an_operator() {
    let operator = copy_of_stored_log("settle");
    let output = run_writeback(&["settle", "1", "drop"], &operator);
    assert!(output.status.success(), "{output:?}");
    let output = run_writeback(&["list"], &operator);
    assert_eq!(
        String::from_utf8(output.stdout).unwrap(),
        EXPECTED_LIST.split_inclusive('\n').nth(1).unwrap()
    );
}

/// The identity of a log covers its exports and the location of their bytes: replayed with other extents, the
/// log would write its data to the wrong place.
#[test]
fn a_stored_log_is_rejected_for_an_export_of_other_extents() {
    let operator = copy_of_stored_log("other");
    let text = std::fs::read_to_string(&operator).unwrap();
    std::fs::write(&operator, text.replace(r#""at":8192"#, r#""at":4096"#)).unwrap();
    let output = run_writeback(&["list"], &operator);
    assert!(!output.status.success());
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert!(stderr.contains("the log was made for other exports or boxes"), "{stderr}");
}
