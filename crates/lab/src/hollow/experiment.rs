//! Starts and stops the initiators of a run and their environment: real processes, hollow initiators on
//! threads of their own, stub endpoints and the etcd stub.

use super::config::{self, ENDPOINTS};
use super::error::HollowError;
use super::etcd::Etcd;
use super::initiator::{self, HollowParts, Notice, SharedState};
use super::nbd;
use super::observed::Observed;
use super::process::Process;
use super::{Options, CLIENTS};
use std::cell::Cell;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::thread::JoinHandle;
use tempfile::TempDir;
use tokio::sync::{mpsc, watch};
use tokio::task::LocalSet;

/// Number of threads on which the hollow initiators run.
const THREADS: usize = 4;

/// Everything that runs during an experiment.
pub struct Experiment {
    /// Number of real processes.
    pub real: usize,
    /// Number of all initiators, real and hollow.
    pub all: usize,
    /// State known from the notices of the initiators.
    pub observed: Observed,
    /// State shared with the threads of the hollow initiators.
    pub shared: Arc<SharedState>,
    /// The real processes.
    pub processes: Vec<Process>,
    /// Address of each real process for clients.
    pub fronts: Vec<SocketAddr>,
    /// The etcd stub that the first process watches.
    pub etcd: Rc<Etcd>,
    /// Number of clients' reads that were served, and of those that failed.
    pub reads: Rc<[Cell<u64>; 2]>,
    /// Address of each real process for peers.
    peer_addresses: Vec<SocketAddr>,
    endpoints: Vec<SocketAddr>,
    stop: watch::Sender<bool>,
    threads: Vec<JoinHandle<()>>,
    /// Directory of the processes' configuration files. It is the last field, so that it is dropped last.
    directory: TempDir,
}

/// The sockets at which peers reach an initiator.
struct PeerSockets {
    address: SocketAddr,
    tcp: TcpListener,
    udp: UdpSocket,
}

/// A hollow initiator that is still to be started on its thread.
struct PendingHollow {
    index: usize,
    sockets: PeerSockets,
    notices: mpsc::UnboundedSender<Notice>,
    shared: Arc<SharedState>,
}

impl Experiment {
    /// Starts all initiators, real and hollow, at the same time.
    pub async fn start(options: &Options) -> Result<Self, HollowError> {
        let (real, all) = (options.processes, options.initiators + options.processes);
        let directory = tempfile::tempdir().map_err(HollowError::Directory)?;
        let (notices, events) = mpsc::unbounded_channel();
        let mut endpoints = Vec::new();
        for _ in 0..CLIENTS {
            endpoints.push(nbd::start_endpoint().await.map_err(HollowError::Stub)?);
        }
        let etcd = Etcd::start(endpoints.clone()).await.map_err(HollowError::Stub)?;
        let mut sockets = bind_peer_sockets(real, all)?;
        let hollow = sockets.split_off(real);
        let peer_addresses: Vec<SocketAddr> = sockets.iter().map(|s| s.address).collect();
        let names = peer_addresses.iter().enumerate().map(|(i, at)| (format!("r{i}"), *at)).collect();
        let shared = Arc::new(SharedState::new(names, all));
        let (stop, stopped) = watch::channel(false);
        let mut experiment = Experiment {
            real,
            all,
            observed: Observed::new(events, real, all),
            shared,
            processes: Vec::new(),
            fronts: Vec::new(),
            etcd,
            reads: Rc::default(),
            peer_addresses,
            endpoints,
            stop,
            threads: Vec::new(),
            directory,
        };
        experiment.start_processes(options, sockets, &notices)?;
        experiment.start_hollow(hollow, &notices, &stopped);
        Ok(experiment)
    }

    /// Starts the real processes at the addresses that were reserved for them.
    fn start_processes(
        &mut self,
        options: &Options,
        sockets: Vec<PeerSockets>,
        notices: &mpsc::UnboundedSender<Notice>,
    ) -> Result<(), HollowError> {
        let listed: Vec<usize> = (0..ENDPOINTS).collect();
        for (i, reserved) in sockets.into_iter().enumerate() {
            let address = reserved.address;
            drop(reserved);
            // The port for clients is chosen here, because the log of a start with that many endpoints is
            // truncated by its rate limit and may lack the address.
            let free = TcpListener::bind((address.ip(), 0)).and_then(|free| free.local_addr());
            self.fronts.push(free.map_err(HollowError::Stub)?);
            let follows = (i == 0).then_some(self.etcd.address);
            let file = self.write_file(i, follows, &listed)?;
            self.processes.push(Process::start(&options.program, &file, i, notices.clone())?);
        }
        Ok(())
    }

    /// Starts the hollow initiators, distributed evenly over the threads.
    fn start_hollow(
        &mut self,
        sockets: Vec<PeerSockets>,
        notices: &mpsc::UnboundedSender<Notice>,
        stopped: &watch::Receiver<bool>,
    ) {
        let mut pending: Vec<Vec<PendingHollow>> = (0..THREADS).map(|_| Vec::new()).collect();
        for (i, sockets) in sockets.into_iter().enumerate() {
            let (notices, shared) = (notices.clone(), self.shared.clone());
            pending[i % THREADS].push(PendingHollow { index: self.real + i, sockets, notices, shared });
        }
        let join = self.join();
        let listed: Vec<usize> = (0..ENDPOINTS).collect();
        let text =
            config::config_text(("h", 0), [join[0]; 2], &join, None, self.all, &self.endpoints, &listed);
        self.threads =
            pending.into_iter().map(|pending| spawn_thread(text.clone(), pending, stopped.clone())).collect();
    }

    /// Returns the two peers that every initiator is configured to join.
    fn join(&self) -> [SocketAddr; 2] {
        [self.peer_addresses[0], self.peer_addresses[1]]
    }

    /// Writes the configuration file of a real process, with a list of the endpoints in `listed`.
    pub fn write_file(
        &self,
        i: usize,
        etcd: Option<SocketAddr>,
        listed: &[usize],
    ) -> Result<PathBuf, HollowError> {
        let file = self.directory.path().join(format!("r{i}.json"));
        let addresses = [self.fronts[i], self.peer_addresses[i]];
        let name = format!("r{i}");
        let text =
            config::config_text((&name, i), addresses, &self.join(), etcd, self.all, &self.endpoints, listed);
        std::fs::write(&file, text).map_err(HollowError::file(&file))?;
        Ok(file)
    }

    /// Starts the clients, each at a real process of its own, from the last ones.
    pub fn start_clients(&self) {
        for (i, front) in self.fronts.iter().enumerate().skip(self.real - CLIENTS) {
            tokio::task::spawn_local(nbd::run_client(*front, i as u64, self.reads.clone()));
        }
    }

    /// Returns the number of hollow initiators.
    pub fn hollow(&self) -> usize {
        self.all - self.real
    }

    /// Stops the hollow initiators. Real processes are killed when this value is dropped.
    pub fn stop_hollow(&mut self) -> Result<(), HollowError> {
        let _ = self.stop.send(true);
        for thread in self.threads.drain(..) {
            thread.join().map_err(|_| HollowError::ThreadEnded)?;
        }
        Ok(())
    }
}

/// Binds the sockets of each initiator to a loopback address of its own. In the result, the real initiators
/// come first; by address, they are spread evenly among the others, so that the order of addresses favours
/// neither. Hollow initiators keep the sockets; those of real ones only reserve the address.
fn bind_peer_sockets(real: usize, all: usize) -> Result<Vec<PeerSockets>, HollowError> {
    let reals: Vec<usize> = (0..real).map(|i| i * all / real).collect();
    let others = (0..all).filter(|n| !reals.contains(n));
    let order = reals.iter().copied().chain(others);
    order.map(|n| bind(n).map_err(HollowError::Loopback)).collect()
}

/// Binds a TCP and a UDP socket to the same address.
fn bind(number: usize) -> std::io::Result<PeerSockets> {
    let ip = Ipv4Addr::new(127, 1, (number / 250) as u8, (number % 250) as u8 + 1);
    let tcp = TcpListener::bind((ip, 0))?;
    let address = tcp.local_addr()?;
    let udp = UdpSocket::bind(address)?;
    tcp.set_nonblocking(true)?;
    udp.set_nonblocking(true)?;
    Ok(PeerSockets { address, tcp, udp })
}

/// Runs hollow initiators on a new thread until `stopped` changes.
fn spawn_thread(
    text: String,
    pending: Vec<PendingHollow>,
    mut stopped: watch::Receiver<bool>,
) -> JoinHandle<()> {
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let operator = shaletack::operator::read(&mut text.into_bytes());
        let (Ok(runtime), Ok(operator)) = (runtime, operator) else { return };
        let operator = Rc::new(operator);
        LocalSet::new().block_on(&runtime, async move {
            for PendingHollow { index, sockets: PeerSockets { tcp, udp, .. }, notices, shared } in pending {
                let parts = HollowParts { index, operator: operator.clone(), tcp, udp, notices, shared };
                tokio::task::spawn_local(initiator::run_hollow(parts));
            }
            let _ = stopped.changed().await;
        });
    })
}
