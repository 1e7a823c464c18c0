//! Why a call on the store failed, and whether its write may have taken effect.

use std::time::Duration;

use quick_error::quick_error;
use unit::{Era, Size, Version};

/// The kinds of calls, which are also the steps at which errors arise.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, derive_more::Display)]
pub enum Step {
    /// Reading one object.
    #[display("get")]
    Get,
    /// Writing one object.
    #[display("put")]
    Put,
    /// Deleting one object.
    #[display("delete")]
    Delete,
    /// Reading the objects of a prefix.
    #[display("list")]
    List,
    /// Waiting for changes of a prefix.
    #[display("watch")]
    Watch,
}

impl Step {
    /// All steps, in their order.
    pub const ALL: [Step; 5] = [Step::Get, Step::Put, Step::Delete, Step::List, Step::Watch];

    /// Whether a call of this kind changes the store.
    pub fn is_write(self) -> bool {
        matches!(self, Step::Put | Step::Delete)
    }
}

quick_error! {
    /// What went wrong.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Kind {
        /// The object is not of the version that the condition asked for; the version it is at,
        /// where the platform told.
        Conflict(current: Option<Version>) {
            display("the object has changed{}", at(*current))
        }
        /// The call certainly had no effect: it was refused, or no connection came about.
        NotWritten(cause: String) {
            display("not done: {cause}")
        }
        /// The answer is missing: timed out, or cut after the call was sent.
        Lost(cause: String) {
            display("answer lost: {cause}")
        }
        /// The value is above the platform's limit; it was not sent.
        TooLarge(size: Size, limit: Size) {
            display("the value has {size}, the limit is {limit}")
        }
        /// Our own call budget is spent, and one call will be free after this time; nothing was
        /// sent.
        Budget(retry_after: Duration) {
            display("the call budget is spent, free in {} ms", retry_after.as_millis())
        }
        /// The platform no longer has the changes since the given revision; list again.
        Compacted {
            display("the changes since that revision are gone")
        }
        /// The answer is of an era of the store that has ended, or of one that began after the call was
        /// sent, in which a condition may have met another content.
        Former(era: Era, newest: Era) {
            display("of era {era} of the store, which is in era {newest}")
        }
        /// The answer does not follow the platform's API.
        Garbled(cause: String) {
            display("garbled answer: {cause}")
        }
        /// The text can't be a key; nothing was sent.
        Key(key: String) {
            display("{key:?} can't be a key")
        }
    }
}

fn at(version: Option<Version>) -> String {
    version
        .map(|version| format!(", it is at version {version}"))
        .unwrap_or_default()
}

/// A failed call, with its step and the peer it was sent to.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display)]
#[display("store: {step} at {peer}: {kind}")]
pub struct Error {
    /// The kind of the call.
    pub step: Step,
    /// The address of the platform's instance, or the name of what stood in for it.
    pub peer: String,
    /// What went wrong.
    pub kind: Kind,
}

impl std::error::Error for Error {}

impl Error {
    /// An error of a step at a peer.
    pub fn new(step: Step, peer: &str, kind: Kind) -> Error {
        Error {
            step,
            peer: peer.to_string(),
            kind,
        }
    }

    /// Whether the call may have changed the store although it failed.
    ///
    /// A garbled answer counts: whoever gave it may have done the write.
    pub fn may_have_written(&self) -> bool {
        let open = matches!(
            self.kind,
            Kind::Lost(_) | Kind::Garbled(_) | Kind::Former(..)
        );
        self.step.is_write() && open
    }

    /// Whether the condition of the write did not hold.
    pub fn is_conflict(&self) -> bool {
        matches!(self.kind, Kind::Conflict(_))
    }

    /// Whether a watch has to begin again with a list.
    pub fn is_compacted(&self) -> bool {
        matches!(self.kind, Kind::Compacted)
    }
}
