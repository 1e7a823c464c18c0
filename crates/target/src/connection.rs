//! One connection to the target.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use dialect::Dialect;
use http::{HeaderMap, HeaderValue, Method};
use http1::{Body, Fault, Length, Piece, request, response};
use quick_error::quick_error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};
use wire::{Frame, Receiver};

/// How long a connection to the target may take. It is on the same instance.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Room for one read. Without it the buffer grows by 64 bytes at a time, and each is a system call.
const READ_AT_ONCE: usize = 8 << 10;

/// Answers to other requests that are passed over on one connection before it is given up.
const MOST_FOREIGN: usize = 3;

quick_error! {
    /// Why there is no answer, or no whole one.
    #[derive(Debug)]
    pub enum Error {
        /// No connection came about; nothing was sent.
        Connect(target: SocketAddr, cause: io::Error) {
            display("connect to target {target}: {cause}")
            source(cause)
        }
        /// The connection ended under the request, which may have run.
        Lost(cause: String) {
            display("the connection to the target was lost: {cause}")
        }
        /// What the target sent is no answer to the request, which may have run.
        Garbled(cause: String) {
            display("the target's answer is garbled: {cause}")
        }
        /// The request's body broke off on its way here.
        Body(cause: String) {
            display("the request's body broke off: {cause}")
        }
    }
}

/// A request as it goes to the target.
pub(crate) struct Outgoing {
    pub(crate) method: Method,
    pub(crate) uri: String,
    pub(crate) headers: HeaderMap,
}

/// A request's body.
pub(crate) enum Content {
    Empty,
    /// All of it is at hand.
    Whole(Bytes),
    /// It comes over the link.
    Streamed(Receiver),
}

/// A connection to the target, free for a request or under one.
pub(crate) struct Connection {
    stream: TcpStream,
    input: BytesMut,
    body: Body,
    /// Nothing speaks against another request on it.
    keep: bool,
    /// How long the target keeps it open, if it says so.
    pub(crate) keep_for: Option<Duration>,
    /// Requests that it has carried.
    pub(crate) carried: u32,
    /// When its last answer ended.
    pub(crate) since: Instant,
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
            keep: true,
            keep_for: None,
            carried: 0,
            since: Instant::now(),
        })
    }

    /// Whether the connection is open and silent: an end, or bytes that nobody asked for, make it
    /// useless.
    pub(crate) fn is_sound(&self) -> bool {
        let mut byte = [0];
        let read = self.stream.try_read(&mut byte);
        self.keep && matches!(read, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Whether it may carry another request: the answer was whole, and nothing came behind it.
    pub(crate) fn is_free(&self) -> bool {
        self.keep && self.body.is_done() && self.input.is_empty()
    }

    /// Whether bytes came behind the answer.
    pub(crate) fn has_excess(&self) -> bool {
        self.body.is_done() && !self.input.is_empty()
    }

    /// Sends a request and reads the head of its answer.
    ///
    /// # Errors
    ///
    /// Every kind but [`Error::Connect`]; the connection is of no more use.
    pub(crate) async fn send(
        &mut self,
        request: &Outgoing,
        content: Content,
        dialect: &Dialect,
    ) -> Result<response::Head, Error> {
        self.carried += 1;
        let mut output = BytesMut::with_capacity(1_024);
        let length = length(request, &content);
        request::write(
            &request.method,
            &request.uri,
            &request.headers,
            length,
            &mut output,
        );
        let mut rest = None;
        match content {
            Content::Empty => {}
            Content::Whole(body) => output.extend_from_slice(&body),
            Content::Streamed(receiver) => rest = Some(receiver),
        }
        let chunked = length == Length::Chunked;
        loop {
            if let Some(head) = self.head(request, dialect).await? {
                if rest.is_some() || !output.is_empty() {
                    // The target has answered before it had the whole request. What follows on
                    // this connection would be taken for the rest of the body.
                    self.keep = false;
                }
                return Ok(head);
            }
            self.step(&mut output, &mut rest, chunked).await?;
        }
    }

    /// Moves some bytes, either way.
    async fn step(
        &mut self,
        output: &mut BytesMut,
        rest: &mut Option<Receiver>,
        chunked: bool,
    ) -> Result<(), Error> {
        self.input.reserve(READ_AT_ONCE);
        let (mut reader, mut writer) = self.stream.split();
        tokio::select! {
            read = reader.read_buf(&mut self.input) => match read {
                Ok(0) => Err(Error::Lost("closed without an answer".to_string())),
                Ok(_) => Ok(()),
                Err(error) => Err(Error::Lost(error.to_string())),
            },
            written = writer.write_buf(output), if !output.is_empty() => {
                if written.is_err() {
                    // The answer may be there although the target takes no more.
                    output.clear();
                    *rest = None;
                    self.keep = false;
                }
                Ok(())
            }
            frame = next(rest), if rest.is_some() && output.is_empty() => {
                let last = append(frame?, chunked, output);
                if last {
                    *rest = None;
                }
                Ok(())
            }
        }
    }

    /// The head of the answer, if all of it has come. Answers to other requests are passed over.
    async fn head(
        &mut self,
        request: &Outgoing,
        dialect: &Dialect,
    ) -> Result<Option<response::Head>, Error> {
        for _ in 0..MOST_FOREIGN {
            let head = response::parse(&mut self.input, &request.method).map_err(garbled)?;
            let Some(head) = head else {
                return Ok(None);
            };
            self.body = Body::of(head.length);
            self.keep &= head.keep;
            self.keep_for = keep_for(&head.headers);
            if !is_foreign(&head, request, dialect) {
                return Ok(Some(head));
            }
            self.keep = false;
            while self.piece().await?.is_some() {}
        }
        Err(Error::Garbled("answers to other requests".to_string()))
    }

    /// The next piece of the answer's body; `None` once all of it was read.
    ///
    /// # Errors
    ///
    /// [`Error::Lost`] or [`Error::Garbled`] if the body is cut.
    pub(crate) async fn piece(&mut self) -> Result<Option<Bytes>, Error> {
        loop {
            match self.body.next(&mut self.input).map_err(garbled)? {
                Some(Piece::Data(data)) => return Ok(Some(data)),
                Some(Piece::End) => {
                    self.since = Instant::now();
                    return Ok(None);
                }
                None => {}
            }
            self.input.reserve(READ_AT_ONCE);
            match self.stream.read_buf(&mut self.input).await {
                Ok(0) => {
                    self.keep = false;
                    self.body.finish().map_err(garbled)?;
                }
                Ok(_) => {}
                // A reset is no end, also of a body that ends with its connection.
                Err(error) => return Err(Error::Lost(error.to_string())),
            }
        }
    }
}

async fn next(rest: &mut Option<Receiver>) -> Result<Option<Bytes>, Error> {
    let Some(receiver) = rest else {
        return std::future::pending().await;
    };
    match receiver.recv().await {
        Ok(Some(Frame::Data(data))) => Ok(Some(data)),
        Ok(Some(Frame::End)) => Ok(None),
        // A body that is cut must never look complete to the target.
        Ok(_) => Err(Error::Body("its link ended early".to_string())),
        Err(error) => Err(Error::Body(error.to_string())),
    }
}

/// Writes a piece of the request's body, or its end; true at the end.
fn append(piece: Option<Bytes>, chunked: bool, output: &mut BytesMut) -> bool {
    match (piece, chunked) {
        (Some(data), true) if !data.is_empty() => http1::chunk(&data, output),
        (Some(data), _) => output.extend_from_slice(&data),
        (None, true) => {
            http1::last_chunk(output);
            return true;
        }
        (None, false) => return true,
    }
    false
}

/// How the target is told where the request's body ends.
fn length(request: &Outgoing, content: &Content) -> Length {
    let declared = Length::of(&request.headers).ok().flatten();
    match content {
        // A request that may have a body says that it has none.
        Content::Empty if declared.is_some() => Length::Sized(0),
        Content::Empty => Length::Empty,
        Content::Whole(body) => Length::Sized(body.len() as u64),
        Content::Streamed(_) => match declared {
            Some(Length::Sized(size)) => Length::Sized(size),
            _ => Length::Chunked,
        },
    }
}

/// Whether an answer is to another request than this one. A success that names no request counts.
fn is_foreign(head: &response::Head, request: &Outgoing, dialect: &Dialect) -> bool {
    let Some(asked) = dialect.attempt(&request.headers) else {
        return false;
    };
    match dialect.attempt(&head.headers) {
        Some(answered) => answered != asked,
        None => head.status.is_success(),
    }
}

/// How long the target says that it keeps the connection.
fn keep_for(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive").map(HeaderValue::to_str)?.ok()?;
    let parts = text
        .split(',')
        .filter_map(|part| part.trim().split_once('='));
    let mut named = parts.filter(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"));
    let seconds: u64 = named.next()?.1.trim().parse().ok()?;
    Some(Duration::from_secs(seconds))
}

fn garbled(fault: Fault) -> Error {
    match fault {
        Fault::Cut => Error::Lost(fault.to_string()),
        _ => Error::Garbled(fault.to_string()),
    }
}
