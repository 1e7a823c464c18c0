//! Hedging: a second copy of a request, sent while the first attempt is late.

use std::time::Duration;

use pick::Guard;
use pick::retry::Cause;
use tokio::time::Instant;
use unit::Urgency;

use crate::attempt::AttemptOutcome;
use crate::attempts::{Attempts, RETRYABLE_STATUSES};
use crate::request_body::RequestBody;

impl Attempts<'_> {
    /// Makes one attempt, and hedges it with a second one if the rule asks for that and the first
    /// one is late.
    pub(super) async fn attempt(&mut self, guard: Guard, body: &mut RequestBody) -> AttemptOutcome {
        let Some(delay) = self.hedge_delay(body) else {
            let attempt = self.build_attempt(body);
            return attempt.run(guard, body).await;
        };
        let began = guard.began();
        let mut second_body = match body {
            RequestBody::Complete(bytes) => RequestBody::Complete(bytes.clone()),
            _ => RequestBody::Empty,
        };
        let first = self.build_attempt(body).run(guard, body);
        tokio::pin!(first);
        tokio::select! {
            outcome = &mut first => return outcome,
            () = tokio::time::sleep(delay) => {}
        }
        let Some(guard) = self.choose_for_hedge(began) else {
            return first.await;
        };
        let second = self
            .build_attempt(&second_body)
            .run(guard, &mut second_body);
        tokio::pin!(second);
        self.sent += 1;
        // The first usable answer wins. The other attempt is dropped, which cancels it at its gate.
        // If one may have run without an answer, a refusal of the other doesn't make the request
        // "not run".
        tokio::select! {
            outcome = &mut first => {
                if is_usable_answer(&outcome) {
                    return outcome;
                }
                self.may_have_run |= outcome.reached();
                second.await
            }
            outcome = &mut second => {
                if is_usable_answer(&outcome) {
                    return outcome;
                }
                self.may_have_run |= outcome.reached();
                first.await
            }
        }
    }

    /// The delay before the second copy is sent; `None` if this request must not be hedged.
    fn hedge_delay(&self, body: &RequestBody) -> Option<Duration> {
        let may = self.job.repeatable() && body.replayable();
        let wanted = self.job.route.hedge && self.job.urgency == Urgency::Urgent;
        self.job.upstream.hedge_delay().filter(|_| may && wanted)
    }

    /// Chooses the target of the second copy, if one is allowed, and logs the decision.
    fn choose_for_hedge(&mut self, began: Instant) -> Option<Guard> {
        let first = self.tried.last()?.clone();
        let chosen = self
            .allow_hedge()
            .and_then(|()| self.choose().ok_or("target"));
        let (to, left_out) = match &chosen {
            Ok(guard) => (guard.instance().as_str(), "none"),
            Err(why) => ("none", *why),
        };
        log::info!(
            "entry: id={} copy={to} cause=late first={first} after_ms={} left_out={left_out}.",
            self.job.id,
            began.elapsed().as_millis(),
        );
        let guard = chosen.ok()?;
        self.job.entry.stats().hedged.inc();
        Some(guard)
    }

    /// Checks that the rule allows one more attempt, a target has room, and the budget pays for a
    /// copy.
    ///
    /// # Errors
    ///
    /// The name of the condition that is not met, for the log.
    fn allow_hedge(&mut self) -> Result<(), &'static str> {
        let attempts = self.job.route.attempts;
        if attempts.is_some_and(|attempts| self.sent + 1 >= attempts) {
            return Err("attempts");
        }
        let need = self.need(&self.tried);
        if !self
            .job
            .upstream
            .pick
            .has_available_target(Instant::now(), &need)
        {
            return Err("room");
        }
        match self.job.budget.ask(&self.job.upstream, Cause::Hedge) {
            true => Ok(()),
            false => Err("budget"),
        }
    }
}

fn is_usable_answer(outcome: &AttemptOutcome) -> bool {
    matches!(
        outcome,
        AttemptOutcome::Answer(answer) if !RETRYABLE_STATUSES.contains(&answer.reply.status)
    )
}
