//! Random draws that are the same on every machine.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Draws by plain arithmetic, without the platform's mathematical functions.
pub(crate) struct Draw(Pcg64Mcg);

impl Draw {
    pub(crate) fn new(seed: u64) -> Draw {
        Draw(Pcg64Mcg::seed_from_u64(seed))
    }

    /// Draws of their own, which depend on nothing that is drawn here later.
    pub(crate) fn split(&mut self) -> Draw {
        Draw::new(self.0.next_u64())
    }

    pub(crate) fn below(&mut self, count: usize) -> usize {
        ((u128::from(self.0.next_u64()) * count as u128) >> 64) as usize
    }

    /// Exponential with a mean in nanoseconds: a logarithm by powers of two and a short series.
    pub(crate) fn exponential(&mut self, mean: u64) -> Duration {
        let bits = self.0.next_u64() | 1;
        let halvings = bits.leading_zeros();
        let x = (bits << halvings) as f64 / (1_u64 << 63) as f64;
        let y = (x - 1.0) / (x + 1.0);
        let y2 = y * y;
        let series = y * (2.0 + y2 * (2.0 / 3.0 + y2 * (0.4 + y2 * (2.0 / 7.0))));
        let log = std::f64::consts::LN_2 * f64::from(halvings + 1) - series;
        Duration::from_nanos((log.max(0.0) * mean as f64) as u64)
    }
}
