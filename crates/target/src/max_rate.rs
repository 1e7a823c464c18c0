//! Tracks the request rate to which the target limits itself, from its answers.
//!
//! A target in need names in its answers the requests per second that it takes from all instances
//! together. Its limit applies for as long as the answers name one.
//!
//! Answers overtake each other. One that was on its way when the target lowered its limit must not
//! raise it again, so a limit is raised or ended only by the answer to a request that was sent after
//! the limit was last named.

use dialect::BadRate;
use tokio::time::Instant;
use unit::{Digest, Rate};
use wire::Notice;

use crate::server::Server;

/// What an answer belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exchange {
    /// A caller's request.
    Call,
    /// A health check. Its answer ends a limit only if such answers have named it: targets may name
    /// limits in their answers to calls alone.
    HealthCheck,
}

/// The limit of one life of the target.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct MaxRate {
    limit: Option<Rate>,
    /// When the limit was last named.
    named_at: Option<Instant>,
    /// Whether answers to health checks have named it.
    in_health_checks: bool,
    /// Whether any answer to a call has been recorded.
    is_known: bool,
}

impl MaxRate {
    /// The limit, if there is one.
    pub fn limit(&self) -> Option<Rate> {
        self.limit
    }

    /// Records that the answer to a request sent at `sent_at` names `limit`, or none. Returns true if
    /// that changes the limit.
    pub fn record(
        &mut self,
        now: Instant,
        limit: Option<Rate>,
        exchange: Exchange,
        sent_at: Instant,
    ) -> bool {
        let before = self.limit;
        let is_later = self.named_at.is_none_or(|at| sent_at >= at);
        match (limit, before) {
            (Some(limit), _) => {
                if is_later || before.is_none_or(|before| limit <= before) {
                    self.limit = Some(limit);
                }
                self.named_at = Some(now);
                self.in_health_checks |= exchange == Exchange::HealthCheck;
            }
            (None, Some(_))
                if is_later && (exchange == Exchange::Call || self.in_health_checks) =>
            {
                *self = MaxRate {
                    is_known: self.is_known,
                    ..MaxRate::default()
                };
            }
            (None, _) => {}
        }
        self.is_known |= exchange == Exchange::Call;
        self.limit != before
    }

    /// Adopts a limit that another daemon has passed on to its callers, unless this one has had an
    /// answer itself. Returns true if that changes the limit.
    pub fn adopt(&mut self, limit: Rate) -> bool {
        let is_lower = self.limit.is_none_or(|own| limit < own);
        let adopted = is_lower && !self.is_known;
        if adopted {
            self.limit = Some(limit);
        }
        adopted
    }
}

impl Server {
    /// Records the limit that an answer of the current life names, or that it can't be read.
    pub(crate) fn record_max_rate(
        &self,
        limit: Result<Option<Rate>, BadRate>,
        exchange: Exchange,
        sent_at: Instant,
    ) {
        let Ok(limit) = limit else {
            log::warn!("target: an answer names a limit that can't be read.");
            return;
        };
        self.update_max_rate(|max_rate| max_rate.record(Instant::now(), limit, exchange, sent_at));
    }

    /// Whether the target limits its requests.
    pub(crate) fn is_limited(&self) -> bool {
        self.max_rate.lock().limit().is_some()
    }

    /// Adopts what the current life has told another daemon.
    pub(crate) fn adopt_notice(&self, notice: &Notice) {
        let life = self.life_name();
        if life.as_deref().map(digest) != notice.life {
            return;
        }
        if let Some(limit) = notice.max_rate {
            self.update_max_rate(|max_rate| max_rate.adopt(limit));
        }
        // Of a life without a name it can't be told whether it is the one that left.
        if notice.leaving && life.is_some() {
            self.leave_by_answer();
        }
    }

    /// Forgets the limit, because another life has begun.
    pub(crate) fn reset_max_rate(&self) {
        self.update_max_rate(|max_rate| std::mem::take(max_rate).limit.is_some());
    }

    fn update_max_rate(&self, change: impl FnOnce(&mut MaxRate) -> bool) {
        let mut max_rate = self.max_rate.lock();
        if !change(&mut max_rate) {
            return;
        }
        let limit = max_rate.limit;
        self.gate.set_max_rate(limit);
        let stats = self.stats();
        stats
            .max_rate
            .set(limit.map_or(f64::INFINITY, Rate::per_second));
        log::info!(
            "target: max_rate={} runs={} health_checks={}.",
            limit.map_or("none".to_string(), |limit| limit.to_string()),
            stats.sent.get(),
            stats.asked.get(),
        );
    }
}

/// The hash by which a notice names a life.
pub(crate) fn digest(life: &str) -> Digest {
    Digest::of(life.as_bytes())
}
