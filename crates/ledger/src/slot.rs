//! Claims, ends and releases in compact form, and the generations that hold them.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};
use unit::{Digest, Instance, Outcome, Token};

use crate::claim::{Claim, Ended, Moment, Record, body_part};

/// 16 bytes without varint encoding, which would take 19 for a random number.
type IdBytes = [u8; 16];

/// The index of a name in the table of its generation.
type NameIndex = u32;

/// Maximum number of released tokens kept per key. When an entry loses the link to an owner, it
/// abandons its resends of one key together; these are mostly fewer.
pub(crate) const RELEASED_TOKENS: usize = 4;

/// The state of a key in one generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
enum Slot {
    /// The key was claimed in this generation.
    Claim(StoredClaim),
    /// A claim of an earlier generation has ended.
    End(IdBytes, StoredEnd),
    /// The claims with these tokens were released, the newest release first.
    ///
    /// A release may be written twice if the result of its first write was lost. Several tokens are
    /// kept, so that such a late duplicate does not displace the newest release and leave the key
    /// taken. A release may also overtake its claim, which is queued at another owner: as long as
    /// its token is kept here, that claim is refused when it arrives.
    Release([IdBytes; RELEASED_TOKENS]),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct StoredClaim {
    body: u64,
    token: IdBytes,
    caller: NameIndex,
    entry: NameIndex,
    rule: NameIndex,
    at: Moment,
    end: Option<StoredEnd>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct StoredEnd {
    target: Option<NameIndex>,
    at: Moment,
    outcome: OutcomeCode,
    status: u16,
}

/// An outcome in one byte.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
enum OutcomeCode {
    Ran,
    NotRun,
    Unknown,
    AlreadyRun,
}

/// The event of a key in a generation, with its names resolved.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Event {
    Claim(Record),
    End(Token, Ended),
    Release([Token; RELEASED_TOKENS]),
}

/// Maximum encoded size of a slot in bytes, without its names.
const MAX_SLOT_BYTES: usize = 84;

/// Encoded size of a name in bytes, in addition to its text.
const NAME_OVERHEAD_BYTES: usize = 2;

/// The claims, ends and releases between two freezes of a head. It becomes one sealed segment.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Generation {
    names: Vec<String>,
    slots: BTreeMap<IdBytes, Slot>,
    newest: Moment,
    #[serde(skip)]
    name_indices: HashMap<String, NameIndex>,
    #[serde(skip)]
    size_bound: usize,
}

impl Generation {
    /// Rebuilds the fields that are not stored; must be called after decoding.
    pub(crate) fn rebuild(mut self) -> Generation {
        let name_indices = self.names.iter().zip(0..);
        self.name_indices = name_indices.map(|(name, at)| (name.clone(), at)).collect();
        let names = self
            .names
            .iter()
            .map(|name| name.len() + NAME_OVERHEAD_BYTES);
        self.size_bound = names.sum::<usize>() + self.slots.len() * MAX_SLOT_BYTES;
        self
    }

    /// An upper bound for the encoded size in bytes.
    pub(crate) fn size_bound(&self) -> usize {
        self.size_bound
    }

    pub(crate) fn len(&self) -> usize {
        self.slots.len()
    }

    /// The time of the newest claim, end or release.
    pub(crate) fn newest(&self) -> Moment {
        self.newest
    }

    pub(crate) fn keys(&self) -> impl Iterator<Item = Digest> {
        self.slots
            .keys()
            .map(|bytes| Digest(u128::from_be_bytes(*bytes)))
    }

    /// Adds a claim. The caller has resolved the earlier state of the key in this generation.
    pub(crate) fn claim(&mut self, claim: &Claim, at: Moment) {
        self.insert(&Record {
            key: claim.key,
            body: body_part(claim.body),
            token: claim.token,
            caller: claim.caller.clone(),
            entry: claim.entry.clone(),
            rule: claim.rule.clone(),
            at,
            end: None,
        });
    }

    /// Adds a claim of another generation, with its end.
    pub(crate) fn insert(&mut self, record: &Record) {
        let claim = StoredClaim {
            body: record.body,
            token: record.token.0.to_be_bytes(),
            caller: self.intern(record.caller.as_str()),
            entry: self.intern(record.entry.as_str()),
            rule: self.intern(&record.rule),
            at: record.at,
            end: None,
        };
        self.put(record.key, Slot::Claim(claim), record.at);
        if let Some(end) = &record.end {
            self.end(record.key, record.token, end);
        }
    }

    /// Adds the end of the claim with this token.
    pub(crate) fn end(&mut self, key: Digest, token: Token, ended: &Ended) {
        let bytes = token.0.to_be_bytes();
        let target = ended.target.as_ref().map(|name| self.intern(name.as_str()));
        let end = StoredEnd {
            target,
            at: ended.at,
            outcome: encode_outcome(ended.outcome),
            status: ended.status,
        };
        let slot = match self.slots.get(&key.0.to_be_bytes()) {
            Some(Slot::Claim(claim)) if claim.token == bytes => Slot::Claim(StoredClaim {
                end: claim.end.or(Some(end)),
                ..*claim
            }),
            // Another attempt has claimed the key since, or the end is recorded already.
            Some(Slot::Claim(_) | Slot::End(..)) => return,
            Some(Slot::Release(..)) | None => Slot::End(bytes, end),
        };
        self.put(key, slot, ended.at);
    }

    /// Adds the release of the claim with this token, unless the key was claimed again since.
    ///
    /// The slot is kept as a tombstone, because an earlier generation may hold an earlier claim of
    /// the key: removing the slot would restore that claim.
    pub(crate) fn release(&mut self, key: Digest, token: Token, at: Moment) {
        let bytes = token.0.to_be_bytes();
        let slot = match self.slots.get(&key.0.to_be_bytes()) {
            Some(Slot::Claim(claim)) if claim.token != bytes || claim.end.is_some() => return,
            Some(Slot::End(..)) => return,
            Some(Slot::Release(released)) if released.contains(&bytes) => return,
            Some(Slot::Release(released)) => {
                let mut released = *released;
                released.rotate_right(1);
                released[0] = bytes;
                Slot::Release(released)
            }
            Some(Slot::Claim(_)) | None => Slot::Release([bytes; RELEASED_TOKENS]),
        };
        self.put(key, slot, at);
    }

    pub(crate) fn event(&self, key: Digest) -> Option<Event> {
        let slot = self.slots.get(&key.0.to_be_bytes())?;
        match slot {
            Slot::Claim(claim) => self.record(key, claim).map(Event::Claim),
            Slot::End(bytes, end) => Some(Event::End(token(bytes), self.ended(end))),
            Slot::Release(released) => Some(Event::Release(released.each_ref().map(token))),
        }
    }

    fn put(&mut self, key: Digest, slot: Slot, at: Moment) {
        self.newest = self.newest.max(at);
        if self.slots.insert(key.0.to_be_bytes(), slot).is_none() {
            self.size_bound += MAX_SLOT_BYTES;
        }
    }

    fn intern(&mut self, text: &str) -> NameIndex {
        if let Some(index) = self.name_indices.get(text) {
            return *index;
        }
        // A generation is far smaller than a megabyte, so the number of its names fits.
        let index = NameIndex::try_from(self.names.len()).unwrap_or(NameIndex::MAX);
        self.names.push(text.to_string());
        self.name_indices.insert(text.to_string(), index);
        self.size_bound += text.len() + NAME_OVERHEAD_BYTES;
        index
    }

    fn name_at(&self, name: NameIndex) -> Option<&str> {
        let index = usize::try_from(name).ok()?;
        self.names.get(index).map(String::as_str)
    }

    fn record(&self, key: Digest, claim: &StoredClaim) -> Option<Record> {
        Some(Record {
            key,
            body: claim.body,
            token: token(&claim.token),
            caller: self.name_at(claim.caller)?.parse().ok()?,
            entry: self.name_at(claim.entry)?.parse().ok()?,
            rule: self.name_at(claim.rule)?.to_string(),
            at: claim.at,
            end: claim.end.as_ref().map(|end| self.ended(end)),
        })
    }

    fn ended(&self, end: &StoredEnd) -> Ended {
        let target = end.target.and_then(|name| self.name_at(name));
        Ended {
            target: target.and_then(|text| text.parse::<Instance>().ok()),
            at: end.at,
            outcome: decode_outcome(end.outcome),
            status: end.status,
        }
    }
}

/// Folds the events of a key, the newest first, into its record.
///
/// The newest claim counts. Ends and releases apply by token, so that a late release of an earlier
/// attempt can't free the key of a later one.
pub(crate) fn fold(events: impl IntoIterator<Item = Event>) -> Option<Record> {
    let mut ends = Vec::new();
    let mut released = Vec::new();
    for event in events {
        match event {
            Event::End(token, ended) => ends.push((token, ended)),
            Event::Release(tokens) => released.extend(tokens),
            Event::Claim(mut record) => {
                let end = ends.into_iter().find(|(token, _)| *token == record.token);
                record.end = record.end.or(end.map(|(_, ended)| ended));
                let stands = record.end.is_some() || !released.contains(&record.token);
                return stands.then_some(record);
            }
        }
    }
    None
}

fn token(bytes: &IdBytes) -> Token {
    Token(u128::from_be_bytes(*bytes))
}

fn encode_outcome(outcome: Outcome) -> OutcomeCode {
    match outcome {
        Outcome::Ran => OutcomeCode::Ran,
        Outcome::NotRun => OutcomeCode::NotRun,
        Outcome::Unknown => OutcomeCode::Unknown,
        Outcome::AlreadyRun => OutcomeCode::AlreadyRun,
    }
}

fn decode_outcome(code: OutcomeCode) -> Outcome {
    match code {
        OutcomeCode::Ran => Outcome::Ran,
        OutcomeCode::NotRun => Outcome::NotRun,
        OutcomeCode::Unknown => Outcome::Unknown,
        OutcomeCode::AlreadyRun => Outcome::AlreadyRun,
    }
}
