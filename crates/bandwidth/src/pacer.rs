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
/// Ages of answers that go before others: they should be complete after 2 s, and those that are older
/// have missed it.
const PRESSING: std::ops::Range<Duration> = Duration::from_secs(1)..Duration::from_secs(2);
/// Pieces of pressing answers between two pieces of others. Without the bound, a link that is
/// overloaded for long would never finish an answer that is older than 2 s.
/// While all pieces are overdue it is one, so that each answer has its turn.
const MAX_PRESSING_RUN: u32 = 7;
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
    /// The piece that is next. It stays the next one until it ends, because the others don't wake by
    /// themselves.
    front: Option<Turn>,
    /// The pieces at the front of the queue whose answers are pressing.
    pressing: usize,
    /// Pieces of pressing answers that were written since the last one of another answer.
    pressing_run: u32,
    max_pressing_run: u32,
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
            front: None,
            pressing: 0,
            pressing_run: 0,
            max_pressing_run: MAX_PRESSING_RUN,
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

    /// Puts the next piece of a long answer, which began at `began`, at the end of the queue.
    pub fn join(&mut self, now: Instant, began: Instant) -> Turn {
        let turn = Turn(self.next_turn);
        self.next_turn += 1;
        let age = now.saturating_duration_since(began);
        if PRESSING.contains(&age) {
            self.queue.insert(self.pressing, (turn, now));
            self.pressing += 1;
        } else {
            self.queue.push_back((turn, now));
        }
        self.front = self.front.or(Some(turn));
        turn
    }

    /// Removes a piece that will not be written.
    pub fn leave(&mut self, turn: Turn) {
        let Some(at) = self.queue.iter().position(|(other, _)| *other == turn) else {
            return;
        };
        self.queue.remove(at);
        self.pressing -= usize::from(at < self.pressing);
        if self.front == Some(turn) {
            self.front = self.select();
        }
    }

    /// Number of pieces that wait.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// The piece that is next, until it is written or leaves.
    pub fn next(&self) -> Option<Turn> {
        self.front
    }

    fn select(&self) -> Option<Turn> {
        let other = self.queue.get(self.pressing);
        let other = other.filter(|_| self.pressing_run >= self.max_pressing_run);
        let selected = other.or(self.queue.front());
        selected.map(|(turn, _)| *turn)
    }

    /// Asks to write a piece of an answer that has `bytes` left.
    pub fn claim(&mut self, now: Instant, turn: Turn, bytes: usize) -> Verdict {
        if self.front != Some(turn) {
            return Verdict::Queued;
        }
        let place = self.queue.iter().position(|(other, _)| *other == turn);
        let Some((place, (_, since))) = place.and_then(|at| Some((at, self.queue.get(at)?))) else {
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
        self.max_pressing_run = MAX_PRESSING_RUN;
        if backlog >= MAX_BACKLOG {
            self.max_pressing_run = 1;
            let time = self.rate.time_of_bytes(bytes as f64);
            self.next_overdue = now + time * OVERDUE_SHARE;
        }
        self.pressing_run = match place < self.pressing {
            true => self.pressing_run.saturating_add(1),
            false => 0,
        };
        self.leave(turn);
        self.record(now, bytes as u64);
        Verdict::Write(bytes)
    }

    fn piece_bytes(&self) -> usize {
        let bytes = self.rate.bytes_in(PIECE_TIME) as u64;
        let (min, max) = PIECE_BYTES;
        bytes.clamp(min, max) as usize
    }
}
