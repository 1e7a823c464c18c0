//! Writes the body of an answer whose head has been written.

use std::io;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use clients::Hold;
use http_body_util::BodyExt;
use http1::{Encoder, Length};
use hyper::body::Frame;

use crate::Body;

/// A body that is being written.
pub(crate) struct Writing {
    body: Body,
    encoder: Encoder,
    /// Counts what the answer holds, if its request was served.
    hold: Option<Arc<Hold>>,
}

impl Writing {
    /// A body of which nothing has been written.
    pub(crate) fn new(body: Body, length: Length, hold: Option<Arc<Hold>>) -> Writing {
        let encoder = Encoder::of(length);
        Writing {
            body,
            encoder,
            hold,
        }
    }

    /// What the answer holds.
    pub(crate) fn held_bytes(&self) -> usize {
        self.hold.as_ref().map_or(0, |hold| hold.bytes())
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
        let written = match frame {
            Some(frame) => {
                let data = frame.into_data().unwrap_or_default();
                self.encoder.data(&data, output)
            }
            None => self.encoder.end(output),
        };
        written.map_err(|fault| io::Error::other(fault.to_string()))
    }
}
