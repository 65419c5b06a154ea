//! What `shaletack-lab slopes` says of arguments that it can't use.

use std::process::Command;

#[test]
fn bad_arguments_are_told_and_a_failure() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("file");
    std::fs::write(&file, "").unwrap();
    let (file, away) = (file.to_str().unwrap(), folder.path().join("none"));
    let away = away.to_str().unwrap();
    for (args, what) in [
        (vec!["slopes"], "--program is required"),
        (vec!["slopes", "--program", away], "is no file"),
        (vec!["slopes", "--program", file, "--only", "sideways"], "'sideways' is none of idle-http"),
        (vec!["slopes", "--program", file, "--only", "list", "--out", file], file),
        (vec!["slopes", "--program", file, "--only", "rate-http"], "Permission denied"),
    ] {
        let mut command = Command::new(env!("CARGO_BIN_EXE_shaletack-lab"));
        let said = command.args(&args).current_dir(&folder).output().unwrap();
        let text = String::from_utf8_lossy(&said.stderr);
        assert!(!said.status.success(), "{args:?}");
        assert!(text.starts_with("shaletack-lab: ") && text.contains(what), "{args:?}: {text}");
    }
}
