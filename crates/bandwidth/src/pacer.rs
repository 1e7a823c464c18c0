//! Decides when a piece of a long answer may be written.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;
use unit::Bandwidth;

/// Pieces of long answers are written while the link needs less than this for its backlog. It bounds
/// what a short answer waits behind, and is several times the granularity of timers (1 ms), so that
/// the link does not idle between pieces.
const MAX_BACKLOG: Duration = Duration::from_millis(4);
/// Time that a piece occupies the link, within the bounds below.
const PIECE_TIME: Duration = Duration::from_millis(2);
/// Bounds of a piece in bytes. Each piece costs a frame and a system call.
const PIECE_BYTES: (u64, u64) = (4_000, 64_000);
/// An answer that has waited this long for its turn gets a piece although the backlog is long.
const MAX_WAIT: Duration = Duration::from_millis(100);
/// Such pieces take at most one part in this many of the link. Without the bound, many long answers
/// would fill the link with them, and urgent answers would wait.
const OVERDUE_SHARE: u32 = 4;

/// The place of one piece in the queue of a [`Pacer`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Turn(u64);

/// The decision on a piece.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// This many bytes may be written now. They are counted, and the turn has ended.
    Write(usize),
    /// It is next; to be claimed again at this time.
    Until(Instant),
    /// Others are before it.
    Queued,
}

/// The backlog of a link, and the queue of the long answers that want to write.
#[derive(Debug)]
pub struct Pacer {
    rate: Bandwidth,
    /// Bytes written and not yet sent by the link at `updated`.
    backlog: f64,
    updated: Instant,
    /// Pieces in the order of their turns, and since when they wait.
    queue: VecDeque<(Turn, Instant)>,
    next_turn: u64,
    /// When a piece may next be written although the backlog is long.
    next_overdue: Instant,
}

impl Pacer {
    /// A pacer of an idle link.
    pub fn new(now: Instant, rate: Bandwidth) -> Pacer {
        Pacer {
            rate,
            backlog: 0.0,
            updated: now,
            queue: VecDeque::new(),
            next_turn: 0,
            next_overdue: now,
        }
    }

    /// The rate of the link.
    pub fn rate(&self) -> Bandwidth {
        self.rate
    }

    /// Counts bytes that are written now.
    pub fn record(&mut self, now: Instant, bytes: u64) {
        self.backlog = self.bytes_left(now) + bytes as f64;
        self.updated = now;
    }

    /// Time that the link needs for what has been written.
    pub fn backlog(&self, now: Instant) -> Duration {
        self.rate.time_of_bytes(self.bytes_left(now))
    }

    fn bytes_left(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated);
        (self.backlog - self.rate.bytes_in(elapsed)).max(0.0)
    }

    /// Puts the next piece of a long answer at the end of the queue.
    pub fn join(&mut self, now: Instant) -> Turn {
        let turn = Turn(self.next_turn);
        self.next_turn += 1;
        self.queue.push_back((turn, now));
        turn
    }

    /// Removes a piece that will not be written.
    pub fn leave(&mut self, turn: Turn) {
        self.queue.retain(|(other, _)| *other != turn);
    }

    /// Number of pieces that wait.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// The piece that is next.
    pub fn next(&self) -> Option<Turn> {
        self.queue.front().map(|(turn, _)| *turn)
    }

    /// Asks to write a piece of an answer that has `bytes` left.
    pub fn claim(&mut self, now: Instant, turn: Turn, bytes: usize) -> Verdict {
        let Some((_, since)) = self.queue.front().filter(|(next, _)| *next == turn) else {
            return Verdict::Queued;
        };
        let backlog = self.backlog(now);
        let overdue_at = (*since + MAX_WAIT).max(self.next_overdue);
        if backlog >= MAX_BACKLOG && now < overdue_at {
            // A nanosecond more, because the backlog must be under the bound.
            let short_at = now + (backlog - MAX_BACKLOG) + Duration::from_nanos(1);
            return Verdict::Until(short_at.min(overdue_at));
        }
        let bytes = bytes.min(self.piece_bytes());
        if backlog >= MAX_BACKLOG {
            let time = self.rate.time_of_bytes(bytes as f64);
            self.next_overdue = now + time * OVERDUE_SHARE;
        }
        self.queue.pop_front();
        self.record(now, bytes as u64);
        Verdict::Write(bytes)
    }

    fn piece_bytes(&self) -> usize {
        let bytes = self.rate.bytes_in(PIECE_TIME) as u64;
        let (min, max) = PIECE_BYTES;
        bytes.clamp(min, max) as usize
    }
}
