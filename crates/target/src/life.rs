//! Tracks which life of the target serves at its address, from its heartbeats and answers.
//!
//! A life is one run of the target, from its start to its end. Heartbeats may be delayed: one may
//! arrive after its sender has crashed and another life has announced itself, and must not make the
//! former life current again. A target that has announced that it leaves gets no new work, whatever
//! arrives late.
//!
//! A target may also restart under the same name. It then has no memory of its former run, and its
//! heartbeats are numbered from the beginning. By name alone each of them would look late until the
//! numbers had caught up, and a drain of the former run would last for ever. Start times tell the
//! runs apart.
//!
//! A former target's address may be assigned to a target of another service. An answer names the life
//! that gave it but not its service, so only a heartbeat, which names both, makes a life current. The
//! life that a former process was told of may also become current by a health check.

use std::time::Duration;

use serde::Serialize;
use tokio::time::Instant;
use unit::Incarnation;

use crate::heartbeat::{Effect, Heartbeat};
use crate::run::{Run, Runs};

/// The stage of the target's life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// No life is known.
    #[display("unknown")]
    Unknown,
    /// It accepts requests.
    #[display("ready")]
    Ready,
    /// It accepts no new requests and finishes the running ones.
    #[display("leaving")]
    Leaving,
    /// It can't be reached.
    #[display("down")]
    Down,
}

/// What is known of the life at the target's address.
#[derive(Debug, Clone, Serialize)]
pub struct Life {
    /// Its name, if a life is known.
    pub name: Option<String>,
    /// When it started, by the target's clock, if it says so.
    pub born: Option<Incarnation>,
    /// Its stage.
    pub stage: Stage,
    /// Maximum number of requests that it runs at once.
    pub slots: u16,
    /// The sequence number of its last heartbeat; 0 before the first one.
    pub sequence: u64,
    /// When it stops being slow after its start.
    #[serde(skip)]
    pub warm_at: Instant,
    #[serde(skip)]
    last_seen: Option<Instant>,
    /// When the current life last answered a health check.
    #[serde(skip)]
    last_answer: Option<Instant>,
    former: Runs,
    left: Runs,
    /// The last life that a heartbeat has named, to this process or a former one.
    announced: Option<Run>,
    /// Whether the leaves that former processes have acknowledged are known.
    pub is_recovered: bool,
    /// When the current life began to send ready heartbeats without a gap.
    #[serde(skip)]
    ready_since: Option<Instant>,
    /// Whether the current life passed its last health check.
    #[serde(skip)]
    is_healthy: bool,
    /// The last heartbeat of a life that announced itself while another one was known.
    #[serde(skip)]
    claimant: Option<Heartbeat>,
}

impl Life {
    /// Starts with no known life; `slots` applies until a heartbeat or an answer gives the number.
    pub fn unknown(now: Instant, slots: u16) -> Life {
        Life {
            name: None,
            born: None,
            stage: Stage::Unknown,
            slots,
            sequence: 0,
            warm_at: now,
            last_seen: None,
            last_answer: None,
            former: Runs::default(),
            left: Runs::default(),
            announced: None,
            is_recovered: true,
            ready_since: None,
            is_healthy: false,
            claimant: None,
        }
    }

    /// Processes a heartbeat. The known life counts as alive for `alive_for` after its last heartbeat.
    pub fn receive_heartbeat(
        &mut self,
        now: Instant,
        heartbeat: &Heartbeat,
        alive_for: Duration,
    ) -> Effect {
        let before = self.stage;
        let was_alive = self.is_alive(now, alive_for);
        if !heartbeat.ready && !self.is_undated(heartbeat) {
            self.record_left(&heartbeat.life, heartbeat.born);
        }
        let effect = self.apply_heartbeat(now, heartbeat, alive_for);
        self.end_if_left();
        if effect.is_accepted() {
            let continues = was_alive && effect != Effect::Restarted;
            let since = self.ready_since.filter(|_| continues).unwrap_or(now);
            self.ready_since = heartbeat.ready.then_some(since);
        }
        match effect.is_accepted() || self.stage == before {
            true => effect,
            false => Effect::Changed,
        }
    }

    /// Whether the heartbeat lacks the start time that earlier ones of its life had.
    fn is_undated(&self, heartbeat: &Heartbeat) -> bool {
        let is_current = self.name.as_deref() == Some(&heartbeat.life);
        is_current && self.born.is_some() && heartbeat.born.is_none()
    }

    fn apply_heartbeat(
        &mut self,
        now: Instant,
        heartbeat: &Heartbeat,
        alive_for: Duration,
    ) -> Effect {
        if self.name.as_deref() == Some(&heartbeat.life) {
            return match (self.born, heartbeat.born) {
                (Some(_), None) => Effect::Undated,
                (Some(known), Some(born)) if born < known => {
                    self.receive_older(now, heartbeat, alive_for)
                }
                (Some(known), Some(born)) if born > known => self.begin(now, heartbeat),
                // The first heartbeat with a start time, and the numbers began again: a restart.
                (None, Some(_)) if heartbeat.sequence < self.sequence => self.begin(now, heartbeat),
                _ => self.receive_current(now, heartbeat),
            };
        }
        if self.is_former(&heartbeat.life, heartbeat.born) {
            return Effect::Late;
        }
        if self.name.is_some() && (self.is_alive(now, alive_for) || self.answers(now, alive_for)) {
            self.claimant = Some(heartbeat.clone());
            return Effect::Conflicting;
        }
        self.begin(now, heartbeat)
    }

    fn is_former(&self, name: &str, born: Option<Incarnation>) -> bool {
        self.former.cover(name, born)
    }

    /// Processes a heartbeat whose start time is before the known one.
    ///
    /// It is late, except if the target's clock was set back before a restart. Then the known run is
    /// silent, and the sequence numbers of this one increase.
    fn receive_older(
        &mut self,
        now: Instant,
        heartbeat: &Heartbeat,
        alive_for: Duration,
    ) -> Effect {
        if self.is_alive(now, alive_for) {
            return Effect::Late;
        }
        let before = self.claimant.replace(heartbeat.clone());
        let continues = before.is_some_and(|before| {
            before.life == heartbeat.life
                && before.born == heartbeat.born
                && before.sequence < heartbeat.sequence
        });
        match continues {
            true => self.begin(now, heartbeat),
            false => Effect::Late,
        }
    }

    fn is_alive(&self, now: Instant, alive_for: Duration) -> bool {
        let recent = self.last_seen.is_some_and(|at| now - at < alive_for);
        recent && matches!(self.stage, Stage::Ready | Stage::Leaving)
    }

    /// Whether the current life accepts requests and has answered a health check within `alive_for`.
    fn answers(&self, now: Instant, alive_for: Duration) -> bool {
        let recent = self.last_answer.is_some_and(|at| now - at < alive_for);
        recent && self.stage == Stage::Ready
    }

    fn receive_current(&mut self, now: Instant, heartbeat: &Heartbeat) -> Effect {
        // Sequence 0: the life is known from an answer, and this is its first heartbeat.
        if heartbeat.sequence <= self.sequence && self.sequence > 0 {
            return Effect::Late;
        }
        self.born = self.born.or(heartbeat.born);
        self.announced = self.run();
        self.sequence = heartbeat.sequence;
        self.last_seen = Some(now);
        self.warm_at = now + heartbeat.cold;
        let stage = match (self.stage, heartbeat.ready) {
            (Stage::Leaving, _) | (_, false) => Stage::Leaving,
            (_, true) => Stage::Ready,
        };
        let slots = heartbeat.slots.max(1);
        let changed = stage != self.stage || slots != self.slots;
        self.stage = stage;
        self.slots = slots;
        match changed {
            true => Effect::Changed,
            false => Effect::Unchanged,
        }
    }

    /// Makes the life of a heartbeat the current one.
    fn begin(&mut self, now: Instant, heartbeat: &Heartbeat) -> Effect {
        let effect = match self.name {
            Some(_) => Effect::Restarted,
            None => Effect::Changed,
        };
        self.replace(&heartbeat.life, heartbeat.born);
        self.announced = self.run();
        self.stage = match heartbeat.ready {
            true => Stage::Ready,
            false => Stage::Leaving,
        };
        self.sequence = heartbeat.sequence;
        self.last_seen = Some(now);
        self.slots = heartbeat.slots.max(1);
        self.warm_at = now + heartbeat.cold;
        effect
    }

    fn replace(&mut self, name: &str, born: Option<Incarnation>) {
        if let Some(old) = self.name.replace(name.to_string()) {
            self.add_former(old, self.born);
        }
        self.born = born;
        self.is_healthy = false;
        self.ready_since = None;
        // If the clock was set back, remembered lives may cover the new one; they are removed.
        self.former.remove(name, born);
        self.claimant = None;
        self.sequence = 0;
        self.last_seen = None;
        self.last_answer = None;
    }

    /// The current life, if one is known.
    fn run(&self) -> Option<Run> {
        let name = self.name.clone()?;
        let born = self.born;
        Some(Run { name, born })
    }

    /// Records that the life `name` that started at `born` has announced that it leaves. Returns true
    /// if it is the current life.
    pub fn receive_leave(&mut self, name: &str, born: Option<Incarnation>) -> bool {
        self.record_left(name, born);
        if self.name.as_deref() == Some(name) {
            if born.is_some() && born < self.born {
                return false;
            }
            if born > self.born {
                // It has restarted, and leaves before its first heartbeat has arrived.
                self.replace(name, born);
            }
            self.stage = Stage::Leaving;
            return true;
        }
        if self.name.is_none() {
            // An answer of the leaving target must not make it a new life.
            self.name = Some(name.to_string());
            self.born = born;
            self.stage = Stage::Leaving;
            return true;
        }
        if !self.is_former(name, born) {
            self.add_former(name.to_string(), born);
        }
        false
    }

    /// Records that the current life has said in an answer that it leaves; it may have no name. Returns
    /// true if that is news.
    pub fn leave(&mut self) -> bool {
        let is_news = self.stage != Stage::Leaving;
        self.stage = Stage::Leaving;
        is_news
    }

    /// Records that another life may have begun, where lives have no names. Returns true if the former
    /// one was leaving.
    pub fn return_unnamed(&mut self) -> bool {
        let returns = self.name.is_none() && self.stage == Stage::Leaving;
        if returns {
            self.stage = Stage::Ready;
        }
        returns
    }

    /// Records that a life leaves for good, whatever is heard of it later. A leave without a start time
    /// is that of the current run, if it has that name.
    fn record_left(&mut self, name: &str, born: Option<Incarnation>) {
        let current = self.born.filter(|_| self.name.as_deref() == Some(name));
        let run = Run {
            name: name.to_string(),
            born: born.or(current),
        };
        if self.has_left(name, run.born) {
            return;
        }
        self.left.push(run);
    }

    /// Whether the life `name` that started at `born` has announced that it leaves.
    fn has_left(&mut self, name: &str, born: Option<Incarnation>) -> bool {
        // A leave without a start time belongs to the run that is heard of next.
        self.left.date(name, born);
        self.left.cover(name, born)
    }

    /// Takes the current life out of service if it has announced that it leaves.
    fn end_if_left(&mut self) {
        let Some(name) = self.name.clone() else {
            return;
        };
        if self.has_left(&name, self.born) {
            self.stage = Stage::Leaving;
        }
    }

    /// The lives that have announced that they leave.
    pub fn left(&self) -> Vec<Run> {
        self.left.to_vec()
    }

    /// The last life that a heartbeat has named, to this process or a former one.
    pub fn announced(&self) -> Option<&Run> {
        self.announced.as_ref()
    }

    /// Adopts what former processes have recorded: the leaves that they have acknowledged, and the
    /// last life that a heartbeat has named. From now on the leaves are known.
    pub fn recover(&mut self, left: &[Run], announced: Option<&Run>) {
        for run in left {
            self.record_left(&run.name, run.born);
        }
        self.announced = self.announced.take().or(announced.cloned());
        self.is_recovered = true;
        self.end_if_left();
    }

    /// Whether the target may be sent requests, if what former processes have acknowledged is not known:
    /// it has sent ready heartbeats for `confirm_after` and passes its health check.
    pub fn is_confirmed(&self, now: Instant, confirm_after: Duration) -> bool {
        let confirmed = |since: Instant| now - since >= confirm_after;
        self.is_healthy && self.ready_since.is_some_and(confirmed)
    }

    fn add_former(&mut self, name: String, born: Option<Incarnation>) {
        self.former.push(Run { name, born });
    }

    /// Records that the target has answered a health check as the life `name`. Returns true if that
    /// changes what is known.
    ///
    /// A life that isn't current becomes so only if a heartbeat has named it. If only a former process has
    /// heard that heartbeat, the life must also report that it is healthy: a daemon that has just started
    /// must not send requests to a target that leaves.
    pub fn receive_health(
        &mut self,
        now: Instant,
        name: &str,
        healthy: bool,
        slots: Option<u16>,
    ) -> bool {
        let known = self.name.as_deref() == Some(name);
        if !known && self.is_former(name, None) {
            return false;
        }
        let changed = self.apply_health(now, name, known, healthy, slots);
        self.end_if_left();
        if self.name.as_deref() == Some(name) {
            self.is_healthy = healthy;
            self.last_answer = Some(now);
        }
        changed
    }

    fn apply_health(
        &mut self,
        now: Instant,
        name: &str,
        known: bool,
        healthy: bool,
        slots: Option<u16>,
    ) -> bool {
        match (known, self.stage) {
            // The reported health may be wrong; heartbeats and answers decide.
            (true, Stage::Leaving | Stage::Ready) => false,
            (true, Stage::Unknown | Stage::Down) if !healthy => false,
            (true, Stage::Unknown | Stage::Down) => {
                self.stage = Stage::Ready;
                true
            }
            (false, _) => self.receive_health_of_other(now, name, healthy, slots),
        }
    }

    fn receive_health_of_other(
        &mut self,
        now: Instant,
        name: &str,
        healthy: bool,
        slots: Option<u16>,
    ) -> bool {
        let is_named = |heartbeat: &mut Heartbeat| heartbeat.life == name;
        if let Some(heartbeat) = self.claimant.take_if(is_named) {
            self.begin(now, &heartbeat);
            return true;
        }
        let announced = self.announced.clone().filter(|run| run.name == name);
        match announced {
            Some(run) if healthy => {
                self.replace(name, run.born);
                self.stage = Stage::Ready;
                self.slots = slots.unwrap_or(self.slots).max(1);
                true
            }
            // Whoever answers, the current life doesn't.
            _ => self.mark_unreachable(),
        }
    }

    /// Records that the target can't be reached. Returns true if it was ready before.
    pub fn mark_unreachable(&mut self) -> bool {
        let was_ready = self.stage == Stage::Ready;
        if was_ready {
            self.stage = Stage::Down;
        }
        was_ready
    }

    /// Whether the target has announced that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.stage == Stage::Leaving
    }
}
