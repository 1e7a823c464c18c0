//! Takes tokens for requests, and asks allocators for them.

use std::sync::Arc;
use std::time::Duration;

use entry::{Exceeded, QuotaAsk, Spent};
use quota::{Answer, Ask, Member, Take};
use timer::{timeout, timeout_at};
use tokio::time::sleep;
use unit::Workspace;
use wire::{Error, Topic, codec};

use super::{Desk, Message, Reply};

/// How long one exchange may take.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(500);

/// The longest pause between two looks at what is due.
const MAX_PAUSE: Duration = Duration::from_millis(500);
/// The shortest one, which gathers the asks of requests that come together.
const MIN_PAUSE: Duration = Duration::from_millis(2);

/// A request that waits for a token.
struct Waiting<'a> {
    desk: &'a Desk,
    workspace: &'a Workspace,
}

impl<'a> Waiting<'a> {
    fn new(desk: &'a Desk, workspace: &'a Workspace) -> Waiting<'a> {
        desk.borrower.lock().set_waiting(workspace, true);
        desk.wanted.notify_one();
        Waiting { desk, workspace }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.desk.borrower.lock().set_waiting(self.workspace, false);
    }
}

impl Desk {
    /// Takes one request out of the quota of its workspace.
    ///
    /// # Errors
    ///
    /// [`Exceeded`] if no token is free here and none came in time.
    pub(crate) async fn take(self: Arc<Desk>, ask: QuotaAsk) -> Result<Spent, Exceeded> {
        if ask.quota.rate.per_second() <= 0.0 {
            return Ok(Spent::unlimited());
        }
        let workspace = &ask.workspace;
        let limit = self.setting.limit(&ask.quota);
        let mut waiting = None;
        loop {
            let arrived = self.arrived.notified();
            tokio::pin!(arrived);
            arrived.as_mut().enable();
            let taken = {
                let mut borrower = self.borrower.lock();
                let now = self.now();
                // The first list may be confirmed already and not followed yet.
                if borrower.list().is_none()
                    && let Some(listed) = self.confirmed(now)
                {
                    listed.update(&mut borrower);
                }
                borrower.set_limit(now, workspace, limit);
                let taken = borrower.take(now, workspace);
                if borrower.is_urgent(now, workspace) {
                    self.wanted.notify_one();
                }
                taken
            };
            match taken {
                Take::Spent(at) => {
                    let (desk, workspace) = (self.clone(), workspace.clone());
                    return Ok(Spent::new(move || desk.refund(&workspace, at)));
                }
                Take::Exceeded(_) => return Err(self.refuse(workspace)),
                Take::Wait => {
                    waiting.get_or_insert_with(|| Waiting::new(&self, workspace));
                }
            }
            if timeout_at(ask.latest, arrived).await.is_err() {
                return Err(self.refuse(workspace));
            }
        }
    }

    fn refund(&self, workspace: &Workspace, at: quota::Moment) {
        self.borrower.lock().refund(self.now(), workspace, at);
        self.arrived.notify_waiters();
    }

    fn refuse(&self, workspace: &Workspace) -> Exceeded {
        let now = self.now();
        let retry_after = self.borrower.lock().refuse(now, workspace);
        self.log_refusal(now, workspace, retry_after);
        Exceeded { retry_after }
    }

    /// Sends what is due. Never returns.
    pub(super) async fn borrow(self: Arc<Desk>) {
        loop {
            let now = self.now();
            let asks = self.borrower.lock().asks(now);
            for (member, ask) in asks {
                let desk = self.clone();
                tokio::spawn(async move { desk.ask(member, ask).await });
            }
            let next = self.borrower.lock().next_ask(now);
            let pause = next.map_or(MAX_PAUSE, |next| next.since(now));
            let pause = sleep(pause.clamp(MIN_PAUSE, MAX_PAUSE));
            tokio::select! {
                () = pause => (),
                () = self.wanted.notified() => (),
            }
        }
    }

    async fn ask(&self, member: Member, ask: Ask) {
        let number = ask.number;
        let answer = self.exchange_ask(&member, ask).await;
        {
            let mut borrower = self.borrower.lock();
            match answer {
                Ok(answer) => {
                    borrower.answered(self.now(), &member, number, &answer);
                }
                Err(error) => {
                    borrower.failed(&member, number);
                    log::debug!("quota: no answer of {}: {error}.", member.instance);
                }
            }
        }
        self.arrived.notify_waiters();
    }

    async fn exchange_ask(&self, member: &Member, ask: Ask) -> Result<Answer, Error> {
        if member.instance == self.me {
            return Ok(self.lend(&self.me, &ask, 0));
        }
        match self.exchange(member, &Message::Ask(ask)).await? {
            Reply::Answer(answer) => Ok(answer),
            _ => Err(unexpected(member)),
        }
    }

    /// Asks whether an allocator lends, and whether no takeover of it can use the margin any more.
    pub(super) async fn probe(&self, member: &Member) -> (bool, bool) {
        if member.instance == self.me {
            return self.lends();
        }
        match self.exchange(member, &Message::Probe).await {
            Ok(Reply::Lends { lends, is_clear }) => (lends, is_clear),
            _ => (false, false),
        }
    }

    pub(super) async fn exchange(
        &self,
        member: &Member,
        message: &Message,
    ) -> Result<Reply, Error> {
        let instance = &member.instance;
        let unknown = || Error::Dial(instance.to_string(), "not announced".to_string());
        let peer = self.parts.directory.peer(instance).ok_or_else(unknown)?;
        let payload = codec::pack(message)?;
        let answer = async {
            let link = self.parts.dialer.link(&peer).await?;
            link.note(Topic::Quota, payload).await
        };
        let late = |_| Error::Dial(instance.to_string(), "no answer in time".to_string());
        let answer = timeout(EXCHANGE_TIMEOUT, answer).await.map_err(late)??;
        codec::unpack(&answer)
    }
}

fn unexpected(member: &Member) -> Error {
    Error::Garbled(
        member.instance.to_string(),
        "an answer of another kind".to_string(),
    )
}
