//! Frames and links between daemons, over QUIC or TCP.
//!
//! A link is one connection to one peer. Each call has a stream of its own, so that a slow answer
//! holds up no other.
//!
//! Over QUIC, by quinn, urgent streams are sent first, and both ends present a self-signed
//! certificate; each accepts only a [`Fingerprint`](unit::Fingerprint) that its [`Trust`] names,
//! which in a daemon is the roster of announced instances. Over TCP a link begins with a
//! [`Greeting`] that is believed, for networks on which only daemons reach each other.
//!
//! ```
//! use wire::{Frame, codec};
//!
//! let frame = Frame::Data(bytes::Bytes::from_static(b"slip 7"));
//! let bytes = codec::encode(&frame)?;
//! assert_eq!(codec::decode(bytes)?, frame);
//! # Ok::<(), wire::Error>(())
//! ```

mod call;
pub mod codec;
mod dialer;
mod error;
mod frame;
mod header;
mod link;
mod listener;
mod quic;
mod silence;
mod stream;
mod tcp;

pub use call::{Accepted, Ask, Call, Known, Notice, Payload, Refusal, Reply};
pub use dialer::{Dialer, Peer};
pub use error::Error;
pub use frame::{Abort, Frame, Note, Topic};
pub use header::Header;
pub use link::Link;
pub use listener::{Handshake, Inbound, Listener, Teller};
pub use quic::{Identity, Trust};
pub use stream::{Receiver, Sender, Stream};
pub use tcp::{Greeter, Greeting, Told};
pub use unit::Cause;
