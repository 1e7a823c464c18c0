//! The end of links that peers dial.

use std::net::SocketAddr;

use unit::Instance;

use crate::{Error, Greeter, Identity, Note, Stream, Trust, quic, tcp};

/// Accepts links from peers.
pub struct Listener {
    way: Way,
}

enum Way {
    Quic(quic::listener::Listener),
    Tcp(tcp::Listener),
}

/// A link that a peer has begun; the handshake is still to be awaited, apart from others.
pub struct Handshake {
    way: HandshakeWay,
}

enum HandshakeWay {
    Quic(Box<quic::listener::Handshake>),
    Tcp(tcp::Handshake),
}

/// A link that a peer has dialled; it yields the peer's streams.
pub struct Inbound {
    way: InboundWay,
}

enum InboundWay {
    Quic(quic::listener::Inbound),
    Tcp(tcp::Inbound),
}

/// Tells the peer at the other end of an [`Inbound`] link something, without an answer.
#[derive(Clone)]
pub struct Teller {
    inner: tcp::Teller,
}

impl Listener {
    /// Listens on `address`, a UDP address, for QUIC links of announced instances.
    ///
    /// # Errors
    ///
    /// [`Error::Setup`] if the address can't be bound.
    pub fn bind(address: SocketAddr, identity: &Identity, trust: Trust) -> Result<Listener, Error> {
        let listener = quic::listener::Listener::bind(address, identity, trust)?;
        Ok(Listener {
            way: Way::Quic(listener),
        })
    }

    /// Listens on `address`, a TCP address, for links that begin with a greeting.
    ///
    /// # Errors
    ///
    /// [`Error::Setup`] if the address can't be bound.
    pub async fn plain(address: SocketAddr, greeter: Greeter) -> Result<Listener, Error> {
        let listener = tcp::Listener::bind(address, greeter).await?;
        Ok(Listener {
            way: Way::Tcp(listener),
        })
    }

    /// The address in use, for a port that the system chose.
    ///
    /// # Errors
    ///
    /// [`Error::Setup`] if the socket is gone.
    pub fn address(&self) -> Result<SocketAddr, Error> {
        match &self.way {
            Way::Quic(listener) => listener.address(),
            Way::Tcp(listener) => listener.address(),
        }
    }

    /// The next peer that dials; `None` when the listener is closed.
    pub async fn accept(&self) -> Option<Handshake> {
        let way = match &self.way {
            Way::Quic(listener) => HandshakeWay::Quic(Box::new(listener.accept().await?)),
            Way::Tcp(listener) => HandshakeWay::Tcp(listener.accept().await?),
        };
        Some(Handshake { way })
    }

    /// Takes no more links, waits a bounded time until the peers have the answers that are on their
    /// way, and ends all links.
    pub async fn close(&self) {
        match &self.way {
            Way::Quic(listener) => listener.close().await,
            Way::Tcp(listener) => listener.close().await,
        }
    }
}

impl Handshake {
    /// Awaits the handshake and names the peer.
    ///
    /// # Errors
    ///
    /// [`Error::Dial`] if the peer is slow or not announced.
    pub async fn finish(self) -> Result<Inbound, Error> {
        let way = match self.way {
            HandshakeWay::Quic(handshake) => InboundWay::Quic(handshake.finish().await?),
            HandshakeWay::Tcp(handshake) => InboundWay::Tcp(handshake.finish().await?),
        };
        Ok(Inbound { way })
    }
}

impl Inbound {
    /// The instance at the other end.
    pub fn peer(&self) -> &Instance {
        match &self.way {
            InboundWay::Quic(inbound) => inbound.peer(),
            InboundWay::Tcp(inbound) => inbound.peer(),
        }
    }

    /// The next stream of the peer.
    ///
    /// # Errors
    ///
    /// [`Error::Broken`] when the link has ended.
    pub async fn stream(&self) -> Result<Stream, Error> {
        match &self.way {
            InboundWay::Quic(inbound) => inbound.stream().await.map(Stream::quic),
            InboundWay::Tcp(inbound) => inbound.stream().await.map(Stream::tcp),
        }
    }

    /// What tells the peer something; `None` on a QUIC link, whose listening end opens no streams.
    pub fn teller(&self) -> Option<Teller> {
        match &self.way {
            InboundWay::Quic(_) => None,
            InboundWay::Tcp(inbound) => Some(Teller {
                inner: inbound.teller(),
            }),
        }
    }

    /// Ends the link; its open streams fail.
    pub fn close(&self) {
        match &self.way {
            InboundWay::Quic(inbound) => inbound.close(),
            InboundWay::Tcp(inbound) => inbound.close(),
        }
    }
}

impl Teller {
    /// Sends `note`; it may be lost with its link.
    ///
    /// # Errors
    ///
    /// [`Error::Broken`] if the link is gone.
    pub fn tell(&self, note: Note) -> Result<(), Error> {
        self.inner.tell(note)
    }
}
