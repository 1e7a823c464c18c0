//! How the parts of a daemon are set up from its settings.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use confirm::Clock;
use entry::{Admission, Entry, Limits, Unconfirmed};
use feed::{Confirm, Current, Feed};
use gate::Gate;
use ledger::Ledger;
use nest::Table;
use roster::{Record, Shared};
use setting::Setting;
use store::Store;
use target::{ColdLimits, Heartbeats, Server};
use tokio_util::task::TaskTracker;
use unit::{Depth, Fingerprint, Incarnation};
use wire::Dialer;

use crate::claims::Desk;
use crate::directory::Directory;
use crate::profile::Profile;
use crate::quota;

pub(crate) fn record(setting: &Setting, fingerprint: Fingerprint) -> Record {
    // The wall clock orders the lives of one instance; nothing else depends on it.
    let life = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    Record {
        instance: setting.instance.clone(),
        incarnation: Incarnation(life.as_millis() as u64),
        state: roster::State::Live,
        zone: setting.zone.clone(),
        region: setting.region.clone(),
        service: setting.service.clone(),
        link: setting.link_announced,
        fingerprint,
    }
}

/// The clients of a process with these limits.
pub(crate) fn clients(limits: &setting::Limits) -> clients::Table {
    clients::Table::new(clients::Limits {
        memory: limits.client_memory(),
        connections: limits.client_connections(),
    })
}

pub(crate) fn server(
    setting: &Setting,
    profile: &Profile,
    parts: (&Table, &held::Table, Option<&bandwidth::Link>),
    current: &Arc<Current>,
) -> Server {
    let (nests, held, link) = parts;
    let slots = u16::try_from(setting.slots).unwrap_or(u16::MAX);
    let queue = setting.slots as usize * setting.limits.queue as usize;
    let mut gate = Gate::builder(slots)
        .queue(queue)
        .nested_slot(setting.placement.uneven);
    if profile.heartbeat.is_some() {
        // The target tells its slots and its pace, so a slow answer is no sign of too much work: times
        // vary five times by spells that are no one's fault. What is left to find is whether it
        // slows down before its last slot. Slots kept for urgent work would lie idle: the queue
        // serves it first, and a slot is free within a tenth of a service time.
        gate = gate
            .law(gate::Law::Knee)
            .reserve(0.0)
            .isolate_suspects(false);
    }
    let mut server = Server::builder(setting.service.clone(), setting.target, gate.build())
        .nests(nests.clone())
        .max_depth(Depth(setting.limits.depth))
        .idle_timeout(setting.limits.idle.0)
        .held(held.clone())
        .dialect(profile.dialect.clone());
    if let Some(link) = link {
        server = server.link(target::Link {
            link: link.clone(),
            instance: setting.instance.clone(),
        });
    }
    if setting.leave_prefix.is_some() {
        server = server.recovers();
    }
    match profile.heartbeat {
        Some(period) => server
            .heartbeats(heartbeats(setting, period, current))
            .build(),
        None => server.build(),
    }
}

fn heartbeats(setting: &Setting, period: Duration, current: &Arc<Current>) -> Heartbeats {
    let (service, rules) = (setting.service.clone(), current.clone());
    let health_path = move || {
        let rules = rules.get()?;
        rules.document.target(&service)?.health.clone()
    };
    let (service, rules, cold) = (setting.service.clone(), current.clone(), setting.cold);
    let cold_target = move || {
        let Some(cold) = cold else {
            return ColdLimits::default();
        };
        let Some(rules) = rules.get() else {
            // Nothing may be sent to a cold target before it is known what the target bears.
            return ColdLimits {
                max_starts: Some(0),
                warmup: None,
            };
        };
        let target = rules.document.target(&service);
        let rate = target.and_then(|target| target.cold_rate);
        ColdLimits {
            max_starts: rate.map(|rate| cold.max_starts(rate)),
            warmup: target.and_then(|target| target.warmup),
        }
    };
    Heartbeats {
        period,
        health_path: Arc::new(health_path),
        cold_target: Arc::new(cold_target),
    }
}

/// What ties an entry to the other parts.
pub(crate) struct Ways<'a> {
    pub(crate) feed: &'a Feed,
    pub(crate) dialer: &'a Arc<Dialer>,
    pub(crate) current: &'a Arc<Current>,
    pub(crate) directory: &'a Arc<Directory>,
    pub(crate) desk: &'a Arc<Desk>,
    pub(crate) profile: &'a Profile,
    pub(crate) link: Option<&'a bandwidth::Link>,
    pub(crate) quotas: Option<&'a Arc<quota::Desk>>,
}

pub(crate) fn desk(
    setting: &Setting,
    store: &Store,
    dialer: &Arc<Dialer>,
    directory: &Arc<Directory>,
) -> Desk {
    let ledger = Ledger::builder(store.clone())
        .prefix(&setting.ledger_prefix)
        .owner(setting.instance.clone())
        .seed(rand::random())
        .open();
    Desk {
        me: setting.instance.clone(),
        ledger,
        dialer: dialer.clone(),
        directory: directory.clone(),
        open: TaskTracker::new(),
    }
}

pub(crate) fn entry(setting: &Setting, ways: &Ways<'_>, held: held::Table) -> Entry {
    let limits = Limits {
        body: setting.limits.body,
        idle_timeout: setting.limits.idle.0,
        depth: Depth(setting.limits.depth),
        ..Limits::default()
    };
    let (current, directory) = (ways.current.clone(), ways.directory.clone());
    let Setting {
        instance,
        zone,
        service,
        ..
    } = setting;
    let profile = ways.profile;
    let mut entry = Entry::builder(
        instance.clone(),
        zone.clone(),
        service.clone(),
        ways.dialer.clone(),
    )
    .rules(Arc::new(move || current.get().map(|rules| rules.document)))
    .peers(Arc::new(move |instance| directory.peer(instance)))
    .limits(limits)
    .held(held)
    .claims(ways.desk.claims())
    .dialect(profile.dialect.clone())
    .retry(profile.retry)
    .admission(admission(setting, ways.feed, ways.quotas))
    .choice(profile.choice);
    if let Some(home) = &profile.home {
        entry = entry.home(home.clone());
    }
    if let Some(most) = profile.hand_overs {
        entry = entry.max_handovers(most);
    }
    if let Some(bound) = profile.link_within {
        entry = entry.link_timeout(bound);
    }
    if let Some(link) = ways.link {
        entry = entry.link(link.clone());
    }
    entry.build()
}

/// Admits the requests of workspaces within their quotas, while the rules in force are confirmed as the
/// newest.
fn admission(setting: &Setting, feed: &Feed, quotas: Option<&Arc<quota::Desk>>) -> Admission {
    let mut admission = Admission::open();
    if let Some(quotas) = quotas.cloned() {
        admission.quota = Box::new(move |ask| Box::pin(quotas.clone().take(ask)));
    }
    if setting.revoke.is_some() {
        let feed = feed.clone();
        let confirmed = move || {
            let checked = feed.check_confirmed();
            checked.map_err(|unconfirmed| Unconfirmed {
                age: unconfirmed.age,
                retry_after: unconfirmed.retry_after,
            })
        };
        admission.confirmed = Box::new(confirmed);
    }
    admission
}

/// The quotas of workspaces; `None` where they are not counted.
pub(crate) fn quotas(
    setting: &Setting,
    sources: &Sources<'_>,
    feed: &Feed,
    directory: &Arc<Directory>,
) -> Option<Arc<quota::Desk>> {
    let rules = sources.current.clone();
    let parts = quota::Parts {
        roster: sources.roster.clone(),
        directory: directory.clone(),
        dialer: sources.dialer.clone(),
        store: sources.store.clone(),
        feed: feed.clone(),
        quotas: Box::new(move |workspace| {
            let rules = rules.get()?;
            rules.document.workspaces()?.get(workspace)?.quota
        }),
    };
    let desk = quota::Desk::new(&setting.quota?, Clock::system(), parts);
    Some(Arc::new(desk))
}

/// What a feed reads and changes.
pub(crate) struct Sources<'a> {
    pub(crate) store: &'a Store,
    pub(crate) roster: &'a Arc<Shared>,
    pub(crate) current: &'a Arc<Current>,
    pub(crate) evacuations: &'a Arc<evacuation::Shared>,
    pub(crate) dialer: &'a Arc<Dialer>,
    pub(crate) profile: &'a Profile,
}

/// The feed; `changed` is called when readers of the roster may see a change.
pub(crate) fn feed(
    setting: &Setting,
    sources: &Sources<'_>,
    changed: impl Fn() + Send + Sync + 'static,
) -> Feed {
    let Sources {
        store,
        roster,
        current,
        evacuations,
        dialer,
        profile,
    } = *sources;
    let evacuation_prefix = setting.evacuation_prefix.as_deref();
    let linked = dialer.clone();
    let linked = move || {
        linked
            .links()
            .iter()
            .map(|link| link.peer().instance.clone())
            .collect()
    };
    let dials = dialer.clone();
    let feed = Feed::builder(store.clone(), roster.clone(), current.clone())
        .carrier(feed::over(dialer.clone()))
        .prefix(&setting.announce_prefix)
        .rules_key(&setting.rules_key)
        .evacuations(evacuation_prefix, evacuations.clone())
        .on_change(changed)
        .linked_peers(linked)
        .mistaken(move || dials.mistaken())
        .seed(rand::random())
        .pace(profile.pace)
        .standing(profile.standing)
        .sparse(profile.sparse)
        .announce_below(profile.announce_below);
    // The allocators of quotas lend only while their list is confirmed.
    let keys: Vec<String> = setting
        .quota
        .iter()
        .map(|_| quota::LIST_KEY.to_string())
        .collect();
    if setting.revoke.is_none() && keys.is_empty() && !profile.check_rules {
        return feed.build();
    }
    let confirm = Confirm {
        revoke: setting.revoke,
        keys,
        ..Confirm::default()
    };
    feed.confirm(confirm).build()
}
