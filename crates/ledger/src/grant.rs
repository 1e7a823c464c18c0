//! A confirmed claim on its way to whoever asked for it.

use std::sync::Weak;

use unit::{Digest, Token};

use crate::ask::Verdict;
use crate::lane::Lane;

/// What is sent to whoever asked.
#[derive(Debug)]
pub(crate) enum Reply {
    Granted(Grant),
    Other(Verdict),
}

/// A confirmed claim that nobody has taken yet; dropped untaken, it is released.
///
/// Its asker may have given up, or its future may have been dropped, while the write was on its
/// way. Nothing runs then, but the store holds the claim: without the release each resend would be
/// told that the key runs, until the retention ends.
pub(crate) struct Grant {
    lane: Weak<Lane>,
    key: Digest,
    token: Token,
    taken: bool,
}

impl Grant {
    pub(crate) fn new(lane: Weak<Lane>, key: Digest, token: Token) -> Grant {
        Grant {
            lane,
            key,
            token,
            taken: false,
        }
    }

    /// Hands the claim to its asker, who has to report its end from here on.
    pub(crate) fn take(mut self) {
        self.taken = true;
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        if self.taken {
            return;
        }
        if let Some(lane) = self.lane.upgrade() {
            lane.give_up(self.key, self.token);
        }
    }
}

impl std::fmt::Debug for Grant {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Grant({}, {})", self.key, self.token)
    }
}
