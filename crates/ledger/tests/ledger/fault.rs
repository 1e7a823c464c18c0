//! Each failure of the store, and what a claimer sees of it.

use std::time::Duration;

use crate::common::{claim, end, key, pass, spawn};
use ledger::{Builder, Claimed, Kind, Ledger};
use standin::Platform;
use tokio::time::Instant;
use unit::{Outcome, Rate, Token};

fn platform() -> Platform {
    Platform::builder()
        .latency(Duration::from_millis(5))
        .timeout(Duration::from_millis(200))
        .open()
}

fn builder(platform: &Platform, name: &str) -> Builder {
    Ledger::builder(platform.store_named(name)).shards(1)
}

fn open(platform: &Platform, name: &str) -> Ledger {
    builder(platform, name).open()
}

#[tokio::test(start_paused = true)]
async fn grants_a_key_once_and_keeps_its_record() {
    let platform = platform();
    let ledger = open(&platform, "a");
    assert_eq!(ledger.claim(claim(1, 1)).await.unwrap(), Claimed::Granted);
    let Claimed::Running(record) = ledger.claim(claim(1, 2)).await.unwrap() else {
        panic!("the key runs");
    };
    assert_eq!(record.token, Token(1));
    let mut other = claim(1, 3);
    other.body = key(77);
    assert_eq!(ledger.claim(other).await.unwrap(), Claimed::Mismatch);
    ledger.end(end(1, 1, Outcome::Ran)).await.unwrap();
    let Claimed::Done(record) = open(&platform, "b").claim(claim(1, 4)).await.unwrap() else {
        panic!("the key is done");
    };
    let ended = record.end.unwrap();
    assert_eq!((ended.status, ended.outcome), (200, Outcome::Ran));
    assert_eq!(ended.target.unwrap().as_str(), "vault-desk-4");
    assert_eq!(record.caller.as_str(), "desk-3@clinic-7");
}

#[tokio::test(start_paused = true)]
async fn not_run_frees_the_key_and_unknown_does_not() {
    let ledger = open(&platform(), "a");
    ledger.claim(claim(1, 1)).await.unwrap();
    ledger.end(end(1, 1, Outcome::NotRun)).await.unwrap();
    assert_eq!(ledger.claim(claim(1, 2)).await.unwrap(), Claimed::Granted);
    // A late repetition of the first release must not free the second claim.
    ledger.release(key(1), Token(1)).await.unwrap();
    ledger.end(end(1, 2, Outcome::Unknown)).await.unwrap();
    ledger.release(key(1), Token(2)).await.unwrap();
    assert!(matches!(
        ledger.claim(claim(1, 3)).await.unwrap(),
        Claimed::Done(_)
    ));
}

// The caller sees its request run once. The head is written, and the answer is cut off. The ledger
// writes the same bytes again, meets its own version, loads the head and knows its token there.
#[tokio::test(start_paused = true)]
async fn a_claim_whose_answer_is_lost_is_found_to_be_ours() {
    let platform = platform();
    let ledger = open(&platform, "a");
    ledger.claim(claim(1, 1)).await.unwrap();
    platform.fault().lose_next(1);
    assert_eq!(ledger.claim(claim(2, 2)).await.unwrap(), Claimed::Granted);
    let resend = ledger.claim(claim(2, 3)).await.unwrap();
    assert!(matches!(resend, Claimed::Running(record) if record.token == Token(2)));
    let count = ledger.dump().shards[0].count;
    assert_eq!((count.lost, count.conflicts, count.granted), (1, 1, 2));
}

// The caller is told "not run" after its patience, and its resend runs. The write was held up on
// its way and lands after the give-up; a claim that nobody waits for is then released.
#[tokio::test(start_paused = true)]
async fn a_write_that_lands_after_the_give_up_leaves_no_dead_key() {
    let platform = platform();
    let ledger = builder(&platform, "a")
        .timeout(Duration::from_millis(300))
        .open();
    ledger.claim(claim(1, 1)).await.unwrap();
    platform.fault().delay_next(9, Duration::from_secs(3));
    let error = ledger.claim(claim(2, 2)).await.unwrap_err();
    assert_eq!(error.kind, Kind::TimedOut);
    platform.fault().delay_next(0, Duration::ZERO);
    pass(10_000).await;
    assert_eq!(ledger.find(key(2)).await.unwrap(), None);
    assert_eq!(ledger.claim(claim(2, 3)).await.unwrap(), Claimed::Granted);
    assert_eq!(ledger.dump().shards[0].count.released, 1);
}

// The caller hangs up while the write is on its way. The claim lands, nothing runs, and the key of
// its next call is free.
#[tokio::test(start_paused = true)]
async fn a_dropped_claim_is_released() {
    let platform = platform();
    let ledger = open(&platform, "a");
    ledger.claim(claim(1, 1)).await.unwrap();
    let task = spawn(&ledger, 2, 2);
    pass(2).await;
    task.abort();
    pass(1_000).await;
    assert_eq!(ledger.claim(claim(2, 3)).await.unwrap(), Claimed::Granted);
    assert_eq!(ledger.dump().shards[0].count.released, 1);
}

// The caller hangs up and its daemon stops as planned. The daemon writes the release before it goes,
// so that the key is free at the next owner.
#[tokio::test(start_paused = true)]
async fn a_planned_stop_writes_what_is_left() {
    let platform = platform();
    let ledger = open(&platform, "a");
    ledger.claim(claim(1, 1)).await.unwrap();
    let task = spawn(&ledger, 2, 2);
    pass(2).await;
    task.abort();
    let soon = Instant::now() + Duration::from_millis(1);
    assert!(!ledger.flush(soon).await);
    let later = Instant::now() + Duration::from_secs(5);
    assert!(ledger.flush(later).await);
    drop(ledger);
    let claimed = open(&platform, "b").claim(claim(2, 3)).await;
    assert_eq!(claimed, Ok(Claimed::Granted));
}

// Two callers send one key through two daemons at the same moment, and both daemons hold
// themselves for the owner. Both write against the same version; one gets the key, the other one
// meets a conflict, loads the head and says that the key runs.
#[tokio::test(start_paused = true)]
async fn two_owners_grant_one_claim() {
    let platform = platform();
    let (a, b) = (open(&platform, "a"), open(&platform, "b"));
    for round in 0..20 {
        let first = spawn(&a, round, 1);
        let second = spawn(&b, round, 2);
        let answers = [
            first.await.unwrap().unwrap(),
            second.await.unwrap().unwrap(),
        ];
        let granted = answers
            .iter()
            .filter(|claimed| **claimed == Claimed::Granted);
        assert_eq!(granted.count(), 1, "round {round}: {answers:?}");
    }
    let conflicts = |ledger: &Ledger| ledger.dump().shards[0].count.conflicts;
    assert!(conflicts(&a) + conflicts(&b) >= 20);
}

// The caller of the paused owner is told "not run". The owner is cut off with a write on its way;
// another owner grants the key meanwhile. When the first one's write arrives it names an old
// version and fails, and its state is loaded anew.
#[tokio::test(start_paused = true)]
async fn the_write_of_a_paused_owner_fails_by_its_version() {
    let platform = platform();
    let paused = builder(&platform, "a")
        .timeout(Duration::from_millis(500))
        .open();
    paused.claim(claim(1, 1)).await.unwrap();
    platform.fault_of("a").hold(true);
    let late = spawn(&paused, 2, 2);
    pass(100).await;
    let other = open(&platform, "b");
    assert_eq!(other.claim(claim(2, 3)).await.unwrap(), Claimed::Granted);
    assert_eq!(late.await.unwrap().unwrap_err().kind, Kind::TimedOut);
    platform.fault_of("a").hold(false);
    pass(5_000).await;
    let held = paused.claim(claim(2, 4)).await.unwrap();
    assert!(matches!(held, Claimed::Running(record) if record.token == Token(3)));
}

// The caller is told "not run" after its patience, and from then on at once, with the time of the
// next try. Once the store is back its resend runs.
#[tokio::test(start_paused = true)]
async fn a_store_that_is_down_gives_not_run() {
    let platform = platform();
    let ledger = open(&platform, "a");
    ledger.claim(claim(1, 1)).await.unwrap();
    platform.fault().down(true);
    let error = ledger.claim(claim(2, 2)).await.unwrap_err();
    assert_eq!(error.kind, Kind::TimedOut);
    let before = Instant::now();
    let error = ledger.claim(claim(2, 3)).await.unwrap_err();
    assert_eq!((error.kind, before.elapsed()), (Kind::Down, Duration::ZERO));
    assert!(error.retry_after >= Duration::from_millis(100));
    platform.fault().down(false);
    pass(2_000).await;
    assert_eq!(ledger.claim(claim(2, 4)).await.unwrap(), Claimed::Granted);
}

// The caller of a daemon that starts while the store is down is told "not run"; no claim is
// granted before the head was read.
#[tokio::test(start_paused = true)]
async fn a_store_that_is_down_at_the_start_grants_nothing() {
    let platform = platform();
    open(&platform, "b").claim(claim(1, 1)).await.unwrap();
    platform.fault().down(true);
    let ledger = open(&platform, "a");
    assert_eq!(
        ledger.claim(claim(1, 2)).await.unwrap_err().kind,
        Kind::TimedOut
    );
    assert_eq!(
        ledger.claim(claim(1, 3)).await.unwrap_err().kind,
        Kind::Down
    );
    platform.fault().down(false);
    pass(2_000).await;
    assert!(matches!(
        ledger.claim(claim(1, 4)).await.unwrap(),
        Claimed::Running(_)
    ));
}

// A caller beyond the queue's bound is refused at once, rather than late; the ones before it run.
#[tokio::test(start_paused = true)]
async fn a_full_queue_refuses_at_once() {
    let platform = platform();
    let ledger = builder(&platform, "a").queue(3).open();
    ledger.claim(claim(0, 9)).await.unwrap();
    let first = spawn(&ledger, 1, 1);
    pass(1).await;
    let queued: Vec<_> = (2..5).map(|n| spawn(&ledger, n, u128::from(n))).collect();
    pass(1).await;
    let before = Instant::now();
    let error = ledger.claim(claim(5, 5)).await.unwrap_err();
    assert_eq!((error.kind, before.elapsed()), (Kind::Full, Duration::ZERO));
    for task in queued.into_iter().chain([first]) {
        assert_eq!(task.await.unwrap().unwrap(), Claimed::Granted);
    }
}

// The callers of a burst all get their answer. The platform refuses writes above its rate; the
// refused batch was not written, and goes again with those who came since.
#[tokio::test(start_paused = true)]
async fn writes_refused_by_rate_are_sent_again() {
    let platform = platform();
    platform.fault().limit_writes(Rate::of(20.0), 1);
    let ledger = builder(&platform, "a").writes(Rate::of(200.0)).open();
    let mut tasks = Vec::new();
    for n in 0..100 {
        tasks.push(spawn(&ledger, n, u128::from(n)));
        pass(5).await;
    }
    for task in tasks {
        assert_eq!(task.await.unwrap().unwrap(), Claimed::Granted);
    }
    assert!(platform.count().refused > 0);
}

// The caller that waits for the first run of its key gets that run's end as soon as it is
// reported, before the store holds it.
#[tokio::test(start_paused = true)]
async fn a_wait_ends_with_the_run() {
    let ledger = open(&platform(), "a");
    ledger.claim(claim(1, 1)).await.unwrap();
    let waiting = {
        let ledger = ledger.clone();
        let until = Instant::now() + Duration::from_secs(5);
        tokio::spawn(async move { ledger.wait(key(1), Token(1), until).await })
    };
    pass(50).await;
    let before = Instant::now();
    let ending = ledger.clone();
    tokio::spawn(async move { ending.end(end(1, 1, Outcome::Ran)).await });
    let record = waiting.await.unwrap().unwrap();
    assert_eq!(record.end.unwrap().status, 200);
    assert_eq!(before.elapsed(), Duration::ZERO);
    let until = Instant::now() + Duration::from_millis(10);
    assert_eq!(ledger.wait(key(9), Token(9), until).await, None);
}

// An operator who sets another number of shards is told so: with two layouts one key would have
// two places, and both would be granted.
#[tokio::test(start_paused = true)]
async fn another_number_of_shards_grants_nothing() {
    let platform = platform();
    open(&platform, "a").claim(claim(1, 1)).await.unwrap();
    let other = Ledger::builder(platform.store()).shards(2).open();
    let error = other.claim(claim(1, 2)).await.unwrap_err();
    assert_eq!(error.kind, Kind::LayoutMismatch(1));
}

// The caller is told "not run" and its resend is never answered. Its entry asks an owner that is
// cut off from the store, loses it, and has the claim released by the next owner. Then the first
// owner's write goes through. The claim must not be granted: nobody waits for it any more, and
// nobody would release it again.
#[tokio::test(start_paused = true)]
async fn a_claim_that_was_released_elsewhere_is_not_granted_later() {
    let platform = platform();
    let (first, next) = (open(&platform, "a"), open(&platform, "b"));
    first.claim(claim(1, 1)).await.unwrap();
    platform.fault_of("a").hold(true);
    let late = spawn(&first, 2, 2);
    pass(100).await;
    next.release(key(2), Token(2)).await.unwrap();
    platform.fault_of("a").hold(false);
    assert_eq!(late.await.unwrap().unwrap_err().kind, Kind::Released);
    assert_eq!(next.claim(claim(2, 3)).await.unwrap(), Claimed::Granted);
}
