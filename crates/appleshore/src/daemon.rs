//! One daemon: its parts, put together.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use entry::server::{self, Bound};
use feed::Current;
use gotham::router::Router;
use nest::Table;
use roster::{Policy, Roster};
use setting::Setting;
use store::Store;
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio::time::{Instant, timeout_at};
use tokio_util::sync::CancellationToken;
use unit::Size;
use wire::{Dialer, Identity, Listener, Trust};

use crate::assembly::{self, Sources, Ways};
use crate::book::Book;
use crate::dump::{Dump, Part};
use crate::error::Error;
use crate::inbound::Inbound;
use crate::state::State;
use crate::suspicion::Suspicions;
use crate::{measuring, operator, port};

/// Bytes of answers kept for requests that may not be repeated, and for how long.
const HELD: Size = Size::of(8_000_000);
const HELD_FOR: Duration = Duration::from_secs(120);

/// How long the last writes of a stop may take.
const GOODBYE: Duration = Duration::from_secs(2);

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
    callers: TcpListener,
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
        let ports = Ports::bind(&setting).await?;
        let identity = Identity::fresh(setting.instance.clone())?;
        let record = assembly::record(&setting, &identity);
        let roster = Roster::new(Instant::now(), record, Policy::default(), rand::random());
        let roster = Arc::new(roster::Shared::new(roster));
        let book = Arc::new(Book::new(roster.clone()));
        let known = book.clone();
        let trust = Trust::new(move |fingerprint| known.name(fingerprint));
        let listener = Arc::new(Listener::bind(setting.link, &identity, trust)?);
        let dialer = Arc::new(Dialer::bind(identity, setting.link.ip())?);
        let current = Arc::new(Current::default());
        let nests = Table::default();
        let held = held::Table::new(HELD, HELD_FOR);
        let server = Arc::new(assembly::server(&setting, &nests, &held));
        let desk = Arc::new(assembly::desk(&setting, &store, &dialer, &book));
        let ways = Ways {
            dialer: &dialer,
            current: &current,
            book: &book,
            desk: &desk,
        };
        let entry = Arc::new(assembly::entry(&setting, &ways, held));
        let sources = Sources {
            store: &store,
            roster: &roster,
            current: &current,
            dialer: &dialer,
        };
        let (page, reader) = (book.clone(), entry.clone());
        let feed = assembly::feed(&setting, &sources, move || page.refresh(&reader));
        book.refresh(&entry);
        let drain = CancellationToken::new();
        let state = State {
            setting,
            entry,
            server,
            desk,
            roster,
            current,
            dialer,
            feed,
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
        daemon.coordinate(book);
        Ok(daemon)
    }

    /// Serves callers, the own target and operators.
    fn serve(&mut self, ports: Ports, nests: Table) {
        let state = &self.state;
        let limits = &state.setting.limits;
        let bound = Bound {
            head: limits.head,
            head_timeout: limits.head_timeout.0,
            connections: limits.connections,
        };
        let callers = port::callers(state.entry.clone());
        let outbound = port::outbound(state.entry.clone(), nests);
        let operator = operator::router(state.clone());
        self.port(ports.callers, callers, bound);
        self.port(ports.outbound, outbound, bound);
        self.port(ports.operator, operator, Bound::default());
    }

    fn port(&mut self, listener: TcpListener, router: Router, bound: Bound) {
        self.ports
            .spawn(server::serve(listener, router, bound, self.close.clone()));
    }

    /// Serves the other daemons, and begins what goes on by itself.
    fn coordinate(&mut self, book: Arc<Book>) {
        let state = self.state.clone();
        let gate = state.server.gate().clone();
        let suspicions = Arc::new(Suspicions {
            me: state.setting.instance.clone(),
            service: state.setting.service.clone(),
            gate: gate.clone(),
            dialer: state.dialer.clone(),
            book: book.clone(),
        });
        let inbound = Arc::new(Inbound {
            server: state.server.clone(),
            desk: state.desk.clone(),
            feed: state.feed.clone(),
            suspicions: suspicions.clone(),
            book,
            roster: state.roster.clone(),
        });
        self.tasks.spawn(inbound.run(self.listener.clone()));
        self.tasks.spawn(target::probe(state.setting.target, gate));
        self.tasks.spawn(suspicions.run());
        let service = state.setting.service.clone();
        let measuring = measuring::run(state.current.clone(), state.server.clone(), service);
        self.tasks.spawn(measuring);
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

    /// Stops as planned: tells the others, refuses new work as not run, finishes what runs, and
    /// ends. It waits no longer than the settings' bound, and says so in the log when that is hit.
    pub async fn drain(mut self) {
        let state = self.state.clone();
        log::info!("daemon: drain begins.");
        state.server.gate().leave();
        state.entry.leave();
        state.feed.leave().await;
        let bound = state.setting.limits.drain.0;
        let until = Instant::now() + bound;
        let idle = async {
            state.server.gate().idle().await;
            state.entry.idle().await;
        };
        if timeout_at(until, idle).await.is_err() {
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
        let ports = async { while self.ports.join_next().await.is_some() {} };
        if timeout_at(until, ports).await.is_err() {
            log::error!("daemon: drain bound of {bound:?} hit with callers that had not read all.");
        }
        state.feed.depart().await;
        self.listener.close().await;
        self.tasks.shutdown().await;
        log::info!("daemon: drain is done.");
    }
}

impl Ports {
    async fn bind(setting: &Setting) -> Result<Ports, Error> {
        Ok(Ports {
            callers: bind("callers", setting.callers).await?,
            outbound: bind("outbound", setting.outbound).await?,
            operator: bind("operator", setting.operator).await?,
        })
    }
}

async fn bind(what: &'static str, address: SocketAddr) -> Result<TcpListener, Error> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|cause| Error::Bind(what, address, cause))
}
