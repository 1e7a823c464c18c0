//! The promises about targets that limit their requests or leave, checked from what callers were told
//! and what each life of a target ran.

use std::collections::HashMap;
use std::time::Duration;

use mesh::{Limit, Run};
use tokio::time::Instant;

use crate::check::Broken;
use crate::sent::{Sent, Trouble, Window};

/// The span in which the requests to a target that limits them are counted.
const SPAN: Duration = Duration::from_secs(4);
/// How long a limit has been named when it has to be kept.
const STABLE: Duration = Duration::from_secs(3);
/// A daemon counts this long after it has passed a limit on.
const TOLD: Duration = Duration::from_millis(500);
/// How far above a limit a span may be: this factor, and so many requests.
const FACTOR: f64 = 1.5;
const SLACK: f64 = 5.0;
/// A request that was sent this long after its daemon had passed a leave on must not reach the target.
const DRAIN: Duration = Duration::from_millis(2_000);

/// One life of a target, as it logged it.
#[derive(Debug, Clone)]
pub struct Life {
    /// The daemon beside it.
    pub index: usize,
    /// The requests that it began to run.
    pub runs: Vec<Run>,
    /// Its limits, in order.
    pub limits: Vec<Limit>,
}

/// One life, with what callers were told of its runs.
struct Story<'a> {
    index: usize,
    runs: Vec<(&'a Run, &'a Sent)>,
    limits: &'a [Limit],
    windows: &'a [Window],
}

/// Checks the lives of all targets.
pub fn check_notices(sent: &[Sent], lives: &[Life], windows: &[Window]) -> Vec<Broken> {
    let by_path: HashMap<&str, &Sent> = sent.iter().map(|one| (one.path.as_str(), one)).collect();
    let mut broken = Vec::new();
    for life in lives {
        let told = |run: &'_ Run| by_path.get(run.path.as_str()).copied();
        let runs = life.runs.iter().filter_map(|run| Some((run, told(run)?)));
        let story = Story {
            index: life.index,
            runs: runs.collect(),
            limits: &life.limits,
            windows,
        };
        broken.extend(story.over_limit());
        broken.extend(story.after_leave());
    }
    broken
}

impl Story<'_> {
    /// The first span with more requests than the limit allows, of daemons that had passed it on.
    fn over_limit(&self) -> Option<Broken> {
        let first = self.limits.iter().find(|limit| limit.max_rate.is_some())?;
        let told = |run: &Run, sent: &Sent| {
            let before = |(named, other): &&(&Run, &Sent)| {
                other.entry == sent.entry
                    && named.max_rate.is_some()
                    && is_passed_on(other)
                    && other.ended + TOLD <= run.at
                    && !self.is_excused(sent.entry, other.ended, run.at)
            };
            self.runs.iter().any(|other| before(&other))
        };
        let counted = self.runs.iter().filter(|(run, sent)| told(run, sent));
        let counted: Vec<Instant> = counted.map(|(run, _)| run.at).collect();
        for from in &counted {
            let end = *from + SPAN;
            let Some(allowed) = self.allowed(*from, end) else {
                continue;
            };
            if end < first.from + STABLE || self.is_held_up(*from, end) {
                continue;
            }
            let inside = counted.iter().filter(|at| *at >= from && **at < end);
            let count = inside.count();
            if count as f64 > allowed * FACTOR + SLACK {
                return Some(Broken::Limit(count, allowed * FACTOR + SLACK));
            }
        }
        None
    }

    /// What the limits allow from `from` to `end`; `None` if there was no limit at some time.
    fn allowed(&self, from: Instant, end: Instant) -> Option<f64> {
        let mut allowed = 0.0;
        let mut covered = false;
        for (index, limit) in self.limits.iter().enumerate() {
            let next = self.limits.get(index + 1).map_or(end, |next| next.from);
            let (begin, until) = (limit.from.max(from), next.min(end));
            if begin >= until {
                continue;
            }
            covered |= limit.from <= from;
            allowed += limit.max_rate? * (until - begin).as_secs_f64();
        }
        covered.then_some(allowed)
    }

    /// Requests that reached the target although their daemon had passed its leave on before.
    fn after_leave(&self) -> Vec<Broken> {
        let leaves = self.runs.iter();
        let leaves = leaves.filter(|(run, sent)| run.leaving && is_passed_on(sent));
        let mut told: HashMap<usize, Instant> = HashMap::new();
        for (_, sent) in leaves {
            let at = told.entry(sent.entry).or_insert(sent.ended);
            *at = sent.ended.min(*at);
        }
        let late = |(_, sent): &&(&Run, &Sent)| {
            told.get(&sent.entry).is_some_and(|told| {
                // Lives have no names here, so a daemon that has started since can't tell them apart.
                let excused =
                    [sent.entry, self.index].map(|of| self.is_excused(of, *told, sent.at));
                sent.at > *told + DRAIN && excused == [false, false]
            })
        };
        let late = self.runs.iter().filter(late);
        late.map(|(run, _)| Broken::Leave(run.path.clone()))
            .collect()
    }

    /// Whether requests may have been held up on their way to the target, and arrive together.
    fn is_held_up(&self, from: Instant, to: Instant) -> bool {
        let way = Trouble::Way(self.index);
        let mut windows = self.windows.iter();
        windows.any(|window| window.trouble == way && window.from <= to && window.to >= from)
    }

    /// Whether the daemon was gone or paused at some time between.
    fn is_excused(&self, entry: usize, from: Instant, to: Instant) -> bool {
        self.windows.iter().any(|window| {
            let concerned = match window.trouble {
                Trouble::Gone(index) | Trouble::Paused(index) => index == entry,
                Trouble::Stopping(_) | Trouble::Way(_) | Trouble::Other => false,
            };
            concerned && window.from <= to && window.to >= from
        })
    }
}

/// Whether the caller got the target's answer.
fn is_passed_on(sent: &Sent) -> bool {
    sent.outcome == "ran" && sent.whole
}
