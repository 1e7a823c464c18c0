//! Suspicions of requests that crash targets, shared among the daemons of one service.
//!
//! A caller whose request has crashed one target sends it again, and the resend goes to another.
//! Unless that gate knows of the suspicion, the request walks through the fleet. We tell the other
//! gates of the service directly: there are at most some dozens, and crashes are rare, so no tree
//! is needed. A lost message is made up for by the next crash.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use gate::{Gate, Suspicion};
use timer::timeout;
use tokio::task::JoinSet;
use tokio::time::sleep;
use unit::{Instance, Service};
use wire::{Dialer, Error, Note, Topic, codec};

use crate::directory::Directory;

/// How often the gate is asked for new suspicions. A resend within it may find a gate unaware.
const PERIOD: Duration = Duration::from_millis(20);

/// Longest time that telling one gate may take.
const TELL_TIMEOUT: Duration = Duration::from_secs(1);

/// Most suspicions in one message.
const MOST: usize = 256;

/// Shares what one gate suspects.
pub(crate) struct Suspicions {
    pub(crate) me: Instance,
    pub(crate) service: Service,
    pub(crate) gate: Gate,
    pub(crate) dialer: Arc<Dialer>,
    pub(crate) directory: Arc<Directory>,
}

impl Suspicions {
    /// Tells the other gates of each new suspicion, for ever.
    pub(crate) async fn run(self: Arc<Self>) {
        let mut told: Vec<Suspicion> = Vec::new();
        loop {
            sleep(PERIOD).await;
            let own = self.gate.suspects().into_iter().filter(|held| !held.learnt);
            let own: Vec<Suspicion> = own.take(MOST).collect();
            let news: Vec<Suspicion> = own
                .iter()
                .filter(|held| !told.iter().any(|t| same(t, held)))
                .cloned()
                .collect();
            if !news.is_empty() {
                log::warn!("gate: {} kinds of requests are suspect.", news.len());
                self.tell(&news).await;
            }
            told = own;
        }
    }

    async fn tell(self: &Arc<Self>, news: &[Suspicion]) {
        let payload = match codec::pack(&news.to_vec()) {
            Ok(payload) => payload,
            Err(error) => return log::error!("gate: {error}."),
        };
        let mut telling = JoinSet::new();
        for instance in self.directory.of(&self.service) {
            if instance == self.me {
                continue;
            }
            let (all, payload) = (self.clone(), payload.clone());
            telling.spawn(async move {
                let told = timeout(TELL_TIMEOUT, all.send(&instance, payload)).await;
                if !matches!(told, Ok(Ok(()))) {
                    log::info!("gate: {instance} was not told of suspects.");
                }
            });
        }
        telling.join_all().await;
    }

    async fn send(&self, instance: &Instance, payload: Bytes) -> Result<(), Error> {
        let unknown = || Error::Dial(instance.to_string(), "not announced".to_string());
        let peer = self.directory.peer(instance).ok_or_else(unknown)?;
        let link = self.dialer.link(&peer).await?;
        link.note(Topic::Load, payload).await.map(drop)
    }

    /// Takes what another gate suspects.
    ///
    /// # Errors
    ///
    /// [`Error::Garbled`] if the payload is no list of suspicions.
    pub(crate) fn learn(&self, payload: &[u8]) -> Result<Note, Error> {
        let heard: Vec<Suspicion> = codec::unpack(payload)?;
        for suspicion in heard.iter().take(MOST) {
            self.gate.learn(suspicion);
        }
        Ok(Note {
            topic: Topic::Load,
            payload: codec::pack(&())?,
        })
    }
}

fn same(a: &Suspicion, b: &Suspicion) -> bool {
    a.kind == b.kind && a.crashes == b.crashes && a.convicted == b.convicted
}
