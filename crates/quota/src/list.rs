//! The list of allocators, as it stands in the store.

use serde::{Deserialize, Serialize};
use unit::{Incarnation, Instance, Workspace};

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
    /// Whether nothing of the margin was in use when the list was written.
    pub settled: bool,
    /// The number of daemons for which the even share of a limit is split.
    pub fleet: u32,
    /// The allocators.
    pub allocators: Vec<Member>,
}

impl List {
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
