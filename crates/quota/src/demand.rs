//! The demand of a workspace over the fleet, against its rate and burst.

use std::time::Duration;

use workspace::Quota;

use crate::Moment;

/// The time over which the demand of a borrower is averaged.
const AVERAGE: Duration = Duration::from_secs(5);

/// The most of the demand above the quota that is remembered, in seconds of the rate. The workspace is
/// paced until that much less than its rate was asked for.
const MAX_DEBT: f64 = 0.25;

/// The part of the burst that has to be spent before a workspace is paced, and what of it has to come
/// back before it is paced no more.
const SEEN_PART: f64 = 0.5;
const LEFT_PART: f64 = 0.2;

/// How many times the deviation of the requests of a window has to be spent at least.
const SEEN_NOISE: f64 = 3.0;

/// How much later than the requests the reports of a sudden demand come.
const REPORT_LAG: Duration = Duration::from_millis(200);

/// A token bucket that counts all requests that came, admitted or not.
#[derive(Debug)]
pub(crate) struct Demand {
    level: f64,
    at: Option<Moment>,
    is_over: bool,
    /// When the burst was whole last.
    whole: Moment,
    /// What may be lent to borrowers that have no pace of their own.
    credit: f64,
}

impl Demand {
    pub(crate) fn new() -> Demand {
        Demand {
            level: 0.0,
            at: None,
            is_over: false,
            whole: Moment::START,
            credit: 0.0,
        }
    }

    /// Counts `tried` requests of a workspace of `limit` tokens, of whose demand the part `slow` has no
    /// pace of its own.
    pub(crate) fn count(&mut self, now: Moment, tried: u32, quota: &Quota, limit: u32, slow: f64) {
        let (rate, burst) = (quota.rate.per_second(), f64::from(quota.burst));
        // Demand below the rate exceeds the bucket now and then by as much as it varies in a window.
        let noise = f64::from(limit).sqrt();
        let refill = self
            .at
            .map_or(burst, |at| rate * now.since(at).as_secs_f64());
        self.at = Some(now);
        self.level = (self.level + refill).min(burst);
        if self.level >= burst {
            self.whole = now;
        }
        self.level = (self.level - f64::from(tried)).max(-noise - MAX_DEBT * rate);
        self.credit = (self.credit + refill * slow).min((burst * slow).max(1.0));
        let was_over = self.is_over;
        // Part of the burst is left when borrowers hear of it, and is kept for them by their pace.
        let most = (burst * SEEN_PART)
            .max(SEEN_NOISE * noise)
            .min(burst + noise);
        let kept = if was_over { burst * LEFT_PART } else { 0.0 };
        self.is_over = burst - self.level > most - kept;
        if self.is_over && !was_over {
            // The requests that showed it have been admitted.
            self.credit = self.level * slow;
        }
    }

    /// The time since when requests count against the burst.
    pub(crate) fn since(&self, now: Moment) -> Duration {
        now.since(self.whole) + REPORT_LAG
    }

    /// The tokens that may be lent for single requests now.
    pub(crate) fn credit(&self) -> u32 {
        self.credit.max(0.0) as u32
    }

    /// Counts tokens lent for single requests.
    pub(crate) fn lend(&mut self, count: u32) {
        self.credit -= f64::from(count);
    }

    /// Whether more was asked for than the quota gives.
    pub(crate) fn is_over(&self) -> bool {
        self.is_over
    }
}

/// The requests a second of one borrower, averaged over its reports.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Load {
    rate: f64,
    at: Moment,
}

impl Load {
    /// The load by a first report.
    pub(crate) fn new(now: Moment, tried: u32) -> Load {
        Load {
            rate: f64::from(tried) / AVERAGE.as_secs_f64(),
            at: now,
        }
    }

    pub(crate) fn count(&mut self, now: Moment, tried: u32) {
        self.rate = self.rate(now) + f64::from(tried) / AVERAGE.as_secs_f64();
        self.at = now;
    }

    /// Requests a second, less for each moment without a report.
    pub(crate) fn rate(&self, now: Moment) -> f64 {
        let elapsed = now.since(self.at).as_secs_f64();
        self.rate * (-elapsed / AVERAGE.as_secs_f64()).exp()
    }
}
