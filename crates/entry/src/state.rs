//! The state of an entry and its counters.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use pick::{RoundRobin, limit, retry};
use rule::Route;
use serde::Serialize;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use unit::{Instance, Outcome, Report, Service};

use crate::{Builder, InitialTimeout, Notices, Stats, Upstream};

/// Largest number of routes with per-route state. Beyond it, as after many changes of the rules,
/// the state of all routes is discarded and built up again.
const MAX_ROUTES: usize = 4_096;

/// Serves the requests that arrive at one instance.
pub struct Entry {
    pub(crate) setting: Builder,
    upstreams: Mutex<BTreeMap<Service, Arc<Upstream>>>,
    caller_limits: Mutex<BTreeMap<String, CallerLimit>>,
    /// Distributes the requests of each route that is split over several services.
    round_robins: Mutex<HashMap<String, RoundRobin>>,
    /// The estimated initial timeout of the callers of each route.
    timeouts: Mutex<HashMap<String, InitialTimeout>>,
    pub(crate) notices: Notices,
    /// Number of entries that share the retry budget.
    members: AtomicUsize,
    closing: AtomicBool,
    leaving: AtomicBool,
    /// Cancelled once requests that have not run are to be withdrawn.
    pub(crate) withdrawing: CancellationToken,
    open: watch::Sender<usize>,
    outcomes: [AtomicU64; 4],
    stats: Stats,
}

/// The limit of one rule on the concurrent requests of each caller.
struct CallerLimit {
    each: u32,
    table: limit::Table,
}

/// Counts a request as in flight until it is dropped; a planned stop waits for that.
pub struct InFlight {
    open: watch::Sender<usize>,
}

/// Number of requests by outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Count {
    /// Requests whose answer from a target was relayed.
    pub ran: u64,
    /// Requests that reached no target.
    pub not_run: u64,
    /// Requests that may have run.
    pub unknown: u64,
    /// Requests whose key had run before.
    pub already_run: u64,
    /// Requests in flight now.
    pub open: u64,
}

impl Entry {
    pub(crate) fn new(setting: Builder) -> Entry {
        Entry {
            setting,
            upstreams: Mutex::default(),
            caller_limits: Mutex::default(),
            round_robins: Mutex::default(),
            timeouts: Mutex::default(),
            notices: Notices::default(),
            members: AtomicUsize::new(1),
            closing: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            withdrawing: CancellationToken::new(),
            open: watch::Sender::new(0),
            outcomes: Default::default(),
            stats: Stats::default(),
        }
    }

    /// Sets the targets of a service to those in the roster.
    pub fn set_targets(&self, service: &Service, targets: &[pick::Target]) {
        self.upstream(service)
            .pick
            .set_targets(Instant::now(), targets);
    }

    /// The state of the targets of `service`; created on first use.
    pub fn upstream(&self, service: &Service) -> Arc<Upstream> {
        let mut upstreams = self.upstreams.lock();
        if let Some(upstream) = upstreams.get(service) {
            return upstream.clone();
        }
        let upstream = Arc::new(Upstream::new(&self.setting, service));
        upstream.set_retry_limits(&self.retry_limits());
        upstreams.insert(service.clone(), upstream.clone());
        upstream
    }

    /// Sets the number of entries. Each gets an equal share of the retries that may accumulate, and of
    /// those that a large fleet is granted whatever its requests.
    pub fn set_members(&self, count: usize) {
        self.members.store(count.max(1), Ordering::Relaxed);
        let limits = self.retry_limits();
        for upstream in self.upstreams.lock().values() {
            upstream.set_retry_limits(&limits);
        }
    }

    fn retry_limits(&self) -> retry::Setting {
        let members = self.members.load(Ordering::Relaxed);
        self.setting.retry.part(members)
    }

    /// Chooses the service that the next request of a route goes to, by the weights of the route.
    pub(crate) fn choose_service(&self, rule: &str, route: &Route) -> Service {
        if route.split.len() < 2 {
            return route.service.clone();
        }
        let weights: Vec<u32> = route.split.iter().map(|part| part.weight).collect();
        let mut round_robins = self.round_robins.lock();
        if round_robins.len() >= MAX_ROUTES {
            round_robins.clear();
        }
        let part = round_robins
            .entry(rule.to_string())
            .or_default()
            .next_part(&weights);
        route.split[part].service.clone()
    }

    /// How long the caller of a request has waited already, given that it reports `left` as its
    /// time left: a caller that retries has less time left than one on its first attempt.
    pub(crate) fn time_waited(&self, rule: &str, left: Duration) -> Duration {
        let mut timeouts = self.timeouts.lock();
        if timeouts.len() >= MAX_ROUTES {
            timeouts.clear();
        }
        timeouts.entry(rule.to_string()).or_default().elapsed(left)
    }

    /// Sets whether `instance` is cut off from this one, that is, has no working link.
    pub fn set_cut(&self, instance: &Instance, cut: bool) {
        for upstream in self.upstreams.lock().values() {
            upstream.pick.set_unreachable(instance, cut);
        }
    }

    /// Records a load report that a gate has sent outside of an answer.
    pub fn receive_report(&self, instance: &Instance, report: Report) {
        let now = Instant::now();
        for upstream in self.upstreams.lock().values() {
            upstream.pick.receive_report(now, instance, report);
        }
    }

    /// The instances whose gates may receive requests.
    pub fn instances(&self) -> BTreeSet<Instance> {
        let upstreams = self.upstreams.lock();
        let all = upstreams.values().map(|upstream| upstream.pick.instances());
        all.flatten().collect()
    }

    /// The services that were requested or given targets so far.
    pub fn services(&self) -> Vec<Service> {
        self.upstreams.lock().keys().cloned().collect()
    }

    /// Asks callers to close their connections while requests are still accepted. Callers get the
    /// answers of the requests in flight and send the next one to another instance.
    pub fn close_connections(&self) {
        self.closing.store(true, Ordering::Release);
    }

    /// Whether callers are asked to close their connections.
    pub fn is_closing(&self) -> bool {
        self.closing.load(Ordering::Acquire) || self.is_leaving()
    }

    /// Refuses new requests as not run from now on, except nested calls.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Release);
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Refuses the requests that have not run, wherever they wait, and makes no further attempts for any.
    /// Those that run may finish.
    pub fn withdraw(&self) {
        self.withdrawing.cancel();
    }

    /// Waits until no request is in flight.
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

    /// The table that limits each caller's concurrent requests under the rule `name`.
    pub(crate) fn caller_limit(&self, name: &str, each: u32) -> limit::Table {
        let mut caller_limits = self.caller_limits.lock();
        if let Some(limit) = caller_limits.get(name).filter(|limit| limit.each == each) {
            return limit.table.clone();
        }
        let table = limit::Table::new(limit::Setting {
            each,
            ..limit::Setting::default()
        });
        caller_limits.insert(
            name.to_string(),
            CallerLimit {
                each,
                table: table.clone(),
            },
        );
        table
    }

    pub(crate) fn count_outcome(&self, outcome: Outcome) {
        self.outcomes[outcome as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// The metrics of this entry.
    pub fn stats(&self) -> &Stats {
        &self.stats
    }

    /// Number of requests by outcome, and of those in flight.
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
