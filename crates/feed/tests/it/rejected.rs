//! Rules that are rejected are shown until newer ones are in force.

use std::time::Duration;

use feed::{Current, Offer, UNREADABLE};
use tokio::time::{Instant, advance};
use unit::Version;

use crate::world::text;

/// Guards against rules that operators take for being in force, and against an alarm that stays although
/// the fault is mended, or ends although it is not.
#[tokio::test(start_paused = true)]
async fn rejected_rules_are_shown_until_newer_ones_are_in_force() {
    let current = Current::default();
    let offer = |version, text: &str| current.offer(Version::of(version), text).ok();
    let shown = || current.rejected().map(|rejected| rejected.version.revision);
    assert_eq!(shown(), None);
    let began = Instant::now();
    assert_eq!(offer(5, r#"{ "fault": "two tenants" }"#), None);
    advance(Duration::from_secs(3)).await;
    assert_eq!(offer(5, r#"{ "fault": "two tenants" }"#), None);
    let rejected = current.rejected().expect("rejected rules");
    assert_eq!((rejected.version, rejected.since), (Version::of(5), began));
    assert!(
        rejected.cause.ends_with("two tenants"),
        "{}",
        rejected.cause
    );
    assert!(!current.wants(Version::of(5)) && current.wants(Version::of(6)));
    // Older rules that come late don't end it: the newest are still rejected.
    assert_eq!(offer(4, &text("four")), Some(Offer::Accepted));
    assert_eq!(shown(), Some(5));
    assert_eq!(offer(6, &text("six")), Some(Offer::Accepted));
    assert_eq!(shown(), None);
}

/// Guards against an alarm that stays after a version that can't be read, which is above all others, and that
/// hides the causes of all later rejections.
#[test]
fn rejection_of_an_unreadable_version_ends_with_the_next_rules() {
    let current = Current::default();
    let offer = |version, text: &str| current.offer(version, text).ok();
    let shown = || current.rejected().map(|rejected| rejected.version);
    assert_eq!(offer(UNREADABLE, r#"{ "fault": "no version" }"#), None);
    assert_eq!(offer(Version::of(4), &text("four")), Some(Offer::Accepted));
    assert_eq!(shown(), Some(UNREADABLE), "the first rules are older");
    assert_eq!(offer(Version::of(5), r#"{ "fault": "no routes" }"#), None);
    assert_eq!(shown(), Some(Version::of(5)));
    assert!(!current.wants(Version::of(5)));
    assert_eq!(offer(UNREADABLE, r#"{ "fault": "no version" }"#), None);
    assert_eq!(offer(Version::of(6), &text("six")), Some(Offer::Accepted));
    assert_eq!(shown(), None);
}
