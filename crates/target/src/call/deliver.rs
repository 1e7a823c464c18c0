//! Delivers the target's answer to the entry.

use std::time::Duration;

use bytes::Bytes;
use gate::End;
use held::Answer;
use http::StatusCode;
use http1::response;
use wire::{Abort, Cause, Error, Notice, Reply, Sender};

use super::{Handler, Run, abort, elapsed_ms, load_fields};
use crate::answer::{self, Ended, Relay};
use crate::connection::Connection;
use crate::max_rate::{self, Exchange};
use crate::verdict::{self, Verdict};

/// Bytes of complete answers that may wait for the link while their slots are free again. It bounds
/// the memory of a gate whose link is slower than its target.
const MAX_UNWRITTEN: u64 = 8_000_000;

/// Bytes of a reply's frame besides its headers, with a load report.
const REPLY_BYTES: usize = 60;

impl Handler<'_> {
    /// Delivers the answer to the entry, or reports why it can't be delivered.
    pub(super) async fn deliver(
        self,
        run: Run,
        head: response::Head,
        connection: Connection,
        sender: Sender,
    ) -> Result<(), Error> {
        let latency = run.started.elapsed();
        let stats = self.server.stats();
        stats.waited.observe(self.waited.as_secs_f64());
        stats.ran.observe(latency.as_secs_f64());
        self.server.record_load(&head);
        let notice = self.record_notice(&head, &run);
        match Verdict::of(&self.server.dialect, &head) {
            Verdict::Pass => {
                let reply = self.reply(&head, notice, run.parent.allowance_left());
                self.relay(run, head, reply, latency, connection, sender)
                    .await
            }
            Verdict::Declined => {
                stats.declined.inc();
                run.running.finish(End::Declined);
                self.handle_declined(&head, connection);
                self.refuse(sender, Cause::Declined, Duration::ZERO).await
            }
            Verdict::Invalid(cause) => {
                stats.unfit.inc();
                run.running.finish(End::Failed { latency });
                abort(sender, Abort::broken(cause.to_string())).await
            }
        }
    }

    /// Records what the answer says of the target beside its load, if it comes from the current life,
    /// and returns it for the entry.
    fn record_notice(&self, head: &response::Head, run: &Run) -> Option<Box<Notice>> {
        let server = self.server;
        let max_rate = server.dialect.max_rate(&head.headers);
        let leaving = server.dialect.is_leaving(&head.headers);
        let is_current =
            head.status != StatusCode::MISDIRECTED_REQUEST && run.life == server.life_name();
        if is_current {
            server.record_max_rate(max_rate, Exchange::Call, run.started);
            if leaving {
                server.leave_by_answer();
            }
        }
        let max_rate = max_rate.ok().flatten();
        let life = run.life.as_deref().map(max_rate::digest);
        (leaving || max_rate.is_some()).then(|| {
            Box::new(Notice {
                life,
                max_rate,
                leaving,
            })
        })
    }

    /// Relays a valid answer to its end.
    async fn relay(
        &self,
        run: Run,
        head: response::Head,
        reply: Reply,
        latency: Duration,
        mut connection: Connection,
        mut sender: Sender,
    ) -> Result<(), Error> {
        let link = self.server.link_to(&self.entry);
        if let Some(link) = link {
            link.record(head_bytes(&reply));
        }
        // For a request that may not be repeated, the relay reads on until the deadline after the entry
        // has disconnected: the answer is kept for later queries for the token.
        let mut relay = Relay {
            sender: &mut sender,
            idle_timeout: self.server.idle_timeout,
            keep: self.call.once,
            deadline: self.deadline,
            buffer_first: self.server.heartbeats.is_some(),
            paced: link.map(|link| link.answer(self.call.bulk)),
        };
        let start = match relay.buffer(&mut connection).await {
            Ok(start) => start,
            Err(ended) => return self.end_early(run, ended, sender).await,
        };
        if start.complete && link.is_some_and(|link| link.unwritten() <= MAX_UNWRITTEN) {
            // The target is done, so its slot must not wait for the link.
            self.complete(
                run,
                &head,
                &reply,
                (latency, connection),
                Some(start.data.clone()),
            );
            return match relay.send_complete(&reply, start.data).await? {
                true => sender.finish().await,
                false => Ok(()),
            };
        }
        let ended = match relay.run(&reply, start, &mut connection).await {
            Ok(ended) => ended,
            Err(error) => {
                run.running.finish(End::Cancelled);
                return Err(error);
            }
        };
        match ended {
            Ended::Complete { copy, delivered } => {
                self.complete(run, &head, &reply, (latency, connection), copy);
                if delivered {
                    sender.finish().await
                } else {
                    Ok(())
                }
            }
            ended => self.end_early(run, ended, sender).await,
        }
    }

    /// Ends a run whose answer was read completely.
    fn complete(
        &self,
        mut run: Run,
        head: &response::Head,
        reply: &Reply,
        (latency, connection): (Duration, Connection),
        copy: Option<Bytes>,
    ) {
        let leaves = reply.notice.as_ref().is_some_and(|notice| notice.leaving);
        if let (Some(held), Some(body)) = (run.held.take(), copy) {
            let reply = reply.clone();
            held.done(Answer { reply, body });
        }
        match run.life.is_none() && leaves {
            true => self.server.witness_leave(Some(connection)),
            false => self.release(connection),
        }
        // From here on the answer itself is counted.
        run.expected = None;
        self.finish(run, head, latency);
    }

    /// Ends a run whose answer was not read completely.
    async fn end_early(&self, run: Run, ended: Ended, sender: Sender) -> Result<(), Error> {
        match ended {
            Ended::Truncated(cause) => {
                self.server.pool.record_violation();
                let latency = run.started.elapsed();
                run.running.finish(End::Failed { latency });
                abort(sender, Abort::broken(cause)).await
            }
            Ended::Complete { .. } | Ended::Abandoned => {
                run.running.finish(End::Cancelled);
                Ok(())
            }
        }
    }

    /// Logs a run with a complete answer, and reports it to the gate.
    fn finish(&self, run: Run, head: &response::Head, latency: Duration) {
        log::info!(
            "gate: id={} status={} urgency={} goal_ms={} waited_ms={} ran_ms={} class={} {}.",
            self.id(),
            head.status.as_u16(),
            self.call.urgency,
            self.call.goal.map_or(-1, |goal| goal.as_millis() as i64),
            self.waited.as_millis(),
            elapsed_ms(run.started),
            self.call.class,
            load_fields(&run.load)
        );
        if head.status.is_success()
            && let Some(work) = latency.checked_sub(run.parent.nested_time())
        {
            run.running.record_work(work);
        }
        let shed = answer::shed(head.status, &head.headers);
        run.running.finish(verdict::end(shed, head.status, latency));
    }
}

/// About how many bytes the head of an answer takes on the link.
fn head_bytes(reply: &Reply) -> usize {
    let headers = reply.headers.iter();
    let headers = headers.map(|header| header.name.len() + header.value.len() + 2);
    REPLY_BYTES + headers.sum::<usize>()
}
