//! A relay of datagrams before an instance's link address, which can lose them.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::net::UdpSocket;
use tokio::task::JoinSet;

const LARGEST: usize = 65_536;

/// Carries datagrams to one instance and back.
///
/// A dialler's IP number tells its instance, so that the way of each can be cut by itself.
pub(crate) struct Relay {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    _task: JoinSet<()>,
}

#[derive(Default)]
struct State {
    flows: BTreeMap<SocketAddr, Arc<UdpSocket>>,
    /// Flows that nothing knows any more, while new ones pass.
    silent: BTreeSet<SocketAddr>,
    /// Diallers all of whose flows are lost.
    cut: BTreeSet<IpAddr>,
}

impl State {
    fn passes(&self, from: SocketAddr) -> bool {
        !self.silent.contains(&from) && !self.cut.contains(&from.ip())
    }
}

impl Relay {
    /// A relay on a free port of `ip` that leads to `to`.
    pub(crate) async fn start(ip: IpAddr, to: SocketAddr) -> io::Result<Relay> {
        let socket = Arc::new(UdpSocket::bind((ip, 0)).await?);
        let address = socket.local_addr()?;
        let state = Arc::new(Mutex::new(State::default()));
        let mut task = JoinSet::new();
        task.spawn(run(socket, to, state.clone()));
        Ok(Relay {
            address,
            state,
            _task: task,
        })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// The flows of `from` that are open now are lost for good; new ones pass.
    pub(crate) fn silence(&self, from: IpAddr) {
        let mut state = self.state.lock();
        let flows: Vec<SocketAddr> = state
            .flows
            .keys()
            .copied()
            .filter(|flow| flow.ip() == from)
            .collect();
        state.silent.extend(flows);
    }

    /// All that comes from and goes to `from` is lost until this is switched off again.
    pub(crate) fn cut(&self, from: IpAddr, cut: bool) {
        let mut state = self.state.lock();
        if cut {
            state.cut.insert(from);
        } else {
            state.cut.remove(&from);
        }
    }
}

async fn run(socket: Arc<UdpSocket>, to: SocketAddr, state: Arc<Mutex<State>>) {
    let mut backs = JoinSet::new();
    let mut buffer = vec![0; LARGEST];
    loop {
        // An error tells of an earlier datagram that found no receiver; QUIC copes with the loss.
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        if !state.lock().passes(from) {
            continue;
        }
        let known = state.lock().flows.get(&from).cloned();
        let flow = match known {
            Some(flow) => flow,
            None => {
                let Ok(flow) = open(socket.clone(), to).await else {
                    continue;
                };
                state.lock().flows.insert(from, flow.clone());
                backs.spawn(back(flow.clone(), socket.clone(), from, state.clone()));
                flow
            }
        };
        drop(flow.send(&buffer[..length]).await);
    }
}

async fn open(socket: Arc<UdpSocket>, to: SocketAddr) -> io::Result<Arc<UdpSocket>> {
    let flow = UdpSocket::bind((socket.local_addr()?.ip(), 0)).await?;
    flow.connect(to).await?;
    Ok(Arc::new(flow))
}

async fn back(
    flow: Arc<UdpSocket>,
    socket: Arc<UdpSocket>,
    to: SocketAddr,
    state: Arc<Mutex<State>>,
) {
    let mut buffer = vec![0; LARGEST];
    loop {
        let Ok(length) = flow.recv(&mut buffer).await else {
            continue;
        };
        if state.lock().passes(to) {
            drop(socket.send_to(&buffer[..length], to).await);
        }
    }
}
