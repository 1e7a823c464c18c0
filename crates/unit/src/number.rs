//! Numbers that name or order things: tokens, versions, digests.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::Error;

/// Names one try of one request at one gate; drawn at random by the entry.
///
/// The gate runs a token at most once, so a resend of a frame can't run a request twice.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Token(pub u128);

/// Counts the lives of one instance; a higher one replaces what was said of a lower one.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    derive_more::Display,
    derive_more::FromStr,
)]
pub struct Incarnation(pub u64);

/// How many calls deep a nested call is; a caller's own request has depth 0.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    derive_more::Display,
    derive_more::FromStr,
)]
pub struct Depth(pub u8);

/// A 128-bit hash of a request's key, body or kind. It is not a secret.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest(pub u128);

/// The SHA-256 of an instance's certificate, by which links know their peer.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(pub [u8; 32]);

impl Digest {
    /// Hashes `bytes` with XXH3; stable across machines and versions of this crate.
    pub fn of(bytes: &[u8]) -> Digest {
        Digest(xxhash_rust::xxh3::xxh3_128(bytes))
    }

    /// Hashes several parts so that `("ab", "c")` and `("a", "bc")` differ.
    pub fn of_parts(parts: &[&[u8]]) -> Digest {
        let mut state = xxhash_rust::xxh3::Xxh3::new();
        for part in parts {
            state.update(&(part.len() as u64).to_le_bytes());
            state.update(part);
        }
        Digest(state.digest128())
    }
}

macro_rules! hex128 {
    ($type:ident, $what:literal) => {
        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:032x}", self.0)
            }
        }

        impl fmt::Debug for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}({self})", stringify!($type))
            }
        }

        impl FromStr for $type {
            type Err = Error;

            fn from_str(text: &str) -> Result<$type, Error> {
                let error = || Error::shape($what, text, "32 hex digits");
                if text.len() != 32 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
                    return Err(error());
                }
                u128::from_str_radix(text, 16)
                    .map($type)
                    .map_err(|_| error())
            }
        }
    };
}

hex128!(Token, "a token");
hex128!(Digest, "a digest");

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Fingerprint({self})")
    }
}

impl FromStr for Fingerprint {
    type Err = Error;

    fn from_str(text: &str) -> Result<Fingerprint, Error> {
        let error = || Error::shape("a fingerprint", text, "64 hex digits");
        if text.len() != 64 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(error());
        }
        let mut bytes = [0; 32];
        for (i, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[2 * i..2 * i + 2], 16).map_err(|_| error())?;
        }
        Ok(Fingerprint(bytes))
    }
}
