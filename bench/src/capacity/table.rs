//! The design size, worked out from the slopes.
//!
//! A row sets one figure of one role against its limit. Rows that a straight line would carry too
//! far follow the mechanism's own law, which their text names.

use super::design::{self, BEAT, CHANGES, OBSERVERS, RATE, SERVICES, WATCHERS, ZONES};
use super::fan::{BUILT, PROPOSED, links};
use super::row::{Limit, Row, core, plain, row};
use super::slope::short;
use super::{Links, Measured, Rosters, total};

/// Rules of a document whose cost is worked out.
pub(crate) const RULES: [f64; 3] = [50.0, 200.0, 500.0];
/// Seconds for which a token is remembered beside its deadline: the gate's grace.
pub(crate) const GRACE: f64 = 15.0;
/// Seconds until the deadline of a call, as the examples of rules have it.
pub(crate) const TIMEOUT: f64 = 5.0;
/// Tokens at which a gate refuses new calls.
const TOKENS: f64 = 98_304.0;

/// All rows.
pub(crate) fn rows(m: &Measured) -> Vec<Row> {
    [
        directory(m),
        rules(m),
        entry(m),
        gate(m),
        ledger(m),
        total::control(m),
        total::path(m),
    ]
    .concat()
}

/// Bytes a second of beats, for a daemon that observes so many.
pub(crate) fn beats(links: &Links, observed: f64) -> f64 {
    (OBSERVERS + observed) / BEAT * links.message()
}

/// Processor time in microseconds a second of the directory's work at the design size.
pub(crate) fn directory_cpu(m: &Measured) -> f64 {
    let Rosters {
        review,
        watcher,
        observers,
        change,
        ..
    } = &m.rosters;
    let at = |slope: &super::Slope| slope.at(design::INSTANCES);
    let scans = at(review) + at(watcher) + at(observers) / BEAT;
    // An ordinary day has 100 instances that leave, go and come.
    let changes = 300.0 / design::DAY * (at(change) + daemon_change(m));
    // Half of a message's cost falls on each end; beats come in as often as they go out.
    let messages = 2.0 * OBSERVERS / BEAT * m.links.message_us / 2.0;
    scans + changes + messages
}

/// Microseconds that one change of the roster costs a whole daemon at the design size.
fn daemon_change(m: &Measured) -> f64 {
    m.daemons.change.at(design::INSTANCES) * 1e3
}

fn directory(m: &Measured) -> Vec<Row> {
    const ROLE: &str = "directory";
    let observed = m.rosters.observed as f64;
    let watching = WATCHERS * ZONES;
    vec![
        row(
            ROLE,
            "records of 1,800 instances",
            m.rosters.memory.at(design::INSTANCES),
            Limit::Memory,
            "one record an instance, merged by a join",
        ),
        row(
            ROLE,
            "beats, average daemon",
            beats(&m.links, OBSERVERS),
            Limit::Bytes,
            "beats to 11 observers each 5 s, whatever the fleet",
        ),
        row(
            ROLE,
            "beats, busiest daemon",
            beats(&m.links, observed),
            Limit::Bytes,
            "rendezvous ranks choose the observers",
        ),
        row(
            ROLE,
            "scans, beats, 300 changes a day",
            directory_cpu(m),
            Limit::Core,
            "a review each second; beats with a digest",
        ),
        row(
            ROLE,
            "calls of all daemons on the store",
            watching * design::WATCHES,
            Limit::Reads,
            "3 watchers a zone",
        ),
        row(
            ROLE,
            "the same, a waiting watch as a call a second",
            watching * (design::WATCHES + 2.0),
            Limit::Reads,
            "3 watchers a zone, 2 watches each",
        ),
    ]
}

fn rules(m: &Measured) -> Vec<Row> {
    const ROLE: &str = "rules";
    let quiet = beats(&m.links, OBSERVERS);
    let mut rows = Vec::new();
    for count in RULES {
        let length = m.documents.bytes.at(count);
        let what = |who: &str| {
            format!(
                "{count} rules ({} B), 2,500 changes a day, {who}",
                short(length)
            )
        };
        rows.push(row(
            ROLE,
            what("average"),
            CHANGES * m.feeds.change(length),
            Limit::Bytes,
            "a tree of degree 8 in each zone",
        ));
        rows.push(row(
            ROLE,
            what("watcher"),
            CHANGES * m.feeds.change_most(length),
            Limit::Bytes,
            "a watcher reads the text, and sends it to 8 and 2 others",
        ));
    }
    rows.push(row(
        ROLE,
        "longest rules that keep a watcher below 9 KB/s, bytes",
        m.feeds.longest(quiet),
        Limit::None,
        "",
    ));
    let parse = m.documents.parse.at(RULES[2]);
    rows.push(row(
        ROLE,
        "reading 500 rules 2,500 times a day",
        CHANGES * parse,
        Limit::Core,
        "each daemon reads each version once",
    ));
    rows.push(row(
        ROLE,
        "500 rules, two versions",
        2.0 * m.documents.memory.at(RULES[2]),
        Limit::Memory,
        "the one in force and the one being read",
    ));
    // The depth of the tree grows with the logarithm of the zone.
    let last = m.feeds.last.points.last().map_or(0.0, |p| p.y);
    let killed = m.feeds.killed.points.last().map_or(0.0, |p| p.y);
    rows.push(row(
        ROLE,
        "until the last of 100 has new rules, one way 5 ms",
        last,
        Limit::Force,
        "a tree of degree 8; 225 take one hop more",
    ));
    rows.push(row(
        ROLE,
        "the same, a watcher stops meanwhile",
        killed,
        Limit::Force,
        "orphans are told after 0.5 s",
    ));
    rows
}

fn entry(m: &Measured) -> Vec<Row> {
    const ROLE: &str = "entry";
    let mut rows = vec![
        row(
            ROLE,
            "choices for 48 services",
            SERVICES * m.choices.memory.at(design::TARGETS),
            Limit::Memory,
            "subsets: the zone's targets and 12 others",
        ),
        plain(
            ROLE,
            "rules and choice of 150 calls/s (data path)",
            core(RATE * (m.choices.routine.at(design::TARGETS) + m.documents.decide.at(RULES[2]))),
        ),
        plain(
            ROLE,
            "share of calls that leave the zone",
            format!("{:.1}%", m.choices.away * 100.0),
        ),
    ];
    for services in [5.0, 12.0, SERVICES] {
        rows.extend(links(m, services, "as built", BUILT));
    }
    rows.extend(links(
        m,
        SERVICES,
        "proposed: 4 far targets, idle 60 s",
        PROPOSED,
    ));
    rows
}

fn gate(m: &Measured) -> Vec<Row> {
    const ROLE: &str = "gate";
    let held = RATE * (GRACE + TIMEOUT);
    vec![
        row(
            ROLE,
            format!("{} tokens remembered", short(held)),
            held * m.gates.tokens.fit.slope,
            Limit::Memory,
            "a token is kept 15 s past its deadline",
        ),
        row(
            ROLE,
            "tokens at the bound of 98,304",
            TOKENS * m.gates.tokens.fit.slope,
            Limit::Memory,
            "new calls are refused at the bound",
        ),
        row(
            ROLE,
            "calls/s at which the table is full",
            TOKENS / (GRACE + TIMEOUT),
            Limit::None,
            "deadlines of 5 s",
        ),
        plain(
            ROLE,
            "decisions for 150 calls/s (data path)",
            core(RATE * m.gates.request.at(10.0)),
        ),
        row(
            ROLE,
            "1,000 callers that wait",
            1_000.0 * m.gates.callers.fit.slope,
            Limit::Memory,
            "a lane for each caller that waits",
        ),
    ]
}

fn ledger(m: &Measured) -> Vec<Row> {
    const ROLE: &str = "ledger";
    let kept = super::ledger::KEPT;
    let mut rows = vec![
        row(
            ROLE,
            "claims/s that 285 writes/s carry, 2 shards",
            m.ledgers.most,
            Limit::None,
            "claims grouped into conditional updates",
        ),
        row(
            ROLE,
            "claims/s kept for 24 h, 2 shards",
            kept,
            Limit::None,
            "2 million keys a shard, then refused",
        ),
        plain(
            ROLE,
            "the same as a share of 270,000 calls/s",
            format!("{:.3}%", kept / design::CALLS * 100.0),
        ),
        row(
            ROLE,
            "an owner of a full shard (2 million keys)",
            2e6 * m.ledgers.keys.fit.slope,
            Limit::Memory,
            "eight bytes a key, the rest in segments",
        ),
        plain(
            ROLE,
            "bytes in the store, both shards full",
            format!("{:.0} MB", 4e6 * m.ledgers.stored.fit.slope / 1e6),
        ),
    ];
    for steady in &m.ledgers.steady {
        let owner = steady.rate * steady.bytes / f64::from(steady.shards);
        rows.push(row(
            ROLE,
            format!(
                "one owner's writes at {:.0} claims/s, {} shards, p99 {:.0} ms",
                steady.rate, steady.shards, steady.p99_ms
            ),
            owner,
            Limit::Bytes,
            "each write carries the shard's head again",
        ));
    }
    rows
}
