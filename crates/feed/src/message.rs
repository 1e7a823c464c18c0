//! What daemons say to each other about rules and roster.
//!
//! Each message is one note on a stream of its own, and gets one [`Answer`]. Both are postcard,
//! and fit in a frame: rules go in pieces, and records in lots of at most [`LOT`].

use roster::{Beat, Bucket, Record, Summary, Vote};
use serde::{Deserialize, Serialize};
use unit::Version;

use crate::{Ask, Packed, Piece};

/// Most records in one message. A record has 100 bytes, and some 500 with the longest names.
pub const LOT: usize = 1_000;

/// A message of one daemon to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A sign of life, with the digest and the version that the sender holds. Answered by
    /// [`Answer::Beat`].
    Beat(Beat),
    /// Records that are news, to be passed on down the zone's tree. Answered by [`Answer::Done`].
    Records(News),
    /// Rules that are news, to be passed on down the zone's tree. Answered by [`Answer::Done`].
    Rules(Push),
    /// Asks for a piece of the rules in force. Answered by [`Answer::Piece`].
    Ask(Ask),
    /// The digests of the sender's roster. Answered by [`Answer::Pages`].
    Summary(Summary),
    /// Records that the receiver lacks; they go no further. Answered by [`Answer::Records`].
    Repair(Vec<Record>),
    /// The sender's verdict on an instance. Answered by [`Answer::Done`].
    Vote(Vote),
}

/// The answer to a [`Message`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// Taken in, or known already.
    Done,
    /// The answering side's own beat.
    Beat(Beat),
    /// A piece of the rules in force; `None` if there is none.
    Piece(Option<Piece>),
    /// The records of the buckets in which the rosters differ.
    Pages(Vec<Page>),
    /// Records that outrank those of a [`Message::Repair`].
    Records(Vec<Record>),
}

/// Records on their way down a zone's tree.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct News {
    /// Orders the tree; see [`roster::Roster::relay_children`]. The same for the same records.
    pub seed: u64,
    /// The records.
    pub records: Vec<Record>,
}

/// Rules on their way down a zone's tree.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Push {
    /// Their version.
    pub version: Version,
    /// Their text if it is short; a long one is fetched by those who lack it.
    pub text: Option<Packed>,
}

/// The records of one bucket.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Which bucket.
    pub bucket: Bucket,
    /// All that is held of it.
    pub records: Vec<Record>,
}

/// The kinds of messages, for counts.
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
        }
    }
}
