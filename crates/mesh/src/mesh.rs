//! The mesh: platform, targets, daemons, and a caller.

use std::net::SocketAddr;
use std::time::Duration;

use appleshore::Part;
use bytes::Bytes;
use http::Method;
use setting::Setting;
use standin::{Handle, Platform, serve};
use store::Condition;
use tokio::net::TcpListener;
use tokio::time::sleep;

use crate::{Address, Answer, Block, Client, Process, Target, until};

/// Rules that suit the paths of [`Target`].
pub const RULES: &str = r#"{
    "caller": { "header": "x-caller" },
    "rules": [
        { "name": "closed", "when": { "path": "/closed/**" },
          "then": { "refuse": { "status": 403, "reason": "The yard is closed." } } },
        { "name": "urgent", "when": { "header": { "x-court": "yes" } },
          "then": { "service": "desk", "urgency": "urgent", "timeout": "5s" } },
        { "name": "orders", "when": { "method": "POST", "path": "/order/**" },
          "then": { "service": "desk", "once": { "header": "idempotency-key" }, "timeout": "5s" } },
        { "name": "rest",
          "then": { "service": "desk", "timeout": "5s" } }
    ]
}"#;

/// How often the mesh is looked at until it is ready.
const LOOK: Duration = Duration::from_millis(5);

/// Builds a [`Mesh`].
#[derive(Debug, Clone)]
#[must_use]
pub struct Builder {
    instances: usize,
    slots: u32,
    rules: String,
    settings: String,
    services: Vec<String>,
    zones: Vec<String>,
    regions: Vec<String>,
}

/// A running mesh.
pub struct Mesh {
    /// The platform's stand-in, to switch faults on.
    pub platform: Platform,
    /// A caller.
    pub client: Client,
    targets: Vec<Option<Target>>,
    daemons: Vec<Option<Process>>,
    block: Block,
    builder: Builder,
    _handle: Handle,
}

impl Mesh {
    /// Settings of a mesh of three instances with ten slots each, and [`RULES`].
    pub fn builder() -> Builder {
        Builder {
            instances: 3,
            slots: 10,
            rules: RULES.to_string(),
            settings: String::new(),
            services: vec!["desk".to_string()],
            zones: vec!["longbien".to_string()],
            regions: vec!["local".to_string()],
        }
    }

    /// Where the daemon of instance `index` takes requests.
    pub fn callers(&self, index: usize) -> SocketAddr {
        self.block.of(index, Address::Callers)
    }

    /// Where the operator's port of instance `index` is.
    pub fn operator(&self, index: usize) -> SocketAddr {
        self.block.of(index, Address::Operator)
    }

    /// Where other daemons reach that of instance `index`, over UDP.
    pub fn link(&self, index: usize) -> SocketAddr {
        self.block.of(index, Address::Link)
    }

    /// Where the target of instance `index` makes its nested calls.
    pub fn outbound(&self, index: usize) -> SocketAddr {
        self.block.of(index, Address::Outbound)
    }

    /// Where the target of instance `index` takes requests.
    pub fn target_address(&self, index: usize) -> SocketAddr {
        self.block.of(index, Address::Target)
    }

    /// Sends a GET by way of instance `index`.
    pub async fn get(&self, index: usize, path: &str) -> Answer {
        self.client
            .send(self.callers(index), Method::GET, path, &[], "")
            .await
    }

    /// Sends an order that may run once, under `key`.
    pub async fn order(&self, index: usize, path: &str, key: &str, body: &str) -> Answer {
        let headers = [("idempotency-key", key), ("x-caller", "desk@clinic-7")];
        let body = Bytes::from(body.to_string());
        self.client
            .send(self.callers(index), Method::POST, path, &headers, body)
            .await
    }

    /// The target of instance `index`, unless it was killed.
    pub fn target(&self, index: usize) -> &Target {
        self.targets[index].as_ref().expect("the target runs")
    }

    /// Kills the target of instance `index`.
    pub async fn kill_target(&mut self, index: usize) {
        if let Some(target) = self.targets[index].take() {
            target.kill().await;
        }
    }

    /// Starts the target of instance `index` again.
    pub async fn start_target(&mut self, index: usize) {
        let address = self.block.of(index, Address::Target);
        let outbound = self.outbound(index);
        self.targets[index] = Some(Target::start(&name(index), address, outbound).await);
    }

    /// Kills the daemon of instance `index`; its target lives on.
    pub fn kill_daemon(&mut self, index: usize) {
        self.take_daemon(index).kill();
    }

    /// The daemon of instance `index`, unless it was stopped.
    pub fn daemon(&self, index: usize) -> &Process {
        self.daemons[index].as_ref().expect("the daemon runs")
    }

    /// Takes the daemon of instance `index` out, to stop or to drop it.
    pub fn take_daemon(&mut self, index: usize) -> Process {
        self.daemons[index].take().expect("the daemon runs")
    }

    /// Starts the daemon of instance `index` again, with a new life.
    pub async fn start_daemon(&mut self, index: usize) {
        let text = self.builder.setting(index, self.block);
        let setting = Setting::parse(&text).expect("good settings");
        // The threads of a killed daemon end by themselves, and its sockets with them.
        let free = |address| {
            let tcp = std::net::TcpListener::bind(address).is_ok();
            tcp && std::net::UdpSocket::bind(address).is_ok()
        };
        let addresses = [
            self.callers(index),
            self.outbound(index),
            self.operator(index),
            self.link(index),
        ];
        until("the end of the last life", || {
            addresses.into_iter().all(free)
        })
        .await;
        self.daemons[index] = Some(Process::start(setting).await);
    }

    /// Runs of each path over all targets that live.
    pub fn runs_of(&self, path: &str) -> u64 {
        let living = self.targets.iter().flatten();
        living
            .map(|target| target.paths().get(path).copied().unwrap_or(0))
            .sum()
    }

    /// Writes new rules to the platform.
    pub async fn put_rules(&self, text: &str) {
        let store = self.platform.store();
        let put = store
            .put("rules", Bytes::from(text.to_string()), Condition::Any)
            .await;
        put.expect("the platform takes the rules");
    }

    /// Waits until each daemon has rules and sees all live instances.
    pub async fn ready(&self) {
        let count = self.daemons.iter().flatten().count();
        for daemon in self.daemons.iter().flatten() {
            while !is_ready(daemon, count) {
                sleep(LOOK).await;
            }
        }
    }
}

/// The daemon has rules, and its entry `count` targets to choose from.
fn is_ready(daemon: &Process, count: usize) -> bool {
    let rules = daemon.dump(Part::Rules).state;
    let entry = daemon.dump(Part::Entry).state;
    let services = entry["services"].as_array().cloned().unwrap_or_default();
    let known = services.iter().map(|service| &service["choice"]["known"]);
    let targets: u64 = known.filter_map(|known| known.as_u64()).sum();
    rules.is_object() && targets == count as u64
}

fn name(index: usize) -> String {
    format!("desk-{index}")
}

impl Builder {
    /// How many instances; at most 200.
    pub fn instances(mut self, count: usize) -> Builder {
        self.instances = count;
        self
    }

    /// Slots of each target.
    pub fn slots(mut self, slots: u32) -> Builder {
        self.slots = slots;
        self
    }

    /// The rules.
    pub fn rules(mut self, text: &str) -> Builder {
        self.rules = text.to_string();
        self
    }

    /// The services of the instances in turn; all are `desk` unless set.
    pub fn services(mut self, services: &[&str]) -> Builder {
        self.services = services.iter().map(ToString::to_string).collect();
        self
    }

    /// Zones of the instances in turn; all are `longbien` unless set.
    pub fn zones(mut self, zones: &[&str]) -> Builder {
        self.zones = zones.iter().map(ToString::to_string).collect();
        self
    }

    /// Regions of the instances in turn; all are `local` unless set.
    pub fn regions(mut self, regions: &[&str]) -> Builder {
        self.regions = regions.iter().map(ToString::to_string).collect();
        self
    }

    /// Further fields of each daemon's settings, such as `"log": "debug"`.
    pub fn settings(mut self, fields: &str) -> Builder {
        self.settings = format!(", {fields}");
        self
    }

    /// Starts all, and waits until each daemon has the rules and sees all instances.
    pub async fn start(self) -> Mesh {
        let block = Block::next();
        let platform = Platform::builder().open();
        let listener = TcpListener::bind(block.of(0, Address::Store)).await;
        let listener = listener.expect("the address is free");
        let handle = serve(platform.clone(), listener).expect("the stand-in serves");
        let mut mesh = Mesh {
            platform,
            client: Client::default(),
            targets: Vec::new(),
            daemons: Vec::new(),
            block,
            builder: self,
            _handle: handle,
        };
        mesh.put_rules(&mesh.builder.rules).await;
        for index in 0..mesh.builder.instances {
            mesh.targets.push(None);
            mesh.daemons.push(None);
            mesh.start_target(index).await;
            mesh.start_daemon(index).await;
        }
        mesh.ready().await;
        mesh
    }

    /// The settings of instance `index`, as an operator would write them.
    fn setting(&self, index: usize, block: Block) -> String {
        let address = |what| block.of(index, what);
        format!(
            r#"{{
                "instance": "{}", "zone": "{}", "region": "{}", "service": "{}",
                "callers": "{}", "outbound": "{}", "link": "{}", "operator": "{}",
                "target": "{}", "slots": {}, "store": ["{}"]{}
            }}"#,
            name(index),
            self.zones[index % self.zones.len()],
            self.regions[index % self.regions.len()],
            self.services[index % self.services.len()],
            address(Address::Callers),
            address(Address::Outbound),
            address(Address::Link),
            address(Address::Operator),
            address(Address::Target),
            self.slots,
            block.of(0, Address::Store),
            self.settings,
        )
    }
}
