//! Mutation testing of gossip and aggregation: applies the mutants of a table to a copy of the sources, one
//! at a time, and requires that a test fails for each.

use serde::Deserialize;
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::mpsc::{channel, RecvTimeoutError};
use std::time::{Duration, Instant};

/// The table of mutants, relative to the project's root.
const TABLE: &str = "crates/gossip/tests/mutants.toml";
/// The test files that are run against each mutant.
const SUITES: [&str; 2] = ["gossip", "aggregation"];
/// Minimum number of mutants in the table.
const MIN_MUTANTS: usize = 15;
/// A test file that runs longer than this counts as hung; for the unmodified crate the limit is half of it.
const TEST_TIMEOUT: Duration = Duration::from_secs(180);
/// Manifest of the copy's workspace. The tests run in virtual time, so that the lower optimisation level
/// changes no test's result.
const WORKSPACE_MANIFEST: &str =
    "[workspace]\nmembers = [\"crates/*\"]\nresolver = \"2\"\n[workspace.lints]\n\
    [profile.dev]\ndebug = false\n[profile.dev.package.shaletack-gossip]\nopt-level = 1\n";

/// One modification of a source file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Mutant {
    name: String,
    file: String,
    /// The text to replace, which occurs exactly once in `file`.
    text: String,
    /// The replacement.
    becomes: String,
    /// The rule that the mutant violates.
    rule: String,
}

/// Contents of the table of mutants.
#[derive(Deserialize)]
struct MutantTable {
    mutant: Vec<Mutant>,
}

/// Returns a function that prefixes an error with the path that it concerns.
fn with_path<E: std::fmt::Display>(what: &Path) -> impl Fn(E) -> String + '_ {
    move |why| format!("{}: {why}", what.display())
}

fn read(path: &Path) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(with_path(path))
}

/// Reads the table of mutants and checks that each applies to its file.
fn load_mutants() -> Result<Vec<Mutant>, String> {
    let MutantTable { mutant: mutants } =
        toml::from_str(&read(Path::new(TABLE))?).map_err(with_path(Path::new(TABLE)))?;
    let mut names = BTreeSet::new();
    for Mutant { name, file, text, becomes, rule } in &mutants {
        let count = read(Path::new(file))?.matches(text.as_str()).count();
        if count != 1 || text == becomes || rule.is_empty() || !names.insert(name) {
            let required = "required: exactly once, a different replacement, a rule and a unique name";
            return Err(format!("{TABLE}: {name}: its text occurs {count} times in {file}; {required}"));
        }
    }
    match mutants.len() {
        MIN_MUTANTS.. => Ok(mutants),
        few => Err(format!("{TABLE}: {few} mutants, but at least {MIN_MUTANTS} are required")),
    }
}

/// Copies a directory with everything in it.
fn copy_directory(from: &Path, to: &Path) -> Result<(), String> {
    std::fs::create_dir_all(to).map_err(with_path(to))?;
    for entry in std::fs::read_dir(from).map_err(with_path(from))? {
        let (here, name) = entry.map(|e| (e.path(), e.file_name())).map_err(with_path(from))?;
        match here.is_dir() {
            true => copy_directory(&here, &to.join(name))?,
            false => std::fs::copy(&here, to.join(name)).map(drop).map_err(with_path(&here))?,
        }
    }
    Ok(())
}

/// Builds one test file and runs its tests until one fails or `time_limit` has passed; returns which one
/// failed.
fn run_suite(work: &Path, suite: &str, jobs: &str, time_limit: Duration) -> Result<Option<String>, String> {
    let mut build = Command::new("cargo");
    build.args(["test", "--offline", "-p", "shaletack-gossip", "--no-run", "-j", jobs, "--test", suite]);
    let built = build.current_dir(work).output().map_err(with_path(work))?;
    let messages = String::from_utf8_lossy(&built.stderr);
    let executable =
        messages.lines().find_map(|line| line.trim().strip_prefix("Executable ")?.split(['(', ')']).nth(1));
    let program =
        executable.filter(|_| built.status.success()).ok_or(format!("the build failed:\n{messages}"))?;
    let mut tests = Command::new(work.join(program));
    // A fixed seed gives the same cases in each run; a failing case is not shrunk.
    tests.env("PROPTEST_MAX_SHRINK_ITERS", "0").env("PROPTEST_RNG_SEED", "20261128");
    tests.args(["--test-threads", jobs]).current_dir(work.join("crates/gossip"));
    let mut child = tests.stdout(Stdio::piped()).stderr(Stdio::null()).spawn().map_err(with_path(work))?;
    let ((sender, received_lines), started) = (channel(), Instant::now());
    let out = BufReader::new(child.stdout.take().ok_or("the tests have no output")?);
    std::thread::spawn(move || out.lines().map_while(Result::ok).all(|line| sender.send(line).is_ok()));
    let failed = |line: &str| Some(line.strip_prefix("test ")?.strip_suffix(" ... FAILED")?.to_owned());
    let found = loop {
        match received_lines
            .recv_timeout(time_limit.saturating_sub(started.elapsed()))
            .map(|line| failed(&line))
        {
            Ok(None) => {}
            Ok(Some(test)) => break Some(format!("{suite}::{test}")),
            Err(RecvTimeoutError::Timeout) => {
                break Some(format!("{suite}, which hung for {time_limit:.0?}"))
            }
            Err(RecvTimeoutError::Disconnected) => break None,
        }
    };
    if found.is_some() {
        child.kill().map_err(with_path(work))?;
    }
    let status = child.wait().map_err(with_path(work))?;
    Ok(found.or((!status.success()).then(|| format!("{suite}, which ended with {status}"))))
}

/// Runs all test files until one fails, beginning with that of the mutated module; returns which test failed.
fn run_all_suites(
    work: &Path,
    file: &str,
    jobs: &str,
    time_limit: Duration,
) -> Result<Option<String>, String> {
    let mut suites = SUITES;
    suites.sort_by_key(|suite| !file.contains(&format!("/src/{suite}")));
    let found = suites
        .iter()
        .map(|name| run_suite(work, name, jobs, time_limit))
        .find(|found| !matches!(found, Ok(None)));
    found.unwrap_or(Ok(None))
}

/// Runs all mutants in turn, or only the one that `only` names. Fails when a mutant is not detected.
pub fn run(only: Option<&str>, jobs: usize) -> Result<(), String> {
    let (mut mutants, jobs) = (load_mutants()?, jobs.to_string());
    mutants.retain(|m| only.is_none_or(|only| only == m.name));
    if mutants.is_empty() {
        return Err(format!("{TABLE}: no mutant has that name"));
    }
    let folder = tempfile::tempdir().map_err(with_path(&std::env::temp_dir()))?;
    let work = folder.path();
    for name in ["crates/gossip", "crates/observations"] {
        copy_directory(Path::new(name), &work.join(name))?;
    }
    std::fs::copy("Cargo.lock", work.join("Cargo.lock")).map_err(with_path(work))?;
    std::fs::write(work.join("Cargo.toml"), WORKSPACE_MANIFEST).map_err(with_path(work))?;
    if let Some(test) = run_all_suites(work, "", &jobs, TEST_TIMEOUT / 2)? {
        return Err(format!("the tests of the unmodified crate fail: {test}"));
    }
    println!("the unchanged crate passes");
    let mut found = 0;
    for Mutant { name, file, text, becomes, rule } in &mutants {
        let path = work.join(file);
        let unchanged = read(&path)?;
        std::fs::write(&path, unchanged.replace(text, becomes)).map_err(with_path(&path))?;
        let by = run_all_suites(work, file, &jobs, TEST_TIMEOUT).map_err(|why| format!("{name}: {why}"))?;
        std::fs::write(&path, unchanged).map_err(with_path(&path))?;
        found += usize::from(by.is_some());
        let missed = format!("NOT FOUND, though it breaks: {rule}");
        println!("{name}: {}", by.map_or(missed, |test| format!("found by {test}")));
    }
    println!("mutants {found} of {}", mutants.len());
    match mutants.len() - found {
        0 => Ok(()),
        missed => Err(format!("{missed} mutants were not found: each shows that a test is missing")),
    }
}
