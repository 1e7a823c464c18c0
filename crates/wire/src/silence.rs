//! How long a link has been silent, in time that this process ran.

use std::time::Duration;

use tokio::time::Instant;

/// Adds up the waits of a watch during which nothing was received. Each counts as its planned length
/// at most: a process that was stopped neither read nor asked, and its peer may have been stopped too.
pub(crate) struct Silence<T> {
    last: T,
    lasted: Duration,
    since: Instant,
}

impl<T: PartialEq> Silence<T> {
    /// No silence after `last` was received.
    pub(crate) fn new(last: T) -> Silence<T> {
        Silence {
            last,
            lasted: Duration::ZERO,
            since: Instant::now(),
        }
    }

    /// Like [`Silence::add`]. Before a silence of `limit` or more is returned, the sockets are polled, and
    /// `last` is asked once more.
    pub(crate) async fn add_polled(
        &mut self,
        planned: Duration,
        limit: Duration,
        last: impl Fn() -> T,
    ) -> Duration {
        let lasted = self.add(planned, last());
        if lasted < limit {
            return lasted;
        }
        timer::polled().await;
        self.add(Duration::ZERO, last())
    }

    /// Ends a wait that was planned to take `planned`, after which `last` was the last received. Returns
    /// the silence so far.
    pub(crate) fn add(&mut self, planned: Duration, last: T) -> Duration {
        let waited = self.since.elapsed().min(planned);
        match last == self.last {
            true => self.lasted += waited,
            false => self.lasted = Duration::ZERO,
        }
        self.last = last;
        self.since = Instant::now();
        self.lasted
    }
}
