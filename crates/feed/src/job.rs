//! Work that messages and loops queue for the run.

use std::sync::Arc;

use roster::{Record, Vote};
use unit::{Instance, Version};

use crate::feed::Inner;
use crate::message::Update;
use crate::repair::Stale;
use crate::{evacuations, fetch, heartbeat, relay, repair, rules, sync};

/// A piece of queued work.
#[derive(Debug)]
pub(crate) enum Job {
    /// Relay updated records to the children in the tree.
    Relay(Update),
    /// Send removals to all zones and to the removed instances.
    Removals(Vec<Record>),
    /// Relay the rules in force to the children in the tree.
    Push(Version),
    /// Tell the watchers of all zones which rules are in force here.
    TellRoots,
    /// Fetch the newest rules from the daemons that have them.
    Fetch,
    /// Send a heartbeat to a daemon, and synchronize with it.
    Probe(Instance),
    /// Send a vote to the observers of its subject.
    Vote(Vote),
    /// Compare rosters with a daemon that reported this digest.
    Sync(Instance, u64),
    /// Relay records of evacuations to the children in the tree.
    RelayEvacuations(Vec<evacuation::Record>),
    /// Exchange all evacuations with a daemon that reported another digest of them.
    CompareEvacuations(Instance),
    /// Rewrite objects that the store has lost.
    Restore(Vec<Record>),
    /// Delete objects of instances that are gone.
    DeleteStale(Vec<Stale>),
}

impl Job {
    /// Its name in the log.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            Job::Relay(_) => "relay",
            Job::Removals(_) => "removals",
            Job::Push(_) => "push",
            Job::TellRoots => "tell-roots",
            Job::Fetch => "fetch",
            Job::Probe(_) => "probe",
            Job::Vote(_) => "vote",
            Job::Sync(..) => "sync",
            Job::RelayEvacuations(_) => "relay-evacuations",
            Job::CompareEvacuations(_) => "compare-evacuations",
            Job::Restore(_) => "restore",
            Job::DeleteStale(_) => "delete-stale",
        }
    }
}

pub(crate) async fn run(inner: Arc<Inner>, job: Job) {
    match job {
        Job::Relay(update) => relay::relay(&inner, update).await,
        Job::Removals(records) => relay::broadcast_removed(&inner, records).await,
        Job::Push(version) => rules::push(&inner, version).await,
        Job::TellRoots => rules::tell_roots(&inner).await,
        Job::Fetch => fetch::run(&inner).await,
        Job::Probe(to) => heartbeat::probe(&inner, &to).await,
        Job::Vote(vote) => heartbeat::vote(&inner, vote).await,
        Job::Sync(with, total) => sync::sync(&inner, &with, total).await,
        Job::RelayEvacuations(records) => evacuations::relay(&inner, records).await,
        Job::CompareEvacuations(with) => evacuations::compare(&inner, &with).await,
        Job::Restore(records) => repair::restore(&inner, records).await,
        Job::DeleteStale(stale) => repair::delete_stale(&inner, stale).await,
    }
}
