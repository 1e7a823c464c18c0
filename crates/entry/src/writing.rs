//! Writes the body of an answer whose head has been written.

use std::io;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use http1::Length;
use hyper::body::Frame;

use crate::Body;

/// A body that is being written.
///
/// It is counted against the length that the head declares: the caller would take the next answer on the
/// connection for the rest of a body that is too short.
pub(crate) struct Writing {
    body: Body,
    length: Length,
    /// How much of a body with a declared length is still to be written.
    missing: u64,
}

impl Writing {
    /// A body of which nothing has been written.
    pub(crate) fn new(body: Body, length: Length) -> Writing {
        let missing = match length {
            Length::Sized(size) => size,
            Length::Empty | Length::Chunked | Length::Close => 0,
        };
        Writing {
            body,
            length,
            missing,
        }
    }

    /// Reads the next frame of the body; `None` at its end.
    pub(crate) async fn next(&mut self) -> Option<io::Result<Frame<Bytes>>> {
        self.body.frame().await
    }

    /// Writes a frame of the body, or its end, to `output`.
    ///
    /// # Errors
    ///
    /// An error if the body is shorter or longer than declared. The connection must end then.
    pub(crate) fn write(
        &mut self,
        frame: Option<Frame<Bytes>>,
        output: &mut BytesMut,
    ) -> io::Result<()> {
        let wrong_size = || io::Error::other("the answer doesn't have its declared length");
        let chunked = self.length == Length::Chunked;
        let Some(frame) = frame else {
            if self.missing > 0 {
                return Err(wrong_size());
            }
            if chunked {
                http1::last_chunk(output);
            }
            return Ok(());
        };
        let data = frame.into_data().unwrap_or_default();
        if chunked {
            if !data.is_empty() {
                http1::chunk(&data, output);
            }
            return Ok(());
        }
        let missing = self.missing.checked_sub(data.len() as u64);
        self.missing = missing.ok_or_else(wrong_size)?;
        output.extend_from_slice(&data);
        Ok(())
    }
}
