//! The call budget of one daemon, and its count of calls.

use std::sync::Arc;

use parking_lot::Mutex;
use serde::Serialize;
use tokio::time::Instant;
use unit::Rate;

use crate::{Boxed, Bucket, Calls, Consistency, Error, Kind, Step, Store};

/// Writes and watches are never of what is old.
const LATEST: Consistency = Consistency::Linearizable;

/// Counts the calls of one daemon and refuses those above its budget.
///
/// The daemons share the platform's rate without talking about it: each keeps to its own part. A
/// waiting watch is charged when it begins and holds one call a second while it waits.
#[derive(Debug, Clone)]
pub struct Meter {
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    bucket: Bucket,
    count: Count,
}

/// Calls counted by kind since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Count {
    /// Objects read.
    pub get: u64,
    /// Objects written, refused or not.
    pub put: u64,
    /// Objects deleted, refused or not.
    pub delete: u64,
    /// Lists read.
    pub list: u64,
    /// Watches begun.
    pub watch: u64,
    /// Watches that wait now.
    pub waiting: u32,
    /// Reads among these that may be old.
    pub serializable: u64,
    /// Calls refused by the budget and not sent.
    pub refused: u64,
}

impl Count {
    /// Adds one call of this kind.
    pub fn add(&mut self, step: Step) {
        let field = match step {
            Step::Get => &mut self.get,
            Step::Put => &mut self.put,
            Step::Delete => &mut self.delete,
            Step::List => &mut self.list,
            Step::Watch => &mut self.watch,
        };
        *field += 1;
    }

    /// Calls of all kinds that were sent.
    pub fn total(&self) -> u64 {
        self.get + self.put + self.delete + self.list + self.watch
    }

    /// Writes that were sent.
    pub fn writes(&self) -> u64 {
        self.put + self.delete
    }
}

impl Meter {
    /// A budget of `rate` calls a second, at most `burst` saved up.
    pub fn new(rate: Rate, burst: u32) -> Meter {
        let bucket = Bucket::new(rate, burst);
        let count = Count::default();
        let state = Arc::new(Mutex::new(State { bucket, count }));
        Meter { state }
    }

    /// The calls so far.
    pub fn count(&self) -> Count {
        self.state.lock().count
    }

    /// A store whose calls are counted and limited here.
    pub fn over(&self, store: &Store) -> Store {
        let (get, put, delete) = (store.clone(), store.clone(), store.clone());
        let (list, watch) = (store.clone(), store.clone());
        let meters = [(); 5].map(|()| self.clone());
        let [for_get, for_put, for_delete, for_list, for_watch] = meters;
        let calls = Calls {
            get: Box::new(move |key, consistency| {
                let store = get.clone();
                let what = key.clone();
                let call = async move { store.get_with(&key, consistency).await };
                for_get.pass(Step::Get, what, consistency, call)
            }),
            put: Box::new(move |key, value, when| {
                let store = put.clone();
                let what = key.clone();
                let call = async move { store.put(&key, value, when).await };
                for_put.pass(Step::Put, what, LATEST, call)
            }),
            delete: Box::new(move |key, when| {
                let store = delete.clone();
                let what = key.clone();
                let call = async move { store.delete(&key, when).await };
                for_delete.pass(Step::Delete, what, LATEST, call)
            }),
            list: Box::new(move |prefix, consistency| {
                let store = list.clone();
                let what = prefix.clone();
                let call = async move { store.list_with(&prefix, consistency).await };
                for_list.pass(Step::List, what, consistency, call)
            }),
            watch: Box::new(move |prefix, since, wait| {
                let store = watch.clone();
                let meter = for_watch.clone();
                let what = format!("{prefix}@{since}");
                for_watch.pass(Step::Watch, what, LATEST, async move {
                    let _waiting = meter.wait();
                    store.watch(&prefix, since, wait).await
                })
            }),
        };
        Store::with_eras(calls, store.eras().clone())
    }

    /// Makes a call if the budget allows it, and logs it: each is priced, and each may be why a daemon
    /// believes what it does.
    fn pass<T, F>(&self, step: Step, what: String, consistency: Consistency, call: F) -> Boxed<T>
    where
        T: 'static,
        F: Future<Output = Result<T, Error>> + Send + 'static,
    {
        let meter = self.clone();
        Box::pin(async move {
            meter.take(step, consistency)?;
            let begun = Instant::now();
            let result = call.await;
            let millis = begun.elapsed().as_millis();
            match &result {
                Ok(_) => log::info!("store: call={step} of={what} ms={millis} outcome=ok."),
                Err(error) => {
                    let cause = &error.kind;
                    log::info!(
                        "store: call={step} of={what} ms={millis} outcome=failed cause={cause}."
                    );
                }
            }
            result
        })
    }

    fn take(&self, step: Step, consistency: Consistency) -> Result<(), Error> {
        let mut state = self.state.lock();
        match state.bucket.take(Instant::now()) {
            Ok(()) => {
                state.count.add(step);
                let is_old = consistency == Consistency::Serializable;
                state.count.serializable += u64::from(is_old);
                Ok(())
            }
            Err(retry_after) => {
                state.count.refused += 1;
                Err(Error::new(step, "this process", Kind::Budget(retry_after)))
            }
        }
    }

    fn wait(&self) -> Waiting {
        let mut state = self.state.lock();
        state.bucket.hold(Instant::now());
        state.count.waiting += 1;
        Waiting(self.clone())
    }
}

/// One watch that waits; dropping it, also by a cancelled call, frees its part of the rate.
struct Waiting(Meter);

impl Drop for Waiting {
    fn drop(&mut self) {
        let mut state = self.0.state.lock();
        state.bucket.free(Instant::now());
        state.count.waiting -= 1;
    }
}
