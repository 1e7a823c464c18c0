//! Loading a shard from the store: the layout, the head, and the segments.

use futures_util::{TryStreamExt, stream};
use store::{Condition, Error, Object, Store};
use tokio::sync::OnceCell;
use unit::{Digest, Version};

use crate::driver::Driver;
use crate::error::Kind;
use crate::head::{Head, decode_segment, layout_key};
use crate::slot::{Event, Generation};

/// Segments read concurrently; this bounds memory and the load on the platform's rate limit.
const CONCURRENT_READS: usize = 16;

/// The number of shards in the store.
///
/// Two daemons with different numbers would look for a key in different shards, and both would
/// grant it. So the first daemon writes its number, and each daemon compares its own with it before
/// its first claim.
pub(crate) struct Layout {
    key: String,
    shards: u16,
    checked: OnceCell<()>,
}

impl Layout {
    pub(crate) fn new(prefix: &str, shards: u16) -> Layout {
        Layout {
            key: layout_key(prefix),
            shards,
            checked: OnceCell::new(),
        }
    }

    async fn check(&self, store: &Store) -> Result<(), Kind> {
        let checked = self.checked.get_or_try_init(|| self.verify(store));
        checked.await.copied()
    }

    async fn verify(&self, store: &Store) -> Result<(), Kind> {
        let found = store.get(&self.key).await.map_err(Kind::Store)?;
        let object = match found {
            Some(object) => Some(object),
            None => self.write_layout(store).await.map_err(Kind::Store)?,
        };
        let garbled = || Kind::Garbled(self.key.clone());
        let object = object.ok_or_else(garbled)?;
        let text = str::from_utf8(&object.value).map_err(|_| garbled())?;
        let shards: u16 = text.parse().map_err(|_| garbled())?;
        if shards != self.shards {
            return Err(Kind::LayoutMismatch(shards));
        }
        Ok(())
    }

    /// Writes the number of this daemon unless another has written one, and reads back what is
    /// stored.
    async fn write_layout(&self, store: &Store) -> Result<Option<Object>, Error> {
        let mine = self.shards.to_string();
        match store.put(&self.key, mine.into(), Condition::Absent).await {
            Err(error) if !error.is_conflict() && !error.may_have_written() => Err(error),
            Ok(_) | Err(_) => store.get(&self.key).await,
        }
    }
}

/// Reads the head, and indexes the segments that the index lacks.
pub(crate) async fn head(driver: &Driver) -> Result<(Head, Option<Version>), Kind> {
    driver.layout.check(&driver.store).await?;
    let key = driver.object_keys.head();
    let object = driver.store.get(&key).await.map_err(Kind::Store)?;
    let Some(object) = object else {
        return Ok((Head::empty(), None));
    };
    let head = Head::decode(&object.value).ok_or(Kind::Garbled(key))?;
    let missing = driver.shard.lock().missing(&head);
    stream::iter(missing.into_iter().map(Ok))
        .try_for_each_concurrent(CONCURRENT_READS, |number| index_segment(driver, number))
        .await?;
    Ok((head, Some(object.version)))
}

async fn index_segment(driver: &Driver, number: u64) -> Result<(), Kind> {
    // Another owner may have deleted the segment since the head was read. The load fails, and the
    // next one reads a newer head.
    let missing = || Kind::Store(missing_segment(driver, number));
    let generation = read_segment(driver, number).await?.ok_or_else(missing)?;
    driver.shard.lock().index.insert(number, &generation);
    Ok(())
}

fn missing_segment(driver: &Driver, number: u64) -> store::Error {
    let key = driver.object_keys.segment(number);
    let kind = store::Kind::Garbled(format!("{key} is missing"));
    store::Error::new(store::Step::Get, "store", kind)
}

async fn read_segment(driver: &Driver, number: u64) -> Result<Option<Generation>, Kind> {
    let key = driver.object_keys.segment(number);
    let Some(object) = driver.store.get(&key).await.map_err(Kind::Store)? else {
        return Ok(None);
    };
    let generation = decode_segment(&object.value);
    generation.map(Some).ok_or(Kind::Garbled(key))
}

/// Reads the events of a key from segments, the newest first, up to its newest claim.
///
/// Returns `None` when a segment is missing, and requests a reload of the head: either another
/// owner has deleted the segment after the retention, or the reload will fail.
pub(crate) async fn events(
    driver: &Driver,
    key: Digest,
    numbers: &[u64],
) -> Result<Option<Vec<Event>>, Kind> {
    let mut events = Vec::new();
    for number in numbers {
        let Some(generation) = read_segment(driver, *number).await? else {
            let mut shard = driver.shard.lock();
            shard.index.remove(*number);
            shard.needs_load = true;
            return Ok(None);
        };
        events.extend(generation.event(key));
        if let Some(Event::Claim(_)) = events.last() {
            break;
        }
    }
    Ok(Some(events))
}
