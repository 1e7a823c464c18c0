//! The compact form of claims, ends and releases, and the generations that hold them.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};
use unit::{Digest, Instance, Outcome, Token};

use crate::claim::{Claim, Ended, Moment, Record, body_part};

/// 16 bytes as they are; a varint would take 19 for a random number.
type Raw = [u8; 16];

/// The place of a name in the table of its generation.
type Name = u32;

/// Released tokens that are kept of a key. Resends of one key that an entry gives up together, for
/// a lost link to their owner, are mostly fewer.
pub(crate) const FREED: usize = 4;

/// What one generation holds of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
enum Slot {
    /// The key was claimed in this generation.
    Taken(Taken),
    /// A claim of an older generation has ended.
    Ended(Raw, Finish),
    /// The claims of these tokens were released, the last one first.
    ///
    /// A release can be written twice when its first answer was lost. Several tokens are kept, so
    /// that such a late repetition does not push the newest release out and leave the key dead.
    /// And a release can overtake its claim, which waits at another owner: as long as its token is
    /// kept here, that claim is refused when it comes.
    Freed([Raw; FREED]),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Taken {
    body: u64,
    token: Raw,
    caller: Name,
    entry: Name,
    rule: Name,
    at: Moment,
    end: Option<Finish>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Finish {
    target: Option<Name>,
    at: Moment,
    outcome: Code,
    status: u16,
}

/// An outcome as one byte.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
enum Code {
    Ran,
    NotRun,
    Unknown,
    AlreadyRun,
}

/// What a generation says of a key, free of its table of names.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Piece {
    Claim(Record),
    End(Token, Ended),
    Free([Token; FREED]),
}

/// Bytes that a slot takes at most, without its names.
const SLOT_WEIGHT: usize = 84;

/// Bytes that a name takes besides its text.
const NAME_WEIGHT: usize = 2;

/// Claims, ends and releases between two rolls of a head. It becomes one sealed segment.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Generation {
    names: Vec<String>,
    slots: BTreeMap<Raw, Slot>,
    newest: Moment,
    #[serde(skip)]
    places: HashMap<String, Name>,
    #[serde(skip)]
    weight: usize,
}

impl Generation {
    /// Builds what is not stored; to be called after decoding.
    pub(crate) fn restore(mut self) -> Generation {
        let places = self.names.iter().zip(0..);
        self.places = places.map(|(name, at)| (name.clone(), at)).collect();
        let names = self.names.iter().map(|name| name.len() + NAME_WEIGHT);
        self.weight = names.sum::<usize>() + self.slots.len() * SLOT_WEIGHT;
        self
    }

    /// An upper bound for the encoded size in bytes.
    pub(crate) fn weight(&self) -> usize {
        self.weight
    }

    pub(crate) fn len(&self) -> usize {
        self.slots.len()
    }

    /// When the newest claim or end was added.
    pub(crate) fn newest(&self) -> Moment {
        self.newest
    }

    pub(crate) fn keys(&self) -> impl Iterator<Item = Digest> {
        self.slots
            .keys()
            .map(|raw| Digest(u128::from_be_bytes(*raw)))
    }

    /// Adds a claim; what the generation held of the key before is settled by then.
    pub(crate) fn take(&mut self, claim: &Claim, at: Moment) {
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

    /// Adds a claim as it stood in another generation, with its end.
    pub(crate) fn insert(&mut self, record: &Record) {
        let taken = Taken {
            body: record.body,
            token: record.token.0.to_be_bytes(),
            caller: self.name(record.caller.as_str()),
            entry: self.name(record.entry.as_str()),
            rule: self.name(&record.rule),
            at: record.at,
            end: None,
        };
        self.put(record.key, Slot::Taken(taken), record.at);
        if let Some(end) = &record.end {
            self.end(record.key, record.token, end);
        }
    }

    /// Adds the end of the claim with this token.
    pub(crate) fn end(&mut self, key: Digest, token: Token, ended: &Ended) {
        let raw = token.0.to_be_bytes();
        let target = ended.target.as_ref().map(|name| self.name(name.as_str()));
        let finish = Finish {
            target,
            at: ended.at,
            outcome: code(ended.outcome),
            status: ended.status,
        };
        let slot = match self.slots.get(&key.0.to_be_bytes()) {
            Some(Slot::Taken(taken)) if taken.token == raw => Slot::Taken(Taken {
                end: taken.end.or(Some(finish)),
                ..*taken
            }),
            // Another try has claimed the key since, or the end is recorded already.
            Some(Slot::Taken(_) | Slot::Ended(..)) => return,
            Some(Slot::Freed(..)) | None => Slot::Ended(raw, finish),
        };
        self.put(key, slot, ended.at);
    }

    /// Adds the release of the claim with this token, unless the key was claimed anew since.
    ///
    /// The slot stays as a mark, since an older generation may hold an older claim of the key: to
    /// remove the slot would bring that claim back.
    pub(crate) fn free(&mut self, key: Digest, token: Token, at: Moment) {
        let raw = token.0.to_be_bytes();
        let slot = match self.slots.get(&key.0.to_be_bytes()) {
            Some(Slot::Taken(taken)) if taken.token != raw || taken.end.is_some() => return,
            Some(Slot::Ended(..)) => return,
            Some(Slot::Freed(freed)) if freed.contains(&raw) => return,
            Some(Slot::Freed(freed)) => {
                let mut freed = *freed;
                freed.rotate_right(1);
                freed[0] = raw;
                Slot::Freed(freed)
            }
            Some(Slot::Taken(_)) | None => Slot::Freed([raw; FREED]),
        };
        self.put(key, slot, at);
    }

    pub(crate) fn piece(&self, key: Digest) -> Option<Piece> {
        let slot = self.slots.get(&key.0.to_be_bytes())?;
        match slot {
            Slot::Taken(taken) => self.record(key, taken).map(Piece::Claim),
            Slot::Ended(raw, finish) => Some(Piece::End(token(raw), self.ended(finish))),
            Slot::Freed(freed) => Some(Piece::Free(freed.each_ref().map(token))),
        }
    }

    fn put(&mut self, key: Digest, slot: Slot, at: Moment) {
        self.newest = self.newest.max(at);
        if self.slots.insert(key.0.to_be_bytes(), slot).is_none() {
            self.weight += SLOT_WEIGHT;
        }
    }

    fn name(&mut self, text: &str) -> Name {
        if let Some(place) = self.places.get(text) {
            return *place;
        }
        // A generation stays far below a megabyte, and so does its number of names.
        let place = Name::try_from(self.names.len()).unwrap_or(Name::MAX);
        self.names.push(text.to_string());
        self.places.insert(text.to_string(), place);
        self.weight += text.len() + NAME_WEIGHT;
        place
    }

    fn text(&self, name: Name) -> Option<&str> {
        let place = usize::try_from(name).ok()?;
        self.names.get(place).map(String::as_str)
    }

    fn record(&self, key: Digest, taken: &Taken) -> Option<Record> {
        Some(Record {
            key,
            body: taken.body,
            token: token(&taken.token),
            caller: self.text(taken.caller)?.parse().ok()?,
            entry: self.text(taken.entry)?.parse().ok()?,
            rule: self.text(taken.rule)?.to_string(),
            at: taken.at,
            end: taken.end.as_ref().map(|finish| self.ended(finish)),
        })
    }

    fn ended(&self, finish: &Finish) -> Ended {
        let target = finish.target.and_then(|name| self.text(name));
        Ended {
            target: target.and_then(|text| text.parse::<Instance>().ok()),
            at: finish.at,
            outcome: outcome(finish.outcome),
            status: finish.status,
        }
    }
}

/// Folds what the generations say of a key, the newest first, into its record.
///
/// The newest claim counts. Ends and releases count by their token, so that a late release of an
/// earlier try can't free the key of a later one.
pub(crate) fn fold(pieces: impl IntoIterator<Item = Piece>) -> Option<Record> {
    let mut ends = Vec::new();
    let mut freed = Vec::new();
    for piece in pieces {
        match piece {
            Piece::End(token, ended) => ends.push((token, ended)),
            Piece::Free(tokens) => freed.extend(tokens),
            Piece::Claim(mut record) => {
                let end = ends.into_iter().find(|(token, _)| *token == record.token);
                record.end = record.end.or(end.map(|(_, ended)| ended));
                let stands = record.end.is_some() || !freed.contains(&record.token);
                return stands.then_some(record);
            }
        }
    }
    None
}

fn token(raw: &Raw) -> Token {
    Token(u128::from_be_bytes(*raw))
}

fn code(outcome: Outcome) -> Code {
    match outcome {
        Outcome::Ran => Code::Ran,
        Outcome::NotRun => Code::NotRun,
        Outcome::Unknown => Code::Unknown,
        Outcome::AlreadyRun => Code::AlreadyRun,
    }
}

fn outcome(code: Code) -> Outcome {
    match code {
        Code::Ran => Outcome::Ran,
        Code::NotRun => Outcome::NotRun,
        Code::Unknown => Outcome::Unknown,
        Code::AlreadyRun => Outcome::AlreadyRun,
    }
}
