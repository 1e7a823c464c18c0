//! Selects the targets of a large service that an entry uses.
//!
//! Few targets per entry mean few links and fresher reports. The subset is drawn by rendezvous
//! hashing of the entry's seed with the instance's name: each entry ranks the targets in its own
//! order and takes the first ones. When a target is removed, only the entries that used it replace
//! it; when one is added, only the entries that rank it high enough take it.

use std::collections::BTreeMap;

use unit::Zone;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{Setting, Target};

/// Where an entry is.
#[derive(Debug, Clone, Copy)]
pub struct Place<'a> {
    /// Its zone.
    pub zone: &'a Zone,
    /// Its region; `None` if regions are ignored.
    pub region: Option<&'a str>,
}

/// The targets that the entry with `seed` at `place` uses.
///
/// Up to [`Setting::subset_threshold`] targets, all are used. Above it, these are the first
/// [`Setting::subset_near`] in its zone and the first [`Setting::subset_remote`] of the others; where
/// there are more than these, without those that are leaving. Of the others,
/// [`Setting::subset_abroad`] are in other regions, which take turns, so that a region with many targets leaves room
/// for the entry's own and the other way round; what one side can't use the other gets.
pub fn choose(seed: u64, place: Place<'_>, targets: &[Target], setting: &Setting) -> Vec<Target> {
    if targets.len() <= setting.subset_threshold {
        return targets.to_vec();
    }
    let (mut near, far): (Vec<_>, Vec<_>) = targets
        .iter()
        .partition(|target| target.zone == *place.zone);
    if near.len() > setting.subset_near {
        near = ranked(seed, near);
        near.truncate(setting.subset_near);
    }
    let far = ranked(seed, far).into_iter();
    let (home, abroad): (Vec<_>, Vec<_>) =
        far.partition(|target| place.region.is_none_or(|region| target.region == region));
    let abroad_count = setting.subset_abroad.min(setting.subset_remote);
    let abroad_count = abroad_count.max(setting.subset_remote.saturating_sub(home.len()));
    let abroad_count = abroad_count.min(abroad.len());
    let home_count = setting.subset_remote - abroad_count;
    let home = home.into_iter().take(home_count);
    let abroad = by_turns(abroad).into_iter().take(abroad_count);
    near.into_iter()
        .chain(home)
        .chain(abroad)
        .cloned()
        .collect()
}

/// Orders targets so that their regions take turns, and the order within a region is kept. A request
/// that may be served in one region only needs a target there in the subset.
fn by_turns(targets: Vec<&Target>) -> Vec<&Target> {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    let mut turns: Vec<(usize, &Target)> = Vec::with_capacity(targets.len());
    for target in targets {
        let count = counts.entry(&target.region).or_default();
        turns.push((*count, target));
        *count += 1;
    }
    turns.sort_by_key(|(turn, _)| *turn);
    turns.into_iter().map(|(_, target)| target).collect()
}

/// Those of `targets` that are not leaving, in the order of the entry with `seed`.
fn ranked(seed: u64, targets: Vec<&Target>) -> Vec<&Target> {
    let staying = targets.into_iter().filter(|target| !target.leaving);
    let mut ranked: Vec<(u64, &Target)> =
        staying.map(|target| (rank(seed, target), target)).collect();
    ranked.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.instance.cmp(&b.1.instance)));
    ranked.into_iter().map(|(_, target)| target).collect()
}

fn rank(seed: u64, target: &Target) -> u64 {
    xxh3_64_with_seed(target.instance.as_str().as_bytes(), seed)
}
