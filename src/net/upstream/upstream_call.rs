//! One client's request as it is sent to endpoints: unchanged but for the time that is left, once for each attempt.

use super::attempt_context::{DEADLINE, PROGRESS};
use super::endpoint_clients::EndpointClients;
use super::limits::STREAM_IDLE_TIMEOUT;
use super::request_body::{RequestBody, Upload};
use super::response::ResponseReader;
use super::response_body::StreamedResponseSlot;
use crate::broker::{AttemptProgress, AttemptResult};
use crate::outcome::TransportOutcome;
use crate::runtime::host::{Errand, Tell};
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

/// Endpoints drop the repeat of a request by this header's value.
pub const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
const TRACE_ID: &str = "X-Trace-Id";
/// How long the response is waited for, in seconds.
const EXPIRES_IN: &str = "X-Expires-In";

/// One request as it passes on to endpoints.
#[derive(Clone)]
pub struct UpstreamCall {
    /// The connections.
    pub endpoint_clients: Rc<EndpointClients>,
    /// Its method.
    pub method: Method,
    /// Path and query, as they came.
    pub target: String,
    /// `X-Trace-Id`, as it came.
    pub trace_id: String,
    /// `Idempotency-Key`, as it came.
    pub idempotency_key: Option<HeaderValue>,
    /// The body.
    pub body: RequestBody,
    /// Where a large response is left to be streamed.
    pub streamed_response: StreamedResponseSlot,
}

impl Errand for UpstreamCall {
    fn attempt(&self, to: SocketAddr, wait: Duration, tell: Tell) -> LocalBoxFuture<'static, AttemptResult> {
        let started_at = Instant::now();
        let connect_timeout = self.endpoint_clients.timeouts().connect;
        let write_started = Rc::new(Cell::new(false));
        let progress = watch_write_start(tell, write_started.clone());
        // While a large body is streamed its client's deadline stands still.
        let is_streaming = matches!(self.body, RequestBody::Streaming(_));
        let deadline = (!is_streaming).then(|| started_at + wait);
        let attempt =
            Attempt { call: self.clone(), endpoint: to, started_at, wait, progress: progress.clone() };
        let attempt = DEADLINE.scope(deadline, PROGRESS.scope(progress, attempt.run()));
        with_connect_timeout(attempt, connect_timeout, write_started).boxed_local()
    }
}

/// Passes progress on, and keeps whether a byte was written.
fn watch_write_start(notify: Tell, write_started: Rc<Cell<bool>>) -> Rc<Tell> {
    Rc::new(Box::new(move |progress| {
        if progress == AttemptProgress::WriteStarted {
            write_started.set(true);
        }
        notify(progress);
    }))
}

/// The permit and the connection together take no longer than the settings give a connection: repeats by key are sent while
/// the endpoint remembers the first.
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

/// One attempt of a call.
struct Attempt {
    call: UpstreamCall,
    endpoint: SocketAddr,
    started_at: Instant,
    /// How long its response is waited for, from its start.
    wait: Duration,
    progress: Rc<Tell>,
}

impl Attempt {
    async fn run(self) -> AttemptResult {
        let permit = self.call.endpoint_clients.reserve_connection().await;
        let upload = match &self.call.body {
            RequestBody::Streaming(upload) => Some(upload.clone()),
            RequestBody::None | RequestBody::Buffered(_) => None,
        };
        let sent = self.send();
        let result = match while_upload_moves(sent, upload.as_deref()).await {
            Ok(response) => {
                let reader = ResponseReader::new(response, &self.call.method, permit);
                reader.read(&self.call.streamed_response).await
            }
            Err(error) => AttemptResult::without_response(outcome_of_attempt(&error, upload.as_deref())),
        };
        AttemptResult { body_consumed: upload.is_some_and(|upload| upload.is_consumed()), ..result }
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
        (self.progress)(AttemptProgress::BodyStreaming);
        let content_length = upload.content_length;
        let stream = upload.stream(self.progress.clone());
        match content_length {
            Some(length) => request.send_body(SizedStream::new(length, stream)),
            None => request.send_body(BodyStream::new(stream)),
        }
    }

    fn request(&self) -> ClientRequest {
        let call = &self.call;
        let remaining = self.wait.saturating_sub(self.started_at.elapsed());
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

/// Waits for a response, but not for an endpoint that takes nothing of a body that there is.
async fn while_upload_moves<T>(
    sent: impl Future<Output = Result<T, SendRequestError>>,
    upload: Option<&Upload>,
) -> Result<T, SendRequestError> {
    let mut sent = std::pin::pin!(sent);
    let Some(upload) = upload else { return sent.await };
    loop {
        let read_before = upload.bytes_read.get();
        match tokio::time::timeout(STREAM_IDLE_TIMEOUT, &mut sent).await {
            Ok(response) => return response,
            Err(_) if !upload.is_passed_on.get() && upload.bytes_read.get() == read_before => {
                return Err(SendRequestError::Timeout);
            }
            Err(_) => {}
        }
    }
}

/// How an attempt without a response ended. Of a request whose last byte was never passed on nothing has run.
fn outcome_of_attempt(error: &SendRequestError, upload: Option<&Upload>) -> TransportOutcome {
    let is_upload_cut = upload.is_some_and(|upload| !upload.is_passed_on.get());
    match error {
        SendRequestError::Body(_) => TransportOutcome::Cancelled,
        SendRequestError::Send(_) if is_upload_cut => TransportOutcome::LostBeforeRequest,
        error => outcome_of_error(error),
    }
}

/// The library says `Disconnected` also where the connection ended after the request, so that proves nothing of what ran.
fn outcome_of_error(error: &SendRequestError) -> TransportOutcome {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => TransportOutcome::LostAwaitingResponse,
        SendRequestError::Connect(ConnectError::Timeout) => TransportOutcome::ConnectTimedOut,
        SendRequestError::Connect(ConnectError::Io(error)) => connect_outcome(error),
        SendRequestError::Connect(_) | SendRequestError::Url(_) => TransportOutcome::Unreachable,
        SendRequestError::Send(_) => TransportOutcome::LostWhileWriting,
        SendRequestError::Timeout => TransportOutcome::TimedOut,
        SendRequestError::Response(ParseError::Io(error))
            if error.kind() != std::io::ErrorKind::InvalidData =>
        {
            TransportOutcome::LostAwaitingResponse
        }
        SendRequestError::Response(_) => TransportOutcome::MalformedResponse,
        _ => TransportOutcome::LostAwaitingResponse,
    }
}
