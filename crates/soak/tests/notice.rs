//! Each check of limits and leaves reports what it is for, and nothing else.

use std::time::Duration;

use mesh::{Limit, Run};
use soak::check::Broken;
use soak::notice::{Life, check_notices};
use soak::{Kind, Sent, Trouble, Window};
use tokio::time::Instant;

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// A request to daemon 0 every `pause`, whose answers name `max_rate`, and the life that ran them.
fn play(begin: Instant, pause: u64, max_rate: f64) -> (Vec<Sent>, Life) {
    let times = (0..10_000 / pause).map(|number| begin + ms(number * pause));
    let sent = times.enumerate().map(|(number, at)| Sent {
        path: format!("/a{number}"),
        kind: Kind::Read,
        entry: 0,
        key: None,
        at,
        ended: at + ms(20),
        status: 200,
        outcome: "ran".to_string(),
        reason: String::new(),
        whole: true,
        body: String::new(),
    });
    let sent: Vec<Sent> = sent.collect();
    let run = |sent: &Sent| Run {
        path: sent.path.clone(),
        at: sent.at,
        headers: http::HeaderMap::new(),
        max_rate: Some(max_rate),
        leaving: false,
    };
    let life = Life {
        index: 1,
        runs: sent.iter().map(run).collect(),
        limits: vec![Limit {
            from: begin,
            max_rate: Some(max_rate),
        }],
    };
    (sent, life)
}

#[test]
fn requests_within_a_limit_break_nothing() {
    let (sent, life) = play(Instant::now(), 100, 10.0);
    assert_eq!(check_notices(&sent, &[life], &[]), []);
}

#[test]
fn requests_beyond_a_limit_are_reported() {
    let (sent, life) = play(Instant::now(), 50, 10.0);
    let broken = check_notices(&sent, &[life], &[]);
    assert_eq!(broken, [Broken::Limit(80, 65.0)]);
}

#[test]
fn daemon_that_was_gone_meanwhile_is_excused() {
    let begin = Instant::now();
    let (sent, life) = play(begin, 50, 10.0);
    let gone = |from: u64| Window {
        trouble: Trouble::Gone(0),
        from: begin + ms(from),
        to: begin + ms(from + 10),
    };
    // Never longer in service than the limit takes to be told.
    let windows: Vec<Window> = (0..25).map(|number| gone(number * 400)).collect();
    assert_eq!(check_notices(&sent, &[life], &windows), []);
}

#[test]
fn request_to_a_target_that_its_daemon_knows_to_leave_is_reported() {
    let (sent, mut life) = play(Instant::now(), 1_000, 10.0);
    life.limits.clear();
    life.runs[2].leaving = true;
    let broken = check_notices(&sent, &[life], &[]);
    let late = (5..10).map(|number| Broken::Leave(format!("/a{number}")));
    assert_eq!(broken, late.collect::<Vec<_>>());
}
