//! One client's way to the platform, and the store that goes this way through memory.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use store::{Boxed, Calls, Count, Error, Kind, Step, Store};
use tokio::time::timeout;

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
}

/// A store whose calls go straight to memory.
pub(crate) fn store(link: &Link, limit: Duration) -> Store {
    let (get, put, delete) = (link.clone(), link.clone(), link.clone());
    let (list, watch) = (link.clone(), link.clone());
    Store::from(Calls {
        get: Box::new(move |key, consistency| {
            let link = get.clone();
            let call = async move { link.get(&key, consistency).await };
            bounded(Step::Get, limit, call)
        }),
        put: Box::new(move |key, value, when| {
            let link = put.clone();
            let call = async move { link.put(&key, value, when).await };
            bounded(Step::Put, limit, detached(call))
        }),
        delete: Box::new(move |key, when| {
            let link = delete.clone();
            let call = async move { link.delete(&key, when).await };
            bounded(Step::Delete, limit, detached(call))
        }),
        list: Box::new(move |prefix, consistency| {
            let link = list.clone();
            let call = async move { link.list(&prefix, consistency).await };
            bounded(Step::List, limit, call)
        }),
        watch: Box::new(move |prefix, since, wait| {
            let link = watch.clone();
            let call = async move { link.watch(&prefix, since, wait).await };
            bounded(Step::Watch, limit + wait, call)
        }),
    })
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

fn bounded<T, F>(step: Step, limit: Duration, call: F) -> Boxed<T>
where
    F: Future<Output = Result<T, Kind>> + Send + 'static,
{
    Box::pin(async move {
        let late = || Kind::Lost(format!("no answer within {} ms", limit.as_millis()));
        let done = timeout(limit, call).await;
        let result = done.unwrap_or_else(|_| Err(late()));
        result.map_err(|kind| Error::new(step, PEER, kind))
    })
}
