//! The fan-out tree by which news reaches a zone.

use unit::Instance;

use crate::rank;
use crate::roster::Roster;

impl Roster {
    /// Whom `me` passes on to what `seed` names, such as a version.
    ///
    /// The zone's watchers are the roots; the other live instances follow in an order drawn from
    /// the seed, so that the work falls on others each time. The instance at place `p` sends to
    /// the `degree` places from `watchers + p * degree`. All daemons with equal rosters compute
    /// the same tree and send each message once. Rosters that differ leave some unreached or
    /// reached twice: a heartbeat tells those within seconds (see [`Beat`](crate::Beat)).
    pub fn relay_children(&self, seed: u64, me: &Instance) -> Vec<Instance> {
        let Some(zone) = self.get(me).map(|record| &record.zone) else {
            return Vec::new();
        };
        let roots = self.watchers(zone, self.policy.watchers);
        let count = roots.len();
        let mut rest: Vec<Instance> = self
            .entries
            .values()
            .filter(|entry| !entry.is_gone() && entry.record.zone == *zone)
            .filter(|entry| !entry.sight.suspect || entry.record.instance == *me)
            .map(|entry| entry.record.instance.clone())
            .filter(|name| !roots.contains(name))
            .collect();
        rest.sort_by_cached_key(|name| rank::seeded(seed, name));
        let order: Vec<Instance> = roots.into_iter().chain(rest).collect();
        let Some(place) = order.iter().position(|name| name == me) else {
            return Vec::new();
        };
        let first = count.max(1) + place * self.policy.fanout;
        let children = order.into_iter().skip(first);
        children.take(self.policy.fanout).collect()
    }
}
