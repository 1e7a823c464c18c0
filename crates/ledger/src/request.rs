//! The work queued in a shard: claims, lookups, ends and releases.

use tokio::sync::oneshot;
use tokio::time::Instant;
use unit::{Digest, Token};

use crate::claim::{Claim, Claimed, End, Record};
use crate::error::{Error, Step};
use crate::grant::Reply;
use crate::slot::Event;

/// An operation on a key whose result its requester waits for.
#[derive(Debug)]
pub(crate) enum Operation {
    /// Claims the key.
    Claim(Claim),
    /// Reads the record of the key.
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

/// The result of an operation.
#[derive(Debug)]
pub(crate) enum Response {
    Claimed(Claimed),
    Found(Option<Record>),
    Failed(Error),
}

/// A queued operation, with the channel for its response.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) operation: Operation,
    pub(crate) reply: oneshot::Sender<Reply>,
    /// Whether the claim was part of a write that may have succeeded. It did if the store holds the
    /// claim's token.
    pub(crate) maybe_written: bool,
    pub(crate) probe: Option<Probe>,
}

/// The events of a key in the sealed segments that were read for it.
#[derive(Debug, Clone)]
pub(crate) struct Probe {
    pub(crate) segments: Vec<u64>,
    pub(crate) events: Vec<Event>,
}

/// An end or a release that waits to be written.
#[derive(Debug)]
pub(crate) struct Update {
    pub(crate) change: Change,
    pub(crate) reply: Option<oneshot::Sender<()>>,
    pub(crate) since: Instant,
}

/// The change that an update makes to the record of a key.
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
