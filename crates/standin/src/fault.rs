//! The faults of the platform, or of what lies between it and one client.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use store::{Bucket, Kind};
use tokio::sync::watch;
use tokio::time::Instant;
use unit::Rate;

/// Switches for faults; clones share them. All are off at first.
#[derive(Debug, Clone)]
pub struct Fault {
    state: Arc<Mutex<State>>,
    held: Arc<watch::Sender<bool>>,
    away: Arc<watch::Sender<Option<Away>>>,
}

/// How the platform treats a client that it turns away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Away {
    /// Calls are refused as not done.
    Refuse,
    /// Calls don't take effect, and their connections are closed without an answer.
    Reset,
    /// Calls don't take effect and are never answered.
    Silence,
}

#[derive(Debug)]
struct State {
    slow: Duration,
    down: bool,
    lose_next: u32,
    lose_share: f64,
    random: Pcg64Mcg,
    delay_next: u32,
    delay: Duration,
    drop_watches: bool,
    lost_watches: u64,
    reads: Option<Bucket>,
    writes: Option<Bucket>,
}

/// What is to happen to one write.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Fate {
    /// The write takes effect this much later.
    pub(crate) delay: Duration,
    /// The write takes effect, and its answer is cut off.
    pub(crate) lose: bool,
}

impl Fault {
    pub(crate) fn new() -> Fault {
        let state = State {
            slow: Duration::ZERO,
            down: false,
            lose_next: 0,
            lose_share: 0.0,
            random: Pcg64Mcg::seed_from_u64(0),
            delay_next: 0,
            delay: Duration::ZERO,
            drop_watches: false,
            lost_watches: 0,
            reads: None,
            writes: None,
        };
        Fault {
            state: Arc::new(Mutex::new(state)),
            held: Arc::new(watch::Sender::new(false)),
            away: Arc::new(watch::Sender::new(None)),
        }
    }

    /// Each call takes this much longer, half of it before the call takes effect.
    pub fn slow(&self, by: Duration) {
        self.state.lock().slow = by;
    }

    /// Calls fail at once as not done.
    pub fn down(&self, down: bool) {
        self.state.lock().down = down;
    }

    /// Calls neither take effect nor are answered until this is switched off again.
    ///
    /// Held writes take effect then, though their callers have long given up.
    pub fn hold(&self, held: bool) {
        self.held.send_replace(held);
    }

    /// Turns clients away, also those whose watches wait, until `None` is set. Writes that have arrived
    /// before take effect and are answered.
    pub fn turn_away(&self, away: Option<Away>) {
        self.away.send_replace(away);
    }

    /// The next `count` writes take effect, and their answers are cut off.
    pub fn lose_next(&self, count: u32) {
        self.state.lock().lose_next = count;
    }

    /// Of the writes, this share takes effect without an answer, drawn with `seed`.
    pub fn lose_share(&self, share: f64, seed: u64) {
        let mut state = self.state.lock();
        state.lose_share = share;
        state.random = Pcg64Mcg::seed_from_u64(seed);
    }

    /// The next `count` writes take effect only after `delay`.
    pub fn delay_next(&self, count: u32, delay: Duration) {
        let mut state = self.state.lock();
        state.delay_next = count;
        state.delay = delay;
    }

    /// Watches, also those that wait already, are never answered.
    pub fn drop_watches(&self, drop: bool) {
        self.state.lock().drop_watches = drop;
    }

    /// Watches that wait now are never answered.
    pub fn lose_watches(&self) {
        self.state.lock().lost_watches += 1;
    }

    /// Writes above this rate are refused; `burst` of them may come together.
    pub fn limit_writes(&self, rate: Rate, burst: u32) {
        self.state.lock().writes = Some(Bucket::new(rate, burst));
    }

    /// Reads above this rate are refused; each waiting watch holds one read a second.
    pub fn limit_reads(&self, rate: Rate, burst: u32) {
        self.state.lock().reads = Some(Bucket::new(rate, burst));
    }

    /// Takes all rate limits away.
    pub fn no_limits(&self) {
        let mut state = self.state.lock();
        state.reads = None;
        state.writes = None;
    }

    /// Lets a call in, or says why it is refused.
    pub(crate) fn admit(&self, write: bool) -> Result<(), Kind> {
        let mut state = self.state.lock();
        if state.down {
            return Err(Kind::NotWritten("down".to_string()));
        }
        let bucket = if write {
            state.writes.as_mut()
        } else {
            state.reads.as_mut()
        };
        let Some(bucket) = bucket else {
            return Ok(());
        };
        let taken = bucket.take(Instant::now());
        taken.map_err(|_| Kind::NotWritten("above the rate".to_string()))
    }

    /// Waits until calls are turned away, and says how; silence has no end for a call that meets it.
    pub(crate) async fn turned_away(&self) -> Kind {
        let mut away = self.away.subscribe();
        // The sender lives as long as this fault, so that the wait can't fail.
        let turned = away.wait_for(Option::is_some).await;
        let turned = turned.ok().and_then(|away| *away);
        match turned {
            Some(Away::Refuse) => Kind::NotWritten("down".to_string()),
            Some(Away::Reset) => Kind::Lost("turned away".to_string()),
            Some(Away::Silence) | None => std::future::pending().await,
        }
    }

    /// Lets a call pass unless it is turned away.
    pub(crate) async fn turn(&self) -> Result<(), Kind> {
        let turned = self.away.borrow().is_some();
        if turned {
            return Err(self.turned_away().await);
        }
        Ok(())
    }

    /// Waits while calls are held.
    pub(crate) async fn pass(&self) {
        let mut held = self.held.subscribe();
        // The sender lives as long as this fault, so that the wait can't fail.
        let _ = held.wait_for(|held| !held).await;
    }

    /// The time that a call takes before it takes effect, and after that.
    ///
    /// The first is in whole milliseconds, as the runtime's timers are: two halves of an odd number
    /// would each be rounded up.
    pub(crate) fn halves(&self) -> [Duration; 2] {
        let slow = self.state.lock().slow;
        let whole = u64::try_from(slow.as_millis() / 2).unwrap_or(u64::MAX);
        let first = Duration::from_millis(whole);
        [first, slow.saturating_sub(first)]
    }

    /// How often the watches that waited were lost.
    pub(crate) fn lost_watches(&self) -> u64 {
        self.state.lock().lost_watches
    }

    pub(crate) fn watches_dropped(&self) -> bool {
        self.state.lock().drop_watches
    }

    /// Draws what is to happen to one write.
    pub(crate) fn fate(&self) -> Fate {
        let mut state = self.state.lock();
        let mut fate = Fate::default();
        if state.lose_next > 0 {
            state.lose_next -= 1;
            fate.lose = true;
        } else if state.lose_share > 0.0 {
            let share = state.lose_share;
            fate.lose = state.random.random_bool(share);
        }
        if state.delay_next > 0 {
            state.delay_next -= 1;
            fate.delay = state.delay;
        }
        fate
    }

    /// Notes that a watch waits, for the limit of reads.
    pub(crate) fn wait(&self) -> Waiting {
        self.open(true);
        Waiting(self.clone())
    }

    fn open(&self, begins: bool) {
        let mut state = self.state.lock();
        let Some(bucket) = state.reads.as_mut() else {
            return;
        };
        if begins {
            bucket.hold(Instant::now());
        } else {
            bucket.free(Instant::now());
        }
    }
}

/// A watch that waits, until it is dropped.
pub(crate) struct Waiting(Fault);

impl Drop for Waiting {
    fn drop(&mut self) {
        self.0.open(false);
    }
}
