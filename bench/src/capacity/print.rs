//! The report as text: tables in the form of the page.

use super::slope::{Slope, short};
use super::{Cost, Measured, Report};

/// Prints slopes, single figures, failures and the table.
pub(crate) fn report(report: &Report) {
    slopes(&report.measured);
    figures(&report.measured);
    failures(&report.measured.failures);
    println!("\n| role | what | figure | limit | share | mechanism |");
    println!("|---|---|---|---|---|---|");
    for row in &report.table {
        let share = row.share.map(|share| format!("{:.1}%", share * 100.0));
        let share = share.unwrap_or_default();
        println!(
            "| {} | {} | {} | {} | {share} | {} |",
            row.role, row.what, row.figure, row.limit, row.mechanism
        );
    }
}

fn slopes(m: &Measured) {
    let (r, d, f, l) = (&m.rosters, &m.documents, &m.feeds, &m.links);
    let all: [&Slope; 36] = [
        &l.memory,
        &l.used,
        &l.idle,
        &r.memory,
        &r.listing_bytes,
        &r.review,
        &r.change,
        &r.watcher,
        &r.observers,
        &r.relay,
        &r.listing,
        &d.bytes,
        &d.memory,
        &d.parse,
        &d.decide,
        &m.gates.request,
        &m.gates.tokens,
        &m.gates.callers,
        &m.choices.routine,
        &m.choices.urgent,
        &m.choices.memory,
        &m.ledgers.keys,
        &m.ledgers.stored,
        &f.calls,
        &f.waiting,
        &f.quiet,
        &f.quiet_zones,
        &f.messages,
        &f.cpu,
        &f.last,
        &f.killed,
        &f.short,
        &f.short_most,
        &f.long,
        &f.long_most,
        &m.daemons.memory,
    ];
    println!("| measured | by | points | slope | base | residual |");
    println!("|---|---|---|---|---|---|");
    for slope in all.into_iter().chain([&m.daemons.change, &m.daemons.calls]) {
        println!("{slope}");
    }
}

fn figures(m: &Measured) {
    let (l, g) = (&m.links, &m.ledgers);
    println!("\n| figure | value |\n|---|---|");
    let lines = [
        ("handshake, CPU of both ends, us", l.handshake_us),
        ("handshake and probing of packets, bytes", l.handshake_bytes),
        ("message and answer, CPU of both ends, us", l.message_us),
        ("message and answer, bytes of UDP payload", l.message_bytes),
        ("read targets from the snapshot, us", m.rosters.read_us),
        (
            "most instances that one of 1,800 observes",
            m.rosters.observed as f64,
        ),
        ("repair of one record, bytes", m.rosters.repair_bytes as f64),
        ("share of calls that leave the zone", m.choices.away),
        ("targets used of 37", m.choices.used as f64),
        ("one daemon of two without calls, CPU us/s", m.daemons.idle),
        ("claims/s, 600 callers, 2 shards", g.most),
        ("writes/s meanwhile", g.writes),
    ];
    for (what, value) in lines {
        println!("| {what} | {} |", short(value));
    }
    println!("\n| shards | claims/s | writes/s | bytes a claim | p50 ms | p99 ms |");
    println!("|---|---|---|---|---|---|");
    for s in &g.steady {
        println!(
            "| {} | {:.0} | {:.1} | {} | {:.0} | {:.0} |",
            s.shards,
            s.rate,
            s.writes,
            short(s.bytes),
            s.p50_ms,
            s.p99_ms
        );
    }
}

fn failures(costs: &[Cost]) {
    println!(
        "\n| 48 daemons, 4 zones | lost | all suspect after | all gone after | rules everywhere after | B/s, average | B/s, busiest | calls/s on the store |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    let seconds = |at: Option<f64>| at.map_or("-".to_string(), |at| format!("{at:.1} s"));
    for c in costs {
        println!(
            "| {} | {} | {} | {} | {} | {} | {} | {:.2} |",
            c.what,
            c.lost,
            seconds(c.suspect_s),
            seconds(c.gone_s),
            seconds(c.rules_s),
            short(c.bytes),
            short(c.bytes_most),
            c.calls
        );
    }
}
