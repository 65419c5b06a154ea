//! The platform's front: serves clients' HTTP/1.1 requests with actix-http.
//!
//! A request goes through these steps: its body is read, or as much of it as is held; its head is read; its id is checked;
//! the core is asked; the one final answer goes out.

use super::client_stream::ClientStream;
use super::connection::Connection;
use super::connection_registry::ConnectionRegistry;
use super::request_head::{self, head_bytes, single_header, RequestHead};
use super::request_ids::RequestIds;
use crate::broker::Answer;
use crate::net::upstream::endpoint_clients::EndpointClients;
use crate::net::upstream::limits::{MAX_BUFFERED_BODY, MAX_STREAMED_BODY};
use crate::net::upstream::request_body::{RequestBody, Upload};
use crate::net::upstream::response_body::{StreamedResponse, StreamedResponseSlot};
use crate::net::upstream::upstream_call::UpstreamCall;
use crate::runtime::host::{Host, StreamingResponseGuard};
use crate::runtime::listener::FrontListener;
use crate::runtime::shutdown::Shutdown;
use actix_http::body::{BodyStream, BoxBody, SizedStream};
use actix_http::{
    ConnectionType, Extensions, HttpMessage, HttpService, KeepAlive, Method, Request, Response, StatusCode,
};
use actix_service::{fn_service, Service, ServiceFactory};
use bytes::BytesMut;
use futures_util::{stream, StreamExt};
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tracing::error;

/// How long a client has to read the last byte of a closing answer.
const DISCONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// What the front needs to serve.
pub struct Front {
    /// The core.
    pub host: Host,
    /// The connections to endpoints.
    pub endpoint_clients: Rc<EndpointClients>,
    /// The most client connections at a time.
    pub max_connections: usize,
    /// The ids of recent requests.
    pub request_ids: Rc<RefCell<RequestIds>>,
    /// Asked at a shutdown: whether a successor accepts clients from now on.
    pub hand_over: Rc<dyn Fn() -> bool>,
}

/// Serves until `stop` ends, and then what was taken.
pub async fn serve(front: Front, listener: TcpListener, stop: impl std::future::Future<Output = ()>) {
    let Front { host, endpoint_clients, max_connections, request_ids, hand_over } = front;
    let shutdown = Shutdown::default();
    let core = host.clone();
    let listener = FrontListener {
        listener,
        host: host.clone(),
        max_connections,
        shutdown: shutdown.clone(),
        hand_over,
    };
    let service = Rc::new(RequestService { host, endpoint_clients, request_ids });
    let closing = shutdown.clone();
    let handler = fn_service(move |request: Request| {
        let (service, closing) = (service.clone(), closing.clone());
        async move {
            let connection = request.conn_data::<Rc<Connection>>().cloned();
            let mut response = service.handle(request).await;
            let draining = service.host.drained_since().or(service.host.handed_over_since()).is_some();
            let closes = draining || closing.is_closing();
            if connection.is_some_and(|c| c.is_flooded() || closes && !c.has_requests_waiting()) {
                response.head_mut().set_connection_type(ConnectionType::Close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    // A client that closes its connection while its request is open has left: the service future is
    // dropped then, which half-closed connections would prevent.
    // How long a connection may wait for what is in `connection`.
    let http = HttpService::<ClientStream, _, BoxBody>::build()
        .keep_alive(KeepAlive::Os)
        .client_request_timeout(Duration::ZERO)
        .on_connect_ext(|stream: &ClientStream, data: &mut Extensions| {
            data.insert(stream.connection());
        })
        .client_disconnect_timeout(DISCONNECT_TIMEOUT)
        .h1_allow_half_closed(false)
        .h1(handler);
    let Ok(http) = http.new_service(()).await else { return error!("the front could not be set up") };
    let registry = ConnectionRegistry::default();
    let review = actix_rt::spawn(registry.clone().review(core, max_connections, shutdown));
    // How a client's connection ends is the client's affair; its request knows by being dropped.
    let serve = |stream| {
        let stream = registry.register(stream);
        let connection = stream.connection();
        let served = http.call((stream, None));
        async move {
            tokio::select! {
                _ = served => {}
                () = connection.closed() => {}
            }
        }
    };
    listener.serve(stop, serve).await;
    review.abort();
}

/// What all requests share.
struct RequestService {
    host: Host,
    endpoint_clients: Rc<EndpointClients>,
    request_ids: Rc<RefCell<RequestIds>>,
}

/// Tells a connection that its request is over, also where the client left.
struct AnsweredOnDrop(Rc<Connection>);

impl Drop for AnsweredOnDrop {
    fn drop(&mut self) {
        self.0.answered();
    }
}

impl RequestService {
    async fn handle(&self, mut request: Request) -> Response<BoxBody> {
        let connection = request.conn_data::<Rc<Connection>>().cloned();
        let connection = AnsweredOnDrop(connection.expect("every connection has its state"));
        connection.0.head_complete();
        if request.path() == "/_health" {
            connection.0.request_arrived(head_bytes(&request));
            let ready = self.host.is_ready();
            return Response::new(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE });
        }
        let body = match read_body(&mut request, &connection.0).await {
            Ok(body) => body,
            Err(status) => return malformed(&connection.0, status),
        };
        if request.method() != Method::PUT && !matches!(body, RequestBody::None) {
            return malformed(&connection.0, StatusCode::BAD_REQUEST);
        }
        let waited = waited_behind_others(&request, &body, &connection.0);
        let Some(mut head) = self.host.with_broker(|core| request_head::parse(&request, core)) else {
            return malformed(&connection.0, StatusCode::BAD_REQUEST);
        };
        let longest_deadline = self.host.settings().longest_deadline();
        if !self.request_ids.borrow_mut().insert(&head.trace_id, longest_deadline) {
            return malformed(&connection.0, StatusCode::CONFLICT);
        }
        head.request.time_remaining = head.request.time_remaining.saturating_sub(waited);
        self.forward(&request, head, body, connection).await
    }

    /// Asks the core, and turns its one final answer into a response.
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
            streamed_response: streamed_response.clone(),
        };
        let answer = self.host.submit(head.request, Rc::new(call)).await;
        // What is still to come of a body that nobody takes would be read as requests.
        let body_cut = upload.is_some_and(|upload| !upload.is_fully_forwarded.get());
        if body_cut {
            connection.0.closing();
        }
        let mut response = self.respond(answer, streamed_response, connection);
        if body_cut {
            response.head_mut().set_connection_type(ConnectionType::Close);
        }
        response
    }

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
                None => Response::build(StatusCode::OK).body(body).map_into_boxed_body(),
            },
            Answer::Rejected(retry_after) => {
                let mut rejected = Response::build(StatusCode::SERVICE_UNAVAILABLE);
                rejected.insert_header(("Retry-After", format!("{:.3}", retry_after.as_secs_f64())));
                rejected.body(()).map_into_boxed_body()
            }
            Answer::Failed => Response::new(StatusCode::BAD_GATEWAY),
        }
    }
}

/// How long ago the last byte of a request came: it may have waited behind others. The time of a request whose body is
/// still to come begins with that body's last byte.
fn waited_behind_others(request: &Request, body: &RequestBody, connection: &Connection) -> Duration {
    let body_bytes = match body {
        RequestBody::Streaming(_) => return Duration::ZERO,
        RequestBody::Buffered(bytes) => bytes.len() as u64,
        RequestBody::None => 0,
    };
    connection.request_arrived(head_bytes(request) + body_bytes).elapsed()
}

/// A large response, as its client takes it. Its request is answered with its last byte.
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

/// The answer to what is no request. The connection ends with it: its client would send more of the kind, and
/// of a body that is too large or malformed the rest would be taken for requests.
fn malformed(connection: &Connection, status: StatusCode) -> Response<BoxBody> {
    connection.closing();
    Response::build(status).force_close().body(()).map_into_boxed_body()
}

/// A request's body: all of it, or of a large one as much as is held.
async fn read_body(request: &mut Request, connection: &Rc<Connection>) -> Result<RequestBody, StatusCode> {
    let content_length =
        single_header(request.headers(), "Content-Length").and_then(|v| v.parse::<u64>().ok());
    if content_length.is_some_and(|length| length > MAX_STREAMED_BODY) {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while content_length.is_none_or(|length| length <= MAX_BUFFERED_BODY as u64)
        && body.len() <= MAX_BUFFERED_BODY
    {
        match payload.next().await {
            Some(chunk) => body.extend_from_slice(&chunk.map_err(|_| StatusCode::BAD_REQUEST)?),
            // A GET has no body; an empty one would be passed on with a length it did not come with.
            None if request.method() != Method::PUT && body.is_empty() => return Ok(RequestBody::None),
            None => return Ok(RequestBody::Buffered(body.freeze())),
        }
    }
    let (connection, head) = (connection.clone(), head_bytes(request));
    Ok(RequestBody::Streaming(Rc::new(Upload {
        content_length,
        bytes_read: Cell::new(body.len() as u64),
        buffered: body.freeze(),
        payload: RefCell::new(payload.boxed_local()),
        on_received: Box::new(move |body| {
            connection.request_arrived(head + body);
            connection.request_in_progress();
        }),
        is_fully_forwarded: Cell::new(false),
    })))
}
