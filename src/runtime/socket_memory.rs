//! The memory that the system holds for the TCP sockets of a process, as the system itself counts it (`sock_diag(7)`).

use netlink_packet_core::{NetlinkHeader, NetlinkMessage, NetlinkPayload, NLM_F_DUMP, NLM_F_REQUEST};
use netlink_packet_sock_diag::constants::{AF_INET, AF_INET6, IPPROTO_TCP};
use netlink_packet_sock_diag::inet::nlas::{MemInfo, Nla};
use netlink_packet_sock_diag::inet::{ExtensionFlags, InetRequest, InetResponse, SocketId, StateFlags};
use netlink_packet_sock_diag::SockDiagMessage;
use netlink_sys::{protocols::NETLINK_SOCK_DIAG, Socket, SocketAddr};
use std::collections::HashSet;
use std::io;

/// The size of the buffer for one part of the system's answer, in bytes.
const RECEIVE_BUFFER_BYTES: usize = 64 << 10;
/// What the link of a descriptor of a socket begins with.
const SOCKET_LINK_PREFIX: &str = "socket:[";

/// The memory of the buffers of a process's TCP sockets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SocketMemory {
    /// The number of sockets.
    pub sockets: usize,
    /// What has been received and not read, in bytes.
    pub received: u64,
    /// What has been written and not acknowledged, in bytes.
    pub sent: u64,
}

impl SocketMemory {
    /// Returns the memory of all sockets of a process; `None`: of this one.
    ///
    /// # Errors
    /// The system does not tell which sockets the process has, or what they hold.
    pub fn of_process(pid: Option<u32>) -> io::Result<Self> {
        let inodes = socket_inodes(pid)?;
        let mut total = SocketMemory::default();
        for family in [AF_INET, AF_INET6] {
            for_each_socket(family, |socket| {
                if inodes.contains(&socket.header.inode) {
                    total.add(socket);
                }
            })?;
        }
        Ok(total)
    }

    /// Returns the bytes of both directions.
    pub fn total(&self) -> u64 {
        self.received + self.sent
    }

    fn add(&mut self, socket: &InetResponse) {
        self.sockets += 1;
        for attribute in &socket.nlas {
            if let Nla::MemInfo(MemInfo { receive_queue, send_queue, bottom_send_queues, .. }) = attribute {
                self.received += u64::from(*receive_queue);
                self.sent += u64::from(*send_queue.max(bottom_send_queues));
            }
        }
    }
}

/// Returns the inodes of the sockets that a process has open.
fn socket_inodes(pid: Option<u32>) -> io::Result<HashSet<u32>> {
    let process = pid.map_or("self".to_owned(), |pid| pid.to_string());
    let mut inodes = HashSet::new();
    for descriptor in std::fs::read_dir(format!("/proc/{process}/fd"))? {
        // The descriptor may have been closed since the directory was read.
        let Ok(target) = descriptor.and_then(|entry| std::fs::read_link(entry.path())) else { continue };
        let inode = target.to_str().and_then(|target| target.strip_prefix(SOCKET_LINK_PREFIX));
        inodes.extend(inode.and_then(|inode| inode.strip_suffix(']')?.parse::<u32>().ok()));
    }
    Ok(inodes)
}

/// Calls `visit` with every TCP socket of an address family.
fn for_each_socket(family: u8, mut visit: impl FnMut(&InetResponse)) -> io::Result<()> {
    let mut socket = Socket::new(NETLINK_SOCK_DIAG)?;
    socket.bind_auto()?;
    socket.connect(&SocketAddr::new(0, 0))?;
    socket.send(&dump_request(family), 0)?;
    let mut buffer = vec![0; RECEIVE_BUFFER_BYTES];
    loop {
        let received = socket.recv(&mut &mut buffer[..], 0)?;
        let mut rest = &buffer[..received];
        while !rest.is_empty() {
            let message = NetlinkMessage::<SockDiagMessage>::deserialize(rest).map_err(io::Error::other)?;
            let length = (message.header.length as usize).next_multiple_of(4).clamp(1, rest.len());
            match message.payload {
                NetlinkPayload::InnerMessage(SockDiagMessage::InetResponse(socket)) => visit(&socket),
                NetlinkPayload::Done(_) => return Ok(()),
                NetlinkPayload::Error(error) => return Err(error.to_io()),
                _ => {}
            }
            rest = &rest[length..];
        }
    }
}

/// Returns the message that asks for all TCP sockets of an address family and their memory.
fn dump_request(family: u8) -> Vec<u8> {
    let request = InetRequest {
        family,
        protocol: IPPROTO_TCP,
        extensions: ExtensionFlags::SKMEMINFO,
        states: StateFlags::all(),
        socket_id: if family == AF_INET { SocketId::new_v4() } else { SocketId::new_v6() },
    };
    let mut header = NetlinkHeader::default();
    header.flags = NLM_F_REQUEST | NLM_F_DUMP;
    let mut message = NetlinkMessage::new(header, SockDiagMessage::InetRequest(request).into());
    message.finalize();
    let mut bytes = vec![0; message.buffer_len()];
    message.serialize(&mut bytes);
    bytes
}
