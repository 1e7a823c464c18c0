//! What first tries of a route's callers say they will wait, learnt from what all say.

use std::time::Duration;

/// Callers that are remembered; a third of them must agree, so that some seconds of a load made of
/// second tries for the most part don't pass for first ones.
const RECENT: usize = 256;
/// Fewest callers from which anything is told.
const LEAST: usize = 16;
/// After so many callers the common range is looked for again.
const AGAIN: usize = 32;
/// The share of the callers in the common range: one in so many.
const SHARE: usize = 3;

/// Tells callers that ask again from those that ask for the first time.
///
/// Each caller says how long it will still wait. One that was refused and comes back has less left
/// than it had, but what it had is not told, and callers differ: some fleets of callers all begin with
/// the same time, others with times that differ by an eighth. Compared with the longest that anybody
/// said, nine in ten first tries of the latter looked like second ones, by a third of their goal on
/// average; gates refused what they could have served, and served as late what was in time.
///
/// So the shortest range that holds a third of the recent callers is taken for what is usual, widened
/// downwards by as much as makes it hold all first tries where these are spread evenly. Who has less
/// left than that has waited for the difference, at least. Second tries are spread far more widely
/// than first ones, and move the range only when they are two thirds of all.
///
/// ```
/// use std::time::Duration;
///
/// use entry::InitialTimeout;
///
/// let mut timeout = InitialTimeout::default();
/// for _ in 0..100 {
///     timeout.elapsed(Duration::from_millis(800));
/// }
/// let elapsed = timeout.elapsed(Duration::from_millis(500));
/// assert_eq!(elapsed, Duration::from_millis(300));
/// ```
#[derive(Debug, Default)]
pub struct InitialTimeout {
    /// The last callers in the order of a ring.
    recent: Vec<Duration>,
    next: usize,
    /// The least that a first try is likely to say, once it is known.
    usual: Option<Duration>,
}

impl InitialTimeout {
    /// How long a caller has waited already that will wait for `left` more; zero while too little is
    /// known.
    pub fn elapsed(&mut self, left: Duration) -> Duration {
        self.note(left);
        let usual = self.usual.unwrap_or_default();
        usual.saturating_sub(left)
    }

    fn note(&mut self, left: Duration) {
        if self.recent.len() < RECENT {
            self.recent.push(left);
        } else {
            self.recent[self.next % RECENT] = left;
        }
        self.next += 1;
        let is_due = self.usual.is_none() || self.next.is_multiple_of(AGAIN);
        if is_due && self.recent.len() >= LEAST {
            self.usual = usual(&self.recent);
        }
    }
}

/// The lower end of the common range of `recent`, widened.
fn usual(recent: &[Duration]) -> Option<Duration> {
    let mut sorted = recent.to_vec();
    sorted.sort_unstable();
    let held = sorted.len().div_ceil(SHARE);
    let ranges = sorted.windows(held);
    let ends = ranges.filter_map(|range| Some((*range.first()?, *range.last()?)));
    // Of ranges that are equally short the longest times are those of first tries.
    let (least, most) =
        ends.min_by_key(|(least, most)| (*most - *least, std::cmp::Reverse(*least)))?;
    let width = most - least;
    Some(least.saturating_sub(width * (SHARE as u32 - 1)))
}
