//! Keeps acknowledged leaves of the target in the store.
//!
//! A process that restarts beside a target that leaves has no memory of the leave. Heartbeats that were
//! sent before it may still arrive, and health checks may pass, so neither shows that the target stays.
//! A leave is therefore written before it is acknowledged, and read before the gate opens.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use setting::Setting;
use store::{Backoff, Condition, Error, Store};
use target::{Run, Server};
use timer::timeout;
use tokio::sync::Mutex;
use tokio::time::sleep;
use unit::Version;

/// How long an acknowledgement may wait for the store; the target waits for one second.
const ACKNOWLEDGE_WITHIN: Duration = Duration::from_millis(800);

/// Pauses between failed calls to the store.
const MIN_PAUSE: Duration = Duration::from_millis(100);
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// How often a write is repeated over what another call has written in between.
const MAX_TRIES: usize = 4;

/// The acknowledged leaves of the target beside this daemon.
pub struct Leaves {
    server: Arc<Server>,
    store: Store,
    /// `None` if leaves are not kept.
    key: Option<String>,
    saved: Mutex<Saved>,
}

/// What the store holds, as far as this process knows.
#[derive(Default)]
struct Saved {
    is_known: bool,
    version: Option<Version>,
    left: Vec<Run>,
}

impl Leaves {
    pub(crate) fn new(setting: &Setting, store: &Store, server: &Arc<Server>) -> Leaves {
        let prefix = setting.leave_prefix.as_ref();
        let saved = Saved {
            is_known: setting.first_start,
            ..Saved::default()
        };
        Leaves {
            server: server.clone(),
            store: store.clone(),
            key: prefix.map(|prefix| format!("{prefix}{}", setting.instance)),
            saved: Mutex::new(saved),
        }
    }

    /// Waits until the store holds all leaves that the target has announced, so that they may be
    /// acknowledged. Returns false if that takes too long for the target.
    pub async fn persist(&self) -> bool {
        match timeout(ACKNOWLEDGE_WITHIN, self.save()).await {
            Ok(Ok(())) => true,
            Ok(Err(error)) => {
                log::warn!("leaves: not written: {error}.");
                false
            }
            Err(_) => {
                log::warn!("leaves: not written in time.");
                false
            }
        }
    }

    /// Reads the leaves that former processes have acknowledged, and writes them again whenever the
    /// store has come back from an older copy. Never returns.
    pub(crate) async fn run(self: Arc<Self>) {
        if self.key.is_none() {
            return std::future::pending().await;
        }
        self.retry("read", || self.load()).await;
        let mut era = self.store.eras().after(None).await;
        loop {
            era = self.store.eras().after(Some(era)).await;
            self.saved.lock().await.is_known = false;
            if !self.server.left().is_empty() {
                self.retry("written", || self.save()).await;
            }
        }
    }

    async fn retry<F>(&self, what: &str, call: impl Fn() -> F)
    where
        F: Future<Output = Result<(), Error>>,
    {
        let mut backoff = Backoff::new(MIN_PAUSE, MAX_PAUSE, rand::random());
        while let Err(error) = call().await {
            log::warn!("leaves: not {what}: {error}.");
            sleep(backoff.pause()).await;
        }
    }

    /// Tells the server which leaves are known, and reads them before if they aren't.
    async fn load(&self) -> Result<(), Error> {
        let mut saved = self.saved.lock().await;
        if saved.is_known {
            self.server.recover(&saved.left);
            return Ok(());
        }
        self.read(&mut saved).await
    }

    /// Reads what the store holds, and adopts it.
    async fn read(&self, saved: &mut Saved) -> Result<(), Error> {
        let Some(key) = &self.key else {
            return Ok(());
        };
        let found = self.store.get(key).await?;
        saved.version = found.as_ref().map(|object| object.version);
        saved.left = found.map_or_else(Vec::new, |object| parse(key, &object.value));
        saved.is_known = true;
        log::info!("leaves: read lives={}.", saved.left.len());
        self.server.recover(&saved.left);
        Ok(())
    }

    async fn save(&self) -> Result<(), Error> {
        let Some(key) = &self.key else {
            return Ok(());
        };
        let mut saved = self.saved.lock().await;
        let mut tries = 0;
        loop {
            if !saved.is_known {
                self.read(&mut saved).await?;
            }
            let left = self.server.left();
            if left == saved.left {
                return Ok(());
            }
            let condition = saved.version.map_or(Condition::Absent, Condition::Match);
            // If this call is cancelled, its effect is unknown until the object is read again.
            saved.is_known = false;
            match self
                .store
                .put(key, Bytes::from(encode(&left)), condition)
                .await
            {
                Ok(version) => {
                    *saved = Saved {
                        is_known: true,
                        version: Some(version),
                        left,
                    };
                    return Ok(());
                }
                Err(error) => {
                    tries += 1;
                    let is_open = error.is_conflict() || error.may_have_written();
                    if !is_open || tries == MAX_TRIES {
                        return Err(error);
                    }
                }
            }
        }
    }
}

fn encode(left: &[Run]) -> String {
    serde_json::json!({ "left": left }).to_string()
}

/// The leaves in an object. One that can't be parsed was written by something else.
fn parse(key: &str, value: &[u8]) -> Vec<Run> {
    #[derive(serde::Deserialize)]
    struct Content {
        left: Vec<Run>,
    }
    match serde_json::from_slice::<Content>(value) {
        Ok(content) => content.left,
        Err(error) => {
            log::error!("leaves: object {key}: {error}.");
            Vec::new()
        }
    }
}
