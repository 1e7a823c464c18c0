//! Seeded histories of a small fleet with faults. Each sliding window of true time is checked against
//! the hard limit.

mod world;

use proptest::prelude::*;
use world::{Clock, Event, Fault, Pacing, World};

fn fault() -> impl Strategy<Value = Fault> {
    let daemon = 0..world::DAEMONS;
    prop_oneof![
        3 => (daemon.clone(), 100..4_000u64).prop_map(|(daemon, down)| Fault::Restart { daemon, down }),
        2 => (daemon.clone(), 500..9_000u64).prop_map(|(daemon, span)| Fault::Freeze { daemon, span }),
        3 => (any::<u8>(), 500..15_000u64).prop_map(|(side, span)| Fault::Partition { side, span }),
        3 => (any::<u8>(), 500..15_000u64).prop_map(|(cut, span)| Fault::StoreCut { cut, span }),
        1 => (100..3_000u64).prop_map(|down| Fault::RestartAll { down }),
        1 => (100..3_000u64).prop_map(|down| Fault::RestartAllocators { down }),
        1 => Just(Fault::Rollback),
        4 => any::<u8>().prop_map(|members| Fault::Rewrite { members }),
        2 => daemon.prop_map(|daemon| Fault::Stop { daemon }),
        1 => (500..9_000u64).prop_map(|span| Fault::SlowNetwork { span }),
    ]
}

fn history() -> impl Strategy<Value = Vec<Event>> {
    let event = (0..world::RUN_MS, fault()).prop_map(|(at, fault)| Event { at, fault });
    prop::collection::vec(event, 0..24)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, ..ProptestConfig::default() })]

    /// Tokens that were lent twice, by a former allocator, to a former life of a borrower, or through
    /// messages that came late, let a window exceed the hard limit.
    #[test]
    fn no_window_exceeds_the_hard_limit(
        events in history(),
        limits in prop::collection::vec(prop_oneof![Just(6u32), Just(30), Just(120)], 4),
        seed in any::<u64>(),
        is_paced in prop::bool::weighted(0.2),
    ) {
        let pacing = if is_paced { Pacing::On } else { Pacing::Off };
        let mut world = World::new(seed, &limits, Clock::CountsFreezes, pacing);
        world.run(&events);
        world.check()?;
    }
}

/// A history without faults in which nothing is admitted would pass the check of the hard limit.
#[test]
fn fleet_without_faults_admits_the_limit() {
    let mut world = World::new(7, &[120; 4], Clock::CountsFreezes, Pacing::Off);
    world.run(&[]);
    let windows = (world::RUN_MS / 5_000) as usize;
    let [small, large] = world.admitted();
    assert!(
        small >= windows * 6 * 8 / 10,
        "{small} of 6 a window over {windows} windows"
    );
    assert!(
        large >= windows * 120 * 8 / 10,
        "{large} of 120 a window over {windows} windows"
    );
    world.check().expect("the hard limit");
}

/// A pace that is lost with messages, or never ends, would admit much less than the rate.
#[test]
fn fleet_over_its_quota_admits_its_rate() {
    let mut world = World::new(7, &[120; 4], Clock::CountsFreezes, Pacing::On);
    world.run(&[]);
    let seconds = (world::RUN_MS / 1_000) as usize;
    let [small, large] = world.admitted();
    println!("paced: small={small} large={large} seconds={seconds}");
    // Each of these needs an ask, of which some are lost.
    assert!(small >= seconds * 8 / 10, "{small} of 1 a second");
    assert!(large >= seconds * 20 * 9 / 10, "{large} of 20 a second");
    world.check().expect("the hard limit");
}

/// The check has to notice a borrower that spends loans which ended while its process was frozen.
#[test]
fn clock_that_stops_in_freezes_exceeds_the_hard_limit() {
    let exceeds = |seed| {
        let mut world = World::new(seed, &[120; 4], Clock::StopsInFreezes, Pacing::Off);
        let freezes = (0..world::DAEMONS).map(|daemon| Event {
            at: 20_000,
            fault: Fault::Freeze {
                daemon,
                span: 12_000,
            },
        });
        let others = freezes.skip(3).collect::<Vec<_>>();
        world.run(&others);
        world.check().is_err()
    };
    assert!((0..4).any(exceeds));
}

/// Each life of a daemon used its even share at once, beside what the former life had spent.
#[test]
fn restarted_fleet_does_not_use_its_even_shares_twice() {
    for seed in 0..4 {
        let mut world = World::new(seed, &[120; 4], Clock::CountsFreezes, Pacing::Off);
        let restarts = [20_000, 21_500, 23_000, 24_500].map(|at| Event {
            at,
            fault: Fault::RestartAll { down: 100 },
        });
        world.run(&restarts);
        world.check().expect("the hard limit");
    }
}
