//! The gate under tokio: guards, timers and watchers.

use gate::{Cause, End, Gate, Request, Status};
use tokio::time::{Instant, timeout};
use unit::Token;

use crate::common::{ms, request};

fn ask(token: u128) -> Request {
    request(Instant::now(), token, "desk@clinic")
}

/// A handler panics or its task is aborted while it holds a slot. A slot that stayed taken would
/// make the target smaller for ever; each guard gives it back when dropped.
#[tokio::test(start_paused = true)]
async fn guards_give_slots_back() {
    let gate = Gate::builder(1).build();
    drop(gate.admit(ask(1)).await.unwrap());
    assert_eq!(gate.report().running, 0);
    assert_eq!(gate.status(Token(1)), Status::Unknown);
    drop(gate.admit(ask(2)).await.unwrap().dispatch());
    assert_eq!(gate.report().running, 0);
    assert_eq!(gate.status(Token(2)), Status::Done);
    assert_eq!(gate.report().answered, 0);
    let running = gate.admit(ask(3)).await.unwrap().dispatch();
    running.finish(End::Answered { latency: ms(1) });
    assert_eq!(gate.report().answered, 1);
    let refusal = gate.admit(ask(4)).await.unwrap().refuse(Cause::Down);
    assert_eq!(refusal.cause(), Cause::Down);
    assert_eq!(gate.admit(ask(4)).await.unwrap_err().cause(), Cause::Fenced);
}

/// A caller goes away while its request waits, and another while its permit is on the way to it.
/// Neither may run or keep a slot; the next in the queue gets it.
#[tokio::test(start_paused = true)]
async fn dropped_wait_is_cancelled() {
    let gate = Gate::builder(1).build();
    let first = gate.admit(ask(1)).await.unwrap();
    let spawn = |token| {
        let gate = gate.clone();
        tokio::spawn(async move { gate.admit(ask(token)).await })
    };
    let [gone, missed, next] = [2, 3, 4].map(spawn);
    tokio::task::yield_now().await;
    assert_eq!(gate.report().queued, [0, 3, 0]);
    gone.abort();
    assert!(gone.await.unwrap_err().is_cancelled());
    assert_eq!(gate.report().queued, [0, 2, 0]);
    drop(first);
    assert_eq!(gate.status(Token(3)), Status::Running);
    missed.abort();
    let permit = next.await.unwrap().unwrap();
    assert_eq!(gate.status(Token(3)), Status::Unknown);
    assert_eq!(gate.report().running, 1);
    drop(permit);
}

/// A request waits behind a run that hangs. Nothing happens at the gate, so only the clock can
/// tell its caller that the deadline is lost; the answer comes when it is, and not later.
#[tokio::test(start_paused = true)]
async fn clock_answers_a_lost_wait() {
    let gate = Gate::builder(1).build();
    let _hung = gate.admit(ask(1)).await.unwrap().dispatch();
    let begin = Instant::now();
    let refusal = gate.admit(ask(2)).await.unwrap_err();
    assert_eq!(refusal.cause(), Cause::Deadline);
    assert!(begin.elapsed() <= ms(1001), "{:?}", begin.elapsed());
}

/// The target leaves. What waits can still run elsewhere and is told so at once; what runs may
/// end, and only then is the gate idle.
#[tokio::test(start_paused = true)]
async fn leaving_cuts_off_nothing() {
    let gate = Gate::builder(1).build();
    let running = gate.admit(ask(1)).await.unwrap().dispatch();
    let other = gate.clone();
    let waiting = tokio::spawn(async move { other.admit(ask(2)).await });
    tokio::task::yield_now().await;
    let begin = Instant::now();
    gate.leave();
    assert_eq!(waiting.await.unwrap().unwrap_err().cause(), Cause::Leaving);
    assert_eq!(
        gate.admit(ask(3)).await.unwrap_err().cause(),
        Cause::Leaving
    );
    let other = gate.clone();
    let idle = tokio::spawn(async move { other.idle().await });
    tokio::time::sleep(ms(50)).await;
    assert!(!idle.is_finished());
    running.finish(End::Cancelled);
    idle.await.unwrap();
    assert_eq!(begin.elapsed(), ms(50));
}

/// The queue grows beyond the threshold and is worked off. Entries that are not told would go on
/// sending here; a watcher sees hot, then cold.
#[tokio::test(start_paused = true)]
async fn watchers_see_hot_and_cold() {
    let gate = Gate::builder(1).build();
    let mut hot = gate.hot();
    for token in 0..10 {
        let running = gate.admit(ask(token)).await.unwrap().dispatch();
        tokio::time::sleep(ms(10)).await;
        running.finish(End::Answered { latency: ms(10) });
    }
    assert!(!hot.has_changed().unwrap());
    let first = gate.admit(ask(20)).await.unwrap();
    let tasks: Vec<_> = (21..24)
        .map(|token| {
            let gate = gate.clone();
            tokio::spawn(async move { gate.admit(ask(token)).await.map(drop) })
        })
        .collect();
    timeout(ms(5000), hot.changed()).await.unwrap().unwrap();
    assert!(*hot.borrow_and_update() && gate.report().hot);
    drop(first);
    for task in tasks {
        task.await.unwrap().unwrap();
    }
    timeout(ms(5000), hot.changed()).await.unwrap().unwrap();
    assert!(!*hot.borrow());
}

/// The target has asked for a pause, and nothing waits. Entries pass a hot gate over, so no call
/// comes that could make it look at its clock; it must turn cold by itself, or it would stay
/// unused for ever.
#[tokio::test(start_paused = true)]
async fn pause_ends_without_a_call() {
    let gate = Gate::builder(1).build();
    let mut hot = gate.hot();
    let running = gate.admit(ask(1)).await.unwrap().dispatch();
    let retry_after = Some(ms(400));
    let begin = Instant::now();
    running.finish(End::Shed { retry_after });
    assert!(*hot.borrow_and_update());
    timeout(ms(5000), hot.changed()).await.unwrap().unwrap();
    assert!(!*hot.borrow() && !gate.report().hot);
    assert!(begin.elapsed() <= ms(401));
}
