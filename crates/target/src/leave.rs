//! Tracks when a target has left whose lives have no names.
//!
//! Such a target says that it leaves, and some time later another life may serve at its address. The
//! connection that the leave arrived on belongs to the life that leaves, so its end shows the end of
//! that life. If it was only idle for too long, the next answer says again that the target leaves.

use std::time::Duration;

use tokio::time::Instant;

use crate::connection::Connection;
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
    /// Records that a life without a name leaves, before its answer is complete.
    pub(crate) fn begin_unnamed_leave(&self) {
        let since = Instant::now();
        *self.witness.lock() = Some(Witness {
            connection: None,
            since,
        });
    }

    /// Keeps the connection on which a life without a name has said that it leaves.
    pub(crate) fn witness_leave(&self, connection: Connection) {
        let connection = Some(connection).filter(Connection::is_reusable);
        let since = Instant::now();
        *self.witness.lock() = Some(Witness { connection, since });
    }

    /// Whether another life may serve in place of one without a name that has said that it leaves.
    pub(crate) fn has_left(&self) -> bool {
        let mut witness = self.witness.lock();
        if !self.presence.lock().is_leaving() {
            *witness = None;
        }
        let ended = witness.as_ref().is_some_and(Witness::has_ended);
        if ended {
            *witness = None;
        }
        ended
    }
}
