//! Metrics for Prometheus, read off the parts when they are asked for.

use std::fmt;

use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric};
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::registry::Registry;

use crate::state::State;

/// Encodes the present values of all metrics.
///
/// The parts count for themselves; we read them only when a scrape comes, so that a metric costs
/// the call path nothing.
///
/// # Errors
///
/// The encoder's error; writing to a string does not fail.
pub(crate) fn text(state: &State) -> Result<String, fmt::Error> {
    let mut registry = Registry::with_prefix("appleshore");
    registry.register_collector(Box::new(Collector(Values::of(state))));
    let mut text = String::new();
    encode(&mut text, &registry)?;
    Ok(text)
}

#[derive(Debug)]
struct Collector(Values);

#[derive(Debug)]
struct Values {
    count: entry::Count,
    report: unit::Report,
    rules: u64,
    links: u64,
}

impl Values {
    fn of(state: &State) -> Values {
        Values {
            count: state.entry.count(),
            report: state.server.gate().report(),
            rules: state.current.version().0,
            links: state.dialer.links().len() as u64,
        }
    }
}

impl prometheus_client::collector::Collector for Collector {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> fmt::Result {
        let Values {
            count,
            report,
            rules,
            links,
        } = &self.0;
        counter(
            &mut encoder,
            "ran",
            "Requests that a target answered",
            count.ran,
        )?;
        counter(
            &mut encoder,
            "not_run",
            "Requests that reached no target",
            count.not_run,
        )?;
        counter(
            &mut encoder,
            "unknown",
            "Requests that may have run",
            count.unknown,
        )?;
        counter(
            &mut encoder,
            "already_run",
            "Keys that had run before",
            count.already_run,
        )?;
        gauge(
            &mut encoder,
            "open",
            "Requests under way at the entry",
            count.open,
        )?;
        gauge(
            &mut encoder,
            "running",
            "Requests at the target",
            report.running.into(),
        )?;
        gauge(
            &mut encoder,
            "waiting",
            "Requests queued at the gate",
            report.waiting().into(),
        )?;
        gauge(
            &mut encoder,
            "limit",
            "Requests the gate lets run",
            report.limit.into(),
        )?;
        gauge(
            &mut encoder,
            "rules_version",
            "Version of the rules in force",
            *rules,
        )?;
        gauge(&mut encoder, "links", "Links to other daemons", *links)
    }
}

fn counter(encoder: &mut DescriptorEncoder<'_>, name: &str, help: &str, value: u64) -> fmt::Result {
    let metric = ConstCounter::new(value);
    metric.encode(encoder.encode_descriptor(name, help, None, metric.metric_type())?)
}

fn gauge(encoder: &mut DescriptorEncoder<'_>, name: &str, help: &str, value: u64) -> fmt::Result {
    let metric = ConstGauge::new(value as i64);
    metric.encode(encoder.encode_descriptor(name, help, None, metric.metric_type())?)
}
