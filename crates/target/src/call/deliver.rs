//! The target's answer on its way back to the entry.

use std::time::Duration;

use gate::End;
use held::Answer;
use http1::response;
use wire::{Abort, Cause, Error, Sender};

use super::{Run, Work, abort, load, millis};
use crate::answer::{self, Ended, Relay};
use crate::connection::Connection;
use crate::verdict::{self, Verdict};

impl Work<'_> {
    /// Gives the answer to the entry, or says why it can't be given.
    pub(super) async fn deliver(
        self,
        run: Run,
        head: response::Head,
        connection: Connection,
        sender: Sender,
    ) -> Result<(), Error> {
        let latency = run.began.elapsed();
        let stats = self.server.stats();
        stats.waited.observe(self.waited.as_secs_f64());
        stats.ran.observe(latency.as_secs_f64());
        self.server.record_load(&head);
        match Verdict::of(&self.server.dialect, &head) {
            Verdict::Pass => self.relay(run, head, latency, connection, sender).await,
            Verdict::Declined => {
                stats.declined.inc();
                run.running.finish(End::Declined);
                self.declined(&head, connection);
                self.refuse(sender, Cause::Declined, Duration::ZERO).await
            }
            Verdict::Unfit(cause) => {
                stats.unfit.inc();
                run.running.finish(End::Failed { latency });
                abort(sender, Abort::broken(cause.to_string())).await
            }
        }
    }

    /// Passes a fit answer on, to its end.
    async fn relay(
        &self,
        mut run: Run,
        head: response::Head,
        latency: Duration,
        mut connection: Connection,
        mut sender: Sender,
    ) -> Result<(), Error> {
        let reply = self.reply(&head, run.nest.allowance_left());
        // For a request that may not be repeated we go on although the entry is gone: its answer
        // is kept for whoever asks after the token.
        let relay = Relay {
            sender: &mut sender,
            idle: self.server.idle_timeout,
            keep: self.call.once,
            whole_first: self.server.heartbeats.is_some(),
        };
        let ended = match relay.run(&reply, &mut connection).await {
            Ok(ended) => ended,
            Err(error) => {
                run.running.finish(End::Cancelled);
                return Err(error);
            }
        };
        match ended {
            Ended::Whole { copy, taken } => {
                if let (Some(hold), Some(body)) = (run.hold.take(), copy) {
                    hold.done(Answer { reply, body });
                }
                self.free(connection);
                self.answered(run, &head, latency);
                if taken { sender.finish().await } else { Ok(()) }
            }
            Ended::Unwanted => {
                run.running.finish(End::Cancelled);
                Ok(())
            }
            Ended::Cut(cause) => {
                self.server.pool.be_wary();
                let latency = run.began.elapsed();
                run.running.finish(End::Failed { latency });
                abort(sender, Abort::broken(cause)).await
            }
        }
    }

    /// Tells the log and the gate of a run that was answered in full.
    fn answered(&self, run: Run, head: &response::Head, latency: Duration) {
        log::info!(
            "gate: id={} status={} urgency={} goal_ms={} waited_ms={} ran_ms={} class={} {}.",
            self.id(),
            head.status.as_u16(),
            self.call.urgency,
            self.call.goal.map_or(-1, |goal| goal.as_millis() as i64),
            self.waited.as_millis(),
            millis(run.began),
            self.call.class,
            load(&run.load)
        );
        if head.status.is_success()
            && let Some(work) = latency.checked_sub(run.nest.nested_time())
        {
            run.running.record_work(work);
        }
        let shed = answer::shed(head.status, &head.headers);
        run.running.finish(verdict::end(shed, head.status, latency));
    }
}
