//! Pauses between tries that grow and are spread at random.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// The pauses between the tries of one call.
///
/// The pause doubles up to a cap and is then drawn from its upper half. Without the draw, the
/// daemons that lost the store at the same moment would all come back at the same moment.
#[derive(Debug, Clone)]
pub struct Backoff {
    base: Duration,
    cap: Duration,
    next: Duration,
    random: Pcg64Mcg,
}

impl Backoff {
    /// Pauses from `base` up to `cap`, drawn from a generator with this seed.
    pub fn new(base: Duration, cap: Duration, seed: u64) -> Backoff {
        Backoff {
            base,
            cap,
            next: base,
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// The pause before the next try.
    pub fn pause(&mut self) -> Duration {
        let whole = self.next.min(self.cap);
        self.next = whole.saturating_mul(2);
        whole.mul_f64(self.random.random_range(0.5..=1.0))
    }

    /// Starts again from the base after a success.
    pub fn reset(&mut self) {
        self.next = self.base;
    }
}
