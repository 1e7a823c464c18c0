//! Workspaces whose keys and quotas change while their customers go on.

use std::sync::atomic::{AtomicUsize, Ordering};

use parking_lot::Mutex;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use unit::Rate;
use workspace::Quota;

use crate::workspaces::{History, Member, Members};

/// Workspaces of a run. The first two have no quota, and the first keeps its keys.
pub(crate) const WORKSPACES: usize = 5;
/// Those before this one have no quota.
pub(crate) const FIRST_QUOTA: usize = 2;
/// The key of the first workspace that nobody takes away.
pub(crate) const STEADY_KEY: &str = "key-w0-0";
/// Keys that each workspace has at once.
const KEYS: usize = 3;
/// The quotas at the start.
const QUOTAS: [(f64, u32); WORKSPACES - FIRST_QUOTA] = [(40.0, 20), (10.0, 5), (3.0, 2)];
/// Of the requests, this share is sent by the hot workspace, if there is one.
const HOT_SHARE: f64 = 0.7;
/// Of the requests, these shares show a key that was taken away, one that never was any, and none.
const REMOVED_SHARE: f64 = 0.15;
const UNKNOWN_SHARE: f64 = 0.03;
const KEYLESS_SHARE: f64 = 0.03;

/// The workspaces of a run, as the operator has them in mind and as the rules had them.
pub(crate) struct Customers {
    /// What the next version of the rules says.
    members: Mutex<Members>,
    removed: Mutex<Vec<String>>,
    hot: Mutex<Option<usize>>,
    keys: AtomicUsize,
    pub(crate) history: Mutex<History>,
}

impl Customers {
    pub(crate) fn new() -> Customers {
        let members = (0..WORKSPACES).map(|number| {
            let quota = number
                .checked_sub(FIRST_QUOTA)
                .map(|place| quota(QUOTAS[place]));
            let keys = (0..KEYS)
                .map(|key| format!("key-w{number}-{key}"))
                .collect();
            (name(number), Member { keys, quota })
        });
        Customers {
            members: Mutex::new(members.collect()),
            removed: Mutex::default(),
            hot: Mutex::default(),
            keys: AtomicUsize::new(KEYS),
            history: Mutex::default(),
        }
    }

    /// What the next version of the rules says.
    pub(crate) fn members(&self) -> Members {
        self.members.lock().clone()
    }

    /// Replaces the oldest key of a workspace from the next version of the rules on.
    pub(crate) fn replace_key(&self, number: usize) {
        let next = self.keys.fetch_add(1, Ordering::Relaxed);
        let mut members = self.members.lock();
        let Some(member) = members.get_mut(&name(number)) else {
            return;
        };
        member.keys.push(format!("key-w{number}-{next}"));
        self.removed.lock().push(member.keys.remove(0));
    }

    /// Changes the quota of a workspace from the next version of the rules on.
    pub(crate) fn change_quota(&self, number: usize, rate: f64, burst: u32) {
        if let Some(member) = self.members.lock().get_mut(&name(number)) {
            member.quota = Some(quota((rate, burst)));
        }
    }

    /// From now on most requests are those of this workspace, or of none.
    pub(crate) fn heat(&self, number: Option<usize>) {
        *self.hot.lock() = number;
    }

    /// Draws the key of a request; `None` if it shows none.
    pub(crate) fn draw(&self, random: &mut Pcg64Mcg) -> Option<String> {
        let chance = random.random::<f64>();
        if chance < KEYLESS_SHARE {
            return None;
        }
        if chance < KEYLESS_SHARE + UNKNOWN_SHARE {
            return Some("key-nobody".to_string());
        }
        let removed = self.removed.lock();
        if !removed.is_empty() && random.random_bool(REMOVED_SHARE) {
            return Some(removed[random.random_range(0..removed.len())].clone());
        }
        let hot = (*self.hot.lock()).filter(|_| random.random_bool(HOT_SHARE));
        let number = hot.unwrap_or_else(|| random.random_range(0..WORKSPACES));
        let members = self.members.lock();
        let keys = &members.get(&name(number))?.keys;
        Some(keys[random.random_range(0..keys.len())].clone())
    }
}

fn name(number: usize) -> String {
    format!("w{number}")
}

fn quota((rate, burst): (f64, u32)) -> Quota {
    Quota {
        rate: Rate::of(rate),
        burst,
    }
}
