//! Objects, the conditions of writes, and what lists and watches answer.

use bytes::Bytes;
use unit::{Size, Version};

use crate::{Error, Kind, Step};

/// The largest value that the platform holds.
pub const MAX_VALUE: Size = Size::of(1_000_000);

/// The longest key in bytes.
pub const MAX_KEY: usize = 512;

/// One stored object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    /// The object's key.
    pub key: String,
    /// Its value, at most [`MAX_VALUE`].
    pub value: Bytes,
    /// The revision of its last write.
    pub version: Version,
}

/// How new the answer of a read has to be.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Consistency {
    /// As new as the call: it shows each write that was confirmed before.
    #[default]
    Linearizable,
    /// It may be seconds old. A platform may count and price such a read at a part of the other's; one
    /// that makes no difference answers as for the other.
    Serializable,
}

/// When a write may take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// Only while there is no object of the key.
    Absent,
    /// Only while the object is of this version.
    Match(Version),
    /// Always.
    Any,
}

/// All objects of a prefix at one revision.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Listing {
    /// The objects in the order of their keys.
    pub objects: Vec<Object>,
    /// The revision at which the list was true; a watch may begin here.
    pub revision: Version,
}

/// What has changed under a prefix since a revision.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Change {
    /// The newest state of each object written.
    pub changed: Vec<Object>,
    /// The objects that are gone.
    pub deleted: Vec<Deletion>,
    /// The revision up to which the change is complete; the next watch begins here.
    pub revision: Version,
}

/// An object that was deleted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Deletion {
    /// The key of the deleted object.
    pub key: String,
    /// The revision of the deletion.
    pub version: Version,
}

fn is_key_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.' | b':' | b'@' | b'/')
}

/// Checks that a key or a prefix consists of letters, digits, `-`, `_`, `.`, `:`, `@` and `/`.
///
/// Such keys stand in a URL as they are, so that no two of them can be taken for each other.
///
/// # Errors
///
/// [`Kind::Key`] when the text is too long or holds another byte.
pub fn check_key(step: Step, peer: &str, key: &str) -> Result<(), Error> {
    if key.len() <= MAX_KEY && key.bytes().all(is_key_byte) {
        return Ok(());
    }
    Err(Error::new(step, peer, Kind::Key(key.to_string())))
}
