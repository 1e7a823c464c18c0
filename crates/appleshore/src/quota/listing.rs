//! Keeps the list of allocators in the store, on watchers, and hands over at a planned stop.

use std::time::Duration;

use bytes::Bytes;
use quota::{AUTHORITY, Daemon, List, Member, Moment, Transfer, View};
use roster::{Record, State};
use store::Condition;
use timer::timeout;
use tokio::time::{Instant, sleep};
use unit::Version;

use super::{Desk, LIST_KEY, Listed, Message, Reply};

/// The time between two reviews.
const PERIOD: Duration = Duration::from_millis(250);

/// The time between two probes of each allocator by the first two watchers in rank. Two more watchers
/// each probe once more seldom.
const PROBE_PERIOD: Duration = Duration::from_millis(500);

/// How much later a watcher writes than the one before it in rank.
const RANK_DELAY: Duration = Duration::from_millis(300);

/// The longest time that a write may take.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// How long the allocators of a new list may take to learn of it and to take records over.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(3);
const TRANSFER_RETRY: Duration = Duration::from_millis(200);

impl Desk {
    /// Keeps the list while this daemon is a watcher. Never returns.
    pub(super) async fn keep_list(&self) {
        let mut probed: Option<Instant> = None;
        // Since when this watcher would write.
        let mut due: Option<Moment> = None;
        let mut attempted = Moment::START;
        loop {
            sleep(PERIOD).await;
            let watchers = self.parts.roster.with(|roster| roster.ranked_watchers());
            let Some(rank) = watchers.iter().position(|name| *name == self.me) else {
                due = None;
                continue;
            };
            let rank = rank as u32;
            let now = self.now();
            let Some(listed) = self.confirmed(now) else {
                continue;
            };
            let period = PROBE_PERIOD * (1 + rank / 2);
            if probed.is_none_or(|at| at.elapsed() >= period) {
                probed = Some(Instant::now());
                self.probe_all(listed.list.as_deref()).await;
            }
            let now = self.now();
            // A confirmation from before the last write doesn't say what came of it.
            let Some(listed) = self.confirmed(now).filter(|l| l.began > Some(attempted)) else {
                continue;
            };
            let Some(next) = self.review(now, &listed) else {
                due = None;
                continue;
            };
            let since = *due.get_or_insert(now);
            if now.since(since) >= RANK_DELAY * rank {
                due = None;
                self.write(&listed, &next).await;
                attempted = self.now();
            }
        }
    }

    async fn probe_all(&self, list: Option<&List>) {
        let allocators = list.map(|list| list.allocators.as_slice());
        let probes = allocators
            .unwrap_or_default()
            .iter()
            .map(|member| async move {
                let (lends, is_clear) = self.probe(member).await;
                let mut review = self.review.lock();
                review.probed(self.now(), member, lends, is_clear);
            });
        futures_util::future::join_all(probes).await;
    }

    fn daemons(&self) -> Vec<Daemon> {
        let live = self.parts.directory.live();
        let records: Vec<Record> = self.parts.roster.with(|roster| {
            let own = roster.own_record().clone();
            roster.peers().cloned().chain([own]).collect()
        });
        let daemons = records.into_iter().map(|record| Daemon {
            is_live: record.state == State::Live && live.binary_search(&record.instance).is_ok(),
            member: Member {
                instance: record.instance,
                incarnation: record.incarnation,
            },
            zone: record.zone,
        });
        daemons.collect()
    }

    fn review(&self, now: Moment, listed: &Listed) -> Option<List> {
        let daemons = self.daemons();
        let view = self.view(listed, &daemons);
        self.review.lock().next(now, &view)
    }

    fn view<'a>(&self, listed: &'a Listed, daemons: &'a [Daemon]) -> View<'a> {
        let era = self.parts.store.eras().newest().unwrap_or_default();
        View {
            era: era.max(listed.version.era),
            version: (listed.version != Version::NONE).then_some(listed.version),
            list: listed.list.as_deref(),
            daemons,
            is_fresh: listed.age <= AUTHORITY,
        }
    }

    /// Writes a list in place of the confirmed one. Returns whether the store has taken it.
    async fn write(&self, listed: &Listed, next: &List) -> bool {
        let condition = match listed.version {
            Version::NONE => Condition::Absent,
            version => Condition::Match(version),
        };
        let value = match serde_json::to_vec(next) {
            Ok(value) => Bytes::from(value),
            Err(error) => {
                log::error!("quota: the list can't be encoded: {error}.");
                return false;
            }
        };
        let put = self.parts.store.put(LIST_KEY, value, condition);
        let (outcome, is_written) = match timeout(WRITE_TIMEOUT, put).await {
            Ok(Ok(version)) => (format!("written version={version}"), true),
            Ok(Err(error)) if error.is_conflict() => ("another was written".to_string(), false),
            Ok(Err(error)) => (format!("failed cause={error}"), false),
            Err(_) => ("failed cause=no answer in time".to_string(), false),
        };
        let names: Vec<&str> = next
            .allocators
            .iter()
            .map(|m| m.instance.as_str())
            .collect();
        log::info!(
            "quota: writes list={} settled={} fleet={} allocators={} outcome={outcome}.",
            next.number,
            next.settled,
            next.fleet,
            names.join(","),
        );
        is_written
    }

    /// Stops lending for a planned stop: writes a list without this daemon, and hands its records to
    /// the allocators of that list, which then need not wait.
    pub(crate) async fn stop(&self) {
        let now = self.now();
        let me = {
            let mut lender = self.lender.lock();
            lender.stop();
            lender.me().clone()
        };
        let Some(listed) = self.confirmed(now) else {
            return;
        };
        let is_allocator = listed
            .list
            .as_ref()
            .is_some_and(|list| list.allocators.contains(&me));
        if !is_allocator {
            return;
        }
        let daemons = self.daemons();
        let next = {
            let view = self.view(&listed, &daemons);
            self.review.lock().without(now, &view, &me)
        };
        let Some(next) = next else {
            return;
        };
        if !self.write(&listed, &next).await {
            return;
        }
        let transfers = self.lender.lock().transfers(self.now(), &next);
        let sends = transfers
            .iter()
            .map(|(to, transfer)| self.hand_over(to, transfer));
        futures_util::future::join_all(sends).await;
    }

    /// Sends records until the new allocator, which has to learn of the list first, takes them.
    async fn hand_over(&self, to: &Member, transfer: &Transfer) {
        let workspaces = transfer.records.len();
        let sending = async {
            loop {
                let sent = Message::Transfer(transfer.clone());
                if let Ok(Reply::Taken(taken @ 1..)) = self.exchange(to, &sent).await {
                    return taken;
                }
                sleep(TRANSFER_RETRY).await;
            }
        };
        match timeout(TRANSFER_TIMEOUT, sending).await {
            Ok(taken) => log::info!(
                "quota: {} took over {taken} of {workspaces} workspaces.",
                to.instance
            ),
            Err(_) => log::warn!(
                "quota: {} took over none of {workspaces} workspaces.",
                to.instance
            ),
        }
    }
}
