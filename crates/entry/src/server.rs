//! An accept loop for HTTP that stops gracefully, around a gotham handler.
//!
//! gotham's own server never returns. So we accept, and let gotham's handler answer under
//! hyper-util's graceful shutdown.

use std::io;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use gotham::handler::NewHandler;
use gotham::service::call_handler;
use gotham::state::State;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio_util::sync::CancellationToken;
use unit::Size;

/// The bounds of one listening address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bound {
    /// Most bytes of a request's head.
    pub head: Size,
    /// Longest time that a head may take to come, counted anew for each request of a connection;
    /// so an idle connection is closed after it as well.
    pub head_timeout: Duration,
    /// Most connections at once; one more is closed at once.
    pub connections: u32,
}

impl Default for Bound {
    fn default() -> Bound {
        Bound {
            head: Size::of(64_000),
            head_timeout: Duration::from_secs(10),
            connections: 4_096,
        }
    }
}

/// hyper needs at least this much for its buffer.
const MIN_HEAD: usize = 8 << 10;

/// Pause after a failed accept, which mostly means that file descriptors have run out.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);

/// Serves `handler` on `listener` until `stop`, then until the requests under way have ended.
pub async fn serve<H>(listener: TcpListener, handler: H, bound: Bound, stop: CancellationToken)
where
    H: NewHandler + 'static,
{
    let handler = Arc::new(handler);
    let graceful = GracefulShutdown::new();
    let room = Arc::new(Semaphore::new(bound.connections as usize));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => break,
        };
        match accepted {
            Ok((stream, peer)) => {
                if let Ok(place) = room.clone().try_acquire_owned() {
                    connect(
                        Connection {
                            stream,
                            peer,
                            place,
                        },
                        &handler,
                        bound,
                        &graceful,
                    );
                }
            }
            Err(error) => refused(&error).await,
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

struct Connection {
    stream: TcpStream,
    peer: SocketAddr,
    place: OwnedSemaphorePermit,
}

async fn refused(error: &io::Error) {
    log::warn!("entry: no connection accepted: {error}.");
    tokio::time::sleep(ACCEPT_AGAIN).await;
}

fn connect<H>(connection: Connection, handler: &Arc<H>, bound: Bound, graceful: &GracefulShutdown)
where
    H: NewHandler + 'static,
{
    let Connection {
        stream,
        peer,
        place,
    } = connection;
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("entry: connection of {peer}: {error}.");
    }
    let handler = handler.clone();
    let service = service_fn(move |request| {
        let state = State::from_request(request, peer);
        call_handler(handler.clone(), AssertUnwindSafe(state))
            .map(|answer| answer.map_err(|error| io::Error::other(error.to_string())))
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new());
    builder.header_read_timeout(bound.head_timeout);
    builder.max_buf_size((bound.head.bytes() as usize).max(MIN_HEAD));
    let served = graceful.watch(builder.serve_connection(TokioIo::new(stream), service));
    tokio::spawn(async move {
        if let Err(error) = served.await {
            log::debug!("entry: connection of {peer} ended: {error}.");
        }
        drop(place);
    });
}
