//! Reads a response: buffers it whole where it is small, or hands it on to be streamed, and says how the attempt ended.
//!
//! A response that does not say how long it is may be large and slow. It is buffered for a short time, so that one that breaks
//! off can still be retried, and streamed from then on.

use super::limits::{MAX_BUFFERED_BODY, MAX_STREAMED_BODY};
use super::load_report::LoadReport;
use super::response_body::{StreamedResponse, StreamedResponseSlot};
use crate::broker::AttemptResult;
use crate::outcome::TransportOutcome;
use actix_http::header::HeaderMap;
use actix_http::{Method, StatusCode};
use awc::error::PayloadError;
use awc::ClientResponse;
use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use std::time::{Duration, Instant};
use tokio::sync::OwnedSemaphorePermit;

/// An endpoint's proof that a rejected request never ran, where its value is `1`.
const NEVER_RAN: &str = "X-Never-Ran";
/// How long a response of unknown length is buffered.
const UNKNOWN_LENGTH_BUFFER_TIME: Duration = Duration::from_millis(20);
/// The longest pause within a response that is buffered.
const STALL_TIMEOUT: Duration = Duration::from_millis(1000);
/// Before a connection is used again: what an endpoint sends behind a response has come by then, and is seen.
const SETTLE_TIME: Duration = Duration::from_millis(2);

/// The text of a header, where it is there once or more and readable; of several the first.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok().map(str::trim)
}

/// A response whose head has come.
pub struct ResponseReader<S> {
    outcome: TransportOutcome,
    load: LoadReport,
    content_length: Option<u64>,
    /// It has no length, but its end will show: it is chunked, or ends with its connection.
    has_unknown_length: bool,
    body: BytesMut,
    started_at: Instant,
    permit: Option<OwnedSemaphorePermit>,
    response: ClientResponse<S>,
}

/// How the buffering of a body ended.
enum Buffering {
    /// All of its stated length has come.
    ContentLengthReached,
    /// Its end has come.
    EndReached,
    /// It is large or slow, so it is not to be buffered.
    NotBuffered,
}

impl<S> ResponseReader<S>
where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin + 'static,
{
    /// Reads the head of the response to a request with `method`; `permit` is the connection's.
    pub fn new(response: ClientResponse<S>, method: &Method, permit: Option<OwnedSemaphorePermit>) -> Self {
        let headers = response.headers();
        let content_length = content_length(headers, method);
        ResponseReader {
            outcome: outcome_of_head(response.status(), headers),
            load: LoadReport::from_headers(headers),
            content_length,
            has_unknown_length: content_length.is_none() && shows_its_end(headers),
            body: BytesMut::new(),
            started_at: Instant::now(),
            permit,
            response,
        }
    }

    /// Reads the body; a large one is left in `slot`.
    pub async fn read(mut self, slot: &StreamedResponseSlot) -> AttemptResult {
        if self.content_length.is_some_and(|length| length > MAX_STREAMED_BODY) {
            return AttemptResult::without_response(TransportOutcome::UnboundedResponse);
        }
        match self.buffer().await {
            Ok(Buffering::ContentLengthReached) => {
                let body = std::mem::take(&mut self.body);
                let result = self.result(body.freeze());
                self.release_connection();
                result
            }
            Ok(Buffering::EndReached) => {
                let body = std::mem::take(&mut self.body);
                self.result(body.freeze())
            }
            Ok(Buffering::NotBuffered) => self.stream_into(slot),
            Err(outcome) => AttemptResult::without_response(outcome),
        }
    }

    /// Buffers the body as far as that is allowed; an error is the outcome of the attempt.
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
                // The time for buffering is over, which says nothing of the endpoint.
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

    /// Only complete responses are streamed, so others are buffered, of whatever length they say they are.
    fn fits_buffer(&self, content_length: u64) -> bool {
        self.outcome != TransportOutcome::Complete || content_length <= MAX_BUFFERED_BODY as u64
    }

    /// The body has begun, and is streamed if its end does not come soon.
    fn is_buffered_for_a_time(&self) -> bool {
        let may_stream = self.has_unknown_length && self.outcome == TransportOutcome::Complete;
        may_stream && !self.body.is_empty()
    }

    fn next_timeout(&self) -> Duration {
        if self.is_buffered_for_a_time() {
            UNKNOWN_LENGTH_BUFFER_TIME.saturating_sub(self.started_at.elapsed())
        } else {
            STALL_TIMEOUT
        }
    }

    fn may_buffer_more(&self) -> bool {
        let is_time_over =
            self.is_buffered_for_a_time() && self.started_at.elapsed() >= UNKNOWN_LENGTH_BUFFER_TIME;
        let fits = self.content_length.is_none_or(|length| self.fits_buffer(length));
        fits && self.body.len() <= MAX_BUFFERED_BODY && !is_time_over
    }

    /// Leaves the body to be streamed past the core; of a response that is not served there is no such body.
    fn stream_into(self, slot: &StreamedResponseSlot) -> AttemptResult {
        if self.outcome != TransportOutcome::Complete {
            return AttemptResult::without_response(TransportOutcome::UnboundedResponse);
        }
        let result = self.result(Bytes::new());
        let body = self.response.boxed_local();
        let streamed = StreamedResponse::new(self.content_length, self.body.freeze(), body, self.permit);
        slot.replace(Some(streamed));
        result
    }

    /// Only the body of a complete response counts.
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

    /// The library keeps a connection once its response is read to the end. Its permit is held until then.
    fn release_connection(self) {
        let (mut response, permit) = (self.response, self.permit);
        actix_rt::spawn(async move {
            tokio::time::sleep(SETTLE_TIME).await;
            // What goes on behind a complete response ends with its connection.
            let drain = async { while response.next().await.is_some() {} };
            let _ = tokio::time::timeout(STALL_TIMEOUT, drain).await;
            drop(permit);
        });
    }
}

/// In bytes, where it is stated. No body follows the head of a response to HEAD, whatever that states (RFC 9112, 6.3).
fn content_length(headers: &HeaderMap, method: &Method) -> Option<u64> {
    if *method == Method::HEAD {
        return Some(0);
    }
    header_text(headers, "Content-Length")?.parse().ok()
}

/// One that neither is chunked nor ends with its connection may never end: it is buffered as far as it can be.
fn shows_its_end(headers: &HeaderMap) -> bool {
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

/// An error of the network truncates a response; the kind `InvalidData` is one of its framing.
fn outcome_of_body_error(error: &PayloadError) -> TransportOutcome {
    match error {
        PayloadError::Io(error) if error.kind() != std::io::ErrorKind::InvalidData => {
            TransportOutcome::TruncatedResponse
        }
        _ => TransportOutcome::MalformedResponse,
    }
}
