//! Tracks when a target has left whose lives have no names.
//!
//! Such a target says that it leaves, and some time later another life may serve at its address. The
//! connection that the leave arrived on belongs to the life that leaves, so its end shows the end of
//! that life. If it was only idle for too long, the next answer says again that the target leaves.

use std::time::Duration;

use tokio::time::Instant;

use crate::connection::Connection;
use crate::presence::Evidence;
use crate::server::Server;

/// A leave is forgotten after this time: if the end of the connection is never seen, no answer would
/// ever tell that another life serves.
const MAX_LEAVE: Duration = Duration::from_secs(10);

/// Shows the end of the life that leaves.
pub(crate) struct Witness {
    /// The connection on which the leave arrived, if it stayed open behind the answer.
    connection: Option<Connection>,
    since: Instant,
}

impl Witness {
    fn has_ended(&self) -> bool {
        let closed = |connection: &Connection| !connection.is_usable();
        self.connection.as_ref().is_some_and(closed) || self.since.elapsed() > MAX_LEAVE
    }
}

impl Server {
    /// Records that a life without a name has said that it leaves, and keeps the connection of that
    /// answer, if it is complete.
    pub(crate) fn witness_leave(&self, connection: Option<Connection>) {
        let connection = connection.filter(Connection::is_reusable);
        let since = Instant::now();
        *self.witness.lock() = Some(Witness { connection, since });
    }

    /// Opens the gate if the leave of a life without a name is over, as another life may serve. If it
    /// is the same one, its next answer says again that it leaves.
    pub(crate) fn end_unnamed_leave(&self) {
        let mut witness = self.witness.lock();
        if !witness.as_ref().is_some_and(Witness::has_ended) {
            return;
        }
        *witness = None;
        drop(witness);
        if self.presence.lock().return_unnamed() {
            log::info!("target: may be another one than that which left.");
            self.reset_max_rate();
            self.update_gate(Evidence::Connection);
        }
    }
}
