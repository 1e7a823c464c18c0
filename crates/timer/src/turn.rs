//! Waits until the runtime has polled its sockets.

use std::io;

use tokio::net::UnixDatagram;
use tokio::runtime::{Handle, RuntimeFlavor};
use tokio::sync::Semaphore;
use tokio::task::yield_now;

/// Polls that a runtime of one thread makes before a deadline is judged. One poll takes up to 1,024
/// sockets, and what it brings passes through two tasks at most.
const POLLS: usize = 8;

/// Sockets that are open at a time to learn whether the driver has polled.
static PROBES: Semaphore = Semaphore::const_new(16);

/// Waits until all sockets that are ready now have been polled. On a runtime of one thread their tasks
/// have had a turn as well.
pub async fn polled() {
    if Handle::current().runtime_flavor() != RuntimeFlavor::CurrentThread {
        // Another thread may be about to poll, or may have taken a part of what is ready.
        if let Err(error) = probe().await {
            log::debug!("timer: the driver can't be probed: {error}.");
        }
    }
    for _ in 0..POLLS {
        // A runtime of one thread polls its sockets before it resumes a task that has yielded.
        yield_now().await;
    }
}

/// A new socket is writable at once, and the driver learns of it after all that were ready before.
async fn probe() -> io::Result<()> {
    let _permit = PROBES.acquire().await;
    UnixDatagram::unbound()?.writable().await
}
