//! Regions: demand that swings, and the ways to decide on leaving one.

use pick::region::Home;
use pick::{Builder, Moved, Setting};
use tokio::time::Instant;
use unit::Region;

use super::{World, parsed};
use crate::policy::scenario::Abroad;

/// Bytes of the calls of each caller, head and answer together: checks, reads, and two callers with
/// downloads.
const BYTES: [u64; 8] = [1_500, 1_500, 2_000, 2_000, 90_000, 2_000, 2_000, 2_000];
/// A budget may be saved up for this many seconds.
const SAVED_SECONDS: f64 = 1.0;
/// Load relative to the mean that the targets of a region take with the weights.
const TAKEN: f64 = 1.2;

/// Calls to other regions, and their bytes.
#[derive(Debug, Default)]
pub(super) struct Sum {
    pub(super) calls: usize,
    pub(super) bytes: u64,
}

/// What an entry knows for its decisions on other regions.
#[derive(Debug, Default)]
pub(super) struct State {
    /// Bytes that may be sent.
    budget: f64,
    /// Smoothed arrivals a second over a second, and over all time.
    recent: f64,
    count: f64,
    last: Option<Instant>,
}

impl World {
    pub(super) fn region(&self, place: usize) -> String {
        let count = self.scenario.regions.map_or(1, |regions| regions.count);
        let zone = place % self.scenario.zones;
        format!("r{}", zone * count / self.scenario.zones)
    }

    pub(super) fn regional(&self, place: usize, builder: Builder) -> Builder {
        let builder = builder.setting(Setting {
            by_class: self.mode.by_class,
            ..Setting::default()
        });
        let Some(regions) = self.scenario.regions else {
            return builder;
        };
        let mut home = Home::new(self.region(place), regions.way);
        match self.mode.abroad {
            Abroad::Ignored => return builder,
            Abroad::Priced => {}
            Abroad::Budget(_) | Abroad::Weighted => home.price = 0.0,
        }
        builder.home(home)
    }

    /// Draws the entry of a call, by the demand of its zone now.
    pub(super) fn draw_entry(&mut self, living: &[usize]) -> usize {
        let Some(regions) = self.scenario.regions else {
            return living[self.draw.below(living.len())];
        };
        let period = regions.period.as_secs_f64();
        let zones = self.scenario.zones;
        let at = (self.now - self.base).as_secs_f64() / period;
        loop {
            let entry = living[self.draw.below(living.len())];
            // Neighbouring zones, which are in one region, have neighbouring phases.
            let phase = (at + (entry % zones) as f64 / zones as f64).fract();
            // A triangle from -1 to 1, by plain arithmetic.
            let wave = 1.0 - 4.0 * (phase - 0.5).abs();
            let demand = (1.0 + regions.swing * wave) / (1.0 + regions.swing);
            if (self.draw.below(1_000_000) as f64) < demand * 1e6 {
                return entry;
            }
        }
    }

    /// The regions in which a call may be served by the mode.
    pub(super) fn allowed(&mut self, number: usize) -> Option<Vec<Region>> {
        let regions = self.scenario.regions?;
        let (entry, caller) = (self.calls[number].entry, self.calls[number].caller);
        let home = self.region(entry);
        let state = &mut self.places[entry].abroad;
        let passed = state
            .last
            .map_or(0.0, |last| (self.now - last).as_secs_f64());
        state.last = Some(self.now);
        state.recent = state.recent * (1.0 - passed).max(0.0) + 1.0;
        state.count += 1.0;
        match self.mode.abroad {
            Abroad::Ignored | Abroad::Priced => None,
            Abroad::Budget(rate) => {
                let rate = rate as f64;
                state.budget = (state.budget + passed * rate).min(rate * SAVED_SECONDS);
                let empty = state.budget < BYTES[caller] as f64;
                empty.then(|| vec![parsed(&home)])
            }
            Abroad::Weighted => {
                let mean = state.count / (self.now - self.base).as_secs_f64().max(1.0);
                let excess = (1.0 - TAKEN * mean / state.recent.max(1.0)).max(0.0);
                let leaves = (self.draw.below(1_000_000) as f64) < excess * 1e6;
                let others = (0..regions.count).map(|region| format!("r{region}"));
                let others = others.filter(|region| *region != home);
                Some(match leaves {
                    true => others.map(|region| parsed(&region)).collect(),
                    false => vec![parsed(&home)],
                })
            }
        }
    }

    /// Counts the bytes of a try, and lets the entry learn them.
    pub(super) fn move_bytes(&mut self, call: usize, target: usize) {
        let (entry, caller) = (self.calls[call].entry, self.calls[call].caller);
        let (from, to) = (self.region(entry), self.region(target));
        if self.scenario.regions.is_none() {
            return;
        }
        let bytes = BYTES[caller];
        if from != to {
            self.abroad.calls += 1;
            self.abroad.bytes += bytes;
            self.places[entry].abroad.budget -= bytes as f64;
        }
        let moved = Moved {
            class: caller as u32 + 1,
            bytes,
            complete: true,
        };
        self.places[entry].pick.record_bytes(self.now, &to, &moved);
    }
}
