//! Which pieces of an answer are paced.

/// Bytes at the start of an answer of unknown length that are written at once.
pub const IMMEDIATE_BYTES: u64 = 16 << 10;

/// How a piece of an answer is treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    /// It is written at once and counted.
    Immediate,
    /// It waits until the link's backlog is short.
    Paced,
}

impl Class {
    /// The class of the piece that follows the first `sent` bytes of an answer. The answers of a
    /// `bulk` route, and others that are known to be `long`, are paced from their first byte.
    pub fn of(sent: u64, long: bool) -> Class {
        match long || sent >= IMMEDIATE_BYTES {
            true => Class::Paced,
            false => Class::Immediate,
        }
    }
}
