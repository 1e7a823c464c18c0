//! Bounds the rate of requests to a target that limits it.
//!
//! A target in need says how many requests a second it takes from all instances together. All
//! requests to it pass through its gate, so the gate keeps to that rate exactly, whichever entries
//! they come from.

use std::time::Duration;

use serde::Serialize;
use unit::Rate;

use crate::window::Window;

/// Length of the sliding window in which requests are counted, if the rate gives at least one for
/// it. Requests are spread over each second, because one that waits for the rest of a longer window
/// misses its goal.
const WINDOW: Duration = Duration::from_millis(250);

/// Maximum number of requests that are counted. At higher rates the window is shorter.
const MAX_COUNTED: usize = 256;

/// Lowest rate at which requests are sent. Only answers tell when a limit ends, so a target that
/// takes nothing still gets a request now and then.
const MIN_RATE: f64 = 0.25;

/// The state of the bound, for dumps.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Throttle {
    /// Maximum rate of requests.
    pub rate: Rate,
    /// How many more may be sent now.
    pub room: usize,
}

/// The window that keeps requests to `rate`.
pub(crate) fn window(rate: Rate) -> Window {
    let rate = rate.per_second().max(MIN_RATE);
    let counted = (rate * WINDOW.as_secs_f64()) as usize;
    let max = counted.clamp(1, MAX_COUNTED);
    Window {
        max,
        length: Duration::from_secs_f64(max as f64 / rate),
    }
}
