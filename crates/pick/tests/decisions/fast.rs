//! Which targets are known to be fast.

use crate::world::{name, pick, report};
use tokio::time::Instant;

#[test]
fn a_target_is_fast_only_when_its_report_says_so() {
    // During a slowdown a gate hands requests back if their entry knows of a fast target. A target
    // that has sent no report, is slow itself, is hot or has no link doesn't count: handing the
    // request over would only cost the network round trip.
    let now = Instant::now();
    let mut pick = pick(now, 1, 3);
    let attempted = [name(0)];
    let need = pick::Need {
        exclude: &attempted,
        ..pick::Need::default()
    };
    assert!(!pick.has_fast_target(now, &need), "no reports yet");
    let mut fast = report(1, 0);
    fast.pace = 100;
    let mut slow = fast;
    slow.pace = 500;
    slow.slow = true;
    pick.receive_report(now, &name(1), slow);
    assert!(
        !pick.has_fast_target(now, &need),
        "the only other target is slow"
    );
    pick.receive_report(now, &name(2), fast);
    assert!(pick.has_fast_target(now, &need));
    let mut hot = fast;
    hot.hot = true;
    pick.receive_report(now, &name(2), hot);
    assert!(!pick.has_fast_target(now, &need), "it is hot");
    pick.receive_report(now, &name(2), fast);
    pick.set_unreachable(&name(2), true);
    assert!(!pick.has_fast_target(now, &need), "it has no link");
}
