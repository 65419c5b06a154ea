//! Parses the head of a client's request into the core's terms. The platform's header fields are
//! interpreted here and nowhere else.

use super::request_framing::BodyEnd;
use crate::broker::{Broker, IncomingRequest};
use crate::interface::VolumeId;
use crate::net::upstream::chunked::ChunkedBody;
use crate::net::upstream::upstream_call::IDEMPOTENCY_KEY;
use actix_http::header::{HeaderMap, HeaderValue};
use actix_http::{HttpMessage, Method, Request};
use std::ops::RangeInclusive;
use std::time::{Duration, Instant};

/// The maximum length of an `Idempotency-Key`, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;
/// The maximum length of an `X-Trace-Id`, in bytes.
const MAX_TRACE_ID_BYTES: usize = 64;
/// The upper limit of `X-Expires-In`, in seconds. No client waits as long.
const MAX_TIME_REMAINING_SECONDS: f64 = 86400.0;
/// The valid numbers of initiators through which a volume's requests arrive.
const INITIATOR_COUNTS: RangeInclusive<f64> = 1.0..=65536.0;
/// The number of hexadecimal digits of a volume's number and of a key.
const HEX_DIGITS: usize = 16;

/// The parts of a request's head that the core and the endpoint need.
pub struct RequestHead {
    /// The request in the core's terms.
    pub request: IncomingRequest,
    /// The request's id, which is sent to the endpoint too.
    pub trace_id: String,
    /// The idempotency key by which endpoints detect a retry, as the client sent it.
    pub idempotency_key: Option<HeaderValue>,
}

/// Parses a head; returns `None` if it is malformed. A request of a class that requires an idempotency key is
/// malformed unless it has exactly one, because no endpoint could detect its retry.
pub fn parse(request: &Request, core: &Broker) -> Option<RequestHead> {
    let headers = request.headers();
    let idempotency_key = idempotency_key(headers)?;
    if ![Method::GET, Method::HEAD, Method::PUT].contains(request.method()) {
        return None;
    }
    let path = request.path().strip_prefix('/')?;
    let class_name = path.split('/').next()?;
    let key = path.rsplit('/').next()?;
    let plan = single_header(headers, "X-Qos-Policy")?;
    let placement = Placement::parse(single_header(headers, "X-Placement")?, core)?;
    let class = core.class(class_name, idempotency_key.is_some(), Instant::now())?;
    let parsed = IncomingRequest {
        class,
        volume: placement.volume,
        plan: core.plan(plan)?,
        initiators: placement.initiators,
        key: parse_hex(key)?,
        shard: placement.shard,
        units: placement.units,
        time_remaining: time_remaining(headers, core.settings().class(class).deadline)?,
        client_retry: single_header(headers, "X-Second-Try").is_some_and(|value| value == "1"),
        at_most_once: false,
    };
    let trace_id = trace_id(headers)?;
    Some(RequestHead { request: parsed, trace_id, idempotency_key })
}

/// The contents of the `X-Placement` header.
struct Placement {
    volume: VolumeId,
    units: f64,
    shard: Option<u16>,
    initiators: f64,
}

impl Placement {
    /// Parses `name=value` fields separated by commas. Shard -1 means any shard.
    fn parse(text: &str, core: &Broker) -> Option<Self> {
        let field = |name: &str| {
            let value = text.split(',').find_map(|part| part.trim().strip_prefix(name)?.strip_prefix('='));
            value.map(str::trim)
        };
        let shard: i64 = field("shard")?.parse().ok()?;
        let units = parse_decimal(field("units")?)?;
        let initiators = parse_decimal(field("hosts")?)?;
        let max_units = core.settings().max_request_units;
        let units_fit = units > 0.0 && (max_units <= 0.0 || units <= max_units);
        if !units_fit || !INITIATOR_COUNTS.contains(&initiators) {
            return None;
        }
        Some(Placement {
            volume: parse_hex(field("volume")?)?,
            units,
            shard: if shard == -1 { None } else { Some(u16::try_from(shard).ok()?) },
            initiators,
        })
    }
}

/// Returns how long the client still waits, at most the deadline of the request's class. If one client
/// stated more than that, the scheduler would take the requests of clients that state less for late
/// retries.
fn time_remaining(headers: &HeaderMap, class_deadline: Duration) -> Option<Duration> {
    let seconds = parse_decimal(single_header(headers, "X-Expires-In")?)?;
    let stated = (seconds < MAX_TIME_REMAINING_SECONDS).then(|| Duration::from_secs_f64(seconds))?;
    Some(if class_deadline.is_zero() { stated } else { stated.min(class_deadline) })
}

/// Returns the request's id: 1 to 64 ASCII letters, digits, `-` or `_`.
fn trace_id(headers: &HeaderMap) -> Option<String> {
    let id = single_header(headers, "X-Trace-Id")?;
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    let valid = (1..=MAX_TRACE_ID_BYTES).contains(&id.len()) && id.bytes().all(plain);
    valid.then(|| id.to_owned())
}

/// Returns the idempotency key, if the request has one; `None` if it has several, or if the key is malformed.
fn idempotency_key(headers: &HeaderMap) -> Option<Option<HeaderValue>> {
    let mut all = headers.get_all(IDEMPOTENCY_KEY);
    let Some(key) = all.next() else { return Some(None) };
    let valid = key.to_str().is_ok_and(|text| (1..=MAX_IDEMPOTENCY_KEY_BYTES).contains(&text.trim().len()));
    (valid && all.next().is_none()).then(|| Some(key.clone()))
}

/// Returns the value of a header that occurs exactly once; `None` if it is missing, repeated or not text.
pub fn single_header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let mut all = headers.get_all(name);
    let value = all.next()?;
    all.next().is_none().then(|| value.to_str().ok().map(str::trim))?
}

/// Returns the length of a request's head in bytes, without optional whitespace.
pub fn head_bytes(request: &Request) -> u64 {
    const REQUEST_LINE: usize = " ".len() + " HTTP/1.1\r\n".len();
    const HEADER: usize = ": \r\n".len();
    let target = request.uri().path_and_query().map_or(1, |target| target.as_str().len());
    let headers = request.headers().iter().map(|(name, value)| name.as_str().len() + HEADER + value.len());
    (request.method().as_str().len() + REQUEST_LINE + target + headers.sum::<usize>() + "\r\n".len()) as u64
}

/// Returns where the library expects the end of a request's body.
pub fn body_end(request: &Request) -> BodyEnd {
    let headers = request.headers();
    let length = single_header(headers, "Content-Length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let is_websocket =
        |value: &HeaderValue| value.to_str().is_ok_and(|text| text.trim().eq_ignore_ascii_case("websocket"));
    if request.chunked().unwrap_or(false) {
        BodyEnd::LastChunk(ChunkedBody::new())
    } else if headers.get_all("Upgrade").any(is_websocket)
        || length == 0 && request.method() == Method::CONNECT
    {
        BodyEnd::Close
    } else {
        BodyEnd::After(length)
    }
}

/// Parses digits with or without a fraction. A sign, an exponent, infinity and NaN are rejected.
fn parse_decimal(text: &str) -> Option<f64> {
    text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.').then(|| text.parse().ok())?
}

/// Parses a hexadecimal number of exactly 16 digits.
fn parse_hex(digits: &str) -> Option<u64> {
    let fits = digits.len() == HEX_DIGITS && digits.bytes().all(|byte| byte.is_ascii_hexdigit());
    fits.then(|| u64::from_str_radix(digits, 16).ok())?
}
