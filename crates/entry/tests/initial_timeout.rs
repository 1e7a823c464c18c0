//! Distinguishing callers' retries from first attempts by the times left that they report.

use std::time::Duration;

use entry::InitialTimeout;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Guards against first attempts that are taken for retries. Callers start with timeouts from 2.6
/// to 3 s. Measured against the longest one, a first attempt would have waited for 200 ms on
/// average, a quarter of its latency goal of 800 ms, and gates would refuse it although it could
/// be served in time.
#[test]
fn differing_first_attempts_are_not_taken_for_retries() {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let mut timeout = InitialTimeout::default();
    let mut misjudged = 0;
    for _ in 0..2_000 {
        let left = ms(random.random_range(2_600..3_000));
        misjudged += usize::from(timeout.elapsed(left) > ms(40));
    }
    assert!(
        misjudged < 40,
        "{misjudged} of 2,000 first attempts were taken for retries"
    );
}

/// Guards against retries that are taken for first attempts. In an overload half of the callers
/// retry, with 200 to 700 ms of their 800 ms left. Taken for first attempts, they would be
/// given a latency goal that has long passed.
#[test]
fn retries_are_detected_at_half_of_all_requests() {
    let mut random = Pcg64Mcg::seed_from_u64(2);
    let mut timeout = InitialTimeout::default();
    for request in 0..2_000 {
        let is_first_attempt = random.random_range(0..2) == 0;
        let left = match is_first_attempt {
            true => ms(random.random_range(798..801)),
            false => ms(random.random_range(200..700)),
        };
        let elapsed = timeout.elapsed(left);
        if request >= 100 {
            let expected = ms(800) - left.min(ms(800));
            assert!(
                elapsed <= expected && expected - elapsed < ms(10),
                "{left:?}: {elapsed:?}"
            );
        }
    }
}

/// Guards against first attempts that are taken for retries for good after all callers have
/// changed their timeout from 800 to 400 ms. None of them has waited; only about the first
/// hundred requests may look like retries.
#[test]
fn estimate_follows_a_changed_timeout() {
    let mut timeout = InitialTimeout::default();
    for _ in 0..500 {
        assert_eq!(timeout.elapsed(ms(800)), Duration::ZERO);
    }
    for _ in 0..256 {
        timeout.elapsed(ms(400));
    }
    assert_eq!(timeout.elapsed(ms(400)), Duration::ZERO);
}
