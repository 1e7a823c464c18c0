//! Requests suspected to crash targets, known by the fingerprint of what ran at a crash.
//!
//! After a crash each request that ended with it is a suspect. A suspect runs only while nothing
//! else runs; an answer clears it, a second crash while it runs alone convicts it, and it is
//! refused for a bounded time. Bystanders of the first crash are cleared by their next answered
//! run. See [`quarantine`](crate::quarantine) for how much of the target suspects may use.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use unit::Digest;

use crate::builder::Setting;
use crate::limit::Seq;

/// Most suspicions remembered; the one that would age out first makes room.
const BOUND: usize = 256;
/// Crashes that convict a request even if it never crashed the target alone.
const CROWD: u8 = 3;

/// What is held against one kind of request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspicion {
    /// Fingerprint of method, path and the head of the body.
    pub kind: Digest,
    /// Crashes at which it ran.
    pub crashes: u8,
    /// It crashed a target while it ran alone, and is refused.
    pub convicted: bool,
    /// How long this holds without another crash.
    pub remaining: Duration,
    /// Heard from another gate, rather than seen here.
    pub learnt: bool,
}

/// How a request is treated on account of its kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Standing {
    Innocent,
    Suspect,
    Convicted { remaining: Duration },
}

#[derive(Debug, Clone)]
struct Record {
    crashes: u8,
    /// Starts before this one belong to a crash that was already counted.
    since: Seq,
    until: Instant,
    convicted: bool,
    learnt: bool,
}

#[derive(Debug)]
pub(crate) struct Table {
    suspicion: Duration,
    conviction: Duration,
    /// Crashes that other gates have seen count as if they were seen here.
    sums: bool,
    records: BTreeMap<Digest, Record>,
}

impl Table {
    pub(crate) fn new(setting: &Setting) -> Table {
        Table {
            suspicion: setting.suspicion,
            conviction: setting.conviction,
            sums: !setting.isolate_suspects,
            records: BTreeMap::new(),
        }
    }

    pub(crate) fn standing(&self, now: Instant, kind: Digest) -> Standing {
        match self.records.get(&kind) {
            Some(record) if record.until <= now => Standing::Innocent,
            Some(record) if record.convicted => Standing::Convicted {
                remaining: record.until - now,
            },
            Some(_) => Standing::Suspect,
            None => Standing::Innocent,
        }
    }

    /// The target crashed under a request of this kind, whose run was start number `turn`.
    ///
    /// Copies that ran side by side crash once together: without the turn, two resends in one
    /// crash would look like two crashes, and convict a bystander.
    pub(crate) fn crash(&mut self, now: Instant, kind: Digest, run: Run) {
        let until = now + self.suspicion;
        let record = self.records.entry(kind).or_insert(Record {
            crashes: 0,
            since: 0,
            until,
            convicted: false,
            learnt: false,
        });
        if record.crashes > 0 && run.turn < record.since {
            return;
        }
        record.crashes = record.crashes.saturating_add(1);
        record.since = run.next;
        record.learnt = false;
        record.until = record.until.max(until);
        if (run.alone && record.crashes >= 2) || record.crashes >= CROWD {
            record.convicted = true;
            record.until = now + self.conviction;
        }
        self.bound();
    }

    /// A run of this kind was answered; it clears the kind if it began after the last crash.
    pub(crate) fn clear(&mut self, kind: Digest, turn: Seq) {
        let cleared = |record: &Record| !record.convicted && turn >= record.since;
        if self.records.get(&kind).is_some_and(cleared) {
            self.records.remove(&kind);
        }
    }

    /// Takes a suspicion from another gate; `next` is the number of the next start here.
    ///
    /// A plain one counts as one crash. A conviction is taken over, else each target of the
    /// fleet would have to crash once more by itself. What that gate itself had only heard is
    /// dropped: two gates that pass it to and fro would keep it alive for ever.
    pub(crate) fn learn(&mut self, now: Instant, suspicion: &Suspicion, next: Seq) {
        if suspicion.learnt || suspicion.remaining.is_zero() {
            return;
        }
        let longest = match suspicion.convicted {
            true => self.conviction,
            false => self.suspicion,
        };
        let until = now + suspicion.remaining.min(longest);
        let record = self.records.entry(suspicion.kind).or_insert(Record {
            crashes: 1,
            since: next,
            until,
            convicted: false,
            learnt: true,
        });
        record.until = record.until.max(until);
        if self.sums {
            record.crashes = record.crashes.max(suspicion.crashes);
        }
        record.convicted |= suspicion.convicted;
        self.bound();
    }

    /// Ages records: a conviction that has run out leaves a suspicion, so that one more crash
    /// alone is enough to convict again.
    pub(crate) fn expire(&mut self, now: Instant) {
        let suspicion = self.suspicion;
        self.records.retain(|_, record| {
            if record.until > now {
                return true;
            }
            let convicted = std::mem::take(&mut record.convicted);
            record.crashes = 1;
            record.until += suspicion;
            convicted && record.until > now
        });
    }

    pub(crate) fn list(&self, now: Instant) -> Vec<Suspicion> {
        let live = self.records.iter().filter(|(_, r)| r.until > now);
        live.map(|(kind, record)| Suspicion {
            kind: *kind,
            crashes: record.crashes,
            convicted: record.convicted,
            remaining: record.until - now,
            learnt: record.learnt,
        })
        .collect()
    }

    fn bound(&mut self) {
        if self.records.len() <= BOUND {
            return;
        }
        let first = self
            .records
            .iter()
            .min_by_key(|(_, r)| (r.convicted, r.until));
        if let Some(kind) = first.map(|(kind, _)| *kind) {
            self.records.remove(&kind);
        }
    }
}

/// How a run that crashed was placed among the others.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Run {
    pub(crate) turn: Seq,
    /// The number of the next start.
    pub(crate) next: Seq,
    /// Nothing else ran beside it.
    pub(crate) alone: bool,
}
