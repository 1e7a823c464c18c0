//! When one allocator may be asked.

use std::collections::VecDeque;
use std::time::Duration;

use unit::Version;

use crate::{Moment, RENEWAL};

/// The most asks that an allocator gets from one daemon in [`RATE_PERIOD`].
const MAX_ASKS: usize = 5;
const RATE_PERIOD: Duration = Duration::from_secs(1);

/// How long an ask may go without an answer. Another one is sent then, and the answer is ignored.
const ASK_TIMEOUT: Duration = Duration::from_millis(500);

/// The time between two reports by a new list while its allocator does not know the list yet.
const REPORT_RETRY: Duration = Duration::from_millis(400);

/// What a borrower remembers of one allocator.
#[derive(Debug, Default)]
pub(crate) struct Contact {
    /// The ask under way, and when it was sent.
    pub(crate) open: Option<(u64, Moment)>,
    sent: VecDeque<Moment>,
    renewal: Option<Duration>,
    /// The list by which an ask was answered last.
    reported: Option<Version>,
}

impl Contact {
    pub(crate) fn is_open(&self, now: Moment) -> bool {
        self.open
            .is_some_and(|(_, sent)| now.since(sent) < ASK_TIMEOUT)
    }

    /// When the next ask may be sent at the earliest.
    pub(crate) fn free_at(&self) -> Moment {
        let open = self
            .open
            .map_or(Moment::START, |(_, sent)| sent + ASK_TIMEOUT);
        let full = (self.sent.len() >= MAX_ASKS)
            .then(|| self.sent.front())
            .flatten();
        full.map_or(open, |first| open.max(*first + RATE_PERIOD))
    }

    /// When the last ask was sent; the start if there was none.
    pub(crate) fn last_sent(&self) -> Moment {
        self.sent.back().copied().unwrap_or_default()
    }

    /// The time from one ask to the next while loans are kept.
    pub(crate) fn renewal(&self) -> Duration {
        self.renewal.unwrap_or(RENEWAL)
    }

    pub(crate) fn sent(&mut self, now: Moment, number: u64) {
        self.open = Some((number, now));
        self.sent.push_back(now);
        while self.sent.len() > MAX_ASKS {
            self.sent.pop_front();
        }
    }

    /// Ends the ask `number`; when it was sent, if it was the one under way.
    pub(crate) fn close(&mut self, number: u64) -> Option<Moment> {
        let (_, sent) = self.open.take_if(|(open, _)| *open == number)?;
        Some(sent)
    }

    pub(crate) fn set_reported(&mut self, list: Version) {
        self.reported = Some(list);
    }

    /// Whether the allocator has to be told what is held here by a new list.
    pub(crate) fn has_report(&self, now: Moment, list: Version) -> bool {
        let is_new = self.sent.is_empty() || now.since(self.last_sent()) >= REPORT_RETRY;
        self.reported != Some(list) && is_new
    }

    pub(crate) fn set_renewal(&mut self, renewal: Duration) {
        self.renewal = Some(renewal);
    }
}
