//! Tells entries at once when a target turns slow or quick, closes or opens.
//!
//! A report rides on each answer, but spells in which work takes several times as long last some
//! 150 ms, and an entry hears from one of many targets less often than that. A notice of some 30
//! bytes to those entries that sent work lately keeps the age of what they know within the way.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use target::Server;
use tokio::time::{Instant, sleep, timeout};
use unit::Instance;
use wire::{Note, Teller, Topic, codec};

/// Entries that sent no call for so long are not told, where there are many.
const LATELY: Duration = Duration::from_secs(2);

/// Up to so many entries are all told.
const FEW: usize = 16;

/// What speaks against a target is said again after this long: entries forget it, lest they pass over
/// for ever a target whose better news was lost.
const AGAIN: Duration = Duration::from_millis(300);

/// The least time between two notices. A target that flickers would else cost more than it is worth.
const GAP: Duration = Duration::from_millis(5);

/// The entries that have a link to this gate.
#[derive(Default)]
pub(crate) struct Hearers {
    tellers: Mutex<HashMap<Instance, Hearer>>,
}

struct Hearer {
    teller: Teller,
    called: Instant,
}

impl Hearers {
    /// Notes a new link from `peer`.
    pub(crate) fn add(&self, peer: Instance, teller: Teller) {
        let called = Instant::now();
        self.tellers.lock().insert(peer, Hearer { teller, called });
    }

    /// Notes a call from `peer`.
    pub(crate) fn called(&self, peer: &Instance) {
        if let Some(hearer) = self.tellers.lock().get_mut(peer) {
            hearer.called = Instant::now();
        }
    }

    fn tell(&self, note: &Note) {
        let mut tellers = self.tellers.lock();
        let few = tellers.len() <= FEW;
        // A link that has ended is forgotten; its peer dials anew.
        tellers.retain(|_, hearer| {
            let wanted = few || hearer.called.elapsed() < LATELY;
            !wanted || hearer.teller.tell(note.clone()).is_ok()
        });
    }
}

/// Tells of each change of the gate of `server`, for ever.
pub(crate) async fn run(server: Arc<Server>, hearers: Arc<Hearers>) {
    let mut condition = server.gate().condition();
    loop {
        let now = *condition.borrow_and_update();
        let changed = match now.slow || now.closed {
            true => timeout(AGAIN, condition.changed()).await.unwrap_or(Ok(())),
            false => condition.changed().await,
        };
        if changed.is_err() {
            return;
        }
        condition.borrow_and_update();
        match codec::pack(&server.load()) {
            Ok(payload) => hearers.tell(&Note {
                topic: Topic::Load,
                payload,
            }),
            Err(error) => log::error!("gate: {error}."),
        }
        sleep(GAP).await;
    }
}
