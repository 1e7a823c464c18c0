//! One daemon's process, with the proxies and the target around it.

use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::Arc;
use std::time::Duration;

use mesh::{Address, Block, Log, Relay, Target};
use rustix::process::{Pid, Signal, kill_process};
use tokio::process::{Child, Command};
use tokio::time::{Instant, sleep, timeout};

use crate::Safeguard;
use crate::proxy::{Mode, Proxy};
use crate::rules::{OVERAGE, REVOKE, SLACK, WINDOW};
use crate::run::Error;

/// How long a stop may take: 6 s by the settings, 2 s each for its word before and after, and 2 s
/// for answers on their way.
const STOP_WITHIN: Duration = Duration::from_secs(13);
/// How long a start may take until the port is bound.
const START_WITHIN: Duration = Duration::from_secs(10);

/// The place in a block of an instance's proxies: before the target, the store and its own links.
const WAY: usize = 100;
const STORE: usize = 150;
const LINKS: usize = 50;

/// One daemon, its target, and the ways between them.
pub(crate) struct Node {
    pub(crate) index: usize,
    block: Block,
    program: PathBuf,
    settings: PathBuf,
    log: Option<File>,
    child: Option<Child>,
    target: Option<Target>,
    logs: Vec<Log>,
    pub(crate) way: Proxy,
    pub(crate) store: Proxy,
    pub(crate) links: Arc<Links>,
}

/// What stands before the address where a daemon takes links.
pub(crate) enum Links {
    Tcp(Proxy),
    Quic(Relay),
}

impl Links {
    async fn start(place: &Place<'_>) -> Result<Links, Error> {
        let to = place.block.of(place.index, Address::Link);
        if !place.tcp {
            return Ok(Links::Quic(Relay::start(to).await));
        }
        let at = place.block.of(LINKS + place.index, Address::Link);
        let proxy = Proxy::of_daemon(at, to, &format!("desk-{}", place.index)).await;
        proxy.map(Links::Tcp).map_err(Error::Io)
    }

    /// Where other daemons reach the daemon.
    fn address(&self, place: &Place<'_>) -> SocketAddr {
        match self {
            Links::Tcp(_) => place.block.of(LINKS + place.index, Address::Link),
            Links::Quic(relay) => relay.address(),
        }
    }

    /// From now on. Datagrams know one kind of trouble: those of the present links are lost, while
    /// a link from a new port passes.
    pub(crate) fn set(&self, mode: Mode) {
        match self {
            Links::Tcp(proxy) => proxy.set(mode),
            Links::Quic(relay) => relay.lose(mode != Mode::Pass),
        }
    }

    /// Cuts all links of others to the daemon, new ones too, or lets them pass again. A daemon reaches its
    /// own gate by the address that it has announced.
    pub(crate) fn cut(&self, cut: bool) {
        match self {
            Links::Tcp(proxy) => proxy.set(if cut { Mode::Own } else { Mode::Pass }),
            Links::Quic(relay) => relay.cut(cut),
        }
    }
}

/// What a node's settings differ in.
pub(crate) struct Place<'a> {
    pub(crate) index: usize,
    pub(crate) block: Block,
    pub(crate) program: &'a Path,
    pub(crate) log: Option<File>,
    pub(crate) directory: &'a Path,
    pub(crate) tcp: bool,
    pub(crate) without: Option<Safeguard>,
    pub(crate) workspaces: bool,
}

impl Node {
    /// Starts the proxies and the target; the daemon is still to be started.
    pub(crate) async fn open(place: Place<'_>) -> Result<Node, Error> {
        let (index, block) = (place.index, place.block);
        let target = block.of(index, Address::Target);
        let twice = place.without == Some(Safeguard::Once);
        let way = Proxy::start(block.of(WAY + index, Address::Target), target, twice).await;
        let store = block.of(0, Address::Store);
        let store = Proxy::start(block.of(STORE + index, Address::Store), store, false).await;
        let links = Links::start(&place).await?;
        let settings = place.directory.join(format!("desk-{index}.jsonc"));
        let text = setting(&place, links.address(&place));
        std::fs::write(&settings, text).map_err(Error::Io)?;
        let mut node = Node {
            index,
            block,
            program: place.program.to_path_buf(),
            settings,
            log: place.log,
            child: None,
            target: None,
            logs: Vec::new(),
            way: way.map_err(Error::Io)?,
            store: store.map_err(Error::Io)?,
            links: Arc::new(links),
        };
        node.start_target().await;
        Ok(node)
    }

    pub(crate) fn callers(&self) -> SocketAddr {
        self.block.of(self.index, Address::Callers)
    }

    pub(crate) fn operator(&self) -> SocketAddr {
        self.block.of(self.index, Address::Operator)
    }

    /// What the target's lives have begun to run.
    pub(crate) fn logs(&self) -> &[Log] {
        &self.logs
    }

    /// The target, unless it is dead.
    pub(crate) fn target(&self) -> Option<&Target> {
        self.target.as_ref()
    }

    pub(crate) fn is_up(&self) -> bool {
        self.child.is_some()
    }

    pub(crate) async fn start_target(&mut self) {
        let address = self.block.of(self.index, Address::Target);
        let outbound = self.block.of(self.index, Address::Outbound);
        let target = Target::start(&format!("desk-{}", self.index), address, outbound).await;
        self.logs.push(target.log());
        self.target = Some(target);
    }

    pub(crate) async fn kill_target(&mut self) {
        if let Some(target) = self.target.take() {
            target.kill().await;
        }
    }

    /// Starts the daemon and waits until it takes connections.
    pub(crate) async fn start(&mut self) -> Result<(), Error> {
        let mut command = Command::new(&self.program);
        command.arg("--settings").arg(&self.settings);
        command.stdout(match &self.log {
            Some(file) => Stdio::from(file.try_clone().map_err(Error::Io)?),
            None => Stdio::null(),
        });
        command.stderr(Stdio::inherit());
        command.kill_on_drop(true);
        self.child = Some(command.spawn().map_err(Error::Io)?);
        let until = Instant::now() + START_WITHIN;
        while tokio::net::TcpStream::connect(self.callers())
            .await
            .is_err()
        {
            if Instant::now() > until {
                return Err(Error::Start(self.index));
            }
            sleep(Duration::from_millis(10)).await;
        }
        Ok(())
    }

    pub(crate) fn signal(&self, signal: Signal) -> Result<(), Error> {
        let id = self.child.as_ref().and_then(Child::id);
        let Some(pid) = id.and_then(|id| Pid::from_raw(id as i32)) else {
            return Ok(());
        };
        kill_process(pid, signal).map_err(|error| Error::Io(error.into()))
    }

    /// Kills the daemon at once.
    pub(crate) async fn kill(&mut self) -> Result<(), Error> {
        match self.child.take() {
            Some(mut child) => child.kill().await.map_err(Error::Io),
            None => Ok(()),
        }
    }

    /// Waits for the end of a planned stop; `None` if the process is still there far beyond the
    /// bound, and is killed then.
    pub(crate) async fn ended(&mut self) -> Result<Option<std::process::ExitStatus>, Error> {
        let Some(mut child) = self.child.take() else {
            return Ok(None);
        };
        match timeout(STOP_WITHIN, child.wait()).await {
            Ok(status) => status.map(Some).map_err(Error::Io),
            Err(_) => {
                child.kill().await.map_err(Error::Io)?;
                Ok(None)
            }
        }
    }
}

/// The settings that requests of workspaces need, each with a comma before it.
fn of_workspaces(place: &Place<'_>) -> String {
    let [revoke, window] = [REVOKE, WINDOW].map(unit::Span);
    let revoke = format!(r#", "revoke": "{revoke}""#);
    let quota = format!(
        r#", "quota": {{ "window": "{window}", "overage": "{OVERAGE}", "slack": "{SLACK}" }}"#
    );
    let fields = [(Safeguard::Revoke, revoke), (Safeguard::Quota, quota)];
    let kept = fields.into_iter();
    let kept = kept.filter(|(safeguard, _)| place.workspaces && place.without != Some(*safeguard));
    kept.map(|(_, field)| field).collect()
}

fn setting(place: &Place<'_>, announced: SocketAddr) -> String {
    let (index, block) = (place.index, place.block);
    let address = |what| block.of(index, what);
    let links = if place.tcp { "tcp" } else { "quic" };
    // Watchers are those of zones: with a second one there are others to read for the first.
    let zone = if place.workspaces && index % 2 == 1 {
        "giadinh"
    } else {
        "longbien"
    };
    let more = of_workspaces(place);
    let level = if place.log.is_some() { "debug" } else { "off" };
    format!(
        r#"{{
    "instance": "desk-{index}", "zone": "{zone}", "service": "desk",
    "callers": "{}", "outbound": "{}", "link": "{}", "operator": "{}",
    "link_announced": "{announced}", "target": "{}", "slots": 16, "store": ["{}"],
    "links": "{links}", "log": "{level}", "threads": 1, "limits": {{ "drain": "6s" }}{more}
}}"#,
        address(Address::Callers),
        address(Address::Outbound),
        address(Address::Link),
        address(Address::Operator),
        block.of(WAY + index, Address::Target),
        block.of(STORE + index, Address::Store),
    )
}
