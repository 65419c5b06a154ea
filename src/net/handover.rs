//! Two versions of one initiator, while the newer takes over from the older: one Unix socket in `TMPDIR`, named
//! by the initiator. What the older knows goes over it in one line; the link then stays until either ends, so
//! that what operators ask of one process binds both, and each budget is spent by the two together once.

use crate::broker::{Input, Legacy, Order};
use crate::runtime::host::Host;
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::{mpsc, oneshot};
use tracing::{info, warn};

/// A silent predecessor does not keep a new version from serving.
const ASKED: Duration = Duration::from_millis(300);
/// The other process has so long to carry out what operators ask.
const TOLD: Duration = Duration::from_millis(300);
/// A legacy is a list, the volumes of a minute and the ids of a few seconds.
const LINE_MOST: u64 = 16 << 20;
const HELLO: &str = "shaletack heir 1\n";
/// What each process may spend of every budget while both serve, and the older while it leaves.
pub const HALF: f64 = 0.5;
const LEAVES: f64 = 0.25;

/// What a predecessor leaves.
#[derive(Debug, Serialize, Deserialize)]
pub struct Will {
    /// What its core knows.
    pub legacy: Legacy,
    /// Ids of requests, and how long ago each was taken.
    pub traces: Vec<(Duration, String)>,
    /// The text of the configuration in force.
    pub text: String,
}

/// What goes over the link, each in a line of its own.
#[derive(Debug, Serialize, Deserialize)]
enum Message {
    /// An operator's, under a number for its answer.
    Order(u64, Order),
    /// It was carried out, or not.
    Done(u64, bool),
    /// What the receiver may spend of every budget from now on.
    Part(f64),
}

struct Inner {
    host: Host,
    path: PathBuf,
    peer: RefCell<Option<mpsc::UnboundedSender<Message>>>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<bool>>>,
    last: Cell<u64>,
}

/// The link between two processes, where there is another one.
#[derive(Clone)]
pub struct Link(Rc<Inner>);

/// Where initiators of that name meet.
pub fn path(name: &str) -> PathBuf {
    let plain: String = name.chars().map(|c| if c.is_ascii_alphanumeric() { c } else { '_' }).collect();
    std::env::temp_dir().join(format!("shaletack-{plain}.sock"))
}

/// Asks whoever serves under that name for its will, and keeps the connection for [`Link::keep`].
pub async fn ask(path: &PathBuf) -> Option<(Will, BufReader<UnixStream>)> {
    let asked = async {
        let mut stream = UnixStream::connect(path).await.ok()?;
        stream.write_all(HELLO.as_bytes()).await.ok()?;
        let mut stream = BufReader::new(stream);
        let mut line = Vec::new();
        (&mut stream).take(LINE_MOST).read_until(b'\n', &mut line).await.ok()?;
        let will = simd_json::serde::from_slice(&mut line);
        let will = will.inspect_err(|fault| warn!(why = %fault, "the predecessor's will can't be read"));
        Some((will.ok()?, stream))
    };
    match tokio::time::timeout(ASKED, asked).await {
        Ok(will) => will,
        Err(_) => {
            warn!("the predecessor says nothing; this process goes on without its will");
            None
        }
    }
}

impl Link {
    /// A link to nobody yet.
    pub fn new(host: Host, path: PathBuf) -> Self {
        Link(Rc::new(Inner {
            host,
            path,
            peer: RefCell::default(),
            waiting: RefCell::default(),
            last: Cell::new(0),
        }))
    }

    /// Whether another process shares the budgets at present.
    pub fn is_shared(&self) -> bool {
        self.0.peer.borrow().is_some()
    }

    /// From now on successors find this process; `will` says what they inherit. What lies there from a
    /// predecessor is replaced in one step.
    pub fn open(&self, will: impl Fn() -> Will + 'static) {
        let will = Rc::new(will);
        let weak = Rc::downgrade(&self.0);
        actix_rt::spawn(async move {
            let mut listener = weak.upgrade().and_then(|inner| inner.listen());
            loop {
                let Some(at) = &listener else { return };
                let accepted = at.accept().await;
                let Some(inner) = weak.upgrade() else { return };
                let Ok((stream, _)) = accepted else { continue };
                let link = Link(inner);
                if let Some(stream) = link.greet(stream, &*will).await {
                    link.attend(stream).await;
                    // A successor puts its own socket there; where it ends before this process, that is lost.
                    listener = link.0.listen();
                    link.ended();
                }
            }
        });
    }

    /// The connection, where it is a successor's; that gets the will, and half of every budget.
    async fn greet(&self, stream: UnixStream, will: &impl Fn() -> Will) -> Option<BufReader<UnixStream>> {
        let mut stream = BufReader::new(stream);
        let mut hello = String::new();
        let mut start = (&mut stream).take(HELLO.len() as u64);
        let said = tokio::time::timeout(ASKED, start.read_line(&mut hello)).await;
        let heir = matches!(said, Ok(Ok(_)) if hello == HELLO);
        if !heir || self.is_shared() {
            return None;
        }
        let mut line = simd_json::serde::to_string(&will()).ok()?;
        line.push('\n');
        self.0.host.feed(Input::Part(HALF));
        let sent = tokio::time::timeout(ASKED, stream.write_all(line.as_bytes())).await;
        if !matches!(sent, Ok(Ok(()))) {
            self.0.host.feed(Input::Part(1.0));
            return None;
        }
        info!("a successor has started: it and this process share every budget");
        Some(stream)
    }

    /// Stays in touch with the predecessor whose will this process has, until it ends.
    pub fn keep(&self, stream: BufReader<UnixStream>) {
        let link = self.clone();
        actix_rt::spawn(async move {
            link.attend(stream).await;
            link.ended();
        });
    }

    /// Carries messages both ways for as long as the other process is there.
    async fn attend(&self, stream: BufReader<UnixStream>) {
        let (read, mut write) = stream.into_inner().into_split();
        let (out, mut lines) = mpsc::unbounded_channel::<Message>();
        self.0.peer.replace(Some(out));
        actix_rt::spawn(async move {
            while let Some(message) = lines.recv().await {
                let Ok(mut line) = simd_json::serde::to_string(&message) else { continue };
                line.push('\n');
                if write.write_all(line.as_bytes()).await.is_err() {
                    return;
                }
            }
        });
        let mut lines = BufReader::new(read).lines();
        while let Ok(Some(line)) = lines.next_line().await {
            self.hear(line);
        }
    }

    fn hear(&self, line: String) {
        match simd_json::serde::from_slice(&mut line.into_bytes()) {
            Ok(Message::Order(number, order)) => {
                let done = self.0.host.order(order);
                self.send(Message::Done(number, done));
            }
            Ok(Message::Done(number, done)) => {
                if let Some(waiting) = self.0.waiting.borrow_mut().remove(&number) {
                    // Where nobody waits any more it came too late.
                    let _ = waiting.send(done);
                }
            }
            Ok(Message::Part(part)) => self.0.host.feed(Input::Part(part)),
            Err(fault) => warn!(why = %fault, "the other process sent what can't be read"),
        }
    }

    fn ended(&self) {
        self.0.peer.take();
        self.0.waiting.borrow_mut().clear();
        self.0.host.feed(Input::Part(1.0));
        info!("the other process is gone: this one has every budget alone");
    }

    fn send(&self, message: Message) -> bool {
        // Where the other end is gone, its reader says so.
        self.0.peer.borrow().as_ref().is_some_and(|peer| peer.send(message).is_ok())
    }

    /// An operator's word to the other process: whether that carried it out in time.
    pub async fn tell(&self, order: Order) -> bool {
        let number = self.0.last.get() + 1;
        self.0.last.set(number);
        let (done, answered) = oneshot::channel();
        self.0.waiting.borrow_mut().insert(number, done);
        let told = self.send(Message::Order(number, order));
        let done = told && matches!(tokio::time::timeout(TOLD, answered).await, Ok(Ok(true)));
        self.0.waiting.borrow_mut().remove(&number);
        done
    }

    /// This process leaves and its successor goes on: most of every budget is the other's from now on.
    pub fn leave(&self) {
        self.0.host.feed(Input::Part(LEAVES));
        self.send(Message::Part(1.0 - LEAVES));
    }
}

impl Inner {
    /// The socket under its name, in place of what is there.
    fn listen(&self) -> Option<UnixListener> {
        let fresh = self.path.with_extension(std::process::id().to_string());
        let _ = std::fs::remove_file(&fresh);
        let bound = UnixListener::bind(&fresh).and_then(|l| std::fs::rename(&fresh, &self.path).map(|()| l));
        match bound {
            Ok(listener) => Some(listener),
            Err(why) => {
                warn!(socket = %self.path.display(), %why, "successors can't be given anything");
                None
            }
        }
    }
}
