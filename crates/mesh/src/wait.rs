//! Waiting for a state that must come.

use std::time::Duration;

use tokio::time::{Instant, sleep};

/// How often the state is looked at.
const LOOK: Duration = Duration::from_millis(5);

/// A guard against a test that hangs, and no bound on how fast anything is.
const GIVE_UP: Duration = Duration::from_secs(60);

/// Waits until `check` holds.
///
/// # Panics
///
/// Names `what` if it does not come within a minute.
pub async fn until(what: &str, mut check: impl FnMut() -> bool) {
    let give_up = Instant::now() + GIVE_UP;
    while !check() {
        assert!(Instant::now() < give_up, "{what} did not come about");
        sleep(LOOK).await;
    }
}
