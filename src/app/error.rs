//! The errors that end a command. Their texts are printed for the operator, one line for each error found.

use shaletack::net::handover::HandoverError;
use shaletack::writeback::offline::OfflineError;
use shaletack::writeback::OpenError;
use std::io;
use std::net::SocketAddr;

/// The error of a failed command.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The command line is invalid.
    #[error("{0}; see shaletack --help")]
    CommandLine(#[from] lexopt::Error),
    /// No configuration file was given.
    #[error("no configuration file: pass --config FILE or set ROUTER_CONFIG")]
    NoConfiguration,
    /// A configuration file can't be read or is invalid; the text has one line for each error.
    #[error("{0}")]
    Configuration(String),
    /// `ROUTER_FD` does not name a usable listening socket.
    #[error("ROUTER_FD: '{descriptor}' is not a listening socket{}", detail(.source))]
    InheritedListener {
        /// The value of the variable.
        descriptor: String,
        /// The system error, if the socket exists but can't be set up.
        source: Option<io::Error>,
    },
    /// The handlers of SIGTERM and SIGHUP can't be installed.
    #[error("can't install signal handlers: {0}")]
    Signals(io::Error),
    /// Binding the client address failed.
    #[error("can't listen for clients at {address}: {source}")]
    Listen {
        /// The client address.
        address: SocketAddr,
        /// The system error.
        source: io::Error,
    },
    /// Binding the management address failed.
    #[error("can't listen for management calls at {address}: {source}")]
    Management {
        /// The management address.
        address: SocketAddr,
        /// The system error.
        source: io::Error,
    },
    /// Binding the address for peers failed.
    #[error("can't listen for peers at {address}: {source}")]
    Peers {
        /// The address at which peers reach this initiator.
        address: SocketAddr,
        /// The system error.
        source: io::Error,
    },
    /// The running process did not return the status of its peers.
    #[error("can't get the peer status from {address}: {source}; is the process running?")]
    PeerStatus {
        /// The address at which peers reach the process.
        address: SocketAddr,
        /// The error of the request.
        source: Box<dyn std::error::Error>,
    },
    /// The operator's file does not configure peers.
    #[error("{file}: missing key 'peers'")]
    NoPeers {
        /// The operator's file.
        file: String,
    },
    /// A running process of the same initiator refuses to hand over.
    #[error(transparent)]
    Handover(#[from] HandoverError),
    /// The write-back log can't be read or changed.
    #[error(transparent)]
    WriteBack(#[from] OfflineError),
    /// The NBD front can't be set up.
    #[error("{0}")]
    Nbd(OpenError),
    /// Writing to standard output failed.
    #[error("can't write to standard output: {0}")]
    Output(io::Error),
}

fn detail(source: &Option<io::Error>) -> String {
    source.as_ref().map(|source| format!(": {source}")).unwrap_or_default()
}
