//! The settings of one daemon, checked whole before start.
//!
//! Settings say where a process is and what it may use; what it does with requests stands in the
//! rules. They are JSON with comments. A daemon reads them once: to change them, it is restarted.
//!
//! ```
//! use setting::Setting;
//!
//! let setting = Setting::parse(Setting::example())?;
//! assert_eq!(setting.instance.as_str(), "vault-desk-1");
//! assert_eq!(setting.limits.depth, 9);
//!
//! let error = Setting::parse("{ \"instans\": \"vault-desk-1\" }").expect_err("no settings");
//! assert!(error.to_string().contains("line 1, column 3: unknown field \"instans\""));
//! assert!(error.faults().len() > 5, "all faults are listed at once");
//! # Ok::<(), setting::Error>(())
//! ```

mod address;
mod check;
mod limits;
mod read;
mod retry;

use std::net::SocketAddr;
use std::time::Duration;

use log::LevelFilter;
use unit::{Instance, Service, Zone};

pub use jsonc::{Error, Fault};
pub use limits::Limits;
pub use retry::Retry;

/// How daemons reach each other.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Links {
    /// By QUIC, with certificates that are pinned to announcements.
    #[default]
    Quic,
    /// By TCP, for networks on which only daemons reach each other.
    Tcp,
}

/// How lines of the log are written.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Words and `key=value` pairs.
    #[default]
    Text,
    /// JSON objects.
    Json,
}

/// The settings of one daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct Setting {
    /// The name of this instance, alone of its kind in the fleet.
    pub instance: Instance,
    /// The availability zone of this instance.
    pub zone: Zone,
    /// The region of the zone; `local` by default.
    pub region: String,
    /// The service that the target of this daemon belongs to.
    pub service: Service,
    /// Where outside callers send their requests, HTTP over TCP; `outbound` with `one_port`.
    pub callers: SocketAddr,
    /// Whether callers use `outbound` too, where the target is known by its address; `false` by
    /// default.
    pub one_port: bool,
    /// Where the platform asks whether this daemon takes requests; not at all by default.
    pub readiness: Option<SocketAddr>,
    /// Where the target announces itself; not at all by default.
    pub control: Option<SocketAddr>,
    /// The time between two announcements of the target; with it `slots` counts only until the
    /// first of them.
    pub heartbeat: Option<Duration>,
    /// How links are carried; QUIC by default.
    pub links: Links,
    /// What the entries of the fleet may send again.
    pub retry: Retry,
    /// Where the target sends its nested calls, HTTP over TCP; the target's machine only.
    pub outbound: SocketAddr,
    /// Where this daemon takes links of other daemons, over UDP for QUIC.
    pub link: SocketAddr,
    /// Where other daemons reach `link`, and what is announced to them: `link` itself by default.
    /// It differs where something between the daemons maps addresses or ports.
    pub link_announced: SocketAddr,
    /// Where operators read metrics and dumps, HTTP over TCP.
    pub operator: SocketAddr,
    /// Whether `operator` may be reached from other machines; `false` by default.
    pub operator_public: bool,
    /// The target itself, HTTP over TCP.
    pub target: SocketAddr,
    /// Requests that the target runs at once at most.
    pub slots: u32,
    /// The addresses of the platform's store, 1 to 8.
    pub store: Vec<SocketAddr>,
    /// The store's key of the rules; `rules` by default.
    pub rules_key: String,
    /// What the keys of announcements begin with; `instances/` by default.
    pub announce_prefix: String,
    /// What the keys of the ledger begin with; `ledger/` by default.
    pub ledger_prefix: String,
    /// The bounds of this process.
    pub limits: Limits,
    /// The least level that is logged; `info` by default.
    pub log: LevelFilter,
    /// How lines of the log are written; `text` by default.
    pub log_format: LogFormat,
    /// Worker threads; the runtime's own choice where none is given.
    pub threads: Option<u32>,
}

impl Setting {
    /// Reads the settings.
    ///
    /// # Errors
    ///
    /// All faults of the text, with line, column, cause and what is allowed; only the first where
    /// the text is no JSON with comments at all.
    pub fn parse(text: &str) -> Result<Setting, Error> {
        read::setting(text)
    }

    /// A commented example, with each field in it.
    pub fn example() -> &'static str {
        include_str!("example.jsonc")
    }
}
