//! Each check reports what it is for, and nothing else.

use std::collections::BTreeMap;
use std::time::Duration;

use soak::check::{Broken, check};
use soak::{Fault, Kind, Plan, Sent, Trouble, Window};
use tokio::time::Instant;

fn sent(kind: Kind, path: &str) -> Sent {
    let at = Instant::now();
    Sent {
        path: path.to_string(),
        kind,
        entry: 0,
        key: None,
        at,
        ended: at + Duration::from_millis(20),
        status: 200,
        outcome: "ran".to_string(),
        reason: String::new(),
        whole: true,
        body: format!("{path} "),
    }
}

fn runs(of: &[(&str, usize)]) -> BTreeMap<String, usize> {
    of.iter()
        .map(|(path, count)| (path.to_string(), *count))
        .collect()
}

fn window(trouble: Trouble, sent: &Sent) -> Window {
    Window {
        trouble,
        from: sent.at,
        to: sent.ended,
    }
}

#[test]
fn a_quiet_day_breaks_nothing() {
    let all = [
        sent(Kind::Read, "/a"),
        sent(Kind::Book, "/b"),
        sent(Kind::Order, "/order/k/0"),
    ];
    let runs = runs(&[("/a", 2), ("/b", 1), ("/order/k/0", 1)]);
    assert_eq!(check(&all, &runs, &[]), []);
}

#[test]
fn a_second_run_of_a_booking_or_an_order_is_reported() {
    let all = [sent(Kind::Book, "/b")];
    let runs = runs(&[("/b", 2), ("/order/k/0", 1), ("/order/k/1", 1)]);
    let broken = check(&all, &runs, &[]);
    let booking = Broken::Twice("/b".to_string(), 2);
    assert_eq!(broken, [booking, Broken::Twice("order k".to_string(), 2)]);
}

#[test]
fn a_false_not_run_is_reported() {
    let mut one = sent(Kind::Read, "/a");
    (one.status, one.outcome) = (503, "not-run".to_string());
    assert_eq!(check(&[one.clone()], &runs(&[]), &[]), []);
    let broken = check(&[one], &runs(&[("/a", 1)]), &[]);
    assert_eq!(broken, [Broken::Word("/a".to_string())]);
}

#[test]
fn another_requests_answer_is_reported() {
    let mut one = sent(Kind::Read, "/a");
    one.body = "/b ".to_string();
    let broken = check(&[one], &runs(&[]), &[]);
    assert_eq!(broken, [Broken::Answer("/a".to_string())]);
}

#[test]
fn a_cut_is_explained_by_a_kill_and_not_by_a_planned_stop() {
    let mut one = sent(Kind::Read, "/a");
    (one.status, one.outcome, one.whole) = (0, String::new(), false);
    let ran = runs(&[("/a", 1)]);
    let gone = window(Trouble::Gone(0), &one);
    let stopping = window(Trouble::Stopping(0), &one);
    let elsewhere = window(Trouble::Gone(1), &one);
    assert_eq!(check(&[one.clone()], &ran, &[gone]), []);
    assert_eq!(check(&[one.clone()], &ran, &[stopping]).len(), 1);
    assert_eq!(check(&[one.clone()], &ran, &[elsewhere]).len(), 1);
    // A new connection that is refused at the end of a stop harms nobody.
    assert_eq!(check(&[one], &runs(&[]), &[stopping]), []);
}

#[test]
fn an_unknown_outcome_under_a_planned_stop_alone_is_reported() {
    let mut one = sent(Kind::Book, "/b");
    (one.status, one.outcome) = (502, "unknown".to_string());
    let stopping = window(Trouble::Stopping(2), &one);
    let other = window(Trouble::Other, &one);
    assert_eq!(
        check(&[one.clone()], &runs(&[("/b", 1)]), &[stopping]).len(),
        1
    );
    assert_eq!(check(&[one], &runs(&[("/b", 1)]), &[stopping, other]), []);
}

#[test]
fn a_late_answer_is_reported_unless_its_daemon_was_paused() {
    let mut one = sent(Kind::Read, "/a");
    one.ended = one.at + Duration::from_secs(6);
    let paused = window(Trouble::Paused(0), &one);
    assert_eq!(check(&[one.clone()], &runs(&[]), &[]).len(), 1);
    assert_eq!(check(&[one], &runs(&[]), &[paused]), []);
}

#[test]
fn repeats_beyond_the_budget_are_reported() {
    let all: Vec<Sent> = (0..100)
        .map(|number| sent(Kind::Read, &format!("/{number}")))
        .collect();
    let twice = all.iter().map(|one| (one.path.clone(), 2)).collect();
    assert_eq!(check(&all, &twice, &[]), [Broken::Budget(200, 100)]);
}

#[test]
fn a_seed_gives_the_same_plan() {
    let length = Duration::from_secs(60);
    let plan = Plan::draw(7, length, 4);
    assert_eq!(plan, Plan::draw(7, length, 4));
    assert_ne!(plan.steps, Plan::draw(8, length, 4).steps);
    // Faults overlap: some begin before the one before them has ended.
    let pauses = plan.steps.windows(2);
    assert!(
        pauses
            .into_iter()
            .any(|two| two[1].at - two[0].at < Duration::from_millis(300))
    );
    assert!(
        plan.steps
            .iter()
            .any(|step| matches!(step.fault, Fault::Retire(..)))
    );
}
