//! The head of a shard and its sealed segments, as stored.
//!
//! A head holds the active generation and, for a while, the frozen one before it:
//!
//! 1. When a batch finds the active generation large, it freezes it and thereby fixes its segment
//!    number. This is part of an ordinary write of the head.
//! 2. The frozen generation is written to its segment. The head fixes the bytes, so every writer
//!    writes the same ones; the write may be repeated, late, or done by another owner after a
//!    crash.
//! 3. A later write of the head drops the frozen generation and counts its segment.
//!
//! At every point in time, each claim is in the head or in a segment that the head counts.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use unit::{Digest, Token};

use crate::slot::{Event, Generation};

/// The version of the encoding that this crate reads and writes.
const FORMAT: u8 = 1;

/// The head of a shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Head {
    format: u8,
    /// Segments below this number are deleted.
    pub(crate) deleted: u64,
    /// Segments below this number are past the retention.
    pub(crate) first: u64,
    /// Segments below this number are sealed; the frozen generation becomes the segment of this
    /// number.
    pub(crate) next: u64,
    pub(crate) frozen: Option<Generation>,
    pub(crate) active: Generation,
}

impl Head {
    pub(crate) fn empty() -> Head {
        Head {
            format: FORMAT,
            deleted: 0,
            first: 0,
            next: 0,
            frozen: None,
            active: Generation::default(),
        }
    }

    pub(crate) fn decode(bytes: &[u8]) -> Option<Head> {
        let mut head: Head = postcard::from_bytes(bytes).ok()?;
        head.frozen = head.frozen.map(Generation::rebuild);
        head.active = head.active.rebuild();
        (head.format == FORMAT).then_some(head)
    }

    pub(crate) fn encode(&self) -> Option<Bytes> {
        postcard::to_stdvec(self).ok().map(Bytes::from)
    }

    /// An upper bound for the encoded size in bytes.
    pub(crate) fn size_bound(&self) -> usize {
        self.active.size_bound() + self.frozen.as_ref().map_or(0, Generation::size_bound)
    }

    pub(crate) fn len(&self) -> usize {
        self.active.len() + self.frozen.as_ref().map_or(0, Generation::len)
    }

    pub(crate) fn generations(&self) -> impl Iterator<Item = &Generation> {
        std::iter::once(&self.active).chain(&self.frozen)
    }

    /// The events of a key in the generations, the newest first.
    pub(crate) fn events(&self, key: Digest) -> impl Iterator<Item = Event> {
        self.generations()
            .filter_map(move |generation| generation.event(key))
    }

    /// Whether the head holds the release of the claim with this token.
    pub(crate) fn has_released(&self, key: Digest, token: Token) -> bool {
        let mut events = self.events(key);
        events.any(|event| matches!(event, Event::Release(tokens) if tokens.contains(&token)))
    }
}

/// Encodes a frozen generation as a segment.
pub(crate) fn encode_segment(generation: &Generation) -> Option<Bytes> {
    postcard::to_stdvec(&(FORMAT, generation))
        .ok()
        .map(Bytes::from)
}

/// Decodes a segment; `None` if it is malformed or of another format.
pub(crate) fn decode_segment(bytes: &[u8]) -> Option<Generation> {
    let (format, generation): (u8, Generation) = postcard::from_bytes(bytes).ok()?;
    (format == FORMAT).then(|| generation.rebuild())
}

/// The store keys of a shard's objects.
#[derive(Debug, Clone)]
pub(crate) struct ObjectKeys {
    prefix: String,
    shard: u16,
}

impl ObjectKeys {
    pub(crate) fn new(prefix: &str, shard: u16) -> ObjectKeys {
        ObjectKeys {
            prefix: prefix.to_string(),
            shard,
        }
    }

    pub(crate) fn head(&self) -> String {
        format!("{}/head/{}", self.prefix, self.shard)
    }

    pub(crate) fn segment(&self, number: u64) -> String {
        format!("{}/seg/{}/{number}", self.prefix, self.shard)
    }
}

/// The store key of the object that holds the number of shards.
pub(crate) fn layout_key(prefix: &str) -> String {
    format!("{prefix}/layout")
}

/// The shard of a key. It depends on the low half of the hash; the index of segments uses the high
/// half.
pub(crate) fn shard_of(key: Digest, shards: u16) -> u16 {
    let half = key.0 as u64;
    (half % u64::from(shards.max(1))) as u16
}
