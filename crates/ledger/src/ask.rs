//! What waits in a shard: claims, looks, ends and releases.

use tokio::sync::oneshot;
use tokio::time::Instant;
use unit::{Digest, Token};

use crate::claim::{Claim, Claimed, End, Record};
use crate::error::{Error, Step};
use crate::grant::Reply;
use crate::slot::Piece;

/// What somebody wants to know of a key.
#[derive(Debug)]
pub(crate) enum Want {
    /// To claim it.
    Claim(Claim),
    /// To read its record.
    Look(Digest),
}

impl Want {
    pub(crate) fn key(&self) -> Digest {
        match self {
            Want::Claim(claim) => claim.key,
            Want::Look(key) => *key,
        }
    }

    pub(crate) fn step(&self) -> Step {
        match self {
            Want::Claim(_) => Step::Claim,
            Want::Look(_) => Step::Find,
        }
    }
}

/// What the shard answers.
#[derive(Debug)]
pub(crate) enum Verdict {
    Claimed(Claimed),
    Found(Option<Record>),
    Failed(Error),
}

/// Somebody who waits for a verdict.
#[derive(Debug)]
pub(crate) struct Ask {
    pub(crate) want: Want,
    pub(crate) reply: oneshot::Sender<Reply>,
    /// The claim was in a write that may have landed. Its token tells, when found in the store.
    pub(crate) tried: bool,
    pub(crate) probed: Option<Probed>,
}

/// What sealed segments say of a key.
#[derive(Debug, Clone)]
pub(crate) struct Probed {
    pub(crate) numbers: Vec<u64>,
    pub(crate) pieces: Vec<Piece>,
}

/// An end or a release that is to be written.
#[derive(Debug)]
pub(crate) struct Note {
    pub(crate) what: What,
    pub(crate) reply: Option<oneshot::Sender<()>>,
    pub(crate) since: Instant,
}

/// What a note says.
#[derive(Debug, Clone)]
pub(crate) enum What {
    End(End),
    Free(Digest, Token),
}

impl What {
    pub(crate) fn key(&self) -> Digest {
        match self {
            What::End(end) => end.key,
            What::Free(key, _) => *key,
        }
    }

    pub(crate) fn token(&self) -> Token {
        match self {
            What::End(end) => end.token,
            What::Free(_, token) => *token,
        }
    }
}
