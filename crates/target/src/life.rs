//! Which life of the target stands at its address, as its heartbeats and answers tell.
//!
//! Heartbeats may come late: one that was held up on its way may arrive when its sender has crashed
//! and another life has announced itself, and must not bring the former one back. A target that
//! has said that it leaves gets no new work, whatever comes late.
//!
//! A target may also start again under the name that it had. It then knows nothing of before and its
//! heartbeats are numbered anew, so that a name alone would make each of them look late until the
//! numbers have caught up, and a drain of the start before would last for ever. What tells the starts
//! apart is when they began.

use std::collections::VecDeque;
use std::time::Duration;

use serde::Serialize;
use tokio::time::Instant;
use unit::Incarnation;

/// Former lives that are remembered, so that their late heartbeats change nothing.
const FORMER: usize = 32;

/// What one heartbeat says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// The life of the target.
    pub life: String,
    /// When that life began, by the target's own clock; `None` where it doesn't tell.
    pub born: Option<Incarnation>,
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
pub enum Effect {
    /// Something that the gate has to be told.
    Changed,
    /// The target has started anew; what was known of the start before is worth nothing.
    Restarted,
    /// Nothing.
    Unchanged,
    /// It came late, and is passed over.
    Late,
    /// It doesn't say when its life began, though that life has said so before: another writer's.
    Undated,
    /// It names another life, while the known one was heard a moment ago: the target itself has to
    /// be asked which of them it is.
    Conflicting,
}

/// The life at the target's address.
#[derive(Debug, Clone, Serialize)]
pub struct Life {
    /// Its name.
    pub name: Option<String>,
    /// When it began, where it tells.
    pub born: Option<Incarnation>,
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
    former: VecDeque<Former>,
    /// A life that has announced itself while another was known.
    #[serde(skip)]
    claimant: Option<Heartbeat>,
}

/// A life that was at the address before.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
struct Former {
    name: String,
    born: Option<Incarnation>,
}

impl Former {
    /// Whether a word of a life `name` that began at `born` is of this one, or of one before it.
    fn covers(&self, name: &str, born: Option<Incarnation>) -> bool {
        let later = born.is_some() && born > self.born;
        self.name == name && !later
    }
}

impl Life {
    /// Nothing is known; `slots` are assumed until a heartbeat or an answer tells.
    pub fn unknown(now: Instant, slots: u16) -> Life {
        Life {
            name: None,
            born: None,
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
    pub fn receive_heartbeat(&mut self, now: Instant, beat: &Heartbeat, fresh: Duration) -> Effect {
        if self.name.as_deref() == Some(&beat.life) {
            return match (self.born, beat.born) {
                (Some(_), None) => Effect::Undated,
                (Some(known), Some(told)) if told < known => self.beat_older(now, beat, fresh),
                (Some(known), Some(told)) if told > known => self.begin(now, beat),
                // Its heartbeats did not tell before, and are numbered anew: another start.
                (None, Some(_)) if beat.sequence < self.sequence => self.begin(now, beat),
                _ => self.beat_again(now, beat),
            };
        }
        if self.is_former(&beat.life, beat.born) {
            return Effect::Late;
        }
        if self.name.is_some() && self.is_alive(now, fresh) {
            self.claimant = Some(beat.clone());
            return Effect::Conflicting;
        }
        self.begin(now, beat)
    }

    fn is_former(&self, name: &str, born: Option<Incarnation>) -> bool {
        self.former.iter().any(|former| former.covers(name, born))
    }

    /// Takes in a heartbeat of a start that began before the known one.
    ///
    /// It is late, but for one case: the target's clock was put back between the two starts. Then the
    /// known one is silent, and this one goes on counting.
    fn beat_older(&mut self, now: Instant, beat: &Heartbeat, fresh: Duration) -> Effect {
        if self.is_alive(now, fresh) {
            return Effect::Late;
        }
        let before = self.claimant.replace(beat.clone());
        let goes_on = before.is_some_and(|before| {
            before.life == beat.life && before.born == beat.born && before.sequence < beat.sequence
        });
        match goes_on {
            true => self.begin(now, beat),
            false => Effect::Late,
        }
    }

    fn is_alive(&self, now: Instant, fresh: Duration) -> bool {
        let lately = self.heard.is_some_and(|at| now - at < fresh);
        lately && matches!(self.stage, Stage::Ready | Stage::Leaving)
    }

    fn beat_again(&mut self, now: Instant, beat: &Heartbeat) -> Effect {
        // A life that was learnt from an answer has had no heartbeat yet.
        if beat.sequence <= self.sequence && self.sequence > 0 {
            return Effect::Late;
        }
        self.born = self.born.or(beat.born);
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
            true => Effect::Changed,
            false => Effect::Unchanged,
        }
    }

    /// Takes the life of a heartbeat for the one at the address.
    fn begin(&mut self, now: Instant, beat: &Heartbeat) -> Effect {
        let heard = match self.name {
            Some(_) => Effect::Restarted,
            None => Effect::Changed,
        };
        self.rename(&beat.life, beat.born);
        self.stage = match beat.ready {
            true => Stage::Ready,
            false => Stage::Leaving,
        };
        self.sequence = beat.sequence;
        self.heard = Some(now);
        self.slots = beat.slots.max(1);
        self.warm = now + beat.cold;
        heard
    }

    fn rename(&mut self, name: &str, born: Option<Incarnation>) {
        if let Some(old) = self.name.replace(name.to_string()) {
            self.forget(old, self.born);
        }
        self.born = born;
        // A start whose clock was put back is a former one no more.
        self.former.retain(|former| !former.covers(name, born));
        self.claimant = None;
        self.sequence = 0;
    }

    /// The life `name` that began at `born` has said that it leaves; true if it is the one at the
    /// address.
    pub fn receive_leave(&mut self, name: &str, born: Option<Incarnation>) -> bool {
        if self.name.as_deref() == Some(name) {
            if born.is_some() && born < self.born {
                return false;
            }
            if born > self.born {
                // It has started again, and leaves before a heartbeat of it was heard.
                self.rename(name, born);
            }
            self.stage = Stage::Leaving;
            return true;
        }
        if self.name.is_none() {
            // It must not be taken for a new one when the target is asked.
            self.name = Some(name.to_string());
            self.born = born;
            self.stage = Stage::Leaving;
            return true;
        }
        if !self.is_former(name, born) {
            self.forget(name.to_string(), born);
        }
        false
    }

    fn forget(&mut self, name: String, born: Option<Incarnation>) {
        self.former.push_back(Former { name, born });
        if self.former.len() > FORMER {
            self.former.pop_front();
        }
    }

    /// The target itself has answered as the life `name`; true if that is news.
    ///
    /// Of a life that no heartbeat has told of, its word is taken on whether it is well: a daemon
    /// that has started anew must not send to a target that leaves.
    pub fn receive_health(
        &mut self,
        now: Instant,
        name: &str,
        well: bool,
        slots: Option<u16>,
    ) -> bool {
        let known = self.name.as_deref() == Some(name);
        if !known && self.is_former(name, None) {
            return false;
        }
        match (known, self.stage) {
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
            self.begin(now, &beat);
            return true;
        }
        if !well {
            return false;
        }
        self.rename(name, None);
        self.stage = Stage::Ready;
        self.slots = slots.unwrap_or(self.slots).max(1);
        true
    }

    /// The target can't be reached; true if it was thought to be there.
    pub fn mark_unreachable(&mut self) -> bool {
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
