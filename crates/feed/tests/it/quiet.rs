//! What a world costs while nothing happens in it.

use std::time::Duration;

use tokio::time::sleep;

use crate::world::World;

/// What the daemons of a world cost together.
#[derive(Debug)]
pub struct Cost {
    /// Calls on the platform begun each second.
    pub calls: f64,
    /// Watches that wait.
    pub waiting: f64,
    /// Bytes a second for each daemon, sent and received.
    pub bytes: f64,
}

impl World {
    /// What all cost over some seconds in which nothing happens.
    pub async fn cost(&self, seconds: u64) -> Cost {
        sleep(Duration::from_secs(60)).await;
        let (calls, bytes) = (self.calls(), self.bytes());
        sleep(Duration::from_secs(seconds)).await;
        let each = seconds as f64 * self.nodes.len() as f64;
        Cost {
            calls: (self.calls() - calls) as f64 / seconds as f64,
            waiting: f64::from(self.platform.count().waiting),
            bytes: (self.bytes() - bytes) as f64 / each,
        }
    }
}
