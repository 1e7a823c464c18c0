//! Calls on a daemon's operator port.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use tokio::time::timeout;

use crate::error::Error;

/// Bytes of an answer that we are ready to read; a dump of the design size is far below it.
const MAX_ANSWER: usize = 64_000_000;

/// One call.
pub(crate) struct Call<'a> {
    /// What the call is for, as its errors name it.
    pub(crate) step: &'static str,
    /// The daemon's operator port.
    pub(crate) peer: SocketAddr,
    pub(crate) method: Method,
    /// The path and query, percent-encoded.
    pub(crate) path: &'a str,
    /// How long the whole call may take.
    pub(crate) limit: Duration,
}

impl Call<'_> {
    /// Sends the call and reads its whole answer, whatever its status.
    ///
    /// # Errors
    ///
    /// [`Error::Daemon`] when there is no whole answer in time.
    pub(crate) async fn send(&self) -> Result<Response<Bytes>, Error> {
        let late = || self.error(&format!("no answer within {} ms", self.limit.as_millis()));
        let answer = timeout(self.limit, self.exchange()).await;
        answer.unwrap_or_else(|_| Err(late()))
    }

    /// An error of this call.
    pub(crate) fn error(&self, cause: &str) -> Error {
        Error::Daemon(self.step, self.peer, cause.to_string())
    }

    /// The error for an answer with a status that was not asked for.
    pub(crate) fn status(&self, answer: &Response<Bytes>) -> Error {
        let text = String::from_utf8_lossy(answer.body());
        let cause = format!("answered {} {}", answer.status(), text.trim());
        self.error(cause.trim_end())
    }

    async fn exchange(&self) -> Result<Response<Bytes>, Error> {
        let request = Request::builder()
            .method(&self.method)
            .uri(format!("http://{}{}", self.peer, self.path))
            .body(Empty::new());
        let request = request.map_err(|error| self.error(&error.to_string()))?;
        let answer = client(self.limit).request(request).await;
        let answer = answer.map_err(|error| self.error(&chain(&error)))?;
        let (parts, body) = answer.into_parts();
        let body = Limited::new(body, MAX_ANSWER).collect().await;
        let body = body.map_err(|error| self.error(&error.to_string()))?;
        Ok(Response::from_parts(parts, body.to_bytes()))
    }
}

fn client(limit: Duration) -> Client<HttpConnector, Empty<Bytes>> {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(limit));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .build(connector)
}

/// hyper-util's own text says only "client error"; the cause stands in its sources.
fn chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(error) = source {
        text = format!("{text}: {error}");
        source = error.source();
    }
    text
}

/// Runs a command that waits for others, on this thread.
///
/// # Errors
///
/// The command's error, or [`Error::Start`].
pub(crate) fn block_on<T>(command: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().build().map_err(Error::Start)?;
    runtime.block_on(command)
}
