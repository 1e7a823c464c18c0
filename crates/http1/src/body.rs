//! The bytes of a body, taken out of the bytes of a connection.

use std::fmt::Write;

use bytes::{Buf, Bytes, BytesMut};

use crate::{Fault, Length};

/// Longest line of a chunk's size or of a trailer; real ones have some dozens of bytes.
const MAX_LINE: usize = 4_096;

/// Most bytes of the trailers of a body.
const MAX_TRAILERS: usize = 16 << 10;

/// A body that is being read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Body {
    state: State,
}

/// What was read of a body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Piece {
    /// Some bytes of it.
    Data(Bytes),
    /// All of it has been read.
    End,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// So many bytes are left.
    Sized(u64),
    /// A line with the size of a chunk comes next.
    ChunkSize,
    /// So many bytes of a chunk are left.
    ChunkData(u64),
    /// The end of a line comes next.
    ChunkEnd,
    /// Lines of trailers come, up to an empty one. So many bytes of them have been read.
    Trailers(usize),
    /// All there is up to the end of the connection.
    Close,
    Done,
}

impl Body {
    /// A body of this length, of which nothing has been read.
    pub fn of(length: Length) -> Body {
        let state = match length {
            Length::Empty => State::Done,
            Length::Sized(size) => State::Sized(size),
            Length::Chunked => State::ChunkSize,
            Length::Close => State::Close,
        };
        Body { state }
    }

    /// Whether all of it has been read.
    pub fn is_done(&self) -> bool {
        matches!(self.state, State::Done | State::Sized(0))
    }

    /// Takes the next piece out of `bytes`; `None` when more bytes are needed.
    ///
    /// # Errors
    ///
    /// [`Fault::Chunk`] if the body is in chunks and they are malformed.
    pub fn next(&mut self, bytes: &mut BytesMut) -> Result<Option<Piece>, Fault> {
        loop {
            match self.state {
                State::Done => return Ok(Some(Piece::End)),
                State::Sized(0) => self.state = State::Done,
                State::Sized(left) => return Ok(self.data(bytes, left, State::Sized)),
                State::Close if bytes.is_empty() => return Ok(None),
                State::Close => return Ok(Some(Piece::Data(bytes.split().freeze()))),
                State::ChunkData(0) => self.state = State::ChunkEnd,
                State::ChunkData(left) => return Ok(self.data(bytes, left, State::ChunkData)),
                State::ChunkSize => match httparse::parse_chunk_size(bytes) {
                    Ok(httparse::Status::Complete((line, size))) => {
                        bytes.advance(line);
                        self.state = match size {
                            0 => State::Trailers(0),
                            size => State::ChunkData(size),
                        };
                    }
                    Ok(httparse::Status::Partial) if bytes.len() < MAX_LINE => return Ok(None),
                    _ => return Err(Fault::Chunk("no size")),
                },
                State::ChunkEnd => match line(bytes)? {
                    Some(line) if line.is_empty() => self.state = State::ChunkSize,
                    Some(_) => return Err(Fault::Chunk("more data than its size")),
                    None => return Ok(None),
                },
                State::Trailers(read) if read > MAX_TRAILERS => {
                    return Err(Fault::Chunk("trailers without end"));
                }
                State::Trailers(read) => match line(bytes)? {
                    Some(line) if line.is_empty() => self.state = State::Done,
                    Some(line) if is_field(&line) => {
                        self.state = State::Trailers(read + line.len());
                    }
                    Some(_) => return Err(Fault::Chunk("a trailer that is no field")),
                    None => return Ok(None),
                },
            }
        }
    }

    /// What the end of the connection means for the body.
    ///
    /// # Errors
    ///
    /// [`Fault::Cut`] if the body is not complete.
    pub fn finish(&mut self) -> Result<(), Fault> {
        match self.state {
            State::Close | State::Done | State::Sized(0) => {
                self.state = State::Done;
                Ok(())
            }
            _ => Err(Fault::Cut),
        }
    }

    fn data(
        &mut self,
        bytes: &mut BytesMut,
        left: u64,
        state: impl Fn(u64) -> State,
    ) -> Option<Piece> {
        if bytes.is_empty() {
            return None;
        }
        let count = usize::try_from(left).unwrap_or(usize::MAX).min(bytes.len());
        self.state = state(left - count as u64);
        Some(Piece::Data(bytes.split_to(count).freeze()))
    }
}

/// Takes a line out of `bytes`, without its end.
fn line(bytes: &mut BytesMut) -> Result<Option<Bytes>, Fault> {
    let Some(end) = bytes.iter().position(|byte| *byte == b'\n') else {
        let long = bytes.len() >= MAX_LINE;
        return if long {
            Err(Fault::Chunk("a line without end"))
        } else {
            Ok(None)
        };
    };
    let mut line = bytes.split_to(end + 1).freeze();
    let text = line.strip_suffix(b"\r\n").or(line.strip_suffix(b"\n"));
    line.truncate(text.map_or(0, <[u8]>::len));
    Ok(Some(line))
}

/// Whether a line is one header field.
fn is_field(line: &[u8]) -> bool {
    let mut fields = [httparse::EMPTY_HEADER; 1];
    let block = [line, b"\r\n\r\n"].concat();
    matches!(
        httparse::parse_headers(&block, &mut fields),
        Ok(httparse::Status::Complete((_, [_])))
    )
}

/// Writes `data` as one chunk; it must not be empty, as an empty one would end the body.
pub fn chunk(data: &[u8], out: &mut BytesMut) {
    // Writing to memory does not fail.
    let _ = write!(out, "{:x}\r\n", data.len());
    out.extend_from_slice(data);
    out.extend_from_slice(b"\r\n");
}

/// Writes the end of a body in chunks.
pub fn last_chunk(out: &mut BytesMut) {
    out.extend_from_slice(b"0\r\n\r\n");
}
