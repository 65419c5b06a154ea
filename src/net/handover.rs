//! Two versions of one initiator, while the newer takes over from the older: one Unix socket in `TMPDIR`, named
//! by the initiator and where its clients connect. What the older knows goes over it in one line; the link then stays
//! until either ends, so that what operators ask of one process binds both, and each budget is spent by the two
//! together once. Only a process of the same user, name and clients' address is given anything: another customer's
//! initiator may have the same name, and must not get this one's list, volumes or configuration.

use crate::broker::{CoreSnapshot, Input, OperatorCommand};
use crate::runtime::host::Host;
use crate::runtime::sockets::Uninterrupted;
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::{mpsc, oneshot, Notify};
use tracing::{info, warn};

/// A successor says who it is within this.
const HELLO: Duration = Duration::from_millis(300);
/// A predecessor may be busy; without its word both would spend every budget. One that is stuck keeps a new version
/// from serving no longer than this.
const ANSWERED: Duration = Duration::from_secs(2);
/// A third version waits so long for the first to end, and looks so often.
const THIRD: (Duration, Duration) = (Duration::from_secs(5), Duration::from_millis(100));
/// What failed for a moment is tried again after this; a socket for successors, which may need the folder, after that.
const AGAIN: Duration = Duration::from_millis(10);
const LISTEN_AGAIN: Duration = Duration::from_millis(500);
/// The other process has so long to carry out what operators ask.
const TOLD: Duration = Duration::from_millis(300);
/// A legacy is a list, the volumes of a minute and the ids of a few seconds.
const LINE_MOST: u64 = 16 << 20;
/// The version of what goes over the link; both ends have to have the same.
const VERSION: u32 = 2;
/// The longest hello.
const HELLO_MOST: u64 = 4096;
/// The longest part of a name in the socket's.
const NAME_MOST: usize = 40;
/// What each process may spend of every budget while both serve, and the older while it leaves.
pub const HALF: f64 = 0.5;
const LEAVES: f64 = 0.25;

/// Whose successor may be given anything.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The initiator's name.
    pub name: String,
    /// Where its clients connect.
    pub clients: SocketAddr,
}

impl Identity {
    /// Where its processes meet.
    pub fn socket(&self, folder: &Path) -> PathBuf {
        let plain = |text: &str| -> String {
            text.chars().map(|c| if c.is_ascii_alphanumeric() { c } else { '_' }).take(NAME_MOST).collect()
        };
        folder.join(format!("shaletack-{}-{}.sock", plain(&self.name), plain(&self.clients.to_string())))
    }
}

/// What a successor says first.
#[derive(Debug, Serialize, Deserialize)]
struct Hello {
    version: u32,
    me: Identity,
}

/// What it is answered.
#[derive(Debug, Serialize, Deserialize)]
enum Reply {
    Will(Box<Will>),
    /// Nothing, for this reason.
    Refused(String),
    /// The two last versions still share every budget.
    Busy,
}

/// Why a process can't start as a successor.
#[derive(Debug, thiserror::Error)]
pub enum NoPlace {
    /// A third one would spend every budget once more.
    #[error(
        "two versions of {0} serve at {1} already: end the older one (SIGTERM), then start this one again"
    )]
    Third(String, SocketAddr),
}

/// What a predecessor leaves.
#[derive(Debug, Serialize, Deserialize)]
pub struct Will {
    /// What its core knows.
    pub legacy: CoreSnapshot,
    /// Ids of requests, and how long ago each was taken.
    pub traces: Vec<(Duration, String)>,
    /// The text of the configuration in force.
    pub text: String,
}

/// A connection between the two processes.
type Connection = Uninterrupted<UnixStream>;

/// What a successor is given.
#[derive(Debug)]
pub struct Inheritance {
    /// What the predecessor left.
    pub will: Will,
    /// When that came: its times are told by the predecessor's clock.
    pub received: Instant,
    /// The connection, for [`Link::keep`].
    pub stream: BufReader<Connection>,
}

/// What goes over the link, each in a line of its own.
#[derive(Debug, Serialize, Deserialize)]
enum Message {
    /// An operator's, under a number for its answer.
    Order(u64, OperatorCommand),
    /// It was carried out, or not.
    Done(u64, bool),
    /// What the receiver may spend of every budget from now on.
    Part(f64),
}

struct Inner {
    host: Host,
    me: Identity,
    path: PathBuf,
    /// A successor has the will, or is being given it.
    taken: Cell<bool>,
    /// Told when a successor has ended before this process.
    gone: Rc<Notify>,
    /// Who runs this process.
    user: Cell<u32>,
    peer: RefCell<Option<mpsc::UnboundedSender<Message>>>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<bool>>>,
    last: Cell<u64>,
}

/// The link between two processes, where there is another one.
#[derive(Clone)]
pub struct Link(Rc<Inner>);

/// Asks whoever serves as that initiator for its will, and keeps the connection for [`Link::keep`].
///
/// # Errors
/// Two versions serve already, and go on doing so.
pub async fn ask(me: &Identity, folder: &Path) -> Result<Option<Inheritance>, NoPlace> {
    let start = tokio::time::Instant::now();
    let mut waits = false;
    loop {
        let asked = tokio::time::timeout(ANSWERED, ask_until_told(me, &me.socket(folder))).await;
        match asked {
            Ok(None) => return Ok(None),
            Ok(Some((Reply::Will(will), stream))) => {
                return Ok(Some(Inheritance { will: *will, received: Instant::now(), stream }))
            }
            Ok(Some((Reply::Refused(why), _))) => {
                warn!(%why, "the predecessor gives nothing; this process goes on without its will");
                return Ok(None);
            }
            Ok(Some((Reply::Busy, _))) if start.elapsed() < THIRD.0 => {
                if !std::mem::replace(&mut waits, true) {
                    warn!("two versions serve already: this process waits for the older one to end");
                }
                tokio::time::sleep(THIRD.1).await;
            }
            Ok(Some((Reply::Busy, _))) => return Err(NoPlace::Third(me.name.clone(), me.clients)),
            Err(_) => {
                warn!("the predecessor says nothing; this process goes on without its will");
                return Ok(None);
            }
        }
    }
}

/// The predecessor's reply; `None`: there is no predecessor, or it died, or what it says can't be read. A call that fails
/// for a moment is made again: a process that goes on without the will spends every budget once more.
async fn ask_until_told(me: &Identity, path: &Path) -> Option<(Reply, BufReader<Connection>)> {
    loop {
        let stream = match UnixStream::connect(path).await {
            Ok(stream) => stream,
            Err(why) if matches!(why.kind(), ErrorKind::NotFound | ErrorKind::ConnectionRefused) => {
                return None
            }
            Err(why) => {
                warn!(%why, "the predecessor can't be asked yet");
                tokio::time::sleep(AGAIN).await;
                continue;
            }
        };
        let mut stream = BufReader::new(Uninterrupted(stream));
        match exchange_hello(me, &mut stream).await {
            Ok(mut line) if line.ends_with(b"\n") => {
                let reply = simd_json::serde::from_slice(&mut line);
                let reply =
                    reply.inspect_err(|fault| warn!(why = %fault, "the predecessor's will can't be read"));
                return Some((reply.ok()?, stream));
            }
            // It closed the connection: if it has died nobody listens any more.
            _ => tokio::time::sleep(AGAIN).await,
        }
    }
}

/// Says who this process is; the line that the predecessor answers with, as far as it came.
async fn exchange_hello(me: &Identity, stream: &mut BufReader<Connection>) -> io::Result<Vec<u8>> {
    let hello = Hello { version: VERSION, me: me.clone() };
    let hello = simd_json::serde::to_string(&hello).map_err(io::Error::other)?;
    stream.write_all(format!("{hello}\n").as_bytes()).await?;
    let mut line = Vec::new();
    stream.take(LINE_MOST).read_until(b'\n', &mut line).await?;
    Ok(line)
}

impl Link {
    /// A link to nobody yet.
    pub fn new(host: Host, me: Identity, folder: &Path) -> Self {
        Link(Rc::new(Inner {
            host,
            path: me.socket(folder),
            me,
            taken: Cell::new(false),
            gone: Rc::default(),
            user: Cell::default(),
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
        let will: Rc<dyn Fn() -> Will> = Rc::new(will);
        let (weak, gone) = (Rc::downgrade(&self.0), self.0.gone.clone());
        actix_rt::spawn(async move {
            let Some(mut listener) = listen(&weak).await else { return };
            loop {
                let accepted = tokio::select! {
                    accepted = listener.accept() => accepted,
                    () = gone.notified() => {
                        // A successor put its own socket there, and has ended before this process.
                        let Some(again) = listen(&weak).await else { return };
                        listener = again;
                        continue;
                    }
                };
                let Some(link) = weak.upgrade().map(Link) else { return };
                let stream = match accepted {
                    Ok((stream, _)) => stream,
                    Err(why) => {
                        // Whoever waits in the backlog still does.
                        warn!(%why, "a successor could not be accepted yet");
                        tokio::time::sleep(AGAIN).await;
                        continue;
                    }
                };
                let will = will.clone();
                // Whoever connects and says nothing keeps no successor waiting.
                actix_rt::spawn(async move {
                    if let Some((stream, messages)) = link.greet(stream, &*will).await {
                        link.attend(stream, messages).await;
                        link.ended();
                        link.0.gone.notify_one();
                    }
                });
            }
        });
    }

    /// From now on messages for the other process wait here until [`Link::attend`] carries them.
    fn connect(&self) -> mpsc::UnboundedReceiver<Message> {
        let (out, messages) = mpsc::unbounded_channel();
        self.0.peer.replace(Some(out));
        messages
    }

    /// The connection, where it is a successor's; that gets the will, and half of every budget. What operators ask from the
    /// moment in which the will is made goes behind it.
    async fn greet(
        &self,
        stream: UnixStream,
        will: &dyn Fn() -> Will,
    ) -> Option<(BufReader<Connection>, mpsc::UnboundedReceiver<Message>)> {
        let user = stream.peer_cred().ok()?.uid();
        let mut stream = BufReader::new(Uninterrupted(stream));
        let mut hello = Vec::new();
        let mut start = (&mut stream).take(HELLO_MOST);
        let said = tokio::time::timeout(HELLO, start.read_until(b'\n', &mut hello)).await;
        if !matches!(said, Ok(Ok(_)) if hello.ends_with(b"\n")) {
            return None;
        }
        let reply = match self.understand(&mut hello, user) {
            Err(why) => {
                warn!(%why, "a process asked for what this one knows and is given nothing");
                Reply::Refused(why)
            }
            Ok(()) if self.0.taken.get() || self.is_shared() => Reply::Busy,
            Ok(()) => Reply::Will(Box::new(will())),
        };
        let messages = matches!(reply, Reply::Will(_)).then(|| {
            self.0.taken.set(true);
            self.0.host.feed(Input::BudgetShare(HALF));
            self.connect()
        });
        let line = simd_json::serde::to_string(&reply).ok()? + "\n";
        let sent = tokio::time::timeout(ANSWERED, stream.write_all(line.as_bytes())).await;
        let messages = messages?;
        if !matches!(sent, Ok(Ok(()))) {
            self.0.peer.take();
            self.0.taken.set(false);
            self.0.host.feed(Input::BudgetShare(1.0));
            return None;
        }
        info!("a successor has started: it and this process share every budget");
        Some((stream, messages))
    }

    /// Whether this is a successor's hello; why not.
    fn understand(&self, hello: &mut [u8], user: u32) -> Result<(), String> {
        let own = self.0.user.get();
        let hello: Hello = simd_json::serde::from_slice(hello).map_err(|why| format!("its hello: {why}"))?;
        let (me, it) = (&self.0.me, &hello.me);
        match () {
            () if hello.version != VERSION => {
                Err(format!("it speaks version {} of the handover, and this one {VERSION}", hello.version))
            }
            () if user != own => Err(format!("it runs as user {user}, and this one as {own}")),
            () if me != it => Err(format!(
                "it is {} at {}, and this one {} at {}",
                it.name, it.clients, me.name, me.clients
            )),
            () => Ok(()),
        }
    }

    /// Stays in touch with the predecessor whose will this process has, until it ends.
    pub fn keep(&self, stream: BufReader<Connection>) {
        let (link, messages) = (self.clone(), self.connect());
        actix_rt::spawn(async move {
            link.attend(stream, messages).await;
            link.ended();
        });
    }

    /// Carries messages both ways for as long as the other process is there.
    async fn attend(&self, stream: BufReader<Connection>, mut messages: mpsc::UnboundedReceiver<Message>) {
        let (read, write) = stream.into_inner().0.into_split();
        let (read, mut write) = (Uninterrupted(read), Uninterrupted(write));
        actix_rt::spawn(async move {
            while let Some(message) = messages.recv().await {
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
            Ok(Message::Part(part)) => self.0.host.feed(Input::BudgetShare(part)),
            Err(fault) => warn!(why = %fault, "the other process sent what can't be read"),
        }
    }

    fn ended(&self) {
        self.0.peer.take();
        self.0.taken.set(false);
        self.0.waiting.borrow_mut().clear();
        self.0.host.feed(Input::BudgetShare(1.0));
        info!("the other process is gone: this one has every budget alone");
    }

    fn send(&self, message: Message) -> bool {
        // Where the other end is gone, its reader says so.
        self.0.peer.borrow().as_ref().is_some_and(|peer| peer.send(message).is_ok())
    }

    /// An operator's word to the other process: whether that carried it out in time.
    pub async fn tell(&self, order: OperatorCommand) -> bool {
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
        self.0.host.feed(Input::BudgetShare(LEAVES));
        self.send(Message::Part(1.0 - LEAVES));
    }
}

/// The socket under its name, as soon as it can be had; `None`: this process needs none any more.
async fn listen(link: &Weak<Inner>) -> Option<UnixListener> {
    let mut told = false;
    loop {
        match link.upgrade()?.listen() {
            Ok(listener) => return Some(listener),
            Err(why) => {
                if !std::mem::replace(&mut told, true) {
                    let socket = link.upgrade()?.path.clone();
                    warn!(socket = %socket.display(), %why, "successors can't be given anything yet");
                }
                tokio::time::sleep(LISTEN_AGAIN).await;
            }
        }
    }
}

impl Inner {
    /// The socket under its name, in place of what is there.
    fn listen(&self) -> io::Result<UnixListener> {
        let fresh = self.path.with_extension(std::process::id().to_string());
        let _ = std::fs::remove_file(&fresh);
        let listener = UnixListener::bind(&fresh)?;
        self.user.set(std::fs::metadata(&fresh)?.uid());
        std::fs::rename(&fresh, &self.path)?;
        Ok(listener)
    }
}
