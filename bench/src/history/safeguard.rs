//! Safeguards taken out, to see that the checker notices.

use std::sync::Arc;

use store::{Calls, Condition, Store};

/// A safeguard that is taken out for a trial of the checker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Safeguard {
    /// The version check of the ledger's writes.
    Fence,
    /// The claim before the run.
    Claim,
    /// The gate's look at its tokens when it is asked after one.
    Token,
}

/// The store without its version check on the keys under `prefix`.
pub(crate) fn unfenced(store: Store, prefix: &'static str) -> Store {
    let store = Arc::new(store);
    let [get, put, delete, list, watch] = [(); 5].map(|()| store.clone());
    Store::from(Calls {
        get: Box::new(move |key, _| {
            let store = get.clone();
            Box::pin(async move { store.get(&key).await })
        }),
        put: Box::new(move |key, value, when| {
            let store = put.clone();
            let when = if key.starts_with(prefix) {
                Condition::Any
            } else {
                when
            };
            Box::pin(async move { store.put(&key, value, when).await })
        }),
        delete: Box::new(move |key, when| {
            let store = delete.clone();
            Box::pin(async move { store.delete(&key, when).await })
        }),
        list: Box::new(move |prefix, _| {
            let store = list.clone();
            Box::pin(async move { store.list(&prefix).await })
        }),
        watch: Box::new(move |prefix, since, wait| {
            let store = watch.clone();
            Box::pin(async move { store.watch(&prefix, since, wait).await })
        }),
    })
}
