//! An address where callers are served, with requests of one connection side by side.

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

/// The bounds on callers of one address, as they are in force now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Most bytes of a request's head.
    pub head: Size,
    /// Longest time that a head may take to come, from its first byte.
    pub head_timeout: Duration,
    /// Longest time that a connection may lie idle.
    pub idle: Duration,
    /// Connections at once; one more is closed at once.
    pub connections: u32,
}

/// What a port needs to serve callers.
#[derive(Clone)]
pub struct Port {
    /// Answers requests. The future is dropped when the caller has gone.
    pub handler: Handler,
    /// Tells the bounds in force.
    pub bounds: Arc<dyn Fn() -> Bounds + Send + Sync>,
    /// Once cancelled, connections are closed behind the answers that are under way.
    pub stop: CancellationToken,
}

impl Port {
    /// Serves the connections of `listener` until the port is stopped and all of them have ended.
    pub async fn serve(self, listener: TcpListener) {
        let room = Arc::new(Semaphore::new((self.bounds)().connections as usize));
        let connections = TaskTracker::new();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = self.stop.cancelled() => break,
            };
            let (stream, peer) = match accepted {
                Ok(accepted) => accepted,
                Err(error) => {
                    server::refused(&error).await;
                    continue;
                }
            };
            let Ok(place) = room.clone().try_acquire_owned() else {
                log::warn!("entry: {peer} is one connection too many.");
                continue;
            };
            let port = self.clone();
            connections.spawn(async move {
                if let Err(error) = Connection::new(port, peer).serve(stream).await {
                    log::debug!("entry: connection of {peer} ended: {error}.");
                }
                drop(place);
            });
        }
        drop(listener);
        connections.close();
        connections.wait().await;
    }
}
