//! The platform's front: HTTP/1.1 to clients, with actix-http.

use super::boxes::{Boxes, Passed, BODY_MOST};
use super::gate::{Closing, Gate};
use super::host::{log, Host};
use crate::broker::{Answer, Ask};
use crate::interface::{Settings, VolumeId};
use actix_http::body::BoxBody;
use actix_http::header::HeaderMap;
use actix_http::{HttpMessage, HttpService, KeepAlive, Method, Request, Response, StatusCode};
use actix_service::{fn_service, Service, ServiceFactory};
use bytes::{Bytes, BytesMut};
use futures_util::{FutureExt, StreamExt};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// A client that opens a connection may leave it unused for so long; actix-http's 5 s would cut off
/// clients that keep connections in store.
const IDLE: Duration = Duration::from_secs(75);
/// After the last byte of a closing answer a client has so long to take it.
const LINGER: Duration = Duration::from_secs(1);
/// What the front needs to serve.
pub struct Front {
    /// The core.
    pub host: Host,
    /// What plans and classes there are.
    pub settings: Settings,
    /// For attempts at boxes.
    pub boxes: Rc<Boxes>,
    /// The most client connections at a time.
    pub most: usize,
}

/// Serves until `stop` ends, and then what was taken.
pub async fn serve(front: Front, listener: TcpListener, stop: impl std::future::Future<Output = ()>) {
    let Front { host, settings, boxes, most } = front;
    let closing = Closing::default();
    let longest = settings.classes.iter().map(|c| c.deadline).max().unwrap_or_default();
    let gate = Gate { listener, host: host.clone(), most, sheds: true, longest, closing: closing.clone() };
    let settings = Rc::new(settings);
    let handler = fn_service(move |request: Request| {
        let (host, settings, boxes) = (host.clone(), settings.clone(), boxes.clone());
        async move { Ok::<_, Infallible>(handle(host, settings, boxes, request).await) }
    });
    // A client that closes its connection while its request is open has left: the service future is
    // dropped then, which half-closed connections would prevent.
    let http = HttpService::<TcpStream, _, BoxBody>::build()
        .keep_alive(KeepAlive::Timeout(IDLE))
        .client_request_timeout(IDLE)
        .client_disconnect_timeout(LINGER)
        .h1_allow_half_closed(false)
        .graceful_shutdown_signal(move || closing.clone().told())
        .h1(handler);
    let Ok(http) = http.new_service(()).await else { return log("the front could not be set up") };
    // How a client's connection ends is the client's affair; its request knows by being dropped.
    let serve = |stream| http.call((stream, None)).map(|_| ());
    gate.serve(stop, serve).await;
}

async fn handle(
    host: Host,
    settings: Rc<Settings>,
    boxes: Rc<Boxes>,
    mut request: Request,
) -> Response<BoxBody> {
    if request.path() == "/_health" {
        return plain(if host.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE });
    }
    let body = match whole_body(&mut request).await {
        Ok(body) => body,
        Err(status) => return plain(status),
    };
    let Some((ask, trace)) = understand(&request, &settings) else { return plain(StatusCode::BAD_REQUEST) };
    let target = request.uri().path_and_query().map_or("/", |p| p.as_str()).to_owned();
    // A GET has no body; an empty one would be passed on with a length it did not come with.
    let body = (!body.is_empty() || request.method() != Method::GET).then_some(body);
    let errand = Passed { boxes, method: request.method().clone(), target, trace, body };
    match host.ask(ask, Rc::new(errand)).await {
        Answer::Served(body) => Response::build(StatusCode::OK).body(body).map_into_boxed_body(),
        Answer::Refused(after) => {
            let mut refusal = Response::build(StatusCode::SERVICE_UNAVAILABLE);
            refusal.insert_header(("Retry-After", format!("{:.3}", after.as_secs_f64())));
            refusal.body(()).map_into_boxed_body()
        }
        Answer::Failed => plain(StatusCode::BAD_GATEWAY),
    }
}

fn plain(status: StatusCode) -> Response<BoxBody> {
    Response::new(status)
}

async fn whole_body(request: &mut Request) -> Result<Bytes, StatusCode> {
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|_| StatusCode::BAD_REQUEST)?;
        if body.len() + chunk.len() > BODY_MOST {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

/// The request in the core's terms, and its trace id; `None` where it is malformed.
fn understand(request: &Request, settings: &Settings) -> Option<(Ask, String)> {
    let headers = request.headers();
    let path = request.path().strip_prefix('/')?;
    let (class, key) = (path.split('/').next()?, path.rsplit('/').next()?);
    let plan = text(headers, "X-Qos-Policy")?;
    let place = text(headers, "X-Placement")?;
    let placed = |name: &str| {
        place.split(',').find_map(|part| part.trim().strip_prefix(name)?.strip_prefix('=')).map(str::trim)
    };
    let patience: f64 = text(headers, "X-Expires-In")?.parse().ok()?;
    let shard: i64 = placed("shard")?.parse().ok()?;
    let units: f64 = placed("units")?.parse().ok()?;
    let hosts: f64 = placed("hosts")?.parse().ok()?;
    let sound = (0.0..86400.0).contains(&patience) && units.is_finite() && units >= 0.0 && hosts.is_finite();
    let ask = Ask {
        class: settings.classes.iter().position(|c| c.name == class)? as u16,
        volume: hex(placed("volume")?)?,
        plan: settings.plans.iter().position(|p| p.name == plan)? as u16,
        hosts,
        key: hex(key)?,
        shard: if shard < 0 { None } else { Some(u16::try_from(shard).ok()?) },
        units,
        patience: Duration::from_secs_f64(if sound { patience } else { return None }),
        repeat: text(headers, "X-Second-Try").is_some_and(|v| v == "1"),
    };
    Some((ask, text(headers, "X-Trace-Id").filter(|id| !id.is_empty())?.to_owned()))
}

fn hex(digits: &str) -> Option<VolumeId> {
    let fits = digits.len() == 16 && digits.bytes().all(|b| b.is_ascii_hexdigit());
    if fits {
        u64::from_str_radix(digits, 16).ok()
    } else {
        None
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok().map(str::trim)
}
