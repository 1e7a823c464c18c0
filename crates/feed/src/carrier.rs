//! Carries messages from one daemon to another.

use std::pin::Pin;
use std::sync::Arc;

use bytes::Bytes;
use roster::Record;
use unit::Instance;
use wire::{Dialer, Peer, Topic};

use crate::Error;

/// The future that a [`Carrier`] returns.
pub type CarrierFuture = Pin<Box<dyn Future<Output = Result<Bytes, Error>> + Send>>;

/// Carries one encoded message to one peer, and returns its answer.
pub type Carrier = Arc<dyn Fn(Peer, Bytes) -> CarrierFuture + Send + Sync>;

/// Returns a carrier over the links of `dialer`.
pub fn over(dialer: Arc<Dialer>) -> Carrier {
    Arc::new(move |peer, payload| {
        let dialer = dialer.clone();
        Box::pin(async move { carry(&dialer, &peer, payload).await })
    })
}

async fn carry(dialer: &Dialer, peer: &Peer, payload: Bytes) -> Result<Bytes, Error> {
    let link = dialer.link(peer).await?;
    Ok(link.note(Topic::Feed, payload).await?)
}

pub(crate) fn unexpected_answer(peer: &Instance) -> Error {
    Error::Unexpected(peer.clone(), "an answer of another kind")
}

/// Returns the peer by which the daemon of a record is dialled.
pub fn peer(record: &Record) -> Peer {
    Peer {
        instance: record.instance.clone(),
        address: record.link,
        fingerprint: record.fingerprint,
    }
}
