//! The tests of `review/`: each plays one case against the project's program, with stand-ins in this process.
//!
//! `review-standins CASE FOLDER` writes `record.txt` to the folder. It exits with 1 if the rule was broken, 0
//! if it held, and 2 if the case couldn't run. With `TROUBLE=0` the case runs without its disruption.

mod hung_upload;
mod many_uploads;
mod nbd;
mod network;
mod platform;
mod process;
mod record;
mod repeated_id;
mod second_answer;
mod stop_during_upload;
mod write_during_drain;

use process::TemporaryFolder;
use record::Record;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// The rate at which slow clients send a body, in bytes a second.
const UPLOAD_RATE: f64 = 64e3;
const UPLOAD_INTERVAL: Duration = Duration::from_millis(25);
/// A run that takes longer than this is ended.
const MAX_RUN: Duration = Duration::from_secs(110);

/// One run of a case.
pub struct Run {
    /// The project's root.
    pub root: PathBuf,
    /// A temporary folder.
    pub folder: PathBuf,
    pub record: Record,
    /// Whether the disruption happens.
    pub trouble: bool,
}

/// What a run has shown.
pub enum Verdict {
    Held,
    Broken(String),
}

impl Run {
    /// Returns the environment of a process on the platform.
    pub fn variables(
        &self,
        listen: SocketAddr,
        agent: SocketAddr,
        file: &Path,
    ) -> Vec<(&'static str, String)> {
        vec![
            ("ROUTER_NAME", "n1".into()),
            ("ROUTER_LISTEN", listen.to_string()),
            ("ROUTER_DISCOVERY", agent.to_string()),
            ("ROUTER_CONFIG", file.display().to_string()),
        ]
    }
}

/// Sends a request's head, and its body at 64 kB a second.
pub fn upload(mut stream: TcpStream, head: &[u8], body_bytes: usize) -> io::Result<()> {
    stream.set_nodelay(true)?;
    stream.write_all(head)?;
    let (started_at, mut sent) = (Instant::now(), 0);
    while sent < body_bytes {
        std::thread::sleep(UPLOAD_INTERVAL);
        let due = (started_at.elapsed().as_secs_f64() * UPLOAD_RATE) as usize;
        let part = vec![b'w'; due.min(body_bytes) - sent];
        stream.write_all(&part)?;
        sent += part.len();
    }
    Ok(())
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: review-standins CASE FOLDER");
        return ExitCode::from(2);
    };
    let record = Record::new();
    let file = Path::new(folder).join("record.txt");
    guard(record.clone(), file.clone());
    let result = play(case, Path::new(folder), &record);
    let code = match result {
        Ok(Verdict::Held) => {
            record.note("verdict: the rule held");
            0
        }
        Ok(Verdict::Broken(why)) => {
            record.note(format!("verdict: the rule was BROKEN: {why}"));
            1
        }
        Err(why) => {
            record.note(format!("the case could not run: {why}"));
            2
        }
    };
    record.write(&file);
    ExitCode::from(code)
}

/// Ends this process, and what it started, once it has run for too long or the script that runs it has ended.
fn guard(record: Record, file: PathBuf) {
    let (started_at, script) = (Instant::now(), std::os::unix::process::parent_id());
    std::thread::spawn(move || loop {
        std::thread::sleep(Duration::from_millis(50));
        let why = match std::os::unix::process::parent_id() == script {
            true if started_at.elapsed() < MAX_RUN => continue,
            true => "the case took too long and could not be judged",
            false => "the script was ended, so the case could not be judged",
        };
        process::end_all();
        record.note(why);
        record.write(&file);
        std::process::exit(2);
    });
}

fn play(case: &str, folder: &Path, record: &Record) -> io::Result<Verdict> {
    let temporary = TemporaryFolder::create()?;
    let run = Run {
        root: folder.join("../..").canonicalize()?,
        folder: temporary.0.clone(),
        record: record.clone(),
        trouble: std::env::var("TROUBLE").map_or(true, |value| value != "0"),
    };
    record.note(format!("case {case}, {} the disruption", if run.trouble { "with" } else { "without" }));
    match case {
        "write-during-drain" => write_during_drain::run(&run),
        "hung-upload" => hung_upload::run(&run),
        "many-uploads" => many_uploads::run(&run),
        "repeated-id" => repeated_id::run(&run),
        "stop-during-upload" => stop_during_upload::run(&run),
        "second-answer" => second_answer::run(&run),
        other => Err(io::Error::other(format!("there is no case '{other}'"))),
    }
}
