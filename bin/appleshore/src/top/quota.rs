//! The workspaces of all daemons that are shown, the worst-served first.

use std::collections::BTreeMap;

use serde::Deserialize;

use super::state::State;

/// The most workspaces that are shown.
const MAX_LINES: usize = 16;

#[derive(Deserialize)]
pub(super) struct Quota {
    workspaces: BTreeMap<String, Usage>,
    pools: Vec<Pool>,
}

#[derive(Deserialize)]
struct Usage {
    limit: u64,
    spent: u64,
    refused: u64,
}

#[derive(Deserialize)]
struct Pool {
    workspace: String,
    lent: u64,
    takeover: bool,
}

#[derive(Default)]
struct Total {
    limit: u64,
    lent: Option<u64>,
    spent: u64,
    refused: u64,
    takeover: bool,
}

impl Total {
    fn refused_part(&self) -> f64 {
        self.refused as f64 / (self.refused + self.spent).max(1) as f64
    }
}

/// One line for each workspace.
pub(super) fn lines<'s>(states: impl Iterator<Item = &'s State>) -> Vec<String> {
    let mut totals: BTreeMap<&str, Total> = BTreeMap::new();
    for quota in states.filter_map(|state| state.quota.as_ref()) {
        for (name, usage) in &quota.workspaces {
            let total = totals.entry(name).or_default();
            total.limit = total.limit.max(usage.limit);
            total.spent += usage.spent;
            total.refused += usage.refused;
        }
        for pool in &quota.pools {
            let total = totals.entry(&pool.workspace).or_default();
            total.lent = Some(total.lent.unwrap_or(0) + pool.lent);
            total.takeover |= pool.takeover;
        }
    }
    let mut totals: Vec<(&str, Total)> = totals.into_iter().collect();
    totals.sort_by(|(_, a), (_, b)| {
        let order = b.refused_part().total_cmp(&a.refused_part());
        order.then(b.limit.cmp(&a.limit))
    });
    let lines = totals.iter().take(MAX_LINES).map(|(name, total)| {
        // The allocator may not be among the daemons that are shown.
        let lent = total.lent.map_or("?".to_string(), |lent| lent.to_string());
        let takeover = if total.takeover { " takeover" } else { "" };
        format!(
            "quota {name} limit={} lent={lent} spent={} refused={}{takeover}",
            total.limit, total.spent, total.refused
        )
    });
    lines.collect()
}
