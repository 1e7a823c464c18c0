//! Each check of workspaces reports what it is for, and nothing else.

use std::time::Duration;

use http::{HeaderMap, HeaderValue};
use mesh::Run;
use soak::check::Broken;
use soak::workspaces::{Bounds, History, Member, Members, check_workspaces};
use soak::{Kind, Sent};
use tokio::time::Instant;
use unit::Rate;
use workspace::Quota;

const BOUNDS: Bounds = Bounds {
    revoke: ms(5_000),
    window: ms(2_000),
    overage: 0.1,
    slack: 2,
};

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Workspace `a` with these keys and a quota of so many a second, and `b` with one key and without.
fn members(keys: &[&str], rate: f64) -> Members {
    let member = |keys: &[&str], quota| Member {
        keys: keys.iter().map(ToString::to_string).collect(),
        quota,
    };
    let quota = Quota {
        rate: Rate::of(rate),
        burst: 0,
    };
    let a = ("a".to_string(), member(keys, Some(quota)));
    let b = ("b".to_string(), member(&["key-b"], None));
    [a, b].into()
}

fn put(history: &mut History, members: Members, at: Instant) {
    let place = history.begin(members, at);
    history.acknowledge(place, at);
}

/// A request with a key that was answered with 200, and its run for a workspace 10 ms later.
fn request(number: u64, key: &str, at: Instant, workspace: &'static str) -> (Sent, Run) {
    let path = format!("/{number}");
    let sent = Sent {
        path: path.clone(),
        kind: Kind::Read,
        entry: 0,
        key: Some(key.to_string()),
        at,
        ended: at + ms(20),
        status: 200,
        outcome: "ran".to_string(),
        reason: String::new(),
        whole: true,
        body: String::new(),
    };
    let mut headers = HeaderMap::new();
    headers.insert("x-workspace", HeaderValue::from_static(workspace));
    let run = Run {
        path,
        at: at + ms(10),
        headers,
        max_rate: None,
        leaving: false,
    };
    (sent, run)
}

fn check(requests: &[(Sent, Run)], history: &History) -> Vec<Broken> {
    let (sent, runs): (Vec<Sent>, Vec<Run>) = requests.iter().cloned().unzip();
    check_workspaces(&sent, &runs, history, BOUNDS)
}

fn revoked(number: u64) -> Broken {
    Broken::Revoked(format!("/{number}"), 0)
}

#[test]
fn key_is_reported_once_its_removal_is_old() {
    let begin = Instant::now();
    let mut history = History::default();
    put(&mut history, members(&["k1", "k2"], 10.0), begin);
    put(&mut history, members(&["k2"], 10.0), begin + ms(1_000));
    let all = [
        request(1, "k1", begin + ms(5_990), "a"),
        request(2, "k1", begin + ms(6_010), "a"),
        request(3, "k2", begin + ms(6_010), "a"),
    ];
    assert_eq!(check(&all, &history), [revoked(2)]);
}

// A removal that the store has not acknowledged may not be there.
#[test]
fn removal_counts_from_its_acknowledgement() {
    let begin = Instant::now();
    let mut history = History::default();
    put(&mut history, members(&["k1"], 10.0), begin);
    let place = history.begin(members(&[], 10.0), begin + ms(1_000));
    let all = [request(1, "k1", begin + ms(7_000), "a")];
    assert_eq!(check(&all, &history), []);
    history.acknowledge(place, begin + ms(1_900));
    assert_eq!(check(&all, &history), [revoked(1)]);
}

// With the older copy the key is back, until the next version without it.
#[test]
fn removal_is_void_when_the_store_comes_back_from_before_it() {
    let begin = Instant::now();
    let mut history = History::default();
    put(&mut history, members(&["k1"], 10.0), begin);
    let mark = history.mark(history.newest());
    put(&mut history, members(&[], 10.0), begin + ms(1_000));
    history.restore(mark, begin + ms(3_000));
    let all = [
        request(1, "k1", begin + ms(9_000), "a"),
        request(2, "k1", begin + ms(11_000), "a"),
    ];
    assert_eq!(check(&all, &history), []);
    put(&mut history, members(&[], 10.0), begin + ms(5_000));
    assert_eq!(check(&all, &history), [revoked(2)]);
}

/// So many requests of a workspace, one each 10 ms.
fn flood(count: u64, key: &str, from: Instant, workspace: &'static str) -> Vec<(Sent, Run)> {
    let numbers = 0..count;
    let requests = numbers.map(|number| request(number, key, from + ms(10 * number), workspace));
    requests.collect()
}

#[test]
fn window_is_reported_above_its_limit_with_overage_and_slack() {
    let begin = Instant::now();
    let mut history = History::default();
    put(&mut history, members(&["k1"], 10.0), begin);
    assert_eq!(check(&flood(24, "k1", begin, "a"), &history), []);
    let exceeded = Broken::Quota("a".to_string(), 25, 24.0);
    assert_eq!(check(&flood(25, "k1", begin, "a"), &history), [exceeded]);
    assert_eq!(check(&flood(25, "key-b", begin, "b"), &history), []);
}

// A request that was held up by its daemon or the network belongs to no window that begins after it
// was sent.
#[test]
fn requests_that_are_held_up_are_in_no_later_window() {
    let begin = Instant::now();
    let mut history = History::default();
    put(&mut history, members(&["k1"], 10.0), begin);
    let mut all = flood(40, "k1", begin, "a");
    for (_, run) in &mut all[20..] {
        run.at = begin + ms(5_000);
    }
    assert_eq!(check(&all, &history), []);
}

#[test]
fn lower_limit_binds_once_it_is_in_force_everywhere() {
    let begin = Instant::now();
    let mut history = History::default();
    put(&mut history, members(&["k1"], 10.0), begin);
    put(&mut history, members(&["k1"], 5.0), begin + ms(1_000));
    let before = flood(20, "k1", begin + ms(5_800), "a");
    assert_eq!(check(&before, &history), []);
    let after = flood(20, "k1", begin + ms(6_010), "a");
    let exceeded = Broken::Quota("a".to_string(), 20, 13.0);
    assert_eq!(check(&after, &history), [exceeded]);
}

#[test]
fn wrong_name_and_shown_key_are_reported() {
    let begin = Instant::now();
    let mut history = History::default();
    put(&mut history, members(&["k1"], 10.0), begin);
    let mut all = [request(1, "k1", begin, "b"), request(2, "k1", begin, "a")];
    let shown = HeaderValue::from_static("Bearer k1");
    all[1].1.headers.insert("authorization", shown);
    let named = Broken::Workspace("/1".to_string(), "b".to_string());
    assert_eq!(
        check(&all, &history),
        [named, Broken::Key("/2".to_string())]
    );
}

#[test]
fn request_without_a_key_that_runs_is_reported() {
    let begin = Instant::now();
    let mut history = History::default();
    put(&mut history, members(&["k1"], 10.0), begin);
    let mut all = [request(1, "", begin, "a")];
    all[0].0.key = None;
    all[0].1.headers.clear();
    let named = Broken::Workspace("/1".to_string(), String::new());
    assert_eq!(check(&all, &history), [named, revoked(1)]);
}

#[test]
fn status_that_denies_a_run_is_reported() {
    let begin = Instant::now();
    let mut history = History::default();
    put(&mut history, members(&["k1"], 10.0), begin);
    for status in [401, 429, 503] {
        let mut all = [request(1, "k1", begin, "a")];
        all[0].0.status = status;
        let denied = Broken::Status("/1".to_string(), status);
        assert_eq!(check(&all, &history), [denied]);
    }
}
