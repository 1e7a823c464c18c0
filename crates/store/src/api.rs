//! The store as a plain struct of closures.

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use unit::{Size, Version};

use crate::{
    Change, Condition, Consistency, Eras, Error, Kind, Listing, MAX_VALUE, Object, Step, check_key,
};

/// The future that a closure of [`Calls`] answers.
pub type Boxed<T> = Pin<Box<dyn Future<Output = Result<T, Error>> + Send>>;

type Get = dyn Fn(String, Consistency) -> Boxed<Option<Object>> + Send + Sync;
type Put = dyn Fn(String, Bytes, Condition) -> Boxed<Version> + Send + Sync;
type Delete = dyn Fn(String, Condition) -> Boxed<()> + Send + Sync;
type List = dyn Fn(String, Consistency) -> Boxed<Listing> + Send + Sync;
type Watch = dyn Fn(String, Version, Duration) -> Boxed<Change> + Send + Sync;

/// The closures behind a [`Store`], one for each kind of call.
pub struct Calls {
    /// Reads the object of a key.
    pub get: Box<Get>,
    /// Writes the object of a key.
    pub put: Box<Put>,
    /// Deletes the object of a key.
    pub delete: Box<Delete>,
    /// Reads the objects of a prefix.
    pub list: Box<List>,
    /// Waits for changes of a prefix since a revision, at most for a time.
    pub watch: Box<Watch>,
}

/// A handle on the platform's objects; clones share the same closures.
#[derive(Clone)]
pub struct Store {
    calls: Arc<Calls>,
    eras: Eras,
}

/// What the errors of this module name as the peer, since nothing was sent.
const HERE: &str = "this process";

impl From<Calls> for Store {
    fn from(calls: Calls) -> Store {
        Store::with_eras(calls, Eras::default())
    }
}

impl Store {
    /// A store whose calls take the eras that they meet into `eras`.
    pub fn with_eras(calls: Calls, eras: Eras) -> Store {
        Store {
            calls: Arc::new(calls),
            eras,
        }
    }

    /// The eras of the store, as far as they are known here.
    pub fn eras(&self) -> &Eras {
        &self.eras
    }

    /// Reads one object; `None` when there is none of this key.
    ///
    /// # Errors
    ///
    /// Every kind but [`Kind::Conflict`], [`Kind::TooLarge`] and [`Kind::Compacted`].
    pub async fn get(&self, key: &str) -> Result<Option<Object>, Error> {
        self.get_with(key, Consistency::Linearizable).await
    }

    /// As [`Store::get`], with the consistency that the caller needs.
    ///
    /// # Errors
    ///
    /// As [`Store::get`].
    pub async fn get_with(
        &self,
        key: &str,
        consistency: Consistency,
    ) -> Result<Option<Object>, Error> {
        check_key(Step::Get, HERE, key)?;
        (self.calls.get)(key.to_string(), consistency).await
    }

    /// Writes one object and answers its new version.
    ///
    /// # Errors
    ///
    /// [`Kind::Conflict`] when the condition does not hold, [`Kind::TooLarge`] before anything is
    /// sent. After any error [`Error::may_have_written`] tells whether to read back.
    pub async fn put(&self, key: &str, value: Bytes, when: Condition) -> Result<Version, Error> {
        check_key(Step::Put, HERE, key)?;
        let size = Size::of(value.len() as u64);
        if size > MAX_VALUE {
            let kind = Kind::TooLarge(size, MAX_VALUE);
            return Err(Error::new(Step::Put, HERE, kind));
        }
        (self.calls.put)(key.to_string(), value, when).await
    }

    /// Deletes one object. Deleting what is absent succeeds under [`Condition::Any`].
    ///
    /// # Errors
    ///
    /// As [`Store::put`].
    pub async fn delete(&self, key: &str, when: Condition) -> Result<(), Error> {
        check_key(Step::Delete, HERE, key)?;
        (self.calls.delete)(key.to_string(), when).await
    }

    /// Reads all objects whose keys begin with `prefix`; meant for small objects.
    ///
    /// # Errors
    ///
    /// As [`Store::get`].
    pub async fn list(&self, prefix: &str) -> Result<Listing, Error> {
        self.list_with(prefix, Consistency::Linearizable).await
    }

    /// As [`Store::list`], with the consistency that the caller needs.
    ///
    /// # Errors
    ///
    /// As [`Store::get`].
    pub async fn list_with(
        &self,
        prefix: &str,
        consistency: Consistency,
    ) -> Result<Listing, Error> {
        check_key(Step::List, HERE, prefix)?;
        (self.calls.list)(prefix.to_string(), consistency).await
    }

    /// Waits at most `wait` for changes under `prefix` after revision `since`.
    ///
    /// An empty change is the answer when nothing has changed within the wait.
    ///
    /// # Errors
    ///
    /// [`Kind::Compacted`] when the caller has to list again; else as [`Store::get`]. A watch that
    /// has gone silent ends in [`Kind::Lost`] some time after `wait`.
    pub async fn watch(
        &self,
        prefix: &str,
        since: Version,
        wait: Duration,
    ) -> Result<Change, Error> {
        check_key(Step::Watch, HERE, prefix)?;
        (self.calls.watch)(prefix.to_string(), since, wait).await
    }
}

impl std::fmt::Debug for Store {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Store").finish_non_exhaustive()
    }
}
