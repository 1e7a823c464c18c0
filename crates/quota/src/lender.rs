//! The allocator of some workspaces.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
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
    /// Whether no allocator has lent before.
    is_first: bool,
    /// The daemons that have told what they hold by this list or a later one.
    heard: BTreeSet<Instance>,
    /// When what former processes of these daemons have spent has left the window.
    cold: Moment,
}

impl Known {
    /// The daemons that may hold loans by this list or former ones.
    fn named(&self) -> impl Iterator<Item = &Instance> {
        self.list.daemons.iter().chain(&self.list.leaving)
    }

    /// The named daemons that have not told what they hold, except those that `has_left` says hold
    /// nothing.
    fn awaited(&self, has_left: impl Fn(&Instance) -> bool) -> impl Iterator<Item = &Instance> {
        self.named()
            .filter(move |daemon| !self.heard.contains(*daemon) && !has_left(daemon))
    }

    /// Whether all that may hold loans by former lists have told what they hold.
    fn has_heard_all(&self, has_left: impl Fn(&Instance) -> bool) -> bool {
        let is_named = self.list.complete && !self.list.daemons.is_empty();
        is_named && self.awaited(has_left).next().is_none()
    }
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
    /// Daemons named by the lists that are not in the roster, and since when.
    absent: BTreeMap<Instance, Moment>,
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
            absent: BTreeMap::new(),
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
        self.learn(now, version, list);
        true
    }

    fn forget(&mut self) {
        self.lists.clear();
        self.pools.clear();
    }

    fn learn(&mut self, now: Moment, version: Version, list: &List) {
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
            is_first,
            heard: BTreeSet::new(),
            cold: now,
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
    fn takeover(&self, now: Moment, workspace: &Workspace) -> Option<Takeover> {
        let mine = |known: &&Known| known.list.allocator(workspace) == Some(&self.me);
        let since = self.lists.iter().rev().take_while(mine).last()?;
        let is_known = since.list.is_of_era(since.version);
        let mut until = since.learned + self.setting.takeover_wait();
        if is_known && since.has_heard_all(|daemon| self.has_left(now, daemon)) {
            until = until.min(since.cold);
        }
        (!since.is_first).then_some(Takeover {
            until,
            // Under a settled list nothing of the margin is ever in use.
            margin: is_known && since.list.follows_settled && !since.list.settled,
        })
    }

    /// Tells which daemons are in the roster, live or suspect.
    ///
    /// A daemon that has stopped as planned, or that was silent for long enough to be removed, leaves
    /// the roster. It never tells what it holds, and takeovers don't wait for it.
    pub fn set_present(&mut self, now: Moment, is_present: impl Fn(&Instance) -> bool) {
        let named = self.lists.iter().flat_map(Known::named);
        let absent = named.filter(|daemon| !is_present(daemon));
        let absent = absent.map(|daemon| {
            let since = self.absent.get(daemon).copied();
            (daemon.clone(), since.unwrap_or(now))
        });
        self.absent = absent.collect();
    }

    /// Whether a daemon has been absent for a whole window. Its loans ended when it stopped, or long
    /// before it was removed, and what they let pass has left the window.
    fn has_left(&self, now: Moment, daemon: &Instance) -> bool {
        let since = self.absent.get(daemon);
        since.is_some_and(|since| now.since(*since) >= self.setting.window)
    }

    /// The daemons that a takeover under the present list waits for; empty if none is waited for or
    /// the list does not name all.
    pub fn awaited(&self, now: Moment) -> Vec<Instance> {
        let is_over = |known: &&Known| now.since(known.learned) >= self.setting.takeover_wait();
        let Some(last) = self.lists.back().filter(|known| !is_over(known)) else {
            return Vec::new();
        };
        let awaited = last.awaited(|daemon| self.has_left(now, daemon));
        awaited.cloned().collect()
    }

    /// Counts a daemon that has told all that it holds by the list of `ask`, if the list is known.
    fn hear(&mut self, now: Moment, from: &Instance, ask: &Ask) -> bool {
        let age = Duration::from_millis(u64::from(ask.age_ms));
        let cold = now + self.setting.window.saturating_sub(age);
        let is_present = self
            .lists
            .back()
            .is_some_and(|last| ask.list <= last.version);
        let lists = self
            .lists
            .iter_mut()
            .filter(|known| known.version <= ask.list);
        for known in lists.filter(|_| is_present) {
            if known.heard.insert(from.clone()) {
                known.cold = known.cold.max(cold);
            }
        }
        is_present
    }

    /// Whether no takeover under the list can use the margin any more.
    pub fn is_clear(&self, now: Moment, quota: impl Fn(&Workspace) -> Option<Quota>) -> bool {
        let Some(last) = self.lists.back().filter(|_| self.has_authority(now)) else {
            return false;
        };
        let has_waited = now.since(last.learned) >= self.setting.takeover_wait();
        has_waited
            && self.pools.iter().all(|(workspace, pool)| {
                let limit = quota(workspace).map_or(0, |quota| self.setting.limit(&quota));
                pool.is_within(self.setting.lendable(limit, last.list.fleet))
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
            heard: false,
            renew_ms: self.renewal(now).as_millis() as u16,
            replies: Vec::new(),
        };
        let borrower = Member {
            instance: from.clone(),
            incarnation: ask.incarnation,
        };
        let last = self.asked.get(&borrower);
        let may_borrow = self.list().is_some_and(|(_, list)| list.may_borrow(from));
        if !may_borrow {
            answer.lending = false;
            return answer;
        }
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
            let takeover = self.takeover(now, &item.workspace);
            let pool = self.pools.entry(item.workspace.clone());
            let pool = pool.or_insert_with(|| Pool::new(takeover));
            pool.set_takeover(now, takeover);
            let reply = pool.ask(now, &borrower, item, &terms, &self.setting);
            answer.replies.push(reply);
        }
        answer.heard = self.hear(now, from, ask);
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
            pool.set_takeover(now, None);
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
            let takeover = self.takeover(now, workspace);
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
