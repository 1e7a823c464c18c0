//! Which life of a target counts, as heartbeats come late, twice, or from the wrong one.

use std::time::Duration;

use target::{Beat, Heard, Life, Stage};
use tokio::time::Instant;

const FRESH: Duration = Duration::from_secs(3);

fn beat(life: &str, sequence: u64, ready: bool) -> Beat {
    Beat {
        life: life.to_string(),
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
    assert_eq!(life.beat(now, &beat("a", 5, true), FRESH), Heard::Changed);
    assert_eq!(life.beat(now, &beat("a", 6, false), FRESH), Heard::Changed);
    assert_eq!(life.beat(now, &beat("a", 4, true), FRESH), Heard::Late);
    assert_eq!(life.beat(now, &beat("a", 7, true), FRESH), Heard::Same);
    assert_eq!(life.stage, Stage::Leaving);
}

/// A target crashes behind a partition, another life registers at its address, and then a heartbeat
/// of the former life arrives.
#[test]
fn former_life_is_not_brought_back() {
    let now = Instant::now();
    let mut life = Life::unknown(now, 1);
    life.beat(now, &beat("a", 5, true), FRESH);
    let later = now + FRESH * 2;
    assert_eq!(life.beat(later, &beat("b", 1, true), FRESH), Heard::Changed);
    assert_eq!(life.beat(later, &beat("a", 6, true), FRESH), Heard::Late);
    assert_eq!(life.name.as_deref(), Some("b"));
}

/// The daemon has started anew and has heard one life; a heartbeat names another. Which of them comes
/// late can't be told from the heartbeats, so the target itself is asked.
#[test]
fn two_lives_at_once_are_settled_by_the_target_itself() {
    let now = Instant::now();
    for truth in ["a", "b"] {
        let mut life = Life::unknown(now, 1);
        life.beat(now, &beat("b", 1, true), FRESH);
        assert_eq!(life.beat(now, &beat("a", 9, true), FRESH), Heard::Doubtful);
        assert_eq!(life.name.as_deref(), Some("b"));
        life.answered(now, truth, true, None);
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
    assert!(!life.answered(now, "a", false, Some(8)));
    assert_eq!(life.stage, Stage::Unknown);
    assert!(life.answered(now, "a", true, Some(8)));
    assert_eq!((life.stage, life.slots), (Stage::Ready, 8));
}

/// A life that has said that it ends is not taken for a new one when it answers for a moment more.
#[test]
fn life_that_has_left_stays_away() {
    let now = Instant::now();
    let mut life = Life::unknown(now, 1);
    life.left("a");
    assert!(!life.answered(now, "a", true, None));
    life.beat(now, &beat("a", 3, true), FRESH);
    assert!(life.is_leaving());
    let mut other = Life::unknown(now, 1);
    other.beat(now, &beat("b", 1, true), FRESH);
    assert!(!other.left("a"), "a former life's leave is none of b's");
    assert_eq!(other.stage, Stage::Ready);
}

/// What the target says of its health may be false either way. Of one that announces itself only
/// heartbeats, leaves and lost connections count.
#[test]
fn a_lie_about_health_changes_nothing() {
    let now = Instant::now();
    let mut life = Life::unknown(now, 1);
    life.beat(now, &beat("a", 1, true), FRESH);
    assert!(!life.answered(now, "a", false, None));
    assert_eq!(life.stage, Stage::Ready);
    assert!(life.lost());
    assert_eq!(life.stage, Stage::Down);
    assert!(life.answered(now, "a", true, None), "it is back");
}
