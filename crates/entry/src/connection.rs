//! One caller's connection: pipelined requests are served concurrently and answered in order.
//!
//! Callers pipeline requests. A server that starts the second request only after it has answered
//! the first delays it by a full service time, and one that does not read while it serves can't
//! detect that its caller has disconnected, so the target would keep working on an answer that
//! nobody reads. Therefore the connection is always read, each request is served as soon as its
//! head has arrived, and the requests in flight are dropped when the caller disconnects.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::future::{BoxFuture, ready};
use futures_util::stream::FuturesOrdered;
use futures_util::{FutureExt, StreamExt};
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use http1::{Fault, Length, Piece, request, response};
use hyper::body::{Body as _, Frame};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};
use tokio_util::sync::CancellationToken;

use crate::port::Port;
use crate::writing::Writing;
use crate::{Body, Reason, Refusal, upload};

/// Requests of one connection that are served concurrently; further ones stay in the input buffer.
const MAX_CONCURRENT_REQUESTS: usize = 64;
/// Size of the input buffer beyond which reading pauses. A disconnect is detected only while the
/// buffer has room.
const MAX_INPUT_BYTES: usize = 256 << 10;
/// Space reserved for each read. Without it the buffer grows by 64 bytes at a time, with one system
/// call each.
const READ_RESERVE_BYTES: usize = 4 << 10;
/// Size of the output buffer from which on no more is read from the body of an answer.
const MAX_OUTPUT_BYTES: usize = 64 << 10;
/// Bytes of a body that are read after its handler has dropped it, so that the caller can read its answer
/// and use the connection again.
const MAX_DISCARDED_BYTES: usize = 64 << 20;
/// How long a closed connection is still read, so that bytes in transit don't reset it before the
/// answer has arrived.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// The state of one connection.
pub(crate) struct Connection {
    port: Port,
    peer: SocketAddr,
    input: BytesMut,
    output: BytesMut,
    /// Requests in flight, in the order of their arrival.
    pending: FuturesOrdered<BoxFuture<'static, Answered>>,
    /// Answers that wait for earlier answers to be written.
    ready: VecDeque<Answered>,
    /// The answer that is being written.
    writing: Option<Writing>,
    /// The body of the last request, while it is being received.
    upload: Option<BodyUpload>,
    /// Whether no further request is read.
    reads_done: bool,
    /// When the current head began to arrive, or the connection became idle.
    timer_start: Instant,
    /// The idle timeout in force when the connection became idle. A lower setting takes effect
    /// later, since the caller relies on the timeout that it knows.
    idle_timeout: Duration,
}

/// An answer, and the request method, which its framing depends on.
struct Answered {
    response: Response<Body>,
    method: Method,
}

/// The transfer of a request's body to the handler.
struct BodyUpload {
    body: http1::Body,
    /// `None` once the handler has dropped the body; the rest is read and discarded.
    to: Option<upload::Sender>,
    /// Whether input waits until the handler takes more.
    blocked: bool,
    /// Bytes read of the body since the handler has dropped it.
    discarded: usize,
}

/// The event that a connection has waited for.
enum Event {
    Read(usize),
    Written,
    Answered(Answered),
    Piece(Option<Result<Frame<Bytes>, io::Error>>),
    Room,
    Timeout,
    Stop,
}

impl Connection {
    pub(crate) fn new(port: Port, peer: SocketAddr) -> Connection {
        let idle_timeout = (port.limits)().idle_timeout;
        Connection {
            port,
            peer,
            input: BytesMut::new(),
            output: BytesMut::new(),
            pending: FuturesOrdered::new(),
            ready: VecDeque::new(),
            writing: None,
            upload: None,
            reads_done: false,
            timer_start: Instant::now(),
            idle_timeout,
        }
    }

    /// Serves the connection until it closes.
    pub(crate) async fn serve(mut self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        loop {
            self.parse_requests();
            self.write_next();
            if self.is_finished() {
                return linger(stream).await;
            }
            match self.wait(&mut stream).await? {
                // Requests in flight are dropped with the connection, which cancels them.
                Event::Read(0) => return Ok(()),
                Event::Read(_) | Event::Written | Event::Room => {}
                Event::Answered(answered) => self.ready.push_back(answered),
                Event::Piece(piece) => self.write_piece(piece)?,
                Event::Timeout => match self.read_arrived(&stream)? {
                    Some(0) => return Ok(()),
                    Some(_) => self.parse_or_time_out(),
                    None => self.time_out(),
                },
                // A request that has already arrived is still answered.
                Event::Stop => match self.read_arrived(&stream)? {
                    Some(0) => return Ok(()),
                    Some(_) => {}
                    None => self.reads_done = true,
                },
            }
        }
    }

    /// Reads what has arrived, without waiting; `None` if nothing has.
    fn read_arrived(&mut self, stream: &TcpStream) -> io::Result<Option<usize>> {
        match stream.try_read_buf(&mut self.input) {
            Ok(count) => Ok(Some(count)),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(None),
            Err(error) => Err(error),
        }
    }

    fn is_idle(&self) -> bool {
        let served = self.pending.is_empty() && self.ready.is_empty();
        served && self.writing.is_none() && self.output.is_empty()
    }

    fn is_finished(&self) -> bool {
        self.reads_done && self.upload.is_none() && self.is_idle()
    }

    async fn wait(&mut self, stream: &mut TcpStream) -> io::Result<Event> {
        let timeout = self.timeout();
        let stopping = self.port.stop.clone();
        let room = self.upload_capacity();
        let (mut reader, mut writer) = stream.split();
        let can_read = self.input.len() < MAX_INPUT_BYTES;
        self.input.reserve(READ_RESERVE_BYTES);
        let can_write = !self.output.is_empty();
        let can_fill = self.output.len() < MAX_OUTPUT_BYTES;
        let may_stop = !self.reads_done && self.input.is_empty() && self.upload.is_none();
        tokio::select! {
            read = reader.read_buf(&mut self.input), if can_read => Ok(Event::Read(read?)),
            written = writer.write_buf(&mut self.output), if can_write => {
                written.map(|_| Event::Written)
            }
            Some(answered) = self.pending.next(), if !self.pending.is_empty() => {
                Ok(Event::Answered(answered))
            }
            piece = next_piece(&mut self.writing), if can_fill && self.writing.is_some() => {
                Ok(Event::Piece(piece))
            }
            () = room => Ok(Event::Room),
            () = timer::passed(timeout.unwrap_or_else(Instant::now)), if timeout.is_some() => {
                Ok(Event::Timeout)
            }
            () = stopped(stopping), if may_stop => Ok(Event::Stop),
        }
    }

    /// Waits until the handler that blocks the current body can take more or has dropped the body. It
    /// never resolves for a body that waits for input: room alone lets it make no progress.
    fn upload_capacity(&self) -> impl Future<Output = ()> + use<> {
        let blocked = self.upload.as_ref().filter(|upload| upload.blocked);
        let room = blocked.and_then(|upload| upload.to.as_ref().map(upload::Sender::room));
        async move {
            match room {
                Some(room) => room.await,
                None => std::future::pending().await,
            }
        }
    }

    /// When the caller exceeds the timeout for the current head, or for an idle connection.
    fn timeout(&self) -> Option<Instant> {
        if self.reads_done {
            return None;
        }
        let limits = (self.port.limits)();
        if self.upload.is_some() {
            // The handler bounds the time of a body until its request is answered.
            return self
                .is_idle()
                .then(|| self.timer_start + limits.head_timeout);
        }
        if !self.input.is_empty() {
            return Some(self.timer_start + limits.head_timeout);
        }
        let idle = self.idle_timeout.max(limits.idle_timeout);
        self.is_idle().then(|| self.timer_start + idle)
    }

    /// Times out unless what has been read in the end completes the head.
    fn parse_or_time_out(&mut self) {
        self.parse_requests();
        if self.timeout().is_some_and(|at| at <= Instant::now()) {
            self.time_out();
        }
    }

    fn time_out(&mut self) {
        let room = self.pending.len() + self.ready.len() < MAX_CONCURRENT_REQUESTS;
        if self.upload.take().is_none() && !self.input.is_empty() && room {
            let refusal = Refusal::not_run(Reason::SlowBody).detail("the head took too long");
            self.refuse(&refusal);
        }
        self.reads_done = true;
    }

    /// Parses the complete heads and body chunks in the input buffer.
    fn parse_requests(&mut self) {
        loop {
            if self.upload.is_some() && !self.forward_body() {
                return;
            }
            let room = self.pending.len() + self.ready.len() < MAX_CONCURRENT_REQUESTS;
            if self.reads_done || !room || self.input.is_empty() {
                return;
            }
            let most = (self.port.limits)().head.bytes() as usize;
            match request::parse(&mut self.input, most) {
                Ok(Some(head)) => self.begin(head),
                Ok(None) => return,
                Err(fault) => {
                    self.refuse(&refusal_of(&fault));
                    return;
                }
            }
        }
    }

    /// Starts to serve a request.
    fn begin(&mut self, head: request::Head) {
        self.reads_done = !head.keep;
        self.timer_start = Instant::now();
        let waits = head.parts.headers.get(header::EXPECT).is_some();
        let mut body = http1::Body::of(head.length);
        let content = self.request_body(head.length, &mut body);
        if waits && self.upload.is_some() && self.is_idle() {
            self.output
                .extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
        }
        let method = head.parts.method.clone();
        let request = Request::from_parts(head.parts, content);
        let served = (self.port.handler)(self.peer, request);
        let answered = served.map(move |response| Answered { response, method });
        self.pending.push_back(answered.boxed());
    }

    /// The body of a request: complete if it has already arrived, otherwise streamed.
    fn request_body(&mut self, length: Length, body: &mut http1::Body) -> Body {
        match length {
            Length::Empty | Length::Close => return Body::default(),
            Length::Sized(size) if size <= self.input.len() as u64 => {
                if let Ok(Some(Piece::Data(data))) = body.next(&mut self.input) {
                    return Full::from(data)
                        .map_err(|never| match never {})
                        .boxed_unsync();
                }
            }
            Length::Sized(_) | Length::Chunked => {}
        }
        let (to, content) = upload::channel();
        let to = Some(to);
        let body = body.clone();
        self.upload = Some(BodyUpload {
            body,
            to,
            blocked: false,
            discarded: 0,
        });
        content
    }

    /// Passes what has arrived of the current body to the handler; true once the body has ended.
    fn forward_body(&mut self) -> bool {
        let Some(upload) = &mut self.upload else {
            return true;
        };
        let end = loop {
            if upload.body.is_done() {
                break Ok(());
            }
            upload.blocked = upload.to.as_ref().is_some_and(upload::Sender::is_full);
            if upload.blocked {
                return false;
            }
            let before = self.input.len();
            let piece = upload.body.next(&mut self.input);
            if upload.to.is_none() {
                upload.discarded += before - self.input.len();
            }
            match piece {
                _ if upload.discarded > MAX_DISCARDED_BYTES => {
                    break Err(io::Error::other("too much of a body to discard"));
                }
                Ok(Some(Piece::Data(data))) => {
                    upload.to = upload.to.take().filter(|to| to.try_send(data));
                }
                Ok(Some(Piece::End)) => break Ok(()),
                Ok(None) => return false,
                Err(fault) => break Err(io::Error::other(fault.to_string())),
            }
        };
        match end {
            Ok(()) => self.timer_start = Instant::now(),
            Err(_) => {
                self.reads_done = true;
                self.input.clear();
            }
        }
        if let Some(to) = self.upload.take().and_then(|upload| upload.to) {
            to.finish(end);
        }
        true
    }

    /// Answers a request that can't be parsed, and stops reading: the start of the next request is
    /// not known.
    fn refuse(&mut self, refusal: &Refusal) {
        let mut response = refusal.response();
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
        let method = Method::GET;
        let answered = Answered { response, method };
        self.pending.push_back(ready(answered).boxed());
        self.reads_done = true;
        self.input.clear();
    }

    /// Writes the head of the next answer, unless another one is being written.
    fn write_next(&mut self) {
        if self.writing.is_some() {
            return;
        }
        let Some(Answered { response, method }) = self.ready.pop_front() else {
            return;
        };
        let (mut parts, body) = response.into_parts();
        let close_requested = parts.headers.remove(header::CONNECTION).is_some();
        let last = self.pending.is_empty() && self.ready.is_empty() && self.upload.is_none();
        // A caller takes requests after an answer with `close` as unread and resends them, although
        // they run here. So only the last of the pending answers closes the connection.
        if last && (close_requested && self.input.is_empty() || self.reads_done) {
            // The caller takes what follows as unread and resends it.
            self.reads_done = true;
            let close = header::HeaderValue::from_static("close");
            parts.headers.insert(header::CONNECTION, close);
        }
        let length = match body.size_hint().exact() {
            Some(0) => Length::Empty,
            Some(size) => Length::Sized(size),
            // A streamed body has the length that the target has declared, if any.
            None => Length::of(&parts.headers)
                .ok()
                .flatten()
                .unwrap_or(Length::Chunked),
        };
        response::write(
            parts.status,
            &parts.headers,
            length,
            &method,
            &mut self.output,
        );
        if length != Length::Empty && !response::is_bodiless(parts.status, &method) {
            self.writing = Some(Writing::new(body, length));
        }
        self.start_idle_if_done();
    }

    /// Writes a chunk of the body of the current answer.
    ///
    /// An error in the body ends the connection, so that the caller sees a truncated answer and
    /// can't take it for a shorter complete one.
    fn write_piece(&mut self, piece: Option<io::Result<Frame<Bytes>>>) -> io::Result<()> {
        let Some(writing) = &mut self.writing else {
            return Ok(());
        };
        let frame = piece.transpose()?;
        let ended = frame.is_none();
        writing.write(frame, &mut self.output)?;
        if ended {
            self.writing = None;
            self.start_idle_if_done();
        }
        Ok(())
    }

    fn start_idle_if_done(&mut self) {
        if self.writing.is_none() && self.pending.is_empty() {
            self.timer_start = Instant::now();
            self.idle_timeout = (self.port.limits)().idle_timeout;
        }
    }
}

/// Waits until the port is stopped and the sockets have been polled since.
async fn stopped(stop: CancellationToken) {
    stop.cancelled().await;
    timer::polled().await;
}

async fn next_piece(writing: &mut Option<Writing>) -> Option<io::Result<Frame<Bytes>>> {
    match writing {
        Some(writing) => writing.next().await,
        None => std::future::pending().await,
    }
}

/// Closes the connection so that its last answer arrives. A connection that is closed with unread
/// bytes is reset, and the reset may discard the answer.
async fn linger(mut stream: TcpStream) -> io::Result<()> {
    stream.shutdown().await?;
    let mut rest = [0; 4_096];
    let drained = async { while stream.read(&mut rest).await.is_ok_and(|count| count > 0) {} };
    // After the timeout the close can no longer harm a caller that keeps its end open.
    drop(timeout(LINGER_TIMEOUT, drained).await);
    Ok(())
}

fn refusal_of(fault: &Fault) -> Refusal {
    match fault {
        Fault::LongHead(_) => Refusal::not_run(Reason::TooLarge)
            .status(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE)
            .detail(fault),
        _ => Refusal::not_run(Reason::Malformed).detail(fault),
    }
}
