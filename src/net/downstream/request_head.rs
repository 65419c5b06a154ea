//! What a request's head says, in the core's terms: the platform's header fields are mapped to them here and nowhere else.

use crate::broker::{Broker, IncomingRequest};
use crate::interface::VolumeId;
use crate::net::upstream::upstream_call::IDEMPOTENCY_KEY;
use actix_http::header::{HeaderMap, HeaderValue};
use actix_http::{HttpMessage, Method, Request};
use std::ops::RangeInclusive;
use std::time::{Duration, Instant};

/// The longest `Idempotency-Key`, in bytes.
const MAX_KEY_BYTES: usize = 255;
/// The longest `X-Trace-Id`, in bytes.
const MAX_TRACE_ID_BYTES: usize = 64;
/// A longer wait than this, in seconds, is no client's.
const MAX_TIME_REMAINING_SECONDS: f64 = 86400.0;
/// Through how many initiators a volume's requests may come.
const INITIATORS: RangeInclusive<f64> = 1.0..=65536.0;
/// Hex digits of a volume's number and of a key.
const HEX_DIGITS: usize = 16;

/// A request's head, as far as it concerns the core and the endpoint.
pub struct RequestHead {
    /// The request in the core's terms.
    pub request: IncomingRequest,
    /// The id that an endpoint is given too.
    pub trace_id: String,
    /// The key by which endpoints drop a repeat, as it came.
    pub idempotency_key: Option<HeaderValue>,
}

/// Reads a head; `None` where it is malformed. So is a request of a keyed class without its one key: no endpoint could
/// drop its repeat.
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
    };
    let trace_id = trace_id(headers)?;
    Some(RequestHead { request: parsed, trace_id, idempotency_key })
}

/// What `X-Placement` says.
struct Placement {
    volume: VolumeId,
    units: f64,
    shard: Option<u16>,
    initiators: f64,
}

impl Placement {
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
        if !units_fit || !INITIATORS.contains(&initiators) {
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

/// How long the client waits. No client of the class waits longer than its deadline: the scheduler would take those who
/// wait less for late repeats.
fn time_remaining(headers: &HeaderMap, class_deadline: Duration) -> Option<Duration> {
    let seconds = parse_decimal(single_header(headers, "X-Expires-In")?)?;
    let stated = (seconds < MAX_TIME_REMAINING_SECONDS).then(|| Duration::from_secs_f64(seconds))?;
    Some(if class_deadline.is_zero() { stated } else { stated.min(class_deadline) })
}

fn trace_id(headers: &HeaderMap) -> Option<String> {
    let id = single_header(headers, "X-Trace-Id")?;
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    let valid = (1..=MAX_TRACE_ID_BYTES).contains(&id.len()) && id.bytes().all(plain);
    valid.then(|| id.to_owned())
}

/// The key by which endpoints drop a repeat; `None`: there are several, or it is no key.
fn idempotency_key(headers: &HeaderMap) -> Option<Option<HeaderValue>> {
    let mut all = headers.get_all(IDEMPOTENCY_KEY);
    let Some(key) = all.next() else { return Some(None) };
    let valid = key.to_str().is_ok_and(|text| (1..=MAX_KEY_BYTES).contains(&text.trim().len()));
    (valid && all.next().is_none()).then(|| Some(key.clone()))
}

/// The value of a header that comes once.
pub fn single_header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let mut all = headers.get_all(name);
    let value = all.next()?;
    all.next().is_none().then(|| value.to_str().ok().map(str::trim))?
}

/// How many bytes a request's head took, but for spaces that it need not have.
pub fn head_bytes(request: &Request) -> u64 {
    const LINE: usize = " ".len() + " HTTP/1.1\r\n".len();
    const HEADER: usize = ": \r\n".len();
    let target = request.uri().path_and_query().map_or(1, |target| target.as_str().len());
    let headers = request.headers().iter().map(|(name, value)| name.as_str().len() + HEADER + value.len());
    (request.method().as_str().len() + LINE + target + headers.sum::<usize>() + "\r\n".len()) as u64
}

/// Digits with or without decimals: no sign, exponent, infinity or NaN.
fn parse_decimal(text: &str) -> Option<f64> {
    text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.').then(|| text.parse().ok())?
}

fn parse_hex(digits: &str) -> Option<u64> {
    let fits = digits.len() == HEX_DIGITS && digits.bytes().all(|byte| byte.is_ascii_hexdigit());
    fits.then(|| u64::from_str_radix(digits, 16).ok())?
}
