//! How a [`Pick`] is made.

use std::time::Duration;

use unit::Zone;

use crate::{Pick, Setting};

/// How a [`Pick`] is made; see [`Pick::builder`].
#[derive(Debug, Clone)]
pub struct Builder {
    pub(crate) zone: Zone,
    pub(crate) way: Duration,
    pub(crate) far: Vec<(Zone, Duration)>,
    pub(crate) seed: u64,
    pub(crate) setting: Setting,
}

impl Builder {
    pub(crate) fn new(zone: Zone) -> Builder {
        Builder {
            zone,
            way: Duration::from_micros(500),
            far: Vec::new(),
            seed: 0,
            setting: Setting::default(),
        }
    }

    /// The delay one way between two zones; 0.5 ms when not said.
    pub fn network_delay(mut self, delay: Duration) -> Builder {
        self.way = delay;
        self
    }

    /// The delay one way to `zone`, where it differs from [`Builder::network_delay`].
    pub fn network_delay_to(mut self, zone: Zone, delay: Duration) -> Builder {
        self.far.retain(|(known, _)| *known != zone);
        self.far.push((zone, delay));
        self
    }

    /// Seeds the random numbers and the subset; each entry takes its own, for its whole life.
    pub fn seed(mut self, seed: u64) -> Builder {
        self.seed = seed;
        self
    }

    /// Everything else that may be set.
    pub fn setting(mut self, setting: Setting) -> Builder {
        self.setting = setting;
        self
    }

    /// A choice without targets; [`Pick::set_targets`] brings them.
    pub fn build(self) -> Pick {
        Pick::new(self)
    }
}
