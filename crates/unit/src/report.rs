//! What a gate says of its load; it rides on every answer.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The load of one gate at the moment a frame left it.
///
/// An entry reads it late, so it is a hint only: the gate decides.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Requests running at the target now.
    pub running: u16,
    /// Requests waiting, by [`Urgency::rank`](crate::Urgency::rank).
    pub queued: [u16; 3],
    /// Requests the gate lets run at once now.
    pub limit: u16,
    /// Smoothed service time of the target in microseconds.
    pub service_us: u32,
    /// Requests answered since this incarnation began, for the ramp after a cold start.
    pub answered: u32,
    /// How long work takes at the target at this moment, in hundredths of what it usually takes;
    /// 0 where the target doesn't tell.
    pub pace: u16,
    /// Work takes much longer at this moment than it lately did there.
    pub slow: bool,
    /// The target takes no work: it can't be reached, leaves, or is not known yet.
    pub closed: bool,
    /// The gate has no free slot and a queue, and would rather be passed over.
    pub hot: bool,
    /// Milliseconds until the link of the gate's machine has sent the long answers that wait for it or
    /// are expected; 0 where answers are not paced.
    #[serde(default)]
    pub link_ms: u16,
}

impl Report {
    /// Requests waiting over all urgencies.
    pub fn waiting(&self) -> u32 {
        self.queued.iter().map(|count| u32::from(*count)).sum()
    }

    /// Smoothed service time of the target.
    pub fn service(&self) -> Duration {
        Duration::from_micros(u64::from(self.service_us))
    }
}
