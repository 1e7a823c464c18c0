//! Puts evacuations in force at one daemon.

use std::sync::Arc;

use evacuation::Zones;
use target::Server;
use tokio::sync::{Notify, watch};
use unit::Zone;

/// Closes and opens the gate of `server`, which is in `zone`, as the evacuations say, and notifies
/// `stale` of each change so that the entry chooses other targets. Never returns.
///
/// Entries leave out the targets of an evacuated zone. The gate is the last guard, for requests of
/// entries that have not heard of the evacuation yet.
pub(crate) async fn run(
    mut zones: watch::Receiver<Zones>,
    zone: Zone,
    server: Arc<Server>,
    stale: Arc<Notify>,
) {
    let mut was_evacuated = false;
    loop {
        let is_evacuated = zones.borrow_and_update().contains(&zone);
        if is_evacuated != was_evacuated {
            was_evacuated = is_evacuated;
            log::info!("gate: zone={zone} evacuated={is_evacuated}.");
            if !is_evacuated {
                // The target may have become cold meanwhile. This must precede the first request.
                server.doubt_warmth();
            }
            server.gate().set_evacuated(is_evacuated);
        }
        stale.notify_one();
        if zones.changed().await.is_err() {
            return;
        }
    }
}
