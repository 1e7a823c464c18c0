//! Test records, and a cluster of rosters that communicate by direct calls.

use std::collections::BTreeMap;
use std::time::Duration;

use roster::{Ask, Policy, Record, Roster, State, Vote};
use tokio::time::Instant;
use unit::{Fingerprint, Incarnation, Instance, Version};

pub const SECOND: Duration = Duration::from_secs(1);

/// Returns the record of instance `number` of a zone, such as `levis-3`.
pub fn record(zone: &str, number: u16) -> Record {
    let name = format!("{zone}-{number}");
    let mut fingerprint = [0; 32];
    fingerprint[..16].copy_from_slice(&unit::Digest::of(name.as_bytes()).0.to_le_bytes());
    Record {
        instance: name.parse().expect("valid name"),
        incarnation: Incarnation(1),
        state: State::Live,
        zone: zone.parse().expect("valid zone"),
        region: "qc-east".to_string(),
        service: "reservations".parse().expect("valid service"),
        link: ([127, 0, 0, 1], 7000 + number).into(),
        fingerprint: Fingerprint(fingerprint),
    }
}

/// Returns the records of `each` instances in each of the zones.
pub fn records(zones: &[&str], each: u16) -> Vec<Record> {
    let inside = |zone: &&str| {
        let zone = zone.to_string();
        (0..each).map(move |number| record(&zone, number))
    };
    zones.iter().flat_map(inside).collect()
}

/// Returns the roster of `own`, which holds all of `records`.
pub fn roster(now: Instant, own: &Record, records: &[Record]) -> Roster {
    let seed = u64::from(own.link.port());
    let mut roster = Roster::new(now, own.clone(), Policy::default(), seed);
    for record in records {
        roster.merge(now, record.clone());
    }
    roster.take_announcement();
    roster.write_confirmed(own);
    roster.review(now);
    roster
}

/// A cluster of daemons that exchange heartbeats, votes, removals and differing buckets.
pub struct World {
    pub now: Instant,
    pub rosters: BTreeMap<Instance, Roster>,
    /// Writes to the platform by all daemons.
    pub writes: usize,
    /// Reads from the platform by daemons that received no updates.
    pub reads: usize,
    next_heartbeats: BTreeMap<Instance, Instant>,
}

impl World {
    pub fn new(records: &[Record]) -> World {
        let now = Instant::now();
        let all = records
            .iter()
            .map(|own| (own.instance.clone(), roster(now, own, records)));
        World {
            now,
            rosters: all.collect(),
            writes: 0,
            reads: 0,
            next_heartbeats: BTreeMap::new(),
        }
    }

    pub fn roster(&mut self, name: &str) -> &mut Roster {
        self.rosters
            .get_mut(&name.parse::<Instance>().expect("valid name"))
            .expect("known roster")
    }

    /// Runs the cluster, where `open` says whether a message from one daemon reaches another.
    pub fn run(&mut self, seconds: u64, open: &dyn Fn(&Instance, &Instance) -> bool) {
        for _ in 0..seconds {
            self.now += SECOND;
            let names: Vec<Instance> = self.rosters.keys().cloned().collect();
            for name in &names {
                self.act(name, open);
            }
        }
    }

    fn act(&mut self, name: &Instance, open: &dyn Fn(&Instance, &Instance) -> bool) {
        let now = self.now;
        let me = self.rosters.get_mut(name).expect("known roster");
        let review = me.review(now);
        let mut updates = review.removed;
        updates.extend(me.take_announcement());
        let write = me.due_write(now);
        if let Some(record) = &write {
            me.write_confirmed(record);
        }
        let asks_platform = matches!(me.fallback(now), Some(Ask::Platform));
        let due = self.next_heartbeats.get(name).is_none_or(|at| *at <= now);
        let receivers = if due {
            me.heartbeat_receivers()
        } else {
            Vec::new()
        };
        if due {
            self.next_heartbeats
                .insert(name.clone(), me.next_heartbeat(now));
        }
        self.writes += usize::from(write.is_some());
        self.reads += usize::from(asks_platform);
        self.notify(name, updates, open);
        for vote in review.votes {
            self.send_vote(&vote, open);
        }
        for to in receivers.iter().filter(|to| open(name, to)) {
            self.heartbeat(name, to);
        }
    }

    fn notify(
        &mut self,
        from: &Instance,
        updates: Vec<Record>,
        open: &dyn Fn(&Instance, &Instance) -> bool,
    ) {
        for record in updates {
            for (name, other) in self.rosters.iter_mut().filter(|(name, _)| open(from, name)) {
                if name != from {
                    other.merge(self.now, record.clone());
                }
            }
        }
    }

    fn send_vote(&mut self, vote: &Vote, open: &dyn Fn(&Instance, &Instance) -> bool) {
        let observers = self.rosters[&vote.observer].observers(&vote.about);
        for name in observers.iter().filter(|name| open(&vote.observer, name)) {
            if let Some(other) = self.rosters.get_mut(name) {
                other.count_vote(self.now, vote);
            }
        }
    }

    /// Sends one heartbeat, and exchanges the buckets that differ.
    fn heartbeat(&mut self, from: &Instance, to: &Instance) {
        let Some(mut receiver) = self.rosters.remove(to) else {
            return;
        };
        let sender = self.rosters.get_mut(from).expect("known roster");
        if receiver.heartbeat_received(self.now, from, &sender.heartbeat(Version::NONE, None, 0)) {
            for bucket in receiver.differing_buckets(sender.summary()) {
                let back = receiver.exchange(self.now, bucket, sender.bucket(bucket));
                sender.exchange(self.now, bucket, back.reply);
            }
        }
        self.rosters.insert(to.clone(), receiver);
    }

    /// Returns how many live instances `name` holds, and how many of these are suspect.
    pub fn counts(&self, name: &str) -> (usize, usize) {
        let name: Instance = name.parse().expect("valid name");
        let live = self.rosters[&name].live(&"reservations".parse().expect("valid service"));
        let suspect = live.iter().filter(|target| target.suspect).count();
        (live.len(), suspect)
    }
}
