//! The platform's front: serves clients' HTTP/1.1 requests with actix-http.
//!
//! A request goes through these steps:
//!
//! 1. Its body is read; a large one only as far as it is buffered.
//! 2. Its head is parsed.
//! 3. Its id is checked for repetition.
//! 4. The request is submitted to the core.
//! 5. The core's one final answer is sent as the response.

use super::client_stream::ClientStream;
use super::connection::Connection;
use super::connection_registry::ConnectionRegistry;
use super::memory::STREAMED_BODY_BYTES;
use super::request_head::{self, head_bytes, single_header, RequestHead};
use super::request_ids::{RequestIdError, RequestIds};
use crate::broker::{Answer, Rejection};
use crate::net::upstream::endpoint_clients::EndpointClients;
use crate::net::upstream::limits::{MAX_BUFFERED_BODY, MAX_STREAMED_BODY};
use crate::net::upstream::request_body::{ClientProgress, RequestBody, Upload};
use crate::net::upstream::response_body::{StreamedResponse, StreamedResponseSlot};
use crate::net::upstream::upstream_call::UpstreamCall;
use crate::runtime::host::{Host, StreamingResponseGuard};
use crate::runtime::listener::FrontListener;
use crate::runtime::memory::MemoryBudget;
use crate::runtime::shutdown::Shutdown;
use actix_http::body::{BodyStream, BoxBody, SizedStream};
use actix_http::error::PayloadError;
use actix_http::{
    ConnectionType, Extensions, HttpMessage, HttpService, KeepAlive, Method, Payload, Request, Response,
    StatusCode,
};
use actix_service::{fn_service, Service, ServiceFactory};
use bytes::Bytes;
use futures_util::{stream, Stream, StreamExt};
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tracing::error;

/// How long a client has to read the last response of a connection to its end.
const DISCONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a request whose body has arrived waits for the memory to read it before it is refused.
const MEMORY_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a request waits for that memory whose body is still being sent.
const MEMORY_TIMEOUT_WHILE_SENDING: Duration = Duration::from_millis(2400);
/// How long an upload waits for a place among all uploads before it is refused. None of it is read meanwhile.
const UPLOAD_TIMEOUT: Duration = Duration::from_millis(1500);
/// For how many bytes of a body that is buffered memory is reserved at a time.
const BODY_PART_BYTES: usize = 16 << 10;
/// How many bytes of responses actix-http holds before it writes them, if it can.
const WRITE_BUFFER_BYTES: usize = 8 << 10;
/// How often it is checked whether a body has arrived that waits for memory.
const BODY_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// What the front needs in order to serve.
pub struct Front {
    /// The core.
    pub host: Host,
    /// The HTTP clients of all endpoints.
    pub endpoint_clients: Rc<EndpointClients>,
    /// The maximum number of client connections at a time.
    pub max_connections: usize,
    /// The memory that clients may make the process hold.
    pub memory: MemoryBudget,
    /// The ids of recent requests.
    pub request_ids: Rc<RefCell<RequestIds>>,
    /// Called once at a shutdown. Hands over to the successor and returns `true` if there is one, which
    /// accepts clients from then on.
    pub hand_over: Rc<dyn Fn() -> bool>,
}

/// Serves clients until `stop` completes, and then until all accepted requests are answered.
pub async fn serve(front: Front, listener: TcpListener, stop: impl std::future::Future<Output = ()>) {
    let Front { host, endpoint_clients, max_connections, memory, request_ids, hand_over } = front;
    let shutdown = Shutdown::default();
    let core = host.clone();
    let listener = FrontListener {
        listener,
        host: host.clone(),
        max_connections,
        shutdown: shutdown.clone(),
        hand_over,
    };
    let uploads = Arc::new(Semaphore::new(endpoint_clients.max_uploads()));
    let memory_of_requests = memory.clone();
    let service =
        Rc::new(RequestService { host, endpoint_clients, request_ids, uploads, memory: memory_of_requests });
    let closing = shutdown.clone();
    let handler = fn_service(move |request: Request| {
        let (service, closing) = (service.clone(), closing.clone());
        async move {
            let connection = request.conn_data::<Rc<Connection>>().cloned();
            let mut response = service.handle(request).await;
            let draining = service.host.drained_since().or(service.host.handed_over_since()).is_some();
            let closes = draining || closing.is_closing();
            if connection
                .is_some_and(|c| c.has_read_ahead_overflowed() || closes && !c.has_requests_waiting())
            {
                response.head_mut().set_connection_type(ConnectionType::Close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    // A client that closes its connection, or its sending half, while its request is open has left: the
    // service future is then dropped, which it would not be if half-closed connections were allowed. The
    // timeouts for heads and idle connections are in `connection`, so the library's own are switched off.
    let http = HttpService::<ClientStream, _, BoxBody>::build()
        .keep_alive(KeepAlive::Os)
        .client_request_timeout(Duration::ZERO)
        .on_connect_ext(|stream: &ClientStream, data: &mut Extensions| {
            data.insert(stream.connection());
        })
        .client_disconnect_timeout(DISCONNECT_TIMEOUT)
        .h1_allow_half_closed(false)
        .h1_write_buffer_size(WRITE_BUFFER_BYTES)
        .h1(handler);
    let Ok(http) = http.new_service(()).await else { return error!("the HTTP service could not be set up") };
    let registry = ConnectionRegistry::new(memory);
    let timeouts = actix_rt::spawn(registry.clone().close_timed_out(core, max_connections, shutdown));
    // The result of a client's connection is not needed: if the connection is lost, its request is dropped,
    // and the core is told.
    let serve = |stream| {
        let stream = registry.register(stream);
        let connection = stream.connection();
        let served = http.call((stream, None));
        async move {
            tokio::select! {
                _ = served => {}
                () = connection.close_requested() => {}
            }
        }
    };
    listener.serve(stop, serve).await;
    timeouts.abort();
}

/// Handles the requests of all connections.
struct RequestService {
    host: Host,
    endpoint_clients: Rc<EndpointClients>,
    request_ids: Rc<RefCell<RequestIds>>,
    /// A place for each upload that may be open.
    uploads: Arc<Semaphore>,
    memory: MemoryBudget,
}

/// Tells a connection on drop that its request has been answered, or that the client has left.
struct AnsweredOnDrop(Rc<Connection>);

impl Drop for AnsweredOnDrop {
    fn drop(&mut self) {
        self.0.answered();
    }
}

/// Tells the ids on drop that a request has been answered, or that its client has left.
struct OpenRequestId {
    ids: Rc<RefCell<RequestIds>>,
    id: String,
}

impl Drop for OpenRequestId {
    fn drop(&mut self) {
        self.ids.borrow_mut().request_ended(&self.id);
    }
}

impl RequestService {
    /// Handles one request. `/_health` is answered here; all other requests go to the core.
    async fn handle(&self, mut request: Request) -> Response<BoxBody> {
        let connection = request.conn_data::<Rc<Connection>>().cloned();
        let connection = AnsweredOnDrop(connection.expect("every connection has its state"));
        connection.0.head_complete(request_head::body_end(&request));
        if request.path() == "/_health" {
            connection.0.request_arrived(head_bytes(&request));
            let ready = self.host.is_ready();
            return Response::new(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE });
        }
        let body = match read_body(&mut request, &connection.0).await {
            Ok(body) => body,
            Err(status) => return reject_and_close(&connection.0, status),
        };
        if request.method() != Method::PUT && !matches!(body, RequestBody::None) {
            return reject_and_close(&connection.0, StatusCode::BAD_REQUEST);
        }
        let _upload = match body {
            RequestBody::Streaming(_) => match self.upload_permit().await {
                Some(permit) => Some(permit),
                None => return reject_and_close(&connection.0, StatusCode::SERVICE_UNAVAILABLE),
            },
            RequestBody::None | RequestBody::Buffered(_) => None,
        };
        let waited = waiting_time(&request, &body, &connection.0);
        let Some(mut head) = self.host.with_broker(|core| request_head::parse(&request, core)) else {
            return reject_and_close(&connection.0, StatusCode::BAD_REQUEST);
        };
        let longest_deadline = self.host.settings().longest_deadline();
        let number = connection.0.number;
        match self.request_ids.borrow_mut().insert(&head.trace_id, number, longest_deadline) {
            Ok(()) => {}
            Err(RequestIdError::Known) => return reject_and_close(&connection.0, StatusCode::CONFLICT),
            Err(RequestIdError::Full) if matches!(body, RequestBody::Streaming(_)) => {
                return reject_and_close(&connection.0, StatusCode::SERVICE_UNAVAILABLE);
            }
            Err(RequestIdError::Full) => return Response::new(StatusCode::SERVICE_UNAVAILABLE),
        }
        let _open = OpenRequestId { ids: self.request_ids.clone(), id: head.trace_id.clone() };
        head.request.time_remaining = head.request.time_remaining.saturating_sub(waited);
        self.forward(&request, head, body, connection).await
    }

    /// Waits for a place for one more upload; `None`: there was none in time.
    async fn upload_permit(&self) -> Option<OwnedSemaphorePermit> {
        let permit = self.uploads.clone().acquire_owned();
        // The semaphore is never closed.
        tokio::time::timeout(UPLOAD_TIMEOUT, permit).await.ok()?.ok()
    }

    /// Submits the request to the core, and turns the one final answer into a response.
    async fn forward(
        &self,
        request: &Request,
        head: RequestHead,
        body: RequestBody,
        connection: AnsweredOnDrop,
    ) -> Response<BoxBody> {
        let upload = match &body {
            RequestBody::Streaming(upload) => Some(upload.clone()),
            _ => None,
        };
        if upload.is_some() {
            connection.0.body_streaming();
        } else {
            connection.0.request_in_progress();
        }
        let streamed_response = StreamedResponseSlot::default();
        let call = UpstreamCall {
            endpoint_clients: self.endpoint_clients.clone(),
            method: request.method().clone(),
            target: request.uri().path_and_query().map_or("/", |target| target.as_str()).to_owned(),
            trace_id: head.trace_id,
            idempotency_key: head.idempotency_key,
            body,
            memory: self.memory.clone(),
            streamed_response: streamed_response.clone(),
        };
        let answer = self.host.submit(head.request, Rc::new(call)).await;
        // The rest of a body that is not forwarded would be parsed as further requests.
        let is_body_incomplete = upload.is_some_and(|upload| !upload.is_fully_forwarded.get());
        if is_body_incomplete {
            connection.0.closing();
        }
        let mut response = self.respond(answer, streamed_response, connection);
        if is_body_incomplete {
            response.head_mut().set_connection_type(ConnectionType::Close);
        }
        response
    }

    /// Returns the response for an answer of the core.
    fn respond(
        &self,
        answer: Answer,
        streamed_response: StreamedResponseSlot,
        connection: AnsweredOnDrop,
    ) -> Response<BoxBody> {
        match answer {
            Answer::Served(body) => match streamed_response.take() {
                Some(streamed) => {
                    stream_response(streamed, (connection, self.host.track_streaming_response()))
                }
                None => {
                    connection.0.memory.response_ready(body.len());
                    Response::build(StatusCode::OK).body(body).map_into_boxed_body()
                }
            },
            Answer::Rejected(Rejection { retry_after, .. }) => {
                let mut rejected = Response::build(StatusCode::SERVICE_UNAVAILABLE);
                rejected.insert_header(("Retry-After", format!("{:.3}", retry_after.as_secs_f64())));
                rejected.body(()).map_into_boxed_body()
            }
            Answer::Failed => Response::new(StatusCode::BAD_GATEWAY),
        }
    }
}

/// Returns how long ago the last byte of a request arrived: a pipelined request has waited for the
/// responses to earlier ones. Zero if the body is being streamed, because the request's time begins with
/// the body's last byte.
fn waiting_time(request: &Request, body: &RequestBody, connection: &Connection) -> Duration {
    let body_bytes = match body {
        RequestBody::Streaming(_) => return Duration::ZERO,
        RequestBody::Buffered(bytes) => bytes.len() as u64,
        RequestBody::None => 0,
    };
    connection.request_arrived(head_bytes(request) + body_bytes).elapsed()
}

/// Returns a response that is streamed at the pace at which the client reads it. The request counts as
/// answered once the last byte is sent, because the guards are dropped with the stream.
fn stream_response(
    streamed: StreamedResponse,
    guards: (AnsweredOnDrop, StreamingResponseGuard),
) -> Response<BoxBody> {
    let content_length = streamed.content_length;
    let body = stream::unfold((streamed, guards), |(mut streamed, guards)| async move {
        let next = streamed.next().await?;
        Some((next, (streamed, guards)))
    });
    let body = body.boxed_local();
    let mut response = Response::build(StatusCode::OK);
    match content_length {
        Some(length) => response.body(SizedStream::new(length, body)).map_into_boxed_body(),
        None => response.body(BodyStream::new(body)).map_into_boxed_body(),
    }
}

/// Returns an error response after which the connection closes. The client would send more malformed
/// requests, and the rest of a body that is too large or malformed would be parsed as requests.
fn reject_and_close(connection: &Connection, status: StatusCode) -> Response<BoxBody> {
    connection.closing();
    Response::build(status).force_close().body(()).map_into_boxed_body()
}

/// A request's body, which tells its connection when more bytes of it are wanted.
struct TrackedPayload {
    payload: Payload,
    connection: Rc<Connection>,
}

impl Stream for TrackedPayload {
    type Item = Result<Bytes, PayloadError>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let next = self.payload.poll_next_unpin(cx);
        match next {
            Poll::Pending => self.connection.body_awaited(),
            Poll::Ready(_) => self.connection.body_taken(),
        }
        next
    }
}

/// Waits for `bytes` bytes of memory for a body. A client's time counts from the last byte that it sent, so a body
/// that has arrived does not wait for long.
///
/// # Errors
/// The status to respond with, if no memory was left in time.
async fn reserve_body(
    connection: &Connection,
    content_length: Option<u64>,
    bytes: usize,
) -> Result<(), StatusCode> {
    let mut reserved = std::pin::pin!(connection.memory.reserve_body(bytes));
    let started_at = Instant::now();
    let mut arrived_at: Option<Instant> = None;
    while tokio::time::timeout(BODY_CHECK_INTERVAL, &mut reserved).await.is_err() {
        if content_length.is_none_or(|length| connection.arrived_bytes().total >= length) {
            arrived_at.get_or_insert_with(Instant::now);
        }
        let has_timed_out = arrived_at.is_some_and(|at| at.elapsed() > MEMORY_TIMEOUT);
        if has_timed_out || started_at.elapsed() > MEMORY_TIMEOUT_WHILE_SENDING {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
    }
    Ok(())
}

/// A body that is buffered, and the memory for it, which is reserved as the body arrives.
struct BufferedBody<'a> {
    bytes: Vec<u8>,
    reserved: usize,
    content_length: Option<u64>,
    connection: &'a Connection,
}

impl BufferedBody<'_> {
    /// Waits for the memory of the next part.
    ///
    /// # Errors
    /// The status to respond with, if no memory was left in time.
    async fn reserve_part(&mut self) -> Result<(), StatusCode> {
        let rest = self.content_length.map_or(BODY_PART_BYTES, |length| length as usize - self.bytes.len());
        let part = rest.min(BODY_PART_BYTES);
        let missing = (self.bytes.len() + part).saturating_sub(self.reserved);
        if missing > 0 {
            reserve_body(self.connection, self.content_length, missing).await?;
            self.reserved += missing;
        }
        Ok(())
    }

    fn push(&mut self, chunk: &[u8]) {
        if self.bytes.capacity() - self.bytes.len() < chunk.len() {
            self.bytes.reserve_exact(chunk.len().max(BODY_PART_BYTES));
        }
        self.bytes.extend_from_slice(chunk);
    }
}

/// Reads a request's body: the whole body, or the beginning of a large one, which is streamed.
///
/// # Errors
/// The status to respond with, if the body is too large or malformed.
async fn read_body(request: &mut Request, connection: &Rc<Connection>) -> Result<RequestBody, StatusCode> {
    let content_length =
        single_header(request.headers(), "Content-Length").and_then(|v| v.parse::<u64>().ok());
    if content_length.is_some_and(|length| length > MAX_STREAMED_BODY) {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    let has_body = request.head().chunked() || content_length.is_some_and(|length| length > 0);
    let mut payload = TrackedPayload { payload: request.take_payload(), connection: connection.clone() };
    let mut body = BufferedBody { bytes: Vec::new(), reserved: 0, content_length, connection };
    while content_length.is_none_or(|length| length <= MAX_BUFFERED_BODY as u64)
        && body.bytes.len() <= MAX_BUFFERED_BODY
    {
        if has_body {
            body.reserve_part().await?;
        }
        match payload.next().await {
            Some(chunk) => body.push(&chunk.map_err(|_| StatusCode::BAD_REQUEST)?),
            // A request other than PUT has no body. An empty one would be forwarded with a Content-Length
            // that the client did not send.
            None if request.method() != Method::PUT && body.bytes.is_empty() => return Ok(RequestBody::None),
            None => {
                // The body is copied once more on its way to an endpoint.
                reserve_body(connection, content_length, body.bytes.len()).await?;
                return Ok(RequestBody::Buffered(body.bytes.into()));
            }
        }
    }
    reserve_body(connection, content_length, STREAMED_BODY_BYTES).await?;
    let body = Bytes::from(body.bytes);
    let (connection, head) = (connection.clone(), head_bytes(request));
    let client = ClientProgress::new(connection.arrived_bytes());
    let sender = connection.clone();
    Ok(RequestBody::Streaming(Rc::new(Upload {
        content_length,
        bytes_read: Cell::new(body.len() as u64),
        buffered: body,
        payload: RefCell::new(payload.boxed_local()),
        on_received: Box::new(move |body| {
            connection.request_arrived(head + body);
            connection.request_in_progress();
        }),
        is_fully_forwarded: Cell::new(false),
        // The space in front of a header's value is optional.
        min_head_length: head.saturating_sub(request.headers().len() as u64),
        arrived: Box::new(move || sender.arrived_bytes()),
        client,
    })))
}
