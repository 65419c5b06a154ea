//! Tests of the command `shaletack-lab slopes` with invalid arguments.

use std::process::Command;

#[test]
fn invalid_arguments_fail_and_are_named() {
    let directory = tempfile::tempdir().unwrap();
    let file = directory.path().join("file");
    std::fs::write(&file, "").unwrap();
    let (file, missing) = (file.to_str().unwrap(), directory.path().join("none"));
    let missing = missing.to_str().unwrap();
    for (args, what) in [
        (vec!["slopes"], "--program is required"),
        (vec!["slopes", "--program", missing], "is not a file"),
        (vec!["slopes", "--program", file, "--only", "sideways"], "'sideways' is not one of idle-http"),
        (vec!["slopes", "--program", file, "--only", "list", "--out", file], file),
        (vec!["slopes", "--program", file, "--only", "rate-http"], "Permission denied"),
    ] {
        let mut command = Command::new(env!("CARGO_BIN_EXE_shaletack-lab"));
        let output = command.args(&args).current_dir(&directory).output().unwrap();
        let text = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success(), "{args:?}");
        assert!(text.starts_with("shaletack-lab: ") && text.contains(what), "{args:?}: {text}");
    }
}
