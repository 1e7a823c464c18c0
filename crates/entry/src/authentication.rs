//! Which workspace a request belongs to, and whether the workspace's requests are admitted.

use std::time::Duration;

use dialect::{Dialect, Presented};
use http::request::Parts;
use http::{HeaderMap, HeaderValue, StatusCode};
use rule::{Document, Route};
use tokio::time::Instant;
use unit::Caller;
use workspace::{Quota, Workspace};

use crate::credit::Credit;
use crate::job::Head;
use crate::residence::workspace_of;
use crate::{Entry, Exceeded, Origin, QuotaAsk, Reason, Refusal, Unconfirmed};

/// Longest wait for credit. It is enough for a question to the daemon that lends it.
const MAX_QUOTA_WAIT: Duration = Duration::from_millis(150);

/// The share of a route's objective that the wait for credit may take.
const QUOTA_WAIT_SHARE: u32 = 8;

/// Retry time of a call whose parent is not known here. The parent's own caller sends it again by then.
const UNKNOWN_PARENT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// How a request is known.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Access<'d> {
    /// There are no workspaces, and all requests are equal.
    Open,
    /// The request needs no key: its route is public, or it serves a running call.
    Keyless,
    /// The request belongs to this workspace.
    Of(&'d Workspace),
}

impl<'d> Access<'d> {
    /// The workspace that the request belongs to.
    pub(crate) fn workspace(&self) -> Option<&'d Workspace> {
        match self {
            Access::Open | Access::Keyless => None,
            Access::Of(workspace) => Some(workspace),
        }
    }

    /// Who the request counts for in fair shares, limits and claims: its workspace, or else `caller`.
    ///
    /// A request from outside that shows no key counts for its address if `caller` is the name of a
    /// workspace: it would take the share of that workspace, and get the answers to its claims.
    pub(crate) fn caller(&self, document: &Document, origin: &Origin, caller: Caller) -> Caller {
        match (self, origin) {
            (Access::Of(workspace), _) => Caller::from(&workspace.name),
            (Access::Keyless, Origin::Outside(peer))
                if workspace_of(document, &caller).is_some() =>
            {
                document.caller(&HeaderMap::new(), *peer)
            }
            _ => caller,
        }
    }

    /// Removes the key, and whatever the caller says of its workspace, from the head of the request.
    /// Returns the header with the key.
    pub(crate) fn strip(&self, dialect: &Dialect, parts: &mut Parts) -> Option<HeaderValue> {
        if matches!(self, Access::Open) {
            return None;
        }
        if let Some(header) = &dialect.workspace {
            parts.headers.remove(header);
        }
        parts.headers.remove(&dialect.credential.as_ref()?.header)
    }

    /// Sets the name of the workspace in the head that is sent to the target.
    pub(crate) fn name_workspace(&self, dialect: &Dialect, head: &mut Head) {
        if let (Some(header), Some(workspace)) = (&dialect.workspace, self.workspace()) {
            head.set(header, workspace.name.as_str());
        }
    }
}

impl Entry {
    /// Finds the workspace of the request.
    ///
    /// # Errors
    ///
    /// A refusal of a request that needs a key and has none that is known.
    pub(crate) fn authenticate<'d>(
        &self,
        document: &'d Document,
        origin: &Origin,
        parts: &Parts,
        route: &Route,
        caller: &Caller,
    ) -> Result<Access<'d>, Refusal> {
        let Some(workspaces) = document.workspaces() else {
            return Ok(Access::Open);
        };
        let path = parts.uri.path();
        if document.is_public(route, &self.rule_request(origin, parts, path, caller)) {
            return Ok(Access::Keyless);
        }
        let cause = match self.setting.dialect.credential(&parts.headers) {
            Presented::Key(key) => match workspaces.find(&key) {
                Some(workspace) => return Ok(Access::Of(workspace)),
                None => "the key is unknown",
            },
            Presented::Malformed => "the key can't be read",
            Presented::Nothing if matches!(origin, Origin::Nested(Some(_))) => {
                return Ok(Access::Keyless);
            }
            Presented::Nothing if self.names_parent(origin, parts) => {
                return Err(self.refuse_unknown_parent(&self.id(parts)));
            }
            Presented::Nothing => "a key is needed",
        };
        Err(self.refuse_key(&self.id(parts), cause))
    }

    /// Refuses a request whose key gives it no access.
    pub(crate) fn refuse_key(&self, id: &str, cause: &str) -> Refusal {
        self.stats().no_workspace.inc();
        log::info!("entry: id={id} workspace=none verdict=no-workspace cause={cause:?}.");
        let refusal = Refusal::not_run(Reason::NoWorkspace).detail(cause);
        match &self.setting.dialect.credential {
            Some(credential) => refusal.challenge(credential.scheme),
            None => refusal,
        }
    }

    fn refuse_unknown_parent(&self, id: &str) -> Refusal {
        self.stats().no_workspace.inc();
        log::info!("entry: id={id} workspace=none verdict=unknown-parent.");
        Refusal::not_run(Reason::NoWorkspace)
            .status(StatusCode::SERVICE_UNAVAILABLE)
            .detail("the call that this one serves is not known here")
            .retry_after(UNKNOWN_PARENT_RETRY_AFTER)
    }

    /// Whether the request says that it serves a running call, which then isn't known here: it may have
    /// begun before this daemon started.
    fn names_parent(&self, origin: &Origin, parts: &Parts) -> bool {
        let by_token =
            matches!(origin, Origin::Nested(_)) && parts.headers.contains_key(nest::HEADER);
        by_token || self.setting.dialect.parent(&parts.headers).is_some()
    }

    /// Admits a request of a workspace: the configuration must be confirmed, and the quota must have
    /// credit. The request waits for credit at most for a share of the objective, and no longer than to
    /// its `deadline`.
    ///
    /// # Errors
    ///
    /// A refusal with the time after which another try may be admitted.
    pub(crate) async fn admit(
        &self,
        access: Access<'_>,
        parts: &Parts,
        route: &Route,
        deadline: Instant,
    ) -> Result<Credit, Refusal> {
        let Some(workspace) = access.workspace() else {
            return Ok(Credit::default());
        };
        let admission = &self.setting.admission;
        if let Err(unconfirmed) = (admission.confirmed)() {
            return Err(self.refuse_unconfirmed(&workspace.name, &self.id(parts), unconfirmed));
        }
        let Some(quota) = workspace.quota else {
            return Ok(Credit::default());
        };
        let now = Instant::now();
        let share = route
            .objective
            .map(|objective| objective / QUOTA_WAIT_SHARE);
        let wait = share.map_or(MAX_QUOTA_WAIT, |share| share.min(MAX_QUOTA_WAIT));
        let ask = QuotaAsk {
            workspace: workspace.name.clone(),
            quota,
            latest: deadline.min(now + wait),
        };
        let taken = (admission.quota)(ask).await;
        taken.map(Credit::new).map_err(|exceeded| {
            self.refuse_over_quota(workspace, quota, &self.id(parts), now.elapsed(), exceeded)
        })
    }

    fn refuse_over_quota(
        &self,
        workspace: &Workspace,
        quota: Quota,
        id: &str,
        waited: Duration,
        exceeded: Exceeded,
    ) -> Refusal {
        let Exceeded { retry_after } = exceeded;
        self.stats().over_quota.inc();
        log::info!(
            "entry: id={id} workspace={} verdict=quota rate={} burst={} waited_ms={} retry_after_ms={}.",
            workspace.name,
            quota.rate,
            quota.burst,
            waited.as_millis(),
            retry_after.as_millis(),
        );
        Refusal::not_run(Reason::Quota)
            .detail("the quota of the workspace is used up")
            .retry_after(retry_after)
    }

    pub(crate) fn refuse_unconfirmed(
        &self,
        workspace: &unit::Workspace,
        id: &str,
        unconfirmed: Unconfirmed,
    ) -> Refusal {
        let Unconfirmed { age, retry_after } = unconfirmed;
        self.stats().unconfirmed.inc();
        let age = age.map_or("none".to_string(), |age| age.as_millis().to_string());
        log::info!(
            "entry: id={id} workspace={workspace} verdict=unconfirmed age_ms={age} retry_after_ms={}.",
            retry_after.as_millis(),
        );
        Refusal::not_run(Reason::Unconfirmed)
            .detail("it is not confirmed that the configuration is current")
            .retry_after(retry_after)
    }

    /// The id of the request in logs: the one that its caller has given it, or `none`.
    pub(crate) fn id(&self, parts: &Parts) -> String {
        let id = self.setting.dialect.attempt(&parts.headers);
        id.map_or("none".into(), |id| {
            String::from_utf8_lossy(id.as_bytes()).into()
        })
    }
}
