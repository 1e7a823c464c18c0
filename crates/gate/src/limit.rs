//! The concurrency limit, which follows the latency of the answers.

use serde::Serialize;

/// Weight of one answer in the strain.
const ALPHA: f64 = 0.1;
/// Upper bound of a single ratio, so that one outlier does not shrink the limit and the strain
/// falls quickly once the target has recovered.
const RATIO_CAP: f64 = 4.0;
/// Strain above which the target counts as slowed down.
pub(crate) const TOLERANCE: f64 = 2.25;
/// Factor of one multiplicative decrease, and lower bound of the gradient.
const DECREASE_FACTOR: f64 = 0.5;
/// Smoothing factor of the gradient's steps.
const GRADIENT_ALPHA: f64 = 0.2;
/// Additive growth per step of the gradient while the latency is usual.
const GRADIENT_GROWTH: f64 = 2.0;
/// Initial share of the slots for a cold target.
const COLD_SHARE: f64 = 0.25;

/// The algorithm by which the limit follows the latency.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Law {
    /// Additive increase, multiplicative decrease, at most one decrease per round.
    #[default]
    Aimd,
    /// Each answer moves the limit by the ratio of the usual latency to the present one.
    Gradient,
    /// Always the configured number of slots.
    Fixed,
    /// The number of slots up to which the target does not slow down; see docs/design/spells.md.
    Knee,
}

/// The sequence number of a start among all starts.
pub(crate) type Seq = u64;

#[derive(Debug, Clone)]
pub(crate) struct Limit {
    law: Law,
    slots: f64,
    value: f64,
    strain: f64,
    /// First start of the current round. Earlier starts belong to a round that was already
    /// decreased.
    round_start: Seq,
    /// The latest start that was answered quickly.
    last_quick: Seq,
    /// Whether the limit doubles each round, until the first decrease or until it reaches the
    /// slots.
    slow_start: bool,
}

impl Limit {
    pub(crate) fn new(law: Law, slots: u16) -> Limit {
        let mut limit = Limit {
            law,
            slots: f64::from(slots),
            value: f64::from(slots),
            strain: 1.0,
            round_start: 0,
            last_quick: 0,
            slow_start: true,
        };
        limit.reset_cold();
        limit
    }

    /// Whether the limit does not react to answers and faults.
    fn ignores_answers(&self) -> bool {
        matches!(self.law, Law::Fixed | Law::Knee)
    }

    /// Whether the limit is the knee of the load-latency curve.
    pub(crate) fn follows_knee(&self) -> bool {
        self.law == Law::Knee
    }

    /// Sets the limit to the knee, if the limit follows it.
    pub(crate) fn follow_knee(&mut self, best: usize) {
        if self.law == Law::Knee {
            self.set(best as f64);
        }
    }

    /// Changes the number of slots.
    pub(crate) fn resize(&mut self, slots: u16) {
        let slots = f64::from(slots.max(1));
        let all = self.value >= self.slots;
        self.slots = slots;
        self.set(if all { slots } else { self.value });
    }

    /// Number of requests that may run at once.
    pub(crate) fn now(&self) -> usize {
        (self.value + 1e-9) as usize
    }

    pub(crate) fn slots(&self) -> usize {
        self.slots as usize
    }

    /// Smoothed ratio of recent latencies to the usual latency.
    pub(crate) fn strain(&self) -> f64 {
        self.strain
    }

    /// Resets the limit to the initial value of a cold target.
    pub(crate) fn reset_cold(&mut self) {
        self.strain = 1.0;
        self.slow_start = true;
        if !self.ignores_answers() {
            self.set(self.slots * COLD_SHARE);
        }
    }

    /// Records an answer that took `ratio` times the usual latency. `seq` is the start of its run
    /// and `next` is the next start.
    ///
    /// Under strain, a slow answer is ignored if a later start was already answered quickly: it
    /// shows the state of the target when it started. Otherwise the last runs from a slow period
    /// would keep the limit low long after the target has recovered.
    pub(crate) fn record_answer(&mut self, ratio: f64, seq: Seq, next: Seq) {
        let quick = ratio <= TOLERANCE;
        if !quick && self.strain > TOLERANCE && seq < self.last_quick {
            return;
        }
        if quick {
            self.last_quick = self.last_quick.max(seq);
        }
        self.strain += ALPHA * (ratio.min(RATIO_CAP) - self.strain);
        match self.law {
            Law::Fixed | Law::Knee => {}
            Law::Aimd => self.step_aimd(seq, next),
            Law::Gradient => self.step_gradient(),
        }
    }

    fn step_aimd(&mut self, seq: Seq, next: Seq) {
        if self.strain > TOLERANCE {
            self.cut(seq, next);
            return;
        }
        let step = if self.slow_start {
            1.0
        } else {
            1.0 / self.value
        };
        self.set(self.value + step);
        self.slow_start &= self.value < self.slots;
    }

    fn step_gradient(&mut self) {
        let gradient = (TOLERANCE / self.strain).clamp(DECREASE_FACTOR, 1.0);
        let room = if gradient < 1.0 { 0.0 } else { GRADIENT_GROWTH };
        let target = self.value * gradient + room;
        self.set(self.value + GRADIENT_ALPHA * (target - self.value));
    }

    /// Cuts the limit because the target shed run `seq`, or because that run is stalled.
    ///
    /// The limit is cut at most once per round: all runs in progress started under the old limit,
    /// and each of them would cut it again for the same cause.
    pub(crate) fn cut(&mut self, seq: Seq, next: Seq) {
        if self.ignores_answers() || seq < self.round_start {
            return;
        }
        self.round_start = next;
        self.slow_start = false;
        self.set(self.value * DECREASE_FACTOR);
    }

    /// Raises the limit to at least `count`.
    pub(crate) fn raise_to(&mut self, count: usize) {
        if self.law != Law::Knee {
            self.set(self.value.max(count as f64));
        }
    }

    fn set(&mut self, value: f64) {
        self.value = value.clamp(1.0, self.slots);
    }
}
