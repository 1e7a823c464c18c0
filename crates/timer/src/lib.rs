//! Deadlines that are judged only after the sockets have been polled.
//!
//! When a stopped process goes on, its wait for events ends without any, and all timers are due before
//! the runtime has polled a socket. A timer that is believed at that moment gives up an answer that
//! lies unread, or closes a connection in which a request waits. The functions of this crate take the
//! place of their namesakes in `tokio::time` wherever a socket or another task's message is awaited:
//! what had arrived before the deadline passed is taken first.
//!
//! ```
//! use std::time::Duration;
//!
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() {
//! let (answer, answered) = tokio::sync::oneshot::channel();
//! tokio::spawn(async move { answer.send("here") });
//! // The process does not run for longer than the limit, and the other task has no turn.
//! let waiting = timer::timeout(Duration::from_millis(5), answered);
//! std::thread::sleep(Duration::from_millis(20));
//! assert_eq!(waiting.await, Ok(Ok("here")));
//! # }
//! ```

mod hyper;
mod turn;

use std::pin::pin;
use std::time::Duration;

use tokio::time::error::Elapsed;
use tokio::time::{Instant, sleep_until};

pub use crate::hyper::Timer;
pub use crate::turn::polled;

/// Waits until `deadline` has passed and the sockets have been polled since.
pub async fn passed(deadline: Instant) {
    sleep_until(deadline).await;
    polled().await;
}

/// Parts of the span of an [`idle_timeout`].
const PARTS: u32 = 10;

/// Waits for `future` for `span`, in which only time counts that this process ran. This is for a peer
/// that may pause for so long: while this process was stopped, the peer may have been stopped too, or
/// what it sent is still on its way through other tasks.
///
/// # Errors
///
/// [`Elapsed`] if the future is not ready even then.
pub async fn idle_timeout<F: Future>(span: Duration, future: F) -> Result<F::Output, Elapsed> {
    let mut future = pin!(future);
    let part = span / PARTS;
    let (mut counted, mut late) = (0, 0);
    loop {
        let began = Instant::now();
        let elapsed = match timeout(part, future.as_mut()).await {
            Ok(output) => return Ok(output),
            Err(elapsed) => elapsed,
        };
        // A process that is always late still gives up in the end.
        match began.elapsed() >= part * 2 && late < PARTS {
            true => late += 1,
            false => counted += 1,
        }
        if counted == PARTS {
            return Err(elapsed);
        }
    }
}

/// Waits for `future` until `span` has passed and the sockets have been polled since.
///
/// # Errors
///
/// [`Elapsed`] if the future is not ready even then.
pub async fn timeout<F: Future>(span: Duration, future: F) -> Result<F::Output, Elapsed> {
    // A span that is too long for the clock never passes.
    match Instant::now().checked_add(span) {
        Some(deadline) => timeout_at(deadline, future).await,
        None => Ok(future.await),
    }
}

/// Waits for `future` until `deadline` has passed and the sockets have been polled since.
///
/// # Errors
///
/// [`Elapsed`] if the future is not ready even then.
pub async fn timeout_at<F: Future>(deadline: Instant, future: F) -> Result<F::Output, Elapsed> {
    let mut future = pin!(future);
    let elapsed = match tokio::time::timeout_at(deadline, future.as_mut()).await {
        Ok(output) => return Ok(output),
        Err(elapsed) => elapsed,
    };
    tokio::select! {
        biased;
        output = future => Ok(output),
        () = polled() => Err(elapsed),
    }
}
