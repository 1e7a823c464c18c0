//! One entry: what it holds, and what it counts.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use pick::{Wheel, limit};
use rule::Route;
use serde::Serialize;
use tokio::sync::watch;
use tokio::time::Instant;
use unit::{Instance, Outcome, Report, Service};

use crate::{Builder, InitialTimeout, Stats, Upstream};

/// Routes of which something is remembered. When there are more, as after many changes of the
/// rules, all is learnt anew.
const MOST_ROUTES: usize = 4_096;

/// Serves the requests that come to one instance.
pub struct Entry {
    pub(crate) setting: Builder,
    upstreams: Mutex<BTreeMap<Service, Arc<Upstream>>>,
    places: Mutex<BTreeMap<String, Place>>,
    /// Deals the requests of each weighted route.
    wheels: Mutex<HashMap<String, Wheel>>,
    /// What callers of each route say they will wait.
    waits: Mutex<HashMap<String, InitialTimeout>>,
    /// Entries that share the retry budget.
    members: AtomicUsize,
    closing: AtomicBool,
    leaving: AtomicBool,
    open: watch::Sender<usize>,
    outcomes: [AtomicU64; 4],
    stats: Stats,
}

/// The bound of one rule on the requests of each caller.
struct Place {
    each: u32,
    table: limit::Table,
}

/// One request under way; a planned stop waits until all are dropped.
pub struct InFlight {
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
            wheels: Mutex::default(),
            waits: Mutex::default(),
            members: AtomicUsize::new(1),
            closing: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            open: watch::Sender::new(0),
            outcomes: Default::default(),
            stats: Stats::default(),
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
        let upstream = Arc::new(Upstream::new(&self.setting, service));
        upstream.set_retry_cap(self.retry_cap());
        upstreams.insert(service.clone(), upstream.clone());
        upstream
    }

    /// Tells how many entries there are: each takes its part of the retries saved up.
    pub fn set_members(&self, count: usize) {
        self.members.store(count.max(1), Ordering::Relaxed);
        let cap = self.retry_cap();
        for upstream in self.upstreams.lock().values() {
            upstream.set_retry_cap(cap);
        }
    }

    fn retry_cap(&self) -> f64 {
        let members = self.members.load(Ordering::Relaxed) as f64;
        (self.setting.retry.cap / members).max(1.0)
    }

    /// The service that the next request of a route goes to.
    pub(crate) fn deal(&self, rule: &str, route: &Route) -> Service {
        if route.split.len() < 2 {
            return route.service.clone();
        }
        let weights: Vec<u32> = route.split.iter().map(|part| part.weight).collect();
        let mut wheels = self.wheels.lock();
        if wheels.len() >= MOST_ROUTES {
            wheels.clear();
        }
        let part = wheels.entry(rule.to_string()).or_default().turn(&weights);
        route.split[part].service.clone()
    }

    /// How long the caller of a request has waited already, when it says that it will wait for
    /// `left`: one that asks again has less left than those who ask for the first time.
    pub(crate) fn waited(&self, rule: &str, left: Duration) -> Duration {
        let mut waits = self.waits.lock();
        if waits.len() >= MOST_ROUTES {
            waits.clear();
        }
        waits.entry(rule.to_string()).or_default().elapsed(left)
    }

    /// Notes whether there is a link to `instance`.
    pub fn set_cut(&self, instance: &Instance, cut: bool) {
        for upstream in self.upstreams.lock().values() {
            upstream.pick.set_cut(instance, cut);
        }
    }

    /// Takes in a report that a gate has sent of its own accord.
    pub fn receive_report(&self, instance: &Instance, report: Report) {
        let now = Instant::now();
        for upstream in self.upstreams.lock().values() {
            upstream.pick.hear(now, instance, report);
        }
    }

    /// The instances whose gates requests may go to.
    pub fn instances(&self) -> BTreeSet<Instance> {
        let upstreams = self.upstreams.lock();
        let all = upstreams.values().map(|upstream| upstream.pick.instances());
        all.flatten().collect()
    }

    /// The services that were asked for so far.
    pub fn services(&self) -> Vec<Service> {
        self.upstreams.lock().keys().cloned().collect()
    }

    /// Asks callers to close their connections, while requests are still taken: the caller has them
    /// answered, and goes elsewhere with the next.
    pub fn close_connections(&self) {
        self.closing.store(true, Ordering::Release);
    }

    /// Whether callers are asked to close their connections.
    pub fn is_closing(&self) -> bool {
        self.closing.load(Ordering::Acquire) || self.is_leaving()
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

    pub(crate) fn begin_request(&self) -> InFlight {
        self.open.send_modify(|open| *open += 1);
        InFlight {
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

    /// What this entry measures.
    pub fn stats(&self) -> &Stats {
        &self.stats
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

impl Drop for InFlight {
    fn drop(&mut self) {
        self.open.send_modify(|open| *open -= 1);
    }
}
