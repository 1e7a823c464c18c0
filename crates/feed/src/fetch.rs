//! Fetches rules from other daemons, piece by piece.
//!
//! A daemon fetches one document at a time and keeps the pieces that it has received: if a holder
//! is stopped, cut off or slow, only one piece is lost, and the next holder continues at that
//! offset. If a newer document is reported meanwhile, it replaces the one being fetched.

use std::time::Duration;

use bytes::Bytes;
use rule::Document;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use unit::{Digest, Instance, Version};

use crate::feed::Inner;
use crate::job::Job;
use crate::message::{Answer, Message};
use crate::rules::{self, Arrival, Origin, Source};
use crate::{Error, Packed, carrier};

/// Maximum length of a piece in bytes.
const MAX_PIECE_BYTES: usize = 32 << 10;

/// Maximum length of the packed text in bytes. Text that doesn't compress grows by a few bytes in a
/// thousand.
const MAX_PACKED_BYTES: usize = Document::MAX_TEXT_BYTES + Document::MAX_TEXT_BYTES / 100;

/// Time to wait for a piece before another holder is asked.
const PIECE_TIMEOUT: Duration = Duration::from_secs(1);

/// A piece of packed rules.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// The version of the rules.
    pub version: Version,
    /// The digest of all packed bytes.
    pub digest: Digest,
    /// The total length of the packed bytes.
    pub length: usize,
    /// The offset of this piece in the packed bytes.
    pub offset: usize,
    /// The bytes of this piece.
    pub bytes: Bytes,
}

/// Asks for the next piece of the rules in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// The digest of the packed rules that the sender holds in part. A holder of other rules
    /// answers with the first piece of its own.
    pub digest: Option<Digest>,
    /// How many of their bytes the sender holds.
    pub offset: usize,
}

/// Another daemon and the version of the rules that it reported.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Holder {
    instance: Instance,
    version: Version,
}

/// The known holders of newer rules, and the document that is being fetched.
#[derive(Debug, Default)]
pub(crate) struct Fetch {
    is_running: bool,
    /// In the order in which they were first reported.
    holders: Vec<Holder>,
    partial: Option<Partial>,
}

#[derive(Debug)]
struct Partial {
    version: Version,
    digest: Digest,
    length: usize,
    bytes: Vec<u8>,
    began: Instant,
}

/// The result of taking in one piece.
enum Progress {
    /// More pieces are needed.
    Partial,
    /// The holder has nothing newer.
    Nothing,
    Complete(Partial),
}

/// Records that `holder` has rules of `version`, and starts a fetch if they are wanted.
pub(crate) fn add_holder(inner: &Inner, holder: &Instance, version: Version) {
    if !inner.current.wants(version) {
        return;
    }
    let mut fetch = inner.fetch.lock();
    match fetch
        .holders
        .iter_mut()
        .find(|known| known.instance == *holder)
    {
        Some(known) => known.version = version.max(known.version),
        None => fetch.holders.push(Holder {
            instance: holder.clone(),
            version,
        }),
    }
    if !fetch.is_running {
        inner.enqueue(Job::Fetch);
    }
}

/// Fetches the newest reported rules, until none are wanted or no holder is left.
pub(crate) async fn run(inner: &Inner) {
    if std::mem::replace(&mut inner.fetch.lock().is_running, true) {
        return;
    }
    while let Some(holder) = next_holder(inner) {
        match fetch_piece(inner, &holder.instance).await {
            Ok(Progress::Partial) => {}
            Ok(Progress::Nothing) => remove_holder(inner, &holder.instance),
            Ok(Progress::Complete(partial)) => offer(inner, &holder.instance, partial),
            Err(error) => {
                inner.stats.fetches_failed.inc();
                let Holder { instance, version } = &holder;
                log::warn!("feed: rules {version} not fetched from {instance}: {error}.");
                remove_holder(inner, instance);
                probe_observers(inner);
            }
        }
    }
}

/// Returns the first holder of the newest version that is wanted.
fn next_holder(inner: &Inner) -> Option<Holder> {
    let mut fetch = inner.fetch.lock();
    fetch
        .holders
        .retain(|holder| inner.current.wants(holder.version));
    let newest = fetch.holders.iter().map(|holder| holder.version).max();
    let holder = fetch
        .holders
        .iter()
        .find(|holder| Some(holder.version) == newest);
    let holder = holder.cloned();
    if holder.is_none() {
        // Reset under the same lock, so that a holder reported from here on starts a new run.
        fetch.is_running = false;
        let partial = fetch.partial.take();
        fetch.partial = partial.filter(|partial| inner.current.wants(partial.version));
    }
    holder
}

fn remove_holder(inner: &Inner, holder: &Instance) {
    let mut fetch = inner.fetch.lock();
    fetch.holders.retain(|known| known.instance != *holder);
}

/// Probes the observers if no other holder is known.
fn probe_observers(inner: &Inner) {
    if inner.fetch.lock().holders.is_empty() {
        for observer in inner.with(|roster| roster.heartbeat_receivers()) {
            inner.enqueue(Job::Probe(observer));
        }
    }
}

async fn fetch_piece(inner: &Inner, holder: &Instance) -> Result<Progress, Error> {
    let ask = inner.fetch.lock().ask();
    let message = Message::Ask(ask);
    let payload = wire::codec::pack(&message)?;
    let answer = inner.ask_packed(holder, message.kind(), payload, PIECE_TIMEOUT);
    match answer.await? {
        Answer::Piece(None) => Ok(Progress::Nothing),
        Answer::Piece(Some(piece)) if !inner.current.wants(piece.version) => Ok(Progress::Nothing),
        Answer::Piece(Some(piece)) => inner.fetch.lock().append(holder, piece),
        _ => Err(carrier::unexpected_answer(holder)),
    }
}

impl Fetch {
    fn ask(&self) -> Ask {
        let partial = self.partial.as_ref();
        Ask {
            digest: partial.map(|partial| partial.digest),
            offset: partial.map_or(0, |partial| partial.bytes.len()),
        }
    }

    /// Appends a piece to those received; a piece of another document starts anew.
    fn append(&mut self, holder: &Instance, piece: Piece) -> Result<Progress, Error> {
        let known = self.partial.take();
        let known = known.filter(|known| known.digest == piece.digest);
        let mut partial = known.unwrap_or_else(|| Partial {
            version: piece.version,
            digest: piece.digest,
            length: piece.length,
            bytes: Vec::new(),
            began: Instant::now(),
        });
        let end = piece.offset.checked_add(piece.bytes.len());
        let is_within_limit = piece.length <= MAX_PACKED_BYTES;
        let fits =
            piece.offset == partial.bytes.len() && end.is_some_and(|end| end <= piece.length);
        if !is_within_limit || !fits || piece.bytes.is_empty() || piece.length != partial.length {
            return Err(Error::Unexpected(
                holder.clone(),
                "piece has an unexpected offset or length",
            ));
        }
        partial.version = piece.version;
        partial.bytes.extend(piece.bytes);
        if partial.bytes.len() < partial.length {
            self.partial = Some(partial);
            return Ok(Progress::Partial);
        }
        if Digest::of(&partial.bytes) != partial.digest {
            return Err(Error::Unexpected(
                holder.clone(),
                "digest of the received pieces does not match",
            ));
        }
        Ok(Progress::Complete(partial))
    }
}

/// Offers rules of which all pieces have been received. A holder whose rules can't be unpacked is
/// not asked again.
fn offer(inner: &Inner, from: &Instance, partial: Partial) {
    let version = partial.version;
    let fetched = partial.began.elapsed();
    inner.stats.fetched.observe(fetched.as_secs_f64());
    let arrival = Arrival {
        version,
        origin: Origin::Requested,
        from: Source::Peer(from),
        fetched,
    };
    rules::unpack(inner, arrival, Packed::from(Bytes::from(partial.bytes)));
    if inner.current.wants(version) {
        remove_holder(inner, from);
    }
}

/// Returns the piece of the rules in force for which `ask` asks.
pub(crate) fn answer(inner: &Inner, ask: Ask) -> Option<Piece> {
    let rules = inner.current.get()?;
    let packed = rules.packed()?;
    let digest = packed.digest();
    let offset = ask.digest.filter(|asked| *asked == digest);
    let offset = offset.map_or(0, |_| ask.offset);
    let bytes = packed.bytes();
    let end = offset.saturating_add(MAX_PIECE_BYTES).min(bytes.len());
    (offset < end).then(|| Piece {
        version: rules.version,
        digest,
        length: bytes.len(),
        offset,
        bytes: bytes.slice(offset..end),
    })
}
