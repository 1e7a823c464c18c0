//! The time limits, counts and rates of a roster.

use std::time::Duration;

/// The settings of a [`Roster`](crate::Roster), the same on all daemons; see [`Policy::builder`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Policy {
    pub(crate) heartbeat_interval: Duration,
    pub(crate) suspect_after: Duration,
    pub(crate) remove_after: Duration,
    pub(crate) remove_zone_after: Duration,
    pub(crate) vote_ttl: Duration,
    pub(crate) tombstone_ttl: Duration,
    pub(crate) grace: Duration,
    pub(crate) update_timeout: Duration,
    pub(crate) fallback_interval: Duration,
    pub(crate) zone_observers: usize,
    pub(crate) watchers: usize,
    pub(crate) fanout: usize,
    pub(crate) max_listing_removals: usize,
    pub(crate) sparse: bool,
}

/// Builds a [`Policy`]; a setting that is not given keeps its default.
#[derive(Debug, Clone, Default)]
pub struct Builder {
    policy: Policy,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy {
            heartbeat_interval: Duration::from_secs(5),
            suspect_after: Duration::from_secs(16),
            remove_after: Duration::from_secs(60),
            remove_zone_after: Duration::from_secs(3_600),
            vote_ttl: Duration::from_secs(60),
            tombstone_ttl: Duration::from_secs(6 * 3_600),
            grace: Duration::from_secs(60),
            update_timeout: Duration::from_secs(5),
            fallback_interval: Duration::from_millis(200),
            zone_observers: 4,
            watchers: 3,
            fanout: 8,
            max_listing_removals: 16,
            sparse: false,
        }
    }
}

impl Policy {
    /// Returns a builder that starts from the defaults.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let policy = roster::Policy::builder()
    ///     .suspect_after(Duration::from_secs(8))
    ///     .heartbeat_interval(Duration::from_secs(2))
    ///     .build();
    /// assert_eq!(policy.heartbeat_interval(), Duration::from_secs(2));
    /// ```
    pub fn builder() -> Builder {
        Builder::default()
    }

    /// The time between two heartbeats to one observer, before jitter.
    pub fn heartbeat_interval(&self) -> Duration {
        self.heartbeat_interval
    }

    /// How many instances of each zone watch the platform.
    pub fn watchers(&self) -> usize {
        self.watchers
    }
}

macro_rules! set {
    ($($(#[$doc:meta])* $field:ident: $type:ty),* $(,)?) => {
        impl Builder {
            $(
                $(#[$doc])*
                pub fn $field(mut self, $field: $type) -> Builder {
                    self.policy.$field = $field;
                    self
                }
            )*

            /// Returns the policy.
            pub fn build(self) -> Policy {
                self.policy
            }
        }
    };
}

set! {
    /// Time between two heartbeats to one observer (5 s).
    heartbeat_interval: Duration,
    /// Silence after which an instance is suspect (16 s: three heartbeats and their jitter).
    suspect_after: Duration,
    /// Silence after which an observer votes to remove an instance (60 s).
    remove_after: Duration,
    /// Silence after which an observer votes to remove an instance while nothing is received from
    /// its whole zone (1 h: network partitions between regions last minutes and should heal
    /// without removals).
    remove_zone_after: Duration,
    /// How long a vote counts (60 s). An observer repeats its vote while the silence lasts.
    vote_ttl: Duration,
    /// How long the record of a gone instance is kept (6 h).
    tombstone_ttl: Duration,
    /// The age from which a record that no listing has shown counts as missing from a listing
    /// (60 s).
    grace: Duration,
    /// How long a daemon waits for an update before it asks a neighbour (5 s).
    update_timeout: Duration,
    /// The least average time between two fallback calls to the platform by all daemons of a zone
    /// together (200 ms).
    fallback_interval: Duration,
    /// Observers of an instance inside its own zone (4). Each other zone adds one.
    zone_observers: usize,
    /// Instances of each zone that watch the platform (3).
    watchers: usize,
    /// The most instances to which one instance relays a message in a fan-out tree (8).
    fanout: usize,
    /// The most silent instances that listings alone may remove within a minute (16).
    max_listing_removals: usize,
    /// Whether only some instances are announced on the platform (false). The absence of an object
    /// then says nothing of an instance that no listing has shown.
    sparse: bool,
}
