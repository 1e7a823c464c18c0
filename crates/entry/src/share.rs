//! The share of a caller in scarce targets.

use rule::Route;
use workspace::Workspace;

/// The weight of a request's caller at gates: the quota of its workspace in requests a second, rounded
/// up, or else the weight of the route.
pub fn weight(route: &Route, workspace: Option<&Workspace>) -> u32 {
    let quota = workspace.and_then(|workspace| workspace.quota);
    let rate = quota.map(|quota| quota.rate.per_second().ceil() as u32);
    rate.filter(|rate| *rate > 0).unwrap_or(route.weight)
}
