//! Answers messages from other daemons.

use std::time::Duration;

use bytes::Bytes;
use roster::{Beat, Finding, Vote};
use tokio::time::Instant;
use unit::{Instance, Version};

use crate::feed::Inner;
use crate::job::Job;
use crate::message::{Answer, Message, Push, Update};
use crate::rules::{Arrival, Origin, Source};
use crate::{Error, evacuations, fetch, heartbeat, rules, sync};

pub(crate) fn answer(inner: &Inner, from: &Instance, payload: &[u8]) -> Result<Bytes, Error> {
    // Links identify their peers by certificate; a name that isn't in the roster has none.
    if inner.with(|roster| roster.get(from).is_none()) {
        return Err(Error::UnknownInstance(from.clone()));
    }
    let message: Message = wire::codec::unpack(payload)?;
    let kind = message.kind();
    inner.count.received(kind, payload.len());
    inner.roster.mark_seen(Instant::now(), from);
    let answer = wire::codec::pack(&handle(inner, from, message)?)?;
    inner.count.sent(kind, answer.len());
    Ok(answer)
}

fn handle(inner: &Inner, from: &Instance, message: Message) -> Result<Answer, Error> {
    match message {
        Message::Beat(beat) => Ok(Answer::Beat(heartbeat_received(inner, from, &beat))),
        Message::Records(update) => Ok(records_received(inner, update)),
        Message::Rules(push) => Ok(rules_pushed(inner, from, push)),
        Message::Ask(ask) => Ok(Answer::Piece(fetch::answer(inner, ask))),
        Message::Summary(summary) => Ok(Answer::Pages(sync::pages(inner, &summary))),
        Message::Repair(records) => Ok(Answer::Records(sync::repair(inner, records))),
        Message::Vote(vote) => vote_received(inner, from, vote),
        Message::Evacuations(records) => Ok(evacuations::received(inner, records)),
        Message::CompareEvacuations(records) => Ok(evacuations::compared(inner, &records)),
        Message::Confirm { held } => Ok(confirm_asked(inner, &held)),
    }
}

fn heartbeat_received(inner: &Inner, from: &Instance, beat: &Beat) -> Beat {
    let now = Instant::now();
    fetch::add_holder(inner, from, beat.rules);
    heartbeat::learn_era(inner, beat);
    let rules = inner.current.version();
    let era = inner.store.eras().newest();
    let evacuations = inner.evacuations.digest();
    inner.with(|roster| {
        // The sender receives this digest with the answer, and compares.
        roster.heartbeat_received(now, from, beat);
        roster.heartbeat(rules, era, evacuations)
    })
}

fn records_received(inner: &Inner, update: Update) -> Answer {
    let mut records = update.records;
    // Records that are outdated here are not relayed.
    records.retain(|record| inner.merge(record));
    let seed = update.seed;
    if inner.relayed.lock().mark_update(seed) && !records.is_empty() {
        inner.enqueue(Job::Relay(Update { seed, records }));
    }
    Answer::Done
}

fn rules_pushed(inner: &Inner, from: &Instance, push: Push) -> Answer {
    let version = push.version;
    match push.text {
        Some(packed) => {
            let arrival = Arrival {
                version,
                origin: Origin::Tree,
                from: Source::Peer(from),
                fetched: Duration::ZERO,
            };
            rules::unpack(inner, arrival, packed);
        }
        None if inner.current.version() == version => rules::relay_once(inner, version),
        None => fetch::add_holder(inner, from, version),
    }
    Answer::Done
}

fn confirm_asked(inner: &Inner, held: &[Version]) -> Answer {
    let confirming = inner.confirming.as_ref();
    confirming.map_or(Answer::Confirmed(None), |confirming| {
        confirming.answer(held)
    })
}

fn vote_received(inner: &Inner, from: &Instance, vote: Vote) -> Result<Answer, Error> {
    if vote.observer != *from {
        let cause = "sent a vote with another instance as its observer";
        return Err(Error::Unexpected(from.clone(), cause));
    }
    let now = Instant::now();
    if let Finding::Removed(record) = inner.with(|roster| roster.count_vote(now, &vote)) {
        inner.enqueue(Job::Removals(vec![record]));
    }
    Ok(Answer::Done)
}
