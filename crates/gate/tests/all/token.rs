//! A token runs at most once, and a fenced one never.

use gate::{Builder, Cause, End, Event, Fence, Status, Verdict};
use tokio::time::Instant;
use unit::{Outcome, Token};

use crate::common::{cause, ms, request, start, wait};

/// An entry loses its link while its request is on the way and asks after the token. The gate
/// has not seen it; told "not run", the entry may try elsewhere. Then the late frame comes in. It
/// must not run, else a retrieval slip lands twice.
#[test]
fn late_frame_of_a_fenced_token_is_refused() {
    let now = Instant::now();
    let mut core = Builder::new(1).core(now);
    let late = request(now, 1, "desk@clinic");
    assert_eq!(core.status(now, late.token), Status::Unknown);
    assert_eq!(core.fence(now, late.token, late.deadline), Fence::Fenced);
    let Verdict::Refuse(refusal) = core.offer(now + ms(500), late) else {
        panic!("a fenced token started");
    };
    assert_eq!(refusal.cause(), Cause::Fenced);
    assert_eq!(refusal.outcome(), Outcome::NotRun);
}

/// As before, but the request waits, runs, or has run. One that waits is taken out and told so;
/// for the others the fence comes too late and says so.
#[test]
fn fence_tells_how_far_the_token_came() {
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

/// A frame comes twice while the first is running or done. The second is refused, but that
/// refusal must not tell the entry that the token did not run.
#[test]
fn duplicate_is_not_taken_for_not_run() {
    let now = Instant::now();
    let mut core = Builder::new(2).core(now);
    let again = request(now, 1, "desk@clinic");
    let id = start(&mut core, now, again.clone());
    for _ in 0..2 {
        let Verdict::Refuse(refusal) = core.offer(now, again.clone()) else {
            panic!("a token started twice");
        };
        assert_eq!(refusal.cause(), Cause::Duplicate);
        assert_eq!(refusal.outcome(), Outcome::Unknown);
        core.finish(now, id, End::Cancelled);
    }
}

/// An entry was paused for a minute and asks after a token whose request ran long ago. The gate
/// has forgotten it; "fenced" would be read as "not run" though it ran. It says that it can't
/// tell.
#[test]
fn fence_long_after_the_deadline_promises_nothing() {
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

/// The token table is full of tokens that ran. To forget one would make "not run" of a run, so
/// new requests are refused until some age out; fences still find room, until that is gone too
/// and the gate promises nothing more.
#[test]
fn full_table_refuses_rather_than_forgets() {
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
