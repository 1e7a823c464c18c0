//! The way from an entry to the owner of a key, and back.
//!
//! The owner is a hint that all daemons compute from their rosters: it groups the claims of its
//! shard. Where the hint is wrong, or the owner can't be reached, the next one in rank is asked.
//! Nothing depends on there being one owner: the version check of the write is the fence.

use std::sync::Arc;
use std::time::Duration;

use entry::{Claims, Granted, NoClaim};
use ledger::message::{Answer, Ask, ClaimRequest};
use ledger::{Claim, End, Ledger, Moment, Record};
use timer::timeout_at;
use tokio::time::{Instant, sleep};
use tokio_util::task::TaskTracker;
use unit::{Digest, Instance, Outcome, Token};
use wire::{Dialer, Error, Note, Topic, codec};

use crate::directory::Directory;

/// Owners that are asked for one claim: the one in rank and the next.
const OWNERS: usize = 2;

/// Longest wait for one owner, beyond the patience of its ledger with the store.
const OWNER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Longest time that an end is offered to owners that don't take it.
const END_FOR: Duration = Duration::from_secs(60);

/// Pause between two offers of an end, doubled up to the second value.
const END_AGAIN: Duration = Duration::from_millis(50);
const END_PAUSE: Duration = Duration::from_secs(2);

/// When an entry whose owners are lost should be asked again.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Asks the owners of keys for one daemon.
pub(crate) struct Desk {
    pub(crate) me: Instance,
    pub(crate) ledger: Ledger,
    pub(crate) dialer: Arc<Dialer>,
    pub(crate) directory: Arc<Directory>,
    /// Ends that are still to be delivered; a planned stop waits for them.
    pub(crate) open: TaskTracker,
}

impl Desk {
    /// The closures that the entry calls.
    pub(crate) fn claims(self: &Arc<Self>) -> Claims {
        let (claimant, teller) = (self.clone(), self.clone());
        Claims {
            claim: Box::new(move |claim| {
                let desk = claimant.clone();
                Box::pin(async move { desk.claim(claim).await })
            }),
            end: Box::new(move |end| {
                let desk = teller.clone();
                teller.open.spawn(async move { desk.end(end).await });
            }),
        }
    }

    /// The record of a key.
    ///
    /// # Errors
    ///
    /// What failed, in words.
    pub(crate) async fn find(&self, key: Digest) -> Result<Option<Record>, String> {
        self.ledger
            .find(key)
            .await
            .map_err(|error| error.to_string())
    }

    /// Answers a note of another entry.
    pub(crate) async fn note(&self, payload: &[u8]) -> Result<Note, Error> {
        let ask: Ask = codec::unpack(payload)?;
        let answer = self.ledger.answer(ask).await;
        Ok(Note {
            topic: Topic::Ledger,
            payload: codec::pack(&answer)?,
        })
    }

    /// Waits until `until` for ends and releases to be written, for a planned stop.
    pub(crate) async fn settle(&self, until: Instant) {
        self.open.close();
        if timeout_at(until, self.open.wait()).await.is_err() {
            log::error!(
                "ledger: {} ends were not recorded before the stop.",
                self.open.len()
            );
        }
        if !self.ledger.flush(until).await {
            log::error!("ledger: releases were not written before the stop.");
        }
    }

    /// Claims a key at its owner, or, if that one is lost, at the next in rank, until the deadline of the
    /// claim.
    ///
    /// A claim at a lost owner may still be written. Nobody will run the key under that token, so
    /// it is released, and the next owner is asked under a fresh one: the release must not free
    /// the claim that is granted.
    async fn claim(self: &Arc<Self>, mut claim: Claim) -> Result<Granted, NoClaim> {
        let mut passed = Vec::new();
        let mut cause = "no instance is known".to_string();
        for _ in 0..OWNERS {
            let Some(owner) = self.owner(claim.key, &passed) else {
                break;
            };
            let request = Ask::Claim(ClaimRequest::new(claim.clone()));
            let until = claim.deadline.min(Instant::now() + OWNER_TIMEOUT);
            match self.ask(&owner, request, until).await {
                Ok(Answer::Claimed(claimed)) => {
                    return Ok(Granted {
                        token: claim.token,
                        claimed,
                    });
                }
                Ok(Answer::Failed { cause, retry_after }) => {
                    return Err(NoClaim { cause, retry_after });
                }
                Ok(_) => cause = format!("{owner} gave another answer"),
                Err(error) => cause = error,
            }
            self.free(claim.key, claim.token);
            claim.token = Token(rand::random());
            passed.push(owner);
            if Instant::now() >= claim.deadline {
                break;
            }
        }
        Err(NoClaim {
            cause,
            retry_after: RETRY_AFTER,
        })
    }

    fn free(self: &Arc<Self>, key: Digest, token: Token) {
        let end = End {
            key,
            token,
            target: None,
            at: Moment::now(),
            outcome: Outcome::NotRun,
            status: 0,
        };
        let desk = self.clone();
        self.open.spawn(async move { desk.end(end).await });
    }

    /// Offers an end until an owner has it in the store.
    async fn end(&self, end: End) {
        let until = Instant::now() + END_FOR;
        let mut pause = END_AGAIN;
        let mut passed = Vec::new();
        while Instant::now() < until {
            let owner = self.owner(end.key, &passed).unwrap_or_else(|| {
                // Nobody else is left to ask, as in the stop of the last instance. The own ledger
                // can write it, since no owner is more than a hint.
                passed.clear();
                self.me.clone()
            });
            let owner_until = Instant::now() + OWNER_TIMEOUT;
            match self.ask(&owner, Ask::End(end.clone()), owner_until).await {
                Ok(Answer::Ended) => return,
                Ok(answer) => log::warn!("ledger: {owner} did not take an end: {answer:?}."),
                Err(error) => {
                    log::warn!("ledger: {error}.");
                    passed.push(owner);
                }
            }
            sleep(pause).await;
            pause = (pause * 2).min(END_PAUSE);
        }
        log::error!("ledger: the end of token {} was not recorded.", end.token);
    }

    fn owner(&self, key: Digest, passed: &[Instance]) -> Option<Instance> {
        let live = self.directory.live();
        if passed.is_empty() {
            return self.ledger.owner(key, &live).cloned();
        }
        let left: Vec<Instance> = live
            .iter()
            .filter(|instance| !passed.contains(instance))
            .cloned()
            .collect();
        self.ledger.owner(key, &left).cloned()
    }

    async fn ask(&self, owner: &Instance, ask: Ask, until: Instant) -> Result<Answer, String> {
        if *owner == self.me {
            return Ok(self.ledger.answer(ask).await);
        }
        let asked = timeout_at(until, self.ask_over(owner, ask)).await;
        match asked {
            Ok(answer) => answer.map_err(|error| error.to_string()),
            Err(_) => Err(format!("ask {owner} for a key: no answer in time")),
        }
    }

    async fn ask_over(&self, owner: &Instance, ask: Ask) -> Result<Answer, Error> {
        let unknown = || Error::Dial(owner.to_string(), "not announced".to_string());
        let peer = self.directory.peer(owner).ok_or_else(unknown)?;
        let link = self.dialer.link(&peer).await?;
        let answer = link.note(Topic::Ledger, codec::pack(&ask)?).await?;
        codec::unpack(&answer)
    }
}
