//! A table that several parts of a daemon share.

use std::collections::BTreeSet;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::watch;
use unit::{Version, Zone};

use crate::{Record, Table};

/// The evacuated zones at one moment.
pub type Zones = Arc<BTreeSet<Zone>>;

/// A [`Table`] behind a lock, whose readers are notified of changes.
#[derive(Debug)]
pub struct Shared {
    table: Mutex<Table>,
    zones: watch::Sender<Zones>,
}

impl Default for Shared {
    fn default() -> Shared {
        Shared {
            table: Mutex::default(),
            zones: watch::Sender::new(Zones::default()),
        }
    }
}

impl Shared {
    /// The evacuated zones.
    pub fn zones(&self) -> Zones {
        self.zones.borrow().clone()
    }

    /// Subscribes to changes of the evacuated zones.
    pub fn subscribe(&self) -> watch::Receiver<Zones> {
        self.zones.subscribe()
    }

    /// See [`Table::digest`].
    pub fn digest(&self) -> u64 {
        self.table.lock().digest()
    }

    /// See [`Table::records`].
    pub fn records(&self) -> Vec<Record> {
        self.table.lock().records()
    }

    /// Merges records, and returns those that are new here.
    pub fn merge(&self, records: &[Record]) -> Vec<Record> {
        self.change(|table| {
            let new = records.iter().filter(|record| table.merge(record));
            new.cloned().collect()
        })
    }

    /// See [`Table::apply_listing`].
    pub fn apply_listing(&self, listed: &[Record], revision: Version) -> Vec<Record> {
        self.change(|table| table.apply_listing(listed, revision))
    }

    /// See [`Table::apply_restored_listing`].
    pub fn apply_restored_listing(&self, listed: &[Record], revision: Version) -> Vec<Record> {
        self.change(|table| table.apply_restored_listing(listed, revision))
    }

    /// Changes the table, then notifies the readers under the same lock, so that they never see an
    /// older state after a newer one.
    fn change(&self, change: impl FnOnce(&mut Table) -> Vec<Record>) -> Vec<Record> {
        let mut table = self.table.lock();
        let new = change(&mut table);
        for record in &new {
            let Record {
                zone,
                version,
                evacuated,
            } = record;
            log::info!("evacuation: zone={zone} evacuated={evacuated} version={version}.");
        }
        let zones: Zones = Arc::new(table.zones().cloned().collect());
        self.zones
            .send_if_modified(|old| std::mem::replace(old, zones.clone()) != zones);
        new
    }
}
