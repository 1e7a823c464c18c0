//! Links over kept TCP connections: many streams of frames on one connection.
//!
//! Each link begins with a [`Greeting`](crate::Greeting) of both ends. It is not authenticated: it
//! is for networks on which only daemons reach each other. In return a peer that has just started
//! is known by its own word, without the platform's store; and a call costs half the processor
//! time of one over QUIC, see `docs/design/links.md`.
//!
//! A record on the connection is a length (`u32`, big endian, without itself), the number of its
//! stream (`u32`), a kind byte and a payload. Kinds below [`record::OWN`] are those of frames.

mod greet;
mod link;
mod listener;
mod mux;
mod record;
mod stream;

pub use greet::{Greeter, Greeting, Told};
pub(crate) use link::{Link, dial};
pub(crate) use listener::{Handshake, Inbound, Listener, Teller};
pub(crate) use stream::{Receiver, Sender};
