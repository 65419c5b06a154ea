//! `shaletack-lab hollow` from outside: what it can't do it says in one line.

use std::process::Command;

#[test]
fn bad_arguments_are_one_clear_line_and_a_failure() {
    let program = env!("CARGO_BIN_EXE_shaletack-lab");
    let file = format!("{program}/below-a-file");
    for (args, why) in [
        (&["--initiators", "0"][..], "--initiators 0, where 1 to 1000 can be had"),
        (&["--initiators", "1001"], "--initiators 1001"),
        (&["--processes", "8"], "--processes 8, where 9 to 20 can be had"),
        (&["--processes", "21"], "--processes 21"),
        (&["--seconds", "0"], "--seconds 0, where 1 to 600 can be had"),
        (&["--volumes", "1001"], "--volumes 1001, where 0 to 1000 can be had"),
        (&["--program", &file], "below-a-file' is no file"),
        (&["--out", &file], "below-a-file"),
        (&["--out", "/proc"], "/proc/hollow-100-9.csv"),
    ] {
        let out = Command::new(program).args(["hollow", "--program", program]).args(args).output().unwrap();
        let said = String::from_utf8(out.stderr).unwrap();
        assert!(!out.status.success() && said.contains(why), "{args:?}: {said}");
        assert_eq!(said.lines().count(), 1, "{said}");
    }
}
