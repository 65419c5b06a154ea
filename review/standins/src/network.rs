//! A path of the network with a delay, between an initiator and a target.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::time::{Duration, Instant};

/// A proxy that passes bytes on in order, each after the same delay.
pub struct DelayedPath {
    pub address: SocketAddr,
}

impl DelayedPath {
    /// Starts a path to an address, with this delay in each direction.
    pub fn start(to: SocketAddr, delay: Duration) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        std::thread::spawn(move || {
            for near in listener.incoming().map_while(Result::ok) {
                if let Ok(far) = TcpStream::connect(to) {
                    let _ = join(near, far, delay);
                }
            }
        });
        Ok(DelayedPath { address })
    }
}

fn join(near: TcpStream, far: TcpStream, delay: Duration) -> io::Result<()> {
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    pass(near.try_clone()?, far.try_clone()?, delay);
    pass(far, near, delay);
    Ok(())
}

/// Passes the bytes of one direction on, and its end.
fn pass(mut from: TcpStream, mut to: TcpStream, delay: Duration) {
    let (sender, receiver) = mpsc::channel::<(Instant, Vec<u8>)>();
    std::thread::spawn(move || {
        let mut buffer = vec![0; 65536];
        while let Ok(count) = from.read(&mut buffer) {
            if count == 0 || sender.send((Instant::now() + delay, buffer[..count].to_vec())).is_err() {
                break;
            }
        }
    });
    std::thread::spawn(move || {
        for (due, bytes) in receiver {
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            if to.write_all(&bytes).is_err() {
                break;
            }
        }
        std::thread::sleep(delay);
        let _ = to.shutdown(Shutdown::Write);
    });
}
