//! One daemon: its parts, put together.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use entry::ConnectionLimits;
use entry::server::{self, Limits};
use feed::{Current, Rejected};
use gotham::router::Router;
use nest::Table;
use roster::Roster;
use setting::Setting;
use store::Store;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout, timeout_at};
use tokio_util::sync::CancellationToken;
use unit::Size;
use wire::Listener;

use crate::assembly::{self, Sources, Ways};
use crate::directory::Directory;
use crate::dump::{Dump, Part};
use crate::error::Error;
use crate::inbound::Inbound;
use crate::keeper::Keeper;
use crate::leaves::Leaves;
use crate::links::{Hands, Life};
use crate::notice::{self, Hearers};
use crate::profile::{Links, Profile};
use crate::state::State;
use crate::suspicion::Suspicions;
use crate::{evacuated, measuring, operator, port};

/// Bytes of answers kept for requests that may not be repeated, and for how long.
const HELD: Size = Size::of(8_000_000);
const HELD_FOR: Duration = Duration::from_secs(120);

/// Bytes a second that reports on answers may take where rules don't bound them: one of 20 bytes on
/// each of some thousand answers.
const REPORTS: Size = Size::of(20_000);

/// How long the last writes of a stop may take.
const GOODBYE: Duration = Duration::from_secs(2);

/// How long the peers may take over the news of a stop, where the platform's patience is short.
const GOODBYE_QUICK: Duration = Duration::from_millis(400);

/// How long a stop still takes what callers send who have not heard of it. What is taken later may
/// not end in the time that the platform gives.
const LAST_CALLERS: Duration = Duration::from_millis(500);

/// A running daemon.
pub struct Daemon {
    state: Arc<State>,
    tasks: JoinSet<()>,
    ports: JoinSet<()>,
    listener: Arc<Listener>,
    close: CancellationToken,
}

/// The HTTP addresses, bound.
struct Ports {
    /// None where callers and the target share the outbound port.
    callers: Option<TcpListener>,
    outbound: TcpListener,
    operator: TcpListener,
}

impl Daemon {
    /// Starts a daemon that reaches the platform's store as `setting` says.
    ///
    /// # Errors
    ///
    /// An [`Error`] if an address can't be bound. A store that is down is no error: the daemon
    /// announces itself once it is up.
    pub async fn start(setting: Setting) -> Result<Daemon, Error> {
        let store = store::http::Client::builder()
            .peers(&setting.store)
            .agent(setting.instance.as_str())
            .open();
        Daemon::start_with(setting, store).await
    }

    /// Starts a daemon on a store that the caller brings.
    ///
    /// # Errors
    ///
    /// As [`Daemon::start`].
    pub async fn start_with(setting: Setting, store: Store) -> Result<Daemon, Error> {
        let profile = Profile::of(&setting);
        Daemon::start_as(setting, store, profile).await
    }

    /// Starts a daemon on a platform that `profile` describes.
    ///
    /// # Errors
    ///
    /// As [`Daemon::start`].
    pub async fn start_as(
        setting: Setting,
        store: Store,
        profile: Profile,
    ) -> Result<Daemon, Error> {
        let ports = Ports::bind(&setting, &profile).await?;
        let life = Life::draw(&setting, &profile)?;
        let record = assembly::record(&setting, life.fingerprint());
        let policy = profile.policy.clone();
        let roster = Roster::new(Instant::now(), record, policy, rand::random());
        let roster = Arc::new(roster::Shared::new(roster));
        let evacuations = Arc::new(evacuation::Shared::default());
        let directory = Arc::new(Directory::new(roster.clone(), evacuations.clone()));
        let hands = Arc::new(Hands::default());
        let (listener, dialer) = life.links(&setting, &roster, &directory, &hands).await?;
        let (listener, dialer) = (Arc::new(listener), Arc::new(dialer));
        let current = Arc::new(Current::default());
        let nests = Table::default();
        let held = held::Table::new(HELD, HELD_FOR);
        let clients = assembly::clients(&setting.limits);
        let link = setting.bandwidth.map(bandwidth::Link::new);
        let server = Arc::new(assembly::server(
            &setting,
            &profile,
            (&nests, &held, link.as_ref()),
            &current,
        ));
        let leaves = Arc::new(Leaves::new(&setting, &store, &server, &roster));
        let desk = Arc::new(assembly::desk(&setting, &store, &dialer, &directory));
        let sources = Sources {
            store: &store,
            roster: &roster,
            current: &current,
            evacuations: &evacuations,
            dialer: &dialer,
            profile: &profile,
        };
        let stale = Arc::new(Notify::new());
        let news = stale.clone();
        let feed = assembly::feed(&setting, &sources, move || news.notify_one());
        let quotas = assembly::quotas(&setting, &sources, &feed, &directory);
        let ways = Ways {
            feed: &feed,
            quotas: quotas.as_ref(),
            dialer: &dialer,
            current: &current,
            directory: &directory,
            desk: &desk,
            profile: &profile,
            link: link.as_ref(),
        };
        let entry = Arc::new(assembly::entry(&setting, &ways, held));
        hands.give(&feed, &entry);
        directory.refresh(&entry);
        let drain = CancellationToken::new();
        let state = State {
            setting,
            entry,
            server,
            leaves,
            desk,
            roster,
            current,
            evacuations,
            dialer,
            feed,
            profile,
            link,
            quotas,
            clients,
            drain,
        };
        let close = CancellationToken::new();
        let mut daemon = Daemon {
            state: Arc::new(state),
            tasks: JoinSet::new(),
            ports: JoinSet::new(),
            listener,
            close,
        };
        daemon.serve(ports, nests);
        daemon.coordinate(directory, stale);
        Ok(daemon)
    }

    /// Serves callers, the own target and operators.
    fn serve(&mut self, ports: Ports, nests: Table) {
        let state = &self.state;
        let limits = &state.setting.limits;
        let bound = Limits {
            head: limits.head,
            head_timeout: limits.head_timeout.0,
            connections: limits.client_connections(),
        };
        let operator = operator::router(state.clone());
        let entry = state.entry.clone();
        match ports.callers {
            Some(listener) => {
                let outbound = port::outbound(entry.clone(), nests);
                self.port(listener, port::callers(entry), bound);
                self.port(ports.outbound, outbound, bound);
            }
            None => {
                let dialect = state.profile.dialect.clone();
                let (clients, stop) = (state.clients.clone(), self.close.clone());
                let port = port::shared(entry, nests, dialect, self.bounds(), clients, stop);
                self.ports.spawn(port.serve(ports.outbound));
            }
        }
        self.port(ports.operator, operator, Limits::default());
    }

    /// The bounds on callers: those of the rules in force, or else of the settings.
    fn bounds(&self) -> impl Fn() -> ConnectionLimits + Send + Sync + 'static {
        let limits = self.state.setting.limits.clone();
        let current = self.state.current.clone();
        move || {
            let rules = current.get();
            let said = rules.map(|rules| *rules.document.connection_limits());
            let said = said.unwrap_or_default();
            ConnectionLimits {
                head: said.head.unwrap_or(limits.head),
                head_timeout: said.head_timeout.unwrap_or(limits.head_timeout.0),
                idle_timeout: said.idle.unwrap_or(limits.idle.0),
            }
        }
    }

    fn port(&mut self, listener: TcpListener, router: Router, bound: Limits) {
        self.ports
            .spawn(server::serve(listener, router, bound, self.close.clone()));
    }

    /// Serves the other daemons, and begins what goes on by itself.
    fn coordinate(&mut self, directory: Arc<Directory>, stale: Arc<Notify>) {
        let state = self.state.clone();
        let changed = Arc::new(Notify::new());
        let feed = state.feed.clone();
        let joined = async move { feed.joined().await };
        let (entry, kept) = (state.entry.clone(), directory.clone());
        self.tasks
            .spawn(kept.keep(entry, stale.clone(), changed.clone(), joined));
        let zone = state.setting.zone.clone();
        let evacuated = evacuated::run(
            state.evacuations.subscribe(),
            zone,
            state.server.clone(),
            stale,
        );
        self.tasks.spawn(evacuated);
        let hearers = Arc::new(Hearers::default());
        let suspicions = Arc::new(Suspicions {
            me: state.setting.instance.clone(),
            service: state.setting.service.clone(),
            gate: state.server.gate().clone(),
            dialer: state.dialer.clone(),
            directory: directory.clone(),
        });
        let inbound = Arc::new(Inbound {
            server: state.server.clone(),
            desk: state.desk.clone(),
            feed: state.feed.clone(),
            suspicions: suspicions.clone(),
            directory: directory.clone(),
            roster: state.roster.clone(),
            hearers: hearers.clone(),
            quotas: state.quotas.clone(),
        });
        self.tasks.spawn(inbound.run(self.listener.clone()));
        self.tasks.spawn(target::watch(state.server.clone()));
        self.tasks.spawn(state.leaves.clone().run());
        self.tasks.spawn(suspicions.run());
        if state.profile.links == Links::Tcp {
            let keeper = Keeper {
                entry: state.entry.clone(),
                directory,
                dialer: state.dialer.clone(),
                roster: state.roster.clone(),
                changed,
            };
            self.tasks.spawn(keeper.run());
            self.tasks.spawn(notice::run(state.server.clone(), hearers));
        }
        if state.profile.heartbeat.is_some() {
            state.server.set_report_budget(REPORTS);
        } else {
            let service = state.setting.service.clone();
            let measuring = measuring::run(state.current.clone(), state.server.clone(), service);
            self.tasks.spawn(measuring);
        }
        if let Some(quotas) = &state.quotas {
            self.tasks.spawn(quotas.clone().run());
        }
        self.tasks.spawn(async move { state.feed.run().await });
    }

    /// Resolves when an operator has asked for a planned stop over the operator's port.
    pub async fn asked_to_drain(&self) {
        self.state.drain.cancelled().await;
    }

    /// Where the daemon takes requests from callers.
    pub fn callers(&self) -> SocketAddr {
        self.state.setting.callers
    }

    /// The state of one part.
    pub fn dump(&self, part: Part) -> Dump {
        self.state.dump(part)
    }

    /// The role beside the target, which takes the target's heartbeats.
    pub fn target(&self) -> &Arc<target::Server> {
        &self.state.server
    }

    /// The acknowledged leaves of the target.
    pub fn leaves(&self) -> &Arc<Leaves> {
        &self.state.leaves
    }

    /// Tells whether requests can be served: rules are in force, and no stop is under way.
    pub fn readiness(&self) -> impl Fn() -> bool + Send + Sync + 'static {
        let state = self.state.clone();
        move || !state.entry.is_closing() && state.current.get().is_some()
    }

    /// Tells which rules are rejected, so that older ones are in force.
    pub fn rejected(&self) -> impl Fn() -> Option<Rejected> + Send + Sync + 'static {
        let current = self.state.current.clone();
        move || current.rejected()
    }

    /// Waits until callers have read all that is for them.
    async fn ports_end(&mut self) {
        while self.ports.join_next().await.is_some() {}
    }

    /// Stops as planned on a platform that sends callers elsewhere once the readiness says no.
    ///
    /// For `serve` all is served as before, with answers that ask callers to close. Then the gate
    /// closes and its entries are told; a moment later what still comes is refused as not run. What
    /// runs may end, until `within` has passed since the call. It is reported if that cuts anything
    /// off.
    pub async fn retire(mut self, serve: Duration, within: Duration) {
        let state = self.state.clone();
        let until = Instant::now() + within;
        log::info!("daemon: stop begins, serve_ms={}.", serve.as_millis());
        state.entry.close_connections();
        self.stop_lending();
        sleep(serve).await;
        state.server.gate().leave();
        let told = timeout(GOODBYE_QUICK, state.feed.leave()).await;
        if told.is_err() {
            log::warn!("daemon: some peers are not told of the stop.");
        }
        sleep(LAST_CALLERS).await;
        state.entry.leave();
        if !state.end_requests(until).await {
            let open = state.entry.count().open;
            let running = state.server.gate().report().running;
            log::error!("daemon: stop cuts off open={open} running={running}.");
        }
        self.close.cancel();
        if timeout_at(until, self.ports_end()).await.is_err() {
            log::error!("daemon: the stop cuts off callers that had not read all.");
        }
        let end = async {
            match state.server.presence().is_leaving() {
                true => state.feed.depart().await,
                false => state.feed.restart().await,
            }
            self.listener.close().await;
        };
        if timeout(GOODBYE_QUICK, end).await.is_err() {
            log::warn!("daemon: not all peers are told of the end.");
        }
        self.tasks.shutdown().await;
        log::info!("daemon: stop is done.");
    }

    /// Hands the quotas that this daemon lends to others, beside the stop.
    fn stop_lending(&mut self) {
        if let Some(quotas) = self.state.quotas.clone() {
            self.tasks.spawn(async move { quotas.stop().await });
        }
    }

    /// Stops as planned: tells the others, refuses new work as not run, finishes what runs, and
    /// ends. It waits no longer than the settings' bound, and says so in the log when that is hit.
    pub async fn drain(mut self) {
        let state = self.state.clone();
        log::info!("daemon: drain begins.");
        state.server.gate().leave();
        state.entry.leave();
        self.stop_lending();
        state.feed.leave().await;
        let bound = state.setting.limits.drain.0;
        let until = Instant::now() + bound;
        if !state.end_requests(until).await {
            let count = state.entry.count().open;
            let running = state.server.gate().report().running;
            log::error!(
                "daemon: drain bound of {bound:?} hit with {count} relayed, {running} running."
            );
        }
        state.desk.settle(Instant::now() + GOODBYE).await;
        self.close.cancel();
        // The tails of answers may still lie in buffers here, for callers that read slowly.
        let until = until.max(Instant::now() + GOODBYE);
        if timeout_at(until, self.ports_end()).await.is_err() {
            log::error!("daemon: drain bound of {bound:?} hit with callers that had not read all.");
        }
        state.feed.depart().await;
        self.listener.close().await;
        self.tasks.shutdown().await;
        log::info!("daemon: drain is done.");
    }
}

impl Ports {
    async fn bind(setting: &Setting, profile: &Profile) -> Result<Ports, Error> {
        let callers = match profile.one_port {
            true => None,
            false => Some(bind("callers", setting.callers).await?),
        };
        Ok(Ports {
            callers,
            outbound: bind("outbound", setting.outbound).await?,
            operator: bind("operator", setting.operator).await?,
        })
    }
}

async fn bind(what: &'static str, address: SocketAddr) -> Result<TcpListener, Error> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|cause| Error::Bind(what, address, cause))
}
