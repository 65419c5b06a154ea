//! A disk box: an NBD server that keeps acknowledged writes in memory and moves them to its store, a file, with
//! FUA and FLUSH, as the protocol asks. What is not in the store is gone when the process is killed.
//!
//! Arguments: port, path of the store, size, transmission flags, work on each command in ms. Lines on standard
//! input change how it behaves; it ends with its standard input:
//!
//! - `fail N`: from now on N of 10 commands get the error EIO, beginning with the next. A failed write is in memory and not
//!   in the store, as after a failed sync.
//! - `stick OFFSET MS`: the next write at that offset stands still for so long in the middle of its work.
//!
//! Each command is one line on standard output when it begins, and one when it has run or failed.

use review_standins_2::nbd::*;
use std::fs::{File, OpenOptions};
use std::io::{self, BufRead, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::os::unix::fs::FileExt;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

struct State {
    memory: Vec<u8>,
    /// Ranges that are in memory and not in the store.
    dirty: Vec<(u64, u64)>,
    store: File,
    /// How many of 10 commands fail, and how many came since that was set.
    fail: u64,
    commands: u64,
    stick: Option<(u64, u64)>,
}

impl State {
    /// Moves everything to the store.
    fn sync(&mut self) -> io::Result<()> {
        for (from, to) in std::mem::take(&mut self.dirty) {
            self.store.write_all_at(&self.memory[from as usize..to as usize], from)?;
        }
        Ok(())
    }

    /// Returns whether the next command fails: the first N of each 10.
    fn next_fails(&mut self) -> bool {
        let number = self.commands % 10;
        self.commands += 1;
        number < self.fail
    }
}

fn say(line: &str) {
    let ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis());
    let mut out = io::stdout().lock();
    let _ = writeln!(out, "{ms} {line}");
    let _ = out.flush();
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let number = |index: usize| args[index].parse::<u64>().expect("a number");
    let (port, size, flags, work) = (number(1) as u16, number(3), number(4) as u16, number(5));
    let store = OpenOptions::new().create(true).truncate(false).read(true).write(true).open(&args[2]);
    let store = store.expect("the store can be opened");
    store.set_len(size).expect("the store can be made as long as the box");
    let mut memory = vec![0; size as usize];
    store.read_exact_at(&mut memory, 0).expect("the store can be read");
    let state = State { memory, dirty: Vec::new(), store, fail: 0, commands: 0, stick: None };
    let state = Arc::new(Mutex::new(state));
    let listener = TcpListener::bind(("127.0.0.1", port)).expect("the port is free");
    say("starts");
    std::thread::spawn({
        let state = state.clone();
        move || {
            for (connection, stream) in listener.incoming().flatten().enumerate() {
                let state = state.clone();
                std::thread::spawn(move || {
                    let _ = serve(stream, connection, &state, size, flags, work);
                });
            }
        }
    });
    for line in io::stdin().lock().lines().map_while(Result::ok) {
        let words: Vec<&str> = line.split(' ').collect();
        let mut state = state.lock().expect("the state");
        match words[..] {
            ["fail", count] => {
                state.fail = count.parse().expect("a count");
                state.commands = 0;
            }
            ["stick", offset, ms] => {
                state.stick = Some((offset.parse().expect("an offset"), ms.parse().expect("a time")));
            }
            _ => say(&format!("does not know '{line}'")),
        }
    }
}

/// The handshake, and then one command after the other.
fn serve(
    mut stream: TcpStream,
    connection: usize,
    state: &Mutex<State>,
    size: u64,
    flags: u16,
    work: u64,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut greeting = INIT_MAGIC.to_be_bytes().to_vec();
    greeting.extend(OPT_MAGIC.to_be_bytes());
    greeting.extend(3u16.to_be_bytes());
    stream.write_all(&greeting)?;
    read_u32(&mut stream)?;
    loop {
        read_u64(&mut stream)?;
        let (option, length) = (read_u32(&mut stream)?, read_u32(&mut stream)?);
        stream.read_exact(&mut vec![0; length as usize])?;
        let reply = |kind: u32, data: &[u8]| {
            let mut out = REP_MAGIC.to_be_bytes().to_vec();
            out.extend(option.to_be_bytes());
            out.extend(kind.to_be_bytes());
            out.extend((data.len() as u32).to_be_bytes());
            out.extend(data);
            out
        };
        match option {
            OPT_GO => {
                let mut info = vec![0, 0];
                info.extend(size.to_be_bytes());
                info.extend(flags.to_be_bytes());
                stream.write_all(&[reply(REP_INFO, &info), reply(REP_ACK, &[])].concat())?;
                break;
            }
            OPT_ABORT => return stream.write_all(&reply(REP_ACK, &[])),
            _ => stream.write_all(&reply(REP_ERR_UNSUP, &[]))?,
        }
    }
    loop {
        if read_u32(&mut stream)? != REQUEST_MAGIC {
            return Err(io::Error::other("not a request"));
        }
        let (command_flags, command) = (read_u16(&mut stream)?, read_u16(&mut stream)?);
        let (cookie, offset, length) =
            (read_u64(&mut stream)?, read_u64(&mut stream)?, read_u32(&mut stream)?);
        if command == DISC {
            return Ok(());
        }
        let mut data = vec![0; if command == WRITE { length as usize } else { 0 }];
        stream.read_exact(&mut data)?;
        let name = ["read", "write", "disc", "flush"].get(command as usize).unwrap_or(&"other");
        let fua = command_flags & FUA != 0;
        let value = data.first().map_or(String::new(), |value| format!(" value {value}"));
        let what = format!("{name} connection {connection} offset {offset} length {length} fua {fua}{value}");
        say(&format!("begins {what}"));
        std::thread::sleep(Duration::from_millis(work));
        let stuck = {
            let mut state = state.lock().map_err(|_| io::Error::other("the state"))?;
            state.stick.take_if(|(at, _)| command == WRITE && *at == offset)
        };
        if let Some((_, ms)) = stuck {
            say(&format!("stands still {what}"));
            std::thread::sleep(Duration::from_millis(ms));
        }
        let mut out = SIMPLE_REPLY_MAGIC.to_be_bytes().to_vec();
        let mut state_now = state.lock().map_err(|_| io::Error::other("the state"))?;
        let (from, to) = (offset, offset + u64::from(length));
        let fails = state_now.next_fails();
        if command == WRITE {
            state_now.memory[from as usize..to as usize].copy_from_slice(&data);
            state_now.dirty.push((from, to));
        }
        if !fails && (command == FLUSH || fua) {
            state_now.sync()?;
        }
        let error = if fails { EIO } else { 0 };
        say(&format!("{} {what}", if fails { "fails" } else { "runs" }));
        out.extend(error.to_be_bytes());
        out.extend(cookie.to_be_bytes());
        if command == READ && !fails {
            out.extend(&state_now.memory[from as usize..to as usize]);
        }
        drop(state_now);
        stream.write_all(&out)?;
    }
}
