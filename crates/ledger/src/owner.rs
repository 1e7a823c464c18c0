//! Selection of the preferred owner of a shard by rendezvous hashing.

use unit::{Digest, Instance};

/// The preferred owner of a shard: the instance with the highest rank for it.
///
/// The result is only a hint. Daemons with different rosters may compute different owners; the
/// version check on the head keeps that safe, at the cost of a reload for each change of owner.
pub(crate) fn owner(shard: u16, instances: &[Instance]) -> Option<&Instance> {
    let rank = |instance: &&Instance| {
        let shard = shard.to_le_bytes();
        Digest::of_parts(&[&shard, instance.as_str().as_bytes()])
    };
    instances.iter().max_by_key(rank)
}
