//! What the platform that a daemon runs on makes different.

use std::time::Duration;

use dialect::Dialect;
use pick::region::{Home, REGION_DELAY};
use pick::retry;
use setting::Setting;

pub use setting::Links;

/// What the platform that a daemon runs on makes different; [`Profile::default`] is the product's own
/// interface.
#[derive(Clone, Default)]
pub struct Profile {
    /// What headers of requests and answers are called.
    pub dialect: Dialect,
    /// How daemons reach each other.
    pub links: Links,
    /// How the roster observes the instances.
    pub policy: roster::Policy,
    /// How long the feed waits at the platform.
    pub pace: feed::Pace,
    /// Whether announcements outlive a restart; see [`feed::Builder::standing`].
    pub standing: bool,
    /// Whether only some daemons are announced; see [`feed::Builder::sparse`].
    pub sparse: bool,
    /// Whether the rules are read at intervals beside the watches; see [`feed::Builder::confirm`].
    pub check_rules: bool,
    /// Fleets below this size announce all; see [`feed::Builder::announce_below`].
    pub announce_below: usize,
    /// The time between two heartbeats of a target that announces itself to its daemon; `None`
    /// where the settings say all about it.
    pub heartbeat: Option<Duration>,
    /// The budget for tries behind the first, for each service. Its cap is shared by all entries.
    pub retry: retry::Setting,
    /// How many gates may refuse one request; see [`entry::Builder::max_handovers`].
    pub hand_overs: Option<u32>,
    /// How long a request waits for a link; see [`entry::Builder::link_timeout`].
    pub link_within: Option<Duration>,
    /// How targets are chosen.
    pub choice: pick::Setting,
    /// The region and the costs of leaving it; `None` where regions are ignored.
    pub home: Option<Home>,
    /// Callers and the own target use one port, where the target is known by its address.
    pub one_port: bool,
}

/// Announcements that fit on a page of a listing.
const PAGE: usize = 200;

/// How long a watch waits at a store whose connections are probed.
const LONG_WATCH: Duration = Duration::from_secs(25);

/// Over what time changes of announcements are read in one go. With one target added each half second
/// for 17 s, each watcher makes 6 calls in place of 34; who is added tells the others itself.
const GATHER: Duration = Duration::from_secs(3);

/// The longest pause between two calls to a store that fails. What an operator has changed during
/// an outage is then in force soon after it.
const LONGEST_PAUSE: Duration = Duration::from_millis(1_500);

/// The part of the retry budget that entries use. Repeats that they can't tell from first tries,
/// such as the calls of a run that is itself a repeat, have the rest.
const RETRY_PART: f64 = 0.5;

/// What a call to another zone costs beside its way, in mean service times.
const FAR_COST: f64 = 0.25;

/// Gates that are asked for one request; a refusal costs a round trip and no work.
const HAND_OVERS: u32 = 4;

/// A link takes two round trips, at most 140 ms between two regions 35 ms apart, and the waking of a
/// daemon with a fifth of a core. Links are dialled before they are needed, so that one that is still
/// missing then is most likely one to a machine without power.
const LINK_WITHIN: Duration = Duration::from_millis(250);

impl Profile {
    /// What the settings say of the platform.
    pub fn of(setting: &Setting) -> Profile {
        let mut profile = Profile {
            dialect: Dialect::own(),
            links: setting.links,
            heartbeat: setting.heartbeat,
            one_port: setting.one_port,
            ..Profile::default()
        };
        profile.choice.by_class = setting.placement.uneven;
        let delay = setting.placement.region_delay.unwrap_or(REGION_DELAY);
        profile.home = Some(Home::new(setting.region.clone(), delay));
        profile.retry.share = setting.retry.share;
        if let Some(saved) = setting.retry.saved {
            profile.retry.share *= RETRY_PART;
            profile.retry.cap = f64::from(saved) * RETRY_PART;
        }
        if setting.links == Links::Tcp {
            profile.standing = true;
            profile.check_rules = true;
            // A takeover of quotas has to know all that may have borrowed, those that are cut off too.
            profile.sparse = setting.quota.is_none();
            profile.announce_below = PAGE;
            profile.hand_overs = Some(HAND_OVERS);
            profile.link_within = Some(LINK_WITHIN);
            profile.pace = feed::Pace {
                instances_wait: LONG_WATCH,
                rules_wait: LONG_WATCH,
                instances_pause: GATHER,
                max_backoff: LONGEST_PAUSE,
                ..feed::Pace::default()
            };
            profile.policy = policy(profile.sparse);
            profile.choice.cross_zone_cost = FAR_COST;
        }
        profile
    }
}

/// Links tell at once when a peer has gone, and heartbeats make up for what they don't.
fn policy(sparse: bool) -> roster::Policy {
    roster::Policy::builder()
        .heartbeat_interval(Duration::from_secs(1))
        .suspect_after(Duration::from_secs(4))
        .remove_after(Duration::from_secs(30))
        .update_timeout(Duration::from_secs(2))
        .watchers(2)
        .sparse(sparse)
        .build()
}
