//! Checks the key of a request once more before the request is sent.

use std::sync::Arc;

use dialect::Presented;
use http::HeaderValue;
use http::request::Parts;
use rule::Document;
use unit::Workspace;

use crate::authentication::Access;
use crate::{Entry, Refusal};

/// The key that a request was admitted by.
///
/// After its admission a request may wait for its body, its claim or a link for much longer than a
/// confirmation lasts, and the process may be stopped. The caller decides how long its body takes, so it
/// could keep requests open and use a key long after the key was removed.
pub(crate) struct Grant {
    /// The id of the request in logs.
    id: String,
    workspace: Workspace,
    /// The header with the key, marked as sensitive, so that its `Debug` output does not show it.
    key: HeaderValue,
    /// The document by which the key was found.
    document: Arc<Document>,
}

impl Entry {
    /// The grant of a request that was admitted by its key; `None` of one that needs none.
    pub(crate) fn grant(
        &self,
        access: Access<'_>,
        key: Option<HeaderValue>,
        parts: &Parts,
        document: &Arc<Document>,
    ) -> Option<Arc<Grant>> {
        let (workspace, mut key) = (access.workspace()?, key?);
        key.set_sensitive(true);
        Some(Arc::new(Grant {
            id: self.id(parts),
            workspace: workspace.name.clone(),
            key,
            document: document.clone(),
        }))
    }

    /// Checks that the configuration is confirmed as current and that the key is still in it.
    ///
    /// # Errors
    ///
    /// The refusal of a request that must not be sent any more.
    pub(crate) fn check_grant(&self, grant: &Grant) -> Result<(), Refusal> {
        let confirmed = (self.setting.admission.confirmed)();
        confirmed.map_err(|cause| self.refuse_unconfirmed(&grant.workspace, &grant.id, cause))?;
        // Read after the confirmation, so that it is no older than what was confirmed.
        let document = self.document()?;
        if Arc::ptr_eq(&document, &grant.document) {
            return Ok(());
        }
        let Some(workspaces) = document.workspaces() else {
            return Ok(());
        };
        let owner = match self.setting.dialect.credential_in(&grant.key) {
            Presented::Key(key) => workspaces.find(&key),
            Presented::Malformed | Presented::Nothing => None,
        };
        match owner.is_some_and(|owner| owner.name == grant.workspace) {
            true => Ok(()),
            false => Err(self.refuse_key(&grant.id, "the key was removed")),
        }
    }
}
