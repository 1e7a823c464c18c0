//! Which life of the target stands at its address, as its heartbeats and answers tell.
//!
//! Heartbeats may come late: one that was held up on its way may arrive when its sender has crashed
//! and another life has announced itself, and must not bring the former one back. A target that
//! has said that it leaves gets no new work, whatever comes late.

use std::collections::VecDeque;
use std::time::Duration;

use serde::Serialize;
use tokio::time::Instant;

/// Former lives that are remembered, so that their late heartbeats change nothing.
const FORMER: usize = 32;

/// What one heartbeat says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Beat {
    /// The life of the target.
    pub life: String,
    /// Whether it takes new work.
    pub ready: bool,
    /// Requests that it runs at once at most.
    pub slots: u16,
    /// How much longer it is slow after its start.
    pub cold: Duration,
    /// Rises with each heartbeat of one life.
    pub sequence: u64,
}

/// Where a target is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// Nothing is known of any life.
    #[display("unknown")]
    Unknown,
    /// It takes work.
    #[display("ready")]
    Ready,
    /// It finishes what runs.
    #[display("leaving")]
    Leaving,
    /// It answers no more.
    #[display("down")]
    Down,
}

/// What a heartbeat changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Heard {
    /// Something that the gate has to be told.
    Changed,
    /// Nothing.
    Same,
    /// It came late, and is passed over.
    Late,
    /// It names another life, while the known one was heard a moment ago: the target itself has to
    /// be asked which of them it is.
    Doubtful,
}

/// The life at the target's address.
#[derive(Debug, Clone, Serialize)]
pub struct Life {
    /// Its name.
    pub name: Option<String>,
    /// Where it is.
    pub stage: Stage,
    /// Requests that it runs at once.
    pub slots: u16,
    /// The last heartbeat's number.
    pub sequence: u64,
    /// When it is as quick as usual.
    #[serde(skip)]
    pub warm: Instant,
    #[serde(skip)]
    heard: Option<Instant>,
    former: VecDeque<String>,
    /// A life that has announced itself while another was known.
    #[serde(skip)]
    claimant: Option<Beat>,
}

impl Life {
    /// Nothing is known; `slots` are assumed until a heartbeat or an answer tells.
    pub fn unknown(now: Instant, slots: u16) -> Life {
        Life {
            name: None,
            stage: Stage::Unknown,
            slots,
            sequence: 0,
            warm: now,
            heard: None,
            former: VecDeque::new(),
            claimant: None,
        }
    }

    /// Takes in a heartbeat; one known life counts as alive for `fresh` after its last.
    pub fn beat(&mut self, now: Instant, beat: &Beat, fresh: Duration) -> Heard {
        if self.former.contains(&beat.life) {
            return Heard::Late;
        }
        match &self.name {
            Some(name) if *name == beat.life => self.beat_again(now, beat),
            Some(_) if self.is_alive(now, fresh) => {
                self.claimant = Some(beat.clone());
                Heard::Doubtful
            }
            _ => {
                self.adopt(now, beat);
                Heard::Changed
            }
        }
    }

    fn is_alive(&self, now: Instant, fresh: Duration) -> bool {
        let lately = self.heard.is_some_and(|at| now - at < fresh);
        lately && matches!(self.stage, Stage::Ready | Stage::Leaving)
    }

    fn beat_again(&mut self, now: Instant, beat: &Beat) -> Heard {
        // A life that was learnt from an answer has had no heartbeat yet.
        if beat.sequence <= self.sequence && self.sequence > 0 {
            return Heard::Late;
        }
        self.sequence = beat.sequence;
        self.heard = Some(now);
        self.warm = now + beat.cold;
        let stage = match (self.stage, beat.ready) {
            (Stage::Leaving, _) | (_, false) => Stage::Leaving,
            (_, true) => Stage::Ready,
        };
        let slots = beat.slots.max(1);
        let changed = stage != self.stage || slots != self.slots;
        self.stage = stage;
        self.slots = slots;
        match changed {
            true => Heard::Changed,
            false => Heard::Same,
        }
    }

    fn adopt(&mut self, now: Instant, beat: &Beat) {
        self.rename(&beat.life);
        self.stage = match beat.ready {
            true => Stage::Ready,
            false => Stage::Leaving,
        };
        self.sequence = beat.sequence;
        self.heard = Some(now);
        self.slots = beat.slots.max(1);
        self.warm = now + beat.cold;
    }

    fn rename(&mut self, life: &str) {
        if self.name.as_deref() == Some(life) {
            return;
        }
        if let Some(old) = self.name.replace(life.to_string()) {
            self.forget(old);
        }
        self.claimant = None;
        self.sequence = 0;
    }

    /// The life `name` has said that it leaves; true if it is the one at the address.
    pub fn left(&mut self, name: &str) -> bool {
        if self.name.as_deref() == Some(name) {
            self.stage = Stage::Leaving;
            return true;
        }
        if self.name.is_none() {
            // It must not be taken for a new one when the target is asked.
            self.name = Some(name.to_string());
            self.stage = Stage::Leaving;
            return true;
        }
        if !self.former.iter().any(|former| former == name) {
            self.forget(name.to_string());
        }
        false
    }

    fn forget(&mut self, name: String) {
        self.former.push_back(name);
        if self.former.len() > FORMER {
            self.former.pop_front();
        }
    }

    /// The target itself has answered as the life `name`; true if that is news.
    ///
    /// Of a life that no heartbeat has told of, its word is taken on whether it is well: a daemon
    /// that has started anew must not send to a target that leaves.
    pub fn answered(&mut self, now: Instant, name: &str, well: bool, slots: Option<u16>) -> bool {
        if self.former.iter().any(|former| former == name) {
            return false;
        }
        let same = self.name.as_deref() == Some(name);
        match (same, self.stage) {
            // What it says of its health may be false; heartbeats and answers tell.
            (true, Stage::Leaving | Stage::Ready) => false,
            (true, Stage::Unknown | Stage::Down) if !well => false,
            (true, Stage::Unknown | Stage::Down) => {
                self.stage = Stage::Ready;
                true
            }
            (false, _) => self.succeeded(now, name, well, slots),
        }
    }

    fn succeeded(&mut self, now: Instant, name: &str, well: bool, slots: Option<u16>) -> bool {
        let claim = self.claimant.take().filter(|claim| claim.life == name);
        if let Some(beat) = claim {
            self.adopt(now, &beat);
            return true;
        }
        if !well {
            return false;
        }
        self.rename(name);
        self.stage = Stage::Ready;
        self.slots = slots.unwrap_or(self.slots).max(1);
        true
    }

    /// The target can't be reached; true if it was thought to be there.
    pub fn lost(&mut self) -> bool {
        let was = self.stage == Stage::Ready;
        if was {
            self.stage = Stage::Down;
        }
        was
    }

    /// Whether it has announced that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.stage == Stage::Leaving
    }
}
