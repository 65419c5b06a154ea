//! Divides the memory that a process is granted among all that it holds, so that the bounds of every buffer together
//! fit into it.
//!
//! Each client connection has at most one open request, and each open request at most one connection to an endpoint
//! in use, so connections are planned in pairs. What requests hold beside their connections is reserved in one budget.

use super::sockets::SocketBuffers;

/// The memory of the program and of what it holds without clients.
const BASE_BYTES: u64 = 10 << 20;
/// What a connection to an endpoint takes without a body, beside its socket's buffers.
pub const ENDPOINT_CONNECTION_BYTES: u64 = 18 << 10;
/// The least and the most that a socket's receive buffer holds, as the system counts it.
const MIN_RECEIVE_BUFFER_BYTES: u64 = 8 << 10;
const MAX_RECEIVE_BUFFER_BYTES: u64 = 128 << 10;
/// How many times as large a send buffer is: with a smaller one senders wait for timers of TCP.
const SEND_BUFFER_FACTOR: u64 = 2;
/// What the buffers of both sockets of a pair take, in receive buffers.
const BUFFERS_PER_PAIR: u64 = 2 * (1 + SEND_BUFFER_FACTOR);
/// The part of the memory beside the base and the state that pairs of connections may take: its numerator.
const PAIRS_NUMERATOR: u64 = 3;
/// The denominator of that part.
const PAIRS_DENOMINATOR: u64 = 4;
/// The number of client connections that are allowed however little memory there is.
const MIN_CONNECTIONS: u64 = 16;
/// The least memory that requests may take together: one body that is just buffered, and its copy.
const MIN_REQUEST_BYTES: u64 = 256 << 10;

/// What a process is granted, and what it takes beside connections and requests.
#[derive(Clone, Copy, Debug)]
pub struct Grant {
    /// The memory of the process in MiB.
    pub memory_mib: u64,
    /// The memory that the states of volumes and the ids of requests may take, in bytes.
    pub state_bytes: u64,
    /// What a client's connection takes with a small request, beside its socket's buffers, in bytes.
    pub connection_bytes: u64,
    /// The most client connections for which there are descriptors.
    pub max_clients: usize,
    /// The most connections to endpoints for which there are descriptors.
    pub max_endpoints: usize,
}

/// The memory of a process, divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryPlan {
    /// The most client connections.
    pub clients: usize,
    /// The most connections to endpoints.
    pub endpoints: usize,
    /// The sizes of all sockets' buffers; `None`: the system's.
    pub socket_buffers: Option<SocketBuffers>,
    /// What clients may make the process hold, with their connections, in bytes.
    pub client_bytes: u64,
    /// What everything takes together if every bound is reached, in bytes.
    pub total_bytes: u64,
}

impl MemoryPlan {
    /// Divides the memory; 0 MiB: it is not limited.
    pub fn new(grant: Grant) -> Self {
        if grant.memory_mib == 0 {
            return MemoryPlan {
                clients: grant.max_clients,
                endpoints: grant.max_endpoints,
                socket_buffers: None,
                client_bytes: u64::MAX,
                total_bytes: 0,
            };
        }
        let fixed = BASE_BYTES + grant.state_bytes;
        let available = (grant.memory_mib << 20).saturating_sub(fixed);
        let pairs_bytes = available / PAIRS_DENOMINATOR * PAIRS_NUMERATOR;
        let unbuffered = grant.connection_bytes + ENDPOINT_CONNECTION_BYTES;
        let share = pairs_bytes / (grant.max_clients as u64).max(1);
        let buffer = (share.saturating_sub(unbuffered) / BUFFERS_PER_PAIR)
            .clamp(MIN_RECEIVE_BUFFER_BYTES, MAX_RECEIVE_BUFFER_BYTES);
        let pair = unbuffered + BUFFERS_PER_PAIR * buffer;
        let pairs = (pairs_bytes / pair).max(MIN_CONNECTIONS).min(grant.max_clients as u64);
        let requests = available.saturating_sub(pairs * pair).max(MIN_REQUEST_BYTES);
        MemoryPlan {
            clients: pairs as usize,
            endpoints: grant.max_endpoints.min(pairs as usize),
            socket_buffers: Some(SocketBuffers {
                receive: buffer as usize,
                send: (buffer * SEND_BUFFER_FACTOR) as usize,
            }),
            client_bytes: requests + pairs * grant.connection_bytes,
            total_bytes: fixed + pairs * pair + requests,
        }
    }

    /// Returns whether everything fits into the memory if every bound is reached.
    pub fn fits(&self, memory_mib: u64) -> bool {
        memory_mib == 0 || self.total_bytes <= memory_mib << 20
    }
}
