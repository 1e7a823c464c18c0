//! Whether a workspace's request may be served at all, before anything is queued or claimed.

use std::time::Duration;

use futures_util::future::BoxFuture;
use tokio::time::Instant;
use unit::Workspace;
use workspace::Quota;

type Confirmed = dyn Fn() -> Result<(), Unconfirmed> + Send + Sync;
type TakeQuota = dyn Fn(QuotaAsk) -> BoxFuture<'static, Result<Spent, Exceeded>> + Send + Sync;

/// The functions that admit the requests of workspaces.
pub struct Admission {
    /// Fails if the configuration is not confirmed as current.
    pub confirmed: Box<Confirmed>,
    /// Takes one request out of the quota of a workspace.
    pub quota: Box<TakeQuota>,
}

/// The configuration is not confirmed as current, so a key may have been removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unconfirmed {
    /// Age of the last confirmation; `None` if there was none.
    pub age: Option<Duration>,
    /// When the caller should ask again.
    pub retry_after: Duration,
}

/// A request that is to be counted against a quota.
#[derive(Debug, Clone, PartialEq)]
pub struct QuotaAsk {
    /// The workspace that sends it.
    pub workspace: Workspace,
    /// The quota of the workspace in the configuration in force.
    pub quota: Quota,
    /// When the answer is needed at the latest.
    pub latest: Instant,
}

/// The workspace has used up its quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Exceeded {
    /// When the caller should ask again.
    pub retry_after: Duration,
}

/// One request taken out of a quota. Dropping it returns the request to the quota, unless
/// [`Spent::keep`] was called because the request may have run.
#[must_use]
pub struct Spent {
    refund: Option<Box<dyn FnOnce() + Send>>,
}

impl Admission {
    /// Admits every request.
    pub fn open() -> Admission {
        Admission {
            confirmed: Box::new(|| Ok(())),
            quota: Box::new(|_| Box::pin(async { Ok(Spent::unlimited()) })),
        }
    }
}

impl Spent {
    /// A request whose credit `refund` returns.
    pub fn new(refund: impl FnOnce() + Send + 'static) -> Spent {
        Spent {
            refund: Some(Box::new(refund)),
        }
    }

    /// A request that no quota counts.
    pub fn unlimited() -> Spent {
        Spent { refund: None }
    }

    /// Records that the request may have run.
    pub fn keep(mut self) {
        self.refund = None;
    }
}

impl Drop for Spent {
    fn drop(&mut self) {
        if let Some(refund) = self.refund.take() {
            refund();
        }
    }
}
