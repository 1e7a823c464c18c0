//! How long, how many and how often: the settings of a roster.

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
}

/// Builds a [`Policy`]; what is not set keeps its default.
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
        }
    }
}

impl Policy {
    /// Starts from the defaults.
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

            /// The policy as set.
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
    /// Silence after which an observer votes to remove it (60 s).
    remove_after: Duration,
    /// Silence after which an observer votes when nothing of the zone is heard (1 h: regions
    /// part for minutes, and come back without a removal).
    remove_zone_after: Duration,
    /// How long a vote counts (60 s); it is repeated while the silence lasts.
    vote_ttl: Duration,
    /// How long a record of a gone instance is kept (6 h).
    tombstone_ttl: Duration,
    /// How old a record must be before a listing that has never shown it counts against it (60 s).
    grace: Duration,
    /// How long a daemon waits for news before it asks a neighbour (5 s).
    update_timeout: Duration,
    /// The least average time between two calls that a zone's daemons make to the platform as
    /// their last resort (200 ms).
    fallback_interval: Duration,
    /// Observers of an instance inside its zone (4); one of each other zone comes on top.
    zone_observers: usize,
    /// Instances of each zone that watch the platform (3).
    watchers: usize,
    /// Most messages that one instance sends in a fan-out tree (8).
    fanout: usize,
    /// Most instances that the platform's word alone removes within a minute (16).
    max_listing_removals: usize,
}
