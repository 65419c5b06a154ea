//! Measures one real process of the program: what each client, request, listed endpoint and restart costs, by
//! the slope of the cost over their number.
//!
//! The endpoints, the discovery service and the clients run in this process and are reached on loopback
//! ([`endpoints`], [`discovery`], [`client`]). The cost is taken from the operating system's figures of the
//! process ([`process`]). Each part writes its table to `slopes-PART.csv` and the least-squares lines through
//! its points to `slopes-PART-fit.csv`, with the largest deviation of a point from its line, which shows
//! where a cost is not linear.

mod client;
mod discovery;
mod endpoints;
mod error;
mod process;
mod table;

use client::{Client, EXPORTS};
use discovery::Discovery;
use endpoints::Endpoints;
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

/// A front of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Front {
    /// HTTP, as the platform uses it.
    Http,
    /// NBD, as configured by an operator.
    Nbd,
}

/// Number of runs for each point of a table.
const RUNS_PER_POINT: usize = 2;
/// Numbers of idle clients.
const IDLE_CLIENT_COUNTS: [usize; 5] = [100, 1_000, 3_700, 7_400, 11_100];
/// Request rates, per second.
const REQUEST_RATES: [usize; 4] = [100, 350, 700, 1_050];
/// Numbers of endpoints in the list.
const LIST_SIZES: [usize; 4] = [88, 220, 440, 880];
/// Numbers of clients that reconnect after a restart.
const RETURNING_CLIENT_COUNTS: [usize; 5] = [740, 1_850, 3_700, 7_400, 11_100];
/// Descriptor limits in the configuration with which 7,400 clients connect.
const DESCRIPTOR_LIMITS: [usize; 5] = [4_096, 10_000, 20_000, 29_600, 44_400];
/// Descriptor limit in the configuration at which no limit of the fronts is reached.
const AMPLE_DESCRIPTORS: usize = 65_536;
/// Memory limit in MiB, as in the example of the deployment, for the runs with limited descriptors.
const EXAMPLE_MEMORY_MB: u64 = 2_048;
/// Clients that send requests: one for each export.
const REQUESTING_CLIENTS: usize = EXPORTS;
/// Number of list changes of each kind, which follow one after another.
const LIST_CHANGES: usize = 10;
/// Time after which the processing of a list change is complete.
const SETTLE_TIME: Duration = Duration::from_millis(50);
/// Time after which the log has space again: a full list exhausts its rate limit for one second.
const LOG_RECOVERY_TIME: Duration = Duration::from_millis(1_100);
/// Time over which clients connect when there may not be enough descriptors for all of them.
const LIMITED_CONNECT_SPAN: Duration = Duration::from_secs(3);
/// Maximum number of clients that connect at the same time before a measurement: half of a listen backlog of
/// 128. After a restart, there is no such limit.
const MAX_CONNECTING: usize = 64;
/// Time limit of one part.
const PART_TIMEOUT: Duration = Duration::from_secs(900);
/// A client that has not connected within this time counts as failed.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after which a client connects again whose connection was refused or reset.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Names of the parts.
const PARTS: [&str; 8] =
    ["idle-http", "idle-nbd", "rate-http", "rate-http-880", "rate-nbd", "rate-nbd-880", "list", "restart"];

/// Measures all parts, or only the one that `only` names, and writes the tables to `out`.
pub fn run(program: &Path, only: Option<&str>, out: &Path) -> Result<(), SlopesError> {
    if !program.is_file() {
        return Err(SlopesError::NoProgram(program.into()));
    }
    if let Some(part) = only.filter(|part| !PARTS.contains(part)) {
        return Err(SlopesError::UnknownPart { part: part.to_owned(), parts: PARTS.join(", ") });
    }
    let directory = tempfile::tempdir().map_err(SlopesError::Directory)?;
    let experiment =
        Experiment { program: program.into(), directory: directory.path().into(), out: out.into() };
    for part in PARTS.into_iter().filter(|part| only.is_none_or(|only| only == *part)) {
        // Each part has its own runtime, so that everything it started ends with the part.
        let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
        let runtime = runtime.map_err(SlopesError::Threads)?;
        let measured = runtime.block_on(async { timeout(PART_TIMEOUT, experiment.measure(part)).await });
        runtime.shutdown_timeout(Duration::from_secs(5));
        measured.map_err(|_| SlopesError::TooLong { part, seconds: PART_TIMEOUT.as_secs() })??;
    }
    Ok(())
}

/// Paths used by all parts.
struct Experiment {
    program: PathBuf,
    directory: PathBuf,
    out: PathBuf,
}

/// The process that is measured, and its discovery service.
struct RunningProgram {
    process: Process,
    discovery: Discovery,
    setup: Setup,
}

/// Results of requests at a steady rate.
#[derive(Default)]
struct LoadResult {
    served: usize,
    rejected: usize,
    /// Response times of the served requests, in seconds.
    latencies: Vec<f64>,
}

impl LoadResult {
    /// Returns the number of answers, served or rejected, or 1 if there were none.
    fn answers(&self) -> f64 {
        (self.served + self.rejected).max(1) as f64
    }
}

/// Returns the quantile of the values at `fraction` (0.0 to 1.0), or 0 if there are no values.
fn quantile(values: &mut [f64], fraction: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let rank = (values.len() as f64 * fraction).ceil() as usize;
    values.get(rank.saturating_sub(1)).copied().unwrap_or(0.0)
}

impl Experiment {
    /// Measures one part.
    async fn measure(&self, part: &str) -> Result<(), SlopesError> {
        match part {
            "idle-http" => self.idle(part, Front::Http).await,
            "idle-nbd" => self.idle(part, Front::Nbd).await,
            "rate-http" => self.rate(part, Front::Http, LIST_SIZES[0]).await,
            "rate-http-880" => self.rate(part, Front::Http, LIST_SIZES[3]).await,
            "rate-nbd" => self.rate(part, Front::Nbd, LIST_SIZES[0]).await,
            "rate-nbd-880" => self.rate(part, Front::Nbd, LIST_SIZES[3]).await,
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

    /// Starts a discovery service and a process, and waits until the process is idle.
    async fn start(
        &self,
        front: Front,
        endpoints: &Endpoints,
        sockets: usize,
        memory_mb: u64,
    ) -> Result<RunningProgram, SlopesError> {
        // The port is chosen here, because the rate limit of the process's log may suppress the line with its
        // address.
        let free = TcpListener::bind("127.0.0.1:0").await.and_then(|listener| listener.local_addr());
        let listen = free.map_err(SlopesError::Stub)?;
        let (endpoints, draining) = (endpoints.addresses.clone(), None);
        let discovery = Discovery::start(&endpoints).await.map_err(SlopesError::Stub)?;
        let setup = Setup { front, listen, endpoints, sockets, memory_mb, draining };
        let mut process = Process::start(&self.program, &self.directory, &setup, &discovery).await?;
        // By then, the log lines and the discovery calls of the start are complete.
        sleep(Duration::from_millis(1_500)).await;
        process.discard_log();
        Ok(RunningProgram { process, discovery, setup })
    }

    /// Measures the cost of idle clients, and how many clients can connect with a limited number of
    /// descriptors.
    async fn idle(&self, part: &str, front: Front) -> Result<(), SlopesError> {
        let endpoints = Endpoints::start(front, LIST_SIZES[0]).await.map_err(SlopesError::Stub)?;
        let mut table = Table::new(
            part,
            "clients run open descriptors resident_bytes accepts_per_s core_us_per_accept \
                core_us_per_s busy_p50_ms busy_p99_ms",
        );
        for (count, run) in
            IDLE_CLIENT_COUNTS.into_iter().flat_map(|count| (0..RUNS_PER_POINT).map(move |run| (count, run)))
        {
            let RunningProgram { process, .. } = self.start(front, &endpoints, AMPLE_DESCRIPTORS, 0).await?;
            let mut active_client =
                Client::connect(front, process.address, 0, LIST_SIZES[0]).await.map_err(SlopesError::Stub)?;
            run_load(vec![&mut active_client], 50.0, Duration::from_secs(1)).await?;
            let (resident_before, before) = (process.resident_bytes()?, process.cpu_seconds()?);
            let started = Instant::now();
            let clients =
                connect_clients(front, process.address, count, MAX_CONNECTING, Duration::ZERO).await;
            let duration = started.elapsed().as_secs_f64();
            let cpu_after_connect = process.cpu_seconds()?;
            let idle_span = Duration::from_secs(4);
            sleep(idle_span).await;
            let idle_cpu = process.cpu_seconds()? - cpu_after_connect;
            let mut load = run_load(vec![&mut active_client], 100.0, Duration::from_secs(5)).await?;
            let open = clients.iter().filter(|client| !client.is_closed()).count();
            table.row(&[
                count as f64,
                run as f64,
                open as f64,
                process.open_descriptors()? as f64,
                process.resident_bytes()? - resident_before,
                clients.len() as f64 / duration,
                (cpu_after_connect - before) * 1e6 / count as f64,
                idle_cpu * 1e6 / idle_span.as_secs_f64(),
                quantile(&mut load.latencies, 0.5) * 1e3,
                quantile(&mut load.latencies, 0.99) * 1e3,
            ]);
            drop(clients);
            process.kill().await?;
        }
        table.fit("clients", "resident_bytes core_us_per_accept core_us_per_s busy_p50_ms busy_p99_ms")?;
        table.write(&self.out)?;
        let mut table =
            Table::new(&format!("{part}-granted"), "sockets memory_mb clients came open_after_5_s");
        for sockets in DESCRIPTOR_LIMITS {
            let RunningProgram { process, .. } =
                self.start(front, &endpoints, sockets, EXAMPLE_MEMORY_MB).await?;
            let clients = connect_clients(front, process.address, 7_400, 7_400, LIMITED_CONNECT_SPAN).await;
            sleep(Duration::from_secs(5)).await;
            let open = clients.iter().filter(|client| !client.is_closed()).count();
            table.row(&[
                sockets as f64,
                EXAMPLE_MEMORY_MB as f64,
                7_400.0,
                clients.len() as f64,
                open as f64,
            ]);
            drop(clients);
            process.kill().await?;
        }
        table.write(&self.out)
    }

    /// Measures the cost of requests by their rate, with `count` endpoints in the list.
    async fn rate(&self, part: &str, front: Front, count: usize) -> Result<(), SlopesError> {
        let endpoints = Endpoints::start(front, count).await.map_err(SlopesError::Stub)?;
        let mut table = Table::new(
            part,
            "rate run served refused core_us_per_s core_us_per_request p50_ms p99_ms \
                resident_bytes",
        );
        for (rate, run) in
            REQUEST_RATES.into_iter().flat_map(|rate| (0..RUNS_PER_POINT).map(move |run| (rate, run)))
        {
            let RunningProgram { process, .. } = self.start(front, &endpoints, AMPLE_DESCRIPTORS, 0).await?;
            let (mut load, cpu_seconds) =
                measure_load(&process, front, count, rate, Duration::from_secs(8)).await?;
            table.row(&[
                rate as f64,
                run as f64,
                load.served as f64,
                load.rejected as f64,
                cpu_seconds * 1e6 / 8.0,
                cpu_seconds * 1e6 / load.answers(),
                quantile(&mut load.latencies, 0.5) * 1e3,
                quantile(&mut load.latencies, 0.99) * 1e3,
                process.resident_bytes()?,
            ]);
            process.kill().await?;
        }
        table.fit("rate", "core_us_per_s core_us_per_request p50_ms p99_ms")?;
        table.write(&self.out)
    }

    /// Measures the cost of the endpoint list by its size. With the NBD front, the list changes only by a
    /// reload of the configuration file.
    async fn list(&self, part: &str, front: Front) -> Result<(), SlopesError> {
        let mut table = Table::new(
            part,
            "boxes run resident_ready_bytes file_bytes sighup_ms sighup_core_us whole_list_bytes whole_list_ms \
             whole_list_core_us change_bytes change_ms change_core_us resident_busy_bytes descriptors_busy \
             core_us_per_request p50_ms p99_ms",
        );
        for (count, run) in
            LIST_SIZES.into_iter().flat_map(|count| (0..RUNS_PER_POINT).map(move |run| (count, run)))
        {
            let endpoints = Endpoints::start(front, count).await.map_err(SlopesError::Stub)?;
            let RunningProgram { mut process, discovery, setup } =
                self.start(front, &endpoints, AMPLE_DESCRIPTORS, 0).await?;
            let ready = process.resident_bytes()?;
            let mut row =
                vec![count as f64, run as f64, ready, setup.config_text(discovery.address)?.len() as f64];
            row.extend(measure_reloads(&mut process, &setup, &discovery).await?);
            for full in [true, false] {
                row.extend(match front {
                    Front::Http => measure_list_changes(&mut process, &discovery, full).await?,
                    Front::Nbd => [f64::NAN; 3],
                });
            }
            // Requests are measured last, so that no connection to an endpoint is closed while list changes
            // are measured.
            let (mut load, cpu_seconds) =
                measure_load(&process, front, count, 350, Duration::from_secs(6)).await?;
            row.extend([
                process.resident_bytes()?,
                process.open_descriptors()? as f64,
                cpu_seconds * 1e6 / load.answers(),
            ]);
            row.extend([quantile(&mut load.latencies, 0.5) * 1e3, quantile(&mut load.latencies, 0.99) * 1e3]);
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

    /// Measures a restart: a process with clients is killed, and all clients reconnect to its successor at
    /// the same address, either at once or over one second.
    async fn restart(&self, part: &str, front: Front) -> Result<(), SlopesError> {
        let count = LIST_SIZES[LIST_SIZES.len() - 1];
        let endpoints = Endpoints::start(front, count).await.map_err(SlopesError::Stub)?;
        let columns = "clients run spread_ms ready_ms discovery_calls discovery_bytes box_connections back \
                       back_p50_s back_p99_s back_all_s core_us_per_client resident_bytes";
        let mut tables =
            [0, 1_000].map(|spread| (spread, Table::new(&format!("{part}-{spread}ms"), columns)));
        let points = RETURNING_CLIENT_COUNTS
            .into_iter()
            .flat_map(|clients| (0..RUNS_PER_POINT).map(move |run| (clients, run)));
        for (clients, run) in points {
            for (spread, table) in &mut tables {
                let RunningProgram { process, discovery, setup } =
                    self.start(front, &endpoints, AMPLE_DESCRIPTORS, 0).await?;
                let connected =
                    connect_clients(front, process.address, clients, MAX_CONNECTING, Duration::ZERO).await;
                process.kill().await?;
                drop(connected);
                let (calls, bytes) = discovery.traffic();
                let earlier_connections = endpoints.connections.load(Relaxed);
                let process = Process::start(&self.program, &self.directory, &setup, &discovery).await?;
                let (cpu_seconds, ready) = (process.cpu_seconds()?, Instant::now());
                let (to, interval) = (process.address, Duration::from_millis(*spread) / clients as u32);
                let mut connecting = JoinSet::new();
                for number in 0..clients {
                    connecting.spawn(async move {
                        sleep_until((ready + interval * number as u32).into()).await;
                        let client = connect_with_retry(front, to, number, count).await?;
                        Some((ready.elapsed().as_secs_f64(), client))
                    });
                }
                let back: Vec<(f64, Client)> = connecting.join_all().await.into_iter().flatten().collect();
                let cpu = process.cpu_seconds()? - cpu_seconds;
                let mut latencies: Vec<f64> = back.iter().map(|(wait, _)| *wait).collect();
                let (calls_after, bytes_after) = discovery.traffic();
                table.row(&[
                    clients as f64,
                    run as f64,
                    *spread as f64,
                    process.ready_after.as_secs_f64() * 1e3,
                    (calls_after - calls) as f64,
                    (bytes_after - bytes) as f64,
                    (endpoints.connections.load(Relaxed) - earlier_connections) as f64,
                    back.len() as f64,
                    quantile(&mut latencies, 0.5),
                    quantile(&mut latencies, 0.99),
                    quantile(&mut latencies, 1.0),
                    cpu * 1e6 / clients as f64,
                    process.resident_bytes()?,
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

/// Connects a client, repeatedly if necessary. Returns `None` if it has not connected within
/// [`CONNECT_TIMEOUT`].
async fn connect_with_retry(front: Front, to: SocketAddr, number: usize, shards: usize) -> Option<Client> {
    let connect = async {
        loop {
            match Client::connect(front, to, number, shards).await {
                Ok(client) => return client,
                Err(_) => sleep(CONNECT_RETRY_DELAY).await,
            }
        }
    };
    timeout(CONNECT_TIMEOUT, connect).await.ok()
}

/// Connects `count` clients, evenly over a span and at most `at_once` at the same time. Returns those that
/// connected.
async fn connect_clients(
    front: Front,
    to: SocketAddr,
    count: usize,
    at_once: usize,
    over: Duration,
) -> Vec<Client> {
    let (mut connecting, mut connected) = (JoinSet::new(), Vec::with_capacity(count));
    let (started, interval) = (Instant::now(), over / count as u32);
    for number in 0..count {
        if connecting.len() >= at_once {
            connected.extend(connecting.join_next().await.and_then(Result::ok).flatten());
        }
        connecting.spawn(async move {
            sleep_until((started + interval * number as u32).into()).await;
            connect_with_retry(front, to, number, LIST_SIZES[0]).await
        });
    }
    connected.extend(connecting.join_all().await.into_iter().flatten());
    connected
}

/// Sends requests at a steady rate for a span, distributed evenly over the clients. The response time of a
/// request that was delayed because its client still waited for the previous answer is counted from when it
/// was due.
async fn run_load(clients: Vec<&mut Client>, rate: f64, span: Duration) -> Result<LoadResult, SlopesError> {
    let start = Instant::now();
    let all = clients.len();
    let each = clients.into_iter().enumerate().map(|(position, client)| async move {
        let mut load = LoadResult::default();
        for number in (position..).step_by(all) {
            let due = Duration::from_secs_f64(number as f64 / rate);
            if due >= span {
                break;
            }
            let (due, now) = (start + due, Instant::now());
            sleep_until(due.into()).await;
            let from = if now > due { due } else { Instant::now() };
            match client.send_read(number).await.map_err(SlopesError::Stub)? {
                true => load.latencies.push(from.elapsed().as_secs_f64()),
                false => load.rejected += 1,
            }
        }
        load.served = load.latencies.len();
        Ok::<LoadResult, SlopesError>(load)
    });
    let mut sum = LoadResult::default();
    for load in futures_util::future::try_join_all(each).await? {
        sum.served += load.served;
        sum.rejected += load.rejected;
        sum.latencies.extend(load.latencies);
    }
    Ok(sum)
}

/// Measures requests of new clients at a steady rate, after two seconds of the same load as a warm-up.
/// Returns the results and the processor time in seconds.
async fn measure_load(
    process: &Process,
    front: Front,
    shards: usize,
    rate: usize,
    span: Duration,
) -> Result<(LoadResult, f64), SlopesError> {
    let mut clients = Vec::new();
    for number in 0..REQUESTING_CLIENTS {
        clients
            .push(Client::connect(front, process.address, number, shards).await.map_err(SlopesError::Stub)?);
    }
    run_load(clients.iter_mut().collect(), rate as f64, Duration::from_secs(2)).await?;
    let before = process.cpu_seconds()?;
    let load = run_load(clients.iter_mut().collect(), rate as f64, span).await?;
    Ok((load, process.cpu_seconds()? - before))
}

/// Measures list changes from discovery, one after another. Returns the bytes of one, the median time in
/// milliseconds until the process logs the change, and the mean processor time in microseconds.
async fn measure_list_changes(
    process: &mut Process,
    discovery: &Discovery,
    full: bool,
) -> Result<[f64; 3], SlopesError> {
    let (mut bytes, mut latencies, mut cpu) = (0, Vec::new(), 0.0);
    for n in 0..LIST_CHANGES {
        let (shard, before) = (n / 2, process.cpu_seconds()?);
        let at = Instant::now();
        bytes = discovery.publish(shard, n % 2 == 0, full);
        let (seen, _) = process.wait_for_line(&format!("endpoint listed id=\"s-{shard:08x}\"")).await?;
        latencies.push((seen - at).as_secs_f64());
        sleep(SETTLE_TIME).await;
        cpu += process.cpu_seconds()? - before;
        if full {
            sleep(LOG_RECOVERY_TIME).await;
            process.discard_log();
        }
    }
    Ok([bytes as f64, quantile(&mut latencies, 0.5) * 1e3, cpu * 1e6 / LIST_CHANGES as f64])
}

/// Measures reloads of changed configuration files on SIGHUP. Returns the median time in milliseconds until
/// the process logs the reload, and the mean processor time in microseconds.
async fn measure_reloads(
    process: &mut Process,
    setup: &Setup,
    discovery: &Discovery,
) -> Result<[f64; 2], SlopesError> {
    let until =
        if setup.front == Front::Http { "configuration was reloaded" } else { "endpoint listed id=\"s-" };
    let (mut latencies, mut cpu) = (Vec::new(), 0.0);
    for n in 0..LIST_CHANGES {
        let text =
            Setup { draining: (n % 2 == 0).then_some(0), ..setup.clone() }.config_text(discovery.address)?;
        let before = process.cpu_seconds()?;
        let at = process.reload(&text)?;
        let (seen, _) = process.wait_for_line(until).await?;
        latencies.push((seen - at).as_secs_f64());
        sleep(SETTLE_TIME).await;
        cpu += process.cpu_seconds()? - before;
        if setup.front == Front::Nbd {
            sleep(LOG_RECOVERY_TIME).await;
            process.discard_log();
        }
    }
    Ok([quantile(&mut latencies, 0.5) * 1e3, cpu * 1e6 / LIST_CHANGES as f64])
}
