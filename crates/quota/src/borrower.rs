//! The tokens that one daemon spends.

use std::collections::BTreeMap;
use std::time::Duration;

use unit::{Incarnation, Version, Workspace};

use crate::contact::Contact;
use crate::purse::Purse;
use crate::{Answer, Ask, List, Member, Moment, RENEWAL, Setting, Usage};

/// The shortest time after which a refused caller is told to come again.
const MIN_RETRY: Duration = Duration::from_millis(10);

/// The most idle workspaces that are kept for their totals.
const MAX_PURSES: usize = 4_096;

/// The result of [`Borrower::take`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Take {
    /// A token was spent at this moment.
    Spent(Moment),
    /// No token is here, but the allocator may lend one.
    Wait,
    /// No token is here, and the allocator has none; one may be free after this time.
    Exceeded(Duration),
}

/// The tokens that one daemon spends, and what it asks of the allocators.
#[derive(Debug)]
pub struct Borrower {
    incarnation: Incarnation,
    setting: Setting,
    list: Option<(Version, List)>,
    /// The number of daemons known here.
    daemons: u32,
    purses: BTreeMap<Workspace, Purse>,
    contacts: BTreeMap<Member, Contact>,
    limits: BTreeMap<Workspace, u32>,
    number: u64,
    /// The number of the last ask before the list.
    listed: u64,
}

impl Borrower {
    /// A borrower that has just started and holds nothing.
    pub fn new(incarnation: Incarnation, setting: Setting) -> Borrower {
        Borrower {
            incarnation,
            setting,
            list: None,
            daemons: 0,
            purses: BTreeMap::new(),
            contacts: BTreeMap::new(),
            limits: BTreeMap::new(),
            number: 0,
            listed: 0,
        }
    }

    /// Takes in a list; one that is not newer changes nothing.
    pub fn set_list(&mut self, version: Version, list: &List) {
        if self
            .list
            .as_ref()
            .is_some_and(|(known, _)| version <= *known)
        {
            return;
        }
        self.contacts
            .retain(|member, _| list.allocators.contains(member));
        // The allocators of the list may not know what their predecessors have been told.
        for purse in self.purses.values_mut() {
            purse.tell_again();
        }
        self.listed = self.number;
        self.list = Some((version, list.clone()));
    }

    /// The list in use.
    pub fn list(&self) -> Option<&List> {
        self.list.as_ref().map(|(_, list)| list)
    }

    /// Sets the number of daemons known here. While it is above the list's fleet, the even share is
    /// split over it.
    pub fn set_daemons(&mut self, daemons: u32) {
        self.daemons = daemons;
    }

    /// Sets the limit of a workspace by the configuration in force; 0 takes the quota away.
    pub fn set_limit(&mut self, now: Moment, workspace: &Workspace, limit: u32) {
        if self.limits.get(workspace) != Some(&limit) {
            self.limits.insert(workspace.clone(), limit);
        }
        self.advance(now, workspace);
    }

    fn share(&self, now: Moment, limit: u32) -> u32 {
        let Some(list) = self.list().filter(|_| now.0 >= self.setting.window) else {
            // Requests that a former life of this daemon has admitted may be in the window.
            return 0;
        };
        self.setting.share(limit, list.fleet.max(self.daemons))
    }

    fn advance(&mut self, now: Moment, workspace: &Workspace) {
        let limit = self.limits.get(workspace).copied().unwrap_or(0);
        let share = self.share(now, limit);
        let purse = self.purses.entry(workspace.clone());
        let incarnation = self.incarnation;
        let purse =
            purse.or_insert_with(|| Purse::new(limit, share, phase(incarnation, workspace)));
        purse.advance(now, self.setting.window, limit, share);
    }

    fn purse(&mut self, now: Moment, workspace: &Workspace) -> Option<&mut Purse> {
        self.advance(now, workspace);
        self.purses.get_mut(workspace)
    }

    /// Takes a token of a workspace whose limit was set before.
    pub fn take(&mut self, now: Moment, workspace: &Workspace) -> Take {
        let window = self.setting.window;
        let has_allocator = self.allocator(workspace).is_some();
        let Some(purse) = self.purse(now, workspace) else {
            return Take::Exceeded(RENEWAL);
        };
        if purse.take(now) {
            return Take::Spent(now);
        }
        let paced = purse.pace_left(now);
        if !paced.is_zero() {
            return Take::Exceeded(paced.max(MIN_RETRY));
        }
        let again = purse.again(now);
        if has_allocator && again.is_zero() {
            return Take::Wait;
        }
        let lent = if has_allocator { again } else { RENEWAL };
        let free = purse.next_free(now, window).unwrap_or(lent);
        Take::Exceeded(lent.min(free).max(MIN_RETRY))
    }

    /// Counts a refused request, and returns the time after which its caller should come again.
    pub fn refuse(&mut self, now: Moment, workspace: &Workspace) -> Duration {
        let window = self.setting.window;
        let Some(purse) = self.purse(now, workspace) else {
            return RENEWAL;
        };
        purse.refuse(now);
        let paced = purse.pace_left(now);
        if !paced.is_zero() {
            return paced.max(MIN_RETRY);
        }
        let again = Some(purse.again(now)).filter(|again| !again.is_zero());
        let again = again.unwrap_or(RENEWAL);
        let free = purse.next_free(now, window).unwrap_or(again);
        again.min(free).max(MIN_RETRY)
    }

    /// Returns the token that was spent at `at` by a request that has not run.
    pub fn refund(&mut self, now: Moment, workspace: &Workspace, at: Moment) {
        if let Some(purse) = self.purse(now, workspace) {
            purse.refund(at);
        }
    }

    /// Counts a request that begins or ends to wait for a token.
    pub fn set_waiting(&mut self, workspace: &Workspace, waits: bool) {
        if let Some(purse) = self.purses.get_mut(workspace) {
            purse.waiting = match waits {
                true => purse.waiting + 1,
                false => purse.waiting.saturating_sub(1),
            };
        }
    }

    fn allocator(&self, workspace: &Workspace) -> Option<&Member> {
        self.list()?.allocator(workspace)
    }

    /// The asks that should be sent now, each with the allocator that it goes to.
    pub fn asks(&mut self, now: Moment) -> Vec<(Member, Ask)> {
        let Some((version, list)) = &self.list else {
            return Vec::new();
        };
        let version = *version;
        let mut due: BTreeMap<Member, Vec<Workspace>> = BTreeMap::new();
        let mut urgent = Vec::new();
        for (workspace, purse) in &self.purses {
            if let Some(member) = list.allocator(workspace).filter(|_| purse.has_news()) {
                due.entry(member.clone())
                    .or_default()
                    .push(workspace.clone());
                if purse.is_urgent(now) {
                    urgent.push(member.clone());
                }
            }
        }
        for member in &list.allocators {
            due.entry(member.clone()).or_default();
        }
        due.retain(|member, workspaces| {
            let contact = self.contacts.entry(member.clone()).or_default();
            let (last, renewal) = (contact.last_sent(), contact.renewal());
            let purses = workspaces.iter().filter_map(|name| self.purses.get(name));
            let mut renewals = purses.filter_map(|purse| purse.renew_at(last, renewal));
            let is_due = urgent.contains(member)
                || renewals.any(|at| now >= at)
                || contact.has_report(now, version);
            is_due && now >= contact.free_at()
        });
        due.into_iter()
            .map(|(member, workspaces)| self.ask(now, member, &workspaces))
            .collect()
    }

    fn ask(&mut self, now: Moment, member: Member, workspaces: &[Workspace]) -> (Member, Ask) {
        self.number += 1;
        let number = self.number;
        let mut items = Vec::with_capacity(workspaces.len());
        for workspace in workspaces {
            if let Some(purse) = self.purse(now, workspace) {
                items.push(purse.ask(now, number, workspace));
            }
        }
        self.contacts
            .entry(member.clone())
            .or_default()
            .sent(now, number);
        let ask = Ask {
            incarnation: self.incarnation,
            number,
            list: self
                .list
                .as_ref()
                .map_or(Version::NONE, |(version, _)| *version),
            age_ms: u32::try_from(now.0.as_millis()).unwrap_or(u32::MAX),
            items,
        };
        (member, ask)
    }

    /// When [`Borrower::asks`] may have something next; `None` if nothing is open.
    pub fn next_ask(&self, now: Moment) -> Option<Moment> {
        let (version, list) = self.list.as_ref()?;
        let reports = list.allocators.iter().filter_map(|member| {
            let contact = self.contacts.get(member);
            let is_due = contact.is_none_or(|contact| contact.has_report(now, *version));
            is_due.then(|| contact.map_or(now, |contact| contact.free_at().max(now)))
        });
        let purses = self.purses.iter().filter(|(_, purse)| purse.has_news());
        let next = purses.filter_map(|(workspace, purse)| {
            let contact = self.contacts.get(list.allocator(workspace)?);
            let Some(contact) = contact else {
                return Some(now);
            };
            let renewal = purse.renew_at(contact.last_sent(), contact.renewal())?;
            let wished = match purse.waiting > 0 {
                _ if purse.is_urgent(now) => now,
                true => renewal.min(now + purse.again(now)),
                false => renewal,
            };
            Some(wished.max(contact.free_at()).max(now))
        });
        next.chain(reports).min()
    }

    /// Whether an ask about a workspace should be sent before the next renewal.
    pub fn is_urgent(&self, now: Moment, workspace: &Workspace) -> bool {
        let purse = self.purses.get(workspace);
        purse.is_some_and(|purse| purse.is_urgent(now))
    }

    /// Whether an answer of an allocator is awaited.
    pub fn is_asking(&self, now: Moment, workspace: &Workspace) -> bool {
        let contact = self
            .allocator(workspace)
            .and_then(|member| self.contacts.get(member));
        contact.is_some_and(|contact| contact.is_open(now))
    }

    /// Takes in the answer to ask `number`. Returns the number of tokens that came; 0 also if the ask
    /// was given up.
    pub fn answered(&mut self, now: Moment, from: &Member, number: u64, answer: &Answer) -> u32 {
        let contact = self.contacts.get_mut(from);
        let Some((contact, sent)) = contact.and_then(|contact| {
            let sent = contact.close(number)?;
            Some((contact, sent))
        }) else {
            return 0;
        };
        if !answer.lending {
            return 0;
        }
        if let Some((version, _)) = self
            .list
            .as_ref()
            .filter(|_| answer.heard && number > self.listed)
        {
            contact.set_reported(*version);
        }
        contact.set_renewal(Duration::from_millis(u64::from(answer.renew_ms)));
        let mut came = 0;
        for reply in &answer.replies {
            if self.allocator(&reply.workspace) != Some(from) {
                continue;
            }
            if let Some(purse) = self.purse(now, &reply.workspace) {
                came += purse.answered(now, number, sent, reply);
            }
        }
        came
    }

    /// Gives up ask `number`; an answer to it will be ignored.
    pub fn failed(&mut self, from: &Member, number: u64) {
        if let Some(contact) = self.contacts.get_mut(from) {
            contact.close(number);
        }
    }

    /// Forgets workspaces that are neither in use nor among `known`.
    pub fn prune(&mut self, now: Moment, known: impl Fn(&Workspace) -> bool) {
        let names: Vec<Workspace> = self.purses.keys().cloned().collect();
        for workspace in &names {
            self.advance(now, workspace);
        }
        let is_full = self.purses.len() > MAX_PURSES;
        self.purses.retain(|workspace, purse| {
            purse.waiting > 0 || !purse.is_idle() || (known(workspace) && !is_full)
        });
        self.limits.retain(|workspace, _| known(workspace));
    }

    /// The workspaces that are counted here.
    pub fn workspaces(&self) -> Vec<Workspace> {
        self.purses.keys().cloned().collect()
    }

    /// What is counted of each workspace.
    pub fn usage(&mut self, now: Moment) -> Vec<(Workspace, Usage)> {
        let names: Vec<Workspace> = self.purses.keys().cloned().collect();
        for workspace in &names {
            self.advance(now, workspace);
        }
        let purses = self.purses.iter();
        purses
            .map(|(workspace, purse)| (workspace.clone(), purse.usage()))
            .collect()
    }
}

/// A number from 0 to 1 that differs between daemons and workspaces.
fn phase(incarnation: Incarnation, workspace: &Workspace) -> f64 {
    let mut state = xxhash_rust::xxh3::Xxh3::new();
    state.update(&incarnation.0.to_le_bytes());
    state.update(workspace.as_str().as_bytes());
    (state.digest() >> 32) as f64 / f64::from(u32::MAX)
}
