//! The platform's front: HTTP/1.1 to clients, with actix-http.

use super::boxes::{Boxes, Carried, Passed, Rest, Upload, BODIES_MOST, BODY_MOST, IDEMPOTENCY_KEY};
use super::client::ClientStream;
use super::crowd::{Crowd, Line};
use crate::broker::{Answer, Broker, IncomingRequest};
use crate::interface::VolumeId;
use crate::runtime::host::{Host, Passing};
use crate::runtime::listener::FrontListener;
use crate::runtime::shutdown::Shutdown;
use actix_http::body::{BodyStream, BoxBody, SizedStream};
use actix_http::header::{HeaderMap, HeaderValue};
use actix_http::{
    ConnectionType, Extensions, HttpMessage, HttpService, KeepAlive, Method, Request, Response, StatusCode,
};
use actix_service::{fn_service, Service, ServiceFactory};
use bytes::BytesMut;
use futures_util::{stream, StreamExt};
use std::cell::{Cell, RefCell};
use std::collections::{HashSet, VecDeque};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tracing::error;

/// After the last byte of a closing answer a client has so long to take it.
const LINGER: Duration = Duration::from_millis(500);
/// The longest `Idempotency-Key`, in bytes.
const KEY_MOST: usize = 255;

/// What the front needs to serve.
pub struct Front {
    /// The core.
    pub host: Host,
    /// For attempts at boxes.
    pub boxes: Rc<Boxes>,
    /// The most client connections at a time.
    pub most: usize,
    /// The ids of requests.
    pub traces: Rc<RefCell<Traces>>,
    /// Asked at the stop: whether another process takes the clients from now on.
    pub succeeded: Rc<dyn Fn() -> bool>,
}

/// Serves until `stop` ends, and then what was taken.
pub async fn serve(front: Front, listener: TcpListener, stop: impl std::future::Future<Output = ()>) {
    let Front { host, boxes, most, traces, succeeded } = front;
    let shutdown = Shutdown::default();
    let core = host.clone();
    let listener = FrontListener {
        listener,
        host: host.clone(),
        max_connections: most,
        shutdown: shutdown.clone(),
        succeeded,
    };
    let open = Rc::new(Open { host, boxes, traces });
    let closing = shutdown.clone();
    let handler = fn_service(move |request: Request| {
        let (open, closing) = (open.clone(), closing.clone());
        async move {
            let line = request.conn_data::<Rc<Line>>().cloned();
            let mut response = open.handle(request).await;
            let leaves = open.host.leaves_since().or(open.host.succeeded_since()).is_some();
            let ends = leaves || closing.is_closing();
            if line.is_some_and(|line| line.floods() || ends && !line.has_more()) {
                response.head_mut().set_connection_type(ConnectionType::Close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    // A client that closes its connection while its request is open has left: the service future is
    // dropped then, which half-closed connections would prevent.
    // How long a connection may wait for what is in `crowd`.
    let http = HttpService::<ClientStream, _, BoxBody>::build()
        .keep_alive(KeepAlive::Os)
        .client_request_timeout(Duration::ZERO)
        .on_connect_ext(|stream: &ClientStream, data: &mut Extensions| {
            data.insert(stream.line());
        })
        .client_disconnect_timeout(LINGER)
        .h1_allow_half_closed(false)
        .h1(handler);
    let Ok(http) = http.new_service(()).await else { return error!("the front could not be set up") };
    let crowd = Crowd::default();
    let keeper = actix_rt::spawn(crowd.clone().keep(core, most, shutdown));
    // How a client's connection ends is the client's affair; its request knows by being dropped.
    let serve = |stream| {
        let stream = crowd.join(stream);
        let line = stream.line();
        let served = http.call((stream, None));
        async move {
            tokio::select! {
                _ = served => {}
                () = line.cut() => {}
            }
        }
    };
    listener.serve(stop, serve).await;
    keeper.abort();
}

/// What all requests share.
struct Open {
    host: Host,
    boxes: Rc<Boxes>,
    traces: Rc<RefCell<Traces>>,
}

/// The ids of requests, from the time that each was taken and for as long as any can be open. Each request
/// has its own: a second one under it would be taken for the first by a box.
#[derive(Default)]
pub struct Traces {
    taken: HashSet<String>,
    order: VecDeque<(Instant, String)>,
}

impl Traces {
    /// All of them, and how long ago each was taken.
    pub fn all(&self) -> Vec<(Duration, String)> {
        self.order.iter().map(|(at, id)| (at.elapsed(), id.clone())).collect()
    }

    /// Those of a predecessor.
    pub fn inherit(&mut self, traces: Vec<(Duration, String)>) {
        let now = Instant::now();
        for (ago, id) in traces {
            if self.taken.insert(id.clone()) {
                self.order.push_back((now.checked_sub(ago).unwrap_or(now), id));
            }
        }
    }

    fn take(&mut self, id: &str, longest: Duration) -> bool {
        let now = Instant::now();
        while self.order.front().is_some_and(|(at, _)| now > *at + 2 * longest) {
            if let Some((_, old)) = self.order.pop_front() {
                self.taken.remove(&old);
            }
        }
        let fresh = self.taken.insert(id.to_owned());
        if fresh {
            self.order.push_back((now, id.to_owned()));
        }
        fresh
    }
}

/// Tells a connection's line that its request is over, also where the client left.
struct Answered(Rc<Line>);

impl Drop for Answered {
    fn drop(&mut self) {
        self.0.is_answered();
    }
}

impl Open {
    async fn handle(&self, mut request: Request) -> Response<BoxBody> {
        let line = request.conn_data::<Rc<Line>>().cloned();
        let line = Answered(line.expect("every connection has its line"));
        line.0.has_head();
        if request.path() == "/_health" {
            line.0.request_came(size_of(&request));
            let ready = self.host.is_ready();
            return Response::new(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE });
        }
        let body = match body_of(&mut request, &line.0).await {
            Ok(body) => body,
            Err(status) => return turned_away(&line.0, status),
        };
        if request.method() != Method::PUT && !matches!(body, Carried::None) {
            return turned_away(&line.0, StatusCode::BAD_REQUEST);
        }
        let waited = match &body {
            // Its time begins with its last byte, which is still to come.
            Carried::Moving(_) => Duration::ZERO,
            Carried::Whole(bytes) => line.0.request_came(size_of(&request) + bytes.len() as u64).elapsed(),
            Carried::None => line.0.request_came(size_of(&request)).elapsed(),
        };
        let understood = self.host.look(|core| understand(&request, core));
        let Some((mut ask, trace, key)) = understood else {
            return turned_away(&line.0, StatusCode::BAD_REQUEST);
        };
        if !self.traces.borrow_mut().take(&trace, self.host.settings().longest_deadline()) {
            return turned_away(&line.0, StatusCode::CONFLICT);
        }
        ask.time_remaining = ask.time_remaining.saturating_sub(waited);
        let target = request.uri().path_and_query().map_or("/", |p| p.as_str()).to_owned();
        let upload = match &body {
            Carried::Moving(upload) => Some(upload.clone()),
            _ => None,
        };
        let (boxes, method) = (self.boxes.clone(), request.method().clone());
        let rest = Rc::new(RefCell::new(None));
        let errand = Passed { boxes, method, target, trace, key, body, rest: rest.clone() };
        if upload.is_some() {
            line.0.moves();
        } else {
            line.0.is_taken();
        }
        let answer = self.host.ask(ask, Rc::new(errand)).await;
        // What is still to come of a body that nobody takes would be read as requests.
        let half = upload.is_some_and(|upload| !upload.went.get());
        if half {
            line.0.leaves();
        }
        let mut answer = self.answer(answer, rest, line);
        if half {
            answer.head_mut().set_connection_type(ConnectionType::Close);
        }
        answer
    }

    fn answer(&self, answer: Answer, rest: Rc<RefCell<Option<Rest>>>, line: Answered) -> Response<BoxBody> {
        match answer {
            Answer::Served(body) => match rest.take() {
                Some(rest) => passed_on(rest, (line, self.host.passes())),
                None => Response::build(StatusCode::OK).body(body).map_into_boxed_body(),
            },
            Answer::Rejected(after) => {
                let mut refusal = Response::build(StatusCode::SERVICE_UNAVAILABLE);
                refusal.insert_header(("Retry-After", format!("{:.3}", after.as_secs_f64())));
                refusal.body(()).map_into_boxed_body()
            }
            Answer::Failed => Response::new(StatusCode::BAD_GATEWAY),
        }
    }
}

/// A large answer, as its client takes it. Its line is answered with its last byte.
fn passed_on(rest: Rest, line: (Answered, Passing)) -> Response<BoxBody> {
    let stated = rest.stated;
    let body = stream::unfold((rest, line), |(mut rest, line)| async move {
        let next = rest.next().await?;
        Some((next, (rest, line)))
    });
    let body = body.boxed_local();
    let mut answer = Response::build(StatusCode::OK);
    match stated {
        Some(length) => answer.body(SizedStream::new(length, body)).map_into_boxed_body(),
        None => answer.body(BodyStream::new(body)).map_into_boxed_body(),
    }
}

/// The answer to what is no request. The connection ends with it: its client would send more of the kind, and
/// of a body that is too large or spoilt the rest would be taken for requests.
fn turned_away(line: &Line, status: StatusCode) -> Response<BoxBody> {
    line.leaves();
    Response::build(status).force_close().body(()).map_into_boxed_body()
}

/// A body that was asked for: all of it, or a large one of which no more than that has come.
async fn body_of(request: &mut Request, line: &Rc<Line>) -> Result<Carried, StatusCode> {
    let stated = text(request.headers(), "Content-Length").and_then(|v| v.parse::<u64>().ok());
    if stated.is_some_and(|length| length > BODIES_MOST) {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while stated.is_none_or(|length| length <= BODY_MOST as u64) && body.len() <= BODY_MOST {
        match payload.next().await {
            Some(chunk) => body.extend_from_slice(&chunk.map_err(|_| StatusCode::BAD_REQUEST)?),
            // A GET has no body; an empty one would be passed on with a length it did not come with.
            None if request.method() != Method::PUT && body.is_empty() => return Ok(Carried::None),
            None => return Ok(Carried::Whole(body.freeze())),
        }
    }
    let (read, line, head) = (Cell::new(body.len() as u64), line.clone(), size_of(request));
    Ok(Carried::Moving(Rc::new(Upload {
        stated,
        first: body.freeze(),
        payload: RefCell::new(payload.boxed_local()),
        came: Box::new(move |body| {
            line.request_came(head + body);
            line.is_taken();
        }),
        read,
        went: Cell::new(false),
    })))
}

/// The request in the core's terms, its trace id and its key, if any; `None` where it is malformed. So is a
/// request of a keyed class without its one key: no box could drop its repeat.
fn understand(request: &Request, core: &Broker) -> Option<(IncomingRequest, String, Option<HeaderValue>)> {
    let headers = request.headers();
    let key_header = repeat_key(headers)?;
    if ![Method::GET, Method::HEAD, Method::PUT].contains(request.method()) {
        return None;
    }
    let path = request.path().strip_prefix('/')?;
    let (class, key) = (path.split('/').next()?, path.rsplit('/').next()?);
    let plan = text(headers, "X-Qos-Policy")?;
    let place = text(headers, "X-Placement")?;
    let placed = |name: &str| {
        place.split(',').find_map(|part| part.trim().strip_prefix(name)?.strip_prefix('=')).map(str::trim)
    };
    let (settings, class) = (core.settings(), core.class(class, key_header.is_some(), Instant::now())?);
    let patience = number(text(headers, "X-Expires-In")?).filter(|wait| *wait < 86400.0)?;
    // No client of the class waits longer; the scheduler would take those who do not for late repeats.
    let (patience, longest) = (Duration::from_secs_f64(patience), settings.class(class).deadline);
    let patience = if longest.is_zero() { patience } else { patience.min(longest) };
    let shard: i64 = placed("shard")?.parse().ok()?;
    let units = number(placed("units")?)?;
    let hosts = number(placed("hosts")?)?;
    let fits = units > 0.0 && (settings.max_request_units <= 0.0 || units <= settings.max_request_units);
    let ask = IncomingRequest {
        class,
        volume: hex(placed("volume")?)?,
        plan: core.plan(plan)?,
        initiators: Some(hosts).filter(|hosts| fits && (1.0..=65536.0).contains(hosts))?,
        key: hex(key)?,
        shard: if shard == -1 { None } else { Some(u16::try_from(shard).ok()?) },
        units,
        time_remaining: patience,
        client_retry: text(headers, "X-Second-Try").is_some_and(|v| v == "1"),
    };
    let id = text(headers, "X-Trace-Id")?;
    let plain = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
    ((1..=64).contains(&id.len()) && id.bytes().all(plain)).then(|| (ask, id.to_owned(), key_header))
}

/// The key by which boxes drop a repeat, as it came; `None`: there are several, or it is no key.
fn repeat_key(headers: &HeaderMap) -> Option<Option<HeaderValue>> {
    let mut all = headers.get_all(IDEMPOTENCY_KEY);
    let Some(key) = all.next() else { return Some(None) };
    let plain = key.to_str().is_ok_and(|text| (1..=KEY_MOST).contains(&text.trim().len()));
    (plain && all.next().is_none()).then(|| Some(key.clone()))
}

/// Digits with or without decimals: no sign, exponent, infinity or NaN.
fn number(text: &str) -> Option<f64> {
    text.bytes().all(|b| b.is_ascii_digit() || b == b'.').then(|| text.parse().ok())?
}

fn hex(digits: &str) -> Option<VolumeId> {
    let fits = digits.len() == 16 && digits.bytes().all(|b| b.is_ascii_hexdigit());
    if fits {
        u64::from_str_radix(digits, 16).ok()
    } else {
        None
    }
}

/// How many bytes a request's head took, but for spaces that it need not have.
fn size_of(request: &Request) -> u64 {
    const LINE: usize = " ".len() + " HTTP/1.1\r\n".len();
    const HEADER: usize = ": \r\n".len();
    let target = request.uri().path_and_query().map_or(1, |target| target.as_str().len());
    let headers = request.headers().iter().map(|(name, value)| name.as_str().len() + HEADER + value.len());
    (request.method().as_str().len() + LINE + target + headers.sum::<usize>() + "\r\n".len()) as u64
}

/// The value of a header that comes once.
fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let mut all = headers.get_all(name);
    let one = all.next()?;
    all.next().is_none().then(|| one.to_str().ok().map(str::trim))?
}
