//! How long, how many and how often: the settings of a roster.

use std::time::Duration;

/// The settings of a [`Roster`](crate::Roster), the same on all daemons; see [`Policy::builder`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Policy {
    pub(crate) beat: Duration,
    pub(crate) suspect: Duration,
    pub(crate) remove: Duration,
    pub(crate) zone: Duration,
    pub(crate) vote: Duration,
    pub(crate) tombstone: Duration,
    pub(crate) grace: Duration,
    pub(crate) quiet: Duration,
    pub(crate) gap: Duration,
    pub(crate) home: usize,
    pub(crate) watchers: usize,
    pub(crate) degree: usize,
    pub(crate) vanish: usize,
}

/// Builds a [`Policy`]; what is not set keeps its default.
#[derive(Debug, Clone, Default)]
pub struct Builder {
    policy: Policy,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy {
            beat: Duration::from_secs(5),
            suspect: Duration::from_secs(16),
            remove: Duration::from_secs(60),
            zone: Duration::from_secs(3_600),
            vote: Duration::from_secs(60),
            tombstone: Duration::from_secs(6 * 3_600),
            grace: Duration::from_secs(60),
            quiet: Duration::from_secs(5),
            gap: Duration::from_millis(200),
            home: 4,
            watchers: 3,
            degree: 8,
            vanish: 16,
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
    ///     .suspect(Duration::from_secs(8))
    ///     .beat(Duration::from_secs(2))
    ///     .build();
    /// assert_eq!(policy.beat(), Duration::from_secs(2));
    /// ```
    pub fn builder() -> Builder {
        Builder::default()
    }

    /// The time between two heartbeats to one observer, before jitter.
    pub fn beat(&self) -> Duration {
        self.beat
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
    beat: Duration,
    /// Silence after which an instance is suspect (16 s: three heartbeats and their jitter).
    suspect: Duration,
    /// Silence after which an observer votes to remove it (60 s).
    remove: Duration,
    /// Silence after which an observer votes when nothing of the zone is heard (1 h: regions
    /// part for minutes, and come back without a removal).
    zone: Duration,
    /// How long a vote counts (60 s); it is repeated while the silence lasts.
    vote: Duration,
    /// How long a record of a gone instance is kept (6 h).
    tombstone: Duration,
    /// How old a record must be before a listing that has never shown it counts against it (60 s).
    grace: Duration,
    /// How long a daemon waits for news before it asks a neighbour (5 s).
    quiet: Duration,
    /// The least average time between two calls that a zone's daemons make to the platform as
    /// their last resort (200 ms).
    gap: Duration,
    /// Observers of an instance inside its zone (4); one of each other zone comes on top.
    home: usize,
    /// Instances of each zone that watch the platform (3).
    watchers: usize,
    /// Most messages that one instance sends in a fan-out tree (8).
    degree: usize,
    /// Most instances that the platform's word alone removes within a minute (16).
    vanish: usize,
}
