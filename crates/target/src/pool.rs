//! Connections to the target.
//!
//! We keep a small pool of our own on hyper's connections in place of hyper-util's client,
//! because that client connects and sends in one step: when it fails, one can't tell whether the
//! target may have seen the request. Here a connection is taken first, while the gate's permit is
//! still unused, and sending is a step of its own.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use quick_error::quick_error;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

/// The body of a request on its way to the target.
pub(crate) type Body = UnsyncBoxBody<Bytes, io::Error>;

/// How long a connection to the target may take. It is on the same instance.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// A connection that was unused for longer is not used again: something between may have lost
/// track of it, and a request on it would hang until its deadline.
const MAX_IDLE: Duration = Duration::from_secs(5);

/// Unused connections kept.
const MAX_KEPT: usize = 256;

quick_error! {
    /// No connection to the target came about; nothing was sent.
    #[derive(Debug)]
    pub enum Error {
        /// The connection failed.
        Connect(target: SocketAddr, cause: io::Error) {
            display("connect to target {target}: {cause}")
            source(cause)
        }
        /// The HTTP handshake failed.
        Handshake(target: SocketAddr, cause: hyper::Error) {
            display("handshake with target {target}: {cause}")
            source(cause)
        }
    }
}

/// Connections to one target.
pub(crate) struct Pool {
    target: SocketAddr,
    idle: Mutex<Vec<Idle>>,
}

struct Idle {
    sender: SendRequest<Body>,
    since: Instant,
}

impl Pool {
    pub(crate) fn new(target: SocketAddr) -> Pool {
        Pool {
            target,
            idle: Mutex::default(),
        }
    }

    /// The address of the target.
    pub(crate) fn target(&self) -> SocketAddr {
        self.target
    }

    /// A connection that is ready for a request: a kept one if `fresh` is false and one is good.
    pub(crate) async fn take(&self, fresh: bool) -> Result<SendRequest<Body>, Error> {
        while let Some(mut sender) = self.kept(fresh) {
            if sender.ready().await.is_ok() {
                return Ok(sender);
            }
        }
        self.connect().await
    }

    /// Keeps a connection whose answer is complete.
    pub(crate) fn give(&self, sender: SendRequest<Body>) {
        let mut idle = self.idle.lock();
        if !sender.is_closed() && idle.len() < MAX_KEPT {
            idle.push(Idle {
                sender,
                since: Instant::now(),
            });
        }
    }

    fn kept(&self, fresh: bool) -> Option<SendRequest<Body>> {
        if fresh {
            return None;
        }
        let mut idle = self.idle.lock();
        idle.retain(|kept| !kept.sender.is_closed() && kept.since.elapsed() < MAX_IDLE);
        idle.pop().map(|kept| kept.sender)
    }

    async fn connect(&self) -> Result<SendRequest<Body>, Error> {
        let target = self.target;
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(target)).await;
        let stream = stream.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
        let stream = stream.map_err(|cause| Error::Connect(target, cause))?;
        stream
            .set_nodelay(true)
            .map_err(|cause| Error::Connect(target, cause))?;
        let shaken = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = shaken.map_err(|cause| Error::Handshake(target, cause))?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("target: connection to {target} ended: {error}.");
            }
        });
        Ok(sender)
    }
}
