//! A request on its way to the target.

use bytes::{Bytes, BytesMut};
use http1::{Encoder, Length, request};
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
pub(crate) struct Upload {
    /// The bytes to be written next.
    output: BytesMut,
    /// The part of the body that has not been read from the link.
    rest: Option<Receiver>,
    /// Encodes the part of the body that comes from the link.
    encoder: Encoder,
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
            encoder: Encoder::of(length),
        };
        match content {
            Content::Empty => {}
            Content::Complete(body) => upload.output.extend_from_slice(&body),
            Content::Streamed(receiver) => upload.rest = Some(receiver),
        }
        Ok(upload)
    }

    /// Whether the complete request has been written.
    pub(crate) fn is_complete(&self) -> bool {
        self.output.is_empty() && self.rest.is_none()
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
            Ok(Some(Frame::Data(data))) => self.encoder.data(&data, &mut self.output),
            Ok(Some(Frame::End)) => {
                self.rest = None;
                self.encoder.end(&mut self.output)
            }
            // A truncated body must never look complete to the target.
            Ok(_) => return Err(Error::Body("its link ended early".to_string())),
            Err(error) => return Err(Error::Body(error.to_string())),
        }
        .map_err(|fault| Error::Body(fault.to_string()))?;
        Ok(Written::Open)
    }
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
