//! Notices that a link has gone silent while calls are open on it.
//!
//! Something between the two ends may lose track of a connection: packets vanish, while new
//! connections work. QUIC by itself notices only at its idle time-out, and a caller would hang
//! until then. We look at the count of received datagrams while streams are open, and send a
//! datagram of one byte when nothing came: QUIC must acknowledge it, so a live peer shows itself
//! within a round trip and its acknowledgement delay (25 ms). An idle link costs nothing.

use std::sync::Weak;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::sleep;

use crate::quic::link::Inner;
use crate::silence::Silence;

/// How often a link with open streams is looked at.
const PERIOD: Duration = Duration::from_millis(100);

/// Nothing received for so long, with pings sent: the link is taken for silent.
///
/// Five pings in a row must be lost by chance to end a live link falsely; its calls are then asked
/// after by token, so that a false alarm costs time and never a second run.
const SILENT_AFTER: Duration = Duration::from_millis(600);

/// Code of the close, for the peer's log if it can still read it.
const SILENT: quinn::VarInt = quinn::VarInt::from_u32(3);

/// Watches `connection` until it closes.
pub(crate) async fn run(link: Weak<Inner>, connection: quinn::Connection) {
    loop {
        if !busy(&link, &connection).await {
            return;
        }
        if !watch(&link, &connection).await {
            return;
        }
    }
}

/// Waits until a stream is open; false if the link has ended.
async fn busy(link: &Weak<Inner>, connection: &quinn::Connection) -> bool {
    let Some(inner) = link.upgrade() else {
        return false;
    };
    if inner.open.load(Ordering::Acquire) > 0 {
        return true;
    }
    tokio::select! {
        () = inner.busy.notified() => true,
        _ = connection.closed() => false,
    }
}

/// Looks at the link while streams are open; false if the link has ended.
async fn watch(link: &Weak<Inner>, connection: &quinn::Connection) -> bool {
    let mut silence = Silence::new(received(connection));
    loop {
        sleep(PERIOD).await;
        let Some(inner) = link.upgrade() else {
            return false;
        };
        if connection.close_reason().is_some() {
            return false;
        }
        if inner.open.load(Ordering::Acquire) == 0 {
            return true;
        }
        let received = || received(connection);
        let lasted = silence.add_polled(PERIOD, SILENT_AFTER, received).await;
        if lasted.is_zero() {
            continue;
        }
        if lasted >= SILENT_AFTER {
            log::warn!("wire: the link to {} has gone silent.", inner.peer.instance);
            inner.silent.store(true, Ordering::Release);
            connection.close(SILENT, b"silent");
            return false;
        } else {
            // It fails only on a link that is closing, which the next look sees.
            let _ = connection.send_datagram(Bytes::from_static(&[0]));
        }
    }
}

fn received(connection: &quinn::Connection) -> u64 {
    connection.stats().udp_rx.datagrams
}
