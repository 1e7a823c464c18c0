//! The workspaces of a configuration, found by their keys.

use std::collections::{BTreeMap, HashMap};
use std::fmt;

use unit::{Region, Urgency};

use crate::{Key, KeyDigest, Quota, Salt};

/// A workspace with what the configuration says of it, other than its keys.
#[derive(Debug, Clone, PartialEq)]
pub struct Workspace {
    /// Its name.
    pub name: unit::Workspace,
    /// The priority of its requests in place of that of their route; 0 is the highest. `None` if the
    /// routes' priorities apply.
    pub priority: Option<u32>,
    /// The urgency that follows from the priority; `None` without one.
    pub urgency: Option<Urgency>,
    /// How many requests it may send; `None` if it has no quota.
    pub quota: Option<Quota>,
    /// The regions whose targets may serve it; `None` for all.
    pub regions: Option<Vec<Region>>,
}

/// The workspaces of a configuration. It holds digests, and never a key.
#[derive(Clone, PartialEq)]
pub struct Directory {
    salt: Salt,
    workspaces: BTreeMap<unit::Workspace, Workspace>,
    owners: HashMap<KeyDigest, unit::Workspace>,
}

/// Why a workspace can't be added.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Taken {
    /// There is a workspace of this name already.
    Name,
    /// The key at this position of its list belongs to this workspace already, which may be itself.
    Key(usize, unit::Workspace),
}

impl Workspace {
    /// A workspace without priority, quota and limits on regions.
    pub fn named(name: unit::Workspace) -> Workspace {
        Workspace {
            name,
            priority: None,
            urgency: None,
            quota: None,
            regions: None,
        }
    }
}

impl Directory {
    /// A directory without workspaces, whose keys are digested under `salt`.
    pub fn new(salt: Salt) -> Directory {
        Directory {
            salt,
            workspaces: BTreeMap::new(),
            owners: HashMap::new(),
        }
    }

    /// Adds a workspace with the digests of its keys.
    ///
    /// # Errors
    ///
    /// [`Taken`] if its name or one of its keys is there already, also if a key occurs twice in its
    /// own list. The directory must then not be used.
    pub fn add(&mut self, workspace: Workspace, keys: &[KeyDigest]) -> Result<(), Taken> {
        let name = workspace.name.clone();
        if self.workspaces.contains_key(&name) {
            return Err(Taken::Name);
        }
        for (at, key) in keys.iter().enumerate() {
            if let Some(owner) = self.owners.get(key) {
                return Err(Taken::Key(at, owner.clone()));
            }
            self.owners.insert(*key, name.clone());
        }
        self.workspaces.insert(name, workspace);
        Ok(())
    }

    /// The workspace that `key` belongs to; `None` if the key is unknown.
    ///
    /// The digest of the key is looked up, so the time that the lookup takes says nothing about how
    /// much of a guessed key is right.
    pub fn find(&self, key: &Key<'_>) -> Option<&Workspace> {
        let owner = self.owners.get(&self.salt.digest(key))?;
        self.workspaces.get(owner)
    }

    /// The workspace of this name.
    pub fn get(&self, name: &unit::Workspace) -> Option<&Workspace> {
        self.workspaces.get(name)
    }

    /// All workspaces, by name.
    pub fn iter(&self) -> impl Iterator<Item = &Workspace> {
        self.workspaces.values()
    }

    /// Sets the urgency of each workspace that has a priority to what `urgency` says of it.
    pub fn set_urgencies(&mut self, urgency: impl Fn(u32) -> Urgency) {
        for workspace in self.workspaces.values_mut() {
            workspace.urgency = workspace.priority.map(&urgency);
        }
    }

    /// The number of workspaces.
    pub fn len(&self) -> usize {
        self.workspaces.len()
    }

    /// Whether there are no workspaces. Then no key is known.
    pub fn is_empty(&self) -> bool {
        self.workspaces.is_empty()
    }
}

/// Shows no digest: a list of digests helps nobody who reads a log, and a weak key can be guessed from
/// its digest and the salt.
impl fmt::Debug for Directory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Directory")
            .field("workspaces", &self.workspaces)
            .field("keys", &self.owners.len())
            .finish()
    }
}
