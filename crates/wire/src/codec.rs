//! Frames as bytes.
//!
//! A frame is a length (`u32`, big endian, without itself), a kind byte and a payload. Bodies stay
//! raw bytes, everything else is postcard. The protocol version is part of the ALPN name, so two
//! versions never meet inside a frame.

use bytes::{BufMut, Bytes, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::{Error, Frame, Note, Topic};

/// The name and version of the protocol, as the TLS handshake agrees on it.
pub const ALPN: &[u8] = b"appleshore/1";

/// Largest frame without its length; a peer that announces more loses its link.
pub const MAX_FRAME: usize = 1 << 20;

/// Largest piece of a body that we put into one frame.
pub const MAX_DATA: usize = 64 << 10;

pub(crate) const LENGTH: usize = 4;

const CALL: u8 = 1;
const ACCEPTED: u8 = 2;
const REPLY: u8 = 3;
const REFUSAL: u8 = 4;
const DATA: u8 = 5;
const END: u8 = 6;
const ABORT: u8 = 7;
const ASK: u8 = 8;
const KNOWN: u8 = 9;
const NOTE: u8 = 10;

/// Packs a role's own message into the payload of a [`Note`].
///
/// # Errors
///
/// [`Error::Setup`] if the value has no postcard form.
pub fn pack<T: Serialize>(value: &T) -> Result<Bytes, Error> {
    let bytes = postcard::to_stdvec(value).map_err(|e| Error::setup("encode a message", e))?;
    Ok(Bytes::from(bytes))
}

/// Reads a role's own message from the payload of a [`Note`].
///
/// # Errors
///
/// [`Error::Garbled`] if the bytes are not a `T`, or more than one.
pub fn unpack<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    match postcard::take_from_bytes(bytes) {
        Ok((value, [])) => Ok(value),
        Ok((_, rest)) => Err(garbled(format!("{} bytes too many", rest.len()))),
        Err(e) => Err(garbled(e)),
    }
}

/// Writes a frame with its length.
///
/// # Errors
///
/// [`Error::Setup`] if the frame is larger than [`MAX_FRAME`].
pub fn encode(frame: &Frame) -> Result<Bytes, Error> {
    let mut out = BytesMut::with_capacity(256);
    encode_into(frame, &mut out)?;
    Ok(out.freeze())
}

/// Appends a frame with its length, so that several small frames leave in one write.
pub(crate) fn encode_into(frame: &Frame, out: &mut BytesMut) -> Result<(), Error> {
    let start = out.len();
    out.put_u32(0);
    encode_body(frame, out)?;
    let length = out.len() - start - LENGTH;
    if length > MAX_FRAME {
        out.truncate(start);
        let cause = format!("{length} bytes, more than {MAX_FRAME}");
        return Err(Error::setup("encode a frame", cause));
    }
    let length = u32::try_from(length).map_err(|e| Error::setup("encode a frame", e))?;
    out[start..start + LENGTH].copy_from_slice(&length.to_be_bytes());
    Ok(())
}

/// Appends the kind and payload of a frame.
pub(crate) fn encode_body(frame: &Frame, out: &mut BytesMut) -> Result<(), Error> {
    match frame {
        Frame::Call(call) => message(out, CALL, call)?,
        Frame::Accepted(accepted) => message(out, ACCEPTED, accepted)?,
        Frame::Reply(reply) => message(out, REPLY, reply)?,
        Frame::Refusal(refusal) => message(out, REFUSAL, refusal)?,
        Frame::Data(data) => raw(out, DATA, data),
        Frame::End => out.put_u8(END),
        Frame::Abort(abort) => message(out, ABORT, abort)?,
        Frame::Ask(ask) => message(out, ASK, ask)?,
        Frame::Known(known) => message(out, KNOWN, known)?,
        Frame::Note(note) => {
            message(out, NOTE, &note.topic)?;
            out.put_slice(&note.payload);
        }
    }
    Ok(())
}

/// Reads one frame with its length.
///
/// # Errors
///
/// [`Error::Garbled`] if the bytes are not exactly one frame.
pub fn decode(mut bytes: Bytes) -> Result<Frame, Error> {
    if bytes.len() < LENGTH {
        return Err(garbled("no length"));
    }
    let head = bytes.split_to(LENGTH);
    let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
    if length != bytes.len() {
        return Err(garbled(format!(
            "length {length} for {} bytes",
            bytes.len()
        )));
    }
    decode_body(bytes)
}

/// Reads the kind and payload of a frame.
pub(crate) fn decode_body(mut bytes: Bytes) -> Result<Frame, Error> {
    if bytes.is_empty() {
        return Err(garbled("an empty frame"));
    }
    let kind = bytes.split_to(1)[0];
    match kind {
        CALL => unpack(&bytes).map(Frame::Call),
        ACCEPTED => unpack(&bytes).map(Frame::Accepted),
        REPLY => unpack(&bytes).map(Frame::Reply),
        REFUSAL => unpack(&bytes).map(Frame::Refusal),
        DATA => Ok(Frame::Data(bytes)),
        END if bytes.is_empty() => Ok(Frame::End),
        ABORT => unpack(&bytes).map(Frame::Abort),
        ASK => unpack(&bytes).map(Frame::Ask),
        KNOWN => unpack(&bytes).map(Frame::Known),
        NOTE => note(bytes).map(Frame::Note),
        other => Err(garbled(format!("unknown kind {other}"))),
    }
}

fn note(bytes: Bytes) -> Result<Note, Error> {
    let (topic, rest): (Topic, &[u8]) = postcard::take_from_bytes(&bytes).map_err(garbled)?;
    let payload = bytes.slice(bytes.len() - rest.len()..);
    Ok(Note { topic, payload })
}

fn message<T: Serialize>(out: &mut BytesMut, kind: u8, value: &T) -> Result<(), Error> {
    out.put_u8(kind);
    let bytes = postcard::to_stdvec(value).map_err(|e| Error::setup("encode a frame", e))?;
    out.put_slice(&bytes);
    Ok(())
}

fn raw(out: &mut BytesMut, kind: u8, bytes: &[u8]) {
    out.put_u8(kind);
    out.put_slice(bytes);
}

fn garbled(cause: impl ToString) -> Error {
    Error::garbled("peer", cause)
}
