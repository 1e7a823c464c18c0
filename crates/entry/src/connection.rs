//! One caller's connection: pipelined requests are served concurrently and answered in order.
//!
//! Callers pipeline requests. A server that starts the second request only after it has answered
//! the first delays it by a full service time, and one that does not read while it serves can't
//! detect that its caller has disconnected, so the target would keep working on an answer that
//! nobody reads. Therefore the connection is always read, each request is served as soon as its
//! head has arrived, and the requests in flight are dropped when the caller disconnects.

//!
//! A caller that sends ahead and doesn't read could make each connection hold all that it may. So no
//! further request is served while answers wait unread, and what all connections hold together is
//! bounded by [`clients::Table`].

mod answers;
mod body_upload;
mod pressure;
mod refusal;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use clients::{Client, Hold};
use http::{Request, header};
use http_body_util::{BodyExt, Full};
use http1::{Length, Piece, request, response};
use hyper::body::{Body as _, Frame};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};
use tokio_util::sync::CancellationToken;

use self::answers::{Answered, Answers};
use self::body_upload::BodyUpload;
use self::pressure::MAX_CONCURRENT_REQUESTS;
use crate::port::Port;
use crate::writing::Writing;
use crate::{Body, Reason, Refusal, upload};

/// Space reserved for each read. Without it the buffer grows by 64 bytes at a time, with one system
/// call each.
const READ_RESERVE_BYTES: usize = 4 << 10;
/// Size of the output buffer from which on no more is read from the body of an answer.
const MAX_OUTPUT_BYTES: usize = 64 << 10;
/// What a request holds beside its body while it is served.
const REQUEST_BYTES: usize = 32 << 10;
/// How long a closed connection is still read, so that bytes in transit don't reset it before the
/// answer has arrived.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// The state of one connection.
pub(crate) struct Connection {
    port: Port,
    peer: SocketAddr,
    client: Client,
    input: BytesMut,
    output: BytesMut,
    answers: Answers,
    /// The answer that is being written.
    writing: Option<Writing>,
    /// When the caller last took a byte of the output.
    written_at: Instant,
    /// The body of the last request, while it is being received.
    upload: Option<BodyUpload>,
    /// Whether no further request is read.
    reads_done: bool,
    /// When the current head began to arrive, or the connection became idle.
    timer_start: Instant,
    /// The idle timeout in force when the connection became idle. A lower setting takes effect
    /// later, since the caller relies on the timeout that it knows.
    idle_timeout: Duration,
    /// Bytes discarded of what was sent behind the last request that is served.
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
    /// The high-water mark of all connections is reached, or no longer is.
    Tight,
    /// The connection has to end.
    Closed,
}

impl Connection {
    pub(crate) fn new(port: Port, peer: SocketAddr, client: Client) -> Connection {
        let idle_timeout = (port.limits)().idle_timeout;
        Connection {
            port,
            peer,
            client,
            input: BytesMut::new(),
            output: BytesMut::new(),
            answers: Answers::default(),
            writing: None,
            written_at: Instant::now(),
            upload: None,
            reads_done: false,
            timer_start: Instant::now(),
            idle_timeout,
            discarded: 0,
        }
    }

    /// Serves the connection until it closes.
    pub(crate) async fn serve(mut self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        loop {
            self.parse_requests();
            self.write_next();
            // What is left then is unread, and counts for it.
            self.write_output(&stream)?;
            if self.is_finished() {
                return tokio::select! {
                    closed = linger(stream) => closed,
                    () = self.client.closed() => Ok(()),
                };
            }
            self.report();
            match self.wait(&mut stream).await? {
                // Requests in flight are dropped with the connection, which cancels them.
                Event::Read(0) => return Ok(()),
                Event::Read(_) | Event::Room | Event::Tight => {}
                Event::Written => self.written_at = Instant::now(),
                Event::Answered(answered) => self.answers.push(answered),
                Event::Closed => return Err(self.close("others need room")),
                Event::Piece(piece) => self.write_piece(piece)?,
                Event::Timeout if !self.output.is_empty() => {
                    if !self.write_output(&stream)? {
                        return Err(self.close("the caller doesn't read its answers"));
                    }
                }
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

    /// Writes what the caller takes now; returns whether it has taken a byte.
    fn write_output(&mut self, stream: &TcpStream) -> io::Result<bool> {
        if self.output.is_empty() {
            return Ok(false);
        }
        match stream.try_write(&self.output) {
            Ok(count) => {
                drop(self.output.split_to(count));
                self.written_at = Instant::now();
                Ok(true)
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(false),
            Err(error) => Err(error),
        }
    }

    /// Logs why the connection is closed although its caller has not left, and returns that as an error.
    fn close(&self, cause: &'static str) -> io::Error {
        log::info!(
            "entry: connection of {} closed: {cause}; waits_for={:?} unanswered={} unwritten={}.",
            self.peer,
            self.waits_for(),
            self.answers.len(),
            self.output.len()
        );
        io::Error::other(cause)
    }

    fn is_idle(&self) -> bool {
        self.answers.is_empty() && self.writing.is_none() && self.output.is_empty()
    }

    fn is_finished(&self) -> bool {
        self.reads_done && self.upload.is_none() && self.is_idle()
    }

    async fn wait(&mut self, stream: &mut TcpStream) -> io::Result<Event> {
        let timeout = self.timeout();
        let stopping = self.port.stop.clone();
        let room = self.upload_capacity();
        let closed = self.client.closed();
        let (mut reader, mut writer) = stream.split();
        let can_read = self.can_read();
        self.input.reserve(READ_RESERVE_BYTES);
        let can_write = !self.output.is_empty();
        let can_fill = self.output.len() < MAX_OUTPUT_BYTES;
        let may_stop = !self.reads_done && self.input.is_empty() && self.upload.is_none();
        let held_back = !can_read || !self.input.is_empty();
        tokio::select! {
            read = reader.read_buf(&mut self.input), if can_read => Ok(Event::Read(read?)),
            written = writer.write_buf(&mut self.output), if can_write => {
                written.map(|_| Event::Written)
            }
            Some(answered) = self.answers.next(), if self.answers.is_running() => {
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
            () = self.client.tight_changed(), if held_back => Ok(Event::Tight),
            () = closed => Ok(Event::Closed),
        }
    }

    /// Waits until the handler that blocks the current body can take more or has dropped the body. It
    /// never resolves for a body that waits for input: room alone lets it make no progress.
    fn upload_capacity(&self) -> impl Future<Output = ()> + use<> {
        let room = self.upload.as_ref().and_then(BodyUpload::room);
        async move {
            match room {
                Some(room) => room.await,
                None => std::future::pending().await,
            }
        }
    }

    /// Times out unless what has been read in the end completes the head.
    fn parse_or_time_out(&mut self) {
        self.parse_requests();
        if self.timeout().is_some_and(|at| at <= Instant::now()) {
            self.time_out();
        }
    }

    fn time_out(&mut self) {
        let room = self.answers.len() < MAX_CONCURRENT_REQUESTS;
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
            if self.reads_done {
                return self.discard_input();
            }
            if self.input.is_empty() {
                return;
            }
            if !self.has_room() {
                return self.shed_requests();
            }
            let most = (self.port.limits)().head.bytes() as usize;
            match request::parse(&mut self.input, most) {
                Ok(Some(head)) => self.begin(head),
                Ok(None) => return,
                Err(fault) => {
                    self.refuse(&refusal::of(&fault));
                    return;
                }
            }
        }
    }

    fn discard_input(&mut self) {
        self.discarded += self.input.len();
        self.input.clear();
    }

    /// Starts to serve a request.
    fn begin(&mut self, head: request::Head) {
        self.reads_done = !head.keep;
        self.timer_start = Instant::now();
        let Some(hold) = self.client.try_hold(REQUEST_BYTES) else {
            log::info!(
                "entry: request of {} refused: no memory is left.",
                self.peer
            );
            return self.refuse(&refusal::out_of_memory());
        };
        let hold = Arc::new(hold);
        let waits = head.parts.headers.get(header::EXPECT).is_some();
        let mut body = http1::Body::of(head.length);
        let content = self.request_body(head.length, &mut body, &hold);
        if waits && self.upload.is_some() && self.is_idle() {
            self.start_output();
            self.output
                .extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
        }
        let method = head.parts.method.clone();
        let request = Request::from_parts(head.parts, content);
        let served = (self.port.handler)(self.peer, request);
        self.answers.serve(served, method, hold);
    }

    /// The body of a request: complete if it has already arrived, otherwise streamed.
    fn request_body(&mut self, length: Length, body: &mut http1::Body, hold: &Arc<Hold>) -> Body {
        match length {
            Length::Empty | Length::Close => return Body::default(),
            Length::Sized(size) if size <= self.input.len() as u64 => {
                if let Ok(Some(Piece::Data(data))) = body.next(&mut self.input) {
                    hold.grow(data.len());
                    return Full::from(data)
                        .map_err(|never| match never {})
                        .boxed_unsync();
                }
            }
            Length::Sized(_) | Length::Chunked => {}
        }
        let (to, content) = upload::channel();
        self.upload = Some(BodyUpload::new(body.clone(), to, hold.clone()));
        content
    }

    /// Passes what has arrived of the current body to the handler; true once the body has ended.
    fn forward_body(&mut self) -> bool {
        let Some(upload) = &mut self.upload else {
            return true;
        };
        let Some(end) = upload.forward(&mut self.input) else {
            return false;
        };
        match end {
            Ok(()) => self.timer_start = Instant::now(),
            Err(_) => {
                self.reads_done = true;
                self.input.clear();
            }
        }
        if let Some(upload) = self.upload.take() {
            upload.finish(end);
        }
        true
    }

    /// Answers a request that can't be parsed, and stops reading: the start of the next request is
    /// not known.
    fn refuse(&mut self, refusal: &Refusal) {
        let mut response = refusal.response();
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
        self.answers.refuse(response);
        self.reads_done = true;
        self.discard_input();
    }

    /// Writes the head of the next answer, unless another one is being written.
    fn write_next(&mut self) {
        if self.writing.is_some() {
            return;
        }
        let Some(answered) = self.answers.pop() else {
            return;
        };
        let Answered {
            response,
            method,
            hold,
            ..
        } = answered;
        self.start_output();
        let (mut parts, body) = response.into_parts();
        let close_requested = parts.headers.remove(header::CONNECTION).is_some();
        let last = self.answers.is_empty() && self.upload.is_none();
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
            self.writing = Some(Writing::new(body, length, hold));
        }
        self.start_idle_if_done();
    }

    /// Writes a chunk of the body of the current answer.
    ///
    /// An error in the body ends the connection, so that the caller sees a truncated answer and
    /// can't take it for a shorter complete one.
    fn write_piece(&mut self, piece: Option<io::Result<Frame<Bytes>>>) -> io::Result<()> {
        self.start_output();
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

    /// The caller has to take what is written from now on.
    fn start_output(&mut self) {
        if self.output.is_empty() {
            self.written_at = Instant::now();
        }
    }

    fn start_idle_if_done(&mut self) {
        if self.writing.is_none() && !self.answers.is_running() {
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
