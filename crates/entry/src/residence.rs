//! The regions in which a request may be served.

use http::request::Parts;
use pick::Need;
use rule::{Document, Route};
use unit::{Caller, Region};
use workspace::Workspace;

use crate::attempts::NO_TARGET_RETRY_AFTER;
use crate::authentication::Access;
use crate::job::Job;
use crate::{Entry, Origin, Reason, Refusal};

/// The regions that both the route and the workspace allow; `None` if neither names any.
///
/// A call that serves a running one carries no key. What it reads or writes is the workspace's all
/// the same, so the regions of its parent's workspace apply to it.
pub(crate) fn allowed(
    document: &Document,
    origin: &Origin,
    route: &Route,
    access: Access<'_>,
    caller: &Caller,
) -> Option<Vec<Region>> {
    let inherited = || match origin {
        Origin::Nested(Some(_)) => workspace_of(document, caller),
        _ => None,
    };
    let workspace = access.workspace().or_else(inherited);
    let own = workspace.and_then(|workspace| workspace.regions.as_ref());
    match (route.regions.as_ref(), own) {
        (None, None) => None,
        (Some(regions), None) | (None, Some(regions)) => Some(regions.clone()),
        (Some(route), Some(own)) => {
            let both = route.iter().filter(|region| own.contains(region));
            Some(both.cloned().collect())
        }
    }
}

/// The workspace whose name `caller` has.
pub(crate) fn workspace_of<'d>(document: &'d Document, caller: &Caller) -> Option<&'d Workspace> {
    // The name is parsed only where there are workspaces, because that allocates.
    let workspaces = document.workspaces()?;
    let name = caller.as_str().parse().ok()?;
    workspaces.get(&name)
}

impl Entry {
    /// Refuses a request whose service has no target in a region that it may be served in, before
    /// anything is claimed or sent.
    ///
    /// # Errors
    ///
    /// The refusal. Targets may be added there at any time, so it names a time to come back.
    pub(crate) fn check_regions(&self, job: &Job, parts: &Parts) -> Result<(), Refusal> {
        let need = Need {
            regions: job.regions.as_deref(),
            ..Need::of(job.urgency)
        };
        let pick = &job.upstream.pick;
        if pick.has_allowed_region(&need) || pick.is_evacuated() {
            return Ok(());
        }
        let regions = job.regions.as_deref().unwrap_or_default();
        let names: Vec<&str> = regions.iter().map(Region::as_str).collect();
        let workspace = job.workspace.as_ref().map_or("none", |name| name.as_str());
        log::info!(
            "entry: id={} workspace={workspace} service={} verdict=no-region allowed={names:?}.",
            self.id(parts),
            job.service,
        );
        let detail = match names.is_empty() {
            true => "route and workspace have no region in common".to_string(),
            false => format!("{} has no target in {}", job.service, names.join(", ")),
        };
        Err(Refusal::not_run(Reason::NoRegion)
            .detail(detail)
            .retry_after(NO_TARGET_RETRY_AFTER))
    }
}
