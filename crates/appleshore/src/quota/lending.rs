//! Answers borrowers, and follows the list of allocators.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use quota::{Answer, Ask, Lender, Moment};
use roster::{Record, State};
use tokio::time::sleep;
use unit::Instance;
use wire::{Error, codec};

use super::{Desk, Message, Reply};

/// How often the list is looked at while nothing is asked.
const PERIOD: Duration = Duration::from_millis(250);

impl Desk {
    /// Answers one message of `from`.
    ///
    /// # Errors
    ///
    /// [`Error::Garbled`] if it is none.
    pub(crate) fn note(&self, from: &Instance, payload: &[u8]) -> Result<Bytes, Error> {
        let message: Message = codec::unpack(payload)?;
        let reply = match message {
            Message::Ask(ask) => Reply::Answer(self.lend(from, &ask, payload.len())),
            Message::Probe => {
                let (lends, is_clear) = self.lends();
                Reply::Lends { lends, is_clear }
            }
            Message::Transfer(transfer) => {
                let now = self.now();
                let mut lender = self.lender.lock();
                self.confirm(now, &mut lender);
                let taken = lender.inherit(now, from, &transfer);
                log::info!("quota: records of {taken} workspaces are taken over from {from}.");
                Reply::Taken(taken as u32)
            }
        };
        codec::pack(&reply)
    }

    /// Whether this daemon may lend, and whether no takeover of it can use the margin any more.
    pub(super) fn lends(&self) -> (bool, bool) {
        let now = self.now();
        let mut lender = self.lender.lock();
        self.confirm(now, &mut lender);
        let is_clear = lender.is_clear(now, |workspace| (self.parts.quotas)(workspace));
        (lender.has_authority(now), is_clear)
    }

    pub(super) fn lend(&self, from: &Instance, ask: &Ask, bytes: usize) -> Answer {
        let now = self.now();
        let mut lender = self.lender.lock();
        self.confirm(now, &mut lender);
        let answer = lender.ask(now, from, ask, |workspace| (self.parts.quotas)(workspace));
        // The answer has about the size of the ask.
        lender.count_traffic(now, 2 * (bytes as u64 + feed::MESSAGE_OVERHEAD));
        answer
    }

    /// Hands the newest confirmation to the lender.
    fn confirm(&self, now: Moment, lender: &mut Lender) {
        let Some(listed) = self.confirmed(now) else {
            return;
        };
        // One from before the start of this process is of no use to it.
        let Some(began) = listed.began else {
            return;
        };
        let list = listed.list.as_deref();
        if lender.confirm(now, began, listed.version, list)
            && let Some(list) = list
        {
            let is_allocator = list.allocators.contains(lender.me());
            log::info!(
                "quota: list={} version={} settled={} follows_settled={} complete={} era={} fleet={} allocators={} allocator={is_allocator} age_ms={}.",
                list.number,
                listed.version,
                list.settled,
                list.follows_settled,
                list.complete,
                list.era,
                list.fleet,
                list.allocators.len(),
                listed.age.as_millis(),
            );
        }
    }

    /// Tells the lender which daemons are in the roster and not gone.
    fn set_present(&self, now: Moment, lender: &mut Lender) {
        self.parts.roster.with(|roster| {
            let is_peer = |record: &Record| record.state != State::Gone;
            lender.set_present(now, |daemon| {
                daemon == roster.me() || roster.get(daemon).is_some_and(is_peer)
            });
        });
    }

    /// Follows the list, the rules and the roster. Never returns.
    pub(super) async fn follow(self: Arc<Desk>) {
        let mut awaited = 0;
        loop {
            let (own, daemons) = self.parts.roster.with(|roster| {
                let daemons = roster.peers().count() + 1;
                (roster.own_record().incarnation, daemons)
            });
            let now = self.now();
            {
                let mut lender = self.lender.lock();
                lender.set_incarnation(own);
                self.confirm(now, &mut lender);
                self.set_present(now, &mut lender);
                let is_allocator = lender
                    .list()
                    .is_some_and(|(_, list)| list.allocators.contains(lender.me()));
                self.parts.feed.hasten_confirmations(is_allocator);
                if is_allocator {
                    report_awaited(&mut awaited, &lender.awaited(now));
                }
            }
            if let Some(listed) = self.confirmed(now) {
                let mut borrower = self.borrower.lock();
                borrower.set_daemons(u32::try_from(daemons).unwrap_or(u32::MAX));
                listed.update(&mut borrower);
                for workspace in borrower.workspaces() {
                    borrower.set_limit(now, &workspace, self.limit(&workspace));
                }
                borrower.prune(now, |workspace| (self.parts.quotas)(workspace).is_some());
            }
            sleep(PERIOD).await;
        }
    }
}

/// Logs which daemons a takeover waits for, when their number has changed.
fn report_awaited(reported: &mut usize, awaited: &[Instance]) {
    let before = std::mem::replace(reported, awaited.len());
    if let Some(first) = awaited.first().filter(|_| awaited.len() != before) {
        log::info!(
            "quota: takeover waits for daemons={} first={first}.",
            awaited.len()
        );
    }
}
