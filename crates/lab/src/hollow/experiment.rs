//! The initiators of a run and what surrounds them: starts real processes, hollow initiators on threads of their
//! own, endpoints and etcd, and ends them.

use super::config::{self, BOXES};
use super::error::HollowError;
use super::etcd::Etcd;
use super::initiator::{self, Ledger, News, Parts};
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

/// Hollow initiators live on so many threads.
const THREADS: usize = 4;

/// All that runs.
pub struct Experiment {
    /// Real processes, and all initiators.
    pub real: usize,
    pub all: usize,
    pub observed: Observed,
    pub ledger: Arc<Ledger>,
    pub processes: Vec<Process>,
    /// Where clients reach each real process.
    pub fronts: Vec<SocketAddr>,
    pub etcd: Rc<Etcd>,
    /// Clients' reads that were served and that failed.
    pub reads: Rc<[Cell<u64>; 2]>,
    /// Where peers reach each real process.
    peer_addresses: Vec<SocketAddr>,
    endpoints: Vec<SocketAddr>,
    stop: watch::Sender<bool>,
    threads: Vec<JoinHandle<()>>,
    /// Of the processes' configuration files, so it goes last.
    folder: TempDir,
}

/// The sockets that an initiator is reached at by its peers.
struct PeerSockets {
    address: SocketAddr,
    tcp: TcpListener,
    udp: UdpSocket,
}

/// What a hollow initiator's thread is given of it.
struct Seat {
    index: usize,
    sockets: PeerSockets,
    news: mpsc::UnboundedSender<News>,
    ledger: Arc<Ledger>,
}

impl Experiment {
    /// Starts all initiators at once, real and hollow ones.
    pub async fn start(options: &Options) -> Result<Self, HollowError> {
        let (real, all) = (options.processes, options.initiators + options.processes);
        let folder = tempfile::tempdir().map_err(HollowError::Folder)?;
        let (news, events) = mpsc::unbounded_channel();
        let mut endpoints = Vec::new();
        for _ in 0..CLIENTS {
            endpoints.push(nbd::start_endpoint().await.map_err(HollowError::StandIn)?);
        }
        let etcd = Etcd::start(endpoints.clone()).await.map_err(HollowError::StandIn)?;
        let mut sockets = bind_peer_sockets(real, all)?;
        let hollow = sockets.split_off(real);
        let peer_addresses: Vec<SocketAddr> = sockets.iter().map(|s| s.address).collect();
        let names = peer_addresses.iter().enumerate().map(|(i, at)| (format!("r{i}"), *at)).collect();
        let ledger = Arc::new(Ledger::new(names, all));
        let (stop, over) = watch::channel(false);
        let mut experiment = Experiment {
            real,
            all,
            observed: Observed::new(events, real, all),
            ledger,
            processes: Vec::new(),
            fronts: Vec::new(),
            etcd,
            reads: Rc::default(),
            peer_addresses,
            endpoints,
            stop,
            threads: Vec::new(),
            folder,
        };
        experiment.start_processes(options, sockets, &news)?;
        experiment.start_hollow(hollow, &news, &over);
        Ok(experiment)
    }

    /// Real processes take the addresses over that were reserved for them.
    fn start_processes(
        &mut self,
        options: &Options,
        sockets: Vec<PeerSockets>,
        news: &mpsc::UnboundedSender<News>,
    ) -> Result<(), HollowError> {
        let listed: Vec<usize> = (0..BOXES).collect();
        for (i, reserved) in sockets.into_iter().enumerate() {
            let address = reserved.address;
            drop(reserved);
            // The log of a start with that many endpoints is cut, and may lack where clients connect.
            let free = TcpListener::bind((address.ip(), 0)).and_then(|free| free.local_addr());
            self.fronts.push(free.map_err(HollowError::StandIn)?);
            let follows = (i == 0).then_some(self.etcd.at);
            let file = self.write_file(i, follows, &listed)?;
            self.processes.push(Process::start(&options.program, &file, i, news.clone())?);
        }
        Ok(())
    }

    fn start_hollow(
        &mut self,
        sockets: Vec<PeerSockets>,
        news: &mpsc::UnboundedSender<News>,
        over: &watch::Receiver<bool>,
    ) {
        let mut seats: Vec<Vec<Seat>> = (0..THREADS).map(|_| Vec::new()).collect();
        for (i, sockets) in sockets.into_iter().enumerate() {
            let (news, ledger) = (news.clone(), self.ledger.clone());
            seats[i % THREADS].push(Seat { index: self.real + i, sockets, news, ledger });
        }
        let join = self.join();
        let listed: Vec<usize> = (0..BOXES).collect();
        let text = config::file(("h", 0), [join[0]; 2], &join, None, self.all, &self.endpoints, &listed);
        self.threads = seats.into_iter().map(|seats| thread(text.clone(), seats, over.clone())).collect();
    }

    /// The two peers that every initiator is given to join.
    fn join(&self) -> [SocketAddr; 2] {
        [self.peer_addresses[0], self.peer_addresses[1]]
    }

    /// Writes the configuration file of a real process that lists these endpoints.
    pub fn write_file(
        &self,
        i: usize,
        etcd: Option<SocketAddr>,
        listed: &[usize],
    ) -> Result<PathBuf, HollowError> {
        let file = self.folder.path().join(format!("r{i}.json"));
        let addresses = [self.fronts[i], self.peer_addresses[i]];
        let name = format!("r{i}");
        let text = config::file((&name, i), addresses, &self.join(), etcd, self.all, &self.endpoints, listed);
        std::fs::write(&file, text).map_err(HollowError::file(&file))?;
        Ok(file)
    }

    /// Clients begin to read, each at a real process of its own, the last ones.
    pub fn start_clients(&self) {
        for (i, front) in self.fronts.iter().enumerate().skip(self.real - CLIENTS) {
            tokio::task::spawn_local(nbd::client(*front, i as u64, self.reads.clone()));
        }
    }

    /// How many initiators are hollow.
    pub fn hollow(&self) -> usize {
        self.all - self.real
    }

    /// Ends the hollow initiators; real ones end with this value.
    pub fn stop_hollow(&mut self) -> Result<(), HollowError> {
        let _ = self.stop.send(true);
        for thread in self.threads.drain(..) {
            thread.join().map_err(|_| HollowError::ThreadEnded)?;
        }
        Ok(())
    }
}

/// Sockets on a loopback address of its own for each initiator, real ones first in the result and evenly among
/// the others by address, so that the order of addresses prefers none. Hollow initiators keep the sockets; those
/// of real ones only reserve the address.
fn bind_peer_sockets(real: usize, all: usize) -> Result<Vec<PeerSockets>, HollowError> {
    let reals: Vec<usize> = (0..real).map(|i| i * all / real).collect();
    let others = (0..all).filter(|n| !reals.contains(n));
    let order = reals.iter().copied().chain(others);
    order.map(|n| bind(n).map_err(HollowError::Loopback)).collect()
}

fn bind(number: usize) -> std::io::Result<PeerSockets> {
    let ip = Ipv4Addr::new(127, 1, (number / 250) as u8, (number % 250) as u8 + 1);
    let tcp = TcpListener::bind((ip, 0))?;
    let address = tcp.local_addr()?;
    let udp = UdpSocket::bind(address)?;
    tcp.set_nonblocking(true)?;
    udp.set_nonblocking(true)?;
    Ok(PeerSockets { address, tcp, udp })
}

/// Hollow initiators on a thread of their own, until `over` changes.
fn thread(text: String, seats: Vec<Seat>, mut over: watch::Receiver<bool>) -> JoinHandle<()> {
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let operator = shaletack::operator::read(&mut text.into_bytes());
        let (Ok(runtime), Ok(operator)) = (runtime, operator) else { return };
        let operator = Rc::new(operator);
        LocalSet::new().block_on(&runtime, async move {
            for Seat { index, sockets: PeerSockets { tcp, udp, .. }, news, ledger } in seats {
                let parts = Parts { index, operator: operator.clone(), tcp, udp, news, ledger };
                tokio::task::spawn_local(initiator::live(parts));
            }
            let _ = over.changed().await;
        });
    })
}
