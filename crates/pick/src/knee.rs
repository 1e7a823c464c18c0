//! The slowdown of work at targets that are nearly full, as observed.
//!
//! Targets may take up to 1.7 times as long once 0.8 of their slots are occupied. A gate may also
//! report a limit that ends below that point, or its target may not slow down at all. An assumed
//! slowdown would then be added to the queueing delay of a region at its peak, and send its requests
//! to other regions for nothing.

/// Occupancy from which on all work of a target slows down.
const KNEE: f64 = 0.8;
/// How much of the slots the slowdown takes to develop in the estimate. The load is known from a
/// report that is some requests old, so a step would send all requests to one side of it.
const WIDTH: f64 = 0.2;
/// How many times as long work takes beyond the knee, where there is one.
const SLOWDOWN: f64 = 1.7;
/// Occupancies in reports up to which an answer counts as one from below the knee, and from which on
/// as one from beyond it.
const BELOW: f64 = 0.6;
const BEYOND: f64 = 0.75;
/// Observed slowdowns between which a knee becomes certain. The occupancy changes during a run, and
/// the report tells that at its end, so that a slowdown by 1.7 is observed as one by 1.13 to 1.33.
const CERTAINTY: (f64, f64) = (1.05, 1.13);
/// Weight, in answers, of the expectation that there is no slowdown. Times of single requests vary by
/// their whole mean.
const PRIOR: f64 = 16.0;
/// Bound on the time of one answer relative to the expected one. Longer ones began in a slow period or
/// behind a queue.
const MAX_TIME: f64 = 2.0;
/// Answers of which a mean consists, once there are as many: enough for an error of some percent.
const MAX_COUNT: u32 = 256;

/// A mean of times relative to the expected ones.
#[derive(Debug, Clone, Copy, Default)]
struct Mean {
    value: f64,
    count: u32,
}

impl Mean {
    fn add(&mut self, value: f64) {
        self.count = (self.count + 1).min(MAX_COUNT);
        self.value += (value - self.value) / f64::from(self.count);
    }
}

/// Times of work by the occupancy of the target, over all targets of the service.
#[derive(Debug, Clone, Default)]
pub(crate) struct Knee {
    below: Mean,
    beyond: Mean,
}

impl Knee {
    /// Records an answer that took `time` times as long as expected at a target whose slots were
    /// occupied to `ratio`.
    pub(crate) fn record(&mut self, ratio: f64, time: f64) {
        if ratio >= BEYOND {
            self.beyond.add(time.min(MAX_TIME));
        } else if ratio <= BELOW {
            self.below.add(time.min(MAX_TIME));
        }
    }

    /// How certain it is that there is a knee, from 0 to 1.
    fn certainty(&self) -> f64 {
        if self.below.count == 0 || self.below.value <= 0.0 {
            return 0.0;
        }
        let count = f64::from(self.beyond.count);
        let observed = self.beyond.value / self.below.value;
        let observed = (observed * count + PRIOR) / (count + PRIOR);
        let (none, all) = CERTAINTY;
        ((observed - none) / (all - none)).clamp(0.0, 1.0)
    }

    /// How many times as long work takes at a target whose slots are occupied to `ratio`.
    pub(crate) fn slowdown(&self, ratio: f64) -> f64 {
        let part = ((ratio - (KNEE - WIDTH / 2.0)) / WIDTH).clamp(0.0, 1.0);
        1.0 + (SLOWDOWN - 1.0) * part * self.certainty()
    }
}
