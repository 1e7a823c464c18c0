//! The timer of hyper's connections.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use ::hyper::rt::{Sleep as HyperSleep, Timer as HyperTimer};
use tokio::time::Instant;

use crate::passed;

/// The timer for connections of hyper.
#[derive(Debug, Clone, Copy)]
pub struct Timer;

struct Sleep(Pin<Box<dyn Future<Output = ()> + Send + Sync>>);

impl Future for Sleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        self.0.as_mut().poll(context)
    }
}

impl HyperSleep for Sleep {}

impl HyperTimer for Timer {
    fn sleep(&self, span: Duration) -> Pin<Box<dyn HyperSleep>> {
        self.sleep_until(self.now() + span)
    }

    fn sleep_until(&self, deadline: std::time::Instant) -> Pin<Box<dyn HyperSleep>> {
        Box::pin(Sleep(Box::pin(passed(deadline.into()))))
    }

    fn now(&self) -> std::time::Instant {
        Instant::now().into_std()
    }
}
