//! What operators see of quotas.

use std::collections::BTreeMap;
use std::time::Duration;

use quota::{List, Moment, Usage};
use serde::Serialize;
use unit::Workspace;

use super::Desk;

/// The least time between two lines on refusals of one workspace.
const LINE_PERIOD: Duration = Duration::from_secs(1);

/// The most workspaces whose lines are held back at once.
const MAX_REFUSALS: usize = 1_024;

/// The number of worst-served workspaces that are shown.
const WORST: usize = 5;

/// Refusals that no line has told of yet, by workspace.
pub(super) type Refusals = BTreeMap<Workspace, (Moment, u64)>;

/// The state of quotas, for operators.
#[derive(Debug, Serialize)]
pub(crate) struct State {
    /// The list of allocators.
    pub(crate) list: Option<List>,
    /// Whether this daemon may lend now.
    pub(crate) lends: bool,
    /// All workspaces with requests here.
    pub(crate) workspaces: BTreeMap<Workspace, Usage>,
    /// The workspaces of which the largest part was refused in the last window.
    pub(crate) worst: Vec<Workspace>,
    /// The workspaces that are lent by this daemon.
    pub(crate) pools: Vec<PoolState>,
}

/// One workspace at its allocator.
#[derive(Debug, Serialize)]
pub(crate) struct PoolState {
    pub(crate) workspace: Workspace,
    /// The limit of the fleet.
    pub(crate) limit: u32,
    /// Tokens that all borrowers may hold.
    pub(crate) lent: u32,
    /// Whether loans of the former allocator may still count.
    pub(crate) takeover: bool,
}

/// The name of the group of all workspaces that have none of their own.
const REST: &str = "rest";

/// The number of workspaces with a group of their own in the metrics, which bounds their labels.
const GROUPS: usize = 16;

/// One workspace of the metrics, or all that have none of their own.
#[derive(Debug, Clone)]
pub(crate) struct Group {
    pub(crate) name: String,
    pub(crate) usage: Usage,
}

/// The largest workspaces by limit, each by itself, and the others together.
fn groups(mut usage: Vec<(Workspace, Usage)>) -> Vec<Group> {
    usage.sort_by_key(|(_, usage)| std::cmp::Reverse(usage.limit));
    let rest = usage.split_off(usage.len().min(GROUPS));
    let mut groups: Vec<Group> = usage
        .into_iter()
        .map(|(name, usage)| Group {
            name: name.to_string(),
            usage,
        })
        .collect();
    let rest = rest
        .into_iter()
        .map(|(_, usage)| usage)
        .reduce(|a, b| Usage {
            limit: a.limit + b.limit,
            lent: a.lent + b.lent,
            share: a.share + b.share,
            spent: a.spent + b.spent,
            refused: a.refused + b.refused,
            admitted_total: a.admitted_total + b.admitted_total,
            refused_total: a.refused_total + b.refused_total,
        });
    groups.extend(rest.map(|usage| Group {
        name: REST.to_string(),
        usage,
    }));
    groups
}

impl Desk {
    /// What the metrics show.
    pub(crate) fn groups(&self) -> Vec<Group> {
        groups(self.borrower.lock().usage(self.now()))
    }

    /// The state at present.
    pub(crate) fn state(&self) -> State {
        let now = self.now();
        let usage = self.borrower.lock().usage(now);
        let (lends, _) = self.lends();
        let (list, pools) = {
            let lender = self.lender.lock();
            let list = lender.list().map(|(_, list)| list.clone());
            (list, lender.pools(now))
        };
        let pools = pools
            .into_iter()
            .map(|(workspace, lent, takeover)| PoolState {
                limit: self.limit(&workspace),
                workspace,
                lent,
                takeover,
            });
        State {
            list,
            lends,
            worst: worst(&usage),
            pools: pools.collect(),
            workspaces: usage.into_iter().collect(),
        }
    }

    /// Writes one line for the refusals of a workspace, at most one a second.
    pub(super) fn log_refusal(&self, now: Moment, workspace: &Workspace, retry_after: Duration) {
        let count = {
            let mut refusals = self.refusals.lock();
            if refusals.len() >= MAX_REFUSALS {
                refusals.retain(|_, (at, _)| now.since(*at) < LINE_PERIOD);
            }
            let entry = refusals.entry(workspace.clone());
            let (at, count) = entry.or_insert((now, 0));
            let is_first = *at == now && *count == 0;
            *count += 1;
            if !is_first && now.since(*at) < LINE_PERIOD {
                return;
            }
            *at = now;
            std::mem::replace(count, 0)
        };
        let (limit, age) = (
            self.limit(workspace),
            self.confirmed(now).map(|listed| listed.age),
        );
        let age_ms = age.map_or_else(|| "none".to_string(), |age| age.as_millis().to_string());
        log::info!(
            "quota: workspace={workspace} verdict=exceeded refused={count} limit={limit} \
             retry_after_ms={} list_age_ms={age_ms}.",
            retry_after.as_millis(),
        );
    }
}

/// The workspaces of which the largest part was refused in the last window.
fn worst(usage: &[(Workspace, Usage)]) -> Vec<Workspace> {
    let mut refused: Vec<(&Workspace, &Usage)> =
        usage.iter().map(|(name, usage)| (name, usage)).collect();
    refused.retain(|(_, usage)| usage.refused > 0);
    let part = |usage: &Usage| f64::from(usage.refused) / f64::from(usage.refused + usage.spent);
    refused.sort_by(|(_, a), (_, b)| part(b).total_cmp(&part(a)));
    refused
        .into_iter()
        .take(WORST)
        .map(|(name, _)| name.clone())
        .collect()
}
