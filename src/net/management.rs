//! The management address: one operator's call on each connection, with places of its own, so that operators are
//! answered however many clients there are.

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

/// Calls at a time. When all are taken, the oldest that is not complete is closed for the next.
pub const MAX_CALLS: usize = 16;
/// A call is complete within this time.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// After its answer a caller closes within this time.
const DISCONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// After a failure to accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// A call of the management address.
#[derive(Clone, Debug)]
pub enum Call {
    /// Whether this process takes clients.
    Ready,
    /// A command to the core, and to the other process where there are two.
    Command(OperatorCommand),
}

/// A connection's mark that its call is complete.
struct CallComplete(Rc<Cell<bool>>);

/// A call in progress.
struct OpenCall {
    task: AbortHandle,
    complete: Rc<Cell<bool>>,
}

/// A call as its path names it; `Err` is the status of one that is not known.
fn parse_call(method: &Method, path: &str) -> Result<Call, StatusCode> {
    let parts: Vec<&str> = path.split('/').skip(1).collect();
    let (call, wants) = match parts[..] {
        ["v1", "readyz"] => (Call::Ready, Method::GET),
        ["v1", "targets", id, "suspend"] => {
            (Call::Command(OperatorCommand::Suspend(id.into())), Method::POST)
        }
        ["v1", "targets", id, "resume"] => (Call::Command(OperatorCommand::Resume(id.into())), Method::POST),
        ["v1", "initiator", "drain"] => (Call::Command(OperatorCommand::Drain), Method::POST),
        ["v1", "initiator", "activate"] => (Call::Command(OperatorCommand::Activate), Method::POST),
        _ => return Err(StatusCode::NOT_FOUND),
    };
    if *method == wants {
        Ok(call)
    } else {
        Err(StatusCode::METHOD_NOT_ALLOWED)
    }
}

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
        // In force before the answer leaves, in both processes where there are two.
        Ok(Call::Command(command)) => {
            let here = host.apply_command(command.clone());
            match link.forward_command(command).await || here {
                true => (StatusCode::OK, "done\n"),
                false => (StatusCode::NOT_FOUND, "no such target was ever listed\n"),
            }
        }
    }
}

/// Answers calls for as long as the program runs; `ready` says whether clients are taken.
pub async fn serve(host: Host, link: HandoverLink, listener: TcpListener, ready: Rc<Cell<bool>>) {
    let next: Rc<RefCell<Rc<Cell<bool>>>> = Rc::default();
    let connecting = next.clone();
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
        return error!("the management address could not be set up");
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
                next.replace(complete.clone());
                let call = http.call((Uninterrupted(stream), None));
                let task = actix_rt::spawn(async move {
                    // How a call's connection ends is its caller's affair.
                    let _ = call.await;
                });
                open.push_back(OpenCall { task: task.abort_handle(), complete });
            }
            Err(error) => {
                warn!(why = %error, "a management call could not be accepted");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
