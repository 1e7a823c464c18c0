//! A listening address for callers, where requests of one connection are served concurrently.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
use http::{Request, Response};
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
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
    /// Most concurrent connections. Any further one is closed immediately.
    pub connections: u32,
}

/// A listening address and the handler of its requests.
#[derive(Clone)]
pub struct Port {
    /// Answers requests. The future is dropped when the caller disconnects.
    pub handler: Handler,
    /// Returns the limits currently in force.
    pub limits: Arc<dyn Fn() -> ConnectionLimits + Send + Sync>,
    /// Once cancelled, each connection is closed after its requests in flight are answered.
    pub stop: CancellationToken,
}

impl Port {
    /// Serves the connections of `listener` until the port is stopped and all of them have ended.
    pub async fn serve(self, listener: TcpListener) {
        let permits = Arc::new(Semaphore::new((self.limits)().connections as usize));
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
            let Ok(permit) = permits.clone().try_acquire_owned() else {
                log::warn!("entry: connection limit reached; connection of {peer} closed.");
                continue;
            };
            let port = self.clone();
            connections.spawn(async move {
                if let Err(error) = Connection::new(port, peer).serve(stream).await {
                    log::debug!("entry: connection of {peer} ended: {error}.");
                }
                drop(permit);
            });
        }
        drop(listener);
        connections.close();
        connections.wait().await;
    }
}
