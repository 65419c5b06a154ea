//! Tests of the command `shaletack-lab hollow` with invalid arguments.

use std::process::Command;

#[test]
fn invalid_arguments_fail_with_one_line() {
    let program = env!("CARGO_BIN_EXE_shaletack-lab");
    let file = format!("{program}/below-a-file");
    for (args, why) in [
        (&["--initiators", "0"][..], "--initiators 0: must be from 1 to 1000"),
        (&["--initiators", "1001"], "--initiators 1001"),
        (&["--processes", "8"], "--processes 8: must be from 9 to 20"),
        (&["--processes", "21"], "--processes 21"),
        (&["--seconds", "0"], "--seconds 0: must be from 1 to 600"),
        (&["--volumes", "1001"], "--volumes 1001: must be from 0 to 1000"),
        (&["--program", &file], "below-a-file' is not a file"),
        (&["--out", &file], "below-a-file"),
        (&["--out", "/proc"], "/proc/hollow-100-9.csv"),
    ] {
        let out = Command::new(program).args(["hollow", "--program", program]).args(args).output().unwrap();
        let stderr = String::from_utf8(out.stderr).unwrap();
        assert!(!out.status.success() && stderr.contains(why), "{args:?}: {stderr}");
        assert_eq!(stderr.lines().count(), 1, "{stderr}");
    }
}
