//! Which certificates a daemon accepts.

use std::fmt;
use std::sync::Arc;

use unit::{Fingerprint, Instance};

type Find = dyn Fn(&Fingerprint) -> Option<Instance> + Send + Sync;

/// Names the announced instance behind a fingerprint, or none.
///
/// A process that is not announced can neither send to a gate nor answer for one, because both
/// ends of each link ask their own `Trust`.
#[derive(Clone)]
pub struct Trust(Arc<Find>);

impl Trust {
    /// Trusts whatever `find` names.
    pub fn new(find: impl Fn(&Fingerprint) -> Option<Instance> + Send + Sync + 'static) -> Trust {
        Trust(Arc::new(find))
    }

    /// The instance behind `fingerprint`.
    pub fn find(&self, fingerprint: &Fingerprint) -> Option<Instance> {
        (self.0)(fingerprint)
    }
}

impl fmt::Debug for Trust {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Trust")
    }
}
