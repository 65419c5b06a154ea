//! The HTTP server at the management address, for operators' calls: one call on each connection. Its
//! connection limit is separate from the clients', so that operators are answered however many clients
//! there are.

use super::handover::HandoverLink;
use crate::broker::OperatorCommand;
use crate::runtime::host::Host;
use crate::runtime::sockets::Uninterrupted;
use actix_http::body::BoxBody;
use actix_http::{Extensions, HttpService, KeepAlive, Method, Request, Response, StatusCode};
use actix_service::{fn_service, Service, ServiceFactory};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;
use tracing::{error, warn};

/// The maximum number of calls at a time. When it is reached, the oldest call whose request is incomplete
/// is closed for the next one, or the oldest of all if every request is complete.
pub const MAX_CALLS: usize = 16;
/// The time limit for receiving the head of a call's request.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a caller has to close its connection after the response.
const DISCONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The pause after a connection could not be accepted.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);

/// A call at the management address.
#[derive(Clone, Debug)]
pub enum Call {
    /// Asks whether this process accepts clients.
    Ready,
    /// A command to the core, and during a hand-over to the other process too.
    Command(OperatorCommand),
}

/// Attached to a connection; set once the head of its call's request has been received.
struct CallComplete(Rc<Cell<bool>>);

/// A call in progress.
struct OpenCall {
    task: AbortHandle,
    complete: Rc<Cell<bool>>,
}

/// Parses a call from the request's method and path.
///
/// # Errors
/// 404 if there is no such path, 405 if the path requires another method.
fn parse_call(method: &Method, path: &str) -> Result<Call, StatusCode> {
    let parts: Vec<&str> = path.split('/').skip(1).collect();
    let (call, expected_method) = match parts[..] {
        ["v1", "readyz"] => (Call::Ready, Method::GET),
        ["v1", "targets", id, "suspend"] => {
            (Call::Command(OperatorCommand::Suspend(id.into())), Method::POST)
        }
        ["v1", "targets", id, "resume"] => (Call::Command(OperatorCommand::Resume(id.into())), Method::POST),
        ["v1", "initiator", "drain"] => (Call::Command(OperatorCommand::Drain), Method::POST),
        ["v1", "initiator", "activate"] => (Call::Command(OperatorCommand::Activate), Method::POST),
        _ => return Err(StatusCode::NOT_FOUND),
    };
    if *method == expected_method {
        Ok(call)
    } else {
        Err(StatusCode::METHOD_NOT_ALLOWED)
    }
}

/// Carries out a call, and returns the status and text of the response.
async fn answer(
    host: &Host,
    link: &HandoverLink,
    ready: &Cell<bool>,
    request: &Request,
) -> (StatusCode, &'static str) {
    match parse_call(request.method(), request.path()) {
        Err(StatusCode::NOT_FOUND) => (StatusCode::NOT_FOUND, "there is no such call\n"),
        Err(status) => (status, "another method is wanted\n"),
        Ok(Call::Ready) if ready.get() && !host.is_stopping() => (StatusCode::OK, "ready\n"),
        Ok(Call::Ready) => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        // The command is in force before the response is sent, in both processes if there are two.
        Ok(Call::Command(command)) => {
            let here = host.apply_command(command.clone());
            match link.forward_command(command).await || here {
                true => (StatusCode::OK, "done\n"),
                false => (StatusCode::NOT_FOUND, "no such target was ever listed\n"),
            }
        }
    }
}

/// Answers calls for as long as the process runs. `ready` is set once this process accepts clients.
pub async fn serve(host: Host, link: HandoverLink, listener: TcpListener, ready: Rc<Cell<bool>>) {
    // `on_connect_ext` runs within `http.call`, and takes the flag of the connection that was accepted last.
    let last_accepted: Rc<RefCell<Rc<Cell<bool>>>> = Rc::default();
    let connecting = last_accepted.clone();
    let handler = fn_service(move |request: Request| {
        let (host, link, ready) = (host.clone(), link.clone(), ready.clone());
        async move {
            if let Some(CallComplete(complete)) = request.conn_data() {
                complete.set(true);
            }
            let (status, text) = answer(&host, &link, &ready, &request).await;
            let response = Response::build(status).force_close().body(text).map_into_boxed_body();
            Ok::<_, Infallible>(response)
        }
    });
    let http = HttpService::<Uninterrupted<TcpStream>, _, BoxBody>::build()
        .keep_alive(KeepAlive::Disabled)
        .client_request_timeout(CALL_TIMEOUT)
        .client_disconnect_timeout(DISCONNECT_TIMEOUT)
        .on_connect_ext(move |_: &Uninterrupted<TcpStream>, data: &mut Extensions| {
            data.insert(CallComplete(connecting.borrow().clone()));
        })
        .h1(handler);
    let Ok(http) = http.new_service(()).await else {
        return error!("the management service could not be set up");
    };
    let mut open: VecDeque<OpenCall> = VecDeque::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                open.retain(|call| !call.task.is_finished());
                while open.len() >= MAX_CALLS {
                    let oldest = open.iter().position(|call| !call.complete.get()).unwrap_or(0);
                    open.remove(oldest).inspect(|call| call.task.abort());
                }
                let complete: Rc<Cell<bool>> = Rc::default();
                last_accepted.replace(complete.clone());
                let call = http.call((Uninterrupted(stream), None));
                let task = actix_rt::spawn(async move {
                    // The result is not needed: a caller may close its connection at any time.
                    let _ = call.await;
                });
                open.push_back(OpenCall { task: task.abort_handle(), complete });
            }
            Err(error) => {
                warn!(why = %error, "a management call could not be accepted");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}
