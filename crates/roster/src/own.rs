//! This daemon's own announcement: start, leave, and the answer to a false removal.

use std::time::Duration;

use rand::RngExt;
use tokio::time::Instant;
use unit::Incarnation;

use crate::record::{Merge, Record, State};
use crate::roster::Roster;

/// Over what time the writes to the platform are spread after false removals.
///
/// If a region of 675 instances was removed by mistake, all learn of it within seconds. Their
/// writes at once would take the platform's whole rate; over 30 s they are 23 a second.
const SPREAD: Duration = Duration::from_secs(30);

/// Over what time the entries are looked up and written again when the platform has come back from an
/// older copy.
const ROLLBACK_SPREAD: Duration = Duration::from_millis(1_500);

/// The own record, and to whom it still has to go.
#[derive(Debug)]
pub(crate) struct Own {
    record: Record,
    /// When this process started.
    since: Instant,
    /// The daemons have yet to be told.
    tell: bool,
    /// When the platform is to be told; nothing once it has confirmed.
    write: Option<Instant>,
    /// A newer process has taken the name.
    replaced: bool,
}

impl Own {
    pub(crate) fn new(now: Instant, record: Record) -> Own {
        Own {
            record,
            since: now,
            tell: true,
            write: Some(now),
            replaced: false,
        }
    }

    pub(crate) fn record(&self) -> &Record {
        &self.record
    }
}

impl Roster {
    /// The own record if the other daemons have to be told of it: after the start, a refutation
    /// or a change of state. It is given once for each change.
    pub fn take_announcement(&mut self) -> Option<Record> {
        let tell = std::mem::take(&mut self.own.tell);
        tell.then(|| self.own.record.clone())
    }

    /// The own record as it stands.
    pub fn own_record(&self) -> &Record {
        &self.own.record
    }

    /// The own record if it is time to write it to the platform; given until [`Roster::write_confirmed`].
    pub fn due_write(&self, now: Instant) -> Option<Record> {
        let due = self.own.write.is_some_and(|at| at <= now);
        let due = due && self.may_write();
        due.then(|| self.own.record.clone())
    }

    /// Notes that the platform has confirmed `record`; an older one settles nothing.
    pub fn write_confirmed(&mut self, record: &Record) {
        if *record == self.own.record {
            self.own.write = None;
        }
    }

    /// Whether the platform is known to hold the own record.
    pub fn is_written(&self) -> bool {
        self.own.write.is_none()
    }

    /// Announces that this instance takes no new work.
    pub fn leave(&mut self, now: Instant) {
        self.change(now, State::Leaving);
    }

    /// Announces that this instance has stopped.
    ///
    /// There is nothing more to write: its object is to be deleted, on condition that it is still
    /// the one that this process wrote.
    pub fn depart(&mut self, now: Instant) {
        self.change(now, State::Gone);
    }

    /// Whether a newer process under the same name has announced itself.
    ///
    /// A process that was paused, and whose name was given on meanwhile, must not push the new
    /// one out: it stops taking work instead of refuting, and writes nothing more.
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
        self.adopt(now, record, now);
    }

    /// Merges what others say of this instance.
    pub(crate) fn merge_own(&mut self, now: Instant, record: Record) -> Merge {
        if self.own.replaced {
            return self.place(now, record);
        }
        if !record.supersedes(&self.own.record) {
            return Merge::Old;
        }
        if self.yields_to(now, &record) {
            log::warn!("roster: another process announces itself as {}.", self.me);
            self.own.replaced = true;
            self.own.tell = false;
            return self.place(now, record);
        }
        self.refute(now, record.incarnation);
        // The removal goes no further from here: what is held now is newer than it.
        Merge::Old
    }

    /// Whether `record` is of another process to which this one has to give way.
    ///
    /// One that has just started doesn't: what it hears may be left of its former life, made
    /// when the wall clock was ahead. It takes the higher incarnation, and the one that has run
    /// for longer gives way to it.
    fn yields_to(&self, now: Instant, record: &Record) -> bool {
        let age = now.saturating_duration_since(self.own.since);
        let other = record.fingerprint != self.own.record.fingerprint;
        other && age >= self.policy.grace
    }

    /// Answers a removal, or an older life's last words, by a higher incarnation.
    fn refute(&mut self, now: Instant, against: Incarnation) {
        let incarnation = Incarnation(against.0.saturating_add(1));
        log::warn!("roster: refutes a removal of {} by {incarnation}.", self.me);
        let record = Record {
            incarnation,
            ..self.own.record.clone()
        };
        let spread = self.rng.random_range(Duration::ZERO..SPREAD);
        self.adopt(now, record, now + spread);
    }

    fn adopt(&mut self, now: Instant, record: Record, write: Instant) {
        self.own.record = record.clone();
        self.own.tell = true;
        self.own.write = Some(write);
        self.place(now, record);
    }

    /// Notes that the platform has come back from an older copy, which may lack the own object.
    pub fn store_rolled_back(&mut self, now: Instant) {
        let spread = self.rng.random_range(Duration::ZERO..ROLLBACK_SPREAD);
        let due = now + spread;
        let write = self.own.write.map_or(due, |write| write.min(due));
        self.own.write = Some(write);
    }

    /// Notes that the platform has lost the own object, which has to be written again.
    pub(crate) fn rewrite(&mut self, now: Instant) {
        let spread = self.rng.random_range(Duration::ZERO..SPREAD);
        self.own.write.get_or_insert(now + spread);
    }
}
