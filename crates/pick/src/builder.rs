//! The builder of a [`Pick`].

use std::time::Duration;

use unit::Zone;

use crate::region::Home;
use crate::{Pick, Setting};

/// Builds a [`Pick`]; see [`Pick::builder`].
#[derive(Debug, Clone)]
pub struct Builder {
    pub(crate) zone: Zone,
    pub(crate) network_delay: Duration,
    pub(crate) zone_delays: Vec<(Zone, Duration)>,
    pub(crate) seed: u64,
    pub(crate) setting: Setting,
    pub(crate) home: Option<Home>,
}

impl Builder {
    pub(crate) fn new(zone: Zone) -> Builder {
        Builder {
            zone,
            network_delay: Duration::from_micros(500),
            zone_delays: Vec::new(),
            seed: 0,
            setting: Setting::default(),
            home: None,
        }
    }

    /// Sets the one-way network delay between two zones; 0.5 ms by default.
    pub fn network_delay(mut self, delay: Duration) -> Builder {
        self.network_delay = delay;
        self
    }

    /// Sets the one-way network delay to `zone`, where it differs from [`Builder::network_delay`].
    pub fn network_delay_to(mut self, zone: Zone, delay: Duration) -> Builder {
        self.zone_delays.retain(|(known, _)| *known != zone);
        self.zone_delays.push((zone, delay));
        self
    }

    /// Sets the seed of the random numbers and the subset. Each entry has its own, and keeps it.
    pub fn seed(mut self, seed: u64) -> Builder {
        self.seed = seed;
        self
    }

    /// Sets the region of the entry and the costs of leaving it, which count while the service has
    /// targets in other regions. Without it regions are ignored.
    pub fn home(mut self, home: Home) -> Builder {
        self.home = Some(home);
        self
    }

    /// Sets everything else.
    pub fn setting(mut self, setting: Setting) -> Builder {
        self.setting = setting;
        self
    }

    /// Builds a [`Pick`] without targets; [`Pick::set_targets`] adds them.
    pub fn build(self) -> Pick {
        Pick::new(self)
    }
}
