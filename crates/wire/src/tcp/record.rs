//! Records: frames with the number of their stream, and what the link itself says.

use bytes::{Buf, BufMut, Bytes, BytesMut};

use crate::codec::{self, MAX_FRAME};
use crate::{Error, Frame};

/// Kinds from here on are the link's own; those below are frames'.
pub(crate) const OWN: u8 = 100;

const FIN: u8 = OWN;
const RESET: u8 = OWN + 1;
const STOP: u8 = OWN + 2;
const CREDIT: u8 = OWN + 3;
const PING: u8 = OWN + 4;
const PONG: u8 = OWN + 5;

const LENGTH: usize = 4;
const STREAM: usize = 4;

/// The number of a stream; 0 is the link itself.
pub(crate) type Number = u32;

/// What one record says.
#[derive(Debug, Clone, PartialEq)]
#[expect(
    clippy::large_enum_variant,
    reason = "It is moved once, and a box would cost an allocation each."
)]
pub(crate) enum Record {
    /// A frame of the stream; on the link itself, a note without an answer.
    Frame(Frame),
    /// The sender ends the stream in order.
    Fin,
    /// The sender gives the stream up.
    Reset,
    /// The receiver wants no more of it.
    Stop,
    /// The receiver has taken so many bytes of bodies, and as many may follow.
    Credit(u32),
    /// Asks for a sign of life.
    Ping,
    /// Gives it.
    Pong,
}

/// Appends a record.
///
/// # Errors
///
/// [`Error::Setup`] if a frame is larger than [`MAX_FRAME`].
pub(crate) fn write(number: Number, record: &Record, out: &mut BytesMut) -> Result<(), Error> {
    let start = out.len();
    out.put_u32(0);
    out.put_u32(number);
    match record {
        Record::Frame(frame) => codec::encode_body(frame, out)?,
        Record::Fin => out.put_u8(FIN),
        Record::Reset => out.put_u8(RESET),
        Record::Stop => out.put_u8(STOP),
        Record::Credit(bytes) => {
            out.put_u8(CREDIT);
            out.put_u32(*bytes);
        }
        Record::Ping => out.put_u8(PING),
        Record::Pong => out.put_u8(PONG),
    }
    let length = out.len() - start - LENGTH;
    if length > MAX_FRAME + STREAM {
        out.truncate(start);
        let cause = format!("{length} bytes, more than {MAX_FRAME}");
        return Err(Error::setup("encode a frame", cause));
    }
    out[start..start + LENGTH].copy_from_slice(&(length as u32).to_be_bytes());
    Ok(())
}

/// Takes the next record out of `bytes`; `None` when more bytes are needed.
///
/// # Errors
///
/// [`Error::Garbled`] if the bytes are no record.
pub(crate) fn read(bytes: &mut BytesMut) -> Result<Option<(Number, Record)>, Error> {
    let Some(head) = bytes.first_chunk::<LENGTH>() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(*head) as usize;
    if !(STREAM + 1..=MAX_FRAME + STREAM).contains(&length) {
        return Err(Error::garbled(
            "peer",
            format!("a record of {length} bytes"),
        ));
    }
    if bytes.len() < LENGTH + length {
        return Ok(None);
    }
    bytes.advance(LENGTH);
    let mut body = bytes.split_to(length).freeze();
    let number = body.get_u32();
    Ok(Some((number, parse(body)?)))
}

fn parse(mut body: Bytes) -> Result<Record, Error> {
    match body[0] {
        FIN => Ok(Record::Fin),
        RESET => Ok(Record::Reset),
        STOP => Ok(Record::Stop),
        CREDIT if body.len() == 5 => {
            body.advance(1);
            Ok(Record::Credit(body.get_u32()))
        }
        PING => Ok(Record::Ping),
        PONG => Ok(Record::Pong),
        kind if kind < OWN => codec::decode_body(body).map(Record::Frame),
        kind => Err(Error::garbled("peer", format!("unknown kind {kind}"))),
    }
}
