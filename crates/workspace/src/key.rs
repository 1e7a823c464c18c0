//! Keys of workspaces, and the digests that stand for them.

use std::fmt;
use std::str::FromStr;

use hmac::{Hmac, KeyInit, Mac};
use quick_error::quick_error;
use sha2::{Digest, Sha256};

const DIGEST_BYTES: usize = 32;

quick_error! {
    /// A text that is no salt or digest. It does not repeat the text, which may be a key that was put
    /// there by mistake.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum Error {
        /// The text is not 64 hex digits long.
        Shape(what: &'static str, bytes: usize) {
            display("a text of {bytes} bytes is not {what}: expected 64 hex digits")
        }
    }
}

/// A key as a caller presents it. Its `Debug` output does not show it.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Key<'a>(&'a [u8]);

/// The value under which the keys of one document are digested.
///
/// It is no secret. It keeps digests of one document from being recognized in another.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Salt([u8; DIGEST_BYTES]);

/// The HMAC-SHA256 of a key under a [`Salt`].
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl<'a> Key<'a> {
    /// A presented key; `None` if it is empty, because an empty key identifies nobody.
    pub fn new(bytes: &'a [u8]) -> Option<Key<'a>> {
        (!bytes.is_empty()).then_some(Key(bytes))
    }
}

impl fmt::Debug for Key<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(hidden)")
    }
}

impl Salt {
    /// The salt for a configuration with this content; the same content always gives the same salt.
    pub fn of(content: &[u8]) -> Salt {
        let mut hash = Sha256::new();
        // Separates this hash from other uses of SHA-256 on the same content.
        hash.update(b"appleshore workspace salt\0");
        hash.update(content);
        Salt(hash.finalize().into())
    }

    /// The digest of `key` under this salt.
    pub fn digest(&self, key: &Key<'_>) -> KeyDigest {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC-SHA256 takes a key of any length");
        mac.update(key.0);
        KeyDigest(mac.finalize().into_bytes().into())
    }
}

macro_rules! hex256 {
    ($type:ident, $what:literal) => {
        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                for byte in self.0 {
                    write!(f, "{byte:02x}")?;
                }
                Ok(())
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
                parse(text)
                    .map($type)
                    .ok_or(Error::Shape($what, text.len()))
            }
        }
    };
}

hex256!(Salt, "a salt");
hex256!(KeyDigest, "the digest of a key");

fn parse(text: &str) -> Option<[u8; DIGEST_BYTES]> {
    let text = text.as_bytes();
    if text.len() != 2 * DIGEST_BYTES {
        return None;
    }
    let mut bytes = [0; DIGEST_BYTES];
    for (byte, digits) in bytes.iter_mut().zip(text.chunks(2)) {
        let [high, low] = [digits[0], digits[1]].map(|digit| char::from(digit).to_digit(16));
        *byte = u8::try_from(high? * 16 + low?).ok()?;
    }
    Some(bytes)
}
