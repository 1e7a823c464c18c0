//! Metrics of the requests and bytes between pairs of regions.

use std::collections::BTreeMap;
use std::fmt;

use entry::Entry;
use pick::traffic::Count;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric};
use prometheus_client::metrics::MetricType;
use prometheus_client::metrics::counter::ConstCounter;

/// Requests and bytes from the region of this daemon to each region.
///
/// The number of label values is bounded by [`pick::traffic`].
#[derive(Debug)]
pub(crate) struct Regions {
    from: String,
    to: BTreeMap<String, Count>,
}

impl Regions {
    /// Adds up the traffic of all services.
    pub(crate) fn of(entry: &Entry, from: &str) -> Regions {
        let mut to: BTreeMap<String, Count> = BTreeMap::new();
        for service in entry.services() {
            for (region, count) in entry.upstream(&service).pick.traffic() {
                let sum = to.entry(region).or_default();
                sum.requests += count.requests;
                sum.bytes += count.bytes;
            }
        }
        Regions {
            from: from.to_string(),
            to,
        }
    }

    /// Encodes the counters; nothing where regions are ignored.
    pub(crate) fn encode(&self, encoder: &mut DescriptorEncoder<'_>) -> fmt::Result {
        if self.to.is_empty() {
            return Ok(());
        }
        let help = "Calls from this daemon's region to targets of a region";
        self.family(encoder, "region_requests", help, |count| count.requests)?;
        let help = "Bytes of heads, bodies and answers of those calls";
        self.family(encoder, "region_bytes", help, |count| count.bytes)
    }

    fn family(
        &self,
        encoder: &mut DescriptorEncoder<'_>,
        name: &str,
        help: &str,
        value: impl Fn(&Count) -> u64,
    ) -> fmt::Result {
        let mut family = encoder.encode_descriptor(name, help, None, MetricType::Counter)?;
        for (to, count) in &self.to {
            let labels = [("from", self.from.as_str()), ("to", to.as_str())];
            ConstCounter::new(value(count)).encode(family.encode_family(&labels)?)?;
        }
        Ok(())
    }
}
