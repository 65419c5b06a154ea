//! The scripts: what CI passes over (`.ci/known-red`), and what is laid beside sites (`deploy/sites/prepare`).

use std::process::{Command, Output};

const NAMES: &str = "one\na::two\nthree\nfour\nthree_and_more\ntwice\ntwice\n";

fn known_red(name: &str, list: Option<&str>) -> Output {
    let folder =
        std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("red-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let (file, names) = (folder.join("KNOWN-RED.txt"), folder.join("names"));
    let _ = std::fs::remove_file(&file);
    list.inspect(|list| std::fs::write(&file, list).unwrap());
    std::fs::write(&names, NAMES).unwrap();
    let script = concat!(env!("CARGO_MANIFEST_DIR"), "/.ci/known-red");
    Command::new("bash").arg(script).args([file, names]).output().unwrap()
}

/// Just the named tests are passed over, at most three, and each with its cause and issue.
#[test]
fn only_three_named_tests_are_passed_over_and_each_says_why() {
    let skips = |name: &str, list: Option<&str>| {
        let out = known_red(name, list);
        assert!(out.status.success(), "{out:?}");
        (String::from_utf8(out.stdout).unwrap(), String::from_utf8(out.stderr).unwrap())
    };
    assert_eq!(skips("none", None), Default::default());
    assert_eq!(skips("empty", Some("\n  \n")), Default::default());
    let (skipped, said) =
        skips("three", Some("one | it waits too long | 36\n a::two|x|7\n\nthree | y, z | 33"));
    assert_eq!(skipped, "--skip\none\n--skip\na::two\n--skip\nthree\n");
    assert_eq!(said.lines().next(), Some("known red, passed over: one: it waits too long (issue 36)"));
    assert_eq!(said.lines().count(), 3);
    for (name, list, why) in [
        ("fourth", "one|c|1\na::two|c|1\nthree|c|1\nfour|c|1\n", "more than three lines"),
        ("unnamed", "five | c | 1", "0 tests are named 'five'"),
        ("part", "three_and | c | 1", "0 tests are named"),
        ("twice", "twice | c | 1", "2 tests are named"),
        ("no-issue", "one | c", "is not 'test | cause | issue'"),
        ("no-cause", "one | | 1", "is not 'test | cause | issue'"),
    ] {
        let out = known_red(name, Some(list));
        let said = String::from_utf8(out.stderr).unwrap();
        assert!(!out.status.success() && said.contains(why), "{name}: {said}");
    }
}

/// Without a kit nothing is laid, and it says what is missing.
#[test]
fn sites_without_a_kit_are_not_prepared() {
    let script = concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/sites/prepare");
    for (args, why) in [(&[][..], "usage"), (&["/nowhere"], "there is no /nowhere/sites/real.json")] {
        let out = Command::new("bash").arg(script).args(args).output().unwrap();
        let said = String::from_utf8(out.stderr).unwrap();
        assert!(!out.status.success() && said.contains(why), "{said}");
    }
}
