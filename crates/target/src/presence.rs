//! Whether the target is there, as heartbeats, answers and connections tell.

use std::sync::atomic::Ordering;
use std::time::Duration;

use gate::End;
use http::HeaderMap;
use http1::response;
use tokio::time::Instant;
use unit::Incarnation;

use crate::connection::Connection;
use crate::life::{Effect, Heartbeat, Life, Stage};
use crate::server::Server;

/// A life counts as alive for so many periods of its heartbeats.
const FRESH_PERIODS: u32 = 2;

impl Server {
    /// Takes in a heartbeat of the target.
    pub fn receive_heartbeat(&self, beat: &Heartbeat) -> Effect {
        let now = Instant::now();
        let period = self.heartbeats.as_ref().map(|heartbeats| heartbeats.period);
        let fresh = period.unwrap_or(Duration::ZERO) * FRESH_PERIODS;
        let heard = self.presence.lock().receive_heartbeat(now, beat, fresh);
        match heard {
            Effect::Changed => {
                log::info!(
                    "target: life={} ready={} slots={} sequence={} cold_ms={}.",
                    beat.life,
                    beat.ready,
                    beat.slots,
                    beat.sequence,
                    beat.cold.as_millis()
                );
                if beat.cold > Duration::ZERO {
                    self.gate.target_cold();
                }
                self.apply();
            }
            Effect::Restarted => {
                let born = beat.born.map_or("untold".into(), |born| born.to_string());
                log::warn!(
                    "target: life={} born={born} has begun, ready={} slots={} sequence={} cold_ms={}.",
                    beat.life,
                    beat.ready,
                    beat.slots,
                    beat.sequence,
                    beat.cold.as_millis()
                );
                self.began();
                self.apply();
            }
            Effect::Undated => {
                self.stats().malformed.inc();
                log::warn!(
                    "target: a heartbeat of life={} sequence={} tells no start and is passed over.",
                    beat.life,
                    beat.sequence
                );
            }
            Effect::Unchanged => {}
            Effect::Late => log::info!(
                "target: a heartbeat of life={} sequence={} came late and is passed over.",
                beat.life,
                beat.sequence
            ),
            Effect::Conflicting => {
                log::warn!(
                    "target: life={} announces itself beside another.",
                    beat.life
                );
                self.doubt();
            }
        }
        heard
    }

    /// The life `name` of the target has said that it ends; `born` is when it began, if it tells.
    pub fn receive_leave(&self, name: &str, born: Option<Incarnation>) {
        log::info!("target: life={name} leaves.");
        if self.presence.lock().receive_leave(name, born) {
            self.apply();
        }
    }

    /// The target has started anew: its connections are gone, and it holds and knows nothing.
    ///
    /// What ran at the start before may have run, and which requests crash targets is still true, so
    /// tokens and suspicions stay.
    fn began(&self) {
        self.pool.distrust();
        self.gate.target_cold();
        self.gate.target_restarted();
    }

    /// What is known of the target's life.
    pub fn presence(&self) -> Life {
        self.presence.lock().clone()
    }

    /// The name of the life that takes work.
    pub(crate) fn life(&self) -> Option<String> {
        self.presence.lock().name.clone()
    }

    /// Tells the gate what the target's life allows.
    fn apply(&self) {
        let (stage, slots) = {
            let life = self.presence.lock();
            (life.stage, life.slots)
        };
        match stage {
            Stage::Ready => self.gate.target_ready(slots),
            Stage::Leaving => self.gate.leave(),
            Stage::Down | Stage::Unknown => self.gate.target_down(),
        }
    }

    /// The target can't be reached.
    pub(crate) fn lost(&self) {
        if self.heartbeats.is_none() {
            return self.gate.target_down();
        }
        if self.presence.lock().mark_unreachable() {
            log::warn!("target: it can't be reached.");
            self.apply();
        }
        self.ask.notify_one();
    }

    /// Whether the target has crashed under a request whose connection died.
    ///
    /// A target may also drop one connection and live on. To take that for a crash would hold the
    /// request for one that crashes targets. So we look whether it still takes connections. Of one
    /// that doesn't announce itself we can't tell whether that is a new life, started at once.
    pub(crate) async fn crashed(&self) -> Option<End> {
        if self.heartbeats.is_none() {
            return Some(End::Crashed);
        }
        match Connection::open(self.pool.target()).await {
            Ok(connection) => {
                self.pool.give(connection);
                None
            }
            Err(error) => {
                log::warn!("target: {error}.");
                // Before the slot is free: else it lets the next request start towards a dead
                // target.
                self.lost();
                Some(End::Crashed)
            }
        }
    }

    /// Takes in what an answer tells of the target's load.
    pub(crate) fn learn(&self, head: &response::Head) {
        if let Some(figures) = self.dialect.figures(&head.headers) {
            *self.told.lock() = Some(Instant::now());
            self.gate.set_pace(figures.pace);
            self.heard.notify_waiters();
        }
    }

    /// Another life than the one that was meant has answered.
    pub(crate) fn mistaken(&self, headers: &HeaderMap) {
        let name = self.dialect.life(headers).unwrap_or_default().to_string();
        log::warn!("target: life={name} answers in the place of another.");
        self.doubt();
    }

    fn doubt(&self) {
        self.doubted.store(true, Ordering::Release);
        self.ask.notify_one();
    }

    /// The target itself has answered as the life `name`.
    pub(crate) fn answered(&self, name: &str, well: bool, slots: Option<u16>) {
        let now = Instant::now();
        let (news, replaced) = {
            let mut life = self.presence.lock();
            let before = life.name.clone();
            let news = life.receive_health(now, name, well, slots);
            (news, before.is_some() && before != life.name)
        };
        if news {
            log::info!("target: life={name} answers for itself.");
            if replaced {
                self.began();
            }
            self.apply();
        }
    }
}
