//! The parts of a running daemon, and what an operator may see of them.

use std::sync::Arc;
use std::time::Duration;

use entry::Entry;
use feed::{Current, Feed};
use roster::Shared;
use setting::Setting;
use target::Server;
use tokio::time::{Instant, timeout_at};
use tokio_util::sync::CancellationToken;
use wire::Dialer;

use crate::claims::Desk;
use crate::dump::{Dump, EntryState, LinkState, Part, RulesState, ServiceState};
use crate::leaves::Leaves;
use crate::profile::Profile;
use crate::quota;

/// The parts of one daemon.
pub(crate) struct State {
    pub(crate) setting: Setting,
    pub(crate) entry: Arc<Entry>,
    pub(crate) server: Arc<Server>,
    pub(crate) leaves: Arc<Leaves>,
    pub(crate) desk: Arc<Desk>,
    pub(crate) roster: Arc<Shared>,
    pub(crate) current: Arc<Current>,
    pub(crate) evacuations: Arc<evacuation::Shared>,
    pub(crate) dialer: Arc<Dialer>,
    pub(crate) feed: Feed,
    pub(crate) profile: Profile,
    /// The machine's link, if answers are paced.
    pub(crate) link: Option<bandwidth::Link>,
    /// None where requests of workspaces are not counted.
    pub(crate) quotas: Option<Arc<quota::Desk>>,
    /// What callers make this process hold.
    pub(crate) clients: clients::Table,
    /// Set when a planned stop is asked for.
    pub(crate) drain: CancellationToken,
}

/// Time before the end of a stop at which requests that wait are refused: it covers a question to their
/// gates, and the delivery of the refusals.
const WITHDRAW_TIME: Duration = Duration::from_millis(500);

impl State {
    /// Waits until nothing runs at the target and no request is under way for callers here.
    pub(crate) async fn idle(&self) {
        self.server.gate().idle().await;
        self.entry.idle().await;
    }

    /// Waits until nothing runs or waits here, at most until `until`, and shortly before that refuses what
    /// still waits for a slot, here or at other gates. Returns whether nothing is left.
    pub(crate) async fn end_requests(&self, until: Instant) -> bool {
        if timeout_at(until - WITHDRAW_TIME, self.idle()).await.is_ok() {
            return true;
        }
        log::info!(
            "daemon: requests that wait are refused, open={}.",
            self.entry.count().open
        );
        self.entry.withdraw();
        timeout_at(until, self.idle()).await.is_ok()
    }

    /// The state of one part. Keys and bodies of requests are in none of them.
    pub(crate) fn dump(&self, part: Part) -> Dump {
        let state = match part {
            Part::Setting => serde_json::to_value(format!("{:?}", self.setting)),
            Part::Rules => serde_json::to_value(self.rules()),
            Part::Entry => serde_json::to_value(self.entry_state()),
            Part::Feed => serde_json::to_value(self.feed.dump()),
            Part::Ledger => serde_json::to_value(self.desk.ledger.dump()),
            Part::Gate => serde_json::to_value(self.server.gate().dump()),
            Part::Roster => {
                serde_json::to_value(self.roster.with(|roster| roster.dump(Instant::now())))
            }
            Part::Quota => serde_json::to_value(self.quotas.as_ref().map(|quotas| quotas.state())),
            Part::Links => serde_json::to_value(self.links()),
            Part::Bandwidth => serde_json::to_value(self.link.as_ref().map(bandwidth::Link::dump)),
        };
        let state = state.unwrap_or_else(|error| error.to_string().into());
        Dump { part, state }
    }

    fn rules(&self) -> Option<RulesState> {
        let rules = self.current.get()?;
        let names = rules.document.rules().iter().map(|rule| rule.name.clone());
        Some(RulesState {
            version: rules.version.revision,
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
