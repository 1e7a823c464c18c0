//! Heartbeats of the target, and their effects.

use std::time::Duration;

use unit::Incarnation;

/// A heartbeat of the target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// The name of the life that sent it.
    pub life: String,
    /// When that life started, by the target's clock; `None` if the heartbeat doesn't say.
    pub born: Option<Incarnation>,
    /// Whether the target accepts new requests.
    pub ready: bool,
    /// Maximum number of requests that the target runs at once.
    pub slots: u16,
    /// How much longer the target is slow after its start.
    pub cold: Duration,
    /// Increases with each heartbeat of one life.
    pub sequence: u64,
}

/// The effect of a heartbeat on what is known of the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// The stage or the number of slots changed; the gate must be notified.
    Changed,
    /// The target has restarted; what was known of its former run no longer applies.
    Restarted,
    /// The heartbeat changed nothing that the gate depends on.
    Unchanged,
    /// The heartbeat arrived late and was ignored.
    Late,
    /// The heartbeat has no start time, although earlier ones of the same life had one. It comes from
    /// another sender and was ignored.
    Undated,
    /// The heartbeat names another life although the known one sent a heartbeat or answered a health
    /// check a moment ago. Only the target itself can tell which of the two is current.
    Conflicting,
}

impl Effect {
    /// Whether the heartbeat comes from the current life and is not outdated.
    pub(crate) fn is_accepted(self) -> bool {
        matches!(
            self,
            Effect::Changed | Effect::Restarted | Effect::Unchanged
        )
    }
}
