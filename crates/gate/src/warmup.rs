//! Bounds how fast requests are sent to a target that is warming up.
//!
//! A cold target crashes if too many requests reach it within a second. All requests to a target
//! pass through its gate, so the gate can bound their number exactly, whichever entries they come
//! from. The load that this answers is the return of many targets at once, when callers retry.

use std::collections::VecDeque;
use std::time::Duration;

use serde::Serialize;
use tokio::time::Instant;

/// Length of the sliding window over which requests are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// What is known of the target's warm-up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Warmup {
    /// Nothing; the target is treated as cold.
    Unknown,
    /// The target is cold until this time.
    Until(Instant),
    /// The target is warm.
    Done,
}

/// The state of the bound, for dumps.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct ColdStart {
    /// Maximum number of requests in one second.
    pub max: usize,
    /// How many more may be sent now.
    pub room: usize,
}

/// Counts the requests sent to the target, and bounds them while it is cold.
///
/// A request counts from the moment it gets a slot until one second after it was sent. A request
/// that is held up in its connection thus counts when it arrives, so that no window of one second
/// sees more than the maximum, wherever it begins.
#[derive(Debug)]
pub(crate) struct Bound {
    /// Maximum number of requests in one window; `None` if cold targets need no bound.
    max: Option<usize>,
    warmup: Warmup,
    /// When the newest requests were sent, oldest first; at most `max` of them.
    sent: VecDeque<Instant>,
    /// Requests sent before the gate existed may count until this time.
    inherited_until: Option<Instant>,
}

impl Default for Bound {
    /// No bound, and a warm target.
    fn default() -> Bound {
        Bound {
            max: None,
            warmup: Warmup::Done,
            sent: VecDeque::new(),
            inherited_until: None,
        }
    }
}

impl Bound {
    pub(crate) fn set_max(&mut self, max: Option<usize>) {
        self.max = max;
        self.forget(self.sent.len().saturating_sub(max.unwrap_or(0)));
    }

    pub(crate) fn set_warmup(&mut self, warmup: Warmup) {
        self.warmup = warmup;
    }

    /// Assumes that a former gate has just sent as many requests as the bound allows.
    pub(crate) fn inherit(&mut self, now: Instant) {
        self.inherited_until = Some(now + WINDOW);
    }

    /// Records that no former gate has sent requests to the target while it was cold.
    pub(crate) fn no_former_starts(&mut self) {
        self.inherited_until = None;
    }

    /// Records that a request was sent.
    pub(crate) fn record_sent(&mut self, now: Instant) {
        self.sent.push_back(now);
        let in_window = |at: &Instant| now.saturating_duration_since(*at) <= WINDOW;
        let expired = self.sent.iter().take_while(|at| !in_window(at)).count();
        let surplus = self.sent.len().saturating_sub(self.max.unwrap_or(0));
        self.forget(expired.max(surplus));
    }

    fn forget(&mut self, count: usize) {
        self.sent.drain(..count);
    }

    /// Whether the bound applies now.
    fn max_now(&self, now: Instant) -> Option<usize> {
        let is_cold = match self.warmup {
            Warmup::Unknown => true,
            Warmup::Until(end) => now < end,
            Warmup::Done => false,
        };
        self.max.filter(|_| is_cold)
    }

    /// How many more requests may be sent now, if `unsent` have a slot and are not sent yet;
    /// `None` if there is no bound.
    pub(crate) fn room(&self, now: Instant, unsent: usize) -> Option<usize> {
        let max = self.max_now(now)?;
        if self.inherited_until.is_some_and(|until| now < until) {
            return Some(0);
        }
        let counts = |at: &&Instant| now.saturating_duration_since(**at) <= WINDOW;
        let sent = self.sent.iter().rev().take_while(counts).count();
        Some(max.saturating_sub(sent + unsent))
    }

    /// Whether one more request may be sent.
    pub(crate) fn has_room(&self, now: Instant, unsent: usize) -> bool {
        self.room(now, unsent) != Some(0)
    }

    /// How long the `nth` request from now has to wait for the bound.
    ///
    /// Requests that are not sent yet are expected to be sent at once.
    pub(crate) fn delay(&self, now: Instant, unsent: usize, nth: usize) -> Duration {
        let (Some(max), Some(room)) = (self.max_now(now), self.room(now, unsent)) else {
            return Duration::ZERO;
        };
        if nth <= room {
            return Duration::ZERO;
        }
        let end = match self.warmup {
            Warmup::Until(end) => end.saturating_duration_since(now),
            Warmup::Unknown | Warmup::Done => Duration::MAX,
        };
        self.expiry(now, max, nth - room).min(end)
    }

    /// Time until `count` of the requests that count now have left the window, and those that
    /// replace them too if `count` is larger than the window.
    fn expiry(&self, now: Instant, max: usize, count: usize) -> Duration {
        if max == 0 {
            return WINDOW;
        }
        let (rounds, place) = ((count - 1) / max, (count - 1) % max);
        let counts = |at: &&Instant| now.saturating_duration_since(**at) <= WINDOW;
        let inherited = self.inherited_until.filter(|until| now < *until);
        let sent_at = self.sent.iter().filter(counts).nth(place);
        let first = match (inherited, sent_at) {
            (Some(until), _) => until - now,
            (None, Some(at)) => (*at + WINDOW).saturating_duration_since(now),
            (None, None) => WINDOW,
        };
        first + WINDOW * u32::try_from(rounds).unwrap_or(u32::MAX)
    }

    /// When a waiting request may be sent, if the bound holds it up now.
    pub(crate) fn timer(&self, now: Instant, unsent: usize) -> Option<Instant> {
        // The window includes its end, so the next request fits just after it.
        let delay = self.delay(now, unsent, 1);
        (delay > Duration::ZERO).then(|| now + delay + Duration::from_millis(1))
    }

    pub(crate) fn dump(&self, now: Instant, unsent: usize) -> Option<ColdStart> {
        let (max, room) = (self.max_now(now)?, self.room(now, unsent)?);
        Some(ColdStart { max, room })
    }
}
