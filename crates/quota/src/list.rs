//! The list of allocators, as it stands in the store.

use serde::{Deserialize, Serialize};
use unit::{Era, Incarnation, Instance, Version, Workspace};

/// One life of one daemon.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// The daemon's instance.
    pub instance: Instance,
    /// Which life of it.
    pub incarnation: Incarnation,
}

/// The allocators of the fleet, as they stand in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct List {
    /// Counts the lists; each is one above the one that it replaces.
    pub number: u64,
    /// The era of the store in which the list was written. In another one it may be older than a list
    /// that was in force.
    #[serde(default)]
    pub era: Era,
    /// Whether all takeovers under this list are complete and nothing of the margin is in use.
    pub settled: bool,
    /// Whether the list before this one was settled, so that takeovers under this one may use the margin.
    #[serde(default)]
    pub follows_settled: bool,
    /// Whether `daemons` and `leaving` name all that may hold loans by former lists.
    #[serde(default)]
    pub complete: bool,
    /// The number of daemons for which the even share of a limit is split.
    pub fleet: u32,
    /// The allocators.
    pub allocators: Vec<Member>,
    /// The daemons that may borrow; empty if all may.
    #[serde(default)]
    pub daemons: Vec<Instance>,
    /// Daemons that may not borrow any more, but may hold loans by former lists.
    #[serde(default)]
    pub leaving: Vec<Instance>,
}

impl List {
    /// Whether the list was written in the era in which it is read at `version`.
    pub fn is_of_era(&self, version: Version) -> bool {
        self.era == version.era
    }

    /// Whether a daemon may borrow.
    pub fn may_borrow(&self, instance: &Instance) -> bool {
        self.daemons.is_empty() || self.daemons.binary_search(instance).is_ok()
    }

    /// The allocator of a workspace, by rendezvous hashing; `None` if the list is empty.
    pub fn allocator(&self, workspace: &Workspace) -> Option<&Member> {
        self.allocators
            .iter()
            .max_by_key(|member| (weight(member, workspace), &member.instance))
    }
}

/// The incarnation has no part in it, so that a restart moves no other workspace.
fn weight(member: &Member, workspace: &Workspace) -> u64 {
    let mut state = xxhash_rust::xxh3::Xxh3::new();
    state.update(member.instance.as_str().as_bytes());
    state.update(&[0]);
    state.update(workspace.as_str().as_bytes());
    state.digest()
}
