//! This daemon's own record: announcing it at the start, on leaving, and after a false removal.

use std::time::Duration;

use rand::RngExt;
use tokio::time::Instant;
use unit::Incarnation;

use crate::record::{Merge, Record, State};
use crate::roster::Roster;

/// The time over which writes to the platform are spread after false removals.
///
/// If a region of 675 instances was removed by mistake, all of them learn of it within seconds.
/// Writing at the same moment would use up the platform's whole rate; spread over 30 s they make 23
/// writes a second.
const REWRITE_SPREAD: Duration = Duration::from_secs(30);

/// The time over which records are checked and written again after the platform was restored from
/// an older copy.
const ROLLBACK_SPREAD: Duration = Duration::from_millis(1_500);

/// This daemon's own record, and where it is still to be sent.
#[derive(Debug)]
pub(crate) struct Own {
    record: Record,
    /// When this process started.
    since: Instant,
    /// Whether the record is still to be announced to the other daemons.
    announce: bool,
    /// When to write the record to the platform; `None` once the platform has confirmed it.
    write_at: Option<Instant>,
    /// Whether a newer process has taken the name.
    replaced: bool,
}

impl Own {
    pub(crate) fn new(now: Instant, record: Record) -> Own {
        Own {
            record,
            since: now,
            announce: true,
            write_at: Some(now),
            replaced: false,
        }
    }

    pub(crate) fn record(&self) -> &Record {
        &self.record
    }
}

impl Roster {
    /// The own record if it is to be announced to the other daemons: after the start, a refutation
    /// or a change of state. Returned once for each change.
    pub fn take_announcement(&mut self) -> Option<Record> {
        let announce = std::mem::take(&mut self.own.announce);
        announce.then(|| self.own.record.clone())
    }

    /// The own record in its present state.
    pub fn own_record(&self) -> &Record {
        &self.own.record
    }

    /// The own record if it is time to write it to the platform. Returned until
    /// [`Roster::write_confirmed`] is called.
    pub fn due_write(&self, now: Instant) -> Option<Record> {
        let due = self.own.write_at.is_some_and(|at| at <= now);
        let due = due && self.may_write();
        due.then(|| self.own.record.clone())
    }

    /// Records that the platform has confirmed `record`. An older record has no effect.
    pub fn write_confirmed(&mut self, record: &Record) {
        if *record == self.own.record {
            self.own.write_at = None;
        }
    }

    /// Whether the platform has confirmed the own record.
    pub fn is_written(&self) -> bool {
        self.own.write_at.is_none()
    }

    /// Announces that this instance takes no new work.
    pub fn leave(&mut self, now: Instant) {
        self.change(now, State::Leaving);
    }

    /// Announces that this instance has stopped.
    ///
    /// Nothing more is to be written. The object is to be deleted instead, on condition that it is
    /// still the one that this process wrote.
    pub fn depart(&mut self, now: Instant) {
        self.change(now, State::Gone);
    }

    /// Whether a newer process under the same name has announced itself.
    ///
    /// A process that was paused, and whose name was given to another meanwhile, must not displace
    /// it. It stops taking work instead of refuting, and writes nothing more.
    pub fn replaced(&self) -> bool {
        self.own.replaced
    }

    fn may_write(&self) -> bool {
        !self.own.replaced && self.own.record.state != State::Gone
    }

    fn change(&mut self, now: Instant, state: State) {
        if self.own.replaced || self.own.record.state >= state {
            return;
        }
        let record = Record {
            state,
            ..self.own.record.clone()
        };
        self.set_record(now, record, now);
    }

    /// Merges a record of this instance that another daemon sent.
    pub(crate) fn merge_own(&mut self, now: Instant, record: Record) -> Merge {
        if self.own.replaced {
            return self.upsert(now, record);
        }
        if !record.supersedes(&self.own.record) {
            return Merge::Old;
        }
        if self.yields_to(now, &record) {
            log::warn!(
                "roster: another process has announced itself as {}; this process gives way.",
                self.me
            );
            self.own.replaced = true;
            self.own.announce = false;
            return self.upsert(now, record);
        }
        self.refute(now, record.incarnation);
        // The removal is not relayed: the record held now supersedes it.
        Merge::Old
    }

    /// Whether `record` is of another process to which this one has to give way.
    ///
    /// A process that has just started doesn't give way: the record may remain from an earlier
    /// process of the same name, made when the wall clock was ahead. It takes a higher incarnation
    /// instead, and the process that has run for longer gives way to it.
    fn yields_to(&self, now: Instant, record: &Record) -> bool {
        let age = now.saturating_duration_since(self.own.since);
        let other = record.fingerprint != self.own.record.fingerprint;
        other && age >= self.policy.grace
    }

    /// Answers a removal, or a record of an earlier process, with a higher incarnation.
    fn refute(&mut self, now: Instant, against: Incarnation) {
        let incarnation = Incarnation(against.0.saturating_add(1));
        log::warn!(
            "roster: refuting the removal of {} with incarnation {incarnation}.",
            self.me
        );
        let record = Record {
            incarnation,
            ..self.own.record.clone()
        };
        let spread = self.rng.random_range(Duration::ZERO..REWRITE_SPREAD);
        self.set_record(now, record, now + spread);
    }

    fn set_record(&mut self, now: Instant, record: Record, write: Instant) {
        self.own.record = record.clone();
        self.own.announce = true;
        self.own.write_at = Some(write);
        self.upsert(now, record);
    }

    /// Schedules a write because the platform was restored from an older copy, which may lack the
    /// own object.
    pub fn store_rolled_back(&mut self, now: Instant) {
        let spread = self.rng.random_range(Duration::ZERO..ROLLBACK_SPREAD);
        let due = now + spread;
        let write = self.own.write_at.map_or(due, |write| write.min(due));
        self.own.write_at = Some(write);
    }

    /// Schedules a write because the platform has lost the own object.
    pub(crate) fn schedule_rewrite(&mut self, now: Instant) {
        let spread = self.rng.random_range(Duration::ZERO..REWRITE_SPREAD);
        self.own.write_at.get_or_insert(now + spread);
    }
}
