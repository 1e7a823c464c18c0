//! Asks the target how it is, when nothing else tells.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use dialect::Dialect;
use http::{HeaderMap, Method, StatusCode, header};
use http1::response;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

use crate::connection::{Connection, Content, Outgoing};
use crate::life::Stage;
use crate::server::Server;

/// How often a target that does not announce itself is asked. The gate alone asks, at this rate
/// whatever the load.
const PERIOD: Duration = Duration::from_millis(250);

/// A target on the same instance that takes longer is down.
const ANSWER_WITHIN: Duration = Duration::from_millis(500);

/// How often a target is asked of which nothing is known, or which can't be reached.
const SEARCH: Duration = Duration::from_millis(200);

/// How often a target in a slow spell is asked after its load, when no answer of its has told it:
/// nothing starts until the spell is known to be over.
const FRESH: Duration = Duration::from_millis(20);

/// The same where nothing waits for the end of the spell: entries send their work elsewhere, and hear
/// of the end a little later.
const FRESH_IDLE: Duration = Duration::from_millis(40);

/// How long a start waits for the target's word on its pace. Of 1,756 answers 99 in 100 came within
/// 1.4 ms; a target that is held up itself is not waited for.
const WORD_WITHIN: Duration = Duration::from_millis(20);

/// Watches the target of `server` until it is dropped.
pub async fn watch(server: Arc<Server>) {
    match &server.heartbeats {
        Some(_) => ask(&server).await,
        None => connect(&server).await,
    }
}

/// A target that has crashed refuses connections at once, and would else look like the one that
/// answers fastest. One connection in 250 ms finds it, also when no request comes.
async fn connect(server: &Server) {
    let target = server.pool.target();
    let mut up = true;
    loop {
        let answers = matches!(
            timeout(ANSWER_WITHIN, TcpStream::connect(target)).await,
            Ok(Ok(_))
        );
        if answers != up {
            up = answers;
            match up {
                true => {
                    log::info!("target: {target} takes connections again.");
                    server.gate.target_up();
                }
                false => {
                    log::warn!("target: {target} takes no connections.");
                    server.gate.target_down();
                }
            }
        }
        sleep(PERIOD).await;
    }
}

/// Asks by the health path on a kept connection: while nothing is known, and for the load.
async fn ask(server: &Server) {
    let mut connection = None;
    loop {
        let pause = pause(server);
        tokio::select! {
            () = sleep(pause) => {}
            () = server.ask.notified() => {
                // A target that can't be reached is not asked at once again.
                if !server.wanted.load(Ordering::Acquire) {
                    sleep(Duration::from_millis(1)).await;
                }
            }
        }
        if !is_due(server) {
            continue;
        }
        let health = server
            .heartbeats
            .as_ref()
            .and_then(|told| (told.health_path)());
        let Some(path) = health else {
            continue;
        };
        let asked = timeout(ANSWER_WITHIN, once(server, &mut connection, path)).await;
        if asked.is_err() {
            // The connection may have gone silent; the next question gets a new one.
            connection = None;
        }
    }
}

fn pause(server: &Server) -> Duration {
    match server.presence.lock().stage {
        Stage::Unknown | Stage::Down => SEARCH,
        Stage::Ready | Stage::Leaving if server.dialect.load.is_none() => SEARCH,
        Stage::Ready => {
            let told = *server.told.lock();
            let bound = fresh(server);
            let age = told.map_or(bound, |at| at.elapsed());
            bound.saturating_sub(age).max(Duration::from_millis(5))
        }
        Stage::Leaving => SEARCH,
    }
}

/// How old the target's word on its load may be.
fn fresh(server: &Server) -> Duration {
    let report = server.gate.report();
    let slow = report.slow;
    let waiting = report.queued.iter().any(|queued| *queued > 0);
    match (slow, waiting) {
        (true, true) => FRESH,
        (true, false) => FRESH_IDLE,
        // Whoever starts asks, where that is worth it.
        (false, _) => SEARCH,
    }
}

impl Server {
    /// Asks the target for its pace, and waits for the answer a moment at most. One question serves
    /// all that wait for it.
    pub(crate) async fn ask_pace(&self) {
        let heard = self.heard.notified();
        self.wanted.store(true, Ordering::Release);
        self.ask.notify_one();
        // Without an answer the request starts on what is known.
        drop(timeout(WORD_WITHIN, heard).await);
    }
}

/// Whether there is anything to ask.
fn is_due(server: &Server) -> bool {
    let doubted = server.doubted.swap(false, Ordering::AcqRel);
    let wanted = server.wanted.swap(false, Ordering::AcqRel);
    if doubted || wanted {
        return true;
    }
    match server.presence.lock().stage {
        Stage::Unknown | Stage::Down => true,
        Stage::Leaving => false,
        Stage::Ready => {
            let told = *server.told.lock();
            told.is_none_or(|at| at.elapsed() >= fresh(server))
        }
    }
}

async fn once(server: &Server, kept: &mut Option<Connection>, path: String) {
    let target = server.pool.target();
    let sound = kept.take().filter(Connection::is_sound);
    let mut connection = match sound {
        Some(connection) => connection,
        None => match Connection::open(target).await {
            Ok(connection) => connection,
            Err(error) => {
                log::debug!("target: {error}.");
                return server.lost();
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
    let answered = connection
        .send(&outgoing, Content::Empty, &Dialect::default())
        .await;
    match answered {
        Ok(head) => {
            take(server, &head);
            while let Ok(Some(_)) = connection.piece().await {}
            if connection.is_free() {
                *kept = Some(connection);
            }
        }
        Err(error) => log::debug!("target: asked after its health: {error}."),
    }
}

fn take(server: &Server, head: &response::Head) {
    server.learn(head);
    // A target without a figure is asked as often as one whose figure is old.
    *server.told.lock() = Some(Instant::now());
    let slots = server.dialect.figures(&head.headers).map(|told| told.slots);
    if let Some(name) = server.dialect.life(&head.headers) {
        server.answered(name, head.status == StatusCode::OK, slots);
    }
}
