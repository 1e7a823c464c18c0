//! What a connection holds, what it may hold, and how long it waits for its caller.

use std::time::Duration;

use bytes::BytesMut;
use clients::Wait;
use tokio::time::Instant;

use super::Connection;
use crate::port;
use crate::writing::Writing;

/// Requests of one connection that are served concurrently; further ones stay in the input buffer.
pub(super) const MAX_CONCURRENT_REQUESTS: usize = 64;
/// Size of the input buffer beyond which reading pauses. A disconnect is detected only while the
/// buffer has room.
const MAX_INPUT_BYTES: usize = 256 << 10;
/// Unread answers of one connection beyond which it serves no further request.
const MAX_UNREAD_BYTES: usize = 256 << 10;
/// Bytes that are read and discarded of what was sent behind the last request that is served.
const MAX_DISCARDED_BYTES: usize = 1 << 20;
/// What an idle connection holds: its task and room for one read.
const CONNECTION_BYTES: usize = 8 << 10;
/// Largest buffer that an idle connection keeps.
const MAX_IDLE_BUFFER_BYTES: usize = 16 << 10;
/// How long a caller that has sent ahead may take no byte of an answer. One that waits for a single
/// answer has the idle timeout.
const STALL_TIMEOUT: Duration = Duration::from_secs(5);

impl Connection {
    /// Reports what the connection holds beside its requests, with the buffers of the socket where nothing
    /// moves.
    pub(super) fn report(&mut self) {
        if self.is_idle() {
            trim(&mut self.input);
            trim(&mut self.output);
        }
        let mut buffers = CONNECTION_BYTES + self.input.capacity() + self.output.capacity();
        if !self.output.is_empty() {
            buffers += port::SEND_BUFFER_BYTES;
        }
        if !self.can_read() {
            buffers += port::RECEIVE_BUFFER_BYTES;
        }
        self.client.update(buffers, self.waits_for());
    }

    /// What the caller has to do next.
    pub(super) fn waits_for(&self) -> Wait {
        match &self.upload {
            _ if !self.output.is_empty() => Wait::Output,
            Some(upload) if !upload.is_blocked() => Wait::Body,
            None if self.is_idle() => Wait::Request,
            _ => Wait::Nothing,
        }
    }

    /// Whether input has a place to go.
    pub(super) fn can_read(&self) -> bool {
        if self.reads_done && self.upload.is_none() {
            return self.discarded < MAX_DISCARDED_BYTES;
        }
        // What is read behind requests in flight can be left unread by a close instead.
        let may_wait = self.upload.is_some() || self.answers.is_empty();
        let waits = may_wait && !self.is_idle() && !self.client.has_share();
        self.input.len() < MAX_INPUT_BYTES && !waits
    }

    /// Whether another request may be served beside those in flight.
    pub(super) fn has_room(&self) -> bool {
        let writing = self.writing.as_ref().map_or(0, Writing::held_bytes);
        let unread = self.output.len() + writing + self.answers.unread_bytes();
        self.answers.len() < MAX_CONCURRENT_REQUESTS
            && unread < MAX_UNREAD_BYTES
            && (self.is_idle() || self.client.has_share())
    }

    /// Leaves the requests unread that were sent ahead, if the memory of all connections is short and this
    /// one holds more than its share. The last answer tells the caller so.
    pub(super) fn shed_requests(&mut self) {
        if !self.answers.is_empty() && !self.client.has_share() {
            self.reads_done = true;
            self.discard_input();
        }
    }

    /// When the caller exceeds the timeout for the current head, or for an idle connection.
    pub(super) fn timeout(&self) -> Option<Instant> {
        let limits = (self.port.limits)();
        if !self.output.is_empty() {
            // Otherwise a caller that reads nothing could hold its answers for ever.
            let stall = match self.answers.is_empty() {
                true => limits.idle_timeout,
                false => STALL_TIMEOUT.min(limits.idle_timeout),
            };
            return Some(self.written_at + stall);
        }
        if self.reads_done {
            return None;
        }
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
}

fn trim(buffer: &mut BytesMut) {
    if buffer.is_empty() && buffer.capacity() > MAX_IDLE_BUFFER_BYTES {
        *buffer = BytesMut::new();
    }
}
