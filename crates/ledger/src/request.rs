//! What waits in a shard: claims, looks, ends and releases.

use tokio::sync::oneshot;
use tokio::time::Instant;
use unit::{Digest, Token};

use crate::claim::{Claim, Claimed, End, Record};
use crate::error::{Error, Step};
use crate::grant::Reply;
use crate::slot::Event;

/// What somebody wants to know of a key.
#[derive(Debug)]
pub(crate) enum Operation {
    /// To claim it.
    Claim(Claim),
    /// To read its record.
    Find(Digest),
}

impl Operation {
    pub(crate) fn key(&self) -> Digest {
        match self {
            Operation::Claim(claim) => claim.key,
            Operation::Find(key) => *key,
        }
    }

    pub(crate) fn step(&self) -> Step {
        match self {
            Operation::Claim(_) => Step::Claim,
            Operation::Find(_) => Step::Find,
        }
    }
}

/// What the shard answers.
#[derive(Debug)]
pub(crate) enum Response {
    Claimed(Claimed),
    Found(Option<Record>),
    Failed(Error),
}

/// Somebody who waits for a verdict.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) operation: Operation,
    pub(crate) reply: oneshot::Sender<Reply>,
    /// The claim was in a write that may have landed. Its token tells, when found in the store.
    pub(crate) maybe_written: bool,
    pub(crate) probe: Option<Probe>,
}

/// What sealed segments say of a key.
#[derive(Debug, Clone)]
pub(crate) struct Probe {
    pub(crate) segments: Vec<u64>,
    pub(crate) events: Vec<Event>,
}

/// An end or a release that is to be written.
#[derive(Debug)]
pub(crate) struct Update {
    pub(crate) change: Change,
    pub(crate) reply: Option<oneshot::Sender<()>>,
    pub(crate) since: Instant,
}

/// What a note says.
#[derive(Debug, Clone)]
pub(crate) enum Change {
    End(End),
    Release(Digest, Token),
}

impl Change {
    pub(crate) fn key(&self) -> Digest {
        match self {
            Change::End(end) => end.key,
            Change::Release(key, _) => *key,
        }
    }

    pub(crate) fn token(&self) -> Token {
        match self {
            Change::End(end) => end.token,
            Change::Release(_, token) => *token,
        }
    }
}
