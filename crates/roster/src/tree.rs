//! The fan-out tree by which updates reach the instances of a zone.

use unit::Instance;

use crate::rank;
use crate::roster::Roster;

impl Roster {
    /// The instances to which `me` relays the message that `seed` identifies, such as by its
    /// version.
    ///
    /// The zone's watchers are the roots. The other instances follow in an order derived from the
    /// seed, so that different instances relay each time; suspects are left out. The instance at
    /// position `p` sends to the `fanout` positions from `watchers + p * fanout`. Daemons with
    /// equal rosters compute the same tree and send each message once. If rosters differ, some
    /// instances are missed or reached twice; heartbeats update those that were missed within
    /// seconds (see [`Beat`](crate::Beat)).
    pub fn relay_children(&self, seed: u64, me: &Instance) -> Vec<Instance> {
        let Some(zone) = self.get(me).map(|record| &record.zone) else {
            return Vec::new();
        };
        let roots = self.watchers(zone, self.policy.watchers);
        let count = roots.len();
        let is_suspect = |name: &Instance| {
            let entry = self.entries.get(name);
            entry.is_none_or(|entry| entry.observation.suspect)
        };
        let members = self.index.members(zone).iter().map(|member| &member.name);
        let mut rest: Vec<&Instance> = members
            .filter(|name| *name == me || !is_suspect(name))
            .filter(|name| !roots.contains(name))
            .collect();
        rest.sort_by_cached_key(|name| rank::seeded(seed, name));
        let order: Vec<&Instance> = roots.iter().chain(rest).collect();
        let Some(position) = order.iter().position(|name| *name == me) else {
            return Vec::new();
        };
        let first = count.max(1) + position * self.policy.fanout;
        let children = order.into_iter().skip(first);
        children.take(self.policy.fanout).cloned().collect()
    }
}
