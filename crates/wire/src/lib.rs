//! Frames and mutually authenticated links between daemons, over quinn.
//!
//! A link is one QUIC connection to one peer. Each call has a stream of its own, so that a slow
//! answer holds up no other, and urgent streams are sent first. Both ends present a self-signed
//! certificate; each accepts only a [`Fingerprint`](unit::Fingerprint) that its [`Trust`] names,
//! which in a daemon is the roster of announced instances.
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
mod crypto;
mod dialer;
mod error;
mod frame;
mod header;
mod identity;
mod link;
mod listener;
mod stream;
mod trust;
mod watchdog;

pub use call::{Accepted, Ask, Call, Known, Payload, Refusal, Reply};
pub use dialer::{Dialer, Peer};
pub use error::Error;
pub use frame::{Frame, Note, Topic};
pub use header::Header;
pub use identity::Identity;
pub use link::Link;
pub use listener::{Handshake, Inbound, Listener};
pub use stream::{Receiver, Sender, Stream};
pub use trust::Trust;
pub use unit::Cause;
