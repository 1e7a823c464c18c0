//! Tests which life of a target is current after late, repeated and conflicting heartbeats.

use std::time::Duration;

use target::{Effect, Heartbeat, Life, Run, Stage};
use tokio::time::Instant;
use unit::Incarnation;

const ALIVE_FOR: Duration = Duration::from_secs(3);

fn heartbeat(life: &str, sequence: u64, ready: bool) -> Heartbeat {
    Heartbeat {
        life: life.to_string(),
        born: None,
        ready,
        slots: 8,
        cold: Duration::ZERO,
        sequence,
    }
}

/// A target announces that it drains, and a heartbeat sent before that arrives late. The target must
/// not become ready again: the drain was acknowledged.
#[test]
fn late_heartbeat_does_not_undo_a_drain() {
    let now = Instant::now();
    let mut life = Life::unknown(now, 1);
    assert_eq!(
        life.receive_heartbeat(now, &heartbeat("a", 5, true), ALIVE_FOR),
        Effect::Changed
    );
    assert_eq!(
        life.receive_heartbeat(now, &heartbeat("a", 6, false), ALIVE_FOR),
        Effect::Changed
    );
    assert_eq!(
        life.receive_heartbeat(now, &heartbeat("a", 4, true), ALIVE_FOR),
        Effect::Late
    );
    assert_eq!(
        life.receive_heartbeat(now, &heartbeat("a", 7, true), ALIVE_FOR),
        Effect::Unchanged
    );
    assert_eq!(life.stage, Stage::Leaving);
}

/// A target crashes behind a partition, another life registers at its address, and then a delayed
/// heartbeat of the former life arrives. It must not make the former life current again.
#[test]
fn former_life_does_not_become_current_again() {
    let now = Instant::now();
    let mut life = Life::unknown(now, 1);
    life.receive_heartbeat(now, &heartbeat("a", 5, true), ALIVE_FOR);
    let later = now + ALIVE_FOR * 2;
    assert_eq!(
        life.receive_heartbeat(later, &heartbeat("b", 1, true), ALIVE_FOR),
        Effect::Restarted
    );
    assert_eq!(
        life.receive_heartbeat(later, &heartbeat("a", 6, true), ALIVE_FOR),
        Effect::Late
    );
    assert_eq!(life.name.as_deref(), Some("b"));
}

/// The daemon has just started and received a heartbeat of one life, and the next heartbeat names
/// another. Heartbeats can't tell which of them is late, so the target's own answer decides.
#[test]
fn conflicting_lives_are_resolved_by_the_target() {
    let now = Instant::now();
    for truth in ["a", "b"] {
        let mut life = Life::unknown(now, 1);
        life.receive_heartbeat(now, &heartbeat("b", 1, true), ALIVE_FOR);
        assert_eq!(
            life.receive_heartbeat(now, &heartbeat("a", 9, true), ALIVE_FOR),
            Effect::Conflicting
        );
        assert_eq!(life.name.as_deref(), Some("b"));
        life.receive_health(now, truth, true, None);
        assert_eq!(life.name.as_deref(), Some(truth));
        assert_eq!(life.stage, Stage::Ready);
    }
}

/// A daemon starts beside a target that leaves and answers health checks with a failure. If only a
/// former process has received its heartbeats, it gets no requests then.
#[test]
fn unhealthy_target_gets_no_requests_before_its_heartbeat() {
    let now = Instant::now();
    let mut life = Life::unknown(now, 1);
    life.recover(&[], Some(&run("a", 1_000)));
    assert!(!life.receive_health(now, "a", false, Some(8)));
    assert_eq!(life.stage, Stage::Unknown);
    assert!(life.receive_health(now, "a", true, Some(8)));
    assert_eq!((life.stage, life.slots), (Stage::Ready, 8));
}

/// A life that has announced its end goes on answering for a moment. It must not be taken for a new
/// life.
#[test]
fn leaving_life_does_not_become_ready() {
    let now = Instant::now();
    let mut life = Life::unknown(now, 1);
    life.receive_leave("a", None);
    assert!(!life.receive_health(now, "a", true, None));
    life.receive_heartbeat(now, &heartbeat("a", 3, true), ALIVE_FOR);
    assert!(life.is_leaving());
    let mut other = Life::unknown(now, 1);
    other.receive_heartbeat(now, &heartbeat("b", 1, true), ALIVE_FOR);
    assert!(
        !other.receive_leave("a", None),
        "the leave of a former life must not affect b"
    );
    assert_eq!(other.stage, Stage::Ready);
}

/// A health check may be wrong either way. For a target that sends heartbeats, only heartbeats,
/// leaves and lost connections take it out of service.
#[test]
fn wrong_health_answer_does_not_take_target_down() {
    let now = Instant::now();
    let mut life = Life::unknown(now, 1);
    life.receive_heartbeat(now, &heartbeat("a", 1, true), ALIVE_FOR);
    assert!(!life.receive_health(now, "a", false, None));
    assert_eq!(life.stage, Stage::Ready);
    assert!(life.mark_unreachable());
    assert_eq!(life.stage, Stage::Down);
    assert!(
        life.receive_health(now, "a", true, None),
        "it answers again"
    );
}

fn dated(life: &str, born: u64, sequence: u64, ready: bool) -> Heartbeat {
    Heartbeat {
        born: Some(Incarnation(born)),
        ..heartbeat(life, sequence, ready)
    }
}

/// The target crashes and restarts under the same name, and its heartbeats are numbered from one.
/// If they counted as late until they passed the last number of the former run, a healthy target
/// would get no requests for as long as that run had lasted.
#[test]
fn restart_under_the_same_name_is_recognized() {
    let now = Instant::now();
    let mut life = Life::unknown(now, 1);
    life.receive_heartbeat(now, &dated("a", 1_000, 40, true), ALIVE_FOR);
    assert!(life.mark_unreachable());
    assert_eq!(
        life.receive_heartbeat(now, &dated("a", 2_000, 1, true), ALIVE_FOR),
        Effect::Restarted
    );
    assert_eq!((life.stage, life.sequence), (Stage::Ready, 1));
    let more = Heartbeat {
        slots: 3,
        ..dated("a", 2_000, 2, true)
    };
    assert_eq!(
        life.receive_heartbeat(now, &more, ALIVE_FOR),
        Effect::Changed
    );
    assert_eq!(life.slots, 3);
}

/// The target announces that it leaves, and then restarts under the same name. The announcement
/// applies only to the run that made it.
#[test]
fn restart_is_not_affected_by_leave_of_former_run() {
    let now = Instant::now();
    let mut life = Life::unknown(now, 1);
    life.receive_heartbeat(now, &dated("a", 1_000, 40, false), ALIVE_FOR);
    assert!(life.is_leaving());
    life.receive_heartbeat(now, &dated("a", 2_000, 1, true), ALIVE_FOR);
    assert_eq!(life.stage, Stage::Ready);
    // The leave of the former run was delayed and arrives now.
    assert!(!life.receive_leave("a", Some(Incarnation(1_000))));
    assert_eq!(life.stage, Stage::Ready);
    assert!(life.receive_leave("a", Some(Incarnation(2_000))));
    assert!(life.is_leaving());
    // A run that leaves before its first heartbeat arrives.
    assert!(life.receive_leave("a", Some(Incarnation(3_000))));
    assert_eq!(
        life.receive_heartbeat(now, &dated("a", 2_000, 9, true), ALIVE_FOR),
        Effect::Late
    );
    assert!(life.is_leaving());
}

/// Heartbeats of the former run are delayed by a partition and arrive after the target has restarted
/// under the same name. They are ignored, also with a high sequence number or when draining.
#[test]
fn late_heartbeat_of_former_run_changes_nothing() {
    let now = Instant::now();
    let mut life = Life::unknown(now, 1);
    life.receive_heartbeat(now, &dated("a", 2_000, 3, true), ALIVE_FOR);
    for (sequence, ready) in [(2, true), (90, true), (91, false)] {
        let late = dated("a", 1_000, sequence, ready);
        assert_eq!(life.receive_heartbeat(now, &late, ALIVE_FOR), Effect::Late);
        assert_eq!((life.stage, life.sequence), (Stage::Ready, 3));
    }
}

/// A heartbeat without a start time, after earlier ones with it, comes from another sender and is
/// ignored. If a target never sends a start time, its heartbeats count without it.
#[test]
fn heartbeat_without_start_time_is_ignored_after_one_with_it() {
    let now = Instant::now();
    let mut life = Life::unknown(now, 1);
    life.receive_heartbeat(now, &dated("a", 2_000, 3, true), ALIVE_FOR);
    assert_eq!(
        life.receive_heartbeat(now, &heartbeat("a", 4, false), ALIVE_FOR),
        Effect::Undated
    );
    assert_eq!((life.stage, life.sequence), (Stage::Ready, 3));
    let mut undated = Life::unknown(now, 1);
    undated.receive_heartbeat(now, &heartbeat("a", 3, true), ALIVE_FOR);
    assert_eq!(
        undated.receive_heartbeat(now, &heartbeat("a", 4, false), ALIVE_FOR),
        Effect::Changed
    );
    assert!(undated.is_leaving());
}

/// The target's clock is set back before a restart, so that the new run seems to have started before
/// the former one. A single late heartbeat looks the same, but here the former run is silent and the
/// new one's sequence numbers increase.
#[test]
fn restart_with_clock_set_back_is_accepted_when_it_continues() {
    let now = Instant::now();
    let mut life = Life::unknown(now, 1);
    life.receive_heartbeat(now, &dated("a", 9_000, 40, true), ALIVE_FOR);
    assert_eq!(
        life.receive_heartbeat(now, &dated("a", 5_000, 1, true), ALIVE_FOR),
        Effect::Late
    );
    let later = now + ALIVE_FOR * 2;
    assert_eq!(
        life.receive_heartbeat(later, &dated("a", 5_000, 3, true), ALIVE_FOR),
        Effect::Late
    );
    assert_eq!(
        life.receive_heartbeat(later, &dated("a", 5_000, 3, true), ALIVE_FOR),
        Effect::Late
    );
    assert_eq!(
        life.receive_heartbeat(later, &dated("a", 5_000, 4, true), ALIVE_FOR),
        Effect::Restarted
    );
    assert_eq!(life.sequence, 4);
}

fn run(name: &str, born: u64) -> Run {
    Run {
        name: name.to_string(),
        born: Some(Incarnation(born)),
    }
}

/// Guards against a late heartbeat of a life that isn't current yet, which replaces the draining one that
/// was acknowledged before it.
#[test]
fn claimant_that_drains_is_not_made_ready_by_an_older_heartbeat() {
    let now = Instant::now();
    let mut life = Life::unknown(now, 1);
    life.receive_heartbeat(now, &dated("b", 900, 4, true), ALIVE_FOR);
    assert_eq!(
        life.receive_heartbeat(now, &dated("a", 1_000, 6, false), ALIVE_FOR),
        Effect::Conflicting
    );
    life.receive_heartbeat(now, &dated("a", 1_000, 5, true), ALIVE_FOR);
    life.receive_health(now, "a", true, None);
    assert_eq!(life.name.as_deref(), Some("a"));
    assert_eq!(life.stage, Stage::Leaving);
}

/// Guards against late heartbeats of an earlier run under the same name, which look like a run whose clock
/// was set back.
#[test]
fn heartbeats_of_an_earlier_run_do_not_undo_a_leave() {
    let now = Instant::now();
    let mut life = Life::unknown(now, 1);
    life.receive_heartbeat(now, &dated("a", 2_000, 3, true), ALIVE_FOR);
    life.receive_leave("a", Some(Incarnation(2_000)));
    let later = now + ALIVE_FOR * 2;
    for sequence in 40..43 {
        life.receive_heartbeat(later, &dated("a", 1_000, sequence, true), ALIVE_FOR);
        assert_eq!(life.stage, Stage::Leaving);
    }
}

/// Guards against a process that starts beside a target that leaves, whatever arrives before and after the
/// leaves of former processes are read.
#[test]
fn recovered_leave_outlasts_heartbeats_and_health_checks() {
    let now = Instant::now();
    let mut life = Life::unknown(now, 1);
    life.is_recovered = false;
    life.receive_heartbeat(now, &dated("a", 1_000, 4, true), ALIVE_FOR);
    life.recover(&[run("a", 1_000)], None);
    assert_eq!(life.stage, Stage::Leaving);
    life.receive_health(now, "a", true, None);
    life.receive_heartbeat(now, &dated("a", 1_000, 5, true), ALIVE_FOR);
    assert_eq!(life.stage, Stage::Leaving);
    assert_eq!(
        life.receive_heartbeat(now, &dated("a", 2_000, 1, true), ALIVE_FOR),
        Effect::Restarted
    );
    assert_eq!(life.stage, Stage::Ready, "another run may be served");
}

/// Guards against a life that counts as staying after one heartbeat, or without a passing health check,
/// while the leaves of former processes can't be read.
#[test]
fn life_is_confirmed_only_by_heartbeats_over_time_and_its_health() {
    let now = Instant::now();
    let mut life = Life::unknown(now, 1);
    life.is_recovered = false;
    life.receive_heartbeat(now, &dated("a", 1_000, 4, true), ALIVE_FOR);
    life.receive_health(now, "a", true, None);
    assert!(!life.is_confirmed(now, ALIVE_FOR));
    let half = now + ALIVE_FOR / 2;
    life.receive_heartbeat(half, &dated("a", 1_000, 5, true), ALIVE_FOR);
    assert!(!life.is_confirmed(half, ALIVE_FOR));
    let whole = now + ALIVE_FOR;
    life.receive_heartbeat(whole, &dated("a", 1_000, 6, true), ALIVE_FOR);
    assert!(life.is_confirmed(whole, ALIVE_FOR));
    life.receive_health(whole, "a", false, None);
    assert!(!life.is_confirmed(whole, ALIVE_FOR));
}

/// Guards against requests for a target of another service that answers health checks at the address of
/// the own one.
#[test]
fn life_that_no_heartbeat_has_named_gets_no_requests() {
    let now = Instant::now();
    let mut started = Life::unknown(now, 1);
    assert!(!started.receive_health(now, "foreign", true, Some(8)));
    assert_eq!((started.stage, started.name), (Stage::Unknown, None));
    let mut life = Life::unknown(now, 1);
    life.receive_heartbeat(now, &dated("a", 1_000, 4, true), ALIVE_FOR);
    life.mark_unreachable();
    assert!(!life.receive_health(now, "foreign", true, Some(8)));
    assert_eq!((life.stage, life.name.as_deref()), (Stage::Down, Some("a")));
    let mut recovered = Life::unknown(now, 1);
    recovered.recover(&[], Some(&run("a", 1_000)));
    assert!(!recovered.receive_health(now, "foreign", true, Some(8)));
    assert_eq!(recovered.stage, Stage::Unknown);
}

/// Guards against a gate that stays open for a life in whose place another one answers: each request
/// would be declined there.
#[test]
fn life_in_whose_place_another_answers_is_down() {
    let now = Instant::now();
    for healthy in [true, false] {
        let mut life = Life::unknown(now, 1);
        life.receive_heartbeat(now, &dated("a", 1_000, 4, true), ALIVE_FOR);
        assert!(life.receive_health(now, "foreign", healthy, None));
        assert_eq!(life.stage, Stage::Down);
        let next = life.receive_heartbeat(now, &dated("b", 2_000, 1, true), ALIVE_FOR);
        assert_eq!(next, Effect::Restarted, "its successor need not wait");
        assert_eq!(life.stage, Stage::Ready);
    }
}

/// Guards against one late heartbeat of a former life that locks out the life that answers health checks.
#[test]
fn late_heartbeat_does_not_replace_a_life_that_answers() {
    let now = Instant::now();
    let later = now + ALIVE_FOR;
    let mut recovered = Life::unknown(now, 1);
    recovered.recover(&[], Some(&run("b", 2_000)));
    assert!(recovered.receive_health(later, "b", true, None));
    let mut silent = Life::unknown(now, 1);
    silent.receive_heartbeat(now, &dated("b", 2_000, 1, true), ALIVE_FOR);
    silent.receive_health(later, "b", true, None);
    for mut life in [recovered, silent] {
        let late = dated("a", 1_000, 9, true);
        let effect = life.receive_heartbeat(later, &late, ALIVE_FOR);
        assert_eq!(effect, Effect::Conflicting);
        assert!(!life.receive_health(later, "b", true, None));
        let next = life.receive_heartbeat(later, &dated("b", 2_000, 2, true), ALIVE_FOR);
        assert_ne!(next, Effect::Late);
        assert_eq!(
            (life.stage, life.name.as_deref()),
            (Stage::Ready, Some("b"))
        );
    }
}

/// Guards against a former process's life that takes the place of the one that this process was told of.
#[test]
fn recovered_life_does_not_replace_an_announced_one() {
    let now = Instant::now();
    let mut life = Life::unknown(now, 1);
    life.receive_heartbeat(now, &dated("b", 2_000, 1, true), ALIVE_FOR);
    life.recover(&[], Some(&run("a", 1_000)));
    assert_eq!(life.announced(), Some(&run("b", 2_000)));
}
