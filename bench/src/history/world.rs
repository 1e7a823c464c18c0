//! The platform's stand-in, three instances and their targets, and the faults that befall them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use appleshore::Part;
use entry::OUTCOME;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use mesh::{Address, Block, Client, Log, Process, Target};
use rule::Document;
use setting::Setting;
use standin::{Fault, Platform, serve};
use store::Condition;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};
use unit::Outcome;

use super::parts::{Book, Parts, Place};
use super::plan::{Form, INSTANCES, Order};
use super::record::Told;
use super::relay::Relay;
use super::safeguard::{Safeguard, unfenced};

/// What the keys of the ledger begin with.
const LEDGER: &str = "ledger";

const CALLER: &str = "desk@clinic-7";
const LOOK: Duration = Duration::from_millis(5);

/// How often the addresses of a killed instance are looked at, with a pause between.
const FREE_LOOKS: usize = 1_000;

/// Everything that runs in one history.
pub(crate) struct World {
    pub(crate) platform: Platform,
    pub(crate) client: Client,
    block: Block,
    form: Form,
    without: Option<Safeguard>,
    nodes: Vec<Option<Node>>,
    lives: Vec<u32>,
    targets: Vec<Option<Target>>,
    /// The logs of all targets that ever ran, with their instances.
    logs: Vec<(usize, Log)>,
    relays: Vec<Relay>,
    book: Arc<Book>,
    _handle: standin::Handle,
}

/// One instance.
enum Node {
    Daemon(Process),
    Parts(Parts),
}

/// What an instance binds.
pub(crate) struct Addresses {
    tcp: [SocketAddr; 3],
    udp: SocketAddr,
}

impl Addresses {
    /// Waits until a killed instance has closed its sockets.
    ///
    /// A process that is killed closes them at once. Threads can't be ended while they are held, so
    /// an instance that was paused keeps its sockets until the pause is over.
    pub(crate) async fn free(&self) -> Result<(), Failed> {
        for _ in 0..FREE_LOOKS {
            let tcp = self
                .tcp
                .iter()
                .all(|at| std::net::TcpListener::bind(at).is_ok());
            if tcp && std::net::UdpSocket::bind(self.udp).is_ok() {
                return Ok(());
            }
            sleep(LOOK).await;
        }
        Err(format!("the addresses beside {} are in use", self.udp).into())
    }
}

/// The way of one request, free of the world.
pub(crate) enum Way {
    Http(Box<Client>, SocketAddr),
    Parts(tokio::runtime::Handle, Arc<entry::Entry>),
    /// The instance does not run.
    None,
}

/// Any failure to start.
pub(crate) type Failed = Box<dyn std::error::Error + Send + Sync>;

impl World {
    /// Starts all, and waits until daemons see each other.
    pub(crate) async fn start(form: Form, without: Option<Safeguard>) -> Result<World, Failed> {
        let block = Block::next();
        let platform = Platform::builder().open();
        let listener = TcpListener::bind(block.of(0, Address::Store)).await?;
        let handle = serve(platform.clone(), listener)?;
        let mut world = World {
            platform,
            client: Client::default(),
            block,
            form,
            without,
            nodes: Vec::new(),
            lives: vec![0; INSTANCES],
            targets: Vec::new(),
            logs: Vec::new(),
            relays: Vec::new(),
            book: Arc::default(),
            _handle: handle,
        };
        let rules = super::rules::text(&[]);
        let store = world.platform.store();
        store
            .put(super::rules::KEY, rules.into(), Condition::Absent)
            .await?;
        for index in 0..INSTANCES {
            let link = block.of(index, Address::Link);
            world.relays.push(Relay::start(link.ip(), link).await?);
            world.targets.push(None);
            world.nodes.push(None);
            world.start_target(index).await;
            world.start_node(index).await?;
        }
        world.ready().await;
        Ok(world)
    }

    async fn ready(&self) {
        for node in self.nodes.iter().flatten() {
            let Node::Daemon(daemon) = node else {
                continue;
            };
            while !is_ready(daemon) {
                sleep(LOOK).await;
            }
        }
    }

    pub(crate) async fn start_target(&mut self, index: usize) {
        // Two kills can overlap.
        if self.targets[index].is_some() {
            return;
        }
        let address = self.block.of(index, Address::Target);
        let outbound = self.block.of(index, Address::Outbound);
        let target = Target::start(&name(index), address, outbound).await;
        self.logs.push((index, target.log()));
        self.targets[index] = Some(target);
    }

    pub(crate) async fn kill_target(&mut self, index: usize) {
        if let Some(target) = self.targets[index].take() {
            target.kill().await;
        }
    }

    pub(crate) async fn start_node(&mut self, index: usize) -> Result<(), Failed> {
        if self.nodes[index].is_some() {
            return Ok(());
        }
        self.lives[index] += 1;
        let node = match self.form {
            Form::Daemons => Node::Daemon(self.daemon(index).await?),
            Form::Parts => Node::Parts(self.parts(index).await?),
        };
        self.nodes[index] = Some(node);
        let targets = self.book.targets();
        for node in self.nodes.iter().flatten() {
            if let Node::Parts(parts) = node {
                parts.set_targets(&targets);
            }
        }
        Ok(())
    }

    async fn daemon(&self, index: usize) -> Result<Process, Failed> {
        let setting = Setting::parse(&self.setting(index))?;
        let without = self.without;
        let wrap = move |store| match without {
            Some(Safeguard::Fence) => unfenced(store, LEDGER),
            _ => store,
        };
        Ok(Process::start_over(setting, wrap).await)
    }

    async fn parts(&self, index: usize) -> Result<Parts, Failed> {
        let store = self.platform.store_named(&name(index));
        let store = match self.without {
            Some(Safeguard::Fence) => unfenced(store, LEDGER),
            _ => store,
        };
        let place = Place {
            instance: name(index).parse()?,
            link: self.block.of(index, Address::Link),
            relay: self.relays[index].address(),
            target: self.block.of(index, Address::Target),
            without: self.without,
        };
        let document = Arc::new(Document::parse(&super::rules::text(&[]))?);
        Parts::start(place, store, document, self.book.clone()).await
    }

    /// The instance runs.
    pub(crate) fn runs_node(&self, index: usize) -> bool {
        self.nodes[index].is_some()
    }

    /// The addresses that an instance binds.
    pub(crate) fn addresses(&self, index: usize) -> Addresses {
        let of = |what| self.block.of(index, what);
        Addresses {
            tcp: [Address::Callers, Address::Outbound, Address::Operator].map(of),
            udp: of(Address::Link),
        }
    }

    pub(crate) fn kill_node(&mut self, index: usize) {
        // Dropping a node ends its threads and closes its sockets.
        self.nodes[index] = None;
    }

    pub(crate) fn pause(&self, index: usize, span: Duration) {
        match &self.nodes[index] {
            Some(Node::Daemon(daemon)) => daemon.pause(span),
            Some(Node::Parts(parts)) => parts.pause(span),
            None => {}
        }
    }

    /// The faults between one instance and the platform.
    pub(crate) fn fault_of(&self, index: usize) -> Fault {
        self.platform.fault_of(&name(index))
    }

    pub(crate) fn silence(&self, from: usize, to: usize) {
        self.relays[to].silence(self.block.of(from, Address::Link).ip());
    }

    pub(crate) fn cut(&self, from: usize, to: usize, cut: bool) {
        self.relays[to].cut(self.block.of(from, Address::Link).ip(), cut);
    }

    /// All runs so far, with their targets.
    pub(crate) fn runs(&self) -> Vec<(usize, mesh::Run)> {
        let logs = self.logs.iter();
        logs.flat_map(|(index, log)| log.runs().into_iter().map(|run| (*index, run)))
            .collect()
    }

    /// Life, version and names of the rules in force at a daemon that lives.
    pub(crate) fn rules_at(&self, index: usize) -> Option<(u32, u64, Vec<String>)> {
        let Some(Node::Daemon(daemon)) = &self.nodes[index] else {
            return None;
        };
        let state = daemon.dump(Part::Rules).state;
        let version = state["version"].as_u64()?;
        let names = state["names"].as_array()?.iter();
        let names = names.filter_map(|name| name.as_str().map(ToString::to_string));
        Some((self.lives[index], version, names.collect()))
    }

    pub(crate) fn way(&self, index: usize) -> Way {
        match &self.nodes[index] {
            Some(Node::Daemon(_)) => {
                let to = self.block.of(index, Address::Callers);
                Way::Http(Box::new(self.client.clone()), to)
            }
            Some(Node::Parts(parts)) => parts
                .way()
                .map_or(Way::None, |(runtime, entry)| Way::Parts(runtime, entry)),
            None => Way::None,
        }
    }

    fn setting(&self, index: usize) -> String {
        let address = |what| self.block.of(index, what);
        format!(
            r#"{{
                "instance": "{}", "zone": "longbien", "service": "desk",
                "callers": "{}", "outbound": "{}", "link": "{}", "operator": "{}",
                "target": "{}", "slots": 10, "store": ["{}"]
            }}"#,
            name(index),
            address(Address::Callers),
            address(Address::Outbound),
            address(Address::Link),
            address(Address::Operator),
            address(Address::Target),
            self.block.of(0, Address::Store),
        )
    }
}

impl Way {
    /// Sends a request and waits for the end of its answer.
    pub(crate) async fn send(self, order: &Order, begin: Instant) -> Option<Told> {
        let method = match order.key {
            Some(_) => Method::POST,
            None => Method::GET,
        };
        let key = order.key.clone().unwrap_or_default();
        match self {
            Way::None => None,
            Way::Http(client, to) => {
                let headers = [("idempotency-key", key.as_str()), ("x-caller", CALLER)];
                let sent = client.send(to, method, &order.path, &headers, order.body.clone());
                let answer = sent.await;
                let outcome = Outcome::ALL
                    .into_iter()
                    .find(|outcome| outcome.to_string() == answer.outcome);
                (answer.status != 0).then(|| Told {
                    at: begin.elapsed(),
                    status: answer.status,
                    outcome,
                    text: answer.text(),
                    reason: answer.reason,
                    whole: answer.whole,
                })
            }
            Way::Parts(runtime, entry) => {
                let body = Full::from(order.body.clone()).map_err(|never| match never {});
                let request = Request::builder()
                    .method(method)
                    .uri(&order.path)
                    .header("idempotency-key", key)
                    .header("x-caller", CALLER)
                    .body(body.boxed_unsync())
                    .ok()?;
                let peer = std::net::Ipv4Addr::LOCALHOST.into();
                let (response, body, whole) = Parts::send(runtime, entry, peer, request).await?;
                let text = |name: &str| {
                    let value = response.headers().get(name);
                    let value = value.and_then(|value| value.to_str().ok());
                    value.unwrap_or_default().to_string()
                };
                let outcome = text(OUTCOME);
                Some(Told {
                    at: begin.elapsed(),
                    status: response.status().as_u16(),
                    outcome: Outcome::ALL
                        .into_iter()
                        .find(|known| known.to_string() == outcome),
                    reason: text(entry::REASON),
                    text: String::from_utf8_lossy(&body).into_owned(),
                    whole,
                })
            }
        }
    }
}

fn is_ready(daemon: &Process) -> bool {
    let roster = daemon.dump(Part::Roster).state;
    let live = roster["instances"].as_array().map_or(0, |lines| {
        lines.iter().filter(|line| line["state"] == "live").count()
    });
    daemon.dump(Part::Rules).state.is_object() && live == INSTANCES
}

fn name(index: usize) -> String {
    format!("desk-{index}")
}
