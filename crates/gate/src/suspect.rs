//! Requests suspected of crashing targets, identified by fingerprint.
//!
//! After a crash, each request that was running is a suspect. A suspect runs only in isolation. An
//! answer clears it; a second crash while it runs in isolation convicts it, and it is then refused
//! for a bounded time. Requests that ran at the first crash by chance are cleared by their next
//! answered run. See [`quarantine`](crate::quarantine) for how much of the target suspects may use.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use unit::Digest;

use crate::builder::Setting;
use crate::limit::Seq;

/// Maximum number of suspicions; beyond it, the one that expires first is evicted, unconvicted ones
/// before convicted ones.
const MAX_RECORDS: usize = 256;
/// Number of crashes that convict a request even if it never crashed the target in isolation.
const CONVICTING_CRASHES: u8 = 3;

/// The suspicion against one kind of request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspicion {
    /// Fingerprint of the method, the path and the start of the body.
    pub kind: Digest,
    /// Number of crashes during which it ran.
    pub crashes: u8,
    /// Whether it is convicted of crashing targets, and refused.
    pub convicted: bool,
    /// Time until this expires, if there is no further crash.
    pub remaining: Duration,
    /// Whether it was reported by another gate rather than seen here.
    pub learnt: bool,
}

/// How requests of a kind are treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Standing {
    Unsuspected,
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
    /// Whether crashes reported by other gates count like those seen here.
    counts_remote: bool,
    records: BTreeMap<Digest, Record>,
}

impl Table {
    pub(crate) fn new(setting: &Setting) -> Table {
        Table {
            suspicion: setting.suspicion,
            conviction: setting.conviction,
            counts_remote: !setting.isolate_suspects,
            records: BTreeMap::new(),
        }
    }

    pub(crate) fn standing(&self, now: Instant, kind: Digest) -> Standing {
        match self.records.get(&kind) {
            Some(record) if record.until <= now => Standing::Unsuspected,
            Some(record) if record.convicted => Standing::Convicted {
                remaining: record.until - now,
            },
            Some(_) => Standing::Suspect,
            None => Standing::Unsuspected,
        }
    }

    /// Records a crash of the target while a request of this kind ran.
    ///
    /// Copies that run side by side crash together and count as one crash, which the start number
    /// of `run` shows. Otherwise two copies in one crash would look like two crashes and convict a
    /// bystander.
    pub(crate) fn crash(&mut self, now: Instant, kind: Digest, run: CrashedRun) {
        let until = now + self.suspicion;
        let record = self.records.entry(kind).or_insert(Record {
            crashes: 0,
            since: 0,
            until,
            convicted: false,
            learnt: false,
        });
        if record.crashes > 0 && run.seq < record.since {
            return;
        }
        record.crashes = record.crashes.saturating_add(1);
        record.since = run.next;
        record.learnt = false;
        record.until = record.until.max(until);
        if (run.isolated && record.crashes >= 2) || record.crashes >= CONVICTING_CRASHES {
            record.convicted = true;
            record.until = now + self.conviction;
        }
        self.evict_over_limit();
    }

    /// Records an answered run of this kind, which clears the kind if the run started after the
    /// last crash.
    pub(crate) fn clear(&mut self, kind: Digest, seq: Seq) {
        let cleared = |record: &Record| !record.convicted && seq >= record.since;
        if self.records.get(&kind).is_some_and(cleared) {
            self.records.remove(&kind);
        }
    }

    /// Adopts a suspicion from another gate; `next` is the next start here.
    ///
    /// A plain suspicion counts as one crash, unless crashes reported by other gates count too;
    /// then the larger of both counts holds. A conviction is adopted as such, because otherwise each
    /// target of the fleet would have to crash once more. Suspicions that the other gate itself was
    /// sent are ignored, because two gates would otherwise keep them alive by sending them back and
    /// forth.
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
        if self.counts_remote {
            record.crashes = record.crashes.max(suspicion.crashes);
        }
        record.convicted |= suspicion.convicted;
        self.evict_over_limit();
    }

    /// Expires records. An expired conviction becomes a suspicion, so that one more crash in
    /// isolation convicts again.
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

    fn evict_over_limit(&mut self) {
        if self.records.len() <= MAX_RECORDS {
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

/// Position of a crashed run among the other starts.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CrashedRun {
    pub(crate) seq: Seq,
    /// The next start at the time of the crash.
    pub(crate) next: Seq,
    /// Whether nothing else ran beside it.
    pub(crate) isolated: bool,
}
