//! Limits the concurrent requests of each caller at one entry.

use std::collections::BTreeMap;
use std::sync::Arc;

use parking_lot::Mutex;
use quick_error::quick_error;
use serde::Serialize;
use unit::Caller;

quick_error! {
    /// Why a request is not admitted. It has not run.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The caller has reached its limit of concurrent requests at this entry.
        Caller(caller: Caller, limit: u32) {
            display("admit: caller {caller} already has {limit} requests at this entry")
        }
        /// The entry has reached its limit of callers with requests in flight.
        Table(caller: Caller, limit: usize) {
            display("admit: caller {caller} is one more than the {limit} callers of this entry")
        }
    }
}

/// Limits on concurrent requests at an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Setting {
    /// Concurrent requests of one caller.
    pub each: u32,
    /// Callers with requests in flight.
    pub callers: usize,
}

impl Default for Setting {
    fn default() -> Setting {
        Setting {
            each: 256,
            callers: 10_000,
        }
    }
}

/// Counts the requests of each caller at one entry. Clones share the counts.
///
/// Only callers with requests in flight have an entry in the table, which bounds its size.
#[derive(Debug, Clone)]
pub struct Table {
    setting: Setting,
    running: Arc<Mutex<BTreeMap<Caller, u32>>>,
}

/// An admitted request; dropping the guard releases its slot.
#[derive(Debug)]
#[must_use = "a dropped guard releases its slot"]
pub struct Guard {
    caller: Caller,
    running: Arc<Mutex<BTreeMap<Caller, u32>>>,
}

impl Table {
    /// An empty table.
    pub fn new(setting: Setting) -> Table {
        Table {
            setting,
            running: Arc::default(),
        }
    }

    /// Admits a request of `caller`.
    ///
    /// # Errors
    ///
    /// [`Error::Caller`] when the caller has reached its limit, [`Error::Table`] when too many
    /// other callers have requests in flight.
    pub fn admit(&self, caller: &Caller) -> Result<Guard, Error> {
        let mut running = self.running.lock();
        let count = running.get(caller).copied().unwrap_or(0);
        if count >= self.setting.each {
            return Err(Error::Caller(caller.clone(), self.setting.each));
        }
        if count == 0 && running.len() >= self.setting.callers {
            return Err(Error::Table(caller.clone(), self.setting.callers));
        }
        running.insert(caller.clone(), count + 1);
        Ok(Guard {
            caller: caller.clone(),
            running: Arc::clone(&self.running),
        })
    }

    /// Requests of `caller` in flight.
    pub fn running(&self, caller: &Caller) -> u32 {
        self.running.lock().get(caller).copied().unwrap_or(0)
    }

    /// Callers with requests in flight.
    pub fn callers(&self) -> usize {
        self.running.lock().len()
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let mut running = self.running.lock();
        let left = running
            .get(&self.caller)
            .map_or(0, |count| count.saturating_sub(1));
        if left == 0 {
            running.remove(&self.caller);
            return;
        }
        running.insert(self.caller.clone(), left);
    }
}
