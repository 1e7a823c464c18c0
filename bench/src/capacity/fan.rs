//! The links of an entry: how many are open, and how many it dials anew.

use super::Measured;
use super::design::{self, OBSERVERS, RATE, ZONES};
use super::row::{Limit, Row, row};

/// How an entry's links are kept.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Keep {
    /// Targets of other zones that it uses of each service.
    far: f64,
    /// Seconds after which an idle link closes.
    idle: f64,
}

/// As built.
pub(crate) const BUILT: Keep = Keep {
    far: design::FAR,
    idle: design::IDLE,
};

/// Proposed, not built.
pub(crate) const PROPOSED: Keep = Keep {
    far: 4.0,
    idle: 60.0,
};

/// The links that one entry has dialled; as many are dialled by others on average.
///
/// The targets of one service that an entry uses are those of its zone and some others. A link is
/// open while a call came within the idle time; calls are taken to come at random.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Fan {
    open: f64,
    /// Handshakes a second.
    handshakes: f64,
}

impl Fan {
    /// An entry that calls `services` evenly at [`RATE`], and a share `away` of it to other zones.
    pub(crate) fn of(services: f64, away: f64, keep: Keep) -> Fan {
        let near = services * design::TARGETS / ZONES;
        let far = services * keep.far;
        let part = |links: f64, rate: f64| {
            let gap = (-rate / links * keep.idle).exp();
            Fan {
                open: links * (1.0 - gap),
                handshakes: rate * gap,
            }
        };
        let (a, b) = (part(near, RATE * (1.0 - away)), part(far, RATE * away));
        Fan {
            open: a.open + b.open,
            handshakes: a.handshakes + b.handshakes,
        }
    }

    /// Ends of links at one daemon: dialled and accepted, and those of beats.
    pub(crate) fn ends(self) -> f64 {
        2.0 * self.open + 2.0 * OBSERVERS
    }
}

/// What the links of an entry cost that calls so many services.
pub(crate) fn links(m: &Measured, services: f64, how: &str, keep: Keep) -> Vec<Row> {
    const ROLE: &str = "links";
    let fan = Fan::of(services, m.choices.away, keep);
    let (ends, handshakes) = (fan.ends(), fan.handshakes);
    let dialled = Row {
        role: ROLE,
        what: format!("calls that wait for a handshake, {services} services, {how}"),
        figure: format!("{:.2}% of calls", handshakes / RATE * 100.0),
        limit: "1.00% of calls".to_string(),
        share: Some(handshakes / RATE * 100.0),
        mechanism: "a link is dialled by the first call after it has closed",
    };
    vec![
        row(
            ROLE,
            format!("{ends:.0} ends, {services} services called, {how}"),
            ends * m.links.end(),
            Limit::Memory,
            "a link closes after its idle time",
        ),
        row(
            ROLE,
            format!("{handshakes:.2} handshakes/s each way, {services} services, {how}"),
            2.0 * handshakes * m.links.handshake_bytes,
            Limit::Bytes,
            "",
        ),
        row(
            ROLE,
            format!("the same, processor time, {services} services, {how}"),
            handshakes * m.links.handshake_us,
            Limit::Core,
            "",
        ),
        dialled,
    ]
}
