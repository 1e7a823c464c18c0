//! The slowdown of work at a target that is nearly full.

/// Occupancy from which on all work of a target slows down.
const KNEE: f64 = 0.8;
/// How much of the slots the slowdown takes to develop in the estimate. The load is known from a
/// report that is some requests old, so a step would send all requests to one side of it.
const WIDTH: f64 = 0.2;
/// How many times as long work takes beyond the knee.
const SLOWDOWN: f64 = 1.7;

/// How many times as long work takes at a target whose slots are occupied to `ratio`.
pub(crate) fn slowdown(ratio: f64) -> f64 {
    let part = ((ratio - (KNEE - WIDTH / 2.0)) / WIDTH).clamp(0.0, 1.0);
    1.0 + (SLOWDOWN - 1.0) * part
}
