//! Who has asked before, told from what callers say they will wait.

use std::time::Duration;

use entry::InitialTimeout;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn first_tries_that_differ_pass_for_first_tries() {
    // Callers begin with 2.6 to 3 s, each with its own. Compared with the longest of them a first try
    // had waited for 200 ms on average, a quarter of its goal of 800 ms: gates refused it although it
    // could be served in time.
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let mut timeout = InitialTimeout::default();
    let mut wrong = 0;
    for _ in 0..2_000 {
        let left = ms(random.random_range(2_600..3_000));
        wrong += usize::from(timeout.elapsed(left) > ms(40));
    }
    assert!(
        wrong < 40,
        "{wrong} of 2,000 first tries look like second ones"
    );
}

#[test]
fn second_tries_are_told_though_they_are_many() {
    // In an overload half of the callers come back, with 200 to 700 ms of their 800. Taken for first
    // ones they would be promised a goal that has long passed.
    let mut random = Pcg64Mcg::seed_from_u64(2);
    let mut timeout = InitialTimeout::default();
    for turn in 0..2_000 {
        let first = random.random_range(0..2) == 0;
        let left = match first {
            true => ms(random.random_range(798..801)),
            false => ms(random.random_range(200..700)),
        };
        let elapsed = timeout.elapsed(left);
        if turn >= 100 {
            let meant = ms(800) - left.min(ms(800));
            assert!(
                elapsed <= meant && meant - elapsed < ms(10),
                "{left:?}: {elapsed:?}"
            );
        }
    }
}

#[test]
fn a_new_time_of_all_callers_is_learnt() {
    // The callers' own time is changed from 800 ms to 400 ms. None of them has waited; for the first
    // hundred or so it looks like it, and then no more.
    let mut timeout = InitialTimeout::default();
    for _ in 0..500 {
        assert_eq!(timeout.elapsed(ms(800)), Duration::ZERO);
    }
    for _ in 0..256 {
        timeout.elapsed(ms(400));
    }
    assert_eq!(timeout.elapsed(ms(400)), Duration::ZERO);
}
