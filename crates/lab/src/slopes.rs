//! One real process of the program, by its slopes: what it costs for each client, request, box and restart.
//!
//! All that stands round it is on loopback and in this process ([`endpoints`], [`discovery`], [`client`]); its cost is what the system says
//! of it ([`process`]). Each table is `slopes-PART.csv`, and the least-squares lines through its points
//! `slopes-PART-fit.csv` with the largest deviation of a point from its line, by which a bend shows.

mod client;
mod discovery;
mod endpoints;
mod error;
mod process;
mod table;

use client::{Client, EXPORTS};
use discovery::Discovery;
use endpoints::Boxes;
use error::SlopesError;
use process::{Process, Setup};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, Instant};
use table::Table;
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout};

/// Which of the program's fronts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Front {
    /// The platform's.
    Http,
    /// The operator's.
    Nbd,
}

const RUNS: usize = 2;
const IDLE: [usize; 5] = [100, 1_000, 3_700, 7_400, 11_100];
const RATES: [usize; 4] = [100, 350, 700, 1_050];
const LISTS: [usize; 4] = [88, 220, 440, 880];
const BACK: [usize; 5] = [740, 1_850, 3_700, 7_400, 11_100];
/// Descriptors granted, with which 7,400 clients are met.
const GRANTS: [usize; 5] = [4_096, 10_000, 20_000, 29_600, 44_400];
/// So many descriptors, as the file says it, that no bound of the fronts is met.
const ROOMY: usize = 65_536;
/// MiB of the deployment page's example.
const EXAMPLE_MB: u64 = 2_048;
/// Clients by which requests come: one for each export.
const ASKING: usize = EXPORTS;
/// News of each kind, told one after another.
const NEWS: usize = 10;
/// What one costs is over by then,
const SETTLED: Duration = Duration::from_millis(50);
/// and the log, which a whole list fills for a second, has room for the next.
const REST: Duration = Duration::from_millis(1_100);
/// Over so long they come where there may be no room for all of them.
const GRANTED_COME: Duration = Duration::from_secs(3);
/// Clients that connect at a time where a table is filled, and not all at once as after a restart: half of what
/// waits at a listener.
const CONNECTING: usize = 64;
/// No part of the tables takes longer.
const PART_MOST: Duration = Duration::from_secs(900);
/// A client that is not there by then has not come.
const COMES_WITHIN: Duration = Duration::from_secs(10);
/// A client whose connection was refused or reset comes again after this.
const COMES_AGAIN: Duration = Duration::from_millis(200);

const PARTS: [&str; 8] =
    ["idle-http", "idle-nbd", "rate-http", "rate-http-880", "rate-nbd", "rate-nbd-880", "list", "restart"];

/// Measures the parts, or one of them, and leaves the tables in a folder.
pub fn run(program: &Path, only: Option<&str>, out: &Path) -> Result<(), SlopesError> {
    if !program.is_file() {
        return Err(SlopesError::NoProgram(program.into()));
    }
    if let Some(part) = only.filter(|part| !PARTS.contains(part)) {
        return Err(SlopesError::UnknownPart { part: part.to_owned(), parts: PARTS.join(", ") });
    }
    let folder = tempfile::tempdir().map_err(SlopesError::Folder)?;
    let bench = Bench { program: program.into(), folder: folder.path().into(), out: out.into() };
    for part in PARTS.into_iter().filter(|part| only.is_none_or(|only| only == *part)) {
        // All that one part started ends with its threads.
        let threads = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
        let threads = threads.map_err(SlopesError::Threads)?;
        let measured = threads.block_on(async { timeout(PART_MOST, bench.measure(part)).await });
        threads.shutdown_timeout(Duration::from_secs(5));
        measured.map_err(|_| SlopesError::TooLong { part, seconds: PART_MOST.as_secs() })??;
    }
    Ok(())
}

struct Bench {
    program: PathBuf,
    folder: PathBuf,
    out: PathBuf,
}

/// The process that is measured, and its discovery.
struct Measured {
    process: Process,
    discovery: Discovery,
    setup: Setup,
}

/// What came of requests at a steady rate.
#[derive(Default)]
struct Load {
    served: usize,
    refused: usize,
    /// Seconds, of those served.
    waits: Vec<f64>,
}

impl Load {
    /// Answers of either kind.
    fn all(&self) -> f64 {
        (self.served + self.refused).max(1) as f64
    }
}

/// The value below which this part of the values lies; 0 of none.
fn quantile(values: &mut [f64], part: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let place = (values.len() as f64 * part).ceil() as usize;
    values.get(place.saturating_sub(1)).copied().unwrap_or(0.0)
}

impl Bench {
    async fn measure(&self, part: &str) -> Result<(), SlopesError> {
        match part {
            "idle-http" => self.idle(part, Front::Http).await,
            "idle-nbd" => self.idle(part, Front::Nbd).await,
            "rate-http" => self.rate(part, Front::Http, LISTS[0]).await,
            "rate-http-880" => self.rate(part, Front::Http, LISTS[3]).await,
            "rate-nbd" => self.rate(part, Front::Nbd, LISTS[0]).await,
            "rate-nbd-880" => self.rate(part, Front::Nbd, LISTS[3]).await,
            "list" => {
                self.list("list-http", Front::Http).await?;
                self.list("list-nbd", Front::Nbd).await
            }
            _ => {
                self.restart("restart-http", Front::Http).await?;
                self.restart("restart-nbd", Front::Nbd).await
            }
        }
    }

    async fn start(
        &self,
        front: Front,
        boxes: &Boxes,
        sockets: usize,
        memory_mb: u64,
    ) -> Result<Measured, SlopesError> {
        // A port that is free now; the process is told its number, for its log may not have room to say it.
        let free = TcpListener::bind("127.0.0.1:0").await.and_then(|listener| listener.local_addr());
        let listen = free.map_err(SlopesError::StandIn)?;
        let (boxes, draining) = (boxes.addresses.clone(), None);
        let discovery = Discovery::start(&boxes).await.map_err(SlopesError::StandIn)?;
        let setup = Setup { front, listen, boxes, sockets, memory_mb, draining };
        let mut process = Process::start(&self.program, &self.folder, &setup, &discovery).await?;
        // The burst of lines that a start brings is over, and so are its own calls.
        sleep(Duration::from_millis(1_500)).await;
        process.forget();
        Ok(Measured { process, discovery, setup })
    }

    async fn idle(&self, part: &str, front: Front) -> Result<(), SlopesError> {
        let boxes = Boxes::start(front, LISTS[0]).await.map_err(SlopesError::StandIn)?;
        let mut table = Table::new(
            part,
            "clients run open descriptors resident_bytes accepts_per_s core_us_per_accept \
                core_us_per_s busy_p50_ms busy_p99_ms",
        );
        for (count, run) in IDLE.into_iter().flat_map(|count| (0..RUNS).map(move |run| (count, run))) {
            let Measured { process, .. } = self.start(front, &boxes, ROOMY, 0).await?;
            let mut busy =
                Client::connect(front, process.address, 0, LISTS[0]).await.map_err(SlopesError::StandIn)?;
            drive(vec![&mut busy], 50.0, Duration::from_secs(1)).await?;
            let (held, before) = (process.resident()?, process.spent()?);
            let begun = Instant::now();
            let clients = crowd(front, process.address, count, CONNECTING, Duration::ZERO).await;
            let took = begun.elapsed().as_secs_f64();
            let came = process.spent()?;
            let quiet = Duration::from_secs(4);
            sleep(quiet).await;
            let rested = process.spent()? - came;
            let mut load = drive(vec![&mut busy], 100.0, Duration::from_secs(5)).await?;
            let open = clients.iter().filter(|client| !client.is_over()).count();
            table.row(&[
                count as f64,
                run as f64,
                open as f64,
                process.descriptors()? as f64,
                process.resident()? - held,
                clients.len() as f64 / took,
                (came - before) * 1e6 / count as f64,
                rested * 1e6 / quiet.as_secs_f64(),
                quantile(&mut load.waits, 0.5) * 1e3,
                quantile(&mut load.waits, 0.99) * 1e3,
            ]);
            drop(clients);
            process.kill().await?;
        }
        table.fit("clients", "resident_bytes core_us_per_accept core_us_per_s busy_p50_ms busy_p99_ms")?;
        table.write(&self.out)?;
        let mut table =
            Table::new(&format!("{part}-granted"), "sockets memory_mb clients came open_after_5_s");
        for sockets in GRANTS {
            let Measured { process, .. } = self.start(front, &boxes, sockets, EXAMPLE_MB).await?;
            let clients = crowd(front, process.address, 7_400, 7_400, GRANTED_COME).await;
            sleep(Duration::from_secs(5)).await;
            let open = clients.iter().filter(|client| !client.is_over()).count();
            table.row(&[sockets as f64, EXAMPLE_MB as f64, 7_400.0, clients.len() as f64, open as f64]);
            drop(clients);
            process.kill().await?;
        }
        table.write(&self.out)
    }

    async fn rate(&self, part: &str, front: Front, count: usize) -> Result<(), SlopesError> {
        let boxes = Boxes::start(front, count).await.map_err(SlopesError::StandIn)?;
        let mut table = Table::new(
            part,
            "rate run served refused core_us_per_s core_us_per_request p50_ms p99_ms \
                resident_bytes",
        );
        for (rate, run) in RATES.into_iter().flat_map(|rate| (0..RUNS).map(move |run| (rate, run))) {
            let Measured { process, .. } = self.start(front, &boxes, ROOMY, 0).await?;
            let (mut load, spent) = loaded(&process, front, count, rate, Duration::from_secs(8)).await?;
            table.row(&[
                rate as f64,
                run as f64,
                load.served as f64,
                load.refused as f64,
                spent * 1e6 / 8.0,
                spent * 1e6 / load.all(),
                quantile(&mut load.waits, 0.5) * 1e3,
                quantile(&mut load.waits, 0.99) * 1e3,
                process.resident()?,
            ]);
            process.kill().await?;
        }
        table.fit("rate", "core_us_per_s core_us_per_request p50_ms p99_ms")?;
        table.write(&self.out)
    }

    /// What the number of boxes costs. Over NBD news of the list is a new file, and nothing else.
    async fn list(&self, part: &str, front: Front) -> Result<(), SlopesError> {
        let mut table = Table::new(
            part,
            "boxes run resident_ready_bytes file_bytes sighup_ms sighup_core_us whole_list_bytes whole_list_ms \
             whole_list_core_us change_bytes change_ms change_core_us resident_busy_bytes descriptors_busy \
             core_us_per_request p50_ms p99_ms",
        );
        for (count, run) in LISTS.into_iter().flat_map(|count| (0..RUNS).map(move |run| (count, run))) {
            let boxes = Boxes::start(front, count).await.map_err(SlopesError::StandIn)?;
            let Measured { mut process, discovery, setup } = self.start(front, &boxes, ROOMY, 0).await?;
            let ready = process.resident()?;
            let mut row = vec![count as f64, run as f64, ready, setup.text(discovery.address)?.len() as f64];
            row.extend(hang_ups(&mut process, &setup, &discovery).await?);
            for whole in [true, false] {
                row.extend(match front {
                    Front::Http => news(&mut process, &discovery, whole).await?,
                    Front::Nbd => [f64::NAN; 3],
                });
            }
            // The requests come last, so that no connection to a box ends while news is measured.
            let (mut load, spent) = loaded(&process, front, count, 350, Duration::from_secs(6)).await?;
            row.extend([process.resident()?, process.descriptors()? as f64, spent * 1e6 / load.all()]);
            row.extend([quantile(&mut load.waits, 0.5) * 1e3, quantile(&mut load.waits, 0.99) * 1e3]);
            table.row(&row);
            process.kill().await?;
        }
        table.fit(
            "boxes",
            "resident_ready_bytes resident_busy_bytes descriptors_busy core_us_per_request p50_ms file_bytes \
             sighup_ms sighup_core_us whole_list_bytes whole_list_ms whole_list_core_us change_bytes \
             change_ms change_core_us",
        )?;
        table.write(&self.out)
    }

    /// A process with clients is killed, and its successor on the same address gets all of them back, either
    /// at one instant or over one second.
    async fn restart(&self, part: &str, front: Front) -> Result<(), SlopesError> {
        let count = LISTS[LISTS.len() - 1];
        let boxes = Boxes::start(front, count).await.map_err(SlopesError::StandIn)?;
        let columns = "clients run spread_ms ready_ms discovery_calls discovery_bytes box_connections back \
                       back_p50_s back_p99_s back_all_s core_us_per_client resident_bytes";
        let mut tables =
            [0, 1_000].map(|spread| (spread, Table::new(&format!("{part}-{spread}ms"), columns)));
        let points = BACK.into_iter().flat_map(|clients| (0..RUNS).map(move |run| (clients, run)));
        for (clients, run) in points {
            for (spread, table) in &mut tables {
                let Measured { process, discovery, setup } = self.start(front, &boxes, ROOMY, 0).await?;
                let there = crowd(front, process.address, clients, CONNECTING, Duration::ZERO).await;
                process.kill().await?;
                drop(there);
                let (calls, bytes) = discovery.cost();
                let used = boxes.connections.load(Relaxed);
                let process = Process::start(&self.program, &self.folder, &setup, &discovery).await?;
                let (spent, ready) = (process.spent()?, Instant::now());
                let (to, pace) = (process.address, Duration::from_millis(*spread) / clients as u32);
                let mut coming = JoinSet::new();
                for number in 0..clients {
                    coming.spawn(async move {
                        sleep_until((ready + pace * number as u32).into()).await;
                        let client = come(front, to, number, count).await?;
                        Some((ready.elapsed().as_secs_f64(), client))
                    });
                }
                let back: Vec<(f64, Client)> = coming.join_all().await.into_iter().flatten().collect();
                let core = process.spent()? - spent;
                let mut waits: Vec<f64> = back.iter().map(|(wait, _)| *wait).collect();
                let asked = discovery.cost();
                table.row(&[
                    clients as f64,
                    run as f64,
                    *spread as f64,
                    process.ready_after.as_secs_f64() * 1e3,
                    (asked.0 - calls) as f64,
                    (asked.1 - bytes) as f64,
                    (boxes.connections.load(Relaxed) - used) as f64,
                    back.len() as f64,
                    quantile(&mut waits, 0.5),
                    quantile(&mut waits, 0.99),
                    quantile(&mut waits, 1.0),
                    core * 1e6 / clients as f64,
                    process.resident()?,
                ]);
                drop(back);
                process.kill().await?;
            }
        }
        for (_, mut table) in tables {
            table.fit("clients", "back_p50_s back_p99_s back_all_s core_us_per_client resident_bytes")?;
            table.write(&self.out)?;
        }
        Ok(())
    }
}

/// One client, which comes again until it is there; `None`: it was not in time.
async fn come(front: Front, to: SocketAddr, number: usize, shards: usize) -> Option<Client> {
    let came = async {
        loop {
            match Client::connect(front, to, number, shards).await {
                Ok(client) => return client,
                Err(_) => sleep(COMES_AGAIN).await,
            }
        }
    };
    timeout(COMES_WITHIN, came).await.ok()
}

/// So many clients, evenly over a span and no more than `at_once` of them on the way at a time; those that came.
async fn crowd(front: Front, to: SocketAddr, count: usize, at_once: usize, over: Duration) -> Vec<Client> {
    let (mut coming, mut came) = (JoinSet::new(), Vec::with_capacity(count));
    let (begun, pace) = (Instant::now(), over / count as u32);
    for number in 0..count {
        if coming.len() >= at_once {
            came.extend(coming.join_next().await.and_then(Result::ok).flatten());
        }
        coming.spawn(async move {
            sleep_until((begun + pace * number as u32).into()).await;
            come(front, to, number, LISTS[0]).await
        });
    }
    came.extend(coming.join_all().await.into_iter().flatten());
    came
}

/// Requests at a steady rate for a span, spread evenly over the clients. One that is late because its client
/// still waited for the one before counts from when it was due.
async fn drive(clients: Vec<&mut Client>, rate: f64, span: Duration) -> Result<Load, SlopesError> {
    let start = Instant::now();
    let all = clients.len();
    let each = clients.into_iter().enumerate().map(|(place, client)| async move {
        let mut load = Load::default();
        for number in (place..).step_by(all) {
            let due = Duration::from_secs_f64(number as f64 / rate);
            if due >= span {
                break;
            }
            let (due, now) = (start + due, Instant::now());
            sleep_until(due.into()).await;
            let from = if now > due { due } else { Instant::now() };
            match client.ask(number).await.map_err(SlopesError::StandIn)? {
                true => load.waits.push(from.elapsed().as_secs_f64()),
                false => load.refused += 1,
            }
        }
        load.served = load.waits.len();
        Ok::<Load, SlopesError>(load)
    });
    let mut sum = Load::default();
    for load in futures_util::future::try_join_all(each).await? {
        sum.served += load.served;
        sum.refused += load.refused;
        sum.waits.extend(load.waits);
    }
    Ok(sum)
}

/// The same by fresh clients, once two seconds of it have warmed the process up; and its processor time.
async fn loaded(
    process: &Process,
    front: Front,
    shards: usize,
    rate: usize,
    span: Duration,
) -> Result<(Load, f64), SlopesError> {
    let mut clients = Vec::new();
    for number in 0..ASKING {
        clients.push(
            Client::connect(front, process.address, number, shards).await.map_err(SlopesError::StandIn)?,
        );
    }
    drive(clients.iter_mut().collect(), rate as f64, Duration::from_secs(2)).await?;
    let before = process.spent()?;
    let load = drive(clients.iter_mut().collect(), rate as f64, span).await?;
    Ok((load, process.spent()? - before))
}

/// News of the list, told one after another: the bytes of one, the median of the milliseconds until the log
/// says that it counts, and the mean of the processor time in microseconds.
async fn news(process: &mut Process, discovery: &Discovery, whole: bool) -> Result<[f64; 3], SlopesError> {
    let (mut bytes, mut waits, mut core) = (0, Vec::new(), 0.0);
    for n in 0..NEWS {
        let (shard, before) = (n / 2, process.spent()?);
        let at = Instant::now();
        bytes = discovery.tell(shard, n % 2 == 0, whole);
        let (seen, _) = process.says(&format!("endpoint listed id=\"s-{shard:08x}\"")).await?;
        waits.push((seen - at).as_secs_f64());
        sleep(SETTLED).await;
        core += process.spent()? - before;
        if whole {
            sleep(REST).await;
            process.forget();
        }
    }
    Ok([bytes as f64, quantile(&mut waits, 0.5) * 1e3, core * 1e6 / NEWS as f64])
}

/// SIGHUP with a new file each time: the same of it, without the bytes.
async fn hang_ups(
    process: &mut Process,
    setup: &Setup,
    discovery: &Discovery,
) -> Result<[f64; 2], SlopesError> {
    let until =
        if setup.front == Front::Http { "configuration was reloaded" } else { "endpoint listed id=\"s-" };
    let (mut waits, mut core) = (Vec::new(), 0.0);
    for n in 0..NEWS {
        let text = Setup { draining: (n % 2 == 0).then_some(0), ..setup.clone() }.text(discovery.address)?;
        let before = process.spent()?;
        let at = process.hang_up(&text)?;
        let (seen, _) = process.says(until).await?;
        waits.push((seen - at).as_secs_f64());
        sleep(SETTLED).await;
        core += process.spent()? - before;
        if setup.front == Front::Nbd {
            sleep(REST).await;
            process.forget();
        }
    }
    Ok([quantile(&mut waits, 0.5) * 1e3, core * 1e6 / NEWS as f64])
}
