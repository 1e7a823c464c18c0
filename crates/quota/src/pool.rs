//! The tokens of one workspace at its allocator.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::message::AGE_UNIT;
use crate::{Age, Holding, Item, LEASE, Member, Moment, RENEWAL, Reply, Setting, fill};

/// The shortest time for which a borrower is told not to ask again.
const MIN_AGAIN: Duration = Duration::from_millis(20);

/// How long a level of water filling is used before it is computed again. At 1,800 borrowers of one
/// workspace this bounds the sorting to ten times a second.
const LEVEL_AGE: Duration = Duration::from_millis(100);

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
}

/// The limit of a workspace, as the allocator's configuration gives it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Terms {
    pub(crate) limit: u32,
    pub(crate) lendable: u32,
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
    level: Option<u32>,
    level_at: Option<Moment>,
}

impl Pool {
    pub(crate) fn new(takeover: Option<Takeover>) -> Pool {
        Pool {
            takeover,
            adopted: 0,
            loans: BTreeMap::new(),
            cooling: BTreeMap::new(),
            level: None,
            level_at: None,
        }
    }

    /// Tokens that are lent or not yet free.
    pub(crate) fn used(&self) -> u32 {
        self.lent() + self.cooling()
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
    }

    fn cool(&mut self, until: Moment, count: u32) {
        if count > 0 {
            *self.cooling.entry(until).or_default() += count;
        }
    }

    /// Tokens that the borrower no longer holds. The most recently spent ones that it names are taken
    /// for these, as it may name some that were returned before.
    fn take_back(&mut self, now: Moment, mut freed: u32, returned: &[Age], window: Duration) {
        let mut ages = returned.to_vec();
        ages.sort_by_key(|age| age.age);
        for age in ages {
            let count = age.count.min(freed);
            freed -= count;
            let left = window.saturating_sub(AGE_UNIT * u32::from(age.age));
            if !left.is_zero() {
                self.cool(now + left, count);
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
        let loan = Loan {
            out: item.held,
            target: item.held,
            want: item.want,
            ends: now + LEASE,
            frees: now + setting.loan_span(),
        };
        self.loans.insert(borrower.clone(), loan);
        let lent = self.grant(now, item, terms);
        if let Some(loan) = self.loans.get_mut(borrower) {
            loan.target = lent;
            loan.out = lent.max(item.held);
        }
        let again = match lent < item.want {
            true => self.again(now),
            false => Duration::ZERO,
        };
        Reply {
            workspace: item.workspace.clone(),
            lent,
            limit: terms.limit,
            again_ms: again.as_millis() as u16,
        }
    }

    fn grant(&mut self, now: Moment, item: &Item, terms: &Terms) -> u32 {
        let ceiling = self.ceiling(now, terms);
        // A level of whole tokens leaves some over, which go to those that ask first.
        let cap = self.level(now, ceiling).map_or(u32::MAX, |level| level + 1);
        let free = ceiling.saturating_sub(self.used());
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
                    };
                    self.loans.insert(holding.borrower.clone(), loan);
                }
            }
        }
        self.takeover = None;
    }
}
