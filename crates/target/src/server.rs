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

use crate::call::Handler;
use crate::leave::Witness;
use crate::life::{Life, Stage};
use crate::max_rate::MaxRate;
use crate::pool::Pool;
use crate::warmth::Warmth;
use crate::{Builder, ColdLimits, Heartbeats, Link, Stats};

/// Maximum time that a query for a token waits for the call to end.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// Serves the calls to one target, through its gate.
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
    pub(crate) link: Option<Link>,
    pub(crate) presence: Mutex<Life>,
    /// The stage that the gate was last notified of.
    pub(crate) gate_stage: Mutex<Stage>,
    pub(crate) warmth: Mutex<Warmth>,
    pub(crate) witness: Mutex<Option<Witness>>,
    pub(crate) max_rate: Mutex<MaxRate>,
    /// What the gate was last told of cold targets.
    pub(crate) cold_limits: Mutex<ColdLimits>,
    pub(crate) started_at: Instant,
    /// When the target last reported its load, or answered a health check without a load.
    pub(crate) load_reported_at: Mutex<Option<Instant>>,
    /// Wakes [`watch`](crate::watch()) to send a health check.
    pub(crate) check_requested: Notify,
    /// Notified whenever a heartbeat names another life than before.
    pub(crate) life_announced: Notify,
    /// Whether a health check must tell which life is current.
    pub(crate) life_in_doubt: AtomicBool,
    /// Whether a request waits for a pace report.
    pub(crate) pace_wanted: AtomicBool,
    /// Notified whenever the target reports its load.
    pub(crate) load_received: Notify,
    report_budget: Mutex<ReportBudget>,
    pub(crate) stats: Stats,
}

/// The budget for load reports to entries.
struct ReportBudget {
    bytes: Size,
    budget: Budget,
}

impl Server {
    /// Builds a server for the target of `service` at `target`, behind `gate`.
    pub fn builder(service: Service, target: SocketAddr, gate: Gate) -> Builder {
        Builder::new(service, target, gate)
    }

    pub(crate) fn new(builder: Builder) -> Server {
        let slots = builder.gate.slots();
        if builder.heartbeats.is_some() {
            builder.gate.target_down();
            builder.gate.set_warmup(gate::Warmup::Unknown);
            builder.gate.inherit_cold_starts();
        }
        let now = Instant::now();
        let mut life = Life::unknown(now, slots);
        life.is_recovered = !builder.recovers;
        Server {
            presence: Mutex::new(life),
            gate_stage: Mutex::new(Stage::Unknown),
            warmth: Mutex::new(Warmth::unknown(now)),
            witness: Mutex::default(),
            max_rate: Mutex::default(),
            cold_limits: Mutex::default(),
            started_at: now,
            dialect: builder.dialect,
            heartbeats: builder.heartbeats,
            link: builder.link,
            load_reported_at: Mutex::new(None),
            check_requested: Notify::new(),
            life_announced: Notify::new(),
            life_in_doubt: AtomicBool::new(false),
            pace_wanted: AtomicBool::new(false),
            load_received: Notify::new(),
            stats: Stats::default(),
            service: builder.service,
            gate: builder.gate,
            nests: builder.nests,
            max_depth: builder.max_depth,
            idle_timeout: builder.idle_timeout,
            pool: Arc::new(Pool::new(builder.target)),
            held: builder.held,
            report_budget: Mutex::new(ReportBudget::new(Setting::default().bytes)),
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

    /// The metrics of this role.
    pub fn stats(&self) -> &Stats {
        &self.stats
    }

    /// Number of connections opened to the target so far, without those of health checks.
    pub fn connections(&self) -> u64 {
        self.pool.opened()
    }

    /// Sets the bytes per second that load reports may use. If the value changes, the count of
    /// [`Server::report_spending`] starts again.
    pub fn set_report_budget(&self, bytes: Size) {
        let mut budget = self.report_budget.lock();
        if budget.bytes != bytes {
            *budget = ReportBudget::new(bytes);
        }
    }

    /// Use of the budget for load reports since the budget was last changed.
    pub fn report_spending(&self) -> Spent {
        self.report_budget.lock().budget.spent()
    }

    /// The load of this gate and of its machine's link.
    pub fn load(&self) -> Report {
        let mut report = self.gate.report();
        if let Some(Link { link, .. }) = &self.link {
            let backlog = link.backlog().as_millis();
            report.link_ms = u16::try_from(backlog).unwrap_or(u16::MAX);
        }
        report
    }

    /// How long the answer of a bulk request to `entry` is expected to take on the link. An idle link
    /// gets one whatever its expected size, because an estimate that refuses all is never corrected.
    pub(crate) fn delivery(&self, entry: &Instance, bulk: bool) -> Option<Duration> {
        let link = self.link_to(entry).filter(|_| bulk)?;
        (!link.backlog().is_zero()).then(|| link.delivery())
    }

    /// Counts the answer of a bulk request to `entry` as expected on the link.
    pub(crate) fn expect_bulk(&self, entry: &Instance, bulk: bool) -> Option<bandwidth::Expected> {
        let link = self.link_to(entry).filter(|_| bulk)?;
        Some(link.expect_bulk())
    }

    /// The link to `entry`, if answers to it are paced.
    pub(crate) fn link_to(&self, entry: &Instance) -> Option<&bandwidth::Link> {
        let Link { link, instance } = self.link.as_ref()?;
        (instance != entry).then_some(link)
    }

    /// The load report to attach to an answer to `entry`, if the budget allows it.
    pub(crate) fn report(&self, entry: &Instance, urgency: Urgency) -> Option<Report> {
        let report = self.load();
        let budget = &mut self.report_budget.lock().budget;
        budget
            .try_attach(Instant::now(), entry, urgency, &report)
            .then_some(report)
    }

    /// Serves one call to its end; `call` is its head, which was read from `stream`.
    ///
    /// # Errors
    ///
    /// The link's error if the entry disconnected.
    pub async fn call(&self, stream: Stream, call: Call) -> Result<(), Error> {
        let entry = stream.receiver.peer().clone();
        Handler::new(self, call, entry).run(stream).await
    }

    /// Answers a query for the state of a token.
    ///
    /// # Errors
    ///
    /// The link's error if the peer disconnected.
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
            if let Some(Link { link, .. }) = &self.link {
                link.record(answer.body.len());
            }
            sender.push(&Frame::Reply(answer.reply))?;
            sender.write(answer.body).await?;
            sender.push(&Frame::End)?;
        }
        sender.finish().await
    }

    /// What the gate knows of a token; fences the token if the query asks for it.
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

impl ReportBudget {
    fn new(bytes: Size) -> ReportBudget {
        let setting = Setting {
            bytes,
            ..Setting::default()
        };
        ReportBudget {
            bytes,
            budget: Budget::new(setting),
        }
    }
}
