//! Metrics for Prometheus, read off the parts when they are asked for.

use std::fmt;

use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric};
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::{ConstGauge, Gauge};
use prometheus_client::registry::Registry;
use unit::Version;

use crate::client_metric;
use crate::quota::Group;
use crate::region_metric::Regions;
use crate::state::State;
use crate::target_metric;

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
    register(&mut registry, state);
    registry.register_collector(Box::new(Collector(Values::of(state))));
    let mut text = String::new();
    encode(&mut text, &registry)?;
    Ok(text)
}

/// Registers what the parts measure by themselves.
fn register(registry: &mut Registry, state: &State) {
    let entry = state.entry.stats().clone();
    registry.register(
        "took_seconds",
        "From a request's head to that of its answer",
        entry.duration,
    );
    registry.register(
        "refused_seconds",
        "From a request's head to its refusal, of requests that reached no target",
        entry.refusal_duration,
    );
    registry.register(
        "choice_age_seconds",
        "Age of the report behind a choice",
        entry.report_age,
    );
    registry.register(
        "choices_blind",
        "Targets chosen without any report",
        entry.choices_without_report,
    );
    registry.register(
        "choices_slow",
        "Targets chosen in a slow spell",
        entry.choices_of_slow,
    );
    registry.register(
        "handed_over",
        "Requests that several gates were asked for",
        entry.handed_over,
    );
    registry.register(
        "repeated",
        "Requests sent to more than one target",
        entry.retried,
    );
    registry.register(
        "copied",
        "Requests of which a copy was sent beside the first try",
        entry.hedged,
    );
    registry.register(
        "no_workspace",
        "Requests refused because they have no known key",
        entry.no_workspace,
    );
    if state.setting.revoke.is_some() {
        registry.register(
            "unconfirmed",
            "Requests refused because the configuration was not confirmed",
            entry.unconfirmed,
        );
    }
    if state.setting.quota.is_some() {
        registry.register(
            "over_quota",
            "Requests refused because they were over the quota of their workspace",
            entry.over_quota,
        );
    }
    target_metric::register(registry, state.server.stats());
    let feed = state.feed.stats().clone();
    registry.register(
        "rules_fetch_seconds",
        "Fetches of rules from another daemon",
        feed.fetched,
    );
    registry.register(
        "rules_fetches_failed",
        "Fetches of rules from another daemon that failed",
        feed.fetches_failed,
    );
    registry.register(
        "rules_read_seconds",
        "Reading of rules before they are in force",
        feed.read,
    );
    registry.register(
        "rules_checks",
        "Reads of the store that show whether the rules are the newest",
        feed.checks,
    );
    registry.register(
        "rules_checks_failed",
        "Such reads that failed",
        feed.checks_failed,
    );
    registry.register(
        "feed_jobs_dropped",
        "Work on rules and roster that was dropped because its queue was full",
        feed.jobs_dropped,
    );
    registry.register(
        "store_rollbacks",
        "Times that the store has come back from an older copy",
        feed.rollbacks,
    );
    registry.register(
        "store_rewritten",
        "Own entries written again after the store has come back",
        feed.rewritten,
    );
}

#[derive(Debug)]
struct Collector(Values);

#[derive(Debug)]
struct Values {
    count: entry::Count,
    report: unit::Report,
    rules: Version,
    rejected: Option<feed::RejectedState>,
    links: u64,
    connections: u64,
    rules_watch_ms: u64,
    store: store::Count,
    era: u64,
    evacuated: bool,
    left_out: u64,
    quotas: Option<Vec<Group>>,
    confirmations: Option<feed::Confirmations>,
    link: Option<bandwidth::Dump>,
    regions: Regions,
    clients: clients::Count,
}

impl Values {
    fn of(state: &State) -> Values {
        let feed = state.feed.dump();
        Values {
            count: state.entry.count(),
            report: state.server.gate().report(),
            rules: state.current.version(),
            rejected: feed.rejected,
            links: state.dialer.links().len() as u64,
            connections: state.server.connections(),
            rules_watch_ms: feed.rules_watch_ms.unwrap_or_default(),
            store: feed.store,
            era: feed.era.unwrap_or_default().0,
            evacuated: state.evacuations.zones().contains(&state.setting.zone),
            left_out: crate::logging::left_out(),
            confirmations: feed.confirmations,
            link: state.link.as_ref().map(bandwidth::Link::dump),
            quotas: state.quotas.as_ref().map(|quotas| quotas.groups()),
            regions: Regions::of(&state.entry, &state.setting.region),
            clients: state.clients.count(),
        }
    }
}

impl prometheus_client::collector::Collector for Collector {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> fmt::Result {
        let Values {
            count,
            report,
            rules,
            rejected,
            links,
            connections,
            rules_watch_ms,
            store,
            era,
            evacuated,
            left_out,
            quotas,
            confirmations,
            link,
            regions,
            clients,
        } = &self.0;
        regions.encode(&mut encoder)?;
        client_metric::encode(&mut encoder, clients)?;
        if let Some(link) = link {
            encode_link(&mut encoder, link)?;
        }
        if let Some(quotas) = quotas {
            encode_quotas(&mut encoder, quotas)?;
        }
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
            rules.revision,
        )?;
        gauge(
            &mut encoder,
            "rules_era",
            "Era of the store in which the rules in force were written",
            rules.era.0,
        )?;
        let rejected = rejected.as_ref();
        gauge(
            &mut encoder,
            "rules_rejected_version",
            "Version of newer rules that are rejected; 0 if there are none",
            rejected.map_or(0, |rejected| rejected.version.revision),
        )?;
        gauge(
            &mut encoder,
            "rules_rejected_seconds",
            "For how long these rules have been rejected",
            rejected.map_or(0, |rejected| rejected.seconds),
        )?;
        gauge(
            &mut encoder,
            "rules_watch_milliseconds",
            "For how long the watch on the rules has waited for an answer; 0 if there is none",
            *rules_watch_ms,
        )?;
        counter(
            &mut encoder,
            "target_connections",
            "Connections opened to the target",
            *connections,
        )?;
        counter(
            &mut encoder,
            "store_calls",
            "Calls on the platform's store, watches included",
            store.total(),
        )?;
        let of_store = [
            ("store_lists", "Listings read from the store", store.list),
            ("store_watches", "Watches begun at the store", store.watch),
            ("store_writes", "Writes to the store", store.writes()),
            (
                "store_old_reads",
                "Reads of the store that may be old, among the others",
                store.serializable,
            ),
            (
                "store_budget_waits",
                "Calls on the store that the own budget held back",
                store.refused,
            ),
        ];
        encode_counters(&mut encoder, &of_store)?;
        gauge(
            &mut encoder,
            "store_era",
            "Newest era of the store that is known",
            *era,
        )?;
        gauge(
            &mut encoder,
            "evacuated",
            "Whether the zone of this instance is evacuated",
            u64::from(*evacuated),
        )?;
        counter(
            &mut encoder,
            "log_left_out",
            "Lines of the log that were left out",
            *left_out,
        )?;
        if let Some(confirmations) = confirmations {
            confirmed(&mut encoder, confirmations)?;
        }
        gauge(&mut encoder, "links", "Links to other daemons", *links)
    }
}

/// The metrics of a daemon that confirms its configuration. The age is missing before the first
/// confirmation.
fn confirmed(encoder: &mut DescriptorEncoder<'_>, state: &feed::Confirmations) -> fmt::Result {
    if let Some(age) = state.age_ms {
        gauge(
            encoder,
            "confirmation_age_milliseconds",
            "Time since the rules in force were known to be the newest",
            age,
        )?;
    }
    gauge(
        encoder,
        "confirmed",
        "Whether requests with keys are served",
        u64::from(state.serving),
    )?;
    let counters = [
        (
            "confirm_reads",
            "Reads of the store to confirm the rules",
            state.reads,
        ),
        (
            "confirm_reads_failed",
            "Attempts to confirm the rules at the store that failed",
            state.reads_failed,
        ),
        (
            "confirm_asked",
            "Questions to other daemons for a confirmation",
            state.asked,
        ),
        (
            "confirm_asks_failed",
            "Questions to other daemons for a confirmation without an answer",
            state.asks_failed,
        ),
    ];
    encode_counters(encoder, &counters)
}

/// What a paced link has carried and holds back.
fn encode_link(encoder: &mut DescriptorEncoder<'_>, link: &bandwidth::Dump) -> fmt::Result {
    gauge(
        encoder,
        "link_backlog_microseconds",
        "Time that the link needs for what was written on answers",
        link.backlog_us,
    )?;
    gauge(
        encoder,
        "link_unwritten_bytes",
        "Bytes of long answers that wait for the link",
        link.unwritten,
    )?;
    let counters = [
        ("link_bytes", "Bytes written on answers", link.written),
        (
            "link_paced_bytes",
            "Bytes of long answers written on their turn, among the others",
            link.paced,
        ),
        (
            "link_waited_microseconds",
            "Time that pieces of long answers have waited for their turn",
            link.waited_us,
        ),
    ];
    encode_counters(encoder, &counters)
}

type Labels = Vec<(&'static str, String)>;

/// The workspaces of the largest limits by name, and all others as `rest`.
fn encode_quotas(encoder: &mut DescriptorEncoder<'_>, groups: &[Group]) -> fmt::Result {
    type Value = fn(&quota::Usage) -> u64;
    let gauges: [(&str, &str, Value); 4] = [
        (
            "quota_limit",
            "Requests of a workspace in a window, over the fleet",
            |u| u.limit.into(),
        ),
        (
            "quota_held",
            "Tokens of a workspace that this daemon holds",
            |u| u64::from(u.lent) + u64::from(u.share),
        ),
        (
            "quota_spent",
            "Requests of a workspace admitted here in the last window",
            |u| u.spent.into(),
        ),
        (
            "quota_refused",
            "Requests of a workspace refused here in the last window",
            |u| u.refused.into(),
        ),
    ];
    for (name, help, value) in gauges {
        let family = Family::<Labels, Gauge>::default();
        for group in groups {
            let labels = vec![("workspace", group.name.clone())];
            family
                .get_or_create(&labels)
                .set(value(&group.usage) as i64);
        }
        family.encode(encoder.encode_descriptor(name, help, None, family.metric_type())?)?;
    }
    Ok(())
}

/// Counters by name and help text.
pub(crate) fn encode_counters(
    encoder: &mut DescriptorEncoder<'_>,
    counters: &[(&str, &str, u64)],
) -> fmt::Result {
    for (name, help, value) in counters {
        counter(encoder, name, help, *value)?;
    }
    Ok(())
}

fn counter(encoder: &mut DescriptorEncoder<'_>, name: &str, help: &str, value: u64) -> fmt::Result {
    let metric = ConstCounter::new(value);
    metric.encode(encoder.encode_descriptor(name, help, None, metric.metric_type())?)
}

pub(crate) fn gauge(
    encoder: &mut DescriptorEncoder<'_>,
    name: &str,
    help: &str,
    value: u64,
) -> fmt::Result {
    let metric = ConstGauge::new(value as i64);
    metric.encode(encoder.encode_descriptor(name, help, None, metric.metric_type())?)
}
