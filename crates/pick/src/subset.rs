//! Selects the targets of a large service that an entry uses.
//!
//! Few targets per entry mean few links and fresher reports. The subset is drawn by rendezvous
//! hashing of the entry's seed with the instance's name: each entry ranks the targets in its own
//! order and takes the first ones. When a target is removed, only the entries that used it replace
//! it; when one is added, only the entries that rank it high enough take it.

use unit::Zone;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{Setting, Target};

/// The targets that the entry with `seed` in `zone` uses.
///
/// Up to [`Setting::subset_threshold`] targets, all are used. Above it, these are all targets in
/// `zone` and the first [`Setting::subset_remote`] of the others that are not leaving.
pub fn choose(seed: u64, zone: &Zone, targets: &[Target], setting: &Setting) -> Vec<Target> {
    if targets.len() <= setting.subset_threshold {
        return targets.to_vec();
    }
    let (near, far): (Vec<_>, Vec<_>) = targets.iter().partition(|target| target.zone == *zone);
    let mut ranked: Vec<(u64, &Target)> = far
        .into_iter()
        .filter(|target| !target.leaving)
        .map(|target| (rank(seed, target), target))
        .collect();
    ranked.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.instance.cmp(&b.1.instance)));
    ranked.truncate(setting.subset_remote);
    let far = ranked.into_iter().map(|(_, target)| target);
    near.into_iter().chain(far).cloned().collect()
}

fn rank(seed: u64, target: &Target) -> u64 {
    xxh3_64_with_seed(target.instance.as_str().as_bytes(), seed)
}
