//! One real initiator. Bare, it serves; see the sub-commands below.

use lexopt::prelude::*;
use listenfd::ListenFd;
use shaletack::broker::{Broker, Clock, Input};
use shaletack::config::{self, Config};
use shaletack::endpoint_list::EndpointList;
use shaletack::etcd;
use shaletack::interface::{EndpointListKind, Settings};
use shaletack::nbd;
use shaletack::net::front::{self, Traces};
use shaletack::net::handover::{self, HandoverLink, HandoverState, Identity, ReceivedHandover};
use shaletack::net::{boxes, management, watch};
use shaletack::operator::{self, Operator};
use shaletack::peers::{self, Peers};
use shaletack::runtime::host::Host;
use shaletack::runtime::log::{self, Form};
use shaletack::runtime::sockets;
use shaletack::writeback::offline;
use shaletack_knowledge::Observer;
use shaletack_writeback::Decision;
use std::cell::{Cell, RefCell};
use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::io::Write;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tracing::level_filters::LevelFilter;
use tracing::{info, warn};

const USAGE: &str = "\
usage: shaletack [serve] [--config FILE]    serve the platform until SIGTERM (the default)
       shaletack serve --operator FILE      serve NBD as the operator's file says
       shaletack check-config [FILE]        read a configuration and say what is wrong with it
       shaletack check-config --operator FILE
       shaletack writeback list --operator FILE
       shaletack writeback settle ID resend|drop --operator FILE
                                            what a stopped process left unsettled, and to settle it
       shaletack peers --operator FILE      what the running process of that file sees of its peers, as JSON
       shaletack schema                     print the JSON Schema of the operator's file
       shaletack version                    print the version
       --log-form text|json                 the form of the log on standard error (text)
       --log-level error|warn|info|debug    the least level that is written (info)
The configuration's file is FILE, or else $ROUTER_CONFIG.";

/// Descriptors kept for what is neither a client's, an operator's nor a box's connection.
const SPARE_SOCKETS: usize = 32;

/// The first descriptor that a process can be handed beside the three that each has.
const FIRST_HELD: usize = 3;

/// A file of settings that can't be read just now is read again so often, and for so long in all: discovery's move counts
/// 4 s after SIGHUP.
const READ_AGAIN: Duration = Duration::from_millis(20);
const READ_MOST: Duration = Duration::from_secs(2);
/// What the process needs with no client at all, in MiB.
const BASE_MB: u64 = 8;
/// The most that one client's connection holds: a whole body, and the buffers round it.
const CONNECTION_BYTES: u64 = 128 << 10;

/// Which front, and the file that sets it up.
enum Source {
    Platform(Option<String>),
    Operator(String),
}

enum Command {
    Serve(Source),
    CheckConfig(Source),
    /// Of the log of that file: all that is unsettled, or what becomes of one write.
    WriteBack(String, Option<(u64, Decision)>),
    /// Of the running process of that file: what it sees of its peers.
    Peers(String),
    Schema,
    Version,
    Help,
}

fn main() -> ExitCode {
    let done = match command(lexopt::Parser::from_env()) {
        Ok((command, form, level)) => {
            if matches!(command, Command::Serve(_)) {
                log::start(form, level);
            }
            carry_out(command)
        }
        Err(error) => Err(format!("{error}; see shaletack --help")),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(faults) => {
            faults.lines().for_each(|fault| eprintln!("shaletack: {fault}"));
            ExitCode::FAILURE
        }
    }
}

fn carry_out(command: Command) -> Result<(), String> {
    match command {
        Command::Serve(Source::Platform(file)) => {
            held_socket().and_then(|held| actix_rt::System::new().block_on(serve(file, held)))
        }
        Command::Serve(Source::Operator(file)) => {
            load_operator(&file).and_then(|o| actix_rt::System::new().block_on(run_nbd(o, file)))
        }
        Command::CheckConfig(Source::Platform(file)) => load(file).map(|(config, _)| {
            let (boxes, plans) = (config.known.entries.len(), config.settings.plans.len());
            println!("configuration of {} is sound: {boxes} boxes known, {plans} plans", config.name);
        }),
        Command::CheckConfig(Source::Operator(file)) => load_operator(&file).map(|o| {
            let (exports, plans) = (o.exports.len(), o.settings.plans.len());
            println!(
                "{file} is sound: {exports} exports, {plans} contracts, {} boxes",
                o.boxes.entries.len()
            );
        }),
        Command::WriteBack(file, Some((id, decision))) => {
            load_operator(&file).and_then(|operator| offline::settle(&operator, id, decision))
        }
        Command::WriteBack(file, None) => {
            let operator = load_operator(&file)?;
            for held in offline::list(&operator)? {
                let name = operator.exports.iter().find(|e| e.volume == held.export).map(|e| e.name.as_str());
                println!(
                    "{} export={} from={} length={} shard={} at={} may_have_run={}",
                    held.id,
                    name.unwrap_or("?"),
                    held.from,
                    held.length,
                    held.shard,
                    held.at,
                    held.may_have_run
                );
            }
            Ok(())
        }
        Command::Peers(file) => {
            let set = load_operator(&file)?.peers.ok_or(format!("{file}: the file has no 'peers'"))?;
            let shown = actix_rt::System::new().block_on(peers::status(set.listen));
            println!("{}", shown.map_err(|why| format!("peers at {}: {why}: is it running?", set.listen))?);
            Ok(())
        }
        Command::Schema => {
            // Whoever reads it may stop early.
            match writeln!(std::io::stdout(), "{:#}", operator::schema()) {
                Err(why) if why.kind() != std::io::ErrorKind::BrokenPipe => Err(why.to_string()),
                _ => Ok(()),
            }
        }
        Command::Version => {
            println!("shaletack {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Command::Help => {
            println!("{USAGE}");
            Ok(())
        }
    }
}

/// What is to be done, and the form and the least level of the log.
fn command(mut args: lexopt::Parser) -> Result<(Command, Form, LevelFilter), lexopt::Error> {
    let (mut form, mut level) = (Form::Text, LevelFilter::INFO);
    let (mut name, mut file, mut operator) = (None, None, None);
    let mut words: Vec<String> = Vec::new();
    while let Some(arg) = args.next()? {
        match arg {
            Long("config") => file = Some(args.value()?.string()?),
            Long("operator") => operator = Some(args.value()?.string()?),
            Long("log-form") => form = args.value()?.parse()?,
            Long("log-level") => level = args.value()?.parse()?,
            Long("help") | Short('h') => return Ok((Command::Help, form, level)),
            Long("version") | Short('V') => return Ok((Command::Version, form, level)),
            Value(word) if name.is_none() => name = Some(word.string()?),
            Value(word) if name.as_deref() == Some("check-config") => file = Some(word.string()?),
            Value(word) if name.as_deref() == Some("writeback") => words.push(word.string()?),
            other => return Err(other.unexpected()),
        }
    }
    if name.as_deref() == Some("writeback") {
        let file = operator.ok_or("writeback: --operator FILE is needed")?;
        let words: Vec<&str> = words.iter().map(String::as_str).collect();
        let decision = match words[..] {
            ["list"] => None,
            ["settle", id, "resend"] => Some((id, Decision::Resend)),
            ["settle", id, "drop"] => Some((id, Decision::Drop)),
            _ => return Err("writeback: 'list', or 'settle' with a number and 'resend' or 'drop'".into()),
        };
        let number = |(id, decision): (&str, Decision)| match id.parse() {
            Ok(id) => Ok((id, decision)),
            Err(_) => Err(format!("writeback: '{id}' is not a number")),
        };
        let decision = decision.map(number).transpose()?;
        return Ok((Command::WriteBack(file, decision), form, level));
    }
    let source = operator.map_or(Source::Platform(file), Source::Operator);
    let command = match name.as_deref() {
        None | Some("serve") => Command::Serve(source),
        Some("check-config") => Command::CheckConfig(source),
        Some("peers") => match source {
            Source::Operator(file) => Command::Peers(file),
            Source::Platform(_) => return Err("peers: --operator FILE is needed".into()),
        },
        Some("schema") => Command::Schema,
        Some("version") => Command::Version,
        Some("help") => Command::Help,
        Some(other) => return Err(format!("'{other}' is not a sub-command").into()),
    };
    Ok((command, form, level))
}

/// The file's name too, for later reading.
fn load(file: Option<String>) -> Result<(Config, String), String> {
    let file = file.or_else(|| std::env::var("ROUTER_CONFIG").ok());
    let file = file.ok_or("no configuration: name a file, or set ROUTER_CONFIG")?;
    let config = read_at_start(|| read_config(&file, |name| std::env::var(name).ok()))?;
    Ok((config, file))
}

/// Why a file of settings can't be used.
enum ReadFault {
    /// It can't be read just now: the system has no descriptor for it, or the disk fails.
    Passing(String),
    /// It is not there, or what it says is wrong.
    Wrong(String),
}

impl ReadFault {
    fn why(self) -> String {
        let (ReadFault::Passing(why) | ReadFault::Wrong(why)) = self;
        why
    }
}

fn read_file(file: &str) -> Result<Vec<u8>, ReadFault> {
    std::fs::read(file).map_err(|error| {
        let why = format!("{file}: {error}");
        if sockets::is_passing(&error) {
            ReadFault::Passing(why)
        } else {
            ReadFault::Wrong(why)
        }
    })
}

/// At the start: reads again, for a while, what can't be read just now.
fn read_at_start<T>(read: impl Fn() -> Result<T, ReadFault>) -> Result<T, String> {
    let until = Instant::now() + READ_MOST;
    loop {
        match read() {
            Err(ReadFault::Passing(_)) if Instant::now() < until => std::thread::sleep(READ_AGAIN),
            done => return done.map_err(ReadFault::why),
        }
    }
}

/// The same, while clients are served.
async fn read_while_serving<T>(read: impl Fn() -> Result<T, ReadFault>) -> Result<T, String> {
    let until = Instant::now() + READ_MOST;
    loop {
        match read() {
            Err(ReadFault::Passing(_)) if Instant::now() < until => tokio::time::sleep(READ_AGAIN).await,
            done => return done.map_err(ReadFault::why),
        }
    }
}

fn read_config(file: &str, env: impl Fn(&str) -> Option<String>) -> Result<Config, ReadFault> {
    let mut text = read_file(file)?;
    config::read(&mut text, env).map_err(|fault| ReadFault::Wrong(format!("{file}: {fault}")))
}

fn load_operator(file: &str) -> Result<Operator, String> {
    read_at_start(|| read_operator(file))
}

fn read_operator(file: &str) -> Result<Operator, ReadFault> {
    let mut text = read_file(file)?;
    let each = |faults: operator::Faults| faults.0.iter().map(|f| format!("{file}: {f}")).collect::<Vec<_>>();
    operator::read(&mut text).map_err(|faults| ReadFault::Wrong(each(faults).join("\n")))
}

/// The core's clock, where it goes on from nobody's: any beginning does, and versions before this one had this one.
fn fresh_clock() -> Clock {
    let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    Clock::new(Instant::now(), unix)
}

fn start(settings: Settings, seed: u64, clock: Clock, among: Option<Observer>) -> Host {
    let broker = Broker::new(settings, seed, clock, Instant::now());
    Host::start(match among {
        Some(me) => broker.among_peers(me),
        None => broker,
    })
}

/// The signals that the program is told by. They are taken before anything is served: one that came
/// earlier would end the process.
fn signals() -> Result<(Signal, Signal), String> {
    let taken = |kind| signal(kind).map_err(|e| format!("no signals: {e}"));
    Ok((taken(SignalKind::terminate())?, taken(SignalKind::hangup())?))
}

/// Reads a file again at each SIGHUP. One that can't be used is a line in the log; what was read before
/// stays in force.
async fn at_each<T>(mut hangup: Signal, read: impl Fn() -> Result<T, ReadFault>, mut put: impl FnMut(T)) {
    while hangup.recv().await.is_some() {
        match read_while_serving(&read).await {
            Ok(new) => put(new),
            Err(faults) => warn!(why = faults.replace('\n', "; "), "the new configuration is not used"),
        }
    }
}

async fn run_nbd(operator: Operator, file: String) -> Result<(), String> {
    let (mut term, hangup) = signals()?;
    let me = operator.peers.as_ref().map(peers::observer);
    let seed = RandomState::new().build_hasher().finish();
    let host = start(operator.settings.clone(), seed, fresh_clock(), me.clone());
    host.feed(Input::EndpointList(operator.boxes.clone()));
    let follow = |host: Host, etcd| actix_rt::spawn(etcd::follow(host, etcd)).abort_handle();
    let mut list = operator.etcd.clone();
    let mut task = list.clone().map(|etcd| follow(host.clone(), etcd));
    // Before clients come, and for 300 ms at most: what the peers know is worth that wait.
    let among = match operator.peers.as_ref().zip(me) {
        Some((set, me)) => {
            let started = Peers::start(host.clone(), set, me).await;
            let among = started.map_err(|e| format!("peers at {}: {e}", set.listen))?;
            among.configured(operator.version).await;
            Some(among)
        }
        None => None,
    };
    let core = host.clone();
    let told = among.clone();
    // Of a new file the list of boxes counts at once, or where it is followed; clients' contracts and
    // mounts stay as they are until the next start.
    let put = move |new: Operator| {
        info!("the operator's file is read again: the list of boxes counts from now on");
        if new.etcd.is_none() {
            core.feed(Input::EndpointList(EndpointList { kind: EndpointListKind::Full, ..new.boxes }));
        }
        if let Some(among) = told.clone() {
            let version = new.version;
            actix_rt::spawn(async move { among.configured(version).await });
        }
        if new.etcd != list {
            task.take().inspect(|task| task.abort());
            task = new.etcd.clone().map(|etcd| follow(core.clone(), etcd));
            list = new.etcd;
        }
    };
    actix_rt::spawn(at_each(hangup, move || read_operator(&file), put));
    let listener = sockets::listen(operator.listen).await.map_err(|e| format!("{}: {e}", operator.listen))?;
    let place = listener.local_addr().map_err(|e| format!("{}: {e}", operator.listen))?;
    info!(at = %place, exports = operator.exports.len(), "listens for NBD");
    nbd::front::serve(host, operator, listener, async move {
        term.recv().await;
        if let Some(among) = among {
            among.leave().await;
        }
    })
    .await
}

/// The clients' socket, where whoever starts the program holds it: the descriptor that ROUTER_FD names.
fn held_socket() -> Result<Option<std::net::TcpListener>, String> {
    let Ok(text) = std::env::var("ROUTER_FD") else { return Ok(None) };
    let wrong = || format!("ROUTER_FD: '{text}' is no listening socket");
    let place = text.parse::<usize>().ok().and_then(|n| n.checked_sub(FIRST_HELD)).ok_or_else(wrong)?;
    // What listenfd reads; it counts from the first descriptor that a process can be handed.
    std::env::set_var("LISTEN_FDS", (place + 1).to_string());
    std::env::remove_var("LISTEN_PID");
    let socket = ListenFd::from_env().take_tcp_listener(place).ok().flatten().ok_or_else(wrong)?;
    socket.set_nonblocking(true).map_err(|e| format!("{}: {e}", wrong()))?;
    Ok(Some(socket))
}

/// Serves the platform, from where a predecessor is if there is one.
async fn serve(file: Option<String>, held: Option<std::net::TcpListener>) -> Result<(), String> {
    let signals = signals()?;
    let loaded = load(file.clone());
    let name =
        std::env::var("ROUTER_NAME").ok().or(loaded.as_ref().ok().map(|(config, _)| config.name.clone()));
    // Without a held socket the clients' address is the file's; one that can't be read names none, and so proves nothing.
    let clients = match (&held, &loaded) {
        (Some(held), _) => held.local_addr().ok(),
        (None, Ok((config, _))) => Some(config.listen).filter(|at| at.port() > 0),
        (None, Err(_)) => std::env::var("ROUTER_LISTEN").ok().and_then(|at| at.parse().ok()),
    };
    let me = name.zip(clients).map(|(name, clients)| Identity { name, clients });
    let predecessor = match &me {
        Some(me) => {
            handover::request_state(me, &std::env::temp_dir()).await.map_err(|why| why.to_string())?
        }
        None => None,
    };
    let (config, file) = match (loaded, &predecessor) {
        // The predecessor turned such a file down, and serves by the one before.
        (Err(fault), Some(ReceivedHandover { state, .. })) => {
            warn!(why = %fault, "the new configuration is not used; the predecessor's is");
            let config =
                config::read(&mut state.configuration.clone().into_bytes(), |name| std::env::var(name).ok())?;
            (config, file.or_else(|| std::env::var("ROUTER_CONFIG").ok()).ok_or(fault)?)
        }
        (loaded, _) => loaded?,
    };
    run(config, file, signals, held, me, predecessor).await
}

async fn run(
    config: Config,
    file: String,
    (mut term, hangup): (Signal, Signal),
    held: Option<std::net::TcpListener>,
    me: Option<Identity>,
    predecessor: Option<ReceivedHandover>,
) -> Result<(), String> {
    let Config {
        name,
        listen,
        discovery,
        management,
        seed,
        sockets,
        memory_mb,
        known,
        passed_over,
        settings,
        text,
    } = config;
    let inherited = predecessor.as_ref().and_then(|given| given.state.core.clock(given.received_at));
    let host = start(settings, seed, inherited.unwrap_or_else(fresh_clock), None);
    info!(name, boxes = known.entries.len(), revision = known.revision, "starts");
    passed_over.iter().for_each(|why| warn!(%why, "an entry of the list is passed over"));
    host.feed(Input::EndpointList(known));
    // On a port that the system chooses nobody can follow this process.
    let alone = me.is_none();
    let me = me.unwrap_or_else(|| Identity { name: name.clone(), clients: listen });
    let link = HandoverLink::new(host.clone(), me, &std::env::temp_dir());
    let (traces, ready) = (Rc::new(RefCell::new(Traces::default())), Rc::new(Cell::new(false)));
    if let Some(ReceivedHandover { state, stream, .. }) = predecessor {
        host.feed(Input::Restore { snapshot: Box::new(state.core), budget_share: handover::SHARED_BUDGET });
        traces.borrow_mut().inherit(state.request_ids);
        link.follow_predecessor(stream);
    }
    // Operators' calls have descriptors of their own, whatever the clients hold.
    let mut rest = sockets.saturating_sub(SPARE_SOCKETS);
    if let Some(place) = management {
        rest = rest.saturating_sub(management::MAX_CALLS);
        let calls = sockets::listen(place).await.map_err(|e| format!("management at {place}: {e}"))?;
        let place = calls.local_addr().map_err(|e| format!("management at {place}: {e}"))?;
        info!(at = %place, "operators' calls are taken");
        actix_rt::spawn(management::serve(host.clone(), link.clone(), calls, ready.clone()));
    }
    let mut watch = watch::Watch::start(host.clone(), discovery, host.look(Broker::revision), seed);
    watch.first_word().await;
    // The environment tells where discovery was at the start; from a new file on, the file does.
    let unless_moved = |name: &str| (name != "ROUTER_DISCOVERY").then(|| std::env::var(name).ok())?;
    // What is read has to be whole before any of it counts.
    let in_force = Rc::new(RefCell::new(text));
    let last = in_force.clone();
    let read = move || {
        let new = read_config(&file, unless_moved)?;
        match config::lacks(&last.borrow(), &new.text) {
            Some(key) => Err(ReadFault::Wrong(format!("{file}: there is no key '{key}'"))),
            None => Ok(new),
        }
    };
    let (core, text) = (host.clone(), in_force.clone());
    let put = move |new: Config| {
        let classes: Vec<&str> = new.settings.classes.iter().map(|c| c.name.as_str()).collect();
        let (discovery, classes, tries) = (new.discovery, classes.join(", "), new.settings.max_attempts);
        info!(%discovery, classes, attempts = tries, "the configuration is read again");
        watch.move_to(discovery);
        core.feed(Input::Settings(Box::new(new.settings)));
        in_force.replace(new.text);
    };
    actix_rt::spawn(at_each(hangup, read, put));
    let listener = match held {
        Some(held) => TcpListener::from_std(held),
        None => sockets::listen(listen).await,
    };
    let listener = listener.map_err(|e| format!("{listen}: {e}"))?;
    info!(at = %listener.local_addr().map_err(|e| format!("{listen}: {e}"))?, name, "listens for HTTP");
    let boxes = boxes::Boxes::new(&host, rest / 4);
    // Where memory is short there is room for fewer connections than descriptors.
    let room = match memory_mb {
        0 => usize::MAX,
        mb => ((mb.saturating_sub(BASE_MB) << 20) / CONNECTION_BYTES).max(16) as usize,
    };
    let (core, ids) = (host.clone(), traces.clone());
    let state = move || HandoverState {
        core: core.look(|broker| broker.snapshot(Instant::now(), handover::SHARED_BUDGET)),
        request_ids: ids.borrow().all(),
        configuration: String::from_utf8_lossy(&text.borrow()).into_owned(),
    };
    if !alone {
        link.accept_successors(state);
    }
    ready.set(true);
    let succeeded = Rc::new(move || link.is_connected().then(|| link.yield_budgets()).is_some());
    let front = front::Front { host, boxes, most: (rest - rest / 4).min(room), traces, succeeded };
    front::serve(front, listener, async move {
        term.recv().await;
    })
    .await;
    Ok(())
}
