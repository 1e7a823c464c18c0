//! Rendezvous hashing: a fixed pseudo-random order that all daemons compute alike.

use unit::Instance;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Hashes a name. [`mixed`] combines two of these keys without reading the names again.
pub(crate) fn key(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// The rank of `candidate` for `subject`; the lowest is chosen first.
///
/// The two keys are mixed by the finaliser of SplitMix64. Finding a zone's observers takes hundreds
/// of thousands of ranks after each change of membership, and hashing the names each time would
/// cost about ten times as much.
pub(crate) fn mixed(subject: u64, candidate: u64) -> u64 {
    let mut x = subject.rotate_left(32) ^ candidate;
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// The sort key of `instance` in the order that `seed` selects.
pub(crate) fn seeded(seed: u64, instance: &Instance) -> u64 {
    xxh3_64_with_seed(instance.as_str().as_bytes(), seed)
}
