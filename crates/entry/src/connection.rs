//! One caller's connection: requests that are served side by side and answered in their order.
//!
//! Callers send requests behind each other without waiting. A server that takes up the second when
//! the first is answered makes it wait for a whole service time, and one that doesn't read while it
//! serves can't tell that its caller has gone: the target would work on for nobody. So the
//! connection is read all the time, each request is served from the moment that its head is there,
//! and when the caller leaves, what is under way for it is dropped.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::future::{BoxFuture, ready};
use futures_util::stream::{self, FuturesOrdered};
use futures_util::{FutureExt, StreamExt};
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, StreamBody};
use http1::{Fault, Length, Piece, request, response};
use hyper::body::{Body as _, Frame};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until, timeout};

use crate::port::Port;
use crate::{Body, Reason, Refusal};

/// Requests of one connection that are served at once; what is behind them stays in the buffer.
const MOST_AT_ONCE: usize = 64;
/// Bytes that are read ahead. A caller that leaves is noticed as long as there is room.
const READ_AHEAD: usize = 256 << 10;
/// Room for one read. Without it the buffer grows by 64 bytes at a time, and each is a system call.
const READ_AT_ONCE: usize = 4 << 10;
/// Bytes of answers that wait to be written before more is taken from a body.
const WRITE_AHEAD: usize = 64 << 10;
/// Pieces of a request's body that wait for the handler.
const BODY_AHEAD: usize = 4;
/// How long a closed connection is read on, so that bytes on their way don't reset the answer.
const LINGER: Duration = Duration::from_millis(500);

/// The state of one connection.
pub(crate) struct Connection {
    port: Port,
    peer: SocketAddr,
    input: BytesMut,
    output: BytesMut,
    /// Requests under way, in order.
    pending: FuturesOrdered<BoxFuture<'static, Answered>>,
    /// Answers whose turn has not come.
    ready: VecDeque<Answered>,
    /// The answer that is being written.
    writing: Option<Writing>,
    /// The body of the last request, while it comes in.
    feed: Option<Feed>,
    /// No request is read any more.
    last_read: bool,
    /// The connection ends behind the answer that is being written.
    closing: bool,
    /// When the present head began to come, or the connection became idle.
    since: Instant,
    /// The idle time that was in force when the connection became idle: a caller goes by the one
    /// that it knows.
    idle: Duration,
}

/// An answer with what its framing depends on.
struct Answered {
    response: Response<Body>,
    method: Method,
}

/// An answer whose head has been written.
struct Writing {
    body: Body,
    chunked: bool,
}

/// A request's body on its way to the handler.
struct Feed {
    body: http1::Body,
    /// Gone once the handler wants no more; the rest is read and dropped.
    to: Option<mpsc::Sender<io::Result<Bytes>>>,
}

/// What woke the connection.
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
        let idle = (port.bounds)().idle;
        Connection {
            port,
            peer,
            input: BytesMut::new(),
            output: BytesMut::new(),
            pending: FuturesOrdered::new(),
            ready: VecDeque::new(),
            writing: None,
            feed: None,
            last_read: false,
            closing: false,
            since: Instant::now(),
            idle,
        }
    }

    /// Serves the connection to its end.
    pub(crate) async fn serve(mut self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        loop {
            self.take_requests();
            self.write_next();
            if self.is_finished() {
                return linger(stream).await;
            }
            match self.wait(&mut stream).await? {
                // What is under way is dropped with the connection, which cancels it.
                Event::Read(0) => return Ok(()),
                Event::Read(_) | Event::Written | Event::Room => {}
                Event::Answered(answered) => self.ready.push_back(answered),
                Event::Piece(piece) => self.write_piece(piece)?,
                Event::Timeout => self.time_out(),
                Event::Stop => self.last_read = self.input.is_empty() || self.last_read,
            }
        }
    }

    fn is_quiet(&self) -> bool {
        let served = self.pending.is_empty() && self.ready.is_empty();
        served && self.writing.is_none() && self.output.is_empty()
    }

    fn is_finished(&self) -> bool {
        let ends = self.last_read && self.feed.is_none();
        (self.closing && self.writing.is_none() && self.output.is_empty())
            || (ends && self.is_quiet())
    }

    async fn wait(&mut self, stream: &mut TcpStream) -> io::Result<Event> {
        let timeout = self.timeout();
        let stopping = self.port.stop.clone();
        let room = self.feed_room();
        let (mut reader, mut writer) = stream.split();
        let can_read = self.input.len() < READ_AHEAD;
        self.input.reserve(READ_AT_ONCE);
        let can_write = !self.output.is_empty();
        let can_fill = self.output.len() < WRITE_AHEAD;
        let may_stop = !self.last_read && self.input.is_empty() && self.feed.is_none();
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
            () = sleep_until(timeout.unwrap_or_else(Instant::now)), if timeout.is_some() => {
                Ok(Event::Timeout)
            }
            () = stopping.cancelled(), if may_stop => Ok(Event::Stop),
        }
    }

    /// Resolves when the handler of the present body has room for more of it.
    fn feed_room(&self) -> impl Future<Output = ()> + use<> {
        let waits = self.feed.as_ref().filter(|_| !self.input.is_empty());
        let to = waits.and_then(|feed| feed.to.clone());
        async move {
            match to {
                // A closed channel has room too: the rest of the body is dropped.
                Some(to) => drop(to.reserve().await),
                None => std::future::pending().await,
            }
        }
    }

    /// When the caller has taken too long: over a head, or in sending the next request.
    fn timeout(&self) -> Option<Instant> {
        if self.feed.is_some() || self.last_read {
            return None;
        }
        let bounds = (self.port.bounds)();
        if !self.input.is_empty() {
            return Some(self.since + bounds.head_timeout);
        }
        let idle = self.idle.max(bounds.idle);
        self.is_quiet().then(|| self.since + idle)
    }

    fn time_out(&mut self) {
        if !self.input.is_empty() && self.pending.len() + self.ready.len() < MOST_AT_ONCE {
            let refusal = Refusal::not_run(Reason::SlowBody).detail("the head took too long");
            self.refuse(&refusal);
        }
        self.last_read = true;
    }

    /// Takes whatever whole requests and pieces of a body have come.
    fn take_requests(&mut self) {
        loop {
            if self.feed.is_some() && !self.feed_body() {
                return;
            }
            let room = self.pending.len() + self.ready.len() < MOST_AT_ONCE;
            if self.last_read || !room || self.input.is_empty() {
                return;
            }
            let most = (self.port.bounds)().head.bytes() as usize;
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

    /// Begins to serve a request.
    fn begin(&mut self, head: request::Head) {
        self.last_read = !head.keep;
        self.since = Instant::now();
        let waits = head.parts.headers.get(header::EXPECT).is_some();
        let mut body = http1::Body::of(head.length);
        let content = self.content(head.length, &mut body);
        if waits && self.feed.is_some() && self.is_quiet() {
            self.output
                .extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
        }
        let method = head.parts.method.clone();
        let request = Request::from_parts(head.parts, content);
        let served = (self.port.handler)(self.peer, request);
        let answered = served.map(move |response| Answered { response, method });
        self.pending.push_back(answered.boxed());
    }

    /// The body of a request: whole if it is there already, else as it comes in.
    fn content(&mut self, length: Length, body: &mut http1::Body) -> Body {
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
        let (to, from) = mpsc::channel(BODY_AHEAD);
        let pieces = stream::unfold(from, |mut from| async move {
            let piece: io::Result<Bytes> = from.recv().await?;
            Some((piece.map(Frame::data), from))
        });
        let to = Some(to);
        let body = body.clone();
        self.feed = Some(Feed { body, to });
        StreamBody::new(pieces).boxed_unsync()
    }

    /// Passes on what has come of the present body; true once all of it has.
    fn feed_body(&mut self) -> bool {
        let Some(feed) = &mut self.feed else {
            return true;
        };
        loop {
            if feed.body.is_done() {
                self.feed = None;
                self.since = Instant::now();
                return true;
            }
            if feed
                .to
                .as_ref()
                .is_some_and(|to| to.capacity() == 0 && !to.is_closed())
            {
                return false;
            }
            let piece = match feed.body.next(&mut self.input) {
                Ok(Some(Piece::Data(data))) => Ok(data),
                Ok(Some(Piece::End)) => {
                    self.feed = None;
                    self.since = Instant::now();
                    return true;
                }
                Ok(None) => return false,
                Err(fault) => Err(io::Error::other(fault.to_string())),
            };
            let broken = piece.is_err();
            // A handler that wants no more of the body has its channel closed.
            feed.to = feed.to.take().filter(|to| to.try_send(piece).is_ok());
            if broken {
                self.feed = None;
                self.last_read = true;
                self.input.clear();
                return true;
            }
        }
    }

    /// Answers what can't be served, and reads no more: nothing behind it can be trusted.
    fn refuse(&mut self, refusal: &Refusal) {
        let mut response = refusal.response();
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
        let method = Method::GET;
        let answered = Answered { response, method };
        self.pending.push_back(ready(answered).boxed());
        self.last_read = true;
        self.input.clear();
    }

    /// Writes the head of the next answer, if its turn has come.
    fn write_next(&mut self) {
        if self.writing.is_some() || self.closing {
            return;
        }
        let Some(Answered { response, method }) = self.ready.pop_front() else {
            return;
        };
        let (mut parts, body) = response.into_parts();
        let asked = parts.headers.remove(header::CONNECTION).is_some();
        let last = self.pending.is_empty() && self.ready.is_empty() && self.feed.is_none();
        // Requests behind an answer that closes count as not read, and their caller sends them
        // again, though they run here. So only the last answer of those under way closes.
        if last && (asked && self.input.is_empty() || self.last_read) {
            self.closing = true;
            let close = header::HeaderValue::from_static("close");
            parts.headers.insert(header::CONNECTION, close);
        }
        let length = match body.size_hint().exact() {
            Some(0) => Length::Empty,
            Some(size) => Length::Sized(size),
            // A body that streams has the length that its target has given, if it has given one.
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
        let bodiless = method == Method::HEAD || parts.status == StatusCode::NO_CONTENT;
        if length != Length::Empty && !bodiless {
            let chunked = length == Length::Chunked;
            self.writing = Some(Writing { body, chunked });
        }
        self.became_quiet();
    }

    /// Writes a piece of the present answer's body.
    ///
    /// An error in the body ends the connection, so that the caller sees a cut answer and can't
    /// take it for a shorter whole one.
    fn write_piece(&mut self, piece: Option<io::Result<Frame<Bytes>>>) -> io::Result<()> {
        let Some(writing) = &self.writing else {
            return Ok(());
        };
        match piece.transpose()? {
            Some(frame) => {
                let data = frame.into_data().unwrap_or_default();
                match writing.chunked {
                    true if data.is_empty() => {}
                    true => http1::chunk(&data, &mut self.output),
                    false => self.output.extend_from_slice(&data),
                }
            }
            None => {
                if writing.chunked {
                    http1::last_chunk(&mut self.output);
                }
                self.writing = None;
                self.became_quiet();
            }
        }
        Ok(())
    }

    fn became_quiet(&mut self) {
        if self.writing.is_none() && self.pending.is_empty() {
            self.since = Instant::now();
            self.idle = (self.port.bounds)().idle;
        }
    }
}

async fn next_piece(writing: &mut Option<Writing>) -> Option<io::Result<Frame<Bytes>>> {
    match writing {
        Some(writing) => writing.body.frame().await,
        None => std::future::pending().await,
    }
}

/// Closes the connection so that its last answer arrives: a connection that is closed with bytes
/// unread is reset, and the answer may go with it.
async fn linger(mut stream: TcpStream) -> io::Result<()> {
    stream.shutdown().await?;
    let mut rest = [0; 4_096];
    let drained = async { while stream.read(&mut rest).await.is_ok_and(|count| count > 0) {} };
    // A caller that keeps its end open loses nothing by the close.
    drop(timeout(LINGER, drained).await);
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
