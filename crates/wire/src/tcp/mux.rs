//! One connection that carries many streams, as both of its ends hold it.

use std::collections::HashMap;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use parking_lot::Mutex;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{Notify, Semaphore, mpsc};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use unit::Instance;

use super::record::{self, Number, Record};
use crate::{Error, Frame, Note};

/// Bytes of bodies in flight on one stream. A caller that stops reading holds up its own stream
/// and no other. The window carries 40 MB a second over a round trip of 3 ms.
pub(crate) const WINDOW: usize = 128 << 10;

/// Room for one read. Without it the buffer grows by 64 bytes at a time, and each is a system call.
const READ_AT_ONCE: usize = 8 << 10;

/// What a stream's receiving half is given.
#[derive(Debug)]
#[expect(
    clippy::large_enum_variant,
    reason = "It is moved once, and a box would cost an allocation each."
)]
pub(crate) enum Event {
    Frame(Frame),
    Fin,
    Reset,
}

/// A stream as the reader of the connection sees it.
pub(crate) struct Slot {
    /// Frames for the receiving half; gone once that half is.
    pub(crate) to: Option<mpsc::UnboundedSender<Event>>,
    /// Bytes of bodies that the sending half may still send.
    pub(crate) credit: Arc<Semaphore>,
    /// Cancelled when the peer wants no more of the sending half.
    pub(crate) stop: CancellationToken,
    /// The sending half is still there.
    pub(crate) sending: bool,
}

/// One connection with its streams; clones are the same connection.
#[derive(Clone)]
pub(crate) struct Mux {
    shared: Arc<Shared>,
}

pub(crate) struct Shared {
    pub(crate) peer: Instance,
    writer: OwnedWriteHalf,
    state: Mutex<State>,
    /// Wakes the task that writes what the socket did not take at once.
    backlog: Notify,
    /// Cancelled when the connection has ended.
    pub(crate) closed: CancellationToken,
}

#[derive(Default)]
struct State {
    out: BytesMut,
    streams: HashMap<Number, Slot>,
    next: Number,
    cause: Option<String>,
    count: Count,
}

/// What one connection has carried.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Count {
    pub(crate) bytes: u64,
    pub(crate) writes: u64,
    /// When something last came.
    pub(crate) heard: Instant,
    /// When a ping was sent that has no answer yet.
    pub(crate) pinged: Option<Instant>,
    pub(crate) rtt: Duration,
}

impl Default for Count {
    fn default() -> Count {
        Count {
            bytes: 0,
            writes: 0,
            heard: Instant::now(),
            pinged: None,
            rtt: Duration::ZERO,
        }
    }
}

impl Count {
    /// Whether nothing came since the last ping.
    pub(crate) fn is_unanswered(&self) -> bool {
        self.pinged.is_some_and(|pinged| pinged > self.heard)
    }
}

/// What the reader hands on beside the frames of known streams.
pub(crate) enum Arrival {
    /// The peer has opened a stream.
    Opened(Number, mpsc::UnboundedReceiver<Event>),
    /// The peer tells something of the link itself.
    Told(Note),
}

impl Mux {
    /// Takes a connection over; `arrived` gets what belongs to no known stream.
    pub(crate) fn start(
        stream: TcpStream,
        peer: Instance,
        arrived: impl Fn(Arrival) + Send + 'static,
    ) -> Mux {
        let (reader, writer) = stream.into_split();
        let shared = Arc::new(Shared {
            peer,
            writer,
            state: Mutex::default(),
            backlog: Notify::new(),
            closed: CancellationToken::new(),
        });
        let mux = Mux { shared };
        tokio::spawn(read_all(mux.clone(), reader, arrived));
        tokio::spawn(write_backlog(mux.clone()));
        mux
    }

    pub(crate) fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    pub(crate) fn peer(&self) -> &Instance {
        &self.shared.peer
    }

    pub(crate) fn is_open(&self) -> bool {
        !self.shared.closed.is_cancelled()
    }

    pub(crate) fn count(&self) -> Count {
        self.shared.state.lock().count
    }

    pub(crate) fn streams(&self) -> usize {
        self.shared.state.lock().streams.len()
    }

    /// Opens a stream of this end.
    pub(crate) fn open(&self) -> Result<(Number, Ends), Error> {
        let mut state = self.shared.state.lock();
        if let Some(cause) = &state.cause {
            return Err(Error::broken("open a stream", self.peer(), cause));
        }
        // Numbers wrap after weeks; one that is still in use is passed over.
        loop {
            state.next = state.next.wrapping_add(1).max(1);
            if !state.streams.contains_key(&state.next) {
                break;
            }
        }
        let number = state.next;
        Ok((number, state.insert(number)))
    }

    /// The ends of a stream that the peer has opened.
    pub(crate) fn ends(&self, number: Number) -> Option<(Arc<Semaphore>, CancellationToken)> {
        let state = self.shared.state.lock();
        let slot = state.streams.get(&number)?;
        Some((slot.credit.clone(), slot.stop.clone()))
    }

    /// Writes `bytes`, which hold whole records.
    ///
    /// What the socket does not take at once is left to the writing task, so that a caller is not
    /// held up by others' bytes; bodies are held up by their credit.
    pub(crate) fn write(&self, bytes: &[u8]) -> Result<(), Error> {
        let mut state = self.shared.state.lock();
        if let Some(cause) = &state.cause {
            return Err(Error::broken("write", self.peer(), cause));
        }
        let waits = !state.out.is_empty();
        let mut rest = bytes;
        if !waits {
            match self.shared.writer.try_write(bytes) {
                Ok(count) => rest = &bytes[count..],
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => {
                    drop(state);
                    self.end(&error.to_string());
                    return Err(Error::broken("write", self.peer(), error));
                }
            }
        }
        state.count.bytes += bytes.len() as u64;
        state.count.writes += 1;
        state.out.extend_from_slice(rest);
        let backlog = !waits && !state.out.is_empty();
        drop(state);
        if backlog {
            self.shared.backlog.notify_one();
        }
        Ok(())
    }

    pub(crate) fn say(&self, number: Number, record: &Record) -> Result<(), Error> {
        let mut out = BytesMut::new();
        record::write(number, record, &mut out)?;
        self.write(&out)
    }

    /// The sending half of a stream is done with.
    pub(crate) fn sent(&self, number: Number) {
        self.release(number, |slot| slot.sending = false);
    }

    /// The receiving half of a stream is done with.
    pub(crate) fn received(&self, number: Number) {
        self.release(number, |slot| slot.to = None);
    }

    fn release(&self, number: Number, change: impl FnOnce(&mut Slot)) {
        let mut state = self.shared.state.lock();
        let Some(slot) = state.streams.get_mut(&number) else {
            return;
        };
        change(slot);
        if !slot.sending && slot.to.is_none() {
            state.streams.remove(&number);
        }
    }

    /// Ends the connection; all streams fail.
    pub(crate) fn end(&self, cause: &str) {
        let streams = {
            let mut state = self.shared.state.lock();
            if state.cause.is_none() {
                state.cause = Some(cause.to_string());
            }
            std::mem::take(&mut state.streams)
        };
        for slot in streams.values() {
            slot.credit.close();
            slot.stop.cancel();
        }
        self.shared.closed.cancel();
    }

    /// Why the connection has ended.
    pub(crate) fn cause(&self) -> String {
        let state = self.shared.state.lock();
        state.cause.clone().unwrap_or_default()
    }

    /// Sends a ping, if none is unanswered.
    pub(crate) fn ping(&self) {
        let mut state = self.shared.state.lock();
        if state.count.pinged.is_some() {
            return;
        }
        state.count.pinged = Some(Instant::now());
        drop(state);
        // A link that has ended is seen by all who wait for it.
        drop(self.say(0, &Record::Ping));
    }

    /// Resolves when all that was written has gone to the socket, or the connection has ended.
    pub(crate) async fn flushed(&self) {
        while self.is_open() && !self.shared.state.lock().out.is_empty() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    fn take(&self, number: Number, record: Record) -> Option<Arrival> {
        let mut state = self.shared.state.lock();
        match record {
            Record::Ping => {
                drop(state);
                // As in `ping`.
                drop(self.say(0, &Record::Pong));
                None
            }
            Record::Pong => {
                if let Some(pinged) = state.count.pinged.take() {
                    state.count.rtt = pinged.elapsed();
                }
                None
            }
            Record::Frame(Frame::Note(note)) if number == 0 => Some(Arrival::Told(note)),
            Record::Credit(bytes) => {
                if let Some(slot) = state.streams.get(&number) {
                    slot.credit.add_permits((bytes as usize).min(WINDOW));
                }
                None
            }
            Record::Stop => {
                if let Some(slot) = state.streams.get(&number) {
                    slot.credit.close();
                    slot.stop.cancel();
                }
                None
            }
            Record::Frame(frame) => state.deliver(number, Event::Frame(frame)),
            Record::Fin => state.deliver(number, Event::Fin),
            Record::Reset => state.deliver(number, Event::Reset),
        }
    }
}

/// What the halves of a new stream hold.
pub(crate) struct Ends {
    pub(crate) from: mpsc::UnboundedReceiver<Event>,
    pub(crate) credit: Arc<Semaphore>,
    pub(crate) stop: CancellationToken,
}

impl State {
    fn insert(&mut self, number: Number) -> Ends {
        let (to, from) = mpsc::unbounded_channel();
        let credit = Arc::new(Semaphore::new(WINDOW));
        let stop = CancellationToken::new();
        let slot = Slot {
            to: Some(to),
            credit: credit.clone(),
            stop: stop.clone(),
            sending: true,
        };
        self.streams.insert(number, slot);
        Ends { from, credit, stop }
    }

    /// Gives an event to its stream; a frame of an unknown one opens it.
    fn deliver(&mut self, number: Number, event: Event) -> Option<Arrival> {
        if let Some(slot) = self.streams.get(&number) {
            // A half that is gone wants no more; its peer has been told.
            if let Some(to) = &slot.to {
                drop(to.send(event));
            }
            return None;
        }
        let opens = matches!(
            event,
            Event::Frame(Frame::Call(_) | Frame::Ask(_) | Frame::Note(_))
        );
        if !opens {
            // What is left of a stream that this end has given up.
            return None;
        }
        let ends = self.insert(number);
        let slot = self.streams.get(&number)?;
        // The receiver is in `ends`.
        if let Some(to) = &slot.to {
            drop(to.send(event));
        }
        Some(Arrival::Opened(number, ends.from))
    }
}

async fn read_all(mux: Mux, mut reader: OwnedReadHalf, arrived: impl Fn(Arrival) + Send + 'static) {
    let closed = mux.shared.closed.clone();
    let mut bytes = BytesMut::new();
    let cause = loop {
        bytes.reserve(READ_AT_ONCE);
        let read = tokio::select! {
            read = reader.read_buf(&mut bytes) => read,
            () = closed.cancelled() => break "closed here".to_string(),
        };
        let count = match read {
            Ok(0) => break "closed by the peer".to_string(),
            Ok(count) => count,
            Err(error) => break error.to_string(),
        };
        {
            let mut state = mux.shared.state.lock();
            state.count.bytes += count as u64;
            state.count.heard = Instant::now();
        }
        let taken = loop {
            match record::read(&mut bytes) {
                Ok(Some((number, record))) => {
                    if let Some(arrival) = mux.take(number, record) {
                        arrived(arrival);
                    }
                }
                Ok(None) => break Ok(()),
                Err(error) => break Err(error),
            }
        };
        if let Err(error) = taken {
            log::warn!("wire: {} sent a bad record: {error}.", mux.peer());
            break error.to_string();
        }
    };
    mux.end(&cause);
}

/// Writes what the socket did not take at once.
async fn write_backlog(mux: Mux) {
    let shared = &mux.shared;
    loop {
        tokio::select! {
            () = shared.backlog.notified() => {}
            () = shared.closed.cancelled() => return,
        }
        while !shared.state.lock().out.is_empty() {
            tokio::select! {
                ready = shared.writer.writable() => if ready.is_err() { return },
                () = shared.closed.cancelled() => return,
            }
            let mut state = shared.state.lock();
            match shared.writer.try_write(&state.out) {
                Ok(count) => drop(state.out.split_to(count)),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => {
                    drop(state);
                    mux.end(&error.to_string());
                    return;
                }
            }
        }
    }
}
