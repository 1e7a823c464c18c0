//! How many requests may run at once, following the latency of the answers.

use serde::Serialize;

/// Weight of one answer in the strain.
const ALPHA: f64 = 0.1;
/// Largest ratio that one answer counts for, so that one outlier does not shrink the limit and
/// the strain has not far to fall when the target is well again.
const RATIO_CAP: f64 = 4.0;
/// Strain above which the target counts as slowed down.
pub(crate) const TOLERANCE: f64 = 2.25;
/// Least factor of one decrease.
const CUT: f64 = 0.5;
/// Smoothing of the gradient's steps.
const STEP: f64 = 0.2;
/// Growth that the gradient heads for while the latency is usual.
const ROOM: f64 = 2.0;
/// Share of the slots that a cold target gets at first.
const COLD: f64 = 0.25;

/// How the limit follows the latency.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Law {
    /// Additive increase, multiplicative decrease once a round.
    #[default]
    Aimd,
    /// Each answer moves the limit by the ratio of the usual latency to the present one.
    Gradient,
    /// Always the configured slots.
    Fixed,
    /// The slots up to which the target does not slow down; see docs/design/spells.md.
    Knee,
}

/// The place of a start in the order of all starts.
pub(crate) type Turn = u64;

#[derive(Debug, Clone)]
pub(crate) struct Limit {
    law: Law,
    slots: f64,
    value: f64,
    strain: f64,
    /// Starts before this one belong to a round that was already answered by a decrease.
    round: Turn,
    /// The latest start that was answered quickly.
    quick: Turn,
    /// Doubles a round until the first decrease, or until the slots are reached.
    cold: bool,
}

impl Limit {
    pub(crate) fn new(law: Law, slots: u16) -> Limit {
        let mut limit = Limit {
            law,
            slots: f64::from(slots),
            value: f64::from(slots),
            strain: 1.0,
            round: 0,
            quick: 0,
            cold: true,
        };
        limit.chill();
        limit
    }

    /// Whether single answers and troubles leave the limit as it is.
    fn is_set(&self) -> bool {
        matches!(self.law, Law::Fixed | Law::Knee)
    }

    /// Whether the limit is what the target gets most done with.
    pub(crate) fn is_by_knee(&self) -> bool {
        self.law == Law::Knee
    }

    /// Sets the limit to what the target gets most done with.
    pub(crate) fn settle(&mut self, best: usize) {
        if self.law == Law::Knee {
            self.set(best as f64);
        }
    }

    /// The target runs so many at once from now on.
    pub(crate) fn resize(&mut self, slots: u16) {
        let slots = f64::from(slots.max(1));
        let all = self.value >= self.slots;
        self.slots = slots;
        self.set(if all { slots } else { self.value });
    }

    /// Requests that may run at once now.
    pub(crate) fn now(&self) -> usize {
        (self.value + 1e-9) as usize
    }

    pub(crate) fn slots(&self) -> usize {
        self.slots as usize
    }

    /// Mean of the last answers' ratios to their usual latency.
    pub(crate) fn strain(&self) -> f64 {
        self.strain
    }

    /// Starts again from a small value, as a target does that has just come up.
    pub(crate) fn chill(&mut self) {
        self.strain = 1.0;
        self.cold = true;
        if !self.is_set() {
            self.set(self.slots * COLD);
        }
    }

    /// An answer came after `ratio` times the usual latency; its run was start number `turn`,
    /// and `next` will be the next start.
    ///
    /// In a strain, a slow answer that a later start has overtaken with a quick one tells of the
    /// time when it was started. The last runs from a bad time would keep the limit down long
    /// after the target is well.
    pub(crate) fn answer(&mut self, ratio: f64, turn: Turn, next: Turn) {
        let quick = ratio <= TOLERANCE;
        if !quick && self.strain > TOLERANCE && turn < self.quick {
            return;
        }
        if quick {
            self.quick = self.quick.max(turn);
        }
        self.strain += ALPHA * (ratio.min(RATIO_CAP) - self.strain);
        match self.law {
            Law::Fixed | Law::Knee => {}
            Law::Aimd => self.answer_aimd(turn, next),
            Law::Gradient => self.answer_gradient(),
        }
    }

    fn answer_aimd(&mut self, turn: Turn, next: Turn) {
        if self.strain > TOLERANCE {
            self.cut(turn, next);
            return;
        }
        let step = if self.cold { 1.0 } else { 1.0 / self.value };
        self.set(self.value + step);
        self.cold &= self.value < self.slots;
    }

    fn answer_gradient(&mut self) {
        let gradient = (TOLERANCE / self.strain).clamp(CUT, 1.0);
        let room = if gradient < 1.0 { 0.0 } else { ROOM };
        let target = self.value * gradient + room;
        self.set(self.value + STEP * (target - self.value));
    }

    /// The target is in trouble: it shed run number `turn`, or that run is stuck.
    ///
    /// At most one decrease a round: the runs under way were all started at the old limit, and
    /// would each cut it again for the same trouble.
    pub(crate) fn cut(&mut self, turn: Turn, next: Turn) {
        if self.is_set() || turn < self.round {
            return;
        }
        self.round = next;
        self.cold = false;
        self.set(self.value * CUT);
    }

    /// Allows at least `count` at once.
    pub(crate) fn lift(&mut self, count: usize) {
        if self.law != Law::Knee {
            self.set(self.value.max(count as f64));
        }
    }

    fn set(&mut self, value: f64) {
        self.value = value.clamp(1.0, self.slots);
    }
}
