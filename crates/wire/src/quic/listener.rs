//! The end of links that peers dial.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use timer::timeout;
use tokio_util::task::TaskTracker;
use unit::Instance;

use crate::Error;
use crate::quic::socket::{MAX_STREAMS, transport};
use crate::quic::stream::{self, Receiver, Sender, Side};
use crate::quic::{Identity, Trust, crypto};

/// How long a peer may take over its handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a close waits for the tails of answers. A peer acknowledges what it has received however
/// slowly its caller reads, so this covers some retransmissions; a peer that is gone takes all of it.
const DELIVER_WITHIN: Duration = Duration::from_secs(2);

/// How long a close waits for the connections themselves, behind the answers. A peer that lives hears
/// of the close within a round trip. Nothing is left to deliver to one that doesn't, and quinn keeps
/// such connections for three times its probe timeout; some that never end their handshake it kept
/// for 13 s and more, so that planned stops did not end (`bench soak`, seed 112: 2 of 4 runs).
const CLOSE_WITHIN: Duration = Duration::from_millis(500);

/// Accepts links from announced instances.
pub(crate) struct Listener {
    endpoint: quinn::Endpoint,
    trust: Trust,
    /// Streams whose answers the peers have not got yet.
    answering: TaskTracker,
}

/// A link that a peer has begun; the handshake is still to be awaited, apart from others.
pub(crate) struct Handshake {
    incoming: quinn::Incoming,
    trust: Trust,
    answering: TaskTracker,
}

/// A link that a peer has dialled; it yields the peer's streams.
pub(crate) struct Inbound {
    connection: quinn::Connection,
    peer: Instance,
    answering: TaskTracker,
}

impl Listener {
    /// Listens on `address`, a UDP address.
    ///
    /// # Errors
    ///
    /// [`Error::Setup`] if the address can't be bound.
    pub(crate) fn bind(
        address: SocketAddr,
        identity: &Identity,
        trust: Trust,
    ) -> Result<Listener, Error> {
        let crypto = crypto::server(identity, trust.clone())?;
        let mut config = quinn::ServerConfig::with_crypto(crypto);
        config.transport_config(Arc::new(transport(MAX_STREAMS)?));
        let endpoint = quinn::Endpoint::server(config, address);
        let endpoint = endpoint.map_err(|e| Error::setup("bind the link address", e))?;
        Ok(Listener {
            endpoint,
            trust,
            answering: TaskTracker::new(),
        })
    }

    /// The address in use, for a port that the system chose.
    ///
    /// # Errors
    ///
    /// [`Error::Setup`] if the socket is gone.
    pub(crate) fn address(&self) -> Result<SocketAddr, Error> {
        self.endpoint
            .local_addr()
            .map_err(|e| Error::setup("read the link address", e))
    }

    /// The next peer that dials; `None` when the listener is closed.
    pub(crate) async fn accept(&self) -> Option<Handshake> {
        let incoming = self.endpoint.accept().await?;
        Some(Handshake {
            incoming,
            trust: self.trust.clone(),
            answering: self.answering.clone(),
        })
    }

    /// Takes no more links, waits a bounded time until the peers have the answers that are on their
    /// way, and ends all links.
    pub(crate) async fn close(&self) {
        self.endpoint.set_server_config(None);
        self.answering.close();
        if timeout(DELIVER_WITHIN, self.answering.wait())
            .await
            .is_err()
        {
            let count = self.answering.len();
            log::warn!("wire: the links end with {count} answers on their way.");
        }
        self.endpoint.close(quinn::VarInt::from_u32(0), b"closed");
        if timeout(CLOSE_WITHIN, self.endpoint.wait_idle())
            .await
            .is_err()
        {
            let count = self.endpoint.open_connections();
            log::info!("wire: {count} links end without a word of their peers.");
        }
    }
}

impl Handshake {
    /// Awaits the handshake and names the peer.
    ///
    /// # Errors
    ///
    /// [`Error::Dial`] if the peer is slow or not announced.
    pub(crate) async fn finish(self) -> Result<Inbound, Error> {
        let from = self.incoming.remote_address();
        let connecting = self.incoming.accept().map_err(|e| Error::dial(from, e))?;
        let connection = timeout(HANDSHAKE_TIMEOUT, connecting).await;
        let connection = connection.map_err(|_| Error::dial(from, "slow handshake"))?;
        let connection = connection.map_err(|e| Error::dial(from, e))?;
        let fingerprint = crypto::peer(&connection);
        let peer = fingerprint.and_then(|fingerprint| self.trust.find(&fingerprint));
        let peer = peer.ok_or_else(|| Error::dial(from, "not announced"))?;
        Ok(Inbound {
            connection,
            peer,
            answering: self.answering,
        })
    }
}

impl Inbound {
    /// The instance at the other end.
    pub(crate) fn peer(&self) -> &Instance {
        &self.peer
    }

    /// The next stream of the peer.
    ///
    /// # Errors
    ///
    /// [`Error::Broken`] when the link has ended.
    pub(crate) async fn stream(&self) -> Result<(Sender, Receiver), Error> {
        let halves = self.connection.accept_bi().await;
        let halves = halves.map_err(|e| Error::broken("accept a stream", &self.peer, e))?;
        Ok(stream::halves(
            self.connection.clone(),
            halves,
            self.peer.clone(),
            Side::Answering(self.answering.token()),
        ))
    }

    /// Ends the link; its open streams fail.
    pub(crate) fn close(&self) {
        self.connection.close(quinn::VarInt::from_u32(0), b"closed");
    }
}
