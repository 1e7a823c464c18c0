//! Tracks whether the target is available, from heartbeats, answers and connections.

use std::sync::atomic::Ordering;
use std::time::Duration;

use gate::End;
use http::HeaderMap;
use http1::response;
use tokio::time::Instant;
use unit::Incarnation;

use crate::connection::Connection;
use crate::heartbeat::{Effect, Heartbeat};
use crate::life::{Life, Stage};
use crate::run::Run;
use crate::server::Server;
use crate::warmth::Source;

/// A life counts as alive for this many heartbeat periods after its last heartbeat.
const ALIVE_PERIODS: u32 = 2;

/// The message or event that changed what is known of the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub(crate) enum Evidence {
    /// A heartbeat of the target.
    #[display("heartbeat")]
    Heartbeat,
    /// The announcement of its end.
    #[display("leave")]
    Leave,
    /// The answer to a request.
    #[display("answer")]
    Answer,
    /// The answer to a health check.
    #[display("health-check")]
    HealthCheck,
    /// The state of a connection.
    #[display("connection")]
    Connection,
    /// The leaves that former processes have acknowledged.
    #[display("recovery")]
    Recovery,
}

impl Server {
    /// Processes a heartbeat of the target, and updates the gate.
    pub fn receive_heartbeat(&self, heartbeat: &Heartbeat) -> Effect {
        let now = Instant::now();
        let alive_for = self.alive_for();
        let (effect, is_new) = {
            let mut life = self.presence.lock();
            let before = life.announced().cloned();
            let effect = life.receive_heartbeat(now, heartbeat, alive_for);
            (effect, life.announced() != before.as_ref())
        };
        if is_new {
            self.life_announced.notify_one();
        }
        if effect == Effect::Restarted {
            // What the former life reported must not outlast it.
            self.target_restarted();
        }
        if effect.is_accepted() {
            self.record_warmth(heartbeat.cold, Source::Heartbeat);
        }
        match effect {
            Effect::Changed => {
                log::info!(
                    "target: life={} ready={} slots={} sequence={} cold_ms={}.",
                    heartbeat.life,
                    heartbeat.ready,
                    heartbeat.slots,
                    heartbeat.sequence,
                    heartbeat.cold.as_millis()
                );
                self.update_gate(Evidence::Heartbeat);
            }
            Effect::Restarted => {
                let born = heartbeat
                    .born
                    .map_or("untold".into(), |born| born.to_string());
                log::warn!(
                    "target: life={} born={born} has begun, ready={} slots={} sequence={} cold_ms={}.",
                    heartbeat.life,
                    heartbeat.ready,
                    heartbeat.slots,
                    heartbeat.sequence,
                    heartbeat.cold.as_millis()
                );
                self.update_gate(Evidence::Heartbeat);
            }
            Effect::Undated => {
                self.stats().malformed.inc();
                log::warn!(
                    "target: a heartbeat of life={} sequence={} tells no start and is passed over.",
                    heartbeat.life,
                    heartbeat.sequence
                );
            }
            Effect::Unchanged => self.update_changed_gate(Evidence::Heartbeat),
            Effect::Late => log::info!(
                "target: a heartbeat of life={} sequence={} came late and is passed over.",
                heartbeat.life,
                heartbeat.sequence
            ),
            Effect::Conflicting => {
                log::warn!(
                    "target: life={} announces itself beside another.",
                    heartbeat.life
                );
                self.request_life_check();
            }
        }
        effect
    }

    /// Records that the life `name` of the target has announced its end; `born` is when that life
    /// started, if the target says so.
    pub fn receive_leave(&self, name: &str, born: Option<Incarnation>) {
        log::info!("target: life={name} leaves.");
        if self.presence.lock().receive_leave(name, born) {
            self.update_gate(Evidence::Leave);
        }
    }

    /// Adopts the leaves that former processes have acknowledged, and the last life that a heartbeat
    /// has named to them. From now on the gate may open.
    pub fn recover(&self, left: &[Run], announced: Option<&Run>) {
        self.presence.lock().recover(left, announced);
        self.update_changed_gate(Evidence::Recovery);
        // If that life still answers, it needn't wait for its next heartbeat.
        self.request_life_check();
    }

    /// Whether the gate may open without the leaves that former processes have acknowledged: they are
    /// known, or the target has shown for long enough that it stays.
    pub fn is_confirmed(&self) -> bool {
        self.is_usable(&self.presence.lock())
    }

    /// The lives that have announced that they leave.
    pub fn left(&self) -> Vec<Run> {
        self.presence.lock().left()
    }

    /// The last life that a heartbeat has named, to this process or a former one.
    pub fn announced(&self) -> Option<Run> {
        self.presence.lock().announced().cloned()
    }

    /// Waits until a heartbeat has named another life than before.
    pub async fn life_announced(&self) {
        self.life_announced.notified().await;
    }

    /// Records that the current life has said in an answer that it leaves.
    pub(crate) fn leave_by_answer(&self) {
        let (is_news, is_named) = {
            let mut life = self.presence.lock();
            (life.leave(), life.name.is_some())
        };
        if is_news {
            log::info!("target: says in an answer that it leaves.");
            if !is_named {
                // Until the answer is complete there is no connection to go by.
                self.witness_leave(None);
            }
            self.update_gate(Evidence::Answer);
        }
    }

    /// Handles a restart of the target: its connections are closed, and its state is lost.
    ///
    /// Requests sent to the former run may have run, and requests that crash targets still do, so the
    /// gate keeps its tokens and suspects.
    fn target_restarted(&self) {
        self.pool.clear();
        self.reset_max_rate();
        self.doubt_warmth();
        self.gate.target_cold();
        self.gate.target_restarted();
    }

    /// A snapshot of what is known of the target's life.
    pub fn presence(&self) -> Life {
        self.presence.lock().clone()
    }

    /// The name of the current life, if one is known.
    pub(crate) fn life_name(&self) -> Option<String> {
        self.presence.lock().name.clone()
    }

    /// Notifies the gate of the stage and slots of the target's life, which `evidence` has changed.
    pub(crate) fn update_gate(&self, evidence: Evidence) {
        // The lock is held until the gate has changed. Otherwise a stage that was read before a leave
        // could be applied after it.
        let life = self.presence.lock();
        let stage = self.usable_stage(&life);
        self.record_stage(&life, stage, evidence);
        match stage {
            Stage::Ready => self.gate.target_ready(life.slots),
            Stage::Leaving => self.gate.leave(),
            Stage::Down | Stage::Unknown => self.gate.target_down(),
        }
    }

    /// The stage by which the gate goes: a target that may have left before this process started is
    /// unknown.
    fn usable_stage(&self, life: &Life) -> Stage {
        match life.stage {
            Stage::Ready if !self.is_usable(life) => Stage::Unknown,
            stage => stage,
        }
    }

    fn is_usable(&self, life: &Life) -> bool {
        life.is_recovered || life.is_confirmed(Instant::now(), self.alive_for())
    }

    /// Notifies the gate if its stage has changed. A stage that is repeated would open the gate again
    /// that a planned stop of this daemon has closed.
    fn update_changed_gate(&self, evidence: Evidence) {
        let stage = self.usable_stage(&self.presence.lock());
        if stage != *self.gate_stage.lock() {
            self.update_gate(evidence);
        }
    }

    /// How long a life counts as alive after its last heartbeat.
    fn alive_for(&self) -> Duration {
        let period = self.heartbeats.as_ref().map(|heartbeats| heartbeats.period);
        period.unwrap_or(Duration::ZERO) * ALIVE_PERIODS
    }

    /// Logs and counts a change of the stage that the gate is notified of.
    fn record_stage(&self, life: &Life, stage: Stage, evidence: Evidence) {
        let before = std::mem::replace(&mut *self.gate_stage.lock(), stage);
        if before == stage {
            return;
        }
        if stage == Stage::Ready {
            self.stats().gate_openings.inc();
        }
        log::info!(
            "target: gate={stage} before={before} life={} by={evidence} sequence={} recovered={} process_ms={}.",
            life.name.as_deref().unwrap_or("unnamed"),
            life.sequence,
            life.is_recovered,
            self.started_at.elapsed().as_millis()
        );
    }

    /// Records that the target can't be reached, and requests a health check.
    pub(crate) fn mark_unreachable(&self) {
        if self.heartbeats.is_none() {
            return self.gate.target_down();
        }
        if self.presence.lock().mark_unreachable() {
            log::warn!("target: cannot be reached.");
            self.doubt_warmth();
            self.update_gate(Evidence::Connection);
        }
        self.check_requested.notify_one();
    }

    /// Checks whether the target has crashed during a request whose connection was lost; if so,
    /// returns [`End::Crashed`].
    ///
    /// A target may also close one connection and go on running. Treating that as a crash would make
    /// the request a suspect that crashes targets. So this checks whether the target still accepts
    /// connections. For a target without heartbeats this can't tell a new life that started at once
    /// from the former one, so a lost connection always counts as a crash.
    pub(crate) async fn check_crash(&self) -> Option<End> {
        if self.heartbeats.is_none() {
            return Some(End::Crashed);
        }
        match Connection::open(self.pool.target()).await {
            Ok(connection) => {
                self.pool.put(connection);
                None
            }
            Err(error) => {
                log::warn!("target: {error}.");
                // This must come before the slot is released, which otherwise lets the next request
                // start at a dead target.
                self.mark_unreachable();
                Some(End::Crashed)
            }
        }
    }

    /// Records the load that an answer reports, if it reports one.
    pub(crate) fn record_load(&self, head: &response::Head) {
        if let Some(figures) = self.dialect.figures(&head.headers) {
            *self.load_reported_at.lock() = Some(Instant::now());
            self.gate.set_pace(figures.pace);
            self.load_received.notify_waiters();
        }
    }

    /// Handles an answer from another life than the request was addressed to.
    pub(crate) fn wrong_life_answered(&self, headers: &HeaderMap) {
        let name = self.dialect.life(headers).unwrap_or_default().to_string();
        log::warn!("target: life={name} answers in the place of another.");
        self.request_life_check();
    }

    /// Requests a health check that tells which life is current.
    pub(crate) fn request_life_check(&self) {
        self.life_in_doubt.store(true, Ordering::Release);
        self.check_requested.notify_one();
    }

    /// Records that the target has answered a health check as the life `name`. Returns true if that
    /// changes what is known of it; the gate must then be updated.
    pub(crate) fn receive_health(&self, name: &str, healthy: bool, slots: Option<u16>) -> bool {
        let now = Instant::now();
        let (changed, before, is_current) = {
            let mut life = self.presence.lock();
            let before = life.name.clone();
            let changed = life.receive_health(now, name, healthy, slots);
            (changed, before, life.name.as_deref() == Some(name))
        };
        if !is_current {
            self.stats().foreign_answers.inc();
        }
        if changed && is_current {
            log::info!("target: life={name} answers for itself.");
            if before.is_some_and(|before| before != name) {
                self.target_restarted();
            }
        } else if changed {
            let before = before.as_deref().unwrap_or("unnamed");
            log::warn!("target: life={name} answers in the place of life={before}.");
            self.doubt_warmth();
        }
        changed
    }
}
