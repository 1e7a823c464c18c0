//! Links to peers: dialled when first needed, shared by all calls, replaced when they end.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use parking_lot::Mutex;
use unit::{Digest, Fingerprint, Instance};

use crate::quic::socket::Sockets;
use crate::{Error, Greeter, Identity, Link, tcp};

const SHARDS: usize = 16;

/// Where a daemon listens, and the certificate that it has announced.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Its instance.
    pub instance: Instance,
    /// The address of its links, UDP or TCP as the fleet is set up.
    pub address: SocketAddr,
    /// The certificate that it must show. Over TCP it only tells one life of an instance from
    /// another.
    pub fingerprint: Fingerprint,
}

/// Dials peers and keeps their links.
pub struct Dialer {
    way: Way,
    shards: Vec<Mutex<HashMap<Instance, Slot>>>,
}

enum Way {
    Quic(Sockets),
    Tcp(Greeter),
}

/// The link of one peer. The async lock makes concurrent callers share one handshake.
#[derive(Clone, Default)]
struct Slot {
    link: Arc<Mutex<Option<Link>>>,
    dialling: Arc<tokio::sync::Mutex<()>>,
}

impl Dialer {
    /// A dialer of QUIC links whose sockets are bound to `local`, with a port that the system
    /// chooses.
    ///
    /// # Errors
    ///
    /// [`Error::Setup`] if no socket can be bound.
    pub fn bind(identity: Identity, local: IpAddr) -> Result<Dialer, Error> {
        Ok(Dialer::over(Way::Quic(Sockets::bind(identity, local)?)))
    }

    /// A dialer of TCP links, each of which begins with a greeting.
    pub fn plain(greeter: Greeter) -> Dialer {
        Dialer::over(Way::Tcp(greeter))
    }

    fn over(way: Way) -> Dialer {
        let shards = (0..SHARDS).map(|_| Mutex::default()).collect();
        Dialer { way, shards }
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
        let link = self.dial(peer, old.as_ref()).await?;
        *slot.link.lock() = Some(link.clone());
        Ok(link)
    }

    /// Dials so far that met another certificate than the announced one: the announcement that is
    /// held here is that of a former life. Over TCP both ends say who they are, so there are none.
    pub fn mistaken(&self) -> u64 {
        match &self.way {
            Way::Quic(sockets) => sockets.mistaken(),
            Way::Tcp(_) => 0,
        }
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

    async fn dial(&self, peer: &Peer, old: Option<&Link>) -> Result<Link, Error> {
        match &self.way {
            Way::Quic(sockets) => {
                sockets.leave_silent(old.and_then(Link::as_quic))?;
                sockets.dial(peer).await.map(Link::quic)
            }
            Way::Tcp(greeter) => tcp::dial(peer, greeter).await.map(Link::tcp),
        }
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
}

impl Slot {
    fn current(&self, peer: &Peer) -> Option<Link> {
        let link = self.link.lock();
        link.as_ref()
            .filter(|link| link.alive() && link.leads_to(peer))
            .cloned()
    }
}
