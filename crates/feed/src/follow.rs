//! Follows the platform's store: announcements and rules.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use roster::{Record, Shared};
use store::{Backoff, Condition, Object, Store};
use tokio::time::{Instant, sleep};
use unit::Version;

use crate::{Current, Error};

/// How long one watch waits at the platform.
const WATCH: Duration = Duration::from_secs(30);

/// Follows one store for one daemon.
pub struct Follow {
    /// The platform's store.
    pub store: Store,
    /// What the keys of announcements begin with.
    pub prefix: String,
    /// The key of the rules.
    pub rules_key: String,
    /// Where announcements go.
    pub roster: Arc<Shared>,
    /// Where rules go.
    pub current: Arc<Current>,
}

impl Follow {
    /// Follows the announcements for ever; `changed` is called behind each change.
    pub async fn instances(&self, changed: impl Fn()) {
        let mut backoff = Backoff::new(Duration::from_millis(50), Duration::from_secs(5), 1);
        loop {
            if let Err(error) = self.follow_instances(&changed, &mut backoff).await {
                log::warn!("feed: {error}.");
            }
            sleep(backoff.pause()).await;
        }
    }

    async fn follow_instances(
        &self,
        changed: &impl Fn(),
        backoff: &mut Backoff,
    ) -> Result<(), Error> {
        let listing = self.store.list(&self.prefix).await?;
        let records: Vec<Record> = listing.objects.iter().filter_map(record).collect();
        let now = Instant::now();
        self.roster
            .with(|roster| roster.apply_listing(now, &records, listing.revision));
        changed();
        backoff.reset();
        let mut since = listing.revision;
        loop {
            let change = self.store.watch(&self.prefix, since, WATCH).await?;
            since = change.revision;
            let now = Instant::now();
            self.roster.with(|roster| {
                for object in &change.changed {
                    if let Some(record) = record(object) {
                        roster.apply_written(now, &record, object.version);
                    }
                }
                for deletion in &change.deleted {
                    let name = deletion.key.strip_prefix(&self.prefix).map(str::parse);
                    if let Some(Ok(name)) = name {
                        roster.apply_deleted(now, &name, deletion.version);
                    }
                }
            });
            changed();
        }
    }

    /// Follows the rules for ever.
    pub async fn rules(&self) {
        let mut backoff = Backoff::new(Duration::from_millis(50), Duration::from_secs(5), 2);
        loop {
            if let Err(error) = self.follow_rules(&mut backoff).await {
                log::warn!("feed: {error}.");
            }
            sleep(backoff.pause()).await;
        }
    }

    async fn follow_rules(&self, backoff: &mut Backoff) -> Result<(), Error> {
        let mut since = Version(0);
        if let Some(object) = self.store.get(&self.rules_key).await? {
            since = object.version;
            self.offer(&object);
        }
        backoff.reset();
        loop {
            let change = self.store.watch(&self.rules_key, since, WATCH).await?;
            since = change.revision;
            for object in change
                .changed
                .iter()
                .filter(|object| object.key == self.rules_key)
            {
                self.offer(object);
            }
        }
    }

    fn offer(&self, object: &Object) {
        let Ok(text) = std::str::from_utf8(&object.value) else {
            log::error!("feed: rules {} are no text.", object.version);
            return;
        };
        // A refusal is logged where it arises, and the last good rules stay.
        drop(self.current.offer(object.version, text));
    }
}

fn record(object: &Object) -> Option<Record> {
    let parsed = serde_json::from_slice(&object.value);
    parsed
        .inspect_err(|e| log::warn!("feed: object {}: {e}.", object.key))
        .ok()
}

/// Writes the announcement of one instance.
///
/// # Errors
///
/// The store's error, or [`Error::Object`] if the record has no JSON form.
pub async fn announce(store: &Store, prefix: &str, record: &Record) -> Result<(), Error> {
    let key = format!("{prefix}{}", record.instance);
    let json = serde_json::to_vec(record).map_err(|e| Error::Object(key.clone(), e.to_string()))?;
    store.put(&key, Bytes::from(json), Condition::Any).await?;
    Ok(())
}
