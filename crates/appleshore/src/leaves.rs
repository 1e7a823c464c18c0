//! Keeps in the store what the next process must know of the target.
//!
//! A process that restarts beside a target that leaves has no memory of the leave. Heartbeats that were
//! sent before it may still arrive, and health checks may pass, so neither shows that the target stays.
//! A leave is therefore written before it is acknowledged, and read before the gate opens.
//!
//! A health check doesn't tell the service of the target that answers, so by itself it never opens the
//! gate. With the leaves goes the last life that a heartbeat has named: the next process sends requests
//! to it again as soon as it answers, and needn't wait for its next heartbeat.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use feed::FLEET_KNOWN;
use serde::{Deserialize, Serialize};
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

/// Number of requests that a life must have been sent before it is written. One that isn't written costs a
/// restart of its daemon a heartbeat period, which matters little to a target that gets few requests.
const MIN_SENT: u64 = 100;

/// Interval of checks of that number.
const SENT_CHECK: Duration = Duration::from_secs(2);

/// Mean pause between two writes of lives in the whole fleet, if all targets restart at once.
const LIFE_SPACING: Duration = Duration::from_millis(10);

/// Pause between two checks whether the target has shown that it stays.
const CONFIRM_PAUSE: Duration = Duration::from_secs(1);

/// How often a write is repeated over what another call has written in between.
const MAX_TRIES: usize = 4;

/// The acknowledged leaves of the target beside this daemon, and the last life that it has announced.
pub struct Leaves {
    server: Arc<Server>,
    roster: Arc<roster::Shared>,
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
    content: Content,
}

/// The content of the object.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Content {
    /// The lives that have announced that they leave.
    left: Vec<Run>,
    /// The last life that a heartbeat has named.
    #[serde(default)]
    announced: Option<Run>,
}

impl Leaves {
    pub(crate) fn new(
        setting: &Setting,
        store: &Store,
        server: &Arc<Server>,
        roster: &Arc<roster::Shared>,
    ) -> Leaves {
        let prefix = setting.leave_prefix.as_ref();
        let saved = Saved {
            is_known: setting.first_start,
            ..Saved::default()
        };
        Leaves {
            server: server.clone(),
            roster: roster.clone(),
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

    /// Reads what former processes have written, and keeps it up to date. Never returns.
    pub(crate) async fn run(self: Arc<Self>) {
        if self.key.is_none() {
            return std::future::pending().await;
        }
        self.retry("read", || self.load()).await;
        if !self.server.presence().is_recovered {
            self.replace_unreadable().await;
        }
        tokio::join!(self.rewrite_lost_leaves(), self.write_lives());
    }

    /// Replaces an object that can't be read. The leaves in it are lost, so this waits until the target has
    /// shown that it stays: the next process will take the new object for all that was acknowledged.
    async fn replace_unreadable(&self) {
        while !self.server.is_confirmed() {
            sleep(CONFIRM_PAUSE).await;
        }
        self.retry("written", || self.save()).await;
        self.server.recover(&[], None);
    }

    /// Writes the leaves again whenever the store has come back from an older copy.
    async fn rewrite_lost_leaves(&self) {
        let mut era = self.store.eras().after(None).await;
        loop {
            era = self.store.eras().after(Some(era)).await;
            self.saved.lock().await.is_known = false;
            if !self.server.left().is_empty() {
                self.retry("written", || self.save()).await;
            }
        }
    }

    /// Writes each life that a heartbeat names and that gets requests. The writes of a fleet whose targets
    /// restart at once are spread over a time that grows with the fleet, so that their rate doesn't.
    async fn write_lives(&self) {
        sleep(FLEET_KNOWN).await;
        loop {
            self.server.life_announced().await;
            let sent = &self.server.stats().sent;
            let enough = sent.get() + MIN_SENT;
            while sent.get() < enough {
                sleep(SENT_CHECK).await;
            }
            let peers = self.roster.with(|roster| roster.peers().count());
            let spread = LIFE_SPACING.mul_f64(peers as f64);
            sleep(spread.mul_f64(rand::random())).await;
            self.retry("written", || self.save()).await;
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

    /// Tells the server what former processes have written, and reads it before if it isn't known.
    async fn load(&self) -> Result<(), Error> {
        let mut saved = self.saved.lock().await;
        if saved.is_known {
            self.recover(&saved.content);
            return Ok(());
        }
        self.read(&mut saved).await
    }

    fn recover(&self, content: &Content) {
        let Content { left, announced } = content;
        self.server.recover(left, announced.as_ref());
    }

    /// Reads what the store holds, and adopts it if it can be read.
    async fn read(&self, saved: &mut Saved) -> Result<(), Error> {
        let Some(key) = &self.key else {
            return Ok(());
        };
        let found = self.store.get(key).await?;
        saved.version = found.as_ref().map(|object| object.version);
        saved.is_known = true;
        let value = found.as_ref().map(|object| object.value.as_ref());
        let content: Result<Content, _> =
            value.map_or(Ok(Content::default()), serde_json::from_slice);
        match &content {
            Ok(content) => {
                let name = content.announced.as_ref();
                let name = name.map_or("none", |run| run.name.as_str());
                log::info!(
                    "leaves: read lives={} announced={name}.",
                    content.left.len()
                );
                self.recover(content);
            }
            Err(error) => log::error!("leaves: object {key} can't be read: {error}."),
        }
        saved.content = content.unwrap_or_default();
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
            let content = Content {
                left: self.server.left(),
                announced: self.server.announced(),
            };
            if content == saved.content {
                return Ok(());
            }
            let condition = saved.version.map_or(Condition::Absent, Condition::Match);
            // If this call is cancelled, its effect is unknown until the object is read again.
            saved.is_known = false;
            match self
                .store
                .put(key, Bytes::from(encode(&content)), condition)
                .await
            {
                Ok(version) => {
                    *saved = Saved {
                        is_known: true,
                        version: Some(version),
                        content,
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

fn encode(content: &Content) -> String {
    serde_json::json!(content).to_string()
}
