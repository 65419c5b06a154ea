//! The operators' address: one call on each connection, beside the clients' front and never behind its gate.

use super::handover::Link;
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

/// Calls at a time. With all places taken the oldest gives way that has not come whole.
pub const PLACES: usize = 16;
/// A call comes whole within this.
const WHOLE_CALL: Duration = Duration::from_secs(5);
/// After its answer a caller has so long to close.
const LINGER: Duration = Duration::from_millis(500);

/// What an operator may ask for.
#[derive(Clone, Debug)]
pub enum Call {
    /// Whether this process takes clients.
    Ready,
    /// A change of the core.
    Order(OperatorCommand),
}

/// A connection's mark that its call has come whole.
struct Whole(Rc<Cell<bool>>);

/// A call that has its place.
struct OpenCall {
    task: AbortHandle,
    whole: Rc<Cell<bool>>,
}

/// A call as its path names it; `Err` says why it is none.
fn understand(method: &Method, path: &str) -> Result<Call, StatusCode> {
    let parts: Vec<&str> = path.split('/').skip(1).collect();
    let (call, wants) = match parts[..] {
        ["v1", "readyz"] => (Call::Ready, Method::GET),
        ["v1", "targets", id, "suspend"] => (Call::Order(OperatorCommand::Suspend(id.into())), Method::POST),
        ["v1", "targets", id, "resume"] => (Call::Order(OperatorCommand::Resume(id.into())), Method::POST),
        ["v1", "initiator", "drain"] => (Call::Order(OperatorCommand::Drain), Method::POST),
        ["v1", "initiator", "activate"] => (Call::Order(OperatorCommand::Activate), Method::POST),
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
    link: &Link,
    ready: &Cell<bool>,
    request: &Request,
) -> (StatusCode, &'static str) {
    match understand(request.method(), request.path()) {
        Err(StatusCode::NOT_FOUND) => (StatusCode::NOT_FOUND, "there is no such call\n"),
        Err(status) => (status, "another method is wanted\n"),
        Ok(Call::Ready) if ready.get() && !host.is_stopping() => (StatusCode::OK, "ready\n"),
        Ok(Call::Ready) => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        // In force before the answer leaves, in both processes where there are two.
        Ok(Call::Order(order)) => {
            let here = host.order(order.clone());
            match link.tell(order).await || here {
                true => (StatusCode::OK, "done\n"),
                false => (StatusCode::NOT_FOUND, "no such target was ever listed\n"),
            }
        }
    }
}

/// Answers calls for as long as the program runs; `ready` says whether clients are taken.
pub async fn serve(host: Host, link: Link, listener: TcpListener, ready: Rc<Cell<bool>>) {
    let next: Rc<RefCell<Rc<Cell<bool>>>> = Rc::default();
    let connecting = next.clone();
    let handler = fn_service(move |request: Request| {
        let (host, link, ready) = (host.clone(), link.clone(), ready.clone());
        async move {
            if let Some(Whole(whole)) = request.conn_data() {
                whole.set(true);
            }
            let (status, text) = answer(&host, &link, &ready, &request).await;
            let response = Response::build(status).force_close().body(text).map_into_boxed_body();
            Ok::<_, Infallible>(response)
        }
    });
    let http = HttpService::<Uninterrupted<TcpStream>, _, BoxBody>::build()
        .keep_alive(KeepAlive::Disabled)
        .client_request_timeout(WHOLE_CALL)
        .client_disconnect_timeout(LINGER)
        .on_connect_ext(move |_: &Uninterrupted<TcpStream>, data: &mut Extensions| {
            data.insert(Whole(connecting.borrow().clone()));
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
                while open.len() >= PLACES {
                    let oldest = open.iter().position(|call| !call.whole.get()).unwrap_or(0);
                    open.remove(oldest).inspect(|call| call.task.abort());
                }
                let whole: Rc<Cell<bool>> = Rc::default();
                next.replace(whole.clone());
                let call = http.call((Uninterrupted(stream), None));
                let task = actix_rt::spawn(async move {
                    // How a call's connection ends is its caller's affair.
                    let _ = call.await;
                });
                open.push_back(OpenCall { task: task.abort_handle(), whole });
            }
            Err(error) => {
                warn!(why = %error, "a management call could not be accepted");
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }
}
