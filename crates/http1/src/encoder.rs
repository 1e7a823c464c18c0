//! The bytes of a body that is written.

use bytes::BytesMut;

use crate::{Fault, Length, chunk, last_chunk};

/// A body that is being written behind a head that declares its length.
///
/// It counts what is written: the reader would take the next message on the connection for the rest of a
/// body that is too short, and the excess of one that is too long for the next message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Encoder {
    length: Length,
    /// How much of a body with a declared length is still to be written.
    missing: u64,
}

impl Encoder {
    /// A body of this length, of which nothing has been written.
    pub fn of(length: Length) -> Encoder {
        let missing = match length {
            Length::Sized(size) => size,
            Length::Empty | Length::Chunked | Length::Close => 0,
        };
        Encoder { length, missing }
    }

    /// Writes some bytes of the body to `out`.
    ///
    /// # Errors
    ///
    /// [`Fault::Length`] if the body is longer than declared; nothing is written then.
    pub fn data(&mut self, data: &[u8], out: &mut BytesMut) -> Result<(), Fault> {
        if self.length == Length::Chunked {
            if !data.is_empty() {
                chunk(data, out);
            }
            return Ok(());
        }
        let missing = self.missing.checked_sub(data.len() as u64);
        self.missing = missing.ok_or(Fault::Length("longer than declared"))?;
        out.extend_from_slice(data);
        Ok(())
    }

    /// Writes the end of the body to `out`.
    ///
    /// # Errors
    ///
    /// [`Fault::Length`] if the body is shorter than declared.
    pub fn end(&mut self, out: &mut BytesMut) -> Result<(), Fault> {
        if self.missing > 0 {
            return Err(Fault::Length("shorter than declared"));
        }
        if self.length == Length::Chunked {
            last_chunk(out);
        }
        Ok(())
    }
}
