//! Reads a response and determines the outcome of its attempt. A small response is buffered whole, a large
//! one is streamed.
//!
//! A response that does not state its length may be large and slow. It is buffered for a short time, in which
//! the attempt can still be retried if the response breaks off, and is streamed from then on.

use super::limits::{MAX_BUFFERED_BODY, MAX_STREAMED_BODY};
use super::load_report::LoadReport;
use super::response_body::{StreamedResponse, StreamedResponseSlot};
use super::response_head::outcome_of_read_error;
use crate::broker::AttemptResult;
use crate::outcome::TransportOutcome;
use crate::runtime::memory::MemoryAccount;
use actix_http::header::HeaderMap;
use actix_http::{Method, StatusCode};
use awc::error::PayloadError;
use awc::ClientResponse;
use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use std::time::{Duration, Instant};
use tokio::sync::OwnedSemaphorePermit;

/// The header in which an endpoint states, with the value `1`, that a rejected request never ran.
const NEVER_RAN: &str = "X-Never-Ran";
/// How long a response of unknown length is buffered before it is streamed.
const UNKNOWN_LENGTH_BUFFER_TIME: Duration = Duration::from_millis(20);
/// The longest pause within a response that is being buffered.
const STALL_TIMEOUT: Duration = Duration::from_millis(1000);
/// The pause after a complete response before its connection may be reused. Stray bytes that the endpoint
/// sends after the response have arrived by then, and are noticed.
const SETTLE_TIME: Duration = Duration::from_millis(2);

/// What a byte of a buffered body takes: its buffer grows by doubling.
const BYTES_PER_BUFFERED_BYTE: usize = 2;
/// What a body takes at most that is streamed: as it is received, and on its way to the client.
const STREAMED_BODY_BYTES: usize = 32 << 10;
/// What a body takes at most whose length is unknown: its beginning may be buffered.
const UNKNOWN_BODY_BYTES: usize = 96 << 10;

/// Returns the value of a header without surrounding whitespace, or `None` if it is missing or not visible
/// ASCII. If the header is repeated, the first value is returned.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok().map(str::trim)
}

/// A response whose head has been received.
pub struct ResponseReader<S> {
    outcome: TransportOutcome,
    load: LoadReport,
    content_length: Option<u64>,
    /// Whether the length is not stated but the end can be recognised, because the body is chunked or ends
    /// with the connection.
    has_unknown_length: bool,
    body: BytesMut,
    started_at: Instant,
    permit: Option<OwnedSemaphorePermit>,
    memory: MemoryAccount,
    response: ClientResponse<S>,
}

/// A buffered body, and the memory that is reserved for it.
struct ReservedBody {
    bytes: BytesMut,
    _memory: MemoryAccount,
}

impl AsRef<[u8]> for ReservedBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// The result of buffering a body.
enum Buffering {
    /// The stated number of bytes has been received.
    ContentLengthReached,
    /// The end of the body has been received.
    EndReached,
    /// The body is too large or too slow to be buffered.
    NotBuffered,
}

impl<S> ResponseReader<S>
where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin + 'static,
{
    /// Evaluates the head of the response to a request with `method`. `permit` is the permit of the
    /// connection.
    pub fn new(
        response: ClientResponse<S>,
        method: &Method,
        permit: Option<OwnedSemaphorePermit>,
        memory: MemoryAccount,
    ) -> Self {
        let headers = response.headers();
        let content_length = content_length(headers, method);
        ResponseReader {
            outcome: outcome_of_head(response.status(), headers),
            load: LoadReport::from_headers(headers),
            content_length,
            has_unknown_length: content_length.is_none() && has_recognisable_end(headers),
            body: BytesMut::new(),
            started_at: Instant::now(),
            permit,
            memory,
            response,
        }
    }

    /// Reads the body and returns the result of the attempt. A large body is left in `slot` to be streamed.
    pub async fn read(mut self, slot: &StreamedResponseSlot) -> AttemptResult {
        if self.content_length.is_some_and(|length| length > MAX_STREAMED_BODY) {
            return AttemptResult::without_response(TransportOutcome::UnboundedResponse);
        }
        self.memory.reserve(self.bytes_to_reserve()).await;
        match self.buffer().await {
            Ok(Buffering::ContentLengthReached) => {
                let body = self.take_body();
                let result = self.result(body);
                self.release_connection();
                result
            }
            Ok(Buffering::EndReached) => {
                let body = self.take_body();
                self.result(body)
            }
            Ok(Buffering::NotBuffered) => self.stream_into(slot),
            Err(outcome) => AttemptResult::without_response(outcome),
        }
    }

    /// Returns the memory that the body takes at most in this process.
    fn bytes_to_reserve(&self) -> usize {
        match self.content_length {
            Some(length) if length <= MAX_BUFFERED_BODY as u64 => length as usize * BYTES_PER_BUFFERED_BYTE,
            Some(_) => STREAMED_BODY_BYTES,
            None => UNKNOWN_BODY_BYTES,
        }
    }

    /// Returns the buffered body, whose memory stays reserved until it is dropped.
    fn take_body(&mut self) -> Bytes {
        let bytes = std::mem::take(&mut self.body);
        if bytes.is_empty() {
            return Bytes::new();
        }
        let rest = self.memory.sibling();
        let memory = std::mem::replace(&mut self.memory, rest);
        Bytes::from_owner(ReservedBody { bytes, _memory: memory })
    }

    /// Buffers the body as far as that is allowed.
    ///
    /// # Errors
    /// The body cannot be read. The error is the outcome of the attempt.
    async fn buffer(&mut self) -> Result<Buffering, TransportOutcome> {
        loop {
            if self.is_all_received() {
                return Ok(Buffering::ContentLengthReached);
            }
            let timeout = self.next_timeout();
            match tokio::time::timeout(timeout, self.response.next()).await {
                Ok(Some(Ok(bytes))) => self.body.extend_from_slice(&bytes),
                Ok(Some(Err(error))) => return Err(outcome_of_body_error(&error)),
                Ok(None) if self.content_length.is_none() => return Ok(Buffering::EndReached),
                Ok(None) => return Err(TransportOutcome::TruncatedResponse),
                // The time for buffering is over, which says nothing about the endpoint.
                Err(_) if timeout < STALL_TIMEOUT => {}
                Err(_) => return Err(TransportOutcome::MalformedResponse),
            }
            if !self.may_buffer_more() {
                return Ok(Buffering::NotBuffered);
            }
        }
    }

    fn is_all_received(&self) -> bool {
        self.content_length.is_some_and(|length| self.body.len() as u64 >= length && self.fits_buffer(length))
    }

    /// Returns whether a body of this length may be buffered. Only complete responses are streamed, so the
    /// length that others state does not matter.
    fn fits_buffer(&self, content_length: u64) -> bool {
        self.outcome != TransportOutcome::Complete || content_length <= MAX_BUFFERED_BODY as u64
    }

    /// Returns whether the body has begun and is to be streamed unless it ends within
    /// [`UNKNOWN_LENGTH_BUFFER_TIME`].
    fn is_buffering_time_limited(&self) -> bool {
        let may_stream = self.has_unknown_length && self.outcome == TransportOutcome::Complete;
        may_stream && !self.body.is_empty()
    }

    fn next_timeout(&self) -> Duration {
        if self.is_buffering_time_limited() {
            UNKNOWN_LENGTH_BUFFER_TIME.saturating_sub(self.started_at.elapsed())
        } else {
            STALL_TIMEOUT
        }
    }

    fn may_buffer_more(&self) -> bool {
        let is_time_over =
            self.is_buffering_time_limited() && self.started_at.elapsed() >= UNKNOWN_LENGTH_BUFFER_TIME;
        let fits = self.content_length.is_none_or(|length| self.fits_buffer(length));
        fits && self.body.len() <= MAX_BUFFERED_BODY && !is_time_over
    }

    /// Leaves the body in `slot`, to be streamed to the client without passing through the core. Only the
    /// body of a complete response is streamed.
    fn stream_into(self, slot: &StreamedResponseSlot) -> AttemptResult {
        if self.outcome != TransportOutcome::Complete {
            return AttemptResult::without_response(TransportOutcome::UnboundedResponse);
        }
        let result = self.result(Bytes::new());
        let body = self.response.boxed_local();
        let buffered = self.body.freeze();
        let streamed = StreamedResponse::new(self.content_length, buffered, body, self.permit, self.memory);
        slot.replace(Some(streamed));
        result
    }

    /// Returns the result of the attempt. Only a complete response has a body in it.
    fn result(&self, body: Bytes) -> AttemptResult {
        let is_complete = self.outcome == TransportOutcome::Complete;
        AttemptResult {
            transport: self.outcome,
            body: if is_complete { body } else { Bytes::new() },
            volume_usage: self.load.volume_usage,
            units_elsewhere: self.load.units_elsewhere,
            body_consumed: false,
        }
    }

    /// Reads the response to its end in the background, after which the library keeps the connection. The
    /// permit is held until then.
    fn release_connection(self) {
        let (mut response, permit) = (self.response, self.permit);
        actix_rt::spawn(async move {
            tokio::time::sleep(SETTLE_TIME).await;
            // If the endpoint goes on sending, the response is dropped after the timeout, which closes the
            // connection.
            let drain = async { while response.next().await.is_some() {} };
            let _ = tokio::time::timeout(STALL_TIMEOUT, drain).await;
            drop(permit);
        });
    }
}

/// Returns the length of the body in bytes, if it is stated. A response to HEAD has no body, whatever length
/// it states (RFC 9112, 6.3).
fn content_length(headers: &HeaderMap, method: &Method) -> Option<u64> {
    if *method == Method::HEAD {
        return Some(0);
    }
    header_text(headers, "Content-Length")?.parse().ok()
}

/// Returns whether the headers announce a chunked body or the end of the connection. A body without a length
/// and without either may never end, so it is buffered up to the size limit, with no limit on the time.
fn has_recognisable_end(headers: &HeaderMap) -> bool {
    let closes = header_text(headers, "Connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
    closes || header_text(headers, "Transfer-Encoding").is_some()
}

fn outcome_of_head(status: StatusCode, headers: &HeaderMap) -> TransportOutcome {
    let never_ran = header_text(headers, NEVER_RAN) == Some("1");
    match status {
        StatusCode::OK => TransportOutcome::Complete,
        StatusCode::INTERNAL_SERVER_ERROR => TransportOutcome::EndpointError,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if never_ran => {
            TransportOutcome::Rejected
        }
        _ => TransportOutcome::ProtocolViolation,
    }
}

/// Returns the outcome of an attempt whose body could not be read.
fn outcome_of_body_error(error: &PayloadError) -> TransportOutcome {
    match error {
        PayloadError::Io(error) => outcome_of_read_error(error, TransportOutcome::TruncatedResponse),
        _ => TransportOutcome::MalformedResponse,
    }
}
