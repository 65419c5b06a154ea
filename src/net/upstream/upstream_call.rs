//! Sends a client's request to endpoints, once for each attempt. The request is unchanged except for the
//! remaining time that it states.

use super::attempt_context::{DEADLINE, PROGRESS};
use super::endpoint_clients::EndpointClients;
use super::limits::STREAM_IDLE_TIMEOUT;
use super::request_body::{RequestBody, Upload};
use super::response::ResponseReader;
use super::response_body::StreamedResponseSlot;
use super::response_head::outcome_of_read_error;
use crate::broker::{AttemptProgress, AttemptResult};
use crate::outcome::TransportOutcome;
use crate::runtime::host::{ProgressCallback, UpstreamRequest};
use crate::runtime::memory::MemoryBudget;
use crate::runtime::sockets::connect_outcome;
use actix_http::body::{BodyStream, SizedStream};
use actix_http::error::ParseError;
use actix_http::header::HeaderValue;
use actix_http::Method;
use awc::error::{ConnectError, SendRequestError};
use awc::{ClientRequest, SendClientRequest};
use futures_util::future::{FutureExt, LocalBoxFuture};
use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Endpoints recognise a repeat of a request by the value of this header, and drop it.
pub const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
const TRACE_ID: &str = "X-Trace-Id";
/// How long the sender still waits for the response, in seconds.
const EXPIRES_IN: &str = "X-Expires-In";

/// A client's request in the form in which it is sent to endpoints.
#[derive(Clone)]
pub struct UpstreamCall {
    /// The pool of connections to endpoints.
    pub endpoint_clients: Rc<EndpointClients>,
    /// The method.
    pub method: Method,
    /// The path and query, as received from the client.
    pub target: String,
    /// The value of `X-Trace-Id`, as received from the client.
    pub trace_id: String,
    /// The memory that responses are counted against.
    pub memory: MemoryBudget,
    /// The value of `Idempotency-Key`, as received from the client.
    pub idempotency_key: Option<HeaderValue>,
    /// The body.
    pub body: RequestBody,
    /// Where an attempt leaves a large response, to be streamed to the client.
    pub streamed_response: StreamedResponseSlot,
}

impl UpstreamRequest for UpstreamCall {
    fn attempt(
        &self,
        endpoint: SocketAddr,
        timeout: Duration,
        on_progress: ProgressCallback,
    ) -> LocalBoxFuture<'static, AttemptResult> {
        let started_at = Instant::now();
        let connect_timeout = self.endpoint_clients.timeouts().connect;
        let write_started = Rc::new(Cell::new(false));
        let on_progress = record_write_start(on_progress, write_started.clone());
        // The client's deadline is suspended while a large request body is streamed, so its end is not known
        // yet.
        let is_streaming = matches!(self.body, RequestBody::Streaming(_));
        let deadline = (!is_streaming).then(|| started_at + timeout);
        let attempt =
            Attempt { call: self.clone(), endpoint, started_at, timeout, on_progress: on_progress.clone() };
        let attempt = DEADLINE.scope(deadline, PROGRESS.scope(on_progress, attempt.run()));
        with_connect_timeout(attempt, connect_timeout, write_started).boxed_local()
    }
}

/// Wraps `on_progress` so that it also sets `write_started` when the first byte of the request is written.
fn record_write_start(on_progress: ProgressCallback, write_started: Rc<Cell<bool>>) -> Rc<ProgressCallback> {
    Rc::new(Box::new(move |progress| {
        if progress == AttemptProgress::WriteStarted {
            write_started.set(true);
        }
        on_progress(progress);
    }))
}

/// Ends an attempt that has written nothing within `connect_timeout`. The wait for a permit and for the
/// connection together may take that long: a repeat of a request with an idempotency key must be sent while
/// the endpoint still remembers the first one.
async fn with_connect_timeout(
    attempt: impl Future<Output = AttemptResult>,
    connect_timeout: Duration,
    write_started: Rc<Cell<bool>>,
) -> AttemptResult {
    let mut attempt = std::pin::pin!(attempt);
    match tokio::time::timeout(connect_timeout, &mut attempt).await {
        Ok(result) => result,
        Err(_) if write_started.get() => attempt.await,
        Err(_) => AttemptResult::without_response(TransportOutcome::ConnectTimedOut),
    }
}

/// One attempt of an [`UpstreamCall`].
struct Attempt {
    call: UpstreamCall,
    endpoint: SocketAddr,
    started_at: Instant,
    /// How long the broker waits for the response, from the start of the attempt.
    timeout: Duration,
    on_progress: Rc<ProgressCallback>,
}

impl Attempt {
    async fn run(self) -> AttemptResult {
        let permit = self.call.endpoint_clients.reserve_connection().await;
        let upload = match &self.call.body {
            RequestBody::Streaming(upload) => Some(upload.clone()),
            RequestBody::None | RequestBody::Buffered(_) => None,
        };
        let response = with_upload_stall_timeout(self.send(), upload.as_deref());
        let result = match self.watch_client_during(response, upload.as_deref()).await {
            Ok(response) => {
                let memory = self.call.memory.open_account();
                let reader = ResponseReader::new(response, &self.call.method, permit, memory);
                reader.read(&self.call.streamed_response).await
            }
            Err(error) => AttemptResult::without_response(outcome_of_send_error(&error, upload.as_deref())),
        };
        AttemptResult { body_consumed: upload.is_some_and(|upload| upload.is_consumed()), ..result }
    }

    /// Waits for a response, and reports meanwhile what is known of the client that sends the body.
    async fn watch_client_during<T>(&self, response: impl Future<Output = T>, upload: Option<&Upload>) -> T {
        let Some(upload) = upload else { return response.await };
        let mut response = std::pin::pin!(response);
        tokio::select! {
            biased;
            response = &mut response => response,
            () = upload.watch_client(&self.on_progress) => response.await,
        }
    }

    fn send(&self) -> SendClientRequest {
        let request = self.request();
        match &self.call.body {
            RequestBody::None => request.send(),
            RequestBody::Buffered(body) => request.send_body(body.clone()),
            RequestBody::Streaming(upload) => self.send_upload(request, upload.clone()),
        }
    }

    fn send_upload(&self, request: ClientRequest, upload: Rc<Upload>) -> SendClientRequest {
        (self.on_progress)(AttemptProgress::BodyStreaming);
        let content_length = upload.content_length;
        let stream = upload.stream(self.on_progress.clone());
        match content_length {
            Some(length) => request.send_body(SizedStream::new(length, stream)),
            None => request.send_body(BodyStream::new(stream)),
        }
    }

    fn request(&self) -> ClientRequest {
        let call = &self.call;
        let remaining = self.timeout.saturating_sub(self.started_at.elapsed());
        let request = call
            .endpoint_clients
            .client(self.endpoint)
            .request(call.method.clone(), format!("http://{}{}", self.endpoint, call.target))
            .insert_header((TRACE_ID, call.trace_id.as_str()))
            .insert_header((EXPIRES_IN, format!("{:.3}", remaining.as_secs_f64())));
        match &call.idempotency_key {
            Some(key) => request.insert_header((IDEMPOTENCY_KEY, key.clone())),
            None => request,
        }
    }
}

/// Waits for a response, and times out if the endpoint accepts no bytes of an unfinished upload for
/// [`STREAM_IDLE_TIMEOUT`].
async fn with_upload_stall_timeout<T>(
    response: impl Future<Output = Result<T, SendRequestError>>,
    upload: Option<&Upload>,
) -> Result<T, SendRequestError> {
    let mut response = std::pin::pin!(response);
    let Some(upload) = upload else { return response.await };
    loop {
        let read_before = upload.bytes_read.get();
        match tokio::time::timeout(STREAM_IDLE_TIMEOUT, &mut response).await {
            Ok(result) => return result,
            Err(_) if !upload.is_fully_forwarded.get() && upload.bytes_read.get() == read_before => {
                return Err(SendRequestError::Timeout);
            }
            Err(_) => {}
        }
    }
}

/// Returns the outcome of an attempt that got no response. A request whose last byte was never forwarded
/// cannot have run.
fn outcome_of_send_error(error: &SendRequestError, upload: Option<&Upload>) -> TransportOutcome {
    let is_upload_incomplete = upload.is_some_and(|upload| !upload.is_fully_forwarded.get());
    match error {
        SendRequestError::Body(_) => TransportOutcome::Cancelled,
        SendRequestError::Send(_) if is_upload_incomplete => TransportOutcome::LostBeforeRequest,
        error => outcome_of_complete_request(error),
    }
}

/// The library reports `Disconnected` also if the connection ended after the request was written, so that
/// error does not prove that the request never ran.
fn outcome_of_complete_request(error: &SendRequestError) -> TransportOutcome {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => TransportOutcome::LostAwaitingResponse,
        SendRequestError::Connect(ConnectError::Timeout) => TransportOutcome::ConnectTimedOut,
        SendRequestError::Connect(ConnectError::Io(error)) => connect_outcome(error),
        SendRequestError::Connect(_) | SendRequestError::Url(_) => TransportOutcome::Unreachable,
        SendRequestError::Send(_) => TransportOutcome::LostWhileWriting,
        SendRequestError::Timeout => TransportOutcome::TimedOut,
        SendRequestError::Response(ParseError::Io(error)) => {
            outcome_of_read_error(error, TransportOutcome::LostAwaitingResponse)
        }
        SendRequestError::Response(_) => TransportOutcome::MalformedResponse,
        _ => TransportOutcome::LostAwaitingResponse,
    }
}
