//! Attempts at disk boxes, over HTTP with awc.

use super::host::Errand;
use crate::broker::Reply;
use crate::ending::End;
use crate::interface::Settings;
use actix_http::{Method, StatusCode};
use awc::error::{ConnectError, SendRequestError};
use awc::{Client, ClientResponse, Connector};
use bytes::Bytes;
use futures_util::future::{FutureExt, LocalBoxFuture};
use futures_util::Stream;
use std::net::SocketAddr;
use std::time::Duration;

/// The most that a request's or an answer's body may hold.
pub const BODY_MOST: usize = 64 * 1024;

/// A client for attempts. Redirects would send a request once more by themselves, and awc's own time-out
/// would end attempts that the core still waits for: both are off.
pub fn client(set: &Settings, most: usize) -> Client {
    // A connection idle for as long as the box keeps it would be closed under the next request.
    let idle = set.keepalive * 6 / 10;
    let connect = set.connect_timeout;
    let connector = Connector::new()
        .timeout(if connect.is_zero() { Duration::from_millis(250) } else { connect })
        .conn_keep_alive(if idle.is_zero() { Duration::from_secs(5) } else { idle })
        .conn_lifetime(Duration::from_secs(24 * 3600))
        .max_http_version(actix_http::Version::HTTP_11)
        .limit(most);
    Client::builder().connector(connector).disable_redirects().disable_timeout().no_default_headers().finish()
}

/// One request as it passes on to a box.
pub struct Passed {
    /// The client shared by all attempts.
    pub client: Client,
    /// Its method.
    pub method: Method,
    /// Path and query, as they came.
    pub target: String,
    /// `X-Trace-Id`, as it came.
    pub trace: String,
    /// The whole body; `None` where there was none.
    pub body: Option<Bytes>,
}

impl Errand for Passed {
    fn attempt(&self, to: SocketAddr, wait: Duration) -> LocalBoxFuture<'static, Reply> {
        let request = self
            .client
            .request(self.method.clone(), format!("http://{to}{}", self.target))
            .insert_header(("X-Trace-Id", self.trace.clone()))
            .insert_header(("X-Expires-In", format!("{:.3}", wait.as_secs_f64())));
        let sent = match &self.body {
            Some(body) => request.send_body(body.clone()),
            None => request.send(),
        };
        async move {
            match sent.await {
                Ok(response) => read(response).await,
                Err(error) => Reply::none(end_of(&error)),
            }
        }
        .boxed_local()
    }
}

/// How an exchange without an answer ended. awc says `Disconnected` where the connection ended after the
/// request as well, so that proves nothing of what ran.
fn end_of(error: &SendRequestError) -> End {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => End::BrokeWaiting,
        SendRequestError::Connect(ConnectError::Timeout) => End::ConnectTimedOut,
        SendRequestError::Connect(_) | SendRequestError::Url(_) => End::Unreachable,
        SendRequestError::Send(_) => End::BrokeWriting,
        SendRequestError::Timeout => End::Silent,
        SendRequestError::Response(_) => End::HalfAnswer,
        _ => End::BrokeWaiting,
    }
}

async fn read<S>(mut response: ClientResponse<S>) -> Reply
where
    S: Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin,
{
    let header = |name: &str| response.headers().get(name).and_then(|v| v.to_str().ok());
    let number = |name: &str| header(name).and_then(|v| v.trim().parse::<f64>().ok());
    let never_ran = header("X-Never-Ran").is_some_and(|v| v.trim() == "1");
    let stated: Option<usize> = header("Content-Length").and_then(|v| v.trim().parse().ok());
    let used = number("X-Iops-Used").map(|percent| percent / 100.0);
    let elsewhere = number("X-Rho").unwrap_or(0.0);
    let status = response.status();
    let end = match status {
        StatusCode::OK => End::Whole,
        StatusCode::INTERNAL_SERVER_ERROR => End::BoxError,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if never_ran => End::TurnedAway,
        _ => End::Strange,
    };
    // awc ends a body that breaks off as if it were whole: only a stated length tells.
    let body = response.body().limit(BODY_MOST).await;
    let (end, body) = match (end, body, stated) {
        (End::Whole, Ok(body), Some(length)) if body.len() == length => (End::Whole, body),
        (End::Whole, Ok(_), Some(_)) => (End::HalfAnswer, Bytes::new()),
        (End::Whole, Ok(_), None) => (End::UnboundedAnswer, Bytes::new()),
        (End::Whole, Err(awc::error::PayloadError::Overflow), _) => (End::UnboundedAnswer, Bytes::new()),
        (End::Whole, Err(_), _) => (End::HalfAnswer, Bytes::new()),
        (end, _, _) => (end, Bytes::new()),
    };
    Reply { end, body, used, elsewhere }
}
