//! A token runs at most once, and a fenced token never runs.

use gate::{Builder, Cause, End, Event, Fence, Status, Verdict};
use tokio::time::Instant;
use unit::{Outcome, Token};

use crate::common::{cause, ms, request, start, wait};

/// An entry loses its link while its request is in flight, and fences the token. The gate has not
/// seen the token, so the entry may take it as not run and try another target. Then the late frame
/// arrives. If it ran, the request would run twice.
#[test]
fn late_frame_of_a_fenced_token_is_refused() {
    let now = Instant::now();
    let mut core = Builder::new(1).core(now);
    let late = request(now, 1, "desk@clinic");
    assert_eq!(core.status(now, late.token), Status::Unknown);
    assert_eq!(core.fence(now, late.token, late.deadline), Fence::Fenced);
    let Verdict::Refuse(refusal) = core.offer(now + ms(500), late) else {
        panic!("a request with a fenced token was admitted");
    };
    assert_eq!(refusal.cause(), Cause::Fenced);
    assert_eq!(refusal.outcome(), Outcome::NotRun);
}

/// A token is fenced while its request waits, runs, or has run. A waiting request is removed from
/// the queue and refused. In the other two cases the fence is too late, and its result says so.
#[test]
fn fence_reports_the_state_of_the_token() {
    let now = Instant::now();
    let mut core = Builder::new(1).core(now);
    let [first, second] = [1, 2].map(|token| request(now, token, "desk@clinic"));
    let deadline = first.deadline;
    let running = start(&mut core, now, first);
    let waiting = wait(&mut core, now, second);
    assert_eq!(core.fence(now, Token(1), deadline), Fence::Running);
    assert_eq!(core.fence(now, Token(2), deadline), Fence::Cancelled);
    assert!(
        matches!(&core.poll(now)[..], [Event::Refuse { id, refusal }]
        if *id == waiting && refusal.cause() == Cause::Fenced)
    );
    core.finish(now, running, End::Cancelled);
    assert_eq!(core.fence(now, Token(1), deadline), Fence::Done);
    assert_eq!(core.fence(now, Token(2), deadline), Fence::Fenced);
}

/// A frame arrives a second time while the first one runs, or after it has ended. The second is
/// refused, but its refusal must not report to the entry that the token did not run.
#[test]
fn refusal_of_a_duplicate_is_not_reported_as_not_run() {
    let now = Instant::now();
    let mut core = Builder::new(2).core(now);
    let repeated = request(now, 1, "desk@clinic");
    let id = start(&mut core, now, repeated.clone());
    for _ in 0..2 {
        let Verdict::Refuse(refusal) = core.offer(now, repeated.clone()) else {
            panic!("a duplicate token was admitted");
        };
        assert_eq!(refusal.cause(), Cause::Duplicate);
        assert_eq!(refusal.outcome(), Outcome::Unknown);
        core.finish(now, id, End::Cancelled);
    }
}

/// An entry was suspended for a minute and fences a token whose request ran long ago. The gate has
/// forgotten the token. The result "fenced" would be taken for "not run" although the request ran,
/// so the result is "unsure".
#[test]
fn fence_long_after_the_deadline_is_unsure() {
    let mut now = Instant::now();
    let mut core = Builder::new(1).grace(ms(5000)).core(now);
    let old = request(now, 1, "desk@clinic");
    let (token, deadline) = (old.token, old.deadline);
    let id = start(&mut core, now, old);
    core.finish(now, id, End::Cancelled);
    now = deadline + ms(4999);
    assert_eq!(core.fence(now, token, deadline), Fence::Done);
    now = deadline + ms(5000);
    assert_eq!(core.fence(now, token, deadline), Fence::Unsure);
}

/// The token table is full of tokens that ran. If one were evicted, its run could be reported as
/// "not run", so new requests are refused until entries expire. Fences use the space reserved for
/// them; once that is used up too, their result is "unsure".
#[test]
fn full_token_table_refuses_instead_of_evicting() {
    let mut now = Instant::now();
    let mut core = Builder::new(1).tokens(16).grace(ms(5000)).core(now);
    for token in 0..12 {
        let id = start(&mut core, now, request(now, token, "desk@clinic"));
        core.finish(now, id, End::Cancelled);
    }
    assert_eq!(
        cause(&mut core, now, request(now, 12, "desk@clinic")),
        Cause::Full
    );
    let deadline = now + ms(1000);
    for token in 20..24 {
        assert_eq!(core.fence(now, Token(token), deadline), Fence::Fenced);
    }
    assert_eq!(core.fence(now, Token(24), deadline), Fence::Unsure);
    assert_eq!(core.fence(now, Token(0), deadline), Fence::Done);
    assert_eq!(core.dump(now).fences, 4);
    now = deadline + ms(5000);
    start(&mut core, now, request(now, 30, "desk@clinic"));
    assert_eq!(core.dump(now).tokens, 1);
}
