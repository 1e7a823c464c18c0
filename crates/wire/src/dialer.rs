//! Links to peers: dialled when first needed, shared by all calls, replaced when they end.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::{Instant, timeout};
use unit::{Digest, Fingerprint, Instance};

use crate::{Error, Identity, Link, crypto};

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

const SHARDS: usize = 16;

/// Where a daemon listens, and the certificate that it has announced.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Its instance.
    pub instance: Instance,
    /// The UDP address of its links.
    pub address: SocketAddr,
    /// The certificate that it must show.
    pub fingerprint: Fingerprint,
}

/// Dials peers and keeps their links.
pub struct Dialer {
    identity: Identity,
    local: IpAddr,
    socket: Mutex<Socket>,
    shards: Vec<Mutex<HashMap<Instance, Slot>>>,
}

/// The local socket that new links use.
struct Socket {
    endpoint: quinn::Endpoint,
    generation: u64,
    born: Instant,
}

/// The link of one peer. The async lock makes concurrent callers share one handshake.
#[derive(Clone, Default)]
struct Slot {
    link: Arc<Mutex<Option<Link>>>,
    dialling: Arc<tokio::sync::Mutex<()>>,
}

impl Dialer {
    /// A dialer whose sockets are bound to `local`, with a port that the system chooses.
    ///
    /// # Errors
    ///
    /// [`Error::Setup`] if no socket can be bound.
    pub fn bind(identity: Identity, local: IpAddr) -> Result<Dialer, Error> {
        let socket = Socket::bind(local, 0)?;
        let shards = (0..SHARDS).map(|_| Mutex::default()).collect();
        Ok(Dialer {
            identity,
            local,
            socket: Mutex::new(socket),
            shards,
        })
    }

    /// The link to `peer`, dialled if there is none that lives.
    ///
    /// # Errors
    ///
    /// [`Error::Dial`] if the peer can't be reached or shows another certificate.
    pub async fn link(&self, peer: &Peer) -> Result<Link, Error> {
        let slot = self.slot(&peer.instance);
        if let Some(link) = slot.current(peer) {
            return Ok(link);
        }
        let _dialling = slot.dialling.lock().await;
        if let Some(link) = slot.current(peer) {
            return Ok(link);
        }
        let old = slot.link.lock().take();
        self.leave_silent(old.as_ref())?;
        let link = self.dial(peer).await?;
        *slot.link.lock() = Some(link.clone());
        Ok(link)
    }

    /// The links that live now.
    pub fn links(&self) -> Vec<Link> {
        let slots = self.shards.iter().flat_map(|shard| {
            let shard = shard.lock();
            shard.values().cloned().collect::<Vec<_>>()
        });
        let links = slots.filter_map(|slot| slot.link.lock().clone());
        links.filter(Link::alive).collect()
    }

    fn shard(&self, instance: &Instance) -> &Mutex<HashMap<Instance, Slot>> {
        let hash = Digest::of(instance.as_str().as_bytes()).0;
        &self.shards[(hash % SHARDS as u128) as usize]
    }

    fn slot(&self, instance: &Instance) -> Slot {
        let mut shard = self.shard(instance).lock();
        if let Some(slot) = shard.get(instance) {
            return slot.clone();
        }
        shard.entry(instance.clone()).or_default().clone()
    }

    /// Moves to a new local port if the old link went silent on the present one.
    ///
    /// A new QUIC connection on the same socket would have the same addresses and ports at both
    /// ends, so whatever lost track of the old one would swallow the new one too.
    fn leave_silent(&self, old: Option<&Link>) -> Result<(), Error> {
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

    async fn dial(&self, peer: &Peer) -> Result<Link, Error> {
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
            Ok(Err(error)) => Err(Error::dial(&peer.instance, error)),
            Err(_) => {
                // The way from this port may be the one that is silent.
                self.rotate(generation)?;
                Err(Error::dial(&peer.instance, "no answer to the handshake"))
            }
        }
    }
}

impl Slot {
    fn current(&self, peer: &Peer) -> Option<Link> {
        let link = self.link.lock();
        link.as_ref()
            .filter(|link| link.alive() && link.peer() == peer)
            .cloned()
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
