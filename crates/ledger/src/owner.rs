//! Which instance should own a shard: rendezvous hashing.

use unit::{Digest, Instance};

/// The instance that should own a shard: the one of the highest rank among those given.
///
/// It is a hint. Daemons whose rosters differ may name different owners; the version check on the
/// head keeps that safe, and costs a reload for each change of hands.
pub(crate) fn owner(shard: u16, instances: &[Instance]) -> Option<&Instance> {
    let rank = |instance: &&Instance| {
        let shard = shard.to_le_bytes();
        Digest::of_parts(&[&shard, instance.as_str().as_bytes()])
    };
    instances.iter().max_by_key(rank)
}
