//! Counts the requests sent to the target over sliding windows.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Requests that were sent longer ago count in no window.
const MAX_AGE: Duration = Duration::from_secs(4);

/// Number of the newest requests that are remembered, if no window counts more.
const MIN_KEPT: usize = 64;

/// When requests were sent, oldest first.
#[derive(Debug, Default)]
pub(crate) struct Log {
    sent: VecDeque<Instant>,
}

impl Log {
    /// Records that a request was sent; `max` is the largest number that a window counts.
    pub(crate) fn record(&mut self, now: Instant, max: usize) {
        self.sent.push_back(now);
        let is_old = |at: &&Instant| now.saturating_duration_since(**at) > MAX_AGE;
        let old = self.sent.iter().take_while(is_old).count();
        let surplus = self.sent.len().saturating_sub(max.max(MIN_KEPT));
        self.sent.drain(..old.max(surplus));
    }
}

/// At most `max` requests in any span of `length`.
///
/// A request counts from the moment it gets a slot until `length` after it was sent. A request that
/// is held up in its connection thus counts when it arrives, so that no span sees more than the
/// maximum, wherever it begins.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Window {
    pub(crate) max: usize,
    pub(crate) length: Duration,
}

impl Window {
    /// How many more requests may be sent now, if `unsent` have a slot and are not sent yet.
    pub(crate) fn room(&self, now: Instant, log: &Log, unsent: usize) -> usize {
        self.max.saturating_sub(self.sent(now, log) + unsent)
    }

    /// Number of requests in the window that were sent.
    fn sent(&self, now: Instant, log: &Log) -> usize {
        let counts = |at: &&Instant| now.saturating_duration_since(**at) <= self.length;
        log.sent.iter().rev().take_while(counts).count()
    }

    /// How long the `nth` request from now has to wait. Requests that are not sent yet are expected
    /// to be sent at once.
    pub(crate) fn delay(&self, now: Instant, log: &Log, unsent: usize, nth: usize) -> Duration {
        let sent = self.sent(now, log);
        let room = self.max.saturating_sub(sent + unsent);
        if nth <= room {
            return Duration::ZERO;
        }
        if self.max == 0 {
            return self.length;
        }
        // If the window holds more than the maximum, the surplus has to leave it first.
        let surplus = (sent + unsent).saturating_sub(self.max);
        let (rounds, place) = ((nth - room - 1) / self.max, (nth - room - 1) % self.max);
        let oldest = log.sent.len() - sent;
        let first = log.sent.get(oldest + surplus + place);
        let first = first.map_or(self.length, |at| {
            (*at + self.length).saturating_duration_since(now)
        });
        first + self.length * u32::try_from(rounds).unwrap_or(u32::MAX)
    }
}
