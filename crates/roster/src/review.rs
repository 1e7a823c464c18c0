//! Liveness without heartbeats to the platform: who is heard, who is suspect, who gets a vote.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tokio::time::Instant;
use unit::{Instance, Zone};

use crate::entry::Entry;
use crate::record::Record;
use crate::roster::Roster;
use crate::vote::{Finding, Verdict, Vote};

/// The longest time between two reviews that is taken for normal.
const PAUSE: Duration = Duration::from_secs(5);
/// How many silent instances, or zones with some, tell a parted network from a dead instance.
const PARTED: usize = 2;

/// What a review found.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Review {
    /// This daemon's own votes; each is sent to the [observers](Roster::observers) of the
    /// instance that it is about.
    pub votes: Vec<Vote>,
    /// Instances that these votes have removed; their records are to be relayed.
    pub removed: Vec<Record>,
}

/// What the last review could not see.
#[derive(Debug, Default)]
pub(crate) struct Blind {
    /// This daemon was cut off.
    cut: bool,
    /// Zones of which nothing was heard.
    zones: BTreeSet<Zone>,
}

/// How much of a zone is heard.
#[derive(Debug, Default)]
struct Reach {
    heard: usize,
    silent: usize,
}

impl Roster {
    /// Notes that something came from `instance` by a link or a heartbeat.
    pub fn mark_seen(&mut self, now: Instant, instance: &Instance) {
        let Some(entry) = self.entries.get_mut(instance) else {
            return;
        };
        entry.sight.last_seen = entry.sight.last_seen.max(Some(now));
        entry.sight.link_lost = entry.sight.link_lost.filter(|lost| *lost > now);
        if entry.sight.suspect {
            self.refresh(now, instance);
        }
    }

    /// Notes that a link to `instance` has gone silent or could not be opened.
    ///
    /// It is suspect here at once, until it is heard.
    pub fn link_lost(&mut self, now: Instant, instance: &Instance) {
        let Some(entry) = self.entries.get_mut(instance) else {
            return;
        };
        entry.sight.link_lost = Some(now);
        self.refresh(now, instance);
    }

    /// Looks at all instances: marks suspects, ages what is old, and casts votes.
    ///
    /// To be called about once a second.
    pub fn review(&mut self, now: Instant) -> Review {
        self.forgive_pause(now);
        self.age(now);
        self.refresh_subjects();
        self.expect(now);
        let reach = self.reach(now);
        self.forgive_parting(now, &reach);
        self.mark(now, &reach);
        self.vote(now, &reach)
    }

    /// Whether this daemon has lost sight of most of the instances that it observes.
    ///
    /// It must then assume that it is itself cut off, and casts no votes: else a daemon whose
    /// own network has failed would vote against all that it observes.
    pub fn cut_off(&self, now: Instant) -> bool {
        let subjects = self.subjects.names.iter();
        let sights = subjects.filter_map(|name| self.entries.get(name));
        let silent = |silence: Duration| silence >= self.policy.suspect_after;
        let known: Vec<bool> = sights
            .filter_map(|entry| entry.sight.silence(now).map(silent))
            .collect();
        let lost = known.iter().filter(|silent| **silent).count();
        lost * 2 > known.len()
    }

    /// Forgets earlier silences if this process was itself paused.
    ///
    /// After a pause of a minute all heartbeats look a minute late: nobody is to be blamed for
    /// what came while we didn't look.
    fn forgive_pause(&mut self, now: Instant) {
        let paused = now.saturating_duration_since(self.reviewed) > PAUSE;
        self.reviewed = now;
        if paused {
            log::info!("roster: was paused, and observes anew.");
            self.forgive(now, |_| true);
        }
    }

    /// Forgets silences of a zone that is heard again, and all once this daemon isn't cut off.
    ///
    /// When regions meet again after ten minutes, the first heartbeat shows that the zone is up,
    /// and those whose heartbeats are some seconds behind look as if they alone had been silent
    /// for ten minutes. Votes at that moment would remove most of a region that has just come
    /// back, and its instances would all write to the platform to refute it. Counting the silence
    /// from the zone's return gives each the time that a dead instance has.
    fn forgive_parting(&mut self, now: Instant, reach: &BTreeMap<Zone, Reach>) {
        let cut = self.cut_off(now);
        let returned = self.blind.cut && !cut;
        let heard = |zone: &&Zone| reach.get(*zone).is_some_and(|reach| reach.heard > 0);
        let back: BTreeSet<Zone> = self.blind.zones.iter().filter(heard).cloned().collect();
        if returned || !back.is_empty() {
            self.forgive(now, |zone| returned || back.contains(zone));
        }
        let dark = reach.iter().filter(|(_, reach)| reach.heard == 0);
        self.blind = Blind {
            cut,
            zones: dark.map(|(zone, _)| zone.clone()).collect(),
        };
    }

    /// Counts the silence of all instances of the zones that `of` names from now on.
    fn forgive(&mut self, now: Instant, of: impl Fn(&Zone) -> bool) {
        let entries = self.entries.values_mut();
        for entry in entries.filter(|entry| of(&entry.record.zone)) {
            entry.sight.expected = entry.sight.expected.map(|_| now);
        }
    }

    /// Drops tombstones and votes that have had their time.
    fn age(&mut self, now: Instant) {
        let age = |at: Instant| now.saturating_duration_since(at);
        let (tombstone, vote) = (self.policy.tombstone_ttl, self.policy.vote_ttl);
        let me = &self.me;
        self.entries
            .retain(|name, entry| name == me || !entry.is_gone() || age(entry.since) < tombstone);
        for entry in self.entries.values_mut() {
            entry.votes.retain(|_, at| age(*at) < vote);
        }
    }

    /// Starts to expect heartbeats of new subjects, and stops for those of others now.
    fn expect(&mut self, now: Instant) {
        for (name, entry) in &mut self.entries {
            let expected = self.subjects.names.contains(name);
            let since = entry.sight.expected.unwrap_or(now);
            entry.sight.expected = expected.then_some(since);
        }
    }

    fn reach(&self, now: Instant) -> BTreeMap<Zone, Reach> {
        let mut zones: BTreeMap<Zone, Reach> = BTreeMap::new();
        let span = self.policy.suspect_after;
        for entry in self.entries.values().filter(|entry| !entry.is_gone()) {
            let reach = zones.entry(entry.record.zone.clone()).or_default();
            let heard = entry.sight.seen_within(now, span) || entry.record.instance == self.me;
            reach.heard += usize::from(heard);
            reach.silent += usize::from(!heard && entry.sight.silent_for(now, span));
        }
        zones
    }

    /// Marks suspects: those that are silent, and all of a zone that is parted from this one.
    fn mark(&mut self, now: Instant, reach: &BTreeMap<Zone, Reach>) {
        let parted = parted(reach);
        let flips = |entry: &&Entry| {
            let cut = !entry.is_gone() && parted.contains(&entry.record.zone);
            let suspect = cut || self.seems_silent(now, entry);
            suspect != entry.sight.suspect
        };
        let flipped = self.entries.values().filter(flips);
        let names: Vec<Instance> = flipped.map(|entry| entry.record.instance.clone()).collect();
        for name in names {
            self.flip(&name);
        }
    }

    /// Works out again whether one instance is suspect.
    pub(crate) fn refresh(&mut self, now: Instant, instance: &Instance) {
        let entry = self.entries.get(instance);
        if entry.is_some_and(|entry| self.seems_silent(now, entry) != entry.sight.suspect) {
            self.flip(instance);
        }
    }

    fn seems_silent(&self, now: Instant, entry: &Entry) -> bool {
        if entry.is_gone() || entry.record.instance == self.me {
            return false;
        }
        if entry.sight.link_lost.is_some() {
            return true;
        }
        // What we hear ourselves outweighs what others say.
        let heard = entry.sight.seen_within(now, self.policy.suspect_after);
        let silent = entry.sight.silent_for(now, self.policy.suspect_after);
        !heard && (silent || !entry.votes.is_empty())
    }

    fn flip(&mut self, instance: &Instance) {
        if let Some(entry) = self.entries.get_mut(instance) {
            entry.sight.suspect = !entry.sight.suspect;
            let service = entry.record.service.clone();
            self.note_change(service);
        }
    }

    fn vote(&mut self, now: Instant, reach: &BTreeMap<Zone, Reach>) -> Review {
        let mut review = Review::default();
        if self.cut_off(now) {
            return review;
        }
        let subjects: Vec<Instance> = self.subjects.names.iter().cloned().collect();
        for name in subjects {
            let Some(vote) = self.own_vote(now, &name, reach) else {
                continue;
            };
            if let Finding::Removed(record) = self.count_vote(now, &vote) {
                review.removed.push(record);
            }
            review.votes.push(vote);
        }
        review
    }

    /// The vote that is due on one subject, if any: cast, repeated, or withdrawn.
    fn own_vote(
        &mut self,
        now: Instant,
        about: &Instance,
        reach: &BTreeMap<Zone, Reach>,
    ) -> Option<Vote> {
        let repeat = self.policy.vote_ttl / 3;
        let patience = self.patience(about, reach);
        let entry = self.entries.get_mut(about)?;
        let voted = entry.sight.voted;
        let silent = entry.sight.silence(now)? >= patience;
        let recent = voted.is_some_and(|at| now.saturating_duration_since(at) < repeat);
        if recent && silent || voted.is_none() && !silent {
            return None;
        }
        entry.sight.voted = silent.then_some(now);
        let verdict = if silent {
            Verdict::Silent
        } else {
            Verdict::Heard
        };
        Some(Vote {
            observer: self.me.clone(),
            about: about.clone(),
            incarnation: entry.record.incarnation,
            verdict,
        })
    }

    /// How long an instance may be silent before this daemon votes against it.
    ///
    /// While others of its zone are heard, the instance alone is at fault. If none is, the way
    /// to the zone may be: regions part for minutes, so we wait much longer.
    fn patience(&self, about: &Instance, reach: &BTreeMap<Zone, Reach>) -> Duration {
        let zone = self.get(about).map(|record| &record.zone);
        let heard = zone
            .and_then(|zone| reach.get(zone))
            .map(|reach| reach.heard);
        match heard {
            Some(0) | None => self.policy.remove_zone_after,
            Some(_) => self.policy.remove_after,
        }
    }
}

/// The zones that are parted from this one: something in them is silent and nothing is heard.
///
/// A daemon observes one instance of a zone or so, and a single one may just have stopped. So we
/// ask for a second sign: another silent instance there, or another zone in the same case.
fn parted(reach: &BTreeMap<Zone, Reach>) -> BTreeSet<&Zone> {
    let is_dark = |reach: &Reach| reach.heard == 0 && reach.silent > 0;
    let dark: Vec<_> = reach.iter().filter(|(_, reach)| is_dark(reach)).collect();
    let several = dark.len() >= PARTED;
    let parted = dark
        .into_iter()
        .filter(|(_, reach)| several || reach.silent >= PARTED);
    parted.map(|(zone, _)| zone).collect()
}
