//! A TCP proxy on loopback that makes trouble.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::sleep;

const CHUNK: usize = 16 << 10;

/// What a proxy does with its connections.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Mode {
    /// Nothing of its own.
    Pass,
    /// Holds up each chunk, both ways.
    Delay(Duration),
    /// Resets all connections, and each new one.
    Reset,
    /// Passes nothing on, neither way, and closes nothing.
    Silent,
    /// Passes on what is sent to the server, and nothing of what it answers.
    Mute,
    /// Passes on only what the server sends to itself and is answered.
    Own,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Way {
    There,
    Back,
}

/// A proxy; it ends with the value.
pub struct Proxy {
    mode: watch::Sender<Mode>,
    task: JoinHandle<()>,
}

impl Proxy {
    /// Listens at `at` and passes connections on to `to`; with `twice` the server gets all bytes
    /// on a second connection too, whose answers nobody sees.
    ///
    /// # Errors
    ///
    /// If `at` is taken.
    pub async fn start(at: SocketAddr, to: SocketAddr, twice: bool) -> io::Result<Proxy> {
        let ends = Ends {
            to,
            twice,
            own: None,
        };
        Proxy::between(at, ends).await
    }

    /// The same, where the server itself is told from other clients by a name in the first bytes.
    ///
    /// # Errors
    ///
    /// If `at` is taken.
    pub async fn of_daemon(at: SocketAddr, to: SocketAddr, own: &str) -> io::Result<Proxy> {
        let ends = Ends {
            to,
            twice: false,
            own: Some(own.into()),
        };
        Proxy::between(at, ends).await
    }

    async fn between(at: SocketAddr, ends: Ends) -> io::Result<Proxy> {
        let listener = TcpListener::bind(at).await?;
        let (mode, seen) = watch::channel(Mode::Pass);
        let task = tokio::spawn(accept(listener, ends, seen));
        Ok(Proxy { mode, task })
    }

    /// From now on.
    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

/// Where a proxy leads to.
#[derive(Clone)]
struct Ends {
    to: SocketAddr,
    /// The server gets all bytes on a second connection too.
    twice: bool,
    /// The name of the server among its clients.
    own: Option<Arc<str>>,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, ends: Ends, mode: watch::Receiver<Mode>) {
    let mut pairs = JoinSet::new();
    loop {
        let Ok((client, _)) = listener.accept().await else {
            continue;
        };
        while pairs.try_join_next().is_some() {}
        let (ends, mode) = (ends.clone(), mode.clone());
        pairs.spawn(async move {
            // A connection that ends in an error ends for its client too, which is all there is.
            drop(pair(client, ends, mode).await);
        });
    }
}

async fn pair(
    client: TcpStream,
    Ends { to, twice, own }: Ends,
    mut mode: watch::Receiver<Mode>,
) -> io::Result<()> {
    if *mode.borrow() == Mode::Reset {
        return client.set_zero_linger();
    }
    let server = TcpStream::connect(to).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    // Whatever ends the pair first, the reset comes with the drop of the sockets.
    client.set_zero_linger()?;
    let second = match twice {
        true => Some(copier(TcpStream::connect(to).await?)),
        false => None,
    };
    let is_own = match own {
        Some(own) => tokio::select! {
            first = begins_with(&client, own.as_bytes()) => first?,
            _ = mode.wait_for(|mode| *mode == Mode::Reset) => return Ok(()),
        },
        None => false,
    };
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    let there = carry(
        (Way::There, is_own),
        from_client,
        to_server,
        mode.clone(),
        second,
    );
    let back = carry(
        (Way::Back, is_own),
        from_server,
        to_client,
        mode.clone(),
        None,
    );
    tokio::select! {
        ended = there => ended,
        ended = back => ended,
        _ = mode.wait_for(|mode| *mode == Mode::Reset) => Ok(()),
    }
}

/// Whether the first bytes of a connection hold `name`.
async fn begins_with(client: &TcpStream, name: &[u8]) -> io::Result<bool> {
    let mut first = vec![0; CHUNK];
    let count = client.peek(&mut first).await?;
    Ok(first[..count].windows(name.len()).any(|part| part == name))
}

/// Writes what it is given to the server, and reads off its answers.
fn copier(server: TcpStream) -> OwnedWriteHalf {
    let (mut answers, requests) = server.into_split();
    tokio::spawn(async move {
        let mut bytes = vec![0; CHUNK];
        while matches!(answers.read(&mut bytes).await, Ok(count) if count > 0) {}
    });
    requests
}

async fn carry(
    (way, is_own): (Way, bool),
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mode: watch::Receiver<Mode>,
    mut second: Option<OwnedWriteHalf>,
) -> io::Result<()> {
    let mut bytes = vec![0; CHUNK];
    loop {
        let count = from.read(&mut bytes).await?;
        if count == 0 {
            return Ok(());
        }
        let held = |mode: &Mode| match mode {
            Mode::Silent => true,
            Mode::Mute => way == Way::Back,
            Mode::Own => !is_own,
            _ => false,
        };
        // The sender of the modes lives as long as the proxy.
        let now = *mode
            .wait_for(|mode| !held(mode))
            .await
            .map_err(io::Error::other)?;
        if let Mode::Delay(by) = now {
            sleep(by).await;
        }
        to.write_all(&bytes[..count]).await?;
        if let Some(second) = &mut second {
            second.write_all(&bytes[..count]).await?;
        }
    }
}
