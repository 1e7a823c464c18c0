//! The allocator of some workspaces.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use unit::{Incarnation, Instance, Rate, Version, Workspace};
use workspace::Quota;

use crate::pool::{Pool, Takeover, Terms};
use crate::{
    AUTHORITY, Answer, Ask, LEASE, List, Member, Moment, RENEWAL, Record, Setting, Transfer,
};

/// Bytes a second of asks and answers above which renewals are made less frequent.
const MAX_TRAFFIC: u64 = 9_000;

/// The longest time from one ask to the next.
const MAX_RENEWAL: Duration = Duration::from_millis(LEASE.as_millis() as u64 / 3);

/// A list that this allocator has learned of.
#[derive(Debug, Clone)]
struct Known {
    version: Version,
    list: List,
    learned: Moment,
    /// Whether the list was written at most [`AUTHORITY`] before.
    is_fresh: bool,
    /// Whether no allocator has lent before.
    is_first: bool,
}

/// The last confirmation of the list.
#[derive(Debug, Clone, Copy)]
struct Confirmed {
    began: Moment,
    version: Version,
}

/// Lends the tokens of the workspaces of which this daemon is the allocator.
#[derive(Debug)]
pub struct Lender {
    me: Member,
    setting: Setting,
    confirmed: Option<Confirmed>,
    /// The lists that follow each other without a gap, up to the present one.
    lists: VecDeque<Known>,
    had_list: bool,
    pools: BTreeMap<Workspace, Pool>,
    /// The number of the last ask of each borrower.
    asked: BTreeMap<Member, (u64, Moment)>,
    stopped: bool,
    traffic: VecDeque<(Moment, u64)>,
}

impl Lender {
    /// An allocator that has heard of no list yet.
    pub fn new(me: Member, setting: Setting) -> Lender {
        Lender {
            me,
            setting,
            confirmed: None,
            lists: VecDeque::new(),
            had_list: false,
            pools: BTreeMap::new(),
            asked: BTreeMap::new(),
            stopped: false,
            traffic: VecDeque::new(),
        }
    }

    /// Takes in a confirmation that began at `began`: the object's newest version, and the list in it
    /// if it can be read. Returns whether the list is new here.
    pub fn confirm(
        &mut self,
        now: Moment,
        began: Moment,
        version: Version,
        list: Option<&List>,
    ) -> bool {
        let before = self.confirmed;
        if before.is_some_and(|before| version < before.version) {
            return false;
        }
        let is_same = before.is_some_and(|before| before.version == version);
        if is_same && self.confirmed.is_some_and(|before| before.began >= began) {
            return false;
        }
        self.confirmed = Some(Confirmed { began, version });
        let is_known = self
            .lists
            .back()
            .is_some_and(|known| known.version == version);
        let Some(list) = list.filter(|_| !is_known) else {
            if !is_known {
                self.forget();
            }
            return false;
        };
        let is_fresh = before.is_some_and(|before| now.since(before.began) <= AUTHORITY);
        self.learn(now, version, list, is_fresh);
        true
    }

    fn forget(&mut self) {
        self.lists.clear();
        self.pools.clear();
    }

    fn learn(&mut self, now: Moment, version: Version, list: &List, is_fresh: bool) {
        let follows = self.lists.back().is_some_and(|last| {
            last.version.era == version.era && last.list.number + 1 == list.number
        });
        let is_first = !self.had_list && list.number == 1 && list.settled && version.era.0 == 0;
        self.had_list = true;
        if !follows {
            self.forget();
        }
        self.lists.push_back(Known {
            version,
            list: list.clone(),
            learned: now,
            is_fresh,
            is_first,
        });
        let me = &self.me;
        self.pools
            .retain(|workspace, _| list.allocator(workspace) == Some(me));
        let wait = self.setting.takeover_wait();
        while self
            .lists
            .get(1)
            .is_some_and(|next| now.since(next.learned) > wait)
        {
            self.lists.pop_front();
        }
    }

    /// The list in force; `None` if none is known.
    pub fn list(&self) -> Option<(&Version, &List)> {
        self.lists.back().map(|known| (&known.version, &known.list))
    }

    /// Whether this daemon may lend now.
    pub fn has_authority(&self, now: Moment) -> bool {
        let Some((version, list)) = self.list() else {
            return false;
        };
        let is_current = self.confirmed.is_some_and(|confirmed| {
            confirmed.version == *version && now.since(confirmed.began) <= AUTHORITY
        });
        !self.stopped && is_current && list.allocators.contains(&self.me)
    }

    /// Whether this daemon is the allocator of a workspace by the list that it knows.
    pub fn is_allocator(&self, workspace: &Workspace) -> bool {
        let list = self.list();
        list.is_some_and(|(_, list)| list.allocator(workspace) == Some(&self.me))
    }

    /// What may be lent before the loans of the predecessor have ended; `None` if there is none.
    fn takeover(&self, workspace: &Workspace) -> Option<Takeover> {
        let mine = |known: &&Known| known.list.allocator(workspace) == Some(&self.me);
        let since = self.lists.iter().rev().take_while(mine).last()?;
        // A later era begins with a list from an older copy, whose mark is of another time.
        let is_restored = since.version.era.0 > 0
            && self
                .lists
                .front()
                .is_some_and(|first| first.version == since.version);
        (!since.is_first).then(|| Takeover {
            until: since.learned + self.setting.takeover_wait(),
            margin: since.list.settled && !is_restored && since.is_fresh,
        })
    }

    /// Answers an ask of `from`. `quota` gives the quota of a workspace by the configuration in force.
    pub fn ask(
        &mut self,
        now: Moment,
        from: &Instance,
        ask: &Ask,
        quota: impl Fn(&Workspace) -> Option<Quota>,
    ) -> Answer {
        let mut answer = Answer {
            lending: self.has_authority(now),
            renew_ms: self.renewal(now).as_millis() as u16,
            replies: Vec::new(),
        };
        let borrower = Member {
            instance: from.clone(),
            incarnation: ask.incarnation,
        };
        let last = self.asked.get(&borrower);
        // An ask that was overtaken describes a former state of the borrower.
        if !answer.lending || last.is_some_and(|(number, _)| ask.number <= *number) {
            return answer;
        }
        self.asked.insert(borrower.clone(), (ask.number, now));
        let span = self.setting.loan_span();
        self.asked.retain(|_, (_, at)| now.since(*at) < span);
        let fleet = self.list().map_or(0, |(_, list)| list.fleet);
        for item in &ask.items {
            if !self.is_allocator(&item.workspace) {
                continue;
            }
            let none = Quota {
                rate: Rate::of(0.0),
                burst: 0,
            };
            let quota = quota(&item.workspace).unwrap_or(none);
            let limit = self.setting.limit(&quota);
            let terms = Terms {
                quota,
                limit,
                lendable: self.setting.lendable(limit, fleet),
                share: self.setting.share(limit, fleet),
                margin: self.setting.margin(limit),
            };
            let takeover = self.takeover(&item.workspace);
            let pool = self.pools.entry(item.workspace.clone());
            let pool = pool.or_insert_with(|| Pool::new(takeover));
            let reply = pool.ask(now, &borrower, item, &terms, &self.setting);
            answer.replies.push(reply);
        }
        answer
    }

    /// Counts bytes that an ask and its answer have taken.
    pub fn count_traffic(&mut self, now: Moment, bytes: u64) {
        self.traffic.push_back((now, bytes));
        while let Some((at, _)) = self.traffic.front()
            && now.since(*at) >= MAX_RENEWAL
        {
            self.traffic.pop_front();
        }
    }

    /// The time after which borrowers should renew, by the traffic of the last seconds.
    fn renewal(&self, now: Moment) -> Duration {
        let recent = self
            .traffic
            .iter()
            .filter(|(at, _)| now.since(*at) < MAX_RENEWAL);
        let bytes: u64 = recent.map(|(_, bytes)| bytes).sum();
        let load = bytes as f64 / MAX_RENEWAL.as_secs_f64() / MAX_TRAFFIC as f64;
        RENEWAL.mul_f64(load.max(1.0)).min(MAX_RENEWAL)
    }

    /// Sets the incarnation of this daemon, which rises when another process has used its name. The
    /// lists so far then name another life of it.
    pub fn set_incarnation(&mut self, incarnation: Incarnation) {
        if self.me.incarnation != incarnation {
            self.me.incarnation = incarnation;
            self.pools.clear();
        }
    }

    /// This life of this daemon.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Ends lending for good. Afterwards the list may be written without this daemon and
    /// [`Lender::transfers`] sent.
    pub fn stop(&mut self) {
        self.stopped = true;
    }

    /// The records for the allocators of `list`, which replaces the present one. Workspaces whose
    /// takeover has not ended are left out: their new allocators wait as after a failure.
    pub fn transfers(&mut self, now: Moment, list: &List) -> Vec<(Member, Transfer)> {
        let mut by_member: BTreeMap<Member, Vec<Record>> = BTreeMap::new();
        let follows = self
            .list()
            .is_some_and(|(_, last)| last.number + 1 == list.number);
        if !self.stopped || !follows {
            return Vec::new();
        }
        for (workspace, pool) in &mut self.pools {
            pool.expire(now);
            let Some(member) = list.allocator(workspace).filter(|_| !pool.takes_over(now)) else {
                continue;
            };
            let record = Record {
                workspace: workspace.clone(),
                holdings: pool.holdings(),
                cooling: pool.cooling_ages(now),
            };
            by_member.entry(member.clone()).or_default().push(record);
        }
        let transfers = by_member.into_iter().map(|(member, records)| {
            let transfer = Transfer {
                incarnation: self.me.incarnation,
                list: list.number,
                records,
            };
            (member, transfer)
        });
        transfers.collect()
    }

    /// Takes the records of a predecessor that has stopped. Returns the number of workspaces that were
    /// taken; 0 if the list that it names is not the present one, or it was not their allocator.
    pub fn inherit(&mut self, now: Moment, from: &Instance, transfer: &Transfer) -> usize {
        let former = Member {
            instance: from.clone(),
            incarnation: transfer.incarnation,
        };
        let mut last = self.lists.iter().rev();
        let (Some(present), Some(before)) = (last.next(), last.next()) else {
            return 0;
        };
        if present.list.number != transfer.list || !self.has_authority(now) {
            return 0;
        }
        let (present, before) = (present.list.clone(), before.list.clone());
        let mut taken = 0;
        for record in &transfer.records {
            let workspace = &record.workspace;
            let is_successor = before.allocator(workspace) == Some(&former)
                && present.allocator(workspace) == Some(&self.me);
            if !is_successor {
                continue;
            }
            let takeover = self.takeover(workspace);
            let pool = self.pools.entry(workspace.clone());
            let pool = pool.or_insert_with(|| Pool::new(takeover));
            if pool.takes_over(now) {
                pool.inherit(now, &record.holdings, &record.cooling, &self.setting);
                taken += 1;
            }
        }
        taken
    }

    /// The workspaces that were asked for here, each with its tokens lent and whether it is being
    /// taken over.
    pub fn pools(&self, now: Moment) -> Vec<(Workspace, u32, bool)> {
        let pools = self.pools.iter();
        pools
            .map(|(workspace, pool)| (workspace.clone(), pool.lent(), pool.takes_over(now)))
            .collect()
    }
}
