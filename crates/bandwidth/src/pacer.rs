//! Decides when a piece of a long answer may be written.

use std::collections::{BinaryHeap, VecDeque};
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
/// Age by which an answer should be complete.
const GOAL: Duration = Duration::from_secs(2);
/// A piece that has waited this long is overdue: it goes before others, and is written although the
/// backlog is long. Each long answer should get a piece every 100 ms; the rest of that time is for
/// the backlog and for others that are overdue.
const OVERDUE: Duration = Duration::from_millis(70);
/// Overdue pieces between two pieces in order.
const MAX_OVERDUE_RUN: u32 = 6;
/// Bytes of a piece that goes before others because it is overdue. With more, many answers that wait
/// would share the link evenly, and large ones would miss their goal.
const OVERDUE_BYTES: usize = 300;
/// Pieces that are written although the backlog is long take at most one part in this many of the
/// link. Without the bound, many long answers would fill the link with them, and urgent answers
/// would wait.
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

/// A piece that waits.
#[derive(Debug)]
struct Piece {
    turn: Turn,
    since: Instant,
    /// When its answer began.
    began: Instant,
    /// Bytes of its answer that are known to be left.
    left: u64,
}

impl Piece {
    /// Time until its answer should be complete.
    fn remaining(&self, now: Instant) -> Duration {
        GOAL.saturating_sub(now.saturating_duration_since(self.began))
    }
}

/// The backlog of a link, and the queue of the long answers that want to write.
#[derive(Debug)]
pub struct Pacer {
    rate: Bandwidth,
    /// Bytes written and not yet sent by the link at `updated`.
    backlog: f64,
    updated: Instant,
    /// Pieces in the order in which their answers began.
    queue: VecDeque<Piece>,
    /// The piece that is next. It stays the next one until it ends or another joins before it, because the
    /// others don't wake by themselves.
    front: Option<Turn>,
    /// Whether the next piece goes before others because it is overdue.
    is_overdue: bool,
    /// Overdue pieces that went before others since the last one in order.
    overdue_run: u32,
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
            is_overdue: false,
            overdue_run: 0,
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

    /// Queues the next piece of a long answer, which began at `began`.
    pub fn join(&mut self, now: Instant, began: Instant) -> Turn {
        let turn = Turn(self.next_turn);
        self.next_turn += 1;
        let at = self.queue.partition_point(|other| other.began <= began);
        let piece = Piece {
            turn,
            since: now,
            began,
            left: 0,
        };
        self.queue.insert(at, piece);
        self.front = self.front.or(Some(turn));
        turn
    }

    /// Tells how many bytes are left of the answer of a piece that has just joined. The piece becomes the
    /// next one if it goes before the one that is, unless that is overdue.
    pub fn expect(&mut self, now: Instant, turn: Turn, left: u64) {
        if let Some(piece) = self.queue.iter_mut().find(|piece| piece.turn == turn) {
            piece.left = left;
        }
        if !self.is_overdue && self.first(now) == Some(turn) {
            self.front = Some(turn);
        }
    }

    /// Removes a piece that will not be written.
    pub fn leave(&mut self, now: Instant, turn: Turn) {
        let Some(at) = self.queue.iter().position(|other| other.turn == turn) else {
            return;
        };
        self.queue.remove(at);
        if self.front == Some(turn) {
            self.front = self.select(now);
        }
    }

    /// Number of pieces that wait.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// The piece that is next.
    pub fn next(&self) -> Option<Turn> {
        self.front
    }

    fn select(&mut self, now: Instant) -> Option<Turn> {
        let longest = self.queue.iter().min_by_key(|piece| piece.since);
        let overdue = longest.filter(|piece| now >= piece.since + OVERDUE);
        let overdue = overdue.filter(|_| self.overdue_run < MAX_OVERDUE_RUN);
        let overdue = overdue.map(|piece| piece.turn);
        let next = overdue.or_else(|| self.first(now));
        self.is_overdue = overdue.is_some();
        self.overdue_run = match self.is_overdue {
            true => self.overdue_run + 1,
            false => 0,
        };
        next
    }

    /// The first piece in order. Of the answers that can be complete in time, the one that began first goes
    /// first; where not all can, the longest are given up until the others can (Moore and Hodgson), which
    /// leaves the fewest late. Those that are given up come behind the others.
    fn first(&self, now: Instant) -> Option<Turn> {
        let mut in_time = BinaryHeap::new();
        let mut busy = self.backlog(now);
        for (index, piece) in self.queue.iter().enumerate() {
            let time = self.rate.time_of_bytes(piece.left as f64);
            busy += time;
            in_time.push((time, index));
            while busy >= piece.remaining(now)
                && let Some((longest, _)) = in_time.pop()
            {
                busy -= longest;
            }
        }
        let indices = in_time.iter().map(|(_, index)| *index);
        let first = self.queue.get(indices.min().unwrap_or(0));
        first.map(|piece| piece.turn)
    }

    /// Asks to write a piece of an answer that has `bytes` left.
    pub fn claim(&mut self, now: Instant, turn: Turn, bytes: usize) -> Verdict {
        if self.front != Some(turn) {
            return Verdict::Queued;
        }
        let piece = self.queue.iter().find(|piece| piece.turn == turn);
        let Some(piece) = piece else {
            return Verdict::Queued;
        };
        let missed = piece.remaining(now).is_zero();
        let since = piece.since;
        let backlog = self.backlog(now);
        let overdue_at = (since + OVERDUE).max(self.next_overdue);
        if backlog >= MAX_BACKLOG && now < overdue_at {
            // A nanosecond more, because the backlog must be under the bound.
            let short_at = now + (backlog - MAX_BACKLOG) + Duration::from_nanos(1);
            return Verdict::Until(short_at.min(overdue_at));
        }
        let bytes = match self.is_overdue && !missed {
            true => bytes.min(OVERDUE_BYTES),
            false => bytes.min(self.piece_bytes()),
        };
        if backlog >= MAX_BACKLOG {
            let time = self.rate.time_of_bytes(bytes as f64);
            self.next_overdue = now + time * OVERDUE_SHARE;
        }
        self.leave(now, turn);
        self.record(now, bytes as u64);
        Verdict::Write(bytes)
    }

    fn piece_bytes(&self) -> usize {
        let bytes = self.rate.bytes_in(PIECE_TIME) as u64;
        let (min, max) = PIECE_BYTES;
        bytes.clamp(min, max) as usize
    }
}
