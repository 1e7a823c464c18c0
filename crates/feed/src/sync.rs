//! Anti-entropy: two daemons with different roster digests exchange the records that differ.

use std::time::Duration;

use roster::{Record, Summary};
use tokio::time::{Instant, sleep};
use unit::Instance;

use crate::feed::Inner;
use crate::message::{Answer, MAX_RECORDS, Message, Page};
use crate::{Error, carrier};

/// How long a difference must last before rosters are compared. Updates in transit make digests
/// differ for moments, and each comparison costs 600 bytes and a bucket.
const MIN_DIFFERENCE: Duration = Duration::from_millis(500);

/// Compares rosters with a daemon that reported the digest `total`; one comparison at a time.
pub(crate) async fn sync(inner: &Inner, with: &Instance, total: u64) {
    let Ok(_syncing) = inner.syncing.try_lock() else {
        return;
    };
    sleep(MIN_DIFFERENCE).await;
    let summary = inner.with(|roster| roster.summary().clone());
    if summary.total() == total {
        return;
    }
    if let Err(error) = exchange(inner, with, summary).await {
        log::debug!("feed: roster comparison failed: {error}.");
    }
}

async fn exchange(inner: &Inner, with: &Instance, summary: Summary) -> Result<(), Error> {
    let answer = inner.ask(with, &Message::Summary(summary)).await?;
    let Answer::Pages(pages) = answer else {
        return Err(carrier::unexpected_answer(with));
    };
    let reply = merge(inner, pages);
    for batch in reply.chunks(MAX_RECORDS) {
        let answer = inner.ask(with, &Message::Repair(batch.to_vec())).await?;
        let Answer::Records(records) = answer else {
            return Err(carrier::unexpected_answer(with));
        };
        for record in records {
            inner.merge(&record);
        }
    }
    Ok(())
}

/// Merges a neighbour's pages, and collects the records that it lacks.
fn merge(inner: &Inner, pages: Vec<Page>) -> Vec<Record> {
    let now = Instant::now();
    inner.with(|roster| {
        let exchanges = pages
            .into_iter()
            .map(|page| roster.exchange(now, page.bucket, page.records));
        exchanges.flat_map(|exchange| exchange.reply).collect()
    })
}

/// Returns the buckets that differ from a neighbour's, as many as fit in one answer. The rest
/// follow with the next heartbeat.
pub(crate) fn pages(inner: &Inner, theirs: &Summary) -> Vec<Page> {
    inner.with(|roster| {
        let mut pages = Vec::new();
        let mut count = 0;
        for bucket in roster.differing_buckets(theirs) {
            let records = roster.bucket(bucket);
            count += records.len();
            if count > MAX_RECORDS && !pages.is_empty() {
                break;
            }
            pages.push(Page { bucket, records });
        }
        pages
    })
}

/// Merges records that a neighbour found lacking here, and returns those that supersede them.
pub(crate) fn repair(inner: &Inner, records: Vec<Record>) -> Vec<Record> {
    let now = Instant::now();
    inner.with(|roster| {
        let mut newer = Vec::new();
        for record in records {
            roster.merge(now, record.clone());
            let held = roster.get(&record.instance);
            newer.extend(held.filter(|held| held.supersedes(&record)).cloned());
        }
        newer
    })
}
