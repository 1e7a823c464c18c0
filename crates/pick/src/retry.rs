//! The budget for retries and hedges, and the allowance that travels with nested calls.
//!
//! Two bounds hold together. The [`Budget`] of an entry lets retries be a share of its first
//! tries. The [`Allowance`] of a request travels down with its nested calls and back with their
//! answers, and is asked once for the whole tree of calls: where a call fails, the entry just
//! above it asks its budget, and whether the budget says yes or no, the allowance is spent and
//! the entries further up don't ask again. Without it nine levels with a tenth each would make
//! 2.4 tries of one, and with one retry each, 512.

use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use unit::Rate;

use crate::Kind;
use crate::tokens::Tokens;

/// What a retry of a request that may have run costs.
const FULL_COST: f64 = 1.0;
/// What a hand-over costs: the refused request took no slot anywhere.
const HAND_OVER_COST: f64 = 0.5;
/// The part of the budget that copies may take.
///
/// A copy's nested calls are repeats too, of other services, whose budgets don't see them: with two calls
/// a run a quarter of a fifth here is a tenth there. And what copies take is not there when targets
/// fail.
const HEDGE_PART: f64 = 0.25;
/// Copies that are saved up at least, where the budget itself holds so many: a turn of one target
/// meets several calls at once, and many entries have a small budget each.
const HEDGES_SAVED: f64 = 2.0;
/// Retries that are saved up unless it is set otherwise.
const CAP: f64 = 20.0;
/// Units of a fresh allowance.
const FRESH: u8 = 2;

/// How many retries an entry may make.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Setting {
    /// Retries per first try.
    pub share: f64,
    /// Retries per second that are granted whatever the number of first tries.
    pub floor: Rate,
    /// Retries that are saved up at most, so that a burst after a quiet time is bounded.
    pub cap: f64,
}

impl Default for Setting {
    fn default() -> Setting {
        Setting {
            share: 0.1,
            floor: Rate::of(1.0),
            cap: CAP,
        }
    }
}

/// Why another try is asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Cause {
    /// The last try failed or was lost after it may have run.
    Failed,
    /// A gate refused it before the start, so another may be asked.
    NotRun,
    /// The first try is late, and a second copy is sent beside it.
    Hedge,
}

/// What the calls of one request, nested ones included, may still ask of the budgets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Allowance(u8);

impl Default for Allowance {
    fn default() -> Allowance {
        Allowance::fresh()
    }
}

impl Allowance {
    /// The allowance of a caller's own request.
    pub const fn fresh() -> Allowance {
        Allowance(FRESH)
    }

    /// Nothing may be asked any more.
    pub const fn spent() -> Allowance {
        Allowance(0)
    }

    /// Whether nothing may be asked any more.
    pub fn is_spent(self) -> bool {
        self.0 == 0
    }

    /// The number that travels in the context of a call.
    pub fn units(self) -> u8 {
        self.0
    }

    /// An allowance read from a context; more than a fresh one is cut down.
    pub fn from_units(units: u8) -> Allowance {
        Allowance(units.min(FRESH))
    }

    /// The allowance after a call that carried it has ended.
    ///
    /// `back` is what the answer says is left. An error that says nothing may come from a tree of
    /// calls that has retried already, so it counts as spent. A refused call never began, and the
    /// daemon of a lost one can ask for nothing more: these leave the allowance as it was.
    pub fn after(self, kind: Kind, back: Option<Allowance>) -> Allowance {
        match (kind, back) {
            (_, Some(back)) => self.min(back),
            (Kind::Error, None) => Allowance::spent(),
            (_, None) => self,
        }
    }
}

/// Counts of an entry's budget.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Count {
    /// First tries.
    pub first: u64,
    /// Retries and hedges granted.
    pub granted: u64,
    /// Hand-overs granted.
    pub handed: u64,
    /// Retries, hedges and hand-overs refused.
    pub refused: u64,
}

/// The retry budget of one service at one entry.
#[derive(Debug)]
pub struct Budget {
    share: f64,
    tokens: Tokens,
    /// What copies may still take of them.
    hedges: Tokens,
    count: Count,
}

impl Budget {
    /// A budget that starts with its floor only.
    pub fn new(setting: Setting) -> Budget {
        let floor = setting.floor.per_second();
        Budget {
            share: setting.share,
            tokens: Tokens::new(floor, setting.cap).at_level(floor),
            hedges: Tokens::new(floor * HEDGE_PART, hedges_cap(setting.cap)).at_level(floor),
            count: Count::default(),
        }
    }

    /// Counts a first try, of a caller's request or of a nested call.
    pub fn record_first_attempt(&mut self, now: Instant) {
        self.tokens.level(now);
        self.tokens.add(self.share);
        self.hedges.level(now);
        self.hedges.add(self.share * HEDGE_PART);
        self.count.first += 1;
    }

    /// Asks for one more try.
    ///
    /// Whatever the answer, the allowance pays. A refused retry spends it whole, so that the
    /// entries above don't ask for the same request once more; a refused hedge leaves it, since
    /// the first try is still under way and may yet need a retry.
    pub fn try_spend(&mut self, now: Instant, allowance: &mut Allowance, cause: Cause) -> bool {
        let cost = match cause {
            Cause::Failed | Cause::Hedge => FULL_COST,
            Cause::NotRun => HAND_OVER_COST,
        };
        let copies = cause != Cause::Hedge || self.hedges.holds(now, cost, 0.0);
        let granted = !allowance.is_spent() && copies && self.tokens.take(now, cost);
        if granted && cause == Cause::Hedge {
            self.hedges.take(now, cost);
        }
        match (granted, cause) {
            (true, Cause::NotRun) => allowance.0 -= 1,
            (false, Cause::Hedge) => {}
            (true, Cause::Failed | Cause::Hedge) | (false, _) => *allowance = Allowance::spent(),
        }
        self.note(granted, cause);
        granted
    }

    /// Sets how many retries are saved up at most, as the fleet that shares them grows or shrinks.
    pub fn set_cap(&mut self, cap: f64) {
        self.tokens.set_cap(cap);
        self.hedges.set_cap(hedges_cap(cap));
    }

    /// Counts since the start.
    pub fn count(&self) -> Count {
        self.count
    }

    fn note(&mut self, granted: bool, cause: Cause) {
        let count = match (granted, cause) {
            (true, Cause::NotRun) => &mut self.count.handed,
            (true, _) => &mut self.count.granted,
            (false, _) => &mut self.count.refused,
        };
        *count += 1;
    }
}

fn hedges_cap(cap: f64) -> f64 {
    (cap * HEDGE_PART).max(HEDGES_SAVED)
}
