//! Whether the target takes connections.

use std::net::SocketAddr;
use std::time::Duration;

use gate::Gate;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// How often the target is asked. The gate alone asks, at this rate whatever the load.
const PERIOD: Duration = Duration::from_millis(250);

/// A target on the same instance that takes longer is down.
const ANSWER_WITHIN: Duration = Duration::from_millis(500);

/// Tells `gate` when the target goes down and comes up, until it is dropped.
///
/// A target that has crashed refuses connections at once, and would else look like the one that
/// answers fastest. One connection in 250 ms finds it, also when no request comes.
pub async fn probe(target: SocketAddr, gate: Gate) {
    let mut up = true;
    loop {
        let answers = matches!(
            timeout(ANSWER_WITHIN, TcpStream::connect(target)).await,
            Ok(Ok(_))
        );
        if answers != up {
            up = answers;
            tell(target, &gate, up);
        }
        sleep(PERIOD).await;
    }
}

fn tell(target: SocketAddr, gate: &Gate, up: bool) {
    if up {
        log::info!("target: {target} takes connections again.");
        gate.target_up();
    } else {
        log::warn!("target: {target} takes no connections.");
        gate.target_down();
    }
}
