//! A listening address for callers, where requests of one connection are served concurrently.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
use http::{Request, Response};
use socket2::SockRef;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use unit::Size;

use crate::connection::Connection;
use crate::{Body, server};

/// Answers one request of a peer.
pub type Handler =
    Arc<dyn Fn(SocketAddr, Request<Body>) -> BoxFuture<'static, Response<Body>> + Send + Sync>;

/// The limits on connections of one listening address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Largest size of a request's head.
    pub head: Size,
    /// Longest time that a head may take to arrive, from its first byte.
    pub head_timeout: Duration,
    /// Longest time that a connection may be idle.
    pub idle_timeout: Duration,
}

/// Size of the buffers of a connection's socket. Unread bytes wait there as well, and count for the
/// machine. The system takes twice as much for its own needs.
pub(crate) const RECEIVE_BUFFER_BYTES: usize = 64 << 10;
pub(crate) const SEND_BUFFER_BYTES: usize = 128 << 10;

/// A listening address and the handler of its requests.
#[derive(Clone)]
pub struct Port {
    /// Answers requests. The future is dropped when the caller disconnects.
    pub handler: Handler,
    /// Returns the limits currently in force.
    pub limits: Arc<dyn Fn() -> ConnectionLimits + Send + Sync>,
    /// What the connections of all addresses hold together.
    pub clients: clients::Table,
    /// Once cancelled, each connection is closed after its requests in flight are answered.
    pub stop: CancellationToken,
}

impl Port {
    /// Serves the connections of `listener` until the port is stopped and all of them have ended.
    pub async fn serve(self, listener: TcpListener) {
        bound_buffers(&listener);
        let connections = TaskTracker::new();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = self.stop.cancelled() => break,
            };
            let (stream, peer) = match accepted {
                Ok(accepted) => accepted,
                Err(error) => {
                    server::pause_after_accept_error(&error).await;
                    continue;
                }
            };
            let Some(client) = self.clients.connect().await else {
                log::warn!("entry: connection limit reached; connection of {peer} closed.");
                continue;
            };
            let port = self.clone();
            connections.spawn(async move {
                let connection = Connection::new(port, peer, client);
                if let Err(error) = connection.serve(stream).await {
                    log::debug!("entry: connection of {peer} ended: {error}.");
                }
            });
        }
        drop(listener);
        connections.close();
        connections.wait().await;
    }
}

/// Bounds the buffers of the connections that `listener` will accept, which take over its options.
fn bound_buffers(listener: &TcpListener) {
    let socket = SockRef::from(listener);
    let bounded = socket
        .set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
        .and_then(|()| socket.set_send_buffer_size(SEND_BUFFER_BYTES));
    if let Err(error) = bounded {
        log::warn!("entry: the buffers of connections keep their size: {error}.");
    }
}
