//! The promises about workspaces, checked from what callers were told and what targets ran.
//!
//! All times are taken at the soak: before a request is sent, when a target has its head, before a
//! version of the rules is written and after the store has acknowledged it. A soak that is late makes
//! each of these spans longer, so that it may miss a broken promise and never reports a false one.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use mesh::Run;
use tokio::time::Instant;
use workspace::Quota;

use crate::check::Broken;
use crate::sent::Sent;

/// Statuses that say that a request has not run.
const NOT_RUN: [u16; 3] = [401, 429, 503];

/// Workspaces by name.
pub type Members = BTreeMap<String, Member>;

/// What a version of the rules says of one workspace.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// Its keys.
    pub keys: Vec<String>,
    /// Its quota, if it has one.
    pub quota: Option<Quota>,
}

/// The settings that bound what is checked.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// A version that the store has acknowledged is in force everywhere after this.
    pub revoke: Duration,
    /// The length of a window.
    pub window: Duration,
    /// The part of a limit by which a window may exceed it.
    pub overage: f64,
    /// Requests by which a window may exceed the limit beyond that.
    pub slack: u32,
}

/// All versions of the rules that may have been in the store.
#[derive(Debug, Clone, Default)]
pub struct History(Vec<Issue>);

#[derive(Debug, Clone)]
struct Issue {
    /// It was not in the store before.
    begun: Instant,
    acknowledged: Option<Instant>,
    members: Members,
}

/// The versions of the rules that a copy of the store may hold.
#[derive(Debug, Clone, Copy)]
pub struct Mark(usize, usize);

impl History {
    /// Notes a version before it is written, and returns its place.
    pub fn begin(&mut self, members: Members, begun: Instant) -> usize {
        self.0.push(Issue {
            begun,
            acknowledged: None,
            members,
        });
        self.0.len() - 1
    }

    /// Notes that the store has acknowledged the version at `place`.
    pub fn acknowledge(&mut self, place: usize, at: Instant) {
        if let Some(issue) = self.0.get_mut(place) {
            issue.acknowledged = Some(at);
        }
    }

    /// The version that a copy of the store holds at least that is made from now on.
    pub fn newest(&self) -> usize {
        let newest = self
            .0
            .iter()
            .rposition(|issue| issue.acknowledged.is_some());
        newest.unwrap_or(0)
    }

    /// The versions one of which a copy holds that was made since [`History::newest`] returned `from`.
    pub fn mark(&self, from: usize) -> Mark {
        Mark(from, self.0.len())
    }

    /// Notes that the store has come back, at `begun` at the earliest, from a copy with these versions.
    pub fn restore(&mut self, Mark(from, to): Mark, begun: Instant) {
        let copies: Vec<Issue> = self.0[from..to].to_vec();
        self.0.extend(copies.into_iter().map(|issue| Issue {
            begun,
            acknowledged: None,
            ..issue
        }));
    }

    /// The versions that a daemon that serves may have at some time from `from` to `to`.
    fn in_force(
        &self,
        from: Instant,
        to: Instant,
        revoke: Duration,
    ) -> impl Iterator<Item = &Members> {
        let within = move |(place, issue): &(usize, &Issue)| {
            let mut later = self.0[place + 1..].iter();
            let replaced = later.find_map(|issue| issue.acknowledged);
            issue.begun <= to && replaced.is_none_or(|at| at + revoke >= from)
        };
        let issues = self.0.iter().enumerate().filter(within);
        issues.map(|(_, issue)| &issue.members)
    }

    /// The workspace that a key belonged to in any version.
    fn owner(&self, key: &str) -> Option<&str> {
        let mut members = self.0.iter().flat_map(|issue| &issue.members);
        let owner = members.find(|(_, member)| member.keys.iter().any(|own| own == key));
        owner.map(|(name, _)| name.as_str())
    }

    /// The most requests that any version that may be in force lets a workspace have in the window that
    /// begins at `from`; `None` if it may have no quota.
    fn allowed(&self, workspace: &str, from: Instant, bounds: Bounds) -> Option<f64> {
        let to = from + bounds.window;
        let limits = self.in_force(from, to, bounds.revoke).map(|members| {
            let quota = members.get(workspace)?.quota?;
            let limit = quota.rate.per_second() * bounds.window.as_secs_f64();
            let limit = limit + f64::from(quota.burst);
            Some(limit * (1.0 + bounds.overage) + f64::from(bounds.slack))
        });
        limits
            .collect::<Option<Vec<f64>>>()?
            .into_iter()
            .reduce(f64::max)
    }
}

/// Compares what callers sent and were told with what targets ran.
pub fn check_workspaces(
    sent: &[Sent],
    runs: &[Run],
    history: &History,
    bounds: Bounds,
) -> Vec<Broken> {
    let by_path: HashMap<&str, &Sent> = sent.iter().map(|one| (one.path.as_str(), one)).collect();
    let mut broken = Vec::new();
    let mut began: HashMap<&str, Instant> = HashMap::new();
    for run in runs {
        let Some(sent) = by_path.get(run.path.as_str()) else {
            continue;
        };
        let first = began.entry(run.path.as_str()).or_insert(run.at);
        *first = run.at.min(*first);
        broken.extend(check_run(run, sent, history, bounds));
    }
    let mut spans: BTreeMap<&str, Vec<(Instant, Instant)>> = BTreeMap::new();
    for one in sent {
        let owner = one.key.as_deref().and_then(|key| history.owner(key));
        if let (Some(owner), Some(began)) = (owner, began.get(one.path.as_str())) {
            spans.entry(owner).or_default().push((one.at, *began));
        }
    }
    for (workspace, mut spans) in spans {
        spans.sort_unstable();
        broken.extend(over_quota(workspace, &spans, history, bounds));
    }
    broken
}

/// What one run shows by itself.
fn check_run(run: &Run, sent: &Sent, history: &History, bounds: Bounds) -> Vec<Broken> {
    let mut broken = Vec::new();
    let path = || run.path.clone();
    if NOT_RUN.contains(&sent.status) {
        broken.push(Broken::Status(path(), sent.status));
    }
    let key = sent.key.as_deref();
    let mut values = run.headers.values();
    let leaks = |value: &http::HeaderValue| {
        key.is_some_and(|key| String::from_utf8_lossy(value.as_bytes()).contains(key))
    };
    if values.any(leaks) {
        broken.push(Broken::Key(path()));
    }
    let owner = key.and_then(|key| history.owner(key));
    let named = run.headers.get_all(dialect::WORKSPACE).into_iter();
    let named: Vec<&[u8]> = named.map(http::HeaderValue::as_bytes).collect();
    if owner.is_none_or(|owner| named != [owner.as_bytes()]) {
        let named = named.into_iter().map(String::from_utf8_lossy);
        let named: Vec<_> = named.collect();
        broken.push(Broken::Workspace(path(), named.join(", ")));
    }
    let mut versions = history.in_force(sent.at, sent.at, bounds.revoke);
    let is_known = versions.any(|members| {
        let mut keys = members.values().flat_map(|member| &member.keys);
        keys.any(|own| Some(own.as_str()) == key)
    });
    if !is_known {
        broken.push(Broken::Revoked(path(), sent.entry));
    }
    broken
}

/// The window that exceeds what is allowed the most, if one does. The spans from the sending of each
/// request to its first run are in the order of sending.
fn over_quota(
    workspace: &str,
    spans: &[(Instant, Instant)],
    history: &History,
    bounds: Bounds,
) -> Option<Broken> {
    let windows = spans.iter().enumerate().filter_map(|(place, (from, _))| {
        let allowed = history.allowed(workspace, *from, bounds)?;
        let to = *from + bounds.window;
        let within = spans[place..].iter().take_while(|(sent, _)| *sent < to);
        let count = within.filter(|(_, began)| *began < to).count();
        (count as f64 > allowed).then_some((count, allowed))
    });
    let worst = windows.max_by(|one, other| {
        let [one, other] = [one, other].map(|(count, allowed)| *count as f64 - allowed);
        one.total_cmp(&other)
    });
    worst.map(|(count, allowed)| Broken::Quota(workspace.to_string(), count, allowed))
}
