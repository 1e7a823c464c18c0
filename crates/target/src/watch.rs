//! Checks the target's health and load while no other source reports them.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use dialect::Dialect;
use http::{HeaderMap, Method, StatusCode, header};
use http1::response;
use timer::timeout;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep};

use crate::connection::{Connection, Outgoing};
use crate::life::Stage;
use crate::max_rate::Exchange;
use crate::presence::Evidence;
use crate::server::Server;
use crate::upload::Content;
use crate::warmth::Source;

/// Interval of connection checks for a target without heartbeats. Only the gate's daemon checks, at
/// the same rate under any load.
const CONNECT_INTERVAL: Duration = Duration::from_millis(250);

/// The target runs on the same instance; if it takes longer to answer, it is down.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval of health checks while the target is unknown, down or leaving, and maximum age of its
/// load report while it is ready and not in a slowdown.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum age of the load report of a target in a slowdown while requests wait: none of them starts
/// until the slowdown is known to be over.
const MAX_AGE_SLOW: Duration = Duration::from_millis(20);

/// Maximum age in a slowdown while no request waits: entries send their requests elsewhere, and are
/// notified of the end a little later.
const MAX_AGE_SLOW_IDLE: Duration = Duration::from_millis(40);

/// Maximum age of the load report of a target that limits its requests: it may count health checks
/// among them.
const MAX_AGE_LIMITED: Duration = Duration::from_secs(2);

/// Maximum time that a request waits for a pace report before it starts. 99 % of 1,756 answers arrived
/// within 1.4 ms; a request does not wait longer for a target that is itself stalled.
const PROBE_TIMEOUT: Duration = Duration::from_millis(20);

/// Watches the target of `server`. The future never completes; drop it to stop.
pub async fn watch(server: Arc<Server>) {
    match &server.heartbeats {
        Some(_) => check_health(&server).await,
        None => check_connections(&server).await,
    }
}

/// Opens a connection every [`CONNECT_INTERVAL`], to detect a crashed target also when no request
/// arrives. It refuses connections at once, and would otherwise look like the fastest target.
async fn check_connections(server: &Server) {
    let target = server.pool.target();
    let mut up = true;
    loop {
        let answers = matches!(
            timeout(CHECK_TIMEOUT, TcpStream::connect(target)).await,
            Ok(Ok(_))
        );
        server.end_unnamed_leave();
        if answers != up {
            up = answers;
            match up {
                true => {
                    log::info!("target: {target} accepts connections again.");
                    server.gate.target_up();
                }
                false => {
                    log::warn!("target: {target} does not accept connections.");
                    server.gate.target_down();
                }
            }
        }
        sleep(CONNECT_INTERVAL).await;
    }
}

/// Requests the health path on a kept-alive connection, while the target's life is not known and to
/// refresh its load report.
async fn check_health(server: &Server) {
    let mut connection = None;
    loop {
        server.update_cold_bound();
        let delay = next_delay(server);
        tokio::select! {
            () = sleep(delay) => {}
            () = server.check_requested.notified() => {
                // Without a waiting request there is a short delay, so that a target that can't be
                // reached isn't checked in a busy loop.
                if !server.pace_wanted.load(Ordering::Acquire) {
                    sleep(Duration::from_millis(1)).await;
                }
            }
        }
        if !is_due(server) {
            continue;
        }
        let path = server
            .heartbeats
            .as_ref()
            .and_then(|heartbeats| (heartbeats.health_path)());
        let Some(path) = path else {
            continue;
        };
        let checked = timeout(CHECK_TIMEOUT, check_once(server, &mut connection, path)).await;
        if checked.is_err() {
            // The connection may be dead; the next check opens a new one.
            connection = None;
        }
    }
}

/// The delay until the next health check, unless one is requested before.
fn next_delay(server: &Server) -> Duration {
    match server.presence.lock().stage {
        Stage::Unknown | Stage::Down => CHECK_INTERVAL,
        Stage::Ready | Stage::Leaving if server.dialect.load.is_none() => CHECK_INTERVAL,
        Stage::Ready => {
            let reported_at = *server.load_reported_at.lock();
            let max_age = max_load_age(server);
            let age = reported_at.map_or(max_age, |at| at.elapsed());
            max_age.saturating_sub(age).max(Duration::from_millis(5))
        }
        Stage::Leaving => CHECK_INTERVAL,
    }
}

/// Maximum age of the target's load report.
fn max_load_age(server: &Server) -> Duration {
    if server.is_limited() {
        return MAX_AGE_LIMITED;
    }
    let report = server.gate.report();
    let slow = report.slow;
    let waiting = report.queued.iter().any(|queued| *queued > 0);
    match (slow, waiting) {
        (true, true) => MAX_AGE_SLOW,
        (true, false) => MAX_AGE_SLOW_IDLE,
        // A request that starts sends a pace probe itself if the probe is worth its cost.
        (false, _) => CHECK_INTERVAL,
    }
}

impl Server {
    /// Sends a pace probe, and waits for the report for [`PROBE_TIMEOUT`] at most. One probe serves all
    /// requests that wait. A target that limits its requests gets none.
    pub(crate) async fn probe_pace(&self) {
        if self.is_limited() {
            return;
        }
        let received = self.load_received.notified();
        self.pace_wanted.store(true, Ordering::Release);
        self.check_requested.notify_one();
        // Without a report the request starts on the last known pace.
        drop(timeout(PROBE_TIMEOUT, received).await);
    }
}

/// Whether a health check is due. Clears the requests for one.
fn is_due(server: &Server) -> bool {
    let life_in_doubt = server.life_in_doubt.swap(false, Ordering::AcqRel);
    let pace_wanted = server.pace_wanted.swap(false, Ordering::AcqRel);
    if life_in_doubt || pace_wanted {
        return true;
    }
    match server.presence.lock().stage {
        Stage::Unknown | Stage::Down => true,
        Stage::Leaving => false,
        Stage::Ready => {
            let reported_at = *server.load_reported_at.lock();
            reported_at.is_none_or(|at| at.elapsed() >= max_load_age(server))
        }
    }
}

/// Sends one health check, and keeps the connection in `kept` if it can be reused.
async fn check_once(server: &Server, kept: &mut Option<Connection>, path: String) {
    let target = server.pool.target();
    let reusable = kept.take().filter(Connection::is_usable);
    let mut connection = match reusable {
        Some(connection) => connection,
        None => match Connection::open(target).await {
            Ok(connection) => connection,
            Err(error) => {
                log::debug!("target: {error}.");
                if error.is_refused() {
                    server.gate.no_former_starts();
                }
                return server.mark_unreachable();
            }
        },
    };
    server.stats().asked.inc();
    let mut headers = HeaderMap::new();
    if let Ok(host) = target.to_string().parse() {
        headers.insert(header::HOST, host);
    }
    let outgoing = Outgoing {
        method: Method::GET,
        uri: path,
        headers,
    };
    let asked_at = Instant::now();
    let answered = connection
        .send(&outgoing, Content::Empty, &Dialect::default(), || ())
        .await;
    match answered {
        Ok(head) => {
            record_health(server, &head, asked_at);
            while let Ok(Some(_)) = connection.piece().await {}
            if connection.is_reusable() {
                *kept = Some(connection);
            }
        }
        Err(error) => log::debug!("target: health check failed: {error}."),
    }
}

/// Records the load, life, health and warm-up that the answer to a health check sent at `asked_at`
/// reports.
fn record_health(server: &Server, head: &response::Head, asked_at: Instant) {
    // Without a load in the answer, the next check must still not come before the maximum age.
    *server.load_reported_at.lock() = Some(Instant::now());
    let figures = server.dialect.figures(&head.headers);
    let slots = figures.map(|figures| figures.slots);
    let Some(name) = server.dialect.life(&head.headers) else {
        return server.record_load(head);
    };
    let healthy = head.status == StatusCode::OK;
    let changed = server.receive_health(name, healthy, slots);
    // What another target at the address reports says nothing of this one.
    if server.life_name().as_deref() == Some(name) {
        server.record_load(head);
        let max_rate = server.dialect.max_rate(&head.headers);
        server.record_max_rate(max_rate, Exchange::HealthCheck, asked_at);
        if server.dialect.is_leaving(&head.headers) {
            server.leave_by_answer();
        }
        let remaining = server.dialect.cold_remaining(&head.headers);
        let remaining = remaining.filter(|left| healthy || !left.is_zero());
        if let Some(remaining) = remaining {
            server.record_warmth(remaining, Source::Health(asked_at));
        }
    }
    if changed {
        // The gate opens only now, with the bounds of the new life in place.
        server.update_gate(Evidence::HealthCheck);
    }
}
