//! Quotas of workspaces: the tasks and messages around the crate [`quota`].

mod borrowing;
mod lending;
mod listing;
mod report;

use std::sync::Arc;

use confirm::Clock;
use feed::Feed;
use parking_lot::Mutex;
use quota::{Answer, Ask, Borrower, Lender, List, Member, Moment, Review, Transfer};
use roster::Shared;
use serde::{Deserialize, Serialize};
use store::Store;
use tokio::sync::Notify;
use unit::{Instance, Version, Workspace};
use wire::Dialer;

use crate::directory::Directory;

pub(crate) use report::Group;

/// The store's key of the list of allocators.
pub(crate) const LIST_KEY: &str = "appleshore-quota/allocators";

/// The limits of workspaces by the rules in force; `None` for those without a quota.
pub(crate) type Quotas = Box<dyn Fn(&Workspace) -> Option<workspace::Quota> + Send + Sync>;

/// What a daemon says of [`Topic::Quota`](wire::Topic::Quota).
#[derive(Debug, Serialize, Deserialize)]
enum Message {
    Ask(Ask),
    /// Asks whether the daemon may lend.
    Probe,
    Transfer(Transfer),
}

/// What it is answered.
#[derive(Debug, Serialize, Deserialize)]
enum Reply {
    Answer(Answer),
    Lends {
        lends: bool,
        /// Whether no takeover of it can use the margin any more.
        is_clear: bool,
    },
    /// The number of workspaces whose records were taken.
    Taken(u32),
}

/// What quotas need of the other parts.
pub(crate) struct Parts {
    pub(crate) roster: Arc<Shared>,
    pub(crate) directory: Arc<Directory>,
    pub(crate) dialer: Arc<Dialer>,
    pub(crate) store: Store,
    pub(crate) feed: Feed,
    pub(crate) quotas: Quotas,
}

/// The part of one daemon in quotas.
pub(crate) struct Desk {
    me: Instance,
    setting: quota::Setting,
    clock: Clock,
    started: confirm::Moment,
    parts: Parts,
    borrower: Mutex<Borrower>,
    lender: Mutex<Lender>,
    review: Mutex<Review>,
    /// The newest list, read once for each version.
    read: Mutex<(Version, Option<Arc<List>>)>,
    /// Told when a request waits for a token.
    wanted: Notify,
    /// Told when an answer has come.
    arrived: Notify,
    refusals: Mutex<report::Refusals>,
}

impl Desk {
    pub(crate) fn new(setting: &setting::Quota, clock: Clock, parts: Parts) -> Desk {
        let own = parts.roster.with(|roster| roster.own_record().clone());
        let setting = quota::Setting {
            window: setting.window,
            overage: setting.overage,
            slack: setting.slack,
        };
        let member = Member {
            instance: own.instance.clone(),
            incarnation: own.incarnation,
        };
        Desk {
            me: own.instance,
            setting,
            started: clock.now(),
            clock,
            parts,
            borrower: Mutex::new(Borrower::new(own.incarnation, setting)),
            lender: Mutex::new(Lender::new(member, setting)),
            review: Mutex::new(Review::new(setting)),
            read: Mutex::default(),
            wanted: Notify::new(),
            arrived: Notify::new(),
            refusals: Mutex::default(),
        }
    }

    /// Borrows, and keeps the list if this daemon is a watcher. Never returns.
    pub(crate) async fn run(self: Arc<Desk>) {
        tokio::join!(
            self.clone().borrow(),
            self.clone().follow(),
            self.keep_list()
        );
    }

    /// The present moment. Whatever is compared with it has to be read later.
    fn now(&self) -> Moment {
        Moment(self.clock.now().since(self.started))
    }

    fn limit(&self, workspace: &Workspace) -> u32 {
        let quota = (self.parts.quotas)(workspace);
        quota.map_or(0, |quota| self.setting.limit(&quota))
    }

    /// The newest confirmation of the list, its age added to the moment `now`.
    fn confirmed(&self, now: Moment) -> Option<Listed> {
        let confirmed = self.parts.feed.confirmed()?;
        let version = *confirmed.versions.get(1)?;
        let value = confirmed.values.get(1)?.as_ref();
        let mut read = self.read.lock();
        if read.0 != version {
            let list = value.and_then(|value| {
                let list = serde_json::from_slice::<List>(value);
                let list = list.inspect_err(|error| {
                    log::error!(
                        "quota: the list {LIST_KEY} of version {version} is unreadable: {error}."
                    );
                });
                list.ok().map(Arc::new)
            });
            *read = (version, list);
        }
        Some(Listed {
            began: now.0.checked_sub(confirmed.age).map(Moment),
            age: confirmed.age,
            version,
            list: read.1.clone(),
        })
    }
}

/// A confirmation of the list.
struct Listed {
    /// `None` if it began before this process.
    began: Option<Moment>,
    age: std::time::Duration,
    version: Version,
    list: Option<Arc<List>>,
}

impl Listed {
    /// Hands the list to the borrower, which takes it in if it is newer than its own.
    fn update(&self, borrower: &mut Borrower) {
        if let Some(list) = &self.list {
            borrower.set_list(self.version, list);
        }
    }
}
