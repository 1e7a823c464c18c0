//! A connection to the target.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use dialect::Dialect;
use http::{HeaderMap, HeaderValue, Method};
use http1::{Body, Fault, Length, Piece, response};
use quick_error::quick_error;
use timer::timeout;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::upload::{Content, Upload, Written};

/// Maximum time to connect to the target, which runs on the same instance.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Bytes reserved for one read. Without it the buffer grows by 64 bytes at a time, with a system call
/// for each.
const READ_SIZE: usize = 8 << 10;

/// After this many answers to other requests, a connection is given up.
const MAX_FOREIGN_ANSWERS: usize = 3;

quick_error! {
    /// An error that left a request without a complete answer.
    #[derive(Debug)]
    pub enum Error {
        /// The connection could not be opened; nothing was sent.
        Connect(target: SocketAddr, cause: io::Error) {
            display("connect to target {target}: {cause}")
            source(cause)
        }
        /// The connection was lost during the request, which may have run.
        Lost(cause: String) {
            display("the connection to the target was lost: {cause}")
        }
        /// The target sent no valid answer to the request, which may have run.
        Garbled(cause: String) {
            display("the target's answer is garbled: {cause}")
        }
        /// The request's body ended early on the link.
        Body(cause: String) {
            display("the request's body broke off: {cause}")
        }
    }
}

impl Error {
    /// Whether nothing listens at the target's address.
    pub(crate) fn is_refused(&self) -> bool {
        let kind = |cause: &io::Error| cause.kind() == io::ErrorKind::ConnectionRefused;
        matches!(self, Error::Connect(_, cause) if kind(cause))
    }
}

/// The head of a request to the target.
pub(crate) struct Outgoing {
    pub(crate) method: Method,
    pub(crate) uri: String,
    pub(crate) headers: HeaderMap,
}

/// A connection to the target, idle or in use by one request.
pub(crate) struct Connection {
    stream: TcpStream,
    input: BytesMut,
    body: Body,
    /// Whether the connection stays open after the answer and may be used again.
    keep_alive: bool,
    /// Whether the last request has been written to its end. Otherwise the target would take another
    /// request for the rest of it.
    request_complete: bool,
    /// Whether a write has failed. The socket reports an error only once, so that a read may then end
    /// as if the target had closed the connection in order.
    write_failed: bool,
    /// How long the target keeps an idle connection open, if it says so.
    pub(crate) keep_alive_timeout: Option<Duration>,
    /// Number of requests sent on it.
    pub(crate) carried: u32,
    /// When its last answer ended.
    pub(crate) idle_since: Instant,
}

impl Connection {
    /// Connects to `target`.
    pub(crate) async fn open(target: SocketAddr) -> Result<Connection, Error> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(target)).await;
        let stream = stream.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
        let stream = stream.and_then(|stream| stream.set_nodelay(true).map(|()| stream));
        let stream = stream.map_err(|cause| Error::Connect(target, cause))?;
        Ok(Connection {
            stream,
            input: BytesMut::new(),
            body: Body::of(Length::Empty),
            keep_alive: true,
            request_complete: true,
            write_failed: false,
            keep_alive_timeout: None,
            carried: 0,
            idle_since: Instant::now(),
        })
    }

    /// Whether an idle connection can still be used: it is open, and nothing was received on it since
    /// its last answer.
    pub(crate) fn is_usable(&self) -> bool {
        let mut byte = [0];
        let read = self.stream.try_read(&mut byte);
        self.keep_alive && matches!(read, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Whether it may carry another request: the request and its answer are complete, and no bytes
    /// followed the answer.
    pub(crate) fn is_reusable(&self) -> bool {
        let complete = self.request_complete && self.body.is_done();
        self.keep_alive && complete && self.input.is_empty()
    }

    /// Whether bytes followed the complete answer.
    pub(crate) fn has_excess(&self) -> bool {
        self.body.is_done() && !self.input.is_empty()
    }

    /// Sends a request and reads the head of its answer. `on_sent` is called once the request, or
    /// its head if the body is streamed, has been written.
    ///
    /// # Errors
    ///
    /// Every kind except [`Error::Connect`]. The connection must not be used again.
    pub(crate) async fn send(
        &mut self,
        request: &Outgoing,
        content: Content,
        dialect: &Dialect,
        on_sent: impl FnOnce(),
    ) -> Result<response::Head, Error> {
        let mut on_sent = Some(on_sent);
        self.carried += 1;
        self.request_complete = false;
        let mut upload = Upload::new(request, content)?;
        loop {
            if let Some(head) = self.head(request, dialect).await? {
                self.request_complete = upload.is_complete();
                return Ok(head);
            }
            self.step(&mut upload).await?;
            if upload.is_flushed()
                && let Some(on_sent) = on_sent.take()
            {
                on_sent();
            }
        }
    }

    /// Reads or writes some bytes.
    async fn step(&mut self, upload: &mut Upload) -> Result<(), Error> {
        self.input.reserve(READ_SIZE);
        let (mut reader, mut writer) = self.stream.split();
        tokio::select! {
            read = reader.read_buf(&mut self.input) => match read {
                Ok(0) => Err(Error::Lost("closed without an answer".to_string())),
                Ok(_) => Ok(()),
                Err(error) => Err(Error::Lost(error.to_string())),
            },
            advanced = upload.advance(&mut writer) => {
                // A target that reads no more of the request may have sent an answer to it.
                if advanced? == Written::Closed {
                    self.keep_alive = false;
                    self.write_failed = true;
                }
                Ok(())
            }
        }
    }

    /// The head of the answer, once it has been received completely. Answers to other requests are
    /// skipped.
    async fn head(
        &mut self,
        request: &Outgoing,
        dialect: &Dialect,
    ) -> Result<Option<response::Head>, Error> {
        for _ in 0..MAX_FOREIGN_ANSWERS {
            let head = response::parse(&mut self.input, &request.method).map_err(to_error)?;
            let Some(head) = head else {
                return Ok(None);
            };
            self.body = Body::of(head.length);
            self.keep_alive &= head.keep;
            self.keep_alive_timeout = keep_alive_timeout(&head.headers);
            if !is_foreign(&head, request, dialect) {
                return Ok(Some(head));
            }
            self.keep_alive = false;
            while self.piece().await?.is_some() {}
        }
        Err(Error::Garbled("answers to other requests".to_string()))
    }

    /// Reads the rest of the answer's body, but no more than about `most` bytes.
    pub(crate) async fn skip_body(&mut self, most: usize) {
        let mut size = 0;
        while size <= most
            && let Ok(Some(data)) = self.piece().await
        {
            size += data.len();
        }
    }

    /// Reads the next piece of the answer's body; `None` at its end.
    ///
    /// # Errors
    ///
    /// [`Error::Lost`] or [`Error::Garbled`] if the body is truncated or malformed.
    pub(crate) async fn piece(&mut self) -> Result<Option<Bytes>, Error> {
        loop {
            match self.body.next(&mut self.input).map_err(to_error)? {
                Some(Piece::Data(data)) => return Ok(Some(data)),
                Some(Piece::End) => {
                    self.idle_since = Instant::now();
                    return Ok(None);
                }
                None => {}
            }
            self.input.reserve(READ_SIZE);
            match self.stream.read_buf(&mut self.input).await {
                Ok(0) if self.write_failed => {
                    return Err(Error::Lost("closed behind a failed write".to_string()));
                }
                Ok(0) => {
                    self.keep_alive = false;
                    self.body.finish().map_err(to_error)?;
                }
                Ok(_) => {}
                // A reset never ends a body, not even one that is delimited by the connection's end.
                Err(error) => return Err(Error::Lost(error.to_string())),
            }
        }
    }
}

/// Whether an answer belongs to another request than this one. A success that names no request counts
/// as belonging to another.
fn is_foreign(head: &response::Head, request: &Outgoing, dialect: &Dialect) -> bool {
    let Some(asked) = dialect.attempt(&request.headers) else {
        return false;
    };
    match dialect.attempt(&head.headers) {
        Some(answered) => answered != asked,
        None => head.status.is_success(),
    }
}

/// The `timeout` parameter of the `Keep-Alive` header.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive").map(HeaderValue::to_str)?.ok()?;
    let parts = text
        .split(',')
        .filter_map(|part| part.trim().split_once('='));
    let mut named = parts.filter(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"));
    let seconds: u64 = named.next()?.1.trim().parse().ok()?;
    Some(Duration::from_secs(seconds))
}

fn to_error(fault: Fault) -> Error {
    match fault {
        Fault::Cut => Error::Lost(fault.to_string()),
        _ => Error::Garbled(fault.to_string()),
    }
}

#[cfg(test)]
#[path = "../tests/internal/connection.rs"]
mod tests;
