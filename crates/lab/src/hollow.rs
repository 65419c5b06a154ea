//! Hollow initiators on real loopback sockets beside real processes of the program: what membership and the
//! spread of facts cost each of them, how soon all know of a drain that one knows, and what a stop, deaths
//! and a restart do.

mod around;
mod initiator;
mod process;

use around::{Etcd, BOXES};
use initiator::{Ledger, News, Parts, What};
use process::{Process, Usage};
use rustix::process::Signal;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, watch};
use tokio::task::LocalSet;
use tokio::time::timeout_at;

/// Hollow initiators live on so many threads.
const THREADS: usize = 4;
/// Clients, each at a real process of its own, the last ones.
const CLIENTS: usize = 3;
/// What is waited for at most until they have met, and the part of all others that each knows by then.
const MET_WITHIN: Duration = Duration::from_secs(60);
const MET_ENOUGH: f64 = 0.99;
/// What passes then, while news of the start still goes round, and once volumes are used.
const SETTLES: Duration = Duration::from_secs(40);
const SUMS_SETTLE: Duration = Duration::from_secs(5);
/// Drains while all is well, how far apart, and how long one may take.
const DRAINS: usize = 5;
const DRAIN_EVERY: Duration = Duration::from_secs(6);
const KNOWN_WITHIN: Duration = Duration::from_secs(40);
/// How long a process is stopped, and how far into it a box drains.
const STOPPED: Duration = Duration::from_secs(20);
const DRAINS_INTO: Duration = Duration::from_secs(5);
/// Boxes that are listed beside the drained ones where one returns.
const FEW: usize = 16;
/// What is waited for at most after a fault.
const FAULT_WITHIN: Duration = Duration::from_secs(30);
/// Real processes: one that hears of drains, one that is stopped, others that are killed, and those with
/// clients.
const PROCESSES: RangeInclusive<usize> = 9..=20;
const INITIATORS: RangeInclusive<usize> = 1..=1000;
const VOLUMES: RangeInclusive<usize> = 0..=1000;
const SECONDS: RangeInclusive<usize> = 1..=600;

/// What is asked for.
pub struct Set {
    pub initiators: usize,
    pub processes: usize,
    pub program: PathBuf,
    /// Of the window in which nothing happens, and of that in which volumes are used.
    pub seconds: u64,
    /// So many at each hollow one; 0: there is no such window.
    pub volumes: u64,
}

/// What has come to be known so far, by initiator: real ones first.
struct World {
    heard: mpsc::UnboundedReceiver<News>,
    real: usize,
    stopped: BTreeMap<String, BTreeMap<usize, Instant>>,
    listed: BTreeMap<String, Instant>,
    /// Whom each takes for alive; of real ones it may lack some, since their log is bounded.
    up: Vec<BTreeSet<String>>,
    /// When each last came to take one for alive, or not.
    turned: BTreeMap<(String, bool), BTreeMap<usize, Instant>>,
    /// Those that were stopped or killed.
    faulted: BTreeSet<String>,
    /// In the present part of the run: how often one that is alive was taken for dead, and which.
    falsely_dead: (usize, BTreeSet<String>),
    warned: usize,
}

impl World {
    fn new(heard: mpsc::UnboundedReceiver<News>, real: usize, all: usize) -> Self {
        World {
            heard,
            real,
            stopped: BTreeMap::new(),
            listed: BTreeMap::new(),
            up: vec![BTreeSet::new(); all],
            turned: BTreeMap::new(),
            faulted: BTreeSet::new(),
            falsely_dead: Default::default(),
            warned: 0,
        }
    }

    fn note(&mut self, (who, what, at): News) {
        match what {
            What::Stopped(id) => {
                self.stopped.entry(id).or_default().entry(who).or_insert(at);
            }
            What::Listed(id) => {
                self.listed.entry(id).or_insert(at);
            }
            What::Up(name) => {
                self.up[who].insert(name.clone());
                self.turned.entry((name, true)).or_default().insert(who, at);
            }
            What::Down(name) => {
                self.up[who].remove(&name);
                if !self.faulted.contains(&name) {
                    self.falsely_dead.0 += 1;
                    self.falsely_dead.1.insert(name.clone());
                }
                self.turned.entry((name, false)).or_default().insert(who, at);
            }
            What::Warned => self.warned += 1,
        }
    }

    /// Whether it came to be in time.
    async fn until(&mut self, within: Duration, done: impl Fn(&Self) -> bool) -> bool {
        let end = Instant::now() + within;
        while !done(self) {
            match timeout_at(end.into(), self.heard.recv()).await {
                Ok(Some(news)) => self.note(news),
                _ => return false,
            }
        }
        true
    }

    async fn pass(&mut self, time: Duration) {
        self.until(time, |_| false).await;
    }

    /// A part of the run is over: what it says of those that were alive all the time.
    fn alive(&mut self, phase: &str) {
        let (times, names) = std::mem::take(&mut self.falsely_dead);
        println!("{phase}: alive and taken for dead {times} times, {} initiators", names.len());
    }

    fn know(&self, id: &str) -> usize {
        self.stopped.get(id).map_or(0, BTreeMap::len)
    }

    /// How many hollow ones take it for alive.
    fn hollow_up(&self, name: &str) -> usize {
        self.up[self.real..].iter().filter(|up| up.contains(name)).count()
    }

    /// Seconds from `since` on until each of them turned to take it for alive, or not.
    fn turns(&self, name: &str, alive: bool, since: Instant) -> Vec<f64> {
        let turned = self.turned.get(&(name.to_owned(), alive));
        let after = turned.into_iter().flatten().filter_map(|(_, at)| at.checked_duration_since(since));
        let mut seconds: Vec<f64> = after.map(|d| d.as_secs_f64()).collect();
        seconds.sort_by(f64::total_cmp);
        seconds
    }
}

/// That part of sorted seconds, or a dash where there are none.
fn part(sorted: &[f64], of: f64) -> String {
    let last = sorted.len().saturating_sub(1);
    sorted.get((last as f64 * of).round() as usize).map_or("-".into(), |s| format!("{s:.2}"))
}

/// A place of its own on loopback for each, real ones evenly among the others, so that the order of addresses
/// prefers none; the sockets are kept by the hollow ones and let go for the real ones.
fn places(real: usize, all: usize) -> Result<Vec<(SocketAddr, TcpListener, UdpSocket)>, String> {
    let reals: Vec<usize> = (0..real).map(|i| i * all / real).collect();
    let others = (0..all).filter(|n| !reals.contains(n));
    let order = reals.iter().copied().chain(others);
    let place = |n: usize| {
        let host = Ipv4Addr::new(127, 1, (n / 250) as u8, (n % 250) as u8 + 1);
        let tcp = TcpListener::bind((host, 0))?;
        let at = tcp.local_addr()?;
        let udp = UdpSocket::bind(at)?;
        tcp.set_nonblocking(true)?;
        udp.set_nonblocking(true)?;
        Ok((at, tcp, udp))
    };
    order.map(|n| place(n).map_err(|e: std::io::Error| format!("a place on loopback: {e}"))).collect()
}

/// Hollow initiators on a thread of their own, until they are told to stop.
fn thread(text: String, parts: Vec<Seat>, mut over: watch::Receiver<bool>) -> std::thread::JoinHandle<()> {
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let operator = shaletack::operator::read(&mut text.into_bytes());
        let (Ok(runtime), Ok(operator)) = (runtime, operator) else { return };
        let operator = Rc::new(operator);
        LocalSet::new().block_on(&runtime, async move {
            for Seat { index, tcp, udp, news, ledger } in parts {
                let parts = Parts { index, operator: operator.clone(), tcp, udp, news, ledger };
                tokio::task::spawn_local(initiator::live(parts));
            }
            let _ = over.changed().await;
        });
    })
}

/// What of a hollow initiator goes to its thread.
struct Seat {
    index: usize,
    tcp: TcpListener,
    udp: UdpSocket,
    news: mpsc::UnboundedSender<News>,
    ledger: Arc<Ledger>,
}

/// Plays it all, writes the table and prints the figures.
pub fn run(set: &Set, out: &Path) -> Result<(), String> {
    let whole = |what, n: usize, range: &RangeInclusive<usize>| match range.contains(&n) {
        true => Ok(()),
        false => Err(format!("hollow: --{what} {n}, where {} to {} can be had", range.start(), range.end())),
    };
    whole("initiators", set.initiators, &INITIATORS)?;
    whole("processes", set.processes, &PROCESSES)?;
    whole("volumes", set.volumes as usize, &VOLUMES)?;
    whole("seconds", set.seconds as usize, &SECONDS)?;
    if !set.program.is_file() {
        return Err(format!("hollow: --program '{}' is no file", set.program.display()));
    }
    let table = out.join(format!("hollow-{}-{}.csv", set.initiators, set.processes));
    std::fs::write(&table, "").map_err(|e| format!("{}: {e}", table.display()))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("no runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, play(set, &table))
}

async fn play(set: &Set, path: &Path) -> Result<(), String> {
    let (real, all) = (set.processes, set.initiators + set.processes);
    let folder = tempfile::tempdir().map_err(|e| format!("a folder for files: {e}"))?;
    let (news, heard) = mpsc::unbounded_channel();
    let mut world = World::new(heard, real, all);
    let io = |e: std::io::Error| format!("a stand-in: {e}");
    let mut boxes = Vec::new();
    for _ in 0..CLIENTS {
        boxes.push(around::disk_box().await.map_err(io)?);
    }
    let etcd = Etcd::start(boxes.clone()).await.map_err(io)?;
    let mut places = places(real, all)?;
    let join = [places[0].0, places[1].0];
    let hollow = places.split_off(real);
    let reals: Vec<SocketAddr> = places.iter().map(|(at, ..)| *at).collect();
    let listed: Vec<usize> = (0..BOXES).collect();
    let names = places.iter().enumerate().map(|(i, (at, ..))| (format!("r{i}"), *at)).collect();
    let ledger = Arc::new(Ledger::new(names, all));
    // All start at once, real ones and hollow ones.
    let mut processes = Vec::new();
    let mut fronts = Vec::new();
    for (i, (at, tcp, udp)) in places.into_iter().enumerate() {
        drop((tcp, udp));
        let follows = (i == 0).then_some(etcd.at);
        let file = folder.path().join(format!("r{i}.json"));
        // The log of a start with that many boxes is cut, and may lack where clients connect.
        let front = TcpListener::bind((at.ip(), 0)).and_then(|free| free.local_addr()).map_err(io)?;
        fronts.push(front);
        let text = around::file((&format!("r{i}"), i), [front, at], &join, follows, all, &boxes, &listed);
        std::fs::write(&file, text).map_err(|e| format!("{}: {e}", file.display()))?;
        processes.push(Process::start(&set.program, &file, i, news.clone())?);
    }
    let (stop, over) = watch::channel(false);
    let mut seats: Vec<Vec<Seat>> = (0..THREADS).map(|_| Vec::new()).collect();
    for (i, (_, tcp, udp)) in hollow.into_iter().enumerate() {
        let (index, news, ledger) = (real + i, news.clone(), ledger.clone());
        seats[i % THREADS].push(Seat { index, tcp, udp, news, ledger });
    }
    let text = around::file(("h", 0), [join[0]; 2], &join, None, all, &boxes, &listed);
    let threads: Vec<_> = seats.into_iter().map(|s| thread(text.clone(), s, over.clone())).collect();
    let began = Instant::now();
    let enough = (all - 1) as f64 * MET_ENOUGH;
    let met = world.until(MET_WITHIN, |w| w.up[w.real..].iter().all(|up| up.len() as f64 >= enough)).await;
    let (least, took) = (world.up[real..].iter().map(BTreeSet::len).min().unwrap_or(0), began.elapsed());
    println!(
        "start: each hollow one knows {least} or more of {} others after {:.1} s",
        all - 1,
        took.as_secs_f64()
    );
    if !met {
        return Err(format!("hollow: they did not meet within {MET_WITHIN:?}"));
    }
    world.pass(SETTLES).await;
    world.alive("start");

    // Nothing happens.
    let idle = measure(&mut world, &ledger, &mut processes, set.seconds).await?;
    world.alive("idle");
    let mut windows = vec![("idle", idle)];
    if set.volumes > 0 {
        ledger.volumes.store(set.volumes, Ordering::Relaxed);
        world.pass(SUMS_SETTLE).await;
        windows.push(("busy", measure(&mut world, &ledger, &mut processes, set.seconds).await?));
        ledger.volumes.store(0, Ordering::Relaxed);
        world.alive("busy");
    }

    // Drains that the first process alone hears of, while clients read.
    let reads: Rc<[Cell<u64>; 2]> = Rc::default();
    for (i, front) in fronts.iter().enumerate().skip(real - CLIENTS) {
        tokio::task::spawn_local(around::client(*front, i as u64, reads.clone()));
    }
    let drained: Vec<usize> = (0..DRAINS).map(|n| n * BOXES / (DRAINS + 2)).collect();
    for number in &drained {
        etcd.drain(*number);
        world.pass(DRAIN_EVERY).await;
    }
    let ids: Vec<String> = drained.iter().map(|n| around::name(*n)).collect();
    world.until(KNOWN_WITHIN, |w| ids.iter().all(|id| w.know(id) + 1 >= all)).await;
    let mut known = Vec::new();
    let mut by_drain: Vec<BTreeMap<usize, f64>> = Vec::new();
    for id in &ids {
        let told = *world.listed.get(id).ok_or(format!("the first process was not told that {id} drains"))?;
        let at = world.stopped.get(id).cloned().unwrap_or_default();
        let after = at.into_iter().map(|(who, at)| (who, at.saturating_duration_since(told)));
        let times: BTreeMap<usize, f64> =
            after.filter(|(who, _)| *who > 0).map(|(w, d)| (w, d.as_secs_f64())).collect();
        known.extend(times.values());
        by_drain.push(times);
    }
    known.sort_by(f64::total_cmp);
    let pairs = DRAINS * (all - 1);
    world.alive("drains");

    // One is stopped for a while, in which a box drains.
    let late = (DRAINS + 1) * BOXES / (DRAINS + 2) - 1;
    world.faulted.insert("r1".into());
    processes[1].signal(Signal::STOP)?;
    let stopped = Instant::now();
    world.pass(DRAINS_INTO).await;
    etcd.drain(late);
    world.pass(STOPPED.saturating_sub(stopped.elapsed())).await;
    let gone = world.turns("r1", false, stopped);
    processes[1].signal(Signal::CONT)?;
    let goes_on = Instant::now();
    let late_name = around::name(late);
    let knows = |w: &World| w.stopped.get(&late_name).and_then(|known| known.get(&1)).copied();
    world.until(FAULT_WITHIN, |w| w.hollow_up("r1") == all - real && knows(w).is_some()).await;
    let back = world.turns("r1", true, goes_on);
    let learnt = knows(&world)
        .map_or("never".into(), |at| format!("{:.2} s", at.saturating_duration_since(goes_on).as_secs_f64()));
    println!(
        "stopped for {} s: taken for dead by {} of {} after p50 {} s, worst {} s; alive again at {} of them \
         after p50 {} s, worst {} s; a drain of meanwhile known after {learnt}",
        STOPPED.as_secs(),
        gone.len(),
        all - 1,
        part(&gone, 0.5),
        part(&gone, 1.0),
        back.len(),
        part(&back, 0.5),
        part(&back, 1.0),
    );
    world.alive("stop");

    // Several are killed at once.
    let dead: Vec<usize> = (2..2 + real / 3).collect();
    let dead_names: Vec<String> = dead.iter().map(|i| format!("r{i}")).collect();
    world.faulted.extend(dead_names.iter().cloned());
    dead.iter().for_each(|i| processes[*i].kill());
    let killed = Instant::now();
    world.until(FAULT_WITHIN, |w| dead_names.iter().all(|name| w.hollow_up(name) == 0)).await;
    let mut gone: Vec<f64> = dead_names.iter().flat_map(|name| world.turns(name, false, killed)).collect();
    gone.sort_by(f64::total_cmp);
    let left: usize = dead_names.iter().map(|name| world.hollow_up(name)).sum();
    println!(
        "killed {} at once: known after p50 {} s, worst {} s; {left} of {} hollow pairs not told",
        dead.len(),
        part(&gone, 0.5),
        part(&gone, 1.0),
        dead.len() * (all - real)
    );
    world.alive("death");

    // One of them returns with a list from before the drains: of a few boxes, since of a start's log with
    // many all but fifty lines are left out.
    let few: Vec<usize> = drained.iter().copied().chain([late]).chain(1..=FEW).collect();
    let text = around::file(("r2", 2), [fronts[2], reals[2]], &join, None, all, &boxes, &few);
    let file = folder.path().join("r2.json");
    std::fs::write(&file, text).map_err(|e| format!("{}: {e}", file.display()))?;
    for known in world.stopped.values_mut() {
        known.remove(&2);
    }
    let returns = Instant::now();
    processes[2].restart()?;
    let told = ids.iter().chain([&late_name]);
    let informed =
        |w: &World| told.clone().filter(|id| w.stopped.get(*id).is_some_and(|k| k.contains_key(&2))).count();
    world.until(FAULT_WITHIN, |w| w.hollow_up("r2") == all - real && informed(w) == DRAINS + 1).await;
    let (back, up) = (world.turns("r2", true, returns), world.hollow_up("r2"));
    println!(
        "restarted: alive at {up} of {} hollow ones after p50 {} s, worst {} s; it knows {} of {} drains",
        all - real,
        part(&back, 0.5),
        part(&back, 1.0),
        informed(&world),
        DRAINS + 1
    );
    world.alive("restart");
    let [served, failed] = [0, 1].map(|n| reads[n].get());
    println!(
        "clients: {served} reads served, {failed} failed; {} warnings in logs and of hollow ones",
        world.warned
    );
    let _ = stop.send(true);
    for thread in threads {
        thread.join().map_err(|_| "a thread of hollow initiators ended early")?;
    }

    // The table, and what it amounts to.
    let mut table = String::from("initiator");
    for (name, _) in &windows {
        let _ = write!(
            table,
            ",{name}_received_bytes_s,{name}_sent_bytes_s,{name}_core_percent,{name}_memory_mb"
        );
    }
    for n in 1..=DRAINS {
        let _ = write!(table, ",drain_{n}_known_s");
    }
    for i in 0..all {
        let name = if i < real { format!("r{i}") } else { format!("h{i}") };
        let _ = write!(table, "\n{name}");
        for (_, window) in &windows {
            let figures = window.real.get(i).map_or(",".into(), |(core, mb)| format!("{core:.3},{mb:.1}"));
            let _ = write!(table, ",{:.0},{:.0},{figures}", window.bytes[i][0], window.bytes[i][1]);
        }
        for times in &by_drain {
            let _ = write!(table, ",{}", times.get(&i).map_or(String::new(), |s| format!("{s:.3}")));
        }
    }
    std::fs::write(path, table + "\n").map_err(|e| format!("{}: {e}", path.display()))?;
    let mean = |of: &mut dyn Iterator<Item = f64>| {
        let all: Vec<f64> = of.collect();
        all.iter().sum::<f64>() / all.len().max(1) as f64
    };
    // Bytes between two real ones are not seen: each has as many partners among them as their part of all is.
    let unseen = (all - 1) as f64 / set.initiators as f64;
    let mut of_a_real = String::new();
    for (name, window) in &windows {
        let both = |i: usize| window.bytes[i][0] + window.bytes[i][1];
        let (hollow, carried) = (mean(&mut (real..all).map(both)), window.carried);
        println!(
            "{name}: a hollow one sent and received {hollow:.0} bytes/s; the loopback carried {carried:.0}"
        );
        // Of those that follow no list.
        let bytes = mean(&mut (1..real).map(both)) * unseen;
        let [core, mb] = [0, 1].map(|n| mean(&mut window.real[1..].iter().map(|f| [f.0, f.1][n])));
        let _ = write!(of_a_real, "{bytes:.0} bytes/s {name}, {core:.2}% of a core, {mb:.1} MB; ");
    }
    println!(
        "hollow: {} hollow and {real} real, known by all p50 {} s p99 {} s worst {} s, never {} of {pairs}; \
         a real one sent and received {}",
        set.initiators,
        part(&known, 0.5),
        part(&known, 0.99),
        part(&known, 1.0),
        pairs - known.len(),
        of_a_real.trim_end_matches("; "),
    );
    Ok(())
}

/// What a window cost.
struct Window {
    /// Received and sent bytes a second, of all.
    bytes: Vec<[f64; 2]>,
    /// Of real ones, per cent of a core and resident megabytes.
    real: Vec<(f64, f64)>,
    /// Bytes a second of the loopback.
    carried: f64,
}

async fn measure(
    world: &mut World,
    ledger: &Ledger,
    processes: &mut [Process],
    seconds: u64,
) -> Result<Window, String> {
    let mut usage = || -> Result<Vec<Usage>, String> { processes.iter_mut().map(Process::usage).collect() };
    let (bytes, used, loop_bytes, since) = (ledger.now(), usage()?, carried()?, Instant::now());
    world.pass(Duration::from_secs(seconds)).await;
    let seconds = since.elapsed().as_secs_f64();
    let moved = ledger.now().into_iter().zip(bytes);
    let core = |now: &Usage, was: &Usage| (now.seconds - was.seconds) / seconds * 100.0;
    let real =
        usage()?.iter().zip(&used).map(|(now, was)| (core(now, was), now.resident as f64 / 1e6)).collect();
    Ok(Window {
        bytes: moved.map(|(now, was)| [0, 1].map(|way| (now[way] - was[way]) as f64 / seconds)).collect(),
        real,
        carried: (carried()? - loop_bytes) as f64 / seconds,
    })
}

/// Bytes that the loopback interface has carried, whosever they are.
fn carried() -> Result<u64, String> {
    let path = "/proc/net/dev";
    let text = std::fs::read_to_string(path).map_err(|e| format!("{path}: {e}"))?;
    let line = text.lines().find_map(|line| line.trim().strip_prefix("lo:"));
    let bytes = line.and_then(|rest| rest.split_whitespace().next()?.parse().ok());
    bytes.ok_or(format!("{path}: no figures of the loopback"))
}
