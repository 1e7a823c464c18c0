//! Links that other daemons have dialled, and what comes on their streams.

use std::sync::Arc;

use feed::Feed;
use roster::Shared;
use target::Server;
use tokio::time::Instant;
use unit::Instance;
use wire::{Error, Frame, Handshake, Listener, Note, Sender, Stream, Topic};

use crate::claims::Desk;
use crate::directory::Directory;
use crate::notice::Hearers;
use crate::quota;
use crate::suspicion::Suspicions;

/// What answers the frames of other daemons.
pub(crate) struct Inbound {
    pub(crate) server: Arc<Server>,
    pub(crate) desk: Arc<Desk>,
    pub(crate) feed: Feed,
    pub(crate) suspicions: Arc<Suspicions>,
    pub(crate) directory: Arc<Directory>,
    pub(crate) roster: Arc<Shared>,
    pub(crate) hearers: Arc<Hearers>,
    /// None where requests of workspaces are not counted.
    pub(crate) quotas: Option<Arc<quota::Desk>>,
}

impl Inbound {
    /// Accepts links until the listener is closed.
    pub(crate) async fn run(self: Arc<Inbound>, listener: Arc<Listener>) {
        while let Some(handshake) = listener.accept().await {
            let inbound = self.clone();
            tokio::spawn(async move {
                if let Err(error) = inbound.link(handshake).await {
                    log::debug!("wire: {error}.");
                }
            });
        }
    }

    async fn link(self: Arc<Inbound>, handshake: Handshake) -> Result<(), Error> {
        let link = handshake.finish().await?;
        if let Some(teller) = link.teller() {
            self.hearers.add(link.peer().clone(), teller);
        }
        loop {
            let stream = link.stream().await?;
            let inbound = self.clone();
            tokio::spawn(async move {
                if let Err(error) = inbound.stream(stream).await {
                    log::debug!("wire: {error}.");
                }
            });
        }
    }

    async fn stream(&self, mut stream: Stream) -> Result<(), Error> {
        let frame = stream.receiver.recv().await?;
        let peer = stream.receiver.peer().clone();
        self.roster.mark_seen(Instant::now(), &peer);
        match frame {
            Some(Frame::Note(note)) => self.note(&peer, stream.sender, note).await,
            // An instance that is held for gone may speak of itself, and have nothing run.
            Some(_) if self.directory.peer(&peer).is_none() => Err(stranger(&peer)),
            Some(Frame::Call(call)) => {
                self.hearers.called(&peer);
                self.server.call(stream, call).await
            }
            Some(Frame::Ask(ask)) => self.server.ask(stream.sender, ask).await,
            Some(frame) => {
                log::warn!("wire: {peer} opens a stream with {frame:?}.");
                Ok(())
            }
            None => Ok(()),
        }
    }

    async fn note(&self, from: &Instance, mut sender: Sender, note: Note) -> Result<(), Error> {
        let answer = match note.topic {
            Topic::Ledger => tokio::select! {
                answer = self.desk.note(&note.payload) => answer?,
                // The entry has given the claim up: dropping it here releases it, where a grant
                // that nobody hears of would keep the key taken.
                () = sender.stopped() => return Ok(()),
            },
            Topic::Load => self.suspicions.learn(&note.payload)?,
            Topic::Quota => {
                let off = || Error::Garbled(from.to_string(), "no quotas here".to_string());
                let payload = self.quotas.as_ref().ok_or_else(off)?;
                Note {
                    topic: Topic::Quota,
                    payload: payload.note(from, &note.payload)?,
                }
            }
            Topic::Feed => {
                let payload = self.feed.note(from, &note.payload);
                let payload =
                    payload.map_err(|e| Error::Garbled(from.to_string(), e.to_string()))?;
                Note {
                    topic: Topic::Feed,
                    payload,
                }
            }
        };
        sender.push(&Frame::Note(answer))?;
        sender.finish().await
    }
}

fn stranger(peer: &Instance) -> Error {
    Error::Garbled(peer.to_string(), "it is held for gone".to_string())
}
