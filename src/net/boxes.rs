//! Attempts at disk boxes, over HTTP with awc.

use super::stream::{BoxStream, Counted, Idling, Manner, NEWS, UNTIL};
use crate::broker::{AttemptProgress, AttemptResult};
use crate::interface::Settings;
use crate::outcome::TransportOutcome;
use crate::runtime::host::{Errand, Host, Tell};
use crate::runtime::sockets::{address_of, connect, connect_outcome};
use actix_http::body::{BodyStream, SizedStream};
use actix_http::error::ParseError;
use actix_http::header::HeaderValue;
use actix_http::{Method, StatusCode};
use actix_service::fn_service;
use actix_tls::connect::{ConnectError as TcpError, ConnectInfo, Connection};
use awc::error::{ConnectError, PayloadError, SendRequestError};
use awc::http::Uri;
use awc::{Client, ClientResponse, Connector};
use bytes::{Bytes, BytesMut};
use futures_util::future::{FutureExt, LocalBoxFuture};
use futures_util::stream::LocalBoxStream;
use futures_util::{Stream, StreamExt};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The most of a body that is held whole, and sent again where that is allowed.
pub const BODY_MOST: usize = 64 * 1024;
/// The most that a large body may hold, either way: what says more, or goes on past it, is spoilt.
pub const BODIES_MOST: u64 = 40 << 20;
/// An answer that does not say how long it is may be large: it is held for so long, and passed on from then.
const HELD: Duration = Duration::from_millis(20);
/// An answer that is held whole and stops so long on its way is spoilt.
const STALLED: Duration = Duration::from_millis(1000);
/// One that is passed on as it comes may stop longer: its client has what came, and knows that there is more.
const RESTS: Duration = Duration::from_secs(10);
/// A client that sends a large body may rest so long, and a box that takes one.
const CLIENT_RESTS: Duration = Duration::from_millis(2500);
/// Before a connection is used again: what a box sends behind an answer has come by then, and shows.
const SETTLES: Duration = Duration::from_millis(2);
/// By what its value names, boxes drop the repeat of a keyed request.
pub const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
/// Above this no box tells the truth about use, in parts of a plan's rate, or about units served elsewhere.
const USED_MOST: f64 = 1e4;
const ELSEWHERE_MOST: f64 = 1e6;

/// The connections to boxes: a client for each address. One unused for as long as its connections may be
/// idle is dropped with them: boxes are replaced all day, and awc looks at idle ones only before their use.
pub struct Boxes {
    host: Host,
    clients: RefCell<HashMap<SocketAddr, (Client, Instant)>>,
    times: Cell<Times>,
    idling: Rc<Idling>,
    most: usize,
    open: Rc<Cell<usize>>,
    permits: Arc<Semaphore>,
}

/// What the settings in force say of connections.
#[derive(Clone, Copy, PartialEq)]
struct Times {
    idle: Duration,
    connect: Duration,
}

impl Times {
    fn of(set: &Settings) -> Self {
        let or = |span: Duration, default| if span.is_zero() { default } else { span };
        // A connection idle for as long as the box keeps it would be closed under the next request.
        let idle = or(set.keep_alive_timeout * 6 / 10, Duration::from_secs(5));
        Times { idle, connect: or(set.connect_timeout, Duration::from_millis(250)) }
    }
}

impl Boxes {
    /// No more than `most` connections are in use at a time, and no more idle ones are kept beside them.
    pub fn new(host: &Host, most: usize) -> Rc<Self> {
        let times = Times::of(&host.settings());
        Rc::new(Boxes {
            host: host.clone(),
            clients: RefCell::default(),
            times: Cell::new(times),
            idling: Rc::new(Idling::new(times.idle)),
            most,
            open: Rc::default(),
            permits: Arc::new(Semaphore::new(most)),
        })
    }

    /// What holds now: settings may be newer than the last time.
    fn times(&self) -> Times {
        let times = Times::of(&self.host.settings());
        if self.times.replace(times) != times {
            // Each client keeps the times that it was made with.
            self.clients.borrow_mut().clear();
            self.idling.retune(times.idle);
        }
        times
    }

    fn client(&self, to: SocketAddr) -> Client {
        let (times, now, mut clients) = (self.times(), Instant::now(), self.clients.borrow_mut());
        clients.retain(|at, (_, used)| *at == to || now < *used + times.idle);
        // Idle connections go before those in use run out of descriptors, longest unused first.
        while self.open.get() >= self.most {
            let others = clients.iter().filter(|(at, _)| **at != to);
            let Some(oldest) = others.min_by_key(|(_, (_, used))| *used).map(|(at, _)| *at) else { break };
            clients.remove(&oldest);
        }
        let (client, used) = clients.entry(to).or_insert_with(|| (self.build(times), now));
        *used = now;
        client.clone()
    }

    /// Redirects would send a request once more by themselves, and awc's own time-out would end attempts
    /// that the core still waits for: both are off.
    fn build(&self, times: Times) -> Client {
        let (manner, open) = (Rc::new(Manner::new(self.idling.clone())), self.open.clone());
        let connect = fn_service(move |info: ConnectInfo<Uri>| {
            let (manner, open) = (manner.clone(), open.clone());
            async move {
                let uri = info.request().clone();
                let socket = connect(address_of(&uri)?, times.connect).await.map_err(TcpError::Io)?;
                let _ = socket.set_nodelay(true);
                Ok::<_, TcpError>(Connection::new(uri, BoxStream::new(socket, manner, Counted::new(&open))))
            }
        });
        let connector = Connector::new()
            .connector(connect)
            .timeout(times.connect)
            .conn_keep_alive(times.idle)
            .conn_lifetime(Duration::from_secs(24 * 3600))
            .max_http_version(actix_http::Version::HTTP_11)
            .limit(0);
        Client::builder()
            .connector(connector)
            .disable_redirects()
            .disable_timeout()
            .no_default_headers()
            .finish()
    }
}

/// One request as it passes on to a box.
pub struct Passed {
    /// The connections.
    pub boxes: Rc<Boxes>,
    /// Its method.
    pub method: Method,
    /// Path and query, as they came.
    pub target: String,
    /// `X-Trace-Id`, as it came.
    pub trace: String,
    /// `Idempotency-Key`, as it came: boxes drop a repeat by it.
    pub key: Option<HeaderValue>,
    /// The body.
    pub body: Carried,
    /// Of a large answer, what is to be passed on as it comes.
    pub rest: Rc<RefCell<Option<Rest>>>,
}

/// A request's body.
#[derive(Clone)]
pub enum Carried {
    /// There was none.
    None,
    /// All of it; it can be sent again.
    Whole(Bytes),
    /// A large one, as its client sends it.
    Moving(Rc<Upload>),
}

/// A large body on its way in.
pub struct Upload {
    /// How long it is, where that is stated.
    pub stated: Option<u64>,
    /// What has come of it, and can be sent again.
    pub first: Bytes,
    /// What is still to come.
    pub payload: RefCell<LocalBoxStream<'static, Result<Bytes, PayloadError>>>,
    /// Told when its last byte has come, and how many bytes it had.
    pub came: Box<dyn Fn(u64)>,
    /// More than `first` was read, and how much in all.
    pub read: Cell<u64>,
    /// Its last byte was handed on.
    pub went: Cell<bool>,
}

impl Upload {
    fn is_spent(&self) -> bool {
        self.read.get() > self.first.len() as u64 || self.went.get()
    }

    /// The next bytes, after `first`; a client that sends nothing for a while has left half a request.
    async fn next(&self) -> Option<Result<Bytes, PayloadError>> {
        let next = poll_fn(|cx| self.payload.borrow_mut().poll_next_unpin(cx));
        let next = match tokio::time::timeout(CLIENT_RESTS, next).await {
            Ok(next) => next,
            Err(_) => Some(Err(PayloadError::Incomplete(None))),
        };
        match next {
            Some(Ok(bytes)) => {
                self.read.set(self.read.get() + bytes.len() as u64);
                Some(if self.read.get() > BODIES_MOST { Err(PayloadError::Overflow) } else { Ok(bytes) })
            }
            None => {
                self.went.set(true);
                (self.came)(self.read.get());
                None
            }
            failed => failed,
        }
    }

    /// For one attempt; `tell` is told of the last byte.
    fn stream(self: Rc<Self>, tell: Rc<Tell>) -> LocalBoxStream<'static, Result<Bytes, PayloadError>> {
        let first = Some(self.first.clone()).filter(|first| !first.is_empty());
        futures_util::stream::unfold((self, first, tell), |(upload, first, tell)| async move {
            let next = match first {
                Some(first) => Some(Ok(first)),
                None => upload.next().await,
            };
            if next.is_none() {
                tell(AttemptProgress::BodySent);
            }
            Some((next?, (upload, None, tell)))
        })
        .boxed_local()
    }
}

/// A large answer, from its first bytes on.
pub struct Rest {
    /// How long it is, where that is stated.
    pub stated: Option<u64>,
    first: Option<Bytes>,
    came: u64,
    body: LocalBoxStream<'static, Result<Bytes, PayloadError>>,
    _permit: Option<OwnedSemaphorePermit>,
}

impl Rest {
    /// The next bytes as the box gives them; an error is one that the client must be able to tell.
    pub async fn next(&mut self) -> Option<Result<Bytes, PayloadError>> {
        let next = match self.first.take() {
            Some(first) => Some(Ok(first)),
            None => match tokio::time::timeout(RESTS, self.body.next()).await {
                Ok(next) => next,
                Err(_) => Some(Err(PayloadError::Incomplete(None))),
            },
        };
        match next {
            Some(Ok(bytes)) => {
                self.came += bytes.len() as u64;
                let most = self.stated.unwrap_or(BODIES_MOST);
                Some(if self.came > most { Err(PayloadError::Overflow) } else { Ok(bytes) })
            }
            None if self.stated.is_some_and(|stated| self.came < stated) => {
                Some(Err(PayloadError::Incomplete(None)))
            }
            other => other,
        }
    }
}

impl Errand for Passed {
    fn attempt(&self, to: SocketAddr, wait: Duration, tell: Tell) -> LocalBoxFuture<'static, AttemptResult> {
        let (boxes, began) = (self.boxes.clone(), Instant::now());
        let (method, uri) = (self.method.clone(), format!("http://{to}{}", self.target));
        let (trace, key) = (self.trace.clone(), self.key.clone());
        let (body, rest, bare) = (self.body.clone(), self.rest.clone(), self.method == Method::HEAD);
        let connect = boxes.times().connect;
        let writes = Rc::new(Cell::new(false));
        let wrote = writes.clone();
        let tell: Rc<Tell> = Rc::new(Box::new(move |news| {
            writes.set(writes.get() || news == AttemptProgress::WriteStarted);
            tell(news);
        }));
        let news = tell.clone();
        // While a large body moves its client's time stands still.
        let until = (!matches!(body, Carried::Moving(_))).then(|| began + wait);
        let attempt = async move {
            // Never closed; each is given back when its attempt ends, by whatever.
            let permit = boxes.permits.clone().acquire_owned().await.ok();
            let wait = wait.saturating_sub(began.elapsed());
            let mut request = boxes
                .client(to)
                .request(method, uri)
                .insert_header(("X-Trace-Id", trace))
                .insert_header(("X-Expires-In", format!("{:.3}", wait.as_secs_f64())));
            if let Some(key) = key {
                request = request.insert_header((IDEMPOTENCY_KEY, key));
            }
            let (sent, upload) = match body {
                Carried::Whole(body) => (request.send_body(body), None),
                Carried::None => (request.send(), None),
                Carried::Moving(upload) => {
                    tell(AttemptProgress::BodyStreaming);
                    let stream = upload.clone().stream(tell.clone());
                    let sent = match upload.stated {
                        Some(length) => request.send_body(SizedStream::new(length, stream)),
                        None => request.send_body(BodyStream::new(stream)),
                    };
                    (sent, Some(upload))
                }
            };
            let reply = match while_it_moves(sent, upload.as_deref()).await {
                Ok(response) => read(response, permit, &rest, bare).await,
                // Of a request whose last byte was never handed on nothing has run.
                Err(SendRequestError::Body(_)) => {
                    AttemptResult::without_response(TransportOutcome::Cancelled)
                }
                Err(SendRequestError::Send(_)) if upload.as_ref().is_some_and(|u| !u.went.get()) => {
                    AttemptResult::without_response(TransportOutcome::LostBeforeRequest)
                }
                Err(error) => AttemptResult::without_response(end_of(&error)),
            };
            AttemptResult { body_consumed: upload.is_some_and(|u| u.is_spent()), ..reply }
        };
        // A place and a connection together take no longer than the settings give a connection: repeats by key are
        // sent while the first is remembered.
        async move {
            let mut attempt = std::pin::pin!(UNTIL.scope(until, NEWS.scope(news, attempt)));
            match tokio::time::timeout(connect, &mut attempt).await {
                Ok(reply) => reply,
                Err(_) if wrote.get() => attempt.await,
                Err(_) => AttemptResult::without_response(TransportOutcome::ConnectTimedOut),
            }
        }
        .boxed_local()
    }
}

/// Waits for an answer, and not for a box that takes nothing of a body that there is.
async fn while_it_moves<T>(
    sent: impl Future<Output = Result<T, SendRequestError>>,
    upload: Option<&Upload>,
) -> Result<T, SendRequestError> {
    let mut sent = std::pin::pin!(sent);
    let Some(upload) = upload else { return sent.await };
    loop {
        let before = upload.read.get();
        match tokio::time::timeout(RESTS, &mut sent).await {
            Ok(sent) => return sent,
            Err(_) if !upload.went.get() && upload.read.get() == before => {
                return Err(SendRequestError::Timeout);
            }
            Err(_) => {}
        }
    }
}

/// How an exchange without an answer ended. awc says `Disconnected` where the connection ended after the
/// request as well, so that proves nothing of what ran.
fn end_of(error: &SendRequestError) -> TransportOutcome {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => TransportOutcome::LostAwaitingResponse,
        SendRequestError::Connect(ConnectError::Timeout) => TransportOutcome::ConnectTimedOut,
        SendRequestError::Connect(ConnectError::Io(why)) => connect_outcome(why),
        SendRequestError::Connect(_) | SendRequestError::Url(_) => TransportOutcome::Unreachable,
        SendRequestError::Send(_) => TransportOutcome::LostWhileWriting,
        SendRequestError::Timeout => TransportOutcome::TimedOut,
        SendRequestError::Response(ParseError::Io(why)) if why.kind() != std::io::ErrorKind::InvalidData => {
            TransportOutcome::LostAwaitingResponse
        }
        SendRequestError::Response(_) => TransportOutcome::MalformedResponse,
        _ => TransportOutcome::LostAwaitingResponse,
    }
}

/// A figure that can't be read, or can't be, is none: the scheduler would cut a volume by it for seconds. The
/// answer that it came with is as good without.
pub fn figure(text: Option<&str>, most: f64) -> Option<f64> {
    text?.parse().ok().filter(|n| (0.0..=most).contains(n))
}

async fn read<S>(
    mut response: ClientResponse<S>,
    permit: Option<OwnedSemaphorePermit>,
    rest: &RefCell<Option<Rest>>,
    bare: bool,
) -> AttemptResult
where
    S: Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin + 'static,
{
    let header = |name: &str| response.headers().get(name).and_then(|v| v.to_str().ok()).map(str::trim);
    let never_ran = header("X-Never-Ran") == Some("1");
    // No body follows a head that was asked for alone, whatever it states.
    let stated: Option<u64> =
        if bare { Some(0) } else { header("Content-Length").and_then(|v| v.parse().ok()) };
    // One that neither says so nor is chunked may never end: it is held as far as it can be.
    let closes = header("Connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
    let ends = stated.is_none() && (closes || header("Transfer-Encoding").is_some());
    let used = figure(header("X-Iops-Used"), 100.0 * USED_MOST).map(|percent| percent / 100.0);
    let elsewhere = figure(header("X-Rho"), ELSEWHERE_MOST).unwrap_or(0.0);
    let end = match response.status() {
        StatusCode::OK => TransportOutcome::Complete,
        StatusCode::INTERNAL_SERVER_ERROR => TransportOutcome::EndpointError,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if never_ran => {
            TransportOutcome::Rejected
        }
        _ => TransportOutcome::ProtocolViolation,
    };
    if stated.is_some_and(|n| n > BODIES_MOST) {
        return AttemptResult::without_response(TransportOutcome::UnboundedResponse);
    }
    let held = |stated: u64| end != TransportOutcome::Complete || stated <= BODY_MOST as u64;
    let whole = |stated: u64, came: usize| came as u64 >= stated;
    let (mut body, since) = (BytesMut::new(), Instant::now());
    loop {
        if stated.is_some_and(|n| whole(n, body.len()) && held(n)) {
            // awc keeps the connection once its stream is read to the end. Until then it has its place.
            actix_rt::spawn(async move {
                tokio::time::sleep(SETTLES).await;
                let rest = async { while response.next().await.is_some() {} };
                // Of a whole answer there is none; what goes on all the same ends with its connection.
                let _ = tokio::time::timeout(STALLED, rest).await;
                drop(permit);
            });
            break;
        }
        let open = ends && end == TransportOutcome::Complete;
        let wait = if open && !body.is_empty() { HELD.saturating_sub(since.elapsed()) } else { STALLED };
        match tokio::time::timeout(wait, response.next()).await {
            Ok(Some(Ok(chunk))) => {
                body.extend_from_slice(&chunk);
            }
            Ok(None) if stated.is_none() => break,
            Ok(None) => return AttemptResult::without_response(TransportOutcome::TruncatedResponse),
            Ok(Some(Err(PayloadError::Io(why)))) if why.kind() != std::io::ErrorKind::InvalidData => {
                return AttemptResult::without_response(TransportOutcome::TruncatedResponse)
            }
            Err(_) if wait < STALLED => {}
            Ok(Some(Err(_))) | Err(_) => {
                return AttemptResult::without_response(TransportOutcome::MalformedResponse)
            }
        }
        // What is larger goes on past the core from its first bytes on.
        let long = open && !body.is_empty() && since.elapsed() >= HELD;
        if stated.is_some_and(|n| !held(n)) || body.len() > BODY_MOST || long {
            if end != TransportOutcome::Complete {
                return AttemptResult::without_response(TransportOutcome::UnboundedResponse);
            }
            let (first, body) = (Some(body.freeze()), response.boxed_local());
            rest.replace(Some(Rest { stated, first, came: 0, body, _permit: permit }));
            return AttemptResult {
                transport: end,
                body: Bytes::new(),
                volume_usage: used,
                units_elsewhere: elsewhere,
                body_consumed: false,
            };
        }
    }
    let body = if end == TransportOutcome::Complete { body.freeze() } else { Bytes::new() };
    AttemptResult {
        transport: end,
        body,
        volume_usage: used,
        units_elsewhere: elsewhere,
        body_consumed: false,
    }
}
