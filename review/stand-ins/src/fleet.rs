//! A small deployment on loopback addresses: a store, daemons and the upstreams beside them.

use std::fs::{self, File};
use std::io::{self, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::exchange;
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;
use crate::upstream::{Place, Upstream};

/// The command of the deploy file.
const PROGRAM: &str = "target/release/appleshore-platform";

/// The operator's port, which the deploy file fixes.
const OPERATOR_PORT: u16 = 9464;

/// The period of heartbeats, as in the settings of a small deployment.
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);

const ZONES: [&str; 2] = ["sorel", "levis"];

const START_LIMIT: Duration = Duration::from_secs(20);

/// One machine: a daemon and its upstream.
pub struct Machine {
    pub node: String,
    pub service: String,
    ip: IpAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

pub struct Fleet {
    pub store: Store,
    pub machines: Vec<Machine>,
    pub upstreams: Vec<Upstream>,
    pub record: Record,
    folder: PathBuf,
    block: [u8; 2],
    cold: bool,
}

/// A fault that keeps the case from running.
pub type Fault = Box<dyn std::error::Error>;

/// Requests per second that a cold upstream tolerates, and for how long it is cold, where the
/// configuration says so.
pub const COLD_PER_S: u64 = 4;
pub const WARMUP_S: u64 = 4;

/// How far above that requests may go: `cold_over` and `cold_slack`.
pub const COLD_OVER: f64 = 1.5;
pub const COLD_SLACK: f64 = 8.0;

/// The same configuration without one of its routes.
pub fn config_without(version: u64, timeout_ms: u64, route: &str) -> Json {
    let mut config = config(version, timeout_ms, false);
    let Json::Object(fields) = &mut config else {
        return config;
    };
    let routes = fields.iter_mut().find(|(name, _)| name == "routes");
    if let Some((_, Json::Object(table))) = routes
        && let Some((_, Json::List(rows))) = table.iter_mut().find(|(name, _)| name == "rows")
    {
        let name = Json::text(route);
        rows.retain(|row| !matches!(row, Json::List(row) if row.first() == Some(&name)));
    }
    config
}

/// The operator's configuration of the services `desk` and `vault`, each with a route of each kind.
/// If `cold`, it says what cold upstreams tolerate.
pub fn config(version: u64, timeout_ms: u64, cold: bool) -> Json {
    let columns = [
        "name",
        "host",
        "path_prefix",
        "kind",
        "timeout_ms",
        "target_latency_ms",
        "priority",
        "service",
        "max_attempts",
        "weighted_clusters",
    ];
    let columns = columns.map(Json::text).to_vec();
    let route = |service: &str, name: &str, kind: &str| {
        Json::List(vec![
            Json::text(&format!("{service}-{name}")),
            Json::text(&format!("{service}.example")),
            Json::text(&format!("/{name}/")),
            Json::text(kind),
            Json::number(timeout_ms),
            Json::number(timeout_ms / 4),
            Json::number(1),
            Json::text(service),
            Json::number(2),
            Json::Null,
        ])
    };
    let routes = Json::object(vec![
        ("columns", Json::List(columns)),
        (
            "rows",
            Json::List(vec![
                route("desk", "book", "non_idempotent"),
                route("desk", "read", "idempotent"),
                route("desk", "note", "non_idempotent"),
                route("vault", "book", "non_idempotent"),
                route("vault", "read", "idempotent"),
            ]),
        ),
    ]);
    let if_cold = |number: u64| {
        if cold {
            Json::number(number)
        } else {
            Json::Null
        }
    };
    let service = |name: &str| {
        Json::List(vec![
            Json::text(name),
            Json::text("/health"),
            Json::number(220),
            Json::text("h1"),
            Json::Bool(false),
            if_cold(COLD_PER_S),
            if_cold(WARMUP_S),
        ])
    };
    let columns = [
        "name",
        "health_path",
        "max_connections",
        "protocol",
        "tls",
        "cold_per_s",
        "warmup_s",
    ];
    let services = Json::object(vec![
        ("columns", Json::List(columns.map(Json::text).to_vec())),
        ("rows", Json::List(vec![service("desk"), service("vault")])),
    ]);
    let limits = Json::object(vec![
        ("max_header_bytes", Json::number(16_384)),
        ("max_body_bytes", Json::number(67_108_864)),
        ("header_timeout_ms", Json::number(3_000)),
        ("idle_timeout_ms", Json::number(15_000)),
    ]);
    Json::object(vec![
        ("version", Json::text(&format!("r{version}"))),
        ("routes", routes),
        ("services", services),
        ("limits", limits),
    ])
}

impl Fleet {
    /// Starts a store with a configuration, and a machine for each of `services`.
    pub fn start(
        services: &[&str],
        slots: u64,
        config: Json,
        record: &Record,
    ) -> Result<Fleet, Fault> {
        Fleet::start_as(services, slots, config, record, false)
    }

    /// The same, where the settings say how many requests a cold upstream gets if `cold`.
    pub fn start_as(
        services: &[&str],
        slots: u64,
        config: Json,
        record: &Record,
        cold: bool,
    ) -> Result<Fleet, Fault> {
        let folder = std::env::temp_dir().join(format!("appleshore-review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let block = free_block()?;
        let store = Store::start(SocketAddr::new(ip(block, 250), 0))?;
        store.put("config", "main", config);
        let mut fleet = Fleet {
            store,
            machines: Vec::new(),
            upstreams: Vec::new(),
            record: record.clone(),
            folder,
            block,
            cold,
        };
        for (index, service) in services.iter().enumerate() {
            fleet.add(index, service, slots)?;
        }
        for index in 0..services.len() {
            fleet.wait_ready(index)?;
        }
        // Each daemon hears of the others.
        thread::sleep(HEARTBEAT * 2);
        Ok(fleet)
    }

    fn add(&mut self, index: usize, service: &str, slots: u64) -> Result<(), Fault> {
        let ip = ip(self.block, u8::try_from(index)? + 1);
        let node = format!("sidecar-{}-{index}", ZONES[index % ZONES.len()]);
        let mut machine = Machine {
            settings: self.folder.join(format!("{node}.jsonc")),
            log: self.folder.join(format!("{node}.log")),
            node,
            service: service.to_string(),
            ip,
            child: None,
        };
        fs::write(
            &machine.settings,
            machine.filled(index, self.store.address, self.cold),
        )?;
        machine.spawn()?;
        self.machines.push(machine);
        let place = self.place(index, service, slots);
        let upstream = Upstream::start(&format!("i-{index:08x}"), place, self.record.clone())?;
        self.upstreams.push(upstream);
        Ok(())
    }

    /// Puts a new machine of `service` in the place of one whose daemon has ended.
    pub fn replace(&mut self, index: usize, service: &str) -> Result<(), Fault> {
        let (address, cold) = (self.store.address, self.cold);
        let machine = &mut self.machines[index];
        machine.node = format!("{}-new", machine.node);
        machine.service = service.to_string();
        machine.settings = self.folder.join(format!("{}.jsonc", machine.node));
        machine.log = self.folder.join(format!("{}.log", machine.node));
        fs::write(&machine.settings, machine.filled(index, address, cold))?;
        machine.spawn()
    }

    /// The place of an upstream of `service` on a machine.
    pub fn place(&self, index: usize, service: &str, slots: u64) -> Place {
        let machine = &self.machines[index];
        Place {
            service: service.to_string(),
            zone: ZONES[index % ZONES.len()].to_string(),
            address: machine.at(8145),
            control: machine.at(8144),
            slots,
            heartbeat: HEARTBEAT,
        }
    }

    /// Waits until the daemon of a machine is ready.
    pub fn wait_ready(&self, index: usize) -> Result<(), Fault> {
        let until = Instant::now() + START_LIMIT;
        while Instant::now() < until {
            if self.machines[index].is_ready() {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(format!("{} is not ready", self.machines[index].node).into())
    }

    /// Where the clients of a machine send their requests.
    pub fn outbound(&self, index: usize) -> SocketAddr {
        self.machines[index].at(8147)
    }

    /// Where the platform asks whether a daemon is ready, with the zone of its machine.
    pub fn readiness(&self, index: usize) -> (SocketAddr, &'static str) {
        (self.machines[index].at(8141), ZONES[index % ZONES.len()])
    }

    /// What the daemons have logged about `id`.
    pub fn logged(&self, id: &str) -> Vec<String> {
        let mut lines = Vec::new();
        for machine in &self.machines {
            let text = fs::read_to_string(&machine.log).unwrap_or_default();
            let of_id = text.lines().filter(|line| line.contains(id));
            lines.extend(of_id.map(|line| format!("{}: {line}", machine.node)));
        }
        lines
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            machine.end();
        }
        if std::env::var_os("KEEP").is_none() {
            // A folder that stays is in the system's own for such files.
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Machine {
    pub fn at(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip, port)
    }

    /// The settings as the platform fills in the template of the deploy file.
    fn filled(&self, index: usize, store: SocketAddr, cold: bool) -> String {
        let (factor, slack) = match cold {
            true => (COLD_OVER.to_string(), COLD_SLACK.to_string()),
            false => Default::default(),
        };
        let ip = self.ip;
        let zone = ZONES[index % ZONES.len()];
        let (node, service) = (&self.node, &self.service);
        format!(
            r#"{{
  "instance": "{node}",
  "zone": "{zone}",
  "region": "qc-east",
  "service": "{service}",
  "one_port": true,
  "outbound": "{ip}:8147",
  "readiness": "{ip}:8141",
  "control": "{ip}:8144",
  "link": "{ip}:7380",
  "links": "tcp",
  "operator": "{ip}:9464",
  "operator_public": true,
  "target": "{ip}:8145",
  "slots": 1,
  "heartbeat": "1500ms",
  "store": ["{store}"],
  "rules_key": "config/main",
  "announce_prefix": "appleshore/",
  "cold": {{ "factor": "{factor}", "slack": "{slack}" }},
  "bandwidth": "1000.0Mbit/s",
  "retry": {{ "share": "0.2", "saved": "56" }},
  "limits": {{ "drain": "6s" }},
  "threads": "1"
}}
"#
        )
    }

    fn spawn(&mut self) -> Result<(), Fault> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(PROGRAM);
        command.env_clear().env("APPLESHORE_CONFIG", &self.settings);
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        command
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log);
        let child = command.spawn()?;
        // Whoever has started this run can end the daemons if it can't do so itself.
        if let Some(path) = std::env::var_os("PIDS") {
            let mut pids = File::options().create(true).append(true).open(path)?;
            writeln!(pids, "{}", child.id())?;
        }
        self.child = Some(child);
        Ok(())
    }

    fn is_ready(&self) -> bool {
        says_ready(self.at(8141), Duration::from_millis(500))
    }

    /// Sends a signal, such as `TERM`, to the daemon.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let line = format!("kill -{name} {}", child.id());
            // The check sees what a signal that was not sent has left undone.
            let _ = Command::new("sh").arg("-c").arg(line).status();
        }
    }

    /// Ends the daemon at once.
    pub fn end(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether the daemon runs.
    pub fn is_running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| child.try_wait().is_ok_and(|ended| ended.is_none()))
    }

    /// Starts the daemon again, which has ended.
    pub fn restart(&mut self) -> Result<(), Fault> {
        self.spawn()
    }
}

/// Whether the daemon at `readiness` says within `limit` that it is ready.
pub fn says_ready(readiness: SocketAddr, limit: Duration) -> bool {
    let request = b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n";
    let answered = exchange(readiness, request, limit);
    answered.is_ok_and(|(head, _)| head.status() == 200)
}

fn ip(block: [u8; 2], last: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, block[0], block[1], last))
}

/// A block of loopback addresses whose first ones are free.
fn free_block() -> io::Result<[u8; 2]> {
    let start = std::process::id();
    for step in 0..200 {
        let number = start.wrapping_add(step * 7);
        let block = [(number % 199) as u8 + 50, (number / 199 % 250) as u8 + 1];
        let ports = [8141, 8144, 8145, 8147, 7380, OPERATOR_PORT];
        let free = (1..=8).all(|last| {
            let mut ports = ports.iter();
            ports.all(|port| TcpListener::bind(SocketAddr::new(ip(block, last), *port)).is_ok())
        });
        if free {
            return Ok(block);
        }
    }
    Err(io::Error::other("no free block of addresses"))
}
