//! [`Gate`] under tokio: guards, timers and watchers.

use gate::{Cause, End, Gate, Request, Status};
use tokio::time::{Instant, timeout};
use unit::Token;

use crate::common::{ms, request};

fn routine(token: u128) -> Request {
    request(Instant::now(), token, "desk@clinic")
}

/// A handler panics, or its task is aborted, while it holds a slot. A slot that was never released
/// would be lost to the target for ever. Each guard releases its slot when dropped.
#[tokio::test(start_paused = true)]
async fn dropped_guards_release_their_slots() {
    let gate = Gate::builder(1).build();
    drop(gate.admit(routine(1)).await.unwrap());
    assert_eq!(gate.report().running, 0);
    assert_eq!(gate.status(Token(1)), Status::Unknown);
    drop(gate.admit(routine(2)).await.unwrap().dispatch());
    assert_eq!(gate.report().running, 0);
    assert_eq!(gate.status(Token(2)), Status::Done);
    assert_eq!(gate.report().answered, 0);
    let running = gate.admit(routine(3)).await.unwrap().dispatch();
    running.finish(End::Answered { latency: ms(1) });
    assert_eq!(gate.report().answered, 1);
    let refusal = gate.admit(routine(4)).await.unwrap().refuse(Cause::Down);
    assert_eq!(refusal.cause(), Cause::Down);
    assert_eq!(
        gate.admit(routine(4)).await.unwrap_err().cause(),
        Cause::Fenced
    );
}

/// One caller disconnects while its request waits, and another after its request got a slot but
/// before the waiting task received the permit. Neither may run or keep a slot; the next request in
/// the queue gets it.
#[tokio::test(start_paused = true)]
async fn dropped_wait_is_cancelled() {
    let gate = Gate::builder(1).build();
    let first = gate.admit(routine(1)).await.unwrap();
    let spawn = |token| {
        let gate = gate.clone();
        tokio::spawn(async move { gate.admit(routine(token)).await })
    };
    let [waiting, granted, next] = [2, 3, 4].map(spawn);
    tokio::task::yield_now().await;
    assert_eq!(gate.report().queued, [0, 3, 0]);
    waiting.abort();
    assert!(waiting.await.unwrap_err().is_cancelled());
    assert_eq!(gate.report().queued, [0, 2, 0]);
    drop(first);
    assert_eq!(gate.status(Token(3)), Status::Running);
    granted.abort();
    let permit = next.await.unwrap().unwrap();
    assert_eq!(gate.status(Token(3)), Status::Unknown);
    assert_eq!(gate.report().running, 1);
    drop(permit);
}

/// A request waits behind a run that hangs. No other call reaches the gate, so only a timer can
/// refuse the request. The refusal must not come later than the deadline.
#[tokio::test(start_paused = true)]
async fn timer_refuses_a_wait_behind_a_hung_run() {
    let gate = Gate::builder(1).build();
    let _hung = gate.admit(routine(1)).await.unwrap().dispatch();
    let begin = Instant::now();
    let refusal = gate.admit(routine(2)).await.unwrap_err();
    assert_eq!(refusal.cause(), Cause::Deadline);
    assert!(begin.elapsed() <= ms(1001), "{:?}", begin.elapsed());
}

/// The target leaves. Waiting requests can still run elsewhere and are refused at once. Running
/// requests may finish, and the gate is idle only after the last one has.
#[tokio::test(start_paused = true)]
async fn leaving_lets_running_requests_finish() {
    let gate = Gate::builder(1).build();
    let running = gate.admit(routine(1)).await.unwrap().dispatch();
    let other = gate.clone();
    let waiting = tokio::spawn(async move { other.admit(routine(2)).await });
    tokio::task::yield_now().await;
    let begin = Instant::now();
    gate.leave();
    assert_eq!(waiting.await.unwrap().unwrap_err().cause(), Cause::Leaving);
    assert_eq!(
        gate.admit(routine(3)).await.unwrap_err().cause(),
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

/// The queue grows beyond the threshold for hot and is then drained. Entries that were not notified
/// would go on sending requests here. A watcher must see the gate become hot and then cold.
#[tokio::test(start_paused = true)]
async fn watchers_are_notified_of_hot_and_cold() {
    let gate = Gate::builder(1).build();
    let mut hot = gate.hot();
    for token in 0..10 {
        let running = gate.admit(routine(token)).await.unwrap().dispatch();
        tokio::time::sleep(ms(10)).await;
        running.finish(End::Answered { latency: ms(10) });
    }
    assert!(!hot.has_changed().unwrap());
    let first = gate.admit(routine(20)).await.unwrap();
    let tasks: Vec<_> = (21..24)
        .map(|token| {
            let gate = gate.clone();
            tokio::spawn(async move { gate.admit(routine(token)).await.map(drop) })
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

/// The target has asked for a pause, and nothing waits. Entries avoid a hot gate, so no call
/// arrives that could make it notice the end of the pause. It must become cold by a timer of its
/// own, or it would stay unused for ever.
#[tokio::test(start_paused = true)]
async fn pause_ends_without_a_call() {
    let gate = Gate::builder(1).build();
    let mut hot = gate.hot();
    let running = gate.admit(routine(1)).await.unwrap().dispatch();
    let retry_after = Some(ms(400));
    let begin = Instant::now();
    running.finish(End::Shed { retry_after });
    assert!(*hot.borrow_and_update());
    timeout(ms(5000), hot.changed()).await.unwrap().unwrap();
    assert!(!*hot.borrow() && !gate.report().hot);
    assert!(begin.elapsed() <= ms(401));
}
