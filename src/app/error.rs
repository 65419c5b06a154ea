//! Why a command ended without success. What an operator reads is the text of these errors, a line for each fault.

use shaletack::net::handover::HandoverError;
use shaletack::writeback::offline::OfflineError;
use shaletack::writeback::OpenError;
use std::io;
use std::net::SocketAddr;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The command line is wrong.
    #[error("{0}; see shaletack --help")]
    CommandLine(#[from] lexopt::Error),
    /// No file was named.
    #[error("no configuration: name a file, or set ROUTER_CONFIG")]
    NoConfiguration,
    /// A configuration can't be read or used; several faults are several lines.
    #[error("{0}")]
    Configuration(String),
    /// `ROUTER_FD` names no socket that can be used.
    #[error("ROUTER_FD: '{descriptor}' is no listening socket{}", detail(.source))]
    HeldSocket {
        /// What the variable says.
        descriptor: String,
        /// Why the socket can't be set up, where there is one.
        source: Option<io::Error>,
    },
    /// The signals that stop and reload the program can't be taken.
    #[error("no signals: {0}")]
    Signals(io::Error),
    /// The clients' address can't be listened at.
    #[error("{address}: {source}")]
    Listen {
        /// The clients' address.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// The management address can't be listened at.
    #[error("management at {address}: {source}")]
    Management {
        /// The management address.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// The peers' address can't be listened at.
    #[error("peers at {address}: {source}")]
    Peers {
        /// The peers' address.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// The running process does not show its peers.
    #[error("peers at {address}: {source}: is it running?")]
    PeerStatus {
        /// The peers' address.
        address: SocketAddr,
        /// Why not.
        source: Box<dyn std::error::Error>,
    },
    /// The operator's file sets up no peers.
    #[error("{file}: the file has no 'peers'")]
    NoPeers {
        /// The operator's file.
        file: String,
    },
    /// A running process of the same initiator does not hand over.
    #[error(transparent)]
    Handover(#[from] HandoverError),
    /// The log of buffered writes can't be read or changed.
    #[error(transparent)]
    WriteBack(#[from] OfflineError),
    /// The NBD front can't be set up.
    #[error("{0}")]
    Nbd(OpenError),
    /// Standard output can't be written.
    #[error("{0}")]
    Output(io::Error),
}

fn detail(source: &Option<io::Error>) -> String {
    source.as_ref().map(|source| format!(": {source}")).unwrap_or_default()
}
