//! The tokens of one workspace at one borrower.

use std::collections::VecDeque;
use std::time::Duration;

use serde::Serialize;

use crate::message::AGE_UNIT;
use crate::pacer::Pacer;
use crate::{Age, Item, LEASE, Moment, Pace, RENEWAL, Reply};

/// The inverse of the part of the tokens spent by which a borrower asks for more.
const HEADROOM: u32 = 4;

/// Refused requests are counted together over this time.
const REFUSED_STEP: Duration = Duration::from_millis(250);

/// The time over which the present pace of requests is measured, and the fewest requests that show it.
const PACE_PERIOD: Duration = Duration::from_secs(1);
const MIN_PACE: u32 = 3;

/// How long a pace counts after the ask that it answers. An allocator that is lost for longer can't
/// tell that the demand has fallen.
const PACE_LIFE: Duration = Duration::from_millis(2_500);

/// The fewest unreported requests that are reported at once.
const MIN_SURGE: u64 = 2;

/// The time for whose requests a daemon under a pace keeps tokens. Ones that lie idle for longer are
/// missing elsewhere, as the pace uses the whole limit in the first window.
const PACED_AHEAD: Duration = Duration::from_millis(250);

/// What a daemon has counted of a workspace.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Usage {
    /// The limit of the whole fleet by the configuration in force.
    pub limit: u32,
    /// Tokens held from loans.
    pub lent: u32,
    /// Tokens of this daemon's even share.
    pub share: u32,
    /// Requests admitted within the last window.
    pub spent: u32,
    /// Requests refused within the last window.
    pub refused: u32,
    /// Requests admitted since the start of the process.
    pub admitted_total: u64,
    /// Requests refused since the start of the process.
    pub refused_total: u64,
}

#[derive(Debug, Clone, Copy)]
struct Returned {
    spent: Moment,
    /// The number of the first ask that named it.
    named: Option<u64>,
    /// Whether the allocator has been told.
    is_told: bool,
}

/// The tokens of one workspace.
///
/// A token has no identifier. Each request admitted within the window stands in `spent` and occupies
/// one token; the others are free.
#[derive(Debug)]
pub(crate) struct Purse {
    /// The moment to which the purse was brought last.
    at: Moment,
    /// The limit of the fleet by the configuration in force here.
    limit: u32,
    /// Tokens of the even share.
    share: u32,
    window: Duration,
    /// Tokens held from loans.
    held: u32,
    /// The last reply: the tokens lent, and the limit by which they were.
    lent: u32,
    lent_by: u32,
    /// When the lease ends.
    ends: Moment,
    /// When the tokens in use were spent, in their order.
    spent: VecDeque<Moment>,
    /// Tokens that were given up within the window after they had been spent.
    returned: Vec<Returned>,
    refused: VecDeque<(Moment, u32)>,
    /// Requests that wait for a token.
    pub(crate) waiting: u32,
    /// The allocator has nothing to lend until then.
    again: Moment,
    /// What the ask under way says of this workspace.
    asked: Option<(u64, u32)>,
    /// The totals of requests at the last answered ask, and at the one under way.
    reported: u64,
    asked_total: u64,
    /// Spreads the first requests of daemons under a pace.
    phase: f64,
    pacer: Option<Pacer>,
    /// Until then each request takes a token from the allocator, which keeps the pace.
    slow_until: Moment,
    /// Tokens that were lent for single requests and are not spent yet.
    single: u32,
    admitted_total: u64,
    refused_total: u64,
}

impl Purse {
    pub(crate) fn new(limit: u32, share: u32, phase: f64) -> Purse {
        Purse {
            at: Moment::START,
            limit,
            share,
            window: Duration::ZERO,
            held: 0,
            lent: 0,
            lent_by: 0,
            ends: Moment::START,
            spent: VecDeque::new(),
            returned: Vec::new(),
            refused: VecDeque::new(),
            waiting: 0,
            again: Moment::START,
            asked: None,
            reported: 0,
            asked_total: 0,
            phase,
            pacer: None,
            slow_until: Moment::START,
            single: 0,
            admitted_total: 0,
            refused_total: 0,
        }
    }

    /// Brings the purse to `now`, with the limit and the even share that apply then.
    pub(crate) fn advance(&mut self, now: Moment, window: Duration, limit: u32, share: u32) {
        let is_out = |spent: &Moment| *spent + window <= now;
        while self.spent.front().is_some_and(is_out) {
            self.spent.pop_front();
        }
        self.returned.retain(|returned| !is_out(&returned.spent));
        while self
            .refused
            .front()
            .is_some_and(|(at, _)| *at + window <= now)
        {
            self.refused.pop_front();
        }
        self.at = now;
        self.window = window;
        self.limit = limit;
        self.share = share;
        if self.held > 0 && now >= self.ends {
            // The allocator counts the tokens as lent until all requests admitted under the loan have
            // left the window, so those of the even share are the ones not spent lately.
            let hot = self.spent.len().min(self.held as usize);
            let kept = self.spent.len() - hot;
            let hot = self.spent.split_off(kept);
            self.push_returned(hot);
            self.held = 0;
        }
        let most = self.scaled(self.lent);
        if self.held > most {
            self.give_up(self.held - most);
        }
    }

    /// The part of `tokens` lent by the allocator's limit that counts under the limit in force here.
    fn scaled(&self, tokens: u32) -> u32 {
        match self.limit < self.lent_by {
            true => (u64::from(tokens) * u64::from(self.limit) / u64::from(self.lent_by)) as u32,
            false => tokens,
        }
    }

    /// Gives tokens back: free ones first, then those that will be free first.
    fn give_up(&mut self, count: u32) {
        let count = count.min(self.held);
        let free = (self.held + self.share).saturating_sub(self.spent.len() as u32);
        let hot = count.saturating_sub(free) as usize;
        let given: Vec<Moment> = self.spent.drain(..hot.min(self.spent.len())).collect();
        self.push_returned(given);
        self.held -= count;
    }

    fn push_returned(&mut self, spent: impl IntoIterator<Item = Moment>) {
        let returned = spent.into_iter().map(|spent| Returned {
            spent,
            named: None,
            is_told: false,
        });
        self.returned.extend(returned);
    }

    /// Takes a token if one is free.
    pub(crate) fn take(&mut self, now: Moment) -> bool {
        if self.spent.len() as u32 >= self.held + self.share || !self.pace_left(now).is_zero() {
            return false;
        }
        if now < self.slow_until {
            if self.single == 0 {
                return false;
            }
            self.single -= 1;
        }
        if let Some(pacer) = &mut self.pacer {
            pacer.take();
        }
        self.spent.push_back(now);
        self.admitted_total += 1;
        true
    }

    /// How long the pace allows no request; zero if it allows one.
    pub(crate) fn pace_left(&mut self, now: Moment) -> Duration {
        let Some(pacer) = self.pacer.as_mut().filter(|pacer| pacer.counts(now)) else {
            self.pacer = None;
            return Duration::ZERO;
        };
        match pacer.has_credit(now) {
            true => Duration::ZERO,
            false => pacer.next(now),
        }
    }

    /// Frees the token that was spent at `at` by a request that has not run. It stays spent if it was
    /// given up since.
    pub(crate) fn refund(&mut self, at: Moment) {
        if let Ok(place) = self.spent.binary_search(&at) {
            self.spent.remove(place);
        }
        if let Some(pacer) = &mut self.pacer {
            pacer.refund();
        }
        self.admitted_total = self.admitted_total.saturating_sub(1);
    }

    pub(crate) fn refuse(&mut self, now: Moment) {
        self.refused_total += 1;
        match self.refused.back_mut() {
            Some((at, count)) if now.since(*at) < REFUSED_STEP => *count += 1,
            _ => self.refused.push_back((now, 1)),
        }
    }

    /// How long the allocator has nothing to lend; zero if it may be asked.
    pub(crate) fn again(&self, now: Moment) -> Duration {
        self.again.since(now)
    }

    /// When the next token of this daemon comes free by itself.
    pub(crate) fn next_free(&self, now: Moment, window: Duration) -> Option<Duration> {
        let tokens = (self.held + self.share) as usize;
        // With fewer tokens than requests in the window, several have to leave it first.
        let place = (tokens > 0).then(|| self.spent.len().saturating_sub(tokens))?;
        let spent = self.spent.get(place)?;
        Some((*spent + window).since(now))
    }

    fn refused(&self) -> u32 {
        self.refused.iter().map(|(_, count)| count).sum()
    }

    /// The number of tokens from loans that this daemon needs.
    ///
    /// A workspace with fewer than two requests in the window is not expected to send another one
    /// here, so its token is of more use elsewhere.
    fn want(&self) -> u32 {
        let arrived = self.spent.len() as u32 + self.refused() + self.waiting;
        let need = match arrived {
            0 | 1 => self.waiting,
            _ if self.at < self.slow_until => self.waiting,
            _ => arrived
                .saturating_add(arrived / HEADROOM)
                .max(self.expected()),
        };
        // The first daemons to see a sudden demand would otherwise get the tokens of a whole window, and
        // others none.
        let most = self.held + self.share + self.waiting + 1 + self.held / HEADROOM;
        let need = need.min(most);
        // More than the pace allows would lie idle here.
        let need = match &self.pacer {
            Some(pacer) if pacer.counts(self.at) => need.min(self.paced_need(pacer)),
            _ => need,
        };
        let want = need.saturating_sub(self.share);
        match self.waiting {
            0 => want.min(self.limit),
            waiting => want.max(self.held + waiting).min(self.limit),
        }
    }

    /// The tokens that are in use or needed soon.
    fn paced_need(&self, pacer: &Pacer) -> u32 {
        let start = (self.at + PACED_AHEAD).before(self.window);
        let hot = self
            .spent
            .iter()
            .rev()
            .take_while(|spent| **spent > start)
            .count();
        let spent = self.spent.len() as u32;
        spent.max(hot as u32 + pacer.admits(PACED_AHEAD))
    }

    /// The requests of a window at the pace of the last second, where that is known well enough.
    fn expected(&self) -> u32 {
        let start = self.at.before(PACE_PERIOD);
        let spent = self
            .spent
            .iter()
            .rev()
            .take_while(|spent| **spent > start)
            .count() as u32;
        let refused = self.refused.iter().rev().take_while(|(at, _)| *at > start);
        let refused: u32 = refused.map(|(_, count)| count).sum();
        let recent = spent + refused + self.waiting;
        match recent < MIN_PACE {
            true => 0,
            false => {
                (f64::from(recent) * self.window.as_secs_f64() / PACE_PERIOD.as_secs_f64()) as u32
            }
        }
    }

    /// When the loan should be renewed, after an ask at `last` and with `renewal` between asks; `None` if
    /// there is nothing to say.
    ///
    /// Tokens that were spent and are not needed again can't be lent before the window has passed, so
    /// they need not be returned long before.
    pub(crate) fn renew_at(&self, last: Moment, renewal: Duration) -> Option<Moment> {
        if !self.has_news() {
            return None;
        }
        let regular = last + renewal;
        let is_cold = (self.spent.len() as u32) < self.held + self.share;
        if self.want() > 0 || self.has_untold() || is_cold {
            return Some(regular);
        }
        let hot = self.spent.front().map(|spent| *spent + self.window);
        let due = hot.map_or(regular, |hot| hot.min(self.ends).before(RENEWAL));
        Some(due.max(regular))
    }

    /// Whether an ask should be sent at once.
    pub(crate) fn is_urgent(&self, now: Moment) -> bool {
        (self.waiting > 0 && now >= self.again) || self.has_surge(now)
    }

    /// Whether more requests have come since the last report than are expected in a renewal. The
    /// allocator has to hear of a sudden demand before the burst is spent.
    pub(crate) fn has_surge(&self, now: Moment) -> bool {
        let is_paced = self.pacer.is_some_and(|pacer| pacer.counts(now)) || now < self.slow_until;
        let total = self.admitted_total + self.refused_total;
        let unreported = total.saturating_sub(self.reported.max(self.asked_total));
        let renewals = (self.window.as_millis() / RENEWAL.as_millis()).max(1) as u64;
        !is_paced && unreported >= MIN_SURGE.max((self.spent.len() as u64).div_ceil(renewals))
    }

    fn has_untold(&self) -> bool {
        self.returned.iter().any(|returned| !returned.is_told)
    }

    /// Names all returned tokens of the window again, and ignores an answer under way.
    pub(crate) fn tell_again(&mut self) {
        self.asked = None;
        for returned in &mut self.returned {
            returned.named = None;
            returned.is_told = false;
        }
    }

    /// Whether an ask has anything to say of this workspace.
    pub(crate) fn has_news(&self) -> bool {
        self.held > 0 || self.has_untold() || self.want() > 0
    }

    /// Whether nothing would be lost with this purse but its totals.
    pub(crate) fn is_idle(&self) -> bool {
        let is_unused = self.spent.is_empty() && self.refused.is_empty();
        !self.has_news() && is_unused && self.returned.is_empty()
    }

    /// What ask `number` says. Tokens that are not needed are given up with it.
    pub(crate) fn item(&mut self, now: Moment, number: u64) -> (u32, u32, Vec<Age>) {
        let mut want = self.want();
        if now < self.slow_until {
            // Spent ones, so that those lent for requests that still wait are kept.
            let kept = self.single.min(self.held);
            let hot = (self.held - kept).min(self.spent.len() as u32) as usize;
            let given: Vec<Moment> = self.spent.drain(..hot).collect();
            self.push_returned(given);
            self.held = kept;
            want = (kept + self.waiting).min(self.limit);
        } else if want < self.held {
            self.give_up(self.held - want);
        }
        let mut returned: Vec<Age> = Vec::new();
        for entry in self.returned.iter_mut().filter(|entry| !entry.is_told) {
            entry.named.get_or_insert(number);
            let age = now.since(entry.spent).as_millis() / AGE_UNIT.as_millis();
            let age = u16::try_from(age).unwrap_or(u16::MAX);
            match returned.last_mut() {
                Some(last) if last.age == age => last.count += 1,
                _ => returned.push(Age { age, count: 1 }),
            }
        }
        self.asked = Some((number, self.held));
        self.asked_total = self.admitted_total + self.refused_total;
        (self.held, want.max(self.held), returned)
    }

    /// Takes in the reply to ask `number`, which was sent at `sent`. Returns the number of tokens that
    /// came.
    pub(crate) fn answered(
        &mut self,
        now: Moment,
        number: u64,
        sent: Moment,
        reply: &Reply,
    ) -> u32 {
        let Some((_, held)) = self.asked.take_if(|(asked, _)| *asked == number) else {
            return 0;
        };
        self.reported = self.asked_total;
        self.set_pace(now, sent, reply.pace);
        for entry in &mut self.returned {
            entry.is_told |= entry.named.is_some_and(|named| named <= number);
        }
        self.lent = reply.lent;
        self.lent_by = reply.limit;
        self.ends = sent + LEASE;
        self.again = now + Duration::from_millis(u64::from(reply.again_ms));
        let before = self.held;
        // Tokens given up since the ask was sent stay given up: they may have been spent lately.
        self.held += reply.lent.saturating_sub(held);
        let most = self.scaled(reply.lent);
        if self.held > most {
            self.give_up(self.held - most);
        }
        let came = self.held.saturating_sub(before);
        self.single = match now < self.slow_until {
            true => (self.single + came).min(self.held),
            false => 0,
        };
        came
    }

    fn set_pace(&mut self, now: Moment, sent: Moment, pace: Option<Pace>) {
        let until = sent + PACE_LIFE;
        self.slow_until = match pace {
            Some(Pace::Slow) => until,
            _ => Moment::START,
        };
        let Some(Pace::Share {
            rate,
            burst,
            since_ms,
        }) = pace
        else {
            self.pacer = None;
            return;
        };
        let pace = (rate, burst);
        let since = Duration::from_millis(u64::from(since_ms)) + now.since(sent);
        match &mut self.pacer {
            Some(pacer) => pacer.set(now, pace, until),
            None => {
                let start = now.before(since);
                let spent = self.spent.iter().rev().take_while(|spent| **spent >= start);
                let spent = spent.count();
                self.pacer = Some(Pacer::new(now, pace, until, self.phase, since, spent));
            }
        }
    }

    pub(crate) fn usage(&self) -> Usage {
        Usage {
            limit: self.limit,
            lent: self.held,
            share: self.share,
            spent: self.spent.len() as u32,
            refused: self.refused(),
            admitted_total: self.admitted_total,
            refused_total: self.refused_total,
        }
    }

    /// Builds the item of an ask.
    pub(crate) fn ask(&mut self, now: Moment, number: u64, workspace: &unit::Workspace) -> Item {
        let (held, want, returned) = self.item(now, number);
        let tried = self.asked_total.saturating_sub(self.reported);
        Item {
            workspace: workspace.clone(),
            held,
            want,
            tried: u32::try_from(tried).unwrap_or(u32::MAX),
            returned,
        }
    }
}
