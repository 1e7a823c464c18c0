//! A request on its way to the target.

use bytes::{Bytes, BytesMut};
use http1::{Length, request};
use tokio::io::{AsyncWrite, AsyncWriteExt};
use wire::{Frame, Receiver};

use crate::connection::{Error, Outgoing};

/// A request's body.
pub(crate) enum Content {
    Empty,
    /// The complete body.
    Complete(Bytes),
    /// A body that is read from the link while it is sent.
    Streamed(Receiver),
}

/// A request that is being written.
///
/// What is written of the body is counted against the length that the head declares. A target that got
/// less would take the next request on the connection for the rest of the body, and one that got more
/// would take the excess for a request.
pub(crate) struct Upload {
    /// The bytes to be written next.
    output: BytesMut,
    /// The part of the body that has not been read from the link.
    rest: Option<Receiver>,
    length: Length,
    /// How much of a body with a declared length is still to be read from the link.
    missing: u64,
}

/// Whether the target still reads the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Written {
    Open,
    Closed,
}

impl Upload {
    /// A request of which nothing has been written.
    ///
    /// # Errors
    ///
    /// [`Error::Body`] if the complete body doesn't have the declared length.
    pub(crate) fn new(request: &Outgoing, content: Content) -> Result<Upload, Error> {
        let length = length(request, &content)?;
        let mut output = BytesMut::with_capacity(1_024);
        request::write(
            &request.method,
            &request.uri,
            &request.headers,
            length,
            &mut output,
        );
        let mut upload = Upload {
            output,
            rest: None,
            length,
            missing: 0,
        };
        match content {
            Content::Empty => {}
            Content::Complete(body) => upload.output.extend_from_slice(&body),
            Content::Streamed(receiver) => {
                upload.rest = Some(receiver);
                if let Length::Sized(size) = length {
                    upload.missing = size;
                }
            }
        }
        Ok(upload)
    }

    /// Whether the complete request has been written.
    pub(crate) fn is_complete(&self) -> bool {
        self.output.is_empty() && self.rest.is_none() && self.missing == 0
    }

    /// Whether all that is at hand has been written.
    pub(crate) fn is_flushed(&self) -> bool {
        self.output.is_empty()
    }

    /// Writes some bytes, or reads the next piece of the body from the link. Never resolves once the
    /// request is complete.
    ///
    /// Cancel safe: no bytes are lost.
    ///
    /// # Errors
    ///
    /// [`Error::Body`] if the body ends early on the link, or doesn't have its declared length.
    pub(crate) async fn advance(
        &mut self,
        writer: &mut (impl AsyncWrite + Unpin),
    ) -> Result<Written, Error> {
        if !self.output.is_empty() {
            if writer.write_buf(&mut self.output).await.is_ok() {
                return Ok(Written::Open);
            }
            self.output.clear();
            self.rest = None;
            return Ok(Written::Closed);
        }
        let Some(receiver) = &mut self.rest else {
            return std::future::pending().await;
        };
        match receiver.recv().await {
            Ok(Some(Frame::Data(data))) => self.append(&data)?,
            Ok(Some(Frame::End)) => self.end()?,
            // A truncated body must never look complete to the target.
            Ok(_) => return Err(Error::Body("its link ended early".to_string())),
            Err(error) => return Err(Error::Body(error.to_string())),
        }
        Ok(Written::Open)
    }

    fn append(&mut self, data: &[u8]) -> Result<(), Error> {
        if self.length == Length::Chunked {
            if !data.is_empty() {
                http1::chunk(data, &mut self.output);
            }
            return Ok(());
        }
        let missing = self.missing.checked_sub(data.len() as u64);
        self.missing = missing.ok_or_else(|| wrong_size("longer"))?;
        self.output.extend_from_slice(data);
        Ok(())
    }

    fn end(&mut self) -> Result<(), Error> {
        if self.missing > 0 {
            return Err(wrong_size("shorter"));
        }
        if self.length == Length::Chunked {
            http1::last_chunk(&mut self.output);
        }
        self.rest = None;
        Ok(())
    }
}

fn wrong_size(than: &str) -> Error {
    Error::Body(format!("it is {than} than its declared length"))
}

/// How the length of the request's body is declared to the target.
fn length(request: &Outgoing, content: &Content) -> Result<Length, Error> {
    let declared = Length::of(&request.headers).ok().flatten();
    let size = match content {
        Content::Empty => 0,
        Content::Complete(body) => body.len() as u64,
        Content::Streamed(_) => {
            return Ok(match declared {
                Some(Length::Sized(size)) => Length::Sized(size),
                _ => Length::Chunked,
            });
        }
    };
    match declared {
        Some(Length::Sized(declared)) if declared != size => Err(Error::Body(format!(
            "it has {size} bytes, and {declared} are declared"
        ))),
        // If the caller declared a length, an empty body has an explicit length of 0.
        None if size == 0 => Ok(Length::Empty),
        _ => Ok(Length::Sized(size)),
    }
}
