//! Tests of what is known of the target's warm-up.

use std::time::Duration;

use gate::Warmup;
use target::{Source, Warmth};
use tokio::time::Instant;

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// A daemon that had just started sent requests to a target of which it knew nothing.
#[test]
fn target_without_a_report_counts_as_cold() {
    let now = Instant::now();
    let mut warmth = Warmth::unknown(now);
    assert_eq!(warmth.warmup(now + ms(60_000)), Warmup::Unknown);
    warmth.report(now + ms(5), Duration::ZERO, Source::Health(now + ms(4)));
    assert_eq!(warmth.warmup(now + ms(5)), Warmup::Done);
}

/// A heartbeat that was sent before the target became cold arrived after the news that it was cold.
#[test]
fn delayed_heartbeat_does_not_warm_a_cold_target() {
    let now = Instant::now();
    let mut warmth = Warmth::unknown(now);
    warmth.report(now, ms(3_000), Source::Health(now));
    warmth.report(now + ms(200), Duration::ZERO, Source::Heartbeat);
    let until = now + ms(3_000);
    assert_eq!(warmth.warmup(now + ms(200)), Warmup::Until(until));
    assert_eq!(warmth.warmup(until), Warmup::Done);
}

/// A zone's targets came back cold from an evacuation, and a heartbeat from before its end said that
/// they were warm.
#[test]
fn heartbeat_from_before_a_doubt_does_not_end_it() {
    let now = Instant::now();
    let mut warmth = Warmth::unknown(now);
    warmth.report(now, Duration::ZERO, Source::Health(now));
    let ended = now + ms(60_000);
    warmth.doubt(ended);
    warmth.report(ended + ms(900), Duration::ZERO, Source::Heartbeat);
    warmth.report(
        ended + ms(900),
        Duration::ZERO,
        Source::Health(ended - ms(1)),
    );
    assert_eq!(warmth.warmup(ended + ms(900)), Warmup::Unknown);
    warmth.report(ended + ms(3_001), Duration::ZERO, Source::Heartbeat);
    assert_eq!(warmth.warmup(ended + ms(3_001)), Warmup::Done);
}

/// The word of a former life that it was warm held for the life that followed it.
#[test]
fn new_life_is_in_doubt_again() {
    let now = Instant::now();
    let mut warmth = Warmth::unknown(now);
    warmth.report(now, Duration::ZERO, Source::Health(now));
    warmth.doubt(now + ms(10));
    assert_eq!(warmth.warmup(now + ms(10)), Warmup::Unknown);
    warmth.report(now + ms(12), ms(2_900), Source::Heartbeat);
    let until = now + ms(2_912);
    assert_eq!(warmth.warmup(now + ms(12)), Warmup::Until(until));
}

/// A target that was cold went down and came back before its warm-up had ended, and counted as warm
/// from that end on, although the new warm-up was not yet reported.
#[test]
fn doubt_during_a_warm_up_outlasts_its_end() {
    let now = Instant::now();
    let mut warmth = Warmth::unknown(now);
    warmth.report(now, ms(3_000), Source::Health(now));
    warmth.doubt(now + ms(1_000));
    assert_eq!(warmth.warmup(now + ms(1_000)), Warmup::Unknown);
    assert_eq!(warmth.warmup(now + ms(3_500)), Warmup::Unknown);
    let asked_at = now + ms(1_500);
    warmth.report(now + ms(1_501), ms(4_000), Source::Health(asked_at));
    assert_eq!(
        warmth.warmup(now + ms(1_501)),
        Warmup::Until(now + ms(5_501))
    );
}
