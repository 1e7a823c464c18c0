//! What all roles together take of one daemon, and what the data path takes beside them.

use super::Measured;
use super::design::{self, CHANGES, OBSERVERS, RATE, SERVICES};
use super::fan::{BUILT, Fan};
use super::row::{Limit, Row, core, plain, row};
use super::table::{GRACE, RULES, TIMEOUT, beats, directory_cpu};

/// What control takes of one daemon, all roles together.
pub(crate) fn control(m: &Measured) -> Vec<Row> {
    const ROLE: &str = "all, control";
    let length = m.documents.bytes.at(RULES[1]);
    let quiet = beats(&m.links, OBSERVERS);
    let observed = m.rosters.observed as f64;
    let parse = CHANGES * m.documents.parse.at(RULES[1]);
    let bytes = quiet + CHANGES * m.feeds.change(length);
    let most = beats(&m.links, observed) + CHANGES * m.feeds.change_most(length);
    let bare = tables(m);
    let average = bare + 2.0 * OBSERVERS * m.links.end();
    let busiest = bare + (OBSERVERS + observed) * m.links.end();
    let mut rows = vec![
        row(
            ROLE,
            "average daemon, 200 rules",
            bytes,
            Limit::Bytes,
            "beats and the tree",
        ),
        row(
            ROLE,
            "a watcher that observes most, 200 rules",
            most,
            Limit::Bytes,
            "beats and the root of the tree",
        ),
        row(
            ROLE,
            "processor time of all parts",
            directory_cpu(m) + parse,
            Limit::Core,
            "periodic work and messages",
        ),
        row(
            ROLE,
            "processor time of a whole daemon of two, without calls",
            m.daemons.idle,
            Limit::Core,
            "polls of suspects each 20 ms, probes of the target, beats, watches",
        ),
        row(
            ROLE,
            "an empty daemon and its tables",
            bare,
            Limit::Memory,
            "tables bounded in number and age",
        ),
        row(
            ROLE,
            "the same with 22 ends of links for beats",
            average,
            Limit::Memory,
            "links to observers stay open",
        ),
        row(
            ROLE,
            "the same for the daemon that observes most",
            busiest,
            Limit::Memory,
            "",
        ),
    ];
    for services in [5.0, 12.0, SERVICES] {
        let ends = Fan::of(services, m.choices.away, BUILT).ends();
        rows.push(row(
            ROLE,
            format!("the same with calls to {services} services"),
            bare + ends * m.links.end(),
            Limit::Memory,
            "",
        ));
    }
    rows
}

/// Bytes of a daemon and its tables at the design size, without links and without an owned shard.
fn tables(m: &Measured) -> f64 {
    let directory = m.rosters.memory.at(design::INSTANCES);
    let rules = 2.0 * m.documents.memory.at(RULES[1]);
    let choices = SERVICES * m.choices.memory.at(design::TARGETS);
    let tokens = RATE * (GRACE + TIMEOUT) * m.gates.tokens.fit.slope;
    design::PROCESS + directory + rules + choices + tokens
}

/// The data path, which is not part of the control budget.
pub(crate) fn path(m: &Measured) -> Vec<Row> {
    const ROLE: &str = "data path";
    let each = m.daemons.calls.fit.slope;
    vec![
        plain(
            ROLE,
            "processor time of a call, both daemons",
            format!("{each:.0} us"),
        ),
        plain(
            ROLE,
            "a daemon at 150 calls/s as entry and as gate",
            core(RATE * each),
        ),
        plain(
            ROLE,
            "if 270,000/s leaves nested calls out: 1,350/s",
            core(RATE * design::DEPTH * each),
        ),
    ]
}
