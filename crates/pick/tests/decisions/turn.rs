//! Which targets are known to be quick.

use crate::world::{name, pick, report};
use tokio::time::Instant;

#[test]
fn a_quick_target_is_one_that_has_said_so() {
    // A gate in a slow spell hands requests back when their entry knows of a quick target. One that has
    // said nothing, is slow itself, is full or can't be reached is none: the request would only lose the
    // time of the way.
    let now = Instant::now();
    let mut pick = pick(now, 1, 3);
    let tried = [name(0)];
    let need = pick::Need {
        exclude: &tried,
        ..pick::Need::default()
    };
    assert!(!pick.has_fast_target(now, &need), "nothing is known");
    let mut quick = report(1, 0);
    quick.pace = 100;
    let mut slow = quick;
    slow.pace = 500;
    slow.slow = true;
    pick.receive_report(now, &name(1), slow);
    assert!(
        !pick.has_fast_target(now, &need),
        "the only other one is slow"
    );
    pick.receive_report(now, &name(2), quick);
    assert!(pick.has_fast_target(now, &need));
    let mut hot = quick;
    hot.hot = true;
    pick.receive_report(now, &name(2), hot);
    assert!(!pick.has_fast_target(now, &need), "it is full");
    pick.receive_report(now, &name(2), quick);
    pick.set_unreachable(&name(2), true);
    assert!(!pick.has_fast_target(now, &need), "there is no way to it");
}
