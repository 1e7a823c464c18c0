//! One daemon: its parts, put together.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use entry::server::{self, Bound};
use entry::{Entry, Limits};
use feed::{Current, Follow};
use gate::Gate;
use gotham::router::Router;
use ledger::Ledger;
use nest::Table;
use roster::{Policy, Record, Roster};
use setting::Setting;
use store::Store;
use target::Server;
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio::time::{Instant, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use unit::{Depth, Incarnation, Size};
use wire::{Dialer, Identity, Listener, Trust};

use crate::book::Book;
use crate::claims::Desk;
use crate::dump::{Dump, EntryState, LinkState, Part, RulesState, ServiceState};
use crate::error::Error;
use crate::inbound::Inbound;
use crate::{operator, port};

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

/// What the operator's port reads.
pub(crate) struct State {
    pub(crate) setting: Setting,
    pub(crate) entry: Arc<Entry>,
    pub(crate) server: Arc<Server>,
    pub(crate) desk: Arc<Desk>,
    pub(crate) roster: Arc<roster::Shared>,
    pub(crate) current: Arc<Current>,
    pub(crate) dialer: Arc<Dialer>,
    pub(crate) store: Store,
    /// Set when a planned stop is asked for.
    pub(crate) drain: CancellationToken,
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
        let record = record(&setting, &identity);
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
        let server = Arc::new(server(&setting, &nests, &held));
        let desk = Arc::new(desk(&setting, &store, &dialer, &book));
        let ways = Ways {
            dialer: &dialer,
            current: &current,
            book: &book,
            desk: &desk,
        };
        let entry = Arc::new(entry(&setting, &ways, held));
        let drain = CancellationToken::new();
        let state = State {
            setting,
            entry,
            server,
            desk,
            roster,
            current,
            dialer,
            store,
            drain,
        };
        let state = Arc::new(state);
        book.refresh(&state.entry);
        let close = CancellationToken::new();
        let mut daemon = Daemon {
            state,
            tasks: JoinSet::new(),
            ports: JoinSet::new(),
            listener,
            close,
        };
        daemon.serve(ports, nests);
        daemon.follow(book);
        Ok(daemon)
    }

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
        let inbound = Arc::new(Inbound {
            server: self.state.server.clone(),
            desk: self.state.desk.clone(),
        });
        self.tasks.spawn(inbound.run(self.listener.clone()));
        let (target, gate) = (self.state.setting.target, self.state.server.gate().clone());
        self.tasks.spawn(target::probe(target, gate));
    }

    fn port(&mut self, listener: TcpListener, router: Router, bound: Bound) {
        self.ports
            .spawn(server::serve(listener, router, bound, self.close.clone()));
    }

    fn follow(&mut self, book: Arc<Book>) {
        let state = self.state.clone();
        let follow = Arc::new(Follow {
            store: state.store.clone(),
            prefix: state.setting.announce_prefix.clone(),
            rules_key: state.setting.rules_key.clone(),
            roster: state.roster.clone(),
            current: state.current.clone(),
        });
        let rules = follow.clone();
        self.tasks.spawn(async move { rules.rules().await });
        let entry = state.entry.clone();
        self.tasks
            .spawn(async move { follow.instances(|| book.refresh(&entry)).await });
        self.tasks.spawn(announce(state));
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
        state.roster.with(|roster| roster.leave(Instant::now()));
        state.server.gate().leave();
        state.entry.leave();
        drop(timeout(GOODBYE, tell(&state)).await);
        let bound = state.setting.limits.drain.0;
        let idle = async {
            state.server.gate().idle().await;
            state.entry.idle().await;
        };
        if timeout(bound, idle).await.is_err() {
            let count = state.entry.count().open;
            let running = state.server.gate().report().running;
            log::error!(
                "daemon: drain bound of {bound:?} hit with {count} relayed, {running} running."
            );
        }
        state.desk.settle(Instant::now() + GOODBYE).await;
        self.close.cancel();
        let ports = async { while self.ports.join_next().await.is_some() {} };
        drop(timeout(GOODBYE, ports).await);
        let key = format!(
            "{}{}",
            state.setting.announce_prefix, state.setting.instance
        );
        let gone = state.store.delete(&key, store::Condition::Any);
        drop(timeout(GOODBYE, gone).await);
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

fn record(setting: &Setting, identity: &Identity) -> Record {
    // The wall clock orders the lives of one instance; nothing else depends on it.
    let life = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    Record {
        instance: setting.instance.clone(),
        incarnation: Incarnation(life.as_millis() as u64),
        state: roster::State::Live,
        zone: setting.zone.clone(),
        region: setting.region.clone(),
        service: setting.service.clone(),
        link: setting.link,
        fingerprint: identity.fingerprint(),
    }
}

fn server(setting: &Setting, nests: &Table, held: &held::Table) -> Server {
    let slots = u16::try_from(setting.slots).unwrap_or(u16::MAX);
    let queue = setting.slots as usize * setting.limits.queue as usize;
    let gate = Gate::builder(slots).queue(queue).build();
    Server::builder(setting.service.clone(), setting.target, gate)
        .nests(nests.clone())
        .max_depth(Depth(setting.limits.depth))
        .body_idle(setting.limits.idle.0)
        .held(held.clone())
        .build()
}

/// What ties an entry to the other parts.
struct Ways<'a> {
    dialer: &'a Arc<Dialer>,
    current: &'a Arc<Current>,
    book: &'a Arc<Book>,
    desk: &'a Arc<Desk>,
}

fn desk(setting: &Setting, store: &Store, dialer: &Arc<Dialer>, book: &Arc<Book>) -> Desk {
    let ledger = Ledger::builder(store.clone())
        .prefix(&setting.ledger_prefix)
        .owner(setting.instance.clone())
        .seed(rand::random())
        .open();
    Desk {
        me: setting.instance.clone(),
        ledger,
        dialer: dialer.clone(),
        book: book.clone(),
        open: TaskTracker::new(),
    }
}

fn entry(setting: &Setting, ways: &Ways<'_>, held: held::Table) -> Entry {
    let limits = Limits {
        body: setting.limits.body,
        pause: setting.limits.idle.0,
        depth: Depth(setting.limits.depth),
        ..Limits::default()
    };
    let (current, book) = (ways.current.clone(), ways.book.clone());
    let Setting {
        instance,
        zone,
        service,
        ..
    } = setting;
    Entry::builder(
        instance.clone(),
        zone.clone(),
        service.clone(),
        ways.dialer.clone(),
    )
    .rules(Arc::new(move || current.get().map(|rules| rules.document)))
    .peers(Arc::new(move |instance| book.peer(instance)))
    .limits(limits)
    .held(held)
    .claims(ways.desk.claims())
    .build()
}

/// Writes the own announcement whenever the roster says that it is due.
async fn announce(state: Arc<State>) {
    const LOOK: Duration = Duration::from_millis(100);
    const AGAIN: Duration = Duration::from_secs(1);
    loop {
        let due = state.roster.with(|roster| roster.write(Instant::now()));
        match due {
            Some(record) => {
                let prefix = &state.setting.announce_prefix;
                match feed::announce(&state.store, prefix, &record).await {
                    Ok(()) => state.roster.with(|roster| roster.written(&record)),
                    Err(error) => {
                        log::warn!("daemon: not announced: {error}.");
                        tokio::time::sleep(AGAIN).await;
                    }
                }
            }
            None => tokio::time::sleep(LOOK).await,
        }
    }
}

/// Tells the platform that this instance leaves.
async fn tell(state: &State) {
    let record = state.roster.with(|roster| roster.own_record().clone());
    if let Err(error) = feed::announce(&state.store, &state.setting.announce_prefix, &record).await
    {
        log::warn!("daemon: the platform was not told of the stop: {error}.");
    }
}

impl State {
    /// The state of one part. Keys and bodies of requests are in none of them.
    pub(crate) fn dump(&self, part: Part) -> Dump {
        let state = match part {
            Part::Setting => serde_json::to_value(format!("{:?}", self.setting)),
            Part::Rules => serde_json::to_value(self.rules()),
            Part::Entry => serde_json::to_value(self.entry_state()),
            Part::Ledger => serde_json::to_value(self.desk.ledger.dump()),
            Part::Gate => serde_json::to_value(self.server.gate().dump()),
            Part::Roster => {
                serde_json::to_value(self.roster.with(|roster| roster.dump(Instant::now())))
            }
            Part::Links => serde_json::to_value(self.links()),
        };
        let state = state.unwrap_or_else(|error| error.to_string().into());
        Dump { part, state }
    }

    fn rules(&self) -> Option<RulesState> {
        let rules = self.current.get()?;
        let names = rules.document.rules().iter().map(|rule| rule.name.clone());
        Some(RulesState {
            version: rules.version.0,
            rules: rules.document.rules().len(),
            names: names.collect(),
        })
    }

    fn entry_state(&self) -> EntryState {
        let services = self.entry.services().into_iter().map(|service| {
            let upstream = self.entry.upstream(&service);
            ServiceState {
                service: service.to_string(),
                choice: upstream.pick.dump(Instant::now()),
                retries: upstream.retries(),
            }
        });
        EntryState {
            outcomes: self.entry.count(),
            services: services.collect(),
        }
    }

    fn links(&self) -> Vec<LinkState> {
        let links = self.dialer.links().into_iter().map(|link| LinkState {
            peer: link.peer().instance.to_string(),
            address: link.peer().address.to_string(),
            open_streams: link.open_streams(),
            rtt_us: link.rtt().as_micros(),
            bytes: link.bytes(),
        });
        links.collect()
    }
}
