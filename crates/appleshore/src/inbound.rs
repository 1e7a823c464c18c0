//! Links that other daemons have dialled, and what comes on their streams.

use std::sync::Arc;

use target::Server;
use wire::{Error, Frame, Handshake, Listener, Note, Sender, Stream, Topic};

use crate::claims::Desk;

/// What answers the frames of other daemons.
pub(crate) struct Inbound {
    pub(crate) server: Arc<Server>,
    pub(crate) desk: Arc<Desk>,
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
        match stream.receiver.recv().await? {
            Some(Frame::Call(call)) => self.server.call(stream, call).await,
            Some(Frame::Ask(ask)) => self.server.ask(stream.sender, ask).await,
            Some(Frame::Note(note)) => self.note(stream.sender, note).await,
            Some(frame) => {
                log::warn!(
                    "wire: {} opens a stream with {frame:?}.",
                    stream.receiver.peer()
                );
                Ok(())
            }
            None => Ok(()),
        }
    }

    async fn note(&self, mut sender: Sender, note: Note) -> Result<(), Error> {
        let answer = match note.topic {
            Topic::Ledger => self.desk.note(&note.payload).await?,
            Topic::Feed | Topic::Load => return Ok(()),
        };
        sender.push(&Frame::Note(answer))?;
        sender.finish().await
    }
}
