//! The local sockets of QUIC links, and the settings of both ends.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use timer::timeout;
use tokio::time::Instant;

use crate::quic::link::Link;
use crate::quic::{Identity, crypto};
use crate::{Error, Peer};

/// How long a handshake may take.
const DIAL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A link without any packet for so long is closed; the next call dials anew, which costs about a
/// millisecond of processor time and 15 KB. A gate remembers tokens for longer (40 s past their
/// deadline), so no frame outlives its fence.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Streams that a peer may have open at once on one link to a listener.
///
/// QUIC holds tables for as many as are allowed: 8,192 of them cost 0.73 MB at each end of each
/// link, 256 cost 55 KB (`bench capacity`). One more call waits for a stream; a gate refuses what it
/// can't serve within 300 ms long before one entry has so many calls there.
pub(crate) const MAX_STREAMS: u32 = 256;

/// Streams that a listener may open to the peer that has dialled it: it opens none.
const NO_STREAMS: u32 = 0;

/// Bytes of bodies in flight on one link, and on one stream of it.
///
/// A caller that stops reading holds its stream's window for as long as it likes, and the streams
/// of a link share the link's: were they near each other, some slow callers would hold up all calls
/// between two instances, urgent ones too. So 256 of them fit. The smaller window carries 40 MB a
/// second over a round trip of 3 ms.
const LINK_WINDOW: u32 = 32 << 20;
const STREAM_WINDOW: u32 = 128 << 10;

/// At most one new local socket in this time, however many links go silent together.
const ROTATE_EVERY: Duration = Duration::from_millis(500);

/// Dials peers over QUIC.
pub(crate) struct Sockets {
    identity: Identity,
    local: IpAddr,
    socket: Mutex<Socket>,
    /// Dials that met another certificate than the announced one.
    mistaken: AtomicU64,
}

/// The local socket that new links use.
struct Socket {
    endpoint: quinn::Endpoint,
    generation: u64,
    born: Instant,
}

impl Sockets {
    pub(crate) fn bind(identity: Identity, local: IpAddr) -> Result<Sockets, Error> {
        let socket = Mutex::new(Socket::bind(local, 0)?);
        Ok(Sockets {
            identity,
            local,
            socket,
            mistaken: AtomicU64::new(0),
        })
    }

    /// Dials so far that met another certificate than the announced one.
    pub(crate) fn mistaken(&self) -> u64 {
        self.mistaken.load(Ordering::Relaxed)
    }

    /// Moves to a new local port if the old link went silent on the present one.
    ///
    /// A new QUIC connection on the same socket would have the same addresses and ports at both
    /// ends, so whatever lost track of the old one would swallow the new one too.
    pub(crate) fn leave_silent(&self, old: Option<&Link>) -> Result<(), Error> {
        match old {
            Some(link) if link.went_silent() => self.rotate(link.generation()),
            _ => Ok(()),
        }
    }

    fn rotate(&self, generation: u64) -> Result<(), Error> {
        let mut socket = self.socket.lock();
        let stale = socket.generation == generation;
        if stale && (generation == 0 || socket.born.elapsed() >= ROTATE_EVERY) {
            *socket = Socket::bind(self.local, generation + 1)?;
        }
        Ok(())
    }

    pub(crate) async fn dial(&self, peer: &Peer) -> Result<Link, Error> {
        let crypto = crypto::client(&self.identity, peer.fingerprint)?;
        let mut config = quinn::ClientConfig::new(crypto);
        config.transport_config(Arc::new(transport(NO_STREAMS)?));
        let (endpoint, generation) = {
            let socket = self.socket.lock();
            (socket.endpoint.clone(), socket.generation)
        };
        let connecting = endpoint.connect_with(config, peer.address, crypto::SERVER_NAME);
        let connecting = connecting.map_err(|e| Error::dial(&peer.instance, e))?;
        match timeout(DIAL_TIMEOUT, connecting).await {
            Ok(Ok(connection)) => Ok(Link::new(connection, peer.clone(), generation)),
            Ok(Err(error)) => {
                // An error of our own end, not of the peer's, is about its certificate.
                if matches!(error, quinn::ConnectionError::TransportError(_)) {
                    self.mistaken.fetch_add(1, Ordering::Relaxed);
                }
                Err(Error::dial(&peer.instance, error))
            }
            Err(_) => {
                // The way from this port may be the one that is silent.
                self.rotate(generation)?;
                Err(Error::dial(&peer.instance, "no answer to the handshake"))
            }
        }
    }
}

impl Socket {
    fn bind(local: IpAddr, generation: u64) -> Result<Socket, Error> {
        let endpoint = quinn::Endpoint::client(SocketAddr::new(local, 0));
        let endpoint = endpoint.map_err(|e| Error::setup("bind a socket for links", e))?;
        Ok(Socket {
            endpoint,
            generation,
            born: Instant::now(),
        })
    }
}

/// The QUIC settings of one end, which lets the other open `streams` at once.
pub(crate) fn transport(streams: u32) -> Result<quinn::TransportConfig, Error> {
    let idle = quinn::IdleTimeout::try_from(IDLE_TIMEOUT);
    let idle = idle.map_err(|e| Error::setup("set the idle time-out", e))?;
    let mut config = quinn::TransportConfig::default();
    config.max_idle_timeout(Some(idle));
    config.max_concurrent_bidi_streams(streams.into());
    config.max_concurrent_uni_streams(0u32.into());
    config.receive_window(LINK_WINDOW.into());
    config.stream_receive_window(STREAM_WINDOW.into());
    config.send_window(u64::from(LINK_WINDOW));
    // Pings of the watchdog are the only datagrams; nobody reads them, so a small buffer does.
    config.datagram_receive_buffer_size(Some(1 << 10));
    Ok(config)
}
