//! Documents in compressed form, as daemons send them to each other.

use std::io::{Read, Write};

use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use rule::Document;
use serde::{Deserialize, Serialize};
use unit::Digest;

use crate::Error;

/// The text of a document, compressed with DEFLATE.
///
/// Rules repeat field names and services and so compress well, and links of 10 Mbit/s and less are
/// common beside targets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Bytes", into = "Bytes")]
pub struct Packed {
    bytes: Bytes,
    digest: Digest,
}

impl From<Bytes> for Packed {
    fn from(bytes: Bytes) -> Packed {
        let digest = Digest::of(&bytes);
        Packed { bytes, digest }
    }
}

impl From<Packed> for Bytes {
    fn from(packed: Packed) -> Bytes {
        packed.bytes
    }
}

impl Packed {
    /// Compresses a text.
    ///
    /// # Errors
    ///
    /// [`Error::Packed`]; a writer into memory does not return it.
    pub fn of(text: &str) -> Result<Packed, Error> {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        let written = encoder.write_all(text.as_bytes());
        let packed = written.and_then(|()| encoder.finish());
        Ok(Packed::from(Bytes::from(packed.map_err(Error::Packed)?)))
    }

    /// Decompresses the text, reading at most [`Document::MAX_TEXT_BYTES`] bytes and one more whatever a
    /// peer has sent.
    ///
    /// # Errors
    ///
    /// [`Error::Packed`] if the bytes are not compressed UTF-8 text, [`Error::TooLong`] if the text
    /// is longer than that limit.
    pub fn text(&self) -> Result<String, Error> {
        let mut text = String::new();
        let bound = Document::MAX_TEXT_BYTES as u64 + 1;
        DeflateDecoder::new(self.bytes.as_ref())
            .take(bound)
            .read_to_string(&mut text)
            .map_err(Error::Packed)?;
        if text.len() > Document::MAX_TEXT_BYTES {
            return Err(Error::TooLong);
        }
        Ok(text)
    }

    /// The compressed bytes.
    pub fn bytes(&self) -> &Bytes {
        &self.bytes
    }

    /// The digest of the compressed bytes.
    pub fn digest(&self) -> Digest {
        self.digest
    }
}
