//! A second copy of a request beside its first try.

use std::time::Duration;

use pick::Guard;
use pick::retry::Cause;
use tokio::time::Instant;
use unit::Urgency;

use crate::attempt::Tried;
use crate::intake::Intake;
use crate::tries::{Tries, UNAVAILABLE};

impl Tries<'_> {
    /// One try, with a second copy beside it if the first is late by the rule.
    pub(super) async fn attempt(&mut self, guard: Guard, intake: &mut Intake) -> Tried {
        let Some(after) = self.copy_after(intake) else {
            let attempt = self.make(intake);
            return attempt.run(guard, intake).await;
        };
        let began = guard.began();
        let mut copy = match intake {
            Intake::Whole(bytes) => Intake::Whole(bytes.clone()),
            _ => Intake::Empty,
        };
        let first = self.make(intake).run(guard, intake);
        tokio::pin!(first);
        tokio::select! {
            tried = &mut first => return tried,
            () = tokio::time::sleep(after) => {}
        }
        let Some(guard) = self.choose_for_copy(began) else {
            return first.await;
        };
        let second = self.make(&copy).run(guard, &mut copy);
        tokio::pin!(second);
        self.sent += 1;
        // The first good answer wins. The other try is dropped, which cancels it at its gate. Where one
        // may have run without an answer, a refusal of the other doesn't make the request "not run".
        tokio::select! {
            tried = &mut first => {
                if is_answer(&tried) {
                    return tried;
                }
                self.may_have_run |= tried.reached();
                second.await
            }
            tried = &mut second => {
                if is_answer(&tried) {
                    return tried;
                }
                self.may_have_run |= tried.reached();
                first.await
            }
        }
    }

    /// After which time a second copy is wanted, if the rule has such requests copied.
    fn copy_after(&self, intake: &Intake) -> Option<Duration> {
        let may = self.job.repeatable() && intake.replayable();
        let wanted = self.job.route.hedge && self.job.urgency == Urgency::Urgent;
        self.job.upstream.hedge_after().filter(|_| may && wanted)
    }

    /// The target of a second copy, if one is wanted and allowed; says so in the log.
    fn choose_for_copy(&mut self, began: Instant) -> Option<Guard> {
        let first = self.tried.last()?.clone();
        let chosen = self
            .allow_copy()
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

    /// Asks all that a copy needs: a try that the rule allows for, room at some target, and a budget
    /// that pays; else names what is missing.
    fn allow_copy(&mut self) -> Result<(), &'static str> {
        let attempts = self.job.route.attempts;
        if attempts.is_some_and(|attempts| self.sent + 1 >= attempts) {
            return Err("attempts");
        }
        let need = self.need(&self.tried);
        if !self.job.upstream.pick.has_room(Instant::now(), &need) {
            return Err("room");
        }
        match self.job.budget.ask(&self.job.upstream, Cause::Hedge) {
            true => Ok(()),
            false => Err("budget"),
        }
    }
}

fn is_answer(tried: &Tried) -> bool {
    matches!(tried, Tried::Answer(answer) if !UNAVAILABLE.contains(&answer.reply.status))
}
