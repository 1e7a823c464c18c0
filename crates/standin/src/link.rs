//! One client's way to the platform, and the store that goes this way through memory.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use store::{Boxed, Calls, Count, Eras, Error, Kind, Sent, Step, Store};
use tokio::time::timeout;
use unit::Era;

use crate::fault::Fault;
use crate::platform::Platform;

/// How errors through memory name their peer.
const PEER: &str = "standin";

/// One client's way to the platform.
#[derive(Clone)]
pub(crate) struct Link {
    pub(crate) platform: Platform,
    pub(crate) faults: [Fault; 2],
    pub(crate) count: Arc<Mutex<Count>>,
    /// The era in which the call took effect, once it has.
    pub(crate) era: Arc<Mutex<Option<Era>>>,
}

impl Link {
    /// The same way, for one more call.
    fn another(&self) -> Link {
        Link {
            era: Arc::default(),
            ..self.clone()
        }
    }
}

/// A store whose calls go straight to memory.
pub(crate) fn store(link: &Link, limit: Duration) -> Store {
    let eras = Eras::default();
    let (get, put, delete) = (link.clone(), link.clone(), link.clone());
    let (list, watch) = (link.clone(), link.clone());
    let of = [(); 5].map(|()| eras.clone());
    let [of_get, of_put, of_delete, of_list, of_watch] = of;
    let calls = Calls {
        get: Box::new(move |key, consistency| {
            let (link, way) = (get.another(), Way::of(Step::Get, limit, &of_get));
            let era = link.era.clone();
            way.bounded(era, async move { link.get(&key, consistency).await })
        }),
        put: Box::new(move |key, value, when| {
            let (link, way) = (put.another(), Way::of(Step::Put, limit, &of_put));
            let era = link.era.clone();
            let call = async move { link.put(&key, value, when).await };
            way.bounded(era, detached(call))
        }),
        delete: Box::new(move |key, when| {
            let (link, way) = (delete.another(), Way::of(Step::Delete, limit, &of_delete));
            let era = link.era.clone();
            let call = async move { link.delete(&key, when).await };
            way.bounded(era, detached(call))
        }),
        list: Box::new(move |prefix, consistency| {
            let (link, way) = (list.another(), Way::of(Step::List, limit, &of_list));
            let era = link.era.clone();
            way.bounded(era, async move { link.list(&prefix, consistency).await })
        }),
        watch: Box::new(move |prefix, since, wait| {
            let limit = limit + wait;
            let (link, way) = (watch.another(), Way::of(Step::Watch, limit, &of_watch));
            let era = link.era.clone();
            way.bounded(era, async move { link.watch(&prefix, since, wait).await })
        }),
    };
    Store::with_eras(calls, eras)
}

/// Runs a write on its own: what was sent takes effect, also when its caller has gone.
pub(crate) async fn detached<T, F>(call: F) -> Result<T, Kind>
where
    T: Send + 'static,
    F: Future<Output = Result<T, Kind>> + Send + 'static,
{
    let done = tokio::spawn(call).await;
    done.unwrap_or_else(|error| Err(Kind::Lost(error.to_string())))
}

/// What one call is bounded and judged by.
struct Way {
    step: Step,
    limit: Duration,
    sent: Sent,
}

impl Way {
    fn of(step: Step, limit: Duration, eras: &Eras) -> Way {
        Way {
            step,
            limit,
            sent: eras.sent(step),
        }
    }

    /// Makes the call, which notes in `era` when it took effect.
    fn bounded<T, F>(self, era: Arc<Mutex<Option<Era>>>, call: F) -> Boxed<T>
    where
        F: Future<Output = Result<T, Kind>> + Send + 'static,
    {
        let Way { step, limit, sent } = self;
        Box::pin(async move {
            let late = || Kind::Lost(format!("no answer within {} ms", limit.as_millis()));
            let done = timeout(limit, call).await;
            let result = match done {
                Ok(Err(Kind::Lost(cause))) => Err(Kind::Lost(cause)),
                Ok(result) => sent.answered(*era.lock()).and(result),
                Err(_) => Err(late()),
            };
            result.map_err(|kind| Error::new(step, PEER, kind))
        })
    }
}
