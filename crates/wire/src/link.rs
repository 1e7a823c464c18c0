//! A link to one peer that this daemon has dialled.

use std::time::Duration;

use bytes::Bytes;

use crate::{Error, Frame, Note, Peer, Stream, Topic, quic, tcp};

/// A connection to a peer that this daemon has dialled; clones are the same link.
#[derive(Clone)]
pub struct Link {
    way: Way,
}

#[derive(Clone)]
enum Way {
    Quic(quic::link::Link),
    Tcp(tcp::Link),
}

impl Link {
    pub(crate) fn quic(link: quic::link::Link) -> Link {
        Link {
            way: Way::Quic(link),
        }
    }

    pub(crate) fn tcp(link: tcp::Link) -> Link {
        Link {
            way: Way::Tcp(link),
        }
    }

    /// The peer that this link leads to.
    pub fn peer(&self) -> &Peer {
        match &self.way {
            Way::Quic(link) => link.peer(),
            Way::Tcp(link) => link.peer(),
        }
    }

    /// Whether the link leads to `peer`.
    ///
    /// A QUIC link leads to one life of it, since its certificate was checked; over TCP the peer
    /// has told itself which life it is.
    pub(crate) fn leads_to(&self, peer: &Peer) -> bool {
        let same = self.peer();
        match &self.way {
            Way::Quic(_) => same == peer,
            Way::Tcp(_) => same.instance == peer.instance && same.address == peer.address,
        }
    }

    /// How many streams are open on it.
    pub fn open_streams(&self) -> usize {
        match &self.way {
            Way::Quic(link) => link.open_streams(),
            Way::Tcp(link) => link.open_streams(),
        }
    }

    /// The time of a round trip, as last measured; zero before that.
    pub fn rtt(&self) -> Duration {
        match &self.way {
            Way::Quic(link) => link.rtt(),
            Way::Tcp(link) => link.rtt(),
        }
    }

    /// Bytes sent and received on this link so far, without the headers of IP, UDP and TCP.
    pub fn bytes(&self) -> u64 {
        match &self.way {
            Way::Quic(link) => link.bytes(),
            Way::Tcp(link) => link.bytes(),
        }
    }

    /// Datagrams or writes of this link so far, both ways.
    pub fn datagrams(&self) -> u64 {
        match &self.way {
            Way::Quic(link) => link.datagrams(),
            Way::Tcp(link) => link.writes(),
        }
    }

    /// Opens a stream for one call.
    ///
    /// # Errors
    ///
    /// [`Error::Broken`] if the link is gone; nothing has been sent then.
    pub async fn open(&self) -> Result<Stream, Error> {
        match &self.way {
            Way::Quic(link) => link.open().await.map(Stream::quic),
            Way::Tcp(link) => link.open().map(Stream::tcp),
        }
    }

    /// Sends one frame on a stream of its own and reads the one that answers it.
    ///
    /// # Errors
    ///
    /// As [`Link::open`], [`Sender::send`](crate::Sender::send) and [`Receiver::recv`](crate::Receiver::recv).
    pub async fn ask(&self, frame: &Frame) -> Result<Frame, Error> {
        let Stream {
            mut sender,
            mut receiver,
        } = self.open().await?;
        sender.push(frame)?;
        sender.finish().await?;
        let answer = receiver.recv().await?;
        let peer = &self.peer().instance;
        answer.ok_or_else(|| Error::broken("ask", peer, "the peer ended without an answer"))
    }

    /// Sends one message of a control role and reads the payload of the one that answers it.
    ///
    /// # Errors
    ///
    /// As [`Link::ask`], and [`Error::Garbled`] if the answer is no note of the same role.
    pub async fn note(&self, topic: Topic, payload: Bytes) -> Result<Bytes, Error> {
        match self.ask(&Frame::Note(Note { topic, payload })).await? {
            Frame::Note(note) if note.topic == topic => Ok(note.payload),
            _ => Err(Error::garbled(
                &self.peer().instance,
                "an answer of another kind",
            )),
        }
    }

    /// Ends the link; its open streams fail.
    pub fn close(&self) {
        match &self.way {
            Way::Quic(link) => link.close(),
            Way::Tcp(link) => link.close(),
        }
    }

    /// Resolves when the link has ended.
    pub async fn closed(&self) {
        match &self.way {
            Way::Quic(link) => link.closed().await,
            Way::Tcp(link) => link.closed().await,
        }
    }

    /// Resolves with each change between quiet (true), when nothing has come for a moment though it
    /// should, and heard again. Pending for ever on a QUIC link, which only tells when it has ended.
    pub async fn turned_quiet(&self, was: bool) -> bool {
        match &self.way {
            Way::Quic(_) => std::future::pending().await,
            Way::Tcp(link) => {
                let mut quiet = link.quiet();
                let turned = quiet.wait_for(|now| *now != was).await.map(|now| *now);
                match turned {
                    Ok(now) => now,
                    // The link has ended, which is told otherwise.
                    Err(_) => std::future::pending().await,
                }
            }
        }
    }

    /// The link can still carry calls.
    pub fn alive(&self) -> bool {
        match &self.way {
            Way::Quic(link) => link.alive(),
            Way::Tcp(link) => link.alive(),
        }
    }

    pub(crate) fn as_quic(&self) -> Option<&quic::link::Link> {
        match &self.way {
            Way::Quic(link) => Some(link),
            Way::Tcp(_) => None,
        }
    }
}
