//! Messages that daemons send each other about rules and roster.
//!
//! Each message is one note on a stream of its own and gets one [`Answer`]. Both are encoded with
//! postcard and fit in one frame: rules are sent in pieces, records in batches of at most
//! [`MAX_RECORDS`].

use confirm::Report;
use roster::{Beat, Bucket, Record, Summary, Vote};
use serde::{Deserialize, Serialize};
use unit::Version;

use crate::{Ask, Packed, Piece};

/// Maximum number of records in one message. A record takes about 100 bytes, and about 500 with the
/// longest names.
pub const MAX_RECORDS: usize = 1_000;

/// A message from one daemon to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A heartbeat with the sender's roster digest and rules version. Answered by [`Answer::Beat`].
    Beat(Beat),
    /// Updated records, to be relayed down the zone's tree. Answered by [`Answer::Done`].
    Records(Update),
    /// Updated rules, to be relayed down the zone's tree. Answered by [`Answer::Done`].
    Rules(Push),
    /// A request for a piece of the rules in force. Answered by [`Answer::Piece`].
    Ask(Ask),
    /// The digests of the sender's roster. Answered by [`Answer::Pages`].
    Summary(Summary),
    /// Records that the receiver lacks; they are not relayed. Answered by [`Answer::Records`].
    Repair(Vec<Record>),
    /// The sender's verdict on an instance. Answered by [`Answer::Done`].
    Vote(Vote),
    /// New records of evacuations, to be relayed down the zone's tree. Answered by
    /// [`Answer::Done`].
    Evacuations(Vec<evacuation::Record>),
    /// All evacuations that the sender knows. Answered by [`Answer::Evacuations`].
    CompareEvacuations(Vec<evacuation::Record>),
    /// A question for the answering daemon's newest confirmation. Answered by
    /// [`Answer::Confirmed`].
    Confirm {
        /// The versions of the sender's newest confirmation, whose contents it holds.
        held: Vec<Version>,
    },
}

/// The answer to a [`Message`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The message was applied, or its content was already known.
    Done,
    /// The heartbeat of the answering daemon.
    Beat(Beat),
    /// A piece of the rules in force; `None` if there is none.
    Piece(Option<Piece>),
    /// The records of the buckets in which the rosters differ.
    Pages(Vec<Page>),
    /// Records that supersede those of a [`Message::Repair`].
    Records(Vec<Record>),
    /// All evacuations that the answering daemon knows.
    Evacuations(Vec<evacuation::Record>),
    /// The answering daemon's newest confirmation; `None` if it has none.
    Confirmed(Option<Report>),
}

/// Updated records that are relayed down a zone's tree.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Determines the order of the tree; see [`roster::Roster::relay_children`]. The same records
    /// always have the same seed.
    pub seed: u64,
    /// The records.
    pub records: Vec<Record>,
}

/// Updated rules that are relayed down a zone's tree.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Push {
    /// The version of the rules.
    pub version: Version,
    /// The text of short rules; daemons that lack longer rules fetch them.
    pub text: Option<Packed>,
}

/// The records of one bucket of the roster.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// The bucket.
    pub bucket: Bucket,
    /// All records that the sender holds in this bucket.
    pub records: Vec<Record>,
}

/// The kind of a message, by which traffic is counted.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, derive_more::Display,
)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// [`Message::Beat`].
    #[display("beat")]
    Beat,
    /// [`Message::Records`].
    #[display("records")]
    Records,
    /// [`Message::Rules`].
    #[display("rules")]
    Rules,
    /// [`Message::Ask`].
    #[display("ask")]
    Ask,
    /// [`Message::Summary`].
    #[display("summary")]
    Summary,
    /// [`Message::Repair`].
    #[display("repair")]
    Repair,
    /// [`Message::Vote`].
    #[display("vote")]
    Vote,
    /// [`Message::Evacuations`] and [`Message::CompareEvacuations`].
    #[display("evacuations")]
    Evacuations,
    /// [`Message::Confirm`].
    #[display("confirm")]
    Confirm,
}

impl Message {
    /// The kind of this message.
    pub fn kind(&self) -> Kind {
        match self {
            Message::Beat(_) => Kind::Beat,
            Message::Records(_) => Kind::Records,
            Message::Rules(_) => Kind::Rules,
            Message::Ask(_) => Kind::Ask,
            Message::Summary(_) => Kind::Summary,
            Message::Repair(_) => Kind::Repair,
            Message::Vote(_) => Kind::Vote,
            Message::Evacuations(_) | Message::CompareEvacuations(_) => Kind::Evacuations,
            Message::Confirm { .. } => Kind::Confirm,
        }
    }
}
