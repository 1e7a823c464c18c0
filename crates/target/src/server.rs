//! One target behind its gate.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use dialect::Dialect;
use gate::{Fence, Gate, Status};
use held::Found;
use nest::Table;
use parking_lot::Mutex;
use pick::measure::{Budget, Setting, Spent};
use tokio::sync::Notify;
use tokio::time::Instant;
use unit::{Depth, Instance, Report, Service, Size, Urgency};
use wire::{Ask, Call, Error, Frame, Known, Sender, Stream};

use crate::call::Work;
use crate::life::Life;
use crate::pool::Pool;
use crate::{Builder, Heartbeats, Stats};

/// Longest time that one question after a token may wait for the call to end.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// Serves the calls for one target.
pub struct Server {
    pub(crate) service: Service,
    pub(crate) gate: Gate,
    pub(crate) nests: Table,
    pub(crate) max_depth: Depth,
    pub(crate) idle_timeout: Duration,
    pub(crate) pool: Arc<Pool>,
    pub(crate) held: held::Table,
    pub(crate) dialect: Dialect,
    pub(crate) heartbeats: Option<Heartbeats>,
    pub(crate) presence: Mutex<Life>,
    /// When the target last told its load.
    pub(crate) told: Mutex<Option<Instant>>,
    /// Wakes the watch when the target has to be asked.
    pub(crate) ask: Notify,
    /// The target has to be asked which life it is.
    pub(crate) doubted: AtomicBool,
    /// Somebody waits for the target's word on its load.
    pub(crate) wanted: AtomicBool,
    /// Told whenever the target has told its load.
    pub(crate) heard: Notify,
    measure: Mutex<Measure>,
    pub(crate) stats: Stats,
}

/// What may be spent on telling entries of the load here.
struct Measure {
    bytes: Size,
    budget: Budget,
}

impl Server {
    /// A server for the target of `service` at `target`, behind `gate`.
    pub fn builder(service: Service, target: SocketAddr, gate: Gate) -> Builder {
        Builder::new(service, target, gate)
    }

    pub(crate) fn new(builder: Builder) -> Server {
        let slots = builder.gate.slots();
        if builder.heartbeats.is_some() {
            builder.gate.target_down();
        }
        Server {
            presence: Mutex::new(Life::unknown(Instant::now(), slots)),
            dialect: builder.dialect,
            heartbeats: builder.heartbeats,
            told: Mutex::new(None),
            ask: Notify::new(),
            doubted: AtomicBool::new(false),
            wanted: AtomicBool::new(false),
            heard: Notify::new(),
            stats: Stats::default(),
            service: builder.service,
            gate: builder.gate,
            nests: builder.nests,
            max_depth: builder.max_depth,
            idle_timeout: builder.idle_timeout,
            pool: Arc::new(Pool::new(builder.target)),
            held: builder.held,
            measure: Mutex::new(Measure::new(Setting::default().bytes)),
        }
    }

    /// The service of the target.
    pub fn service(&self) -> &Service {
        &self.service
    }

    /// The gate before the target.
    pub fn gate(&self) -> &Gate {
        &self.gate
    }

    /// What this role measures.
    pub fn stats(&self) -> &Stats {
        &self.stats
    }

    /// Connections to the target that were opened so far, without those of questions.
    pub fn connections(&self) -> u64 {
        self.pool.opened()
    }

    /// Sets the bytes per second that may be spent on reports of the load, as the rules say.
    pub fn set_report_budget(&self, bytes: Size) {
        let mut measure = self.measure.lock();
        if measure.bytes != bytes {
            *measure = Measure::new(bytes);
        }
    }

    /// What was spent on reports of the load since the budget was last set.
    pub fn report_spending(&self) -> Spent {
        self.measure.lock().budget.spent()
    }

    /// The load here, if the budget lets the report ride on an answer to `entry`.
    pub(crate) fn report(&self, entry: &Instance, urgency: Urgency) -> Option<Report> {
        let report = self.gate.report();
        let budget = &mut self.measure.lock().budget;
        budget
            .try_attach(Instant::now(), entry, urgency, &report)
            .then_some(report)
    }

    /// Serves one call whose head has come on `stream`, to its end.
    ///
    /// # Errors
    ///
    /// The link's error if the entry went away.
    pub async fn call(&self, stream: Stream, call: Call) -> Result<(), Error> {
        let entry = stream.receiver.peer().clone();
        Work::new(self, call, entry).run(stream).await
    }

    /// Answers a question after a token.
    ///
    /// # Errors
    ///
    /// The link's error if the asker went away.
    pub async fn ask(&self, mut sender: Sender, ask: Ask) -> Result<(), Error> {
        let until = Instant::now() + ask.wait.min(MAX_WAIT);
        let found = self.held.wait(ask.token, until).await;
        let known = match found {
            Found::Answer(_) => Known::Done { held: true },
            Found::Ended => Known::Done { held: false },
            Found::Running => Known::Running,
            Found::Nothing => self.known(&ask),
        };
        sender.push(&Frame::Known(known))?;
        if let Found::Answer(answer) = found {
            sender.push(&Frame::Reply(answer.reply))?;
            sender.write(answer.body).await?;
            sender.push(&Frame::End)?;
        }
        sender.finish().await
    }

    fn known(&self, ask: &Ask) -> Known {
        if ask.fence {
            let deadline = Instant::now() + ask.remaining.min(MAX_WAIT);
            return match self.gate.fence(ask.token, deadline) {
                Fence::Fenced | Fence::Cancelled => Known::Unknown { fenced: true },
                Fence::Running => Known::Running,
                Fence::Done => Known::Done { held: false },
                Fence::Unsure => Known::Unknown { fenced: false },
            };
        }
        match self.gate.status(ask.token) {
            Status::Unknown => Known::Unknown { fenced: false },
            Status::Queued | Status::Running => Known::Running,
            Status::Done => Known::Done { held: false },
        }
    }
}

impl Measure {
    fn new(bytes: Size) -> Measure {
        let setting = Setting {
            bytes,
            ..Setting::default()
        };
        Measure {
            bytes,
            budget: Budget::new(setting),
        }
    }
}
