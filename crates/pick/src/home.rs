//! What an entry knows of its region and of the ways to others.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;
use unit::Instance;

use crate::record::Record;
use crate::{Need, Pick, Target, region, subset, traffic};

/// The bytes that one call has moved, in both directions.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Moved {
    /// The class of work; 0 if it is unknown.
    pub class: u32,
    /// Bytes of heads, body and answer.
    pub bytes: u64,
    /// Whether the whole answer was among them.
    pub complete: bool,
}

impl Pick {
    /// Whether the choice takes account of regions: the entry knows its own, and the service has a
    /// target in another.
    pub(crate) fn is_regional(&self) -> bool {
        self.regional
    }

    /// Whether any of `targets` is in another region than the entry, if it knows its own.
    pub(crate) fn has_target_abroad(&self, targets: &[Target]) -> bool {
        let mut regions = targets.iter().map(|target| &target.region);
        regions.any(|region| !self.is_home(region))
    }

    /// Where the entry is: its zone, and its region unless regions are ignored.
    pub(crate) fn place(&self) -> subset::Place<'_> {
        subset::Place {
            zone: &self.zone,
            region: self.home.as_ref().map(|home| home.region.as_str()),
        }
    }

    pub(crate) fn new_record(
        &self,
        now: Instant,
        target: Target,
        present_at_start: bool,
    ) -> Record {
        let near = (target.zone == self.zone, self.is_home(&target.region));
        // Links to the same region take about as long, so one that is measured tells of others.
        let measured = self.records.iter().find(|record| {
            !near.1 && record.target.region == target.region && record.measured.is_some()
        });
        let measured = measured.and_then(|record| record.measured);
        let round_trip = measured.unwrap_or_else(|| self.delay_to(&target) * 2);
        let mut record = Record::new(now, target, round_trip, near, present_at_start);
        record.measured = measured;
        record
    }

    fn is_home(&self, region: &str) -> bool {
        self.home.as_ref().is_none_or(|home| home.region == region)
    }

    fn delay_to(&self, target: &Target) -> Duration {
        if target.zone == self.zone {
            return Duration::ZERO;
        }
        let mut zones = self.zone_delays.iter();
        let configured = zones.find(|(known, _)| *known == target.zone);
        let usual = match &self.home {
            Some(home) if home.region != target.region => home.delay,
            _ => self.network_delay,
        };
        configured.map_or(usual, |(_, delay)| *delay)
    }

    /// Records the round trip that the link to `instance` has measured.
    ///
    /// It is used for targets in other regions only. Within a region the configured delay is short
    /// beside the estimate, and the measured one contains the peer's scheduling delay. A round trip
    /// of zero is one that has not been measured yet.
    pub fn measure_round_trip(&mut self, instance: &Instance, round_trip: Duration) {
        let Ok(index) = self.index_of(instance) else {
            return;
        };
        if self.records[index].same_region || round_trip.is_zero() {
            return;
        }
        let region = self.records[index].target.region.clone();
        self.records[index].measure(round_trip);
        let measured = self.records[index].measured;
        let same = |record: &&mut Record| record.target.region == region;
        let unmeasured = self.records.iter_mut().filter(same);
        for record in unmeasured.filter(|record| record.measured.is_none()) {
            record.round_trip = measured.unwrap_or(record.round_trip);
        }
    }

    /// Records the bytes of a call to a target in `region`; those of a `complete` one, with its
    /// whole answer, tell what further requests of `class` will move.
    pub fn record_bytes(&mut self, now: Instant, region: &str, moved: &Moved) {
        let count = self.traffic.count(region);
        count.requests += 1;
        count.bytes += moved.bytes;
        if moved.complete && self.regional {
            self.volumes.record(now, moved.class, moved.bytes);
        }
    }

    /// Calls and bytes by the region of the target.
    pub(crate) fn traffic(&self) -> BTreeMap<String, traffic::Count> {
        self.traffic.counts()
    }

    /// The region of a target of the subset.
    pub fn region_of(&self, instance: &Instance) -> Option<String> {
        let index = self.index_of(instance).ok()?;
        Some(self.records[index].target.region.clone())
    }

    /// The price of serving the request in another region, in mean service times.
    pub(crate) fn price_abroad(&self, now: Instant, need: &Need<'_>) -> f64 {
        let Some(home) = &self.home else {
            return 0.0;
        };
        let bytes = self.volumes.bytes(now, need.class);
        let work = self.work.mean(need.class);
        let work = work.map_or(1.0, |us| us / self.mean.service_us.max(1.0));
        region::price(home, bytes, work)
    }
}
