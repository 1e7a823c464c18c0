//! The state of a key that a shard can tell without reading the store.

use unit::{Digest, Token};

use crate::claim::Record;
use crate::request::Change;
use crate::shard::Shard;
use crate::slot::{Event, RELEASED_TOKENS, fold};

impl Shard {
    /// The record of a key from the cached head and the queued updates, without the sealed
    /// segments.
    pub(crate) fn peek(&self, key: Digest) -> Option<Record> {
        let pending_events = self.pending_events(key);
        fold(pending_events.chain(self.head_events(key)))
    }

    /// Whether an end or a release of the claim with this token was reported or read here.
    pub(crate) fn is_finished(&self, key: Digest, token: Token) -> bool {
        let pending_events = self.pending_events(key);
        let events = pending_events.chain(self.head_events(key));
        events.into_iter().any(|event| match event {
            Event::Claim(record) => record.token != token || record.end.is_some(),
            Event::End(of, _) => of == token,
            Event::Release(of) => of.contains(&token),
        })
    }

    /// The events of a key in the cached head.
    fn head_events(&self, key: Digest) -> impl Iterator<Item = Event> {
        let heads = self.cached.iter().map(|cached| &cached.head);
        heads.flat_map(move |head| head.events(key))
    }

    fn pending_events(&self, key: Digest) -> impl Iterator<Item = Event> {
        let newest_first = self.updates.iter().rev();
        let of_key = newest_first.filter(move |update| update.change.key() == key);
        of_key.map(|update| match &update.change {
            Change::End(end) => Event::End(end.token, end.ended()),
            Change::Release(_, token) => Event::Release([*token; RELEASED_TOKENS]),
        })
    }

    /// Whether nothing is queued or being written.
    pub(crate) fn is_flushed(&self) -> bool {
        self.updates.is_empty() && self.in_flight.is_none() && self.queue.is_empty()
    }
}
