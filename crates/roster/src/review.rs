//! Failure detection without heartbeats to the platform: marks suspects and casts votes.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tokio::time::Instant;
use unit::{Instance, Zone};

use crate::entry::Entry;
use crate::record::Record;
use crate::roster::Roster;
use crate::vote::{Finding, Verdict, Vote};

/// A longer time than this between two reviews means that the process was paused.
const MAX_REVIEW_INTERVAL: Duration = Duration::from_secs(5);
/// How many silent instances in a zone, or how many unreachable zones, indicate a network partition
/// instead of a stopped instance.
const MIN_PARTITION_SIGNS: usize = 2;

/// The result of a review.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Review {
    /// This daemon's own votes. Each is to be sent to the [observers](Roster::observers) of the
    /// instance that it is about.
    pub votes: Vec<Vote>,
    /// Records of instances that these votes have removed; to be relayed.
    pub removed: Vec<Record>,
}

/// What this daemon could not reach at the last review.
#[derive(Debug, Default)]
pub(crate) struct Isolation {
    /// Whether this daemon was cut off.
    cut_off: bool,
    /// Zones from which nothing was received.
    zones: BTreeSet<Zone>,
}

/// How many instances of a zone were seen recently, and how many are silent.
#[derive(Debug, Default)]
struct Reach {
    seen: usize,
    silent: usize,
}

impl Roster {
    /// Records that a message from `instance` was received over a link or as a heartbeat.
    pub fn mark_seen(&mut self, now: Instant, instance: &Instance) {
        let Some(entry) = self.entries.get_mut(instance) else {
            return;
        };
        entry.observation.last_seen = entry.observation.last_seen.max(Some(now));
        entry.observation.link_lost = entry.observation.link_lost.filter(|lost| *lost > now);
        if entry.observation.suspect {
            self.refresh_suspect(now, instance);
        }
    }

    /// Records that a link to `instance` has become unresponsive or could not be opened.
    ///
    /// This daemon suspects the instance at once, until it next receives something from it.
    pub fn link_lost(&mut self, now: Instant, instance: &Instance) {
        let Some(entry) = self.entries.get_mut(instance) else {
            return;
        };
        entry.observation.link_lost = Some(now);
        self.refresh_suspect(now, instance);
    }

    /// Reviews all instances: marks suspects, drops expired tombstones and votes, and casts votes.
    ///
    /// To be called about once a second.
    pub fn review(&mut self, now: Instant) -> Review {
        self.reset_after_pause(now);
        self.expire(now);
        self.refresh_subjects();
        self.expect_subjects(now);
        let reach = self.reach(now);
        self.reset_after_partition(now, &reach);
        self.mark_suspects(now, &reach);
        self.cast_votes(now, &reach)
    }

    /// Whether most of the instances that this daemon observes are silent.
    ///
    /// The daemon must then assume that it is itself cut off, and casts no votes. Otherwise a
    /// daemon whose own network has failed would vote against everything that it observes.
    pub fn cut_off(&self, now: Instant) -> bool {
        let subjects = self.subjects.names.iter();
        let sights = subjects.filter_map(|name| self.entries.get(name));
        let silent = |silence: Duration| silence >= self.policy.suspect_after;
        let silences: Vec<bool> = sights
            .filter_map(|entry| entry.observation.silence(now).map(silent))
            .collect();
        let lost = silences.iter().filter(|silent| **silent).count();
        lost * 2 > silences.len()
    }

    /// Restarts all silence timers if this process was itself paused.
    ///
    /// After a pause of a minute all heartbeats look a minute late, although the senders have not
    /// failed.
    fn reset_after_pause(&mut self, now: Instant) {
        let paused = now.saturating_duration_since(self.last_review) > MAX_REVIEW_INTERVAL;
        self.last_review = now;
        if paused {
            log::info!("roster: this process was paused; silence timers restarted.");
            self.restart_silence(now, |_| true);
        }
    }

    /// Restarts the silence timers of a zone from which something is received again, and all timers
    /// once this daemon is no longer cut off.
    ///
    /// When a partition between regions heals after ten minutes, the first heartbeat shows that the
    /// zone is up. Instances whose heartbeats arrive some seconds later then look as if they alone
    /// had been silent for ten minutes. Votes at that moment would remove most of a region that has
    /// just returned, and its instances would all write to the platform to refute the removal.
    /// Measuring the silence from the zone's return gives each instance the same time as one that
    /// has stopped.
    fn reset_after_partition(&mut self, now: Instant, reach: &BTreeMap<Zone, Reach>) {
        let cut_off = self.cut_off(now);
        let returned = self.isolation.cut_off && !cut_off;
        let seen = |zone: &&Zone| reach.get(*zone).is_some_and(|reach| reach.seen > 0);
        let back: BTreeSet<Zone> = self.isolation.zones.iter().filter(seen).cloned().collect();
        if returned || !back.is_empty() {
            self.restart_silence(now, |zone| returned || back.contains(zone));
        }
        let unreachable = reach.iter().filter(|(_, reach)| reach.seen == 0);
        self.isolation = Isolation {
            cut_off,
            zones: unreachable.map(|(zone, _)| zone.clone()).collect(),
        };
    }

    /// Restarts the silence timers of all instances in the zones that `matches` selects.
    fn restart_silence(&mut self, now: Instant, matches: impl Fn(&Zone) -> bool) {
        let entries = self.entries.values_mut();
        for entry in entries.filter(|entry| matches(&entry.record.zone)) {
            entry.observation.expected_since = entry.observation.expected_since.map(|_| now);
        }
    }

    /// Drops expired tombstones and votes.
    fn expire(&mut self, now: Instant) {
        let age = |at: Instant| now.saturating_duration_since(at);
        let (tombstone, vote) = (self.policy.tombstone_ttl, self.policy.vote_ttl);
        let me = &self.me;
        self.entries
            .retain(|name, entry| name == me || !entry.is_gone() || age(entry.since) < tombstone);
        for entry in self.entries.values_mut() {
            entry.votes.retain(|_, at| age(*at) < vote);
        }
    }

    /// Starts to expect heartbeats from new subjects, and stops for instances that are no longer
    /// subjects.
    fn expect_subjects(&mut self, now: Instant) {
        for (name, entry) in &mut self.entries {
            let expected = self.subjects.names.contains(name);
            let since = entry.observation.expected_since.unwrap_or(now);
            entry.observation.expected_since = expected.then_some(since);
        }
    }

    fn reach(&self, now: Instant) -> BTreeMap<Zone, Reach> {
        let zones = self.index.zones();
        let mut zones: BTreeMap<Zone, Reach> =
            zones.map(|zone| (zone.clone(), Reach::default())).collect();
        let span = self.policy.suspect_after;
        for entry in self.entries.values().filter(|entry| !entry.is_gone()) {
            let Some(reach) = zones.get_mut(&entry.record.zone) else {
                continue;
            };
            let seen = entry.observation.seen_within(now, span) || entry.record.instance == self.me;
            reach.seen += usize::from(seen);
            reach.silent += usize::from(!seen && entry.observation.silent_for(now, span));
        }
        zones
    }

    /// Marks suspects: silent instances, and all instances of a zone that is partitioned from this
    /// one.
    fn mark_suspects(&mut self, now: Instant, reach: &BTreeMap<Zone, Reach>) {
        let zones = partitioned_zones(reach);
        let differs = |entry: &&Entry| {
            let partitioned = !entry.is_gone() && zones.contains(&entry.record.zone);
            let suspect = partitioned || self.seems_silent(now, entry);
            suspect != entry.observation.suspect
        };
        let changed = self.entries.values().filter(differs);
        let names: Vec<Instance> = changed.map(|entry| entry.record.instance.clone()).collect();
        for name in names {
            self.toggle_suspect(&name);
        }
    }

    /// Recomputes whether one instance is suspect.
    pub(crate) fn refresh_suspect(&mut self, now: Instant, instance: &Instance) {
        let entry = self.entries.get(instance);
        if entry.is_some_and(|entry| self.seems_silent(now, entry) != entry.observation.suspect) {
            self.toggle_suspect(instance);
        }
    }

    fn seems_silent(&self, now: Instant, entry: &Entry) -> bool {
        if entry.is_gone() || entry.record.instance == self.me {
            return false;
        }
        if entry.observation.link_lost.is_some() {
            return true;
        }
        // What this daemon receives itself outweighs the votes of others.
        let seen = entry
            .observation
            .seen_within(now, self.policy.suspect_after);
        let silent = entry.observation.silent_for(now, self.policy.suspect_after);
        !seen && (silent || !entry.votes.is_empty())
    }

    fn toggle_suspect(&mut self, instance: &Instance) {
        if let Some(entry) = self.entries.get_mut(instance) {
            entry.observation.suspect = !entry.observation.suspect;
            let service = entry.record.service.clone();
            self.note_change(instance, service);
        }
    }

    fn cast_votes(&mut self, now: Instant, reach: &BTreeMap<Zone, Reach>) -> Review {
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

    /// The vote that is due on one subject, if any: a new one, a repetition or a withdrawal.
    fn own_vote(
        &mut self,
        now: Instant,
        about: &Instance,
        reach: &BTreeMap<Zone, Reach>,
    ) -> Option<Vote> {
        let repeat = self.policy.vote_ttl / 3;
        let limit = self.silence_limit(about, reach);
        let entry = self.entries.get_mut(about)?;
        let voted = entry.observation.voted_at;
        let silent = entry.observation.silence(now)? >= limit;
        let recent = voted.is_some_and(|at| now.saturating_duration_since(at) < repeat);
        if recent && silent || voted.is_none() && !silent {
            return None;
        }
        entry.observation.voted_at = silent.then_some(now);
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
    /// While something is received from other instances of the zone, only the instance itself can
    /// have failed. Otherwise the network path to the zone may have failed. Partitions between
    /// regions last minutes, so the limit is then much longer.
    fn silence_limit(&self, about: &Instance, reach: &BTreeMap<Zone, Reach>) -> Duration {
        let zone = self.get(about).map(|record| &record.zone);
        let seen = zone
            .and_then(|zone| reach.get(zone))
            .map(|reach| reach.seen);
        match seen {
            Some(0) | None => self.policy.remove_zone_after,
            Some(_) => self.policy.remove_after,
        }
    }
}

/// The zones that are partitioned from this one: nothing is received from them and some instance
/// there is silent.
///
/// A daemon may observe as little as one instance of a zone, and that one may just have stopped. So
/// a second sign is required: another silent instance in that zone, or another unreachable zone.
fn partitioned_zones(reach: &BTreeMap<Zone, Reach>) -> BTreeSet<&Zone> {
    let is_unreachable = |reach: &Reach| reach.seen == 0 && reach.silent > 0;
    let unreachable: Vec<_> = reach
        .iter()
        .filter(|(_, reach)| is_unreachable(reach))
        .collect();
    let several = unreachable.len() >= MIN_PARTITION_SIGNS;
    let partitioned = unreachable
        .into_iter()
        .filter(|(_, reach)| several || reach.silent >= MIN_PARTITION_SIGNS);
    partitioned.map(|(zone, _)| zone).collect()
}
