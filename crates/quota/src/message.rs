//! What borrowers and allocators tell each other.

use serde::{Deserialize, Serialize};
use unit::{Incarnation, Version, Workspace};

use crate::Member;

/// What a borrower asks of one allocator: it renews all its loans from it, and may ask for more.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// The life of the borrower.
    pub incarnation: Incarnation,
    /// Rises with each ask of this life.
    pub number: u64,
    /// The version of the list by which the borrower asks. It takes no tokens of allocators of former
    /// lists any more.
    pub list: Version,
    /// How long the borrower's process has run, in milliseconds.
    pub age_ms: u32,
    /// The workspaces that are asked for.
    pub items: Vec<Item>,
}

/// The part of an ask about one workspace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The workspace.
    pub workspace: Workspace,
    /// The number of tokens that the borrower holds from loans.
    pub held: u32,
    /// The number of tokens that it needs, at least `held`.
    pub want: u32,
    /// The requests that came since the last answered ask, refused ones too.
    pub tried: u32,
    /// The tokens that it has given up since the last answered ask, or of the whole window in the first
    /// ask by a list, and that were spent within the window.
    pub returned: Vec<Age>,
}

/// A number of tokens and the time since they were last spent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Age {
    /// The time in units of 10 ms, rounded down.
    pub age: u16,
    /// The number of tokens.
    pub count: u32,
}

/// The allocator's answer to an ask.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Whether the allocator may lend at present. If not, there are no replies and nothing is renewed.
    pub lending: bool,
    /// Whether the allocator knows the list by which it was asked, and has noted what the borrower holds.
    pub heard: bool,
    /// The time after which the borrower should renew, in milliseconds.
    pub renew_ms: u16,
    /// One reply for each workspace of which this daemon is the allocator.
    pub replies: Vec<Reply>,
}

/// The part of an answer about one workspace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// The workspace.
    pub workspace: Workspace,
    /// The number of tokens that the borrower may hold from now on.
    pub lent: u32,
    /// The limit of the workspace by which the allocator decided.
    pub limit: u32,
    /// The time for which asking for more is of no use, in milliseconds.
    pub again_ms: u16,
    /// The pace at which the borrower may admit requests while the fleet's demand is above the quota.
    pub pace: Option<Pace>,
}

/// How a borrower admits requests of a workspace that is over its quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Pace {
    /// At the borrower's part of rate and burst.
    Share {
        /// Requests a second, in thousandths.
        rate: u32,
        /// Requests at once, in thousandths.
        burst: u32,
        /// The time since when requests count against the burst, in milliseconds.
        since_ms: u16,
    },
    /// Each with a token lent for it, as its part is too small to be kept by itself. The tokens are
    /// returned at once.
    Slow,
}

/// The records of an allocator that stops, for its successor.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transfer {
    /// The life of the allocator that stops.
    pub incarnation: Incarnation,
    /// The number of the list without it.
    pub list: u64,
    /// One record for each workspace.
    pub records: Vec<Record>,
}

/// What is lent of one workspace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The workspace.
    pub workspace: Workspace,
    /// The holdings of borrowers.
    pub holdings: Vec<Holding>,
    /// Tokens that were returned and may not be lent yet: the time left in units of 10 ms, rounded up,
    /// as [`Age::age`].
    pub cooling: Vec<Age>,
}

/// What one borrower may hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// The borrower.
    pub borrower: Member,
    /// The most tokens that it may hold.
    pub out: u32,
}

/// The unit of [`Age::age`].
pub(crate) const AGE_UNIT: std::time::Duration = std::time::Duration::from_millis(10);
