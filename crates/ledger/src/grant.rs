//! A confirmed claim on its way to its requester.

use std::sync::Weak;

use unit::{Digest, Token};

use crate::driver::Driver;
use crate::request::Response;

/// A response on its way to its requester.
#[derive(Debug)]
pub(crate) enum Reply {
    Granted(Grant),
    Other(Response),
}

/// A confirmed claim that its requester has not accepted yet; dropping it releases the claim.
///
/// The requester may have timed out, or its future may have been dropped, while the write was in
/// flight. Nothing runs then, but the store holds the claim: without the release, each resend would
/// be answered that the key is running, until the retention ends.
pub(crate) struct Grant {
    driver: Weak<Driver>,
    key: Digest,
    token: Token,
    accepted: bool,
}

impl Grant {
    pub(crate) fn new(driver: Weak<Driver>, key: Digest, token: Token) -> Grant {
        Grant {
            driver,
            key,
            token,
            accepted: false,
        }
    }

    /// Hands the claim to its requester, which must report the end of the request.
    pub(crate) fn accept(mut self) {
        self.accepted = true;
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        if self.accepted {
            return;
        }
        if let Some(driver) = self.driver.upgrade() {
            driver.release_abandoned(self.key, self.token);
        }
    }
}

impl std::fmt::Debug for Grant {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Grant({}, {})", self.key, self.token)
    }
}
