//! Reading a shard from the store: the layout, the head, the segments.

use futures_util::{TryStreamExt, stream};
use store::{Condition, Error, Object, Store};
use tokio::sync::OnceCell;
use unit::{Digest, Version};

use crate::error::Kind;
use crate::head::{Head, layout_key, parse_segment};
use crate::lane::Lane;
use crate::slot::{Generation, Piece};

/// Segments that are read at the same time; a bound for memory and for the platform's rate.
const READERS: usize = 16;

/// The number of shards, as the store has it.
///
/// Two daemons with different numbers would look for one key in different shards and would both
/// grant it. So the first daemon writes the number, and each compares before its first claim.
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
        let checked = self.checked.get_or_try_init(|| self.compare(store));
        checked.await.copied()
    }

    async fn compare(&self, store: &Store) -> Result<(), Kind> {
        let found = store.get(&self.key).await.map_err(Kind::Store)?;
        let object = match found {
            Some(object) => Some(object),
            None => self.lay_out(store).await.map_err(Kind::Store)?,
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

    /// Writes our number, unless another daemon is faster, and reads back what stands.
    async fn lay_out(&self, store: &Store) -> Result<Option<Object>, Error> {
        let mine = self.shards.to_string();
        match store.put(&self.key, mine.into(), Condition::Absent).await {
            Err(error) if !error.is_conflict() && !error.may_have_written() => Err(error),
            Ok(_) | Err(_) => store.get(&self.key).await,
        }
    }
}

/// Reads the head, and the keys of the segments that the index lacks.
pub(crate) async fn head(lane: &Lane) -> Result<(Head, Option<Version>), Kind> {
    lane.layout.check(&lane.store).await?;
    let key = lane.path.head();
    let object = lane.store.get(&key).await.map_err(Kind::Store)?;
    let Some(object) = object else {
        return Ok((Head::empty(), None));
    };
    let head = Head::decode(&object.value).ok_or(Kind::Garbled(key))?;
    let missing = lane.shard.lock().missing(&head);
    stream::iter(missing.into_iter().map(Ok))
        .try_for_each_concurrent(READERS, |number| index(lane, number))
        .await?;
    Ok((head, Some(object.version)))
}

async fn index(lane: &Lane, number: u64) -> Result<(), Kind> {
    // A segment that the head counts and the store lacks was deleted by another owner since we
    // read the head. The load fails, and the next one reads a newer head.
    let missing = || Kind::Store(gone(lane, number));
    let generation = segment(lane, number).await?.ok_or_else(missing)?;
    lane.shard.lock().index.insert(number, &generation);
    Ok(())
}

fn gone(lane: &Lane, number: u64) -> store::Error {
    let key = lane.path.segment(number);
    let kind = store::Kind::Garbled(format!("{key} is missing"));
    store::Error::new(store::Step::Get, "store", kind)
}

async fn segment(lane: &Lane, number: u64) -> Result<Option<Generation>, Kind> {
    let key = lane.path.segment(number);
    let Some(object) = lane.store.get(&key).await.map_err(Kind::Store)? else {
        return Ok(None);
    };
    let generation = parse_segment(&object.value);
    generation.map(Some).ok_or(Kind::Garbled(key))
}

/// Reads what segments say of a key, the newest first, up to its newest claim.
///
/// Answers `None` when a segment is gone, and has the head loaded anew: either the retention of
/// another owner has dropped it, or the load will fail.
pub(crate) async fn pieces(
    lane: &Lane,
    key: Digest,
    numbers: &[u64],
) -> Result<Option<Vec<Piece>>, Kind> {
    let mut pieces = Vec::new();
    for number in numbers {
        let Some(generation) = segment(lane, *number).await? else {
            let mut shard = lane.shard.lock();
            shard.index.remove(*number);
            shard.reload = true;
            return Ok(None);
        };
        pieces.extend(generation.piece(key));
        if let Some(Piece::Claim(_)) = pieces.last() {
            break;
        }
    }
    Ok(Some(pieces))
}
