//! Idle peers beside a process that does not always run, on the paused clock.

use std::time::Duration;

use timer::idle_timeout;
use tokio::sync::oneshot;
use tokio::task::yield_now;
use tokio::time::{Instant, advance};

const IDLE: Duration = Duration::from_secs(10);

#[tokio::test(start_paused = true)]
async fn a_peer_that_is_idle_for_the_span_is_given_up() {
    let began = Instant::now();
    let idle = idle_timeout(IDLE, std::future::pending::<()>()).await;
    assert!(idle.is_err());
    assert_eq!(began.elapsed().as_secs(), 10);
}

/// The time in which the process was stopped was taken for the peer's silence, whenever the stop came.
#[tokio::test(start_paused = true)]
async fn a_stop_of_the_process_is_no_silence_of_the_peer() {
    for second in [0, 5, 9] {
        let (sender, receiver) = oneshot::channel();
        let waiting = tokio::spawn(idle_timeout(IDLE, receiver));
        yield_now().await;
        for _ in 0..second {
            advance(Duration::from_secs(1)).await;
        }
        advance(IDLE * 6).await;
        for _ in 0..100 {
            yield_now().await;
        }
        assert!(sender.send(7).is_ok(), "it still waits, {second}");
        assert_eq!(waiting.await.expect("no panic"), Ok(Ok(7)));
    }
}

/// A process that runs late at each look would have waited forever.
#[tokio::test(start_paused = true)]
async fn a_process_that_is_always_late_gives_up() {
    let waiting = tokio::spawn(idle_timeout(IDLE, std::future::pending::<()>()));
    yield_now().await;
    for _ in 0..30 {
        advance(IDLE).await;
        for _ in 0..100 {
            yield_now().await;
        }
    }
    assert!(waiting.is_finished());
}
