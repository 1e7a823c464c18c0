//! The tokens of one workspace at its allocator.

use std::collections::BTreeMap;
use std::time::Duration;

use workspace::Quota;

use crate::demand::{Demand, Load};
use crate::message::AGE_UNIT;
use crate::{Age, Holding, Item, LEASE, Member, Moment, Pace, RENEWAL, Reply, Setting, fill};

/// The shortest time for which a borrower is told not to ask again.
const MIN_AGAIN: Duration = Duration::from_millis(20);

/// How long a level of water filling is used before it is computed again. At 1,800 borrowers of one
/// workspace this bounds the sorting to ten times a second.
const LEVEL_AGE: Duration = Duration::from_millis(100);

/// A workspace is paced only while less than one part in this many of its tokens is free.
const PACED_BELOW: u32 = 4;

/// How long a borrower under a pace is told not to ask again while all tokens are in use.
const PACED_AGAIN: Duration = Duration::from_millis(200);

/// The tokens that wait at a borrower under a pace, on average.
const IDLE_TOKENS: f64 = 0.1;
const MIN_USABLE: f64 = 0.8;

/// What a borrower gets of its part at least while others have more than theirs.
const MIN_PART: f64 = 0.5;

/// The asks for each token that is lent for a single request.
const SLOW_ASKS: f64 = 4.0;

/// The fewest requests in a window at which a borrower keeps the pace of its part by itself.
const MIN_SHARE: f64 = 2.0;

/// What one borrower may hold.
#[derive(Debug, Clone, Copy)]
struct Loan {
    /// The most tokens that it may hold now.
    out: u32,
    /// The tokens that it will hold once it has taken in the last reply.
    target: u32,
    /// The tokens that it needs.
    want: u32,
    /// When the last reply's lease ends at the latest.
    ends: Moment,
    /// When the last request admitted under the loan has left the window.
    frees: Moment,
    /// The requests that come there.
    load: Load,
    /// Its part in rate and burst while it is under a pace.
    part: f64,
}

/// The limit of a workspace, as the allocator's configuration gives it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Terms {
    pub(crate) quota: Quota,
    pub(crate) limit: u32,
    pub(crate) lendable: u32,
    /// The even share of each daemon.
    pub(crate) share: u32,
    pub(crate) margin: u32,
}

/// What an allocator may lend before all loans of its predecessor have ended.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Takeover {
    /// When they have ended.
    pub(crate) until: Moment,
    /// Whether the margin may be lent until then.
    pub(crate) margin: bool,
}

/// The tokens of one workspace.
#[derive(Debug)]
pub(crate) struct Pool {
    takeover: Option<Takeover>,
    /// Tokens of the predecessor that borrowers have reported.
    adopted: u32,
    loans: BTreeMap<Member, Loan>,
    /// Returned tokens by the moment at which they may be lent again.
    cooling: BTreeMap<Moment, u32>,
    /// Tokens that were returned to the predecessor, likewise. They count once the takeover has ended.
    foreign: BTreeMap<Moment, u32>,
    level: Option<u32>,
    level_at: Option<Moment>,
    demand: Demand,
}

impl Pool {
    pub(crate) fn new(takeover: Option<Takeover>) -> Pool {
        Pool {
            takeover,
            adopted: 0,
            loans: BTreeMap::new(),
            cooling: BTreeMap::new(),
            foreign: BTreeMap::new(),
            level: None,
            level_at: None,
            demand: Demand::new(),
        }
    }

    /// Tokens that are lent or not yet free.
    pub(crate) fn used(&self) -> u32 {
        self.lent() + self.cooling()
    }

    /// Ends the takeover earlier, if all loans of the predecessor are known. Tokens that were returned to
    /// the predecessor count from then on.
    pub(crate) fn set_takeover(&mut self, now: Moment, takeover: Option<Takeover>) {
        if let (Some(old), Some(new)) = (&mut self.takeover, takeover) {
            old.until = old.until.min(new.until);
        }
        if !self.takes_over(now) {
            for (free, count) in std::mem::take(&mut self.foreign) {
                self.cool(free, count);
            }
        }
    }

    /// Whether no more is lent or cooling than the allocator lends without the margin.
    pub(crate) fn is_within(&self, lendable: u32) -> bool {
        self.used() <= lendable
    }

    /// Tokens that borrowers may hold.
    pub(crate) fn lent(&self) -> u32 {
        self.loans.values().map(|loan| loan.out).sum()
    }

    fn cooling(&self) -> u32 {
        self.cooling.values().sum()
    }

    /// Whether loans of a predecessor may still count.
    pub(crate) fn takes_over(&self, now: Moment) -> bool {
        self.takeover.is_some_and(|takeover| now < takeover.until)
    }

    /// The number of tokens that may be lent or cooling.
    fn ceiling(&self, now: Moment, terms: &Terms) -> u32 {
        match self.takeover.filter(|takeover| now < takeover.until) {
            Some(takeover) => {
                let margin = if takeover.margin { terms.margin } else { 0 };
                let most = terms.lendable + terms.margin;
                self.adopted.saturating_add(margin).min(most)
            }
            None => terms.lendable,
        }
    }

    pub(crate) fn expire(&mut self, now: Moment) {
        self.loans.retain(|_, loan| now < loan.frees);
        self.cooling.retain(|free, _| now < *free);
        self.foreign.retain(|free, _| now < *free);
    }

    fn cool(&mut self, until: Moment, count: u32) {
        if count > 0 {
            *self.cooling.entry(until).or_default() += count;
        }
    }

    /// Tokens that the borrower no longer holds. The most recently spent ones that it names are taken
    /// for these, as it may name some that were returned before.
    fn take_back(&mut self, now: Moment, mut freed: u32, returned: &[Age], window: Duration) {
        let takes_over = self.takes_over(now);
        let mut ages = returned.to_vec();
        ages.sort_by_key(|age| age.age);
        for age in ages {
            let count = age.count.min(freed);
            freed -= count;
            let left = window.saturating_sub(AGE_UNIT * u32::from(age.age));
            if !left.is_zero() {
                self.cool(now + left, count);
                if takes_over && age.count > count {
                    *self.foreign.entry(now + left).or_default() += age.count - count;
                }
            }
        }
    }

    pub(crate) fn ask(
        &mut self,
        now: Moment,
        borrower: &Member,
        item: &Item,
        terms: &Terms,
        setting: &Setting,
    ) -> Reply {
        self.expire(now);
        let before = self.loans.get(borrower).map_or(0, |loan| loan.out);
        if item.held > before && self.takes_over(now) {
            self.adopted = self.adopted.saturating_add(item.held - before);
        }
        let freed = before.saturating_sub(item.held);
        self.take_back(now, freed, &item.returned, setting.window);
        let mut load = Load::new(now, item.tried);
        let mut part = 0.0;
        if let Some(loan) = self.loans.get(borrower) {
            (load, part) = (loan.load, loan.part);
            load.count(now, item.tried);
        }
        let loan = Loan {
            out: item.held,
            target: item.held,
            want: item.want,
            ends: now + LEASE,
            frees: now + setting.loan_span(),
            load,
            part,
        };
        self.loans.insert(borrower.clone(), loan);
        let (part, slow) = self.parts(now, &load, terms, setting);
        self.demand
            .count(now, item.tried, &terms.quota, terms.limit, slow);
        let part = self.fair_part(borrower, part);
        let pace = self.pace(now, part, terms, setting);
        if let Some(loan) = self.loans.get_mut(borrower) {
            loan.part = if pace.is_some() { part } else { 0.0 };
        }
        let credit = match pace {
            Some(Pace::Slow) => self.demand.credit(),
            _ => u32::MAX,
        };
        let lent = self.grant(now, item, terms, credit);
        if let Some(Pace::Slow) = pace {
            self.demand.lend(lent.saturating_sub(item.held));
        }
        if let Some(loan) = self.loans.get_mut(borrower) {
            loan.target = lent;
            loan.out = lent.max(item.held);
        }
        let again = match lent < item.want {
            true if pace == Some(Pace::Slow) => self.slow_again(&terms.quota),
            true if pace.is_some() => PACED_AGAIN,
            true => self.again(now),
            false => Duration::ZERO,
        };
        Reply {
            workspace: item.workspace.clone(),
            lent,
            limit: terms.limit,
            again_ms: again.as_millis() as u16,
            pace,
        }
    }

    /// The part of a load in the demand of the workspace, and that of all borrowers whose part is too
    /// small to be kept by themselves.
    fn parts(&self, now: Moment, load: &Load, terms: &Terms, setting: &Setting) -> (f64, f64) {
        let rates = || self.loans.values().map(|loan| loan.load.rate(now));
        let total = rates().sum::<f64>().max(f64::MIN_POSITIVE);
        let tokens = terms.quota.rate.per_second() * setting.window.as_secs_f64();
        let slow: f64 = rates()
            .filter(|rate| tokens * rate / total < MIN_SHARE)
            .sum();
        (load.rate(now) / total, slow / total)
    }

    /// The part that a borrower gets beside what others have. While demand rises, reports of others are
    /// older, and the parts by the loads sum up to more than one.
    fn fair_part(&self, borrower: &Member, part: f64) -> f64 {
        let others = self.loans.iter().filter(|(other, _)| *other != borrower);
        let others: f64 = others.map(|(_, loan)| loan.part).sum();
        part.min((1.0 - others).max(part * MIN_PART))
    }

    /// The part of the limit that can be spent: even shares of daemons that send nothing, and tokens that
    /// wait at a borrower for its next request, can't. A bucket from its whole burst on uses all of the
    /// limit in the first window, so what can't be spent has to be missing evenly.
    fn usable(&self, terms: &Terms) -> f64 {
        let borrowers = self.loans.len() as f64;
        let tokens = f64::from(terms.lendable) + borrowers * (f64::from(terms.share) - IDLE_TOKENS);
        (tokens / f64::from(terms.limit.max(1))).clamp(MIN_USABLE, 1.0)
    }

    /// The pace of a borrower with `part` of the demand, while more is asked for than the quota gives.
    fn pace(&self, now: Moment, part: f64, terms: &Terms, setting: &Setting) -> Option<Pace> {
        let ceiling = self.ceiling(now, terms);
        let free = ceiling.saturating_sub(self.used());
        // While much is free, refusing what comes would cost callers what the quota gives them.
        if !self.demand.is_over() || free > ceiling / PACED_BELOW {
            return None;
        }
        let quota = &terms.quota;
        let since = self.demand.since(now).min(setting.window);
        let usable = match since < setting.window {
            true => self.usable(terms),
            false => 1.0,
        };
        let rate = quota.rate.per_second() * part * usable;
        if rate * setting.window.as_secs_f64() < MIN_SHARE {
            return Some(Pace::Slow);
        }
        Some(Pace::Share {
            rate: (rate * 1_000.0) as u32,
            burst: (f64::from(quota.burst) * part * usable * 1_000.0) as u32,
            since_ms: since.as_millis() as u16,
        })
    }

    fn grant(&mut self, now: Moment, item: &Item, terms: &Terms, credit: u32) -> u32 {
        let ceiling = self.ceiling(now, terms);
        // A level of whole tokens leaves some over, which go to those that ask first.
        let cap = self.level(now, ceiling).map_or(u32::MAX, |level| level + 1);
        let free = ceiling.saturating_sub(self.used()).min(credit);
        let want = item.want.max(item.held).min(cap);
        if want > item.held {
            return item.held + free.min(want - item.held);
        }
        let planned: u32 = self
            .loans
            .values()
            .map(|loan| loan.out.min(loan.target))
            .sum();
        let excess = (planned + self.cooling()).saturating_sub(ceiling);
        want.min(item.held.saturating_sub(excess))
    }

    fn level(&mut self, now: Moment, ceiling: u32) -> Option<u32> {
        if self.level_at.is_none_or(|at| now.since(at) >= LEVEL_AGE) {
            let asking = self.loans.values().filter(|loan| now < loan.ends);
            let demands = asking.map(|loan| loan.want).filter(|want| *want > 0);
            self.level = fill(demands.collect(), ceiling);
            self.level_at = Some(now);
        }
        self.level
    }

    /// The time between asks at which all borrowers ask for twice the rate together.
    fn slow_again(&self, quota: &Quota) -> Duration {
        let rate = SLOW_ASKS * quota.rate.per_second();
        let wait = self.loans.len() as f64 / rate.max(f64::MIN_POSITIVE);
        Duration::from_secs_f64(wait.min(RENEWAL.as_secs_f64())).max(MIN_AGAIN)
    }

    /// When the next token comes free, at most one renewal from now.
    fn again(&self, now: Moment) -> Duration {
        let next = self.cooling.keys().next();
        let wait = next.map_or(RENEWAL, |next| next.since(now));
        wait.clamp(MIN_AGAIN, RENEWAL)
    }

    pub(crate) fn holdings(&self) -> Vec<Holding> {
        let loans = self.loans.iter();
        loans
            .map(|(borrower, loan)| Holding {
                borrower: borrower.clone(),
                out: loan.out,
            })
            .collect()
    }

    pub(crate) fn cooling_ages(&self, now: Moment) -> Vec<Age> {
        let cooling = self.cooling.iter();
        cooling
            .map(|(free, count)| Age {
                age: free.since(now).as_millis().div_ceil(AGE_UNIT.as_millis()) as u16,
                count: *count,
            })
            .collect()
    }

    /// Takes the records of the predecessor, which ends the takeover. What borrowers have reported
    /// here is newer; tokens that they may have given up in between count as just spent.
    pub(crate) fn inherit(
        &mut self,
        now: Moment,
        holdings: &[Holding],
        cooling: &[Age],
        setting: &Setting,
    ) {
        self.expire(now);
        for age in cooling {
            self.cool(now + AGE_UNIT * u32::from(age.age), age.count);
        }
        let frees = now + setting.loan_span();
        for holding in holdings {
            match self.loans.get(&holding.borrower) {
                Some(loan) => {
                    let gap = holding.out.saturating_sub(loan.out);
                    self.cool(frees, gap);
                }
                None => {
                    let loan = Loan {
                        out: holding.out,
                        target: holding.out,
                        want: holding.out,
                        ends: now + LEASE,
                        frees,
                        load: Load::new(now, 0),
                        part: 0.0,
                    };
                    self.loans.insert(holding.borrower.clone(), loan);
                }
            }
        }
        // The records tell what was returned to the predecessor.
        self.foreign.clear();
        self.takeover = None;
    }
}
