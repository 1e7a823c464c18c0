//! A relay of datagrams that can lose track of pairs of ports.
//!
//! Something between two ends, such as a table of connections, may forget one of them: its packets
//! vanish for good, while those of new ports pass. A [`Relay`] stands before a daemon's link address
//! and does that on demand.

use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use parking_lot::Mutex;
use tokio::net::UdpSocket;
use tokio::task::{JoinHandle, JoinSet};

/// Largest datagram that is forwarded.
const MAX_DATAGRAM: usize = 65_535;

/// A relay before one address; it ends when it is dropped.
pub struct Relay {
    address: SocketAddr,
    pairs: Pairs,
    cut: Arc<AtomicBool>,
    task: JoinHandle<()>,
}

/// One pair of ports: that of a sender, and the one that the relay uses for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pair {
    /// The sender's address.
    pub from: SocketAddr,
    /// Datagrams that passed, both ways together.
    pub passed: u64,
    /// Datagrams that vanished, both ways together.
    pub lost: u64,
    /// Nothing passes.
    pub silent: bool,
}

impl Relay {
    /// Starts a relay on loopback that forwards to `to`.
    pub async fn start(to: SocketAddr) -> Relay {
        let front = local().await.expect("a port is free");
        let address = front.local_addr().expect("a bound socket has an address");
        let pairs = Pairs::default();
        let cut = Arc::<AtomicBool>::default();
        let task = tokio::spawn(run(Arc::new(front), to, pairs.clone(), cut.clone()));
        Relay {
            address,
            pairs,
            cut,
            task,
        }
    }

    /// Where senders reach it.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// All pairs so far.
    pub fn pairs(&self) -> Vec<Pair> {
        self.pairs.lock().values().copied().collect()
    }

    /// Silences all pairs of now for good; pairs of new ports will pass.
    pub fn silence(&self) {
        self.lose(true);
    }

    /// Loses the datagrams of all pairs of now, until it is switched off again.
    pub fn lose(&self, lose: bool) {
        for pair in self.pairs.lock().values_mut() {
            pair.silent = lose;
        }
    }

    /// Loses all datagrams, those of new ports too, until it is switched off again. Those from the address
    /// that the relay leads to pass: a daemon reaches itself.
    pub fn cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

type Pairs = Arc<Mutex<BTreeMap<SocketAddr, Pair>>>;

async fn local() -> io::Result<UdpSocket> {
    UdpSocket::bind((IpAddr::V4(Ipv4Addr::LOCALHOST), 0)).await
}

async fn run(front: Arc<UdpSocket>, to: SocketAddr, pairs: Pairs, cut: Arc<AtomicBool>) {
    // The set ends the ways back when this task is aborted.
    let mut back = JoinSet::new();
    let mut sockets: BTreeMap<SocketAddr, Arc<UdpSocket>> = BTreeMap::new();
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        let Ok((length, from)) = front.recv_from(&mut buffer).await else {
            continue;
        };
        let socket = match sockets.get(&from) {
            Some(socket) => Arc::clone(socket),
            None => {
                let socket = Arc::new(local().await.expect("a port is free"));
                socket.connect(to).await.expect("loopback connects");
                pairs.lock().insert(from, Pair::new(from));
                back.spawn(answer(Way {
                    socket: socket.clone(),
                    front: front.clone(),
                    from,
                    pairs: pairs.clone(),
                    cut: cut.clone(),
                    is_own: from.ip() == to.ip(),
                }));
                sockets.insert(from, socket.clone());
                socket
            }
        };
        let is_cut = cut.load(Ordering::SeqCst) && from.ip() != to.ip();
        if !is_cut && pass(&pairs, from) {
            // A datagram that can't be sent is lost, as on any network.
            drop(socket.send(&buffer[..length]).await);
        }
    }
}

/// The way back to one sender.
struct Way {
    socket: Arc<UdpSocket>,
    front: Arc<UdpSocket>,
    from: SocketAddr,
    pairs: Pairs,
    cut: Arc<AtomicBool>,
    is_own: bool,
}

async fn answer(way: Way) {
    let Way {
        socket,
        front,
        from,
        pairs,
        cut,
        is_own,
    } = way;
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        // An error means that nobody listens behind the relay for now.
        let Ok(length) = socket.recv(&mut buffer).await else {
            continue;
        };
        if (is_own || !cut.load(Ordering::SeqCst)) && pass(&pairs, from) {
            drop(front.send_to(&buffer[..length], from).await);
        }
    }
}

/// Counts one datagram; true if it passes.
fn pass(pairs: &Pairs, from: SocketAddr) -> bool {
    let mut pairs = pairs.lock();
    let Some(pair) = pairs.get_mut(&from) else {
        return false;
    };
    if pair.silent {
        pair.lost += 1;
    } else {
        pair.passed += 1;
    }
    !pair.silent
}

impl Pair {
    fn new(from: SocketAddr) -> Pair {
        Pair {
            from,
            passed: 0,
            lost: 0,
            silent: false,
        }
    }
}
