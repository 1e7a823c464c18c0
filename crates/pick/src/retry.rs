//! The budget for retries and hedges, and the allowance that travels with nested calls.
//!
//! Two limits apply together. The [`Budget`] of an entry limits retries to a share of its first
//! attempts. The [`Allowance`] of a request is passed down with its nested calls and returned with
//! their answers, and covers the whole tree of calls: where a call fails, the entry just above it
//! asks its budget, and whether or not the budget grants the retry, the allowance is spent and the
//! entries further up don't retry. Without it, nine levels with a budget of a tenth each would make
//! 2.4 attempts of one, and with one retry each, 512.

use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use unit::Rate;

use crate::Kind;
use crate::tokens::Tokens;

/// Tokens for a retry of a request that may have run, or for a hedge.
const FULL_COST: f64 = 1.0;
/// Tokens for a handover; lower, since the refused request took no slot anywhere.
const HANDOVER_COST: f64 = 0.5;
/// The share of the budget that hedges may use.
///
/// The nested calls of a hedge are repeats at other services, whose budgets don't count them: with
/// two nested calls per run, a quarter of a fifth here is a tenth there. Also, tokens used for
/// hedges are not available when targets fail.
const HEDGE_SHARE: f64 = 0.25;
/// Lower bound on the cap of the hedge tokens, which still need tokens of the budget itself. A
/// slowdown of one target affects several calls at once, and with many entries each has a small
/// budget.
const MIN_HEDGE_CAP: f64 = 2.0;
/// Default of [`Setting::cap`].
const DEFAULT_CAP: f64 = 20.0;
/// Retries per second that the entries of a fleet are granted together regardless of their requests.
/// Without the bound these would grow with the number of entries, and not with the requests.
const MAX_FLEET_FLOOR: f64 = 200.0;
/// Units of a fresh allowance.
const FRESH_UNITS: u8 = 2;

/// Limits on the retries of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Setting {
    /// Retries per first attempt.
    pub share: f64,
    /// Retries per second that are granted regardless of the number of first attempts.
    pub floor: Rate,
    /// Most retries that are saved up, which bounds a burst after a time of few retries.
    pub cap: f64,
}

impl Default for Setting {
    fn default() -> Setting {
        Setting {
            share: 0.1,
            floor: Rate::of(1.0),
            cap: DEFAULT_CAP,
        }
    }
}

impl Setting {
    /// The limits of one entry among `members`, if the cap is that of all together.
    pub fn part(&self, members: usize) -> Setting {
        let members = members.max(1) as f64;
        let floor = self.floor.per_second();
        Setting {
            floor: Rate::of(floor.min(MAX_FLEET_FLOOR / members)),
            cap: (self.cap / members).max(1.0),
            ..*self
        }
    }
}

/// Why another attempt is requested.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Cause {
    /// The last attempt failed, or was lost and may have run.
    Failed,
    /// A gate refused the request before it ran, so it may be handed over to another.
    NotRun,
    /// The first attempt is late, and a second copy is sent in parallel.
    Hedge,
}

/// The retries that the calls of one request, nested ones included, may still request.
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
        Allowance(FRESH_UNITS)
    }

    /// An allowance without any units left.
    pub const fn spent() -> Allowance {
        Allowance(0)
    }

    /// Whether no units are left.
    pub fn is_spent(self) -> bool {
        self.0 == 0
    }

    /// The number of units, as sent in the context of a call.
    pub fn units(self) -> u8 {
        self.0
    }

    /// An allowance from the number of units in a context, clamped to that of a fresh one.
    pub fn from_units(units: u8) -> Allowance {
        Allowance(units.min(FRESH_UNITS))
    }

    /// The allowance after a call that carried it has ended.
    ///
    /// `back` is the rest that the answer states. An error without it may come from a tree of calls
    /// that has retried already, so the allowance counts as spent. A refused call never began, and
    /// the daemon of a lost one can request nothing more, so these leave the allowance unchanged.
    pub fn after(self, kind: Kind, back: Option<Allowance>) -> Allowance {
        match (kind, back) {
            (_, Some(back)) => self.min(back),
            (Kind::Error, None) => Allowance::spent(),
            (_, None) => self,
        }
    }
}

/// Counters of an entry's budget.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Count {
    /// First attempts.
    pub first: u64,
    /// Retries and hedges granted.
    pub granted: u64,
    /// Handovers granted.
    pub handed: u64,
    /// Retries, hedges and handovers refused.
    pub refused: u64,
}

/// The retry budget of one service at one entry.
#[derive(Debug)]
pub struct Budget {
    share: f64,
    tokens: Tokens,
    /// Limits the tokens that hedges use.
    hedges: Tokens,
    count: Count,
}

impl Budget {
    /// A budget that starts with one second's worth of its floor.
    pub fn new(setting: Setting) -> Budget {
        let floor = setting.floor.per_second();
        Budget {
            share: setting.share,
            tokens: Tokens::new(floor, setting.cap).with_level(floor),
            hedges: Tokens::new(floor * HEDGE_SHARE, hedge_cap(setting.cap)).with_level(floor),
            count: Count::default(),
        }
    }

    /// Counts a first attempt, of a caller's request or of a nested call.
    pub fn record_first_attempt(&mut self, now: Instant) {
        self.tokens.level(now);
        self.tokens.add(self.share);
        self.hedges.level(now);
        self.hedges.add(self.share * HEDGE_SHARE);
        self.count.first += 1;
    }

    /// Spends tokens for one more attempt, and reports whether it is granted.
    ///
    /// A granted handover takes one unit of the allowance; a granted retry or hedge takes all of
    /// it. A refused retry or handover takes all of it too, so that the entries above don't retry
    /// the same request. A refused hedge leaves it, since the first attempt is still in flight and
    /// may yet need a retry.
    pub fn try_spend(&mut self, now: Instant, allowance: &mut Allowance, cause: Cause) -> bool {
        let cost = match cause {
            Cause::Failed | Cause::Hedge => FULL_COST,
            Cause::NotRun => HANDOVER_COST,
        };
        let hedge_allowed = cause != Cause::Hedge || self.hedges.holds(now, cost, 0.0);
        let granted = !allowance.is_spent() && hedge_allowed && self.tokens.try_take(now, cost);
        if granted && cause == Cause::Hedge {
            self.hedges.try_take(now, cost);
        }
        match (granted, cause) {
            (true, Cause::NotRun) => allowance.0 -= 1,
            (false, Cause::Hedge) => {}
            (true, Cause::Failed | Cause::Hedge) | (false, _) => *allowance = Allowance::spent(),
        }
        self.record(granted, cause);
        granted
    }

    /// Sets the floor and the cap, as the fleet that shares them grows or shrinks.
    pub fn set_limits(&mut self, now: Instant, setting: &Setting) {
        let floor = setting.floor.per_second();
        self.tokens.set_rate(now, floor);
        self.tokens.set_cap(setting.cap);
        self.hedges.set_rate(now, floor * HEDGE_SHARE);
        self.hedges.set_cap(hedge_cap(setting.cap));
    }

    /// Counters since the start.
    pub fn count(&self) -> Count {
        self.count
    }

    fn record(&mut self, granted: bool, cause: Cause) {
        let count = match (granted, cause) {
            (true, Cause::NotRun) => &mut self.count.handed,
            (true, _) => &mut self.count.granted,
            (false, _) => &mut self.count.refused,
        };
        *count += 1;
    }
}

fn hedge_cap(cap: f64) -> f64 {
    (cap * HEDGE_SHARE).max(MIN_HEDGE_CAP)
}
