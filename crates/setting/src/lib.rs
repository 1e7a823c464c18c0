//! The settings of one daemon, validated in full before it starts.
//!
//! The settings define the addresses and the resource limits of a process; the rules define how it
//! handles requests. Settings are written as JSON with comments. A daemon reads them once, so a
//! change requires a restart.
//!
//! ```
//! use setting::Setting;
//!
//! let setting = Setting::parse(Setting::example())?;
//! assert_eq!(setting.instance.as_str(), "vault-desk-1");
//! assert_eq!(setting.limits.depth, 9);
//!
//! let error = Setting::parse("{ \"instans\": \"vault-desk-1\" }").expect_err("unknown field");
//! assert!(error.to_string().contains("line 1, column 3: unknown field \"instans\""));
//! assert!(error.faults().len() > 5, "all faults are reported at once");
//! # Ok::<(), setting::Error>(())
//! ```

mod address;
mod check;
mod cold;
mod limits;
mod placement;
mod quota;
mod read;
mod retry;

use std::net::SocketAddr;
use std::time::Duration;

use log::LevelFilter;
use unit::{Bandwidth, Instance, Service, Zone};

pub use cold::Cold;
pub use jsonc::{Error, Fault};
pub use limits::Limits;
pub use placement::Placement;
pub use quota::Quota;
pub use retry::Retry;

/// The transport of the links between daemons.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Links {
    /// QUIC, with certificates pinned to the announcements.
    #[default]
    Quic,
    /// TCP, for networks on which only daemons can reach each other.
    Tcp,
}

/// The format of log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Plain text with `key=value` pairs.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// The settings of one daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct Setting {
    /// The name of this instance, unique in the fleet.
    pub instance: Instance,
    /// The availability zone of this instance.
    pub zone: Zone,
    /// The region of the zone; `local` by default.
    pub region: String,
    /// The service that this daemon's target belongs to.
    pub service: Service,
    /// The address for requests of outside callers, HTTP over TCP; equal to `outbound` with
    /// `one_port`.
    pub callers: SocketAddr,
    /// Whether callers use `outbound` too, in which case the target is recognized by its address;
    /// `false` by default.
    pub one_port: bool,
    /// The address at which the platform checks whether this daemon accepts requests; none by
    /// default.
    pub readiness: Option<SocketAddr>,
    /// The address at which the target announces itself; none by default.
    pub control: Option<SocketAddr>,
    /// The interval between announcements of the target. If set, `slots` applies only until the
    /// first announcement.
    pub heartbeat: Option<Duration>,
    /// The transport of links; QUIC by default.
    pub links: Links,
    /// The retry budget of the fleet's entries.
    pub retry: Retry,
    /// How targets of several regions and of unlike speed are chosen.
    pub placement: Placement,
    /// The address for the target's nested calls, HTTP over TCP; reachable only from the target's
    /// machine.
    pub outbound: SocketAddr,
    /// The address at which this daemon accepts links from other daemons; UDP for QUIC.
    pub link: SocketAddr,
    /// The address of `link` that is announced to other daemons; equal to `link` by default. It
    /// differs if addresses or ports are translated between the daemons.
    pub link_announced: SocketAddr,
    /// The address at which operators read metrics and dumps, HTTP over TCP.
    pub operator: SocketAddr,
    /// Whether `operator` may be reachable from other machines; `false` by default.
    pub operator_public: bool,
    /// The address of the target, HTTP over TCP.
    pub target: SocketAddr,
    /// The maximum number of requests that the target runs concurrently.
    pub slots: u32,
    /// The addresses of the platform's store, 1 to 8.
    pub store: Vec<SocketAddr>,
    /// The store key that holds the rules; `rules` by default.
    pub rules_key: String,
    /// The key prefix of announcements in the store; `instances/` by default.
    pub announce_prefix: String,
    /// The key prefix of evacuations of availability zones in the store. By default evacuations are
    /// not followed.
    pub evacuation_prefix: Option<String>,
    /// The key prefix under which acknowledged leaves of targets are kept in the store. By default they
    /// are not kept, and a restart forgets them.
    pub leave_prefix: Option<String>,
    /// Whether no daemon of the fleet has run before, so that there is nothing to recover; `false` by
    /// default.
    pub first_start: bool,
    /// The bound on cold targets whose rules name a rate; none by default.
    pub cold: Option<Cold>,
    /// How requests of workspaces are counted over the fleet; they are not by default.
    pub quota: Option<Quota>,
    /// How long after its removal a key may be used at most. If set, requests with keys are served
    /// only while the rules in force are confirmed as the newest; `None` by default.
    pub revoke: Option<Duration>,
    /// The rate of the machine's link, by which answers are paced. By default they are not paced.
    pub bandwidth: Option<Bandwidth>,
    /// The key prefix of the ledger in the store; `ledger/` by default.
    pub ledger_prefix: String,
    /// The resource limits of this process.
    pub limits: Limits,
    /// The least severe level that is logged; `info` by default.
    pub log: LevelFilter,
    /// The format of log lines; `text` by default.
    pub log_format: LogFormat,
    /// The number of worker threads; chosen by the runtime if `None`.
    pub threads: Option<u32>,
}

impl Setting {
    /// Parses and validates the settings.
    ///
    /// # Errors
    ///
    /// Returns the faults with line, column, cause and what is allowed, or only the first one if
    /// the text is not valid JSON with comments.
    pub fn parse(text: &str) -> Result<Setting, Error> {
        read::setting(text)
    }

    /// A commented example that contains every field.
    pub fn example() -> &'static str {
        include_str!("example.jsonc")
    }
}
