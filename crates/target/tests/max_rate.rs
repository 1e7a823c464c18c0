//! Tests of the limit that a target names in its answers.

use std::time::Duration;

use target::{Exchange, MaxRate};
use tokio::time::Instant;
use unit::Rate;

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn rate(per_second: f64) -> Option<Rate> {
    Some(Rate::of(per_second))
}

/// An answer that was on its way when the target lowered its limit raised it again.
#[test]
fn late_answer_does_not_raise_a_lowered_limit() {
    let sent = Instant::now();
    let mut max_rate = MaxRate::default();
    max_rate.record(sent + ms(50), rate(24.1), Exchange::Call, sent);
    max_rate.record(sent + ms(60), rate(8.5), Exchange::Call, sent);
    max_rate.record(sent + ms(70), rate(24.1), Exchange::Call, sent + ms(40));
    assert_eq!(max_rate.limit(), rate(8.5));
    max_rate.record(sent + ms(200), rate(24.1), Exchange::Call, sent + ms(100));
    assert_eq!(max_rate.limit(), rate(24.1));
}

/// A long run ended after the target had named a limit, and its answer, made before, had none.
#[test]
fn answer_from_before_a_limit_does_not_end_it() {
    let sent = Instant::now();
    let mut max_rate = MaxRate::default();
    assert!(max_rate.record(sent + ms(50), rate(24.1), Exchange::Call, sent + ms(10)));
    assert!(!max_rate.record(sent + ms(90), None, Exchange::Call, sent));
    assert_eq!(max_rate.limit(), rate(24.1));
    assert!(max_rate.record(sent + ms(150), None, Exchange::Call, sent + ms(60)));
    assert_eq!(max_rate.limit(), None);
}

/// A target named its limit only in answers to calls, and each health check ended it.
#[test]
fn health_check_without_a_limit_ends_one_only_if_health_checks_name_it() {
    let sent = Instant::now();
    let mut max_rate = MaxRate::default();
    max_rate.record(sent + ms(50), rate(24.1), Exchange::Call, sent);
    max_rate.record(sent + ms(70), None, Exchange::HealthCheck, sent + ms(60));
    assert_eq!(max_rate.limit(), rate(24.1));
    max_rate.record(
        sent + ms(90),
        rate(24.1),
        Exchange::HealthCheck,
        sent + ms(80),
    );
    max_rate.record(sent + ms(110), None, Exchange::HealthCheck, sent + ms(100));
    assert_eq!(max_rate.limit(), None);
}

/// A daemon that had started again beside a limited target knew no limit until the first answer. An
/// older word of another daemon must not outlast that answer.
#[test]
fn limit_that_other_daemons_have_heard_holds_until_the_first_answer() {
    let now = Instant::now();
    let mut max_rate = MaxRate::default();
    assert!(max_rate.adopt(Rate::of(24.1)));
    assert!(max_rate.adopt(Rate::of(8.5)));
    assert!(!max_rate.adopt(Rate::of(24.1)));
    assert_eq!(max_rate.limit(), rate(8.5));
    max_rate.record(now, None, Exchange::Call, now);
    assert_eq!(max_rate.limit(), None);
    assert!(!max_rate.adopt(Rate::of(8.5)));
}
