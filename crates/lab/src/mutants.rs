//! Seeded faults of gossip and aggregation, put into a copy one at a time: a test has to find each.

use serde::Deserialize;
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::mpsc::{channel, RecvTimeoutError};
use std::time::{Duration, Instant};

const TABLE: &str = "crates/gossip/tests/mutants.toml";
const SUITES: [&str; 2] = ["gossip", "aggregation"];
/// So many mutants are in the table at least.
const LEAST: usize = 15;
/// Tests that run for so long hang; the unchanged crate's may take half of it.
const HANGS: Duration = Duration::from_secs(180);
/// The copy's workspace. Its tests are in virtual time: less optimisation changes no verdict.
const WORKSPACE: &str = "[workspace]\nmembers = [\"crates/*\"]\nresolver = \"2\"\n[workspace.lints]\n\
    [profile.dev]\ndebug = false\n[profile.dev.package.shaletack-gossip]\nopt-level = 1\n";

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Mutant {
    name: String,
    file: String,
    text: String,
    becomes: String,
    rule: String,
}

#[derive(Deserialize)]
struct Table {
    mutant: Vec<Mutant>,
}

fn wrong<E: std::fmt::Display>(what: &Path) -> impl Fn(E) -> String + '_ {
    move |why| format!("{}: {why}", what.display())
}

fn read(path: &Path) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(wrong(path))
}

fn table() -> Result<Vec<Mutant>, String> {
    let Table { mutant: mutants } =
        toml::from_str(&read(Path::new(TABLE))?).map_err(wrong(Path::new(TABLE)))?;
    let mut names = BTreeSet::new();
    for Mutant { name, file, text, becomes, rule } in &mutants {
        let count = read(Path::new(file))?.matches(text.as_str()).count();
        if count != 1 || text == becomes || rule.is_empty() || !names.insert(name) {
            let needed = "needed: once, another text in its place, a rule, and a name of its own";
            return Err(format!("{TABLE}: {name}: its text is {count} times in {file}; {needed}"));
        }
    }
    match mutants.len() {
        LEAST.. => Ok(mutants),
        few => Err(format!("{TABLE}: {few} mutants, {LEAST} at least")),
    }
}

fn copy(from: &Path, to: &Path) -> Result<(), String> {
    std::fs::create_dir_all(to).map_err(wrong(to))?;
    for entry in std::fs::read_dir(from).map_err(wrong(from))? {
        let (here, name) = entry.map(|e| (e.path(), e.file_name())).map_err(wrong(from))?;
        match here.is_dir() {
            true => copy(&here, &to.join(name))?,
            false => std::fs::copy(&here, to.join(name)).map(drop).map_err(wrong(&here))?,
        }
    }
    Ok(())
}

/// Builds one test file and runs its tests until one fails; says which one.
fn suite(work: &Path, suite: &str, jobs: &str, most: Duration) -> Result<Option<String>, String> {
    let mut build = Command::new("cargo");
    build.args(["test", "--offline", "-p", "shaletack-gossip", "--no-run", "-j", jobs, "--test", suite]);
    let built = build.current_dir(work).output().map_err(wrong(work))?;
    let said = String::from_utf8_lossy(&built.stderr);
    let named =
        said.lines().find_map(|line| line.trim().strip_prefix("Executable ")?.split(['(', ')']).nth(1));
    let program = named.filter(|_| built.status.success()).ok_or(format!("it does not build:\n{said}"))?;
    let mut tests = Command::new(work.join(program));
    // The same cases in each run; a failed one is not shrunk.
    tests.env("PROPTEST_MAX_SHRINK_ITERS", "0").env("PROPTEST_RNG_SEED", "20261128");
    tests.args(["--test-threads", jobs]).current_dir(work.join("crates/gossip"));
    let mut child = tests.stdout(Stdio::piped()).stderr(Stdio::null()).spawn().map_err(wrong(work))?;
    let ((lines, heard), begun) = (channel(), Instant::now());
    let out = BufReader::new(child.stdout.take().ok_or("the tests have no output")?);
    std::thread::spawn(move || out.lines().map_while(Result::ok).all(|line| lines.send(line).is_ok()));
    let failed = |line: &str| Some(line.strip_prefix("test ")?.strip_suffix(" ... FAILED")?.to_owned());
    let found = loop {
        match heard.recv_timeout(most.saturating_sub(begun.elapsed())).map(|line| failed(&line)) {
            Ok(None) => {}
            Ok(Some(test)) => break Some(format!("{suite}::{test}")),
            Err(RecvTimeoutError::Timeout) => break Some(format!("{suite}, which hung for {most:.0?}")),
            Err(RecvTimeoutError::Disconnected) => break None,
        }
    };
    if found.is_some() {
        child.kill().map_err(wrong(work))?;
    }
    let status = child.wait().map_err(wrong(work))?;
    Ok(found.or((!status.success()).then(|| format!("{suite}, which ended with {status}"))))
}

/// All test files, that of the file's own module first.
fn all(work: &Path, file: &str, jobs: &str, most: Duration) -> Result<Option<String>, String> {
    let mut suites = SUITES;
    suites.sort_by_key(|suite| !file.contains(&format!("/src/{suite}")));
    let found =
        suites.iter().map(|name| suite(work, name, jobs, most)).find(|found| !matches!(found, Ok(None)));
    found.unwrap_or(Ok(None))
}

/// Runs one mutant after another, or the one of that name.
pub fn run(only: Option<&str>, jobs: usize) -> Result<(), String> {
    let (mut mutants, jobs) = (table()?, jobs.to_string());
    mutants.retain(|m| only.is_none_or(|only| only == m.name));
    if mutants.is_empty() {
        return Err(format!("{TABLE}: no mutant of that name"));
    }
    let folder = tempfile::tempdir().map_err(wrong(&std::env::temp_dir()))?;
    let work = folder.path();
    for name in ["crates/gossip", "crates/observations"] {
        copy(Path::new(name), &work.join(name))?;
    }
    std::fs::copy("Cargo.lock", work.join("Cargo.lock")).map_err(wrong(work))?;
    std::fs::write(work.join("Cargo.toml"), WORKSPACE).map_err(wrong(work))?;
    if let Some(test) = all(work, "", &jobs, HANGS / 2)? {
        return Err(format!("the unchanged crate does not pass: {test}"));
    }
    println!("the unchanged crate passes");
    let mut found = 0;
    for Mutant { name, file, text, becomes, rule } in &mutants {
        let path = work.join(file);
        let unchanged = read(&path)?;
        std::fs::write(&path, unchanged.replace(text, becomes)).map_err(wrong(&path))?;
        let by = all(work, file, &jobs, HANGS).map_err(|why| format!("{name}: {why}"))?;
        std::fs::write(&path, unchanged).map_err(wrong(&path))?;
        found += usize::from(by.is_some());
        let missed = format!("NOT FOUND, though it breaks: {rule}");
        println!("{name}: {}", by.map_or(missed, |test| format!("found by {test}")));
    }
    println!("mutants {found} of {}", mutants.len());
    match mutants.len() - found {
        0 => Ok(()),
        missed => Err(format!("{missed} not found: write the test that each of them shows to be missing")),
    }
}
