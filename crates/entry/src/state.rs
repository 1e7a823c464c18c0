//! One entry: what it holds, and what it counts.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use parking_lot::Mutex;
use pick::limit;
use serde::Serialize;
use tokio::sync::watch;
use tokio::time::Instant;
use unit::{Outcome, Service};

use crate::{Builder, Upstream};

/// Serves the requests that come to one instance.
pub struct Entry {
    pub(crate) setting: Builder,
    upstreams: Mutex<BTreeMap<Service, Arc<Upstream>>>,
    places: Mutex<BTreeMap<String, Place>>,
    leaving: AtomicBool,
    open: watch::Sender<usize>,
    outcomes: [AtomicU64; 4],
}

/// The bound of one rule on the requests of each caller.
struct Place {
    each: u32,
    table: limit::Table,
}

/// One request under way; a planned stop waits until all are dropped.
pub struct Relay {
    open: watch::Sender<usize>,
}

/// How many requests ended in which way.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Count {
    /// A target's answer was relayed.
    pub ran: u64,
    /// The request reached no target.
    pub not_run: u64,
    /// The request may have run.
    pub unknown: u64,
    /// The key had run before.
    pub already_run: u64,
    /// Requests under way now.
    pub open: u64,
}

impl Entry {
    pub(crate) fn new(setting: Builder) -> Entry {
        Entry {
            setting,
            upstreams: Mutex::default(),
            places: Mutex::default(),
            leaving: AtomicBool::new(false),
            open: watch::Sender::new(0),
            outcomes: Default::default(),
        }
    }

    /// Sets the targets of a service, as the roster has them.
    pub fn set_targets(&self, service: &Service, targets: &[pick::Target]) {
        self.upstream(service).pick.set(Instant::now(), targets);
    }

    /// What this entry knows of the targets of `service`.
    pub fn upstream(&self, service: &Service) -> Arc<Upstream> {
        let mut upstreams = self.upstreams.lock();
        if let Some(upstream) = upstreams.get(service) {
            return upstream.clone();
        }
        let Builder {
            zone,
            way,
            instance,
            ..
        } = &self.setting;
        let upstream = Arc::new(Upstream::new(zone, *way, instance, service));
        upstreams.insert(service.clone(), upstream.clone());
        upstream
    }

    /// The services that were asked for so far.
    pub fn services(&self) -> Vec<Service> {
        self.upstreams.lock().keys().cloned().collect()
    }

    /// Refuses new requests as not run from now on.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Release);
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Resolves once no request is under way.
    pub async fn idle(&self) {
        let mut open = self.open.subscribe();
        // The sender lives as long as this entry, so the wait can't fail.
        drop(open.wait_for(|open| *open == 0).await);
    }

    pub(crate) fn relay(&self) -> Relay {
        self.open.send_modify(|open| *open += 1);
        Relay {
            open: self.open.clone(),
        }
    }

    /// The table that bounds each caller's requests under the rule `name`.
    pub(crate) fn places(&self, name: &str, each: u32) -> limit::Table {
        let mut places = self.places.lock();
        if let Some(place) = places.get(name).filter(|place| place.each == each) {
            return place.table.clone();
        }
        let table = limit::Table::new(limit::Setting {
            each,
            ..limit::Setting::default()
        });
        places.insert(
            name.to_string(),
            Place {
                each,
                table: table.clone(),
            },
        );
        table
    }

    pub(crate) fn count_outcome(&self, outcome: Outcome) {
        self.outcomes[outcome as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// How many requests ended in which way.
    pub fn count(&self) -> Count {
        let read = |outcome: Outcome| self.outcomes[outcome as usize].load(Ordering::Relaxed);
        Count {
            ran: read(Outcome::Ran),
            not_run: read(Outcome::NotRun),
            unknown: read(Outcome::Unknown),
            already_run: read(Outcome::AlreadyRun),
            open: *self.open.borrow() as u64,
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.open.send_modify(|open| *open -= 1);
    }
}
