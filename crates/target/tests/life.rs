//! Which life of a target counts, as heartbeats come late, twice, or from the wrong one.

use std::time::Duration;

use target::{Effect, Heartbeat, Life, Stage};
use tokio::time::Instant;
use unit::Incarnation;

const FRESH: Duration = Duration::from_secs(3);

fn beat(life: &str, sequence: u64, ready: bool) -> Heartbeat {
    Heartbeat {
        life: life.to_string(),
        born: None,
        ready,
        slots: 8,
        cold: Duration::ZERO,
        sequence,
    }
}

/// A target says that it drains, and a heartbeat from before comes late. It must not be taken for
/// ready again: the acknowledgement of the drain binds.
#[test]
fn late_heartbeat_does_not_undo_a_drain() {
    let now = Instant::now();
    let mut life = Life::unknown(now, 1);
    assert_eq!(
        life.receive_heartbeat(now, &beat("a", 5, true), FRESH),
        Effect::Changed
    );
    assert_eq!(
        life.receive_heartbeat(now, &beat("a", 6, false), FRESH),
        Effect::Changed
    );
    assert_eq!(
        life.receive_heartbeat(now, &beat("a", 4, true), FRESH),
        Effect::Late
    );
    assert_eq!(
        life.receive_heartbeat(now, &beat("a", 7, true), FRESH),
        Effect::Unchanged
    );
    assert_eq!(life.stage, Stage::Leaving);
}

/// A target crashes behind a partition, another life registers at its address, and then a heartbeat
/// of the former life arrives.
#[test]
fn former_life_is_not_brought_back() {
    let now = Instant::now();
    let mut life = Life::unknown(now, 1);
    life.receive_heartbeat(now, &beat("a", 5, true), FRESH);
    let later = now + FRESH * 2;
    assert_eq!(
        life.receive_heartbeat(later, &beat("b", 1, true), FRESH),
        Effect::Restarted
    );
    assert_eq!(
        life.receive_heartbeat(later, &beat("a", 6, true), FRESH),
        Effect::Late
    );
    assert_eq!(life.name.as_deref(), Some("b"));
}

/// The daemon has started anew and has heard one life; a heartbeat names another. Which of them comes
/// late can't be told from the heartbeats, so the target itself is asked.
#[test]
fn two_lives_at_once_are_settled_by_the_target_itself() {
    let now = Instant::now();
    for truth in ["a", "b"] {
        let mut life = Life::unknown(now, 1);
        life.receive_heartbeat(now, &beat("b", 1, true), FRESH);
        assert_eq!(
            life.receive_heartbeat(now, &beat("a", 9, true), FRESH),
            Effect::Conflicting
        );
        assert_eq!(life.name.as_deref(), Some("b"));
        life.receive_health(now, truth, true, None);
        assert_eq!(life.name.as_deref(), Some(truth));
        assert_eq!(life.stage, Stage::Ready);
    }
}

/// A daemon starts beside a target that leaves. The target says that it is not well; a target of
/// which nothing else is known gets no work then.
#[test]
fn unknown_target_that_is_not_well_gets_nothing() {
    let now = Instant::now();
    let mut life = Life::unknown(now, 1);
    assert!(!life.receive_health(now, "a", false, Some(8)));
    assert_eq!(life.stage, Stage::Unknown);
    assert!(life.receive_health(now, "a", true, Some(8)));
    assert_eq!((life.stage, life.slots), (Stage::Ready, 8));
}

/// A life that has said that it ends is not taken for a new one when it answers for a moment more.
#[test]
fn life_that_has_left_stays_away() {
    let now = Instant::now();
    let mut life = Life::unknown(now, 1);
    life.receive_leave("a", None);
    assert!(!life.receive_health(now, "a", true, None));
    life.receive_heartbeat(now, &beat("a", 3, true), FRESH);
    assert!(life.is_leaving());
    let mut other = Life::unknown(now, 1);
    other.receive_heartbeat(now, &beat("b", 1, true), FRESH);
    assert!(
        !other.receive_leave("a", None),
        "a former life's leave is none of b's"
    );
    assert_eq!(other.stage, Stage::Ready);
}

/// What the target says of its health may be false either way. Of one that announces itself only
/// heartbeats, leaves and lost connections count.
#[test]
fn a_lie_about_health_changes_nothing() {
    let now = Instant::now();
    let mut life = Life::unknown(now, 1);
    life.receive_heartbeat(now, &beat("a", 1, true), FRESH);
    assert!(!life.receive_health(now, "a", false, None));
    assert_eq!(life.stage, Stage::Ready);
    assert!(life.mark_unreachable());
    assert_eq!(life.stage, Stage::Down);
    assert!(life.receive_health(now, "a", true, None), "it is back");
}

fn born(life: &str, born: u64, sequence: u64, ready: bool) -> Heartbeat {
    Heartbeat {
        born: Some(Incarnation(born)),
        ..beat(life, sequence, ready)
    }
}

/// The target has crashed and started again under the same name. Its heartbeats are numbered from one,
/// and looked late until they had passed the number of the start before: for as long as that had lived,
/// a target that was well got no work.
#[test]
fn a_start_under_the_same_name_begins_anew() {
    let now = Instant::now();
    let mut life = Life::unknown(now, 1);
    life.receive_heartbeat(now, &born("a", 1_000, 40, true), FRESH);
    assert!(life.mark_unreachable());
    assert_eq!(
        life.receive_heartbeat(now, &born("a", 2_000, 1, true), FRESH),
        Effect::Restarted
    );
    assert_eq!((life.stage, life.sequence), (Stage::Ready, 1));
    let more = Heartbeat {
        slots: 3,
        ..born("a", 2_000, 2, true)
    };
    assert_eq!(life.receive_heartbeat(now, &more, FRESH), Effect::Changed);
    assert_eq!(life.slots, 3);
}

/// The target had said that it leaves, and starts again instead. What it said binds for the start that
/// said it, and is none of the new one's.
#[test]
fn a_start_is_not_bound_by_the_leave_of_the_one_before() {
    let now = Instant::now();
    let mut life = Life::unknown(now, 1);
    life.receive_heartbeat(now, &born("a", 1_000, 40, false), FRESH);
    assert!(life.is_leaving());
    life.receive_heartbeat(now, &born("a", 2_000, 1, true), FRESH);
    assert_eq!(life.stage, Stage::Ready);
    // The leave of the start before was held up, and comes now.
    assert!(!life.receive_leave("a", Some(Incarnation(1_000))));
    assert_eq!(life.stage, Stage::Ready);
    assert!(life.receive_leave("a", Some(Incarnation(2_000))));
    assert!(life.is_leaving());
    // One that has started and leaves before it was heard.
    assert!(life.receive_leave("a", Some(Incarnation(3_000))));
    assert_eq!(
        life.receive_heartbeat(now, &born("a", 2_000, 9, true), FRESH),
        Effect::Late
    );
    assert!(life.is_leaving());
}

/// A heartbeat of the start before was held up by a partition, and arrives when the target has started
/// again under its name; also one with a high number, and one that says that it leaves.
#[test]
fn a_late_heartbeat_of_the_start_before_changes_nothing() {
    let now = Instant::now();
    let mut life = Life::unknown(now, 1);
    life.receive_heartbeat(now, &born("a", 2_000, 3, true), FRESH);
    for (sequence, ready) in [(2, true), (90, true), (91, false)] {
        let late = born("a", 1_000, sequence, ready);
        assert_eq!(life.receive_heartbeat(now, &late, FRESH), Effect::Late);
        assert_eq!((life.stage, life.sequence), (Stage::Ready, 3));
    }
}

/// A heartbeat that doesn't tell its start, of a target that has told it before, is another writer's.
/// Where the target never tells, its heartbeats count as they are.
#[test]
fn a_heartbeat_without_its_start_is_none_of_a_target_that_tells_it() {
    let now = Instant::now();
    let mut life = Life::unknown(now, 1);
    life.receive_heartbeat(now, &born("a", 2_000, 3, true), FRESH);
    assert_eq!(
        life.receive_heartbeat(now, &beat("a", 4, false), FRESH),
        Effect::Undated
    );
    assert_eq!((life.stage, life.sequence), (Stage::Ready, 3));
    let mut quiet = Life::unknown(now, 1);
    quiet.receive_heartbeat(now, &beat("a", 3, true), FRESH);
    assert_eq!(
        quiet.receive_heartbeat(now, &beat("a", 4, false), FRESH),
        Effect::Changed
    );
    assert!(quiet.is_leaving());
}

/// The target's clock was put back by an hour before it started again, so that its start looks older
/// than the one before. One late heartbeat looks the same; but the start before is silent, and this one
/// goes on counting.
#[test]
fn a_start_with_its_clock_put_back_is_believed_when_it_goes_on() {
    let now = Instant::now();
    let mut life = Life::unknown(now, 1);
    life.receive_heartbeat(now, &born("a", 9_000, 40, true), FRESH);
    assert_eq!(
        life.receive_heartbeat(now, &born("a", 5_000, 1, true), FRESH),
        Effect::Late
    );
    let later = now + FRESH * 2;
    assert_eq!(
        life.receive_heartbeat(later, &born("a", 5_000, 3, true), FRESH),
        Effect::Late
    );
    assert_eq!(
        life.receive_heartbeat(later, &born("a", 5_000, 3, true), FRESH),
        Effect::Late
    );
    assert_eq!(
        life.receive_heartbeat(later, &born("a", 5_000, 4, true), FRESH),
        Effect::Restarted
    );
    assert_eq!(life.sequence, 4);
}
