//! Who pays when all clients together hold too much, on a clock of the test's own.

use std::time::Duration;

use clients::{Core, Id, Limits, Wait};
use tokio::time::Instant;
use unit::Size;

const MEMORY: u64 = 10_000_000;

fn core() -> Core {
    Core::new(Limits {
        memory: Size::of(MEMORY),
        connections: 100,
    })
}

/// A connection whose requests hold `bytes` and that waits for `wait`.
fn holder(core: &mut Core, now: Instant, bytes: u64, wait: Wait) -> Id {
    let id = core.add(now);
    core.hold(id, bytes);
    core.update(now, id, 0, wait);
    id
}

/// Guards against an ordinary caller that is refused or closed for what others leave unread.
#[test]
fn the_client_that_leaves_most_unread_is_closed_first() {
    let (mut core, now) = (core(), Instant::now());
    let served = holder(&mut core, now, 4_000_000, Wait::Nothing);
    let little = holder(&mut core, now, 1_000_000, Wait::Output);
    let most = holder(&mut core, now, 3_000_000, Wait::Output);
    let body = holder(&mut core, now, 2_000_000, Wait::Body);
    assert_eq!(core.shed(0), [], "all is within the limit");
    assert_eq!(core.shed(1), [most]);
    assert_eq!(core.used(), 7_000_000);
    assert_eq!(core.shed(4_500_000), [body]);
    assert_eq!(core.shed(8_000_000), [little]);
    assert!(!core.fits(8_000_000), "nobody else waits for its client");
    core.remove(served);
    assert!(core.fits(8_000_000));
}

/// Guards against memory that is counted twice, or not at all, once a closed connection releases it.
#[test]
fn closed_clients_count_no_longer() {
    let (mut core, now) = (core(), Instant::now());
    let closed = holder(&mut core, now, 6_000_000, Wait::Output);
    assert_eq!(core.shed(5_000_000), [closed]);
    assert_eq!(core.used(), 0);
    core.hold(closed, 1_000);
    core.update(now, closed, 7_000, Wait::Output);
    core.release(closed, 6_001_000);
    assert_eq!(core.used(), 0);
    core.remove(closed);
    assert_eq!((core.used(), core.connections()), (0, 0));
}

/// Guards against one client that takes all the memory, and against one with a single request that gets
/// none of it.
#[test]
fn a_client_with_more_than_its_share_begins_nothing_above_the_mark() {
    let (mut core, now) = (core(), Instant::now());
    let greedy = holder(&mut core, now, 4_900_000, Wait::Nothing);
    assert!(core.has_share(greedy), "below the high-water mark all may");
    let modest = holder(&mut core, now, 200_000, Wait::Nothing);
    assert!(core.is_tight());
    assert!(!core.has_share(greedy));
    assert!(core.has_share(modest));
    for _ in 0..1_000 {
        core.add(now);
    }
    let small = holder(&mut core, now, 40_000, Wait::Nothing);
    assert!(core.has_share(small), "each may hold a short request");
    core.release(greedy, 1_000_000);
    assert!(core.is_tight(), "a small change is not the end of it");
    core.release(greedy, 1_000_000);
    assert!(!core.is_tight());
}

/// Guards against connections that wait for nothing from their clients and are closed for new ones.
#[test]
fn the_connection_that_waits_longest_makes_room() {
    let mut core = core();
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let served = holder(&mut core, at(0), 0, Wait::Nothing);
    let reading = holder(&mut core, at(1), 0, Wait::Output);
    let idle = holder(&mut core, at(2), 0, Wait::Request);
    let later = holder(&mut core, at(3), 0, Wait::Request);
    // Its request was answered meanwhile.
    core.update(at(4), later, 0, Wait::Nothing);
    core.update(at(5), later, 0, Wait::Request);
    assert_eq!(core.evict(), Some(idle));
    assert_eq!(core.evict(), Some(later));
    assert_eq!(core.evict(), Some(reading), "then those with answers");
    assert_eq!(core.evict(), None);
    core.update(at(9), served, 0, Wait::Request);
    assert_eq!(core.evict(), Some(served));
}
