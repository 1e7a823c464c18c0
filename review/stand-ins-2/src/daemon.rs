//! The project's daemon as a process, started from the deploy file's command and template.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::Reader;

const PROGRAM: &str = "target/release/appleshore-platform";
const TEMPLATE: &str = "deploy/settings.jsonc";

/// Longest time that a case may take; then its processes are ended.
const LONGEST: Duration = Duration::from_secs(100);

/// The daemons that have been started and not yet ended.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the case, with the exit code of one that could not run, if it takes too long.
pub fn watch_the_time() {
    thread::spawn(|| {
        thread::sleep(LONGEST);
        eprintln!("could not run: it took longer than {LONGEST:?}");
        for id in RUNNING.lock().unwrap().iter() {
            send(*id, "KILL");
        }
        std::process::exit(2);
    });
}

/// Sends a signal to a process that this one has started; returns whether that worked.
fn send(id: u32, signal: &str) -> bool {
    let command = format!("kill -{signal} {id}");
    let done = Command::new("sh").args(["-c", &command]).status();
    done.is_ok_and(|status| status.success())
}

/// A block of loopback addresses that nothing else uses, and a folder for settings and logs.
pub struct Place {
    net: [u8; 2],
    pub folder: PathBuf,
}

impl Place {
    pub fn new() -> Place {
        let nanos = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .subsec_nanos();
        let seed = nanos ^ (std::process::id() << 8);
        let net = [(seed >> 8) as u8 % 200 + 20, (seed >> 16) as u8];
        let folder = std::env::temp_dir().join(format!("review-{}-{nanos}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        Place { net, folder }
    }

    /// The address of the machine `number`.
    pub fn ip(&self, number: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.net[0], self.net[1], number))
    }

    /// A free port of the machine `number`.
    pub fn free(&self, number: u8) -> SocketAddr {
        let listener = TcpListener::bind((self.ip(number), 0)).expect("a free port");
        listener.local_addr().expect("an address")
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

pub struct Machine {
    pub name: String,
    pub outbound: SocketAddr,
    pub readiness: SocketAddr,
    pub control: SocketAddr,
    pub link: SocketAddr,
    pub app: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Machine {
    /// Fills in the settings of the machine `number`.
    pub fn new(place: &Place, number: u8, zone: &str, service: &str, store: SocketAddr) -> Machine {
        let name = format!("sidecar-{zone}-{number}");
        let ip = place.ip(number);
        let [outbound, readiness, control, link, app] = [(); 5].map(|()| place.free(number));
        let mut fields = BTreeMap::new();
        let mut set = |name: &str, value: String| fields.insert(name.to_string(), value);
        set("node", name.clone());
        set("zone", zone.to_string());
        set("region", "hanoi".to_string());
        set("service", service.to_string());
        set("ip", ip.to_string());
        set("listen.outbound", outbound.to_string());
        set("listen.readiness", readiness.to_string());
        set("listen.control", control.to_string());
        set("port_range.0", link.port().to_string());
        set("app_addr", app.to_string());
        set("heartbeat_ms", "1500".to_string());
        set("platform.address", store.to_string());
        set("limits.link_mbps", "1000.0".to_string());
        set("limits.cpu_cores", "1".to_string());
        set("bounds.grace_s", "6".to_string());
        set("bounds.retry_budget_ratio", "0.2".to_string());
        set("bounds.budget_slack", "62".to_string());
        let template = fs::read_to_string(TEMPLATE).expect("the template");
        let settings = place.folder.join(format!("{name}.jsonc"));
        fs::write(&settings, fill(&template, &fields)).expect("settings");
        let log = place.folder.join(format!("{name}.log"));
        Machine {
            name,
            outbound,
            readiness,
            control,
            link,
            app,
            settings,
            log,
            child: None,
        }
    }

    pub fn start(&mut self) {
        assert!(Path::new(PROGRAM).exists(), "{PROGRAM} is not built");
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("a log");
        let child = Command::new(PROGRAM)
            .env("APPLESHORE_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn();
        let child = child.expect("the daemon starts");
        RUNNING.lock().unwrap().push(child.id());
        self.child = Some(child);
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.as_ref().expect("a running daemon").id();
        assert!(send(id, name), "kill -{name} {id} failed");
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child
            .as_mut()
            .is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// Ends the process at once, as SIGKILL does.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            RUNNING.lock().unwrap().retain(|id| *id != child.id());
        }
    }

    /// Asks once whether the daemon is ready.
    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) =
            TcpStream::connect_timeout(&self.readiness, Duration::from_millis(300))
        else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let asked =
            stream.write_all(b"GET /ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
        let answer = asked
            .ok()
            .and_then(|()| Reader::new(stream).read(true).ok().flatten());
        answer.is_some_and(|answer| answer.status() == 200)
    }

    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until `is_so`, for ten seconds at most.
pub fn until(what: &str, mut is_so: impl FnMut() -> bool) -> Result<(), String> {
    let end = Instant::now() + Duration::from_secs(10);
    while Instant::now() < end {
        if is_so() {
            return Ok(());
        }
        thread::sleep(Duration::from_millis(20));
    }
    Err(format!("not in ten seconds: {what}"))
}

/// Renders the template as DEPLOY.md tells it: placeholders, and sections for what is there.
fn fill(template: &str, fields: &BTreeMap<String, String>) -> String {
    let mut out = String::new();
    let mut rest = template;
    while let Some(at) = rest.find("{{") {
        out.push_str(&rest[..at]);
        let end = rest[at..].find("}}").expect("the end of a placeholder") + at;
        let name = &rest[at + 2..end];
        rest = &rest[end + 2..];
        if let Some(section) = name.strip_prefix('#') {
            let close = format!("{{{{/{section}}}}}");
            let stop = rest.find(&close).expect("the end of a section");
            if fields.contains_key(section) {
                out.push_str(&fill(&rest[..stop], fields));
            }
            rest = &rest[stop + close.len()..];
        } else {
            out.push_str(fields.get(name).map_or("", String::as_str));
        }
    }
    out.push_str(rest);
    out
}
