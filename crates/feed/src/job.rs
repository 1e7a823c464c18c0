//! Work that a message or a loop leaves to the run.

use std::sync::Arc;

use roster::{Record, Vote};
use unit::{Instance, Version};

use crate::feed::Inner;
use crate::message::News;
use crate::repair::Stale;
use crate::{fetch, pulse, relay, repair, rules, sync};

/// One piece of work.
#[derive(Debug)]
pub(crate) enum Job {
    /// Pass records on to the children in the tree.
    Pass(News),
    /// Tell all zones, and the instances themselves, of removals.
    Removed(Vec<Record>),
    /// Pass the rules in force on to the children in the tree.
    Push(Version),
    /// Fetch the newest rules from the daemons that have them.
    Fetch,
    /// Beat to a daemon, and catch up with it.
    Probe(Instance),
    /// Tell the observers a vote.
    Vote(Vote),
    /// Compare rosters with a daemon whose digest was this.
    Sync(Instance, u64),
    /// Write objects again that the store has lost.
    Restore(Vec<Record>),
    /// Delete objects of instances that are gone.
    Sweep(Vec<Stale>),
}

pub(crate) async fn run(inner: Arc<Inner>, job: Job) {
    match job {
        Job::Pass(news) => relay::pass(&inner, news).await,
        Job::Removed(records) => relay::removed(&inner, records).await,
        Job::Push(version) => rules::push(&inner, version).await,
        Job::Fetch => fetch::run(&inner).await,
        Job::Probe(to) => pulse::probe(&inner, &to).await,
        Job::Vote(vote) => pulse::vote(&inner, vote).await,
        Job::Sync(with, total) => sync::sync(&inner, &with, total).await,
        Job::Restore(records) => repair::restore(&inner, records).await,
        Job::Sweep(stale) => repair::sweep(&inner, stale).await,
    }
}
