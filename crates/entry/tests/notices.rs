//! Tests of what an entry keeps of the notices in targets' answers.

use std::time::Duration;

use entry::Notices;
use tokio::time::{Instant, advance};
use unit::{Instance, Rate};
use wire::Notice;

fn limit(rate: f64) -> Option<Notice> {
    Some(Notice {
        life: None,
        max_rate: Some(Rate::of(rate)),
        leaving: false,
    })
}

/// An answer that the target had made before it named a limit made the entry forget the limit.
#[tokio::test(start_paused = true)]
async fn answer_from_before_a_notice_does_not_end_it() {
    let notices = Notices::default();
    let desk: Instance = "desk-1".parse().expect("a name");
    let before = Instant::now();
    advance(Duration::from_millis(10)).await;
    notices.record(&desk, limit(24.1).as_ref(), before);
    notices.record(&desk, None, before);
    assert_eq!(notices.get(&desk), limit(24.1));
    notices.record(&desk, None, Instant::now());
    assert_eq!(notices.get(&desk), None);
}

/// Instances come and go, and the notices of all that ever left stayed in memory.
#[tokio::test(start_paused = true)]
async fn notices_of_many_instances_are_bounded() {
    let notices = Notices::default();
    let name = |number: usize| -> Instance { format!("desk-{number}").parse().expect("a name") };
    for number in 0..2_100 {
        advance(Duration::from_millis(1)).await;
        notices.record(&name(number), limit(1.0).as_ref(), Instant::now());
    }
    let kept = (0..2_100).filter(|number| notices.get(&name(*number)).is_some());
    assert_eq!(kept.count(), 2_048);
    assert_eq!(notices.get(&name(0)), None);
}
