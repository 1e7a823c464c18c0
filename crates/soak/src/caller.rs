//! Callers that never stop.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::Method;
use mesh::Client;
use parking_lot::Mutex;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::time::{Instant, sleep};

use crate::sent::{Kind, Sent};

/// How often an order is sent at most when its caller does not know that it ran.
const RESENDS: usize = 3;

/// Whether the run is over.
pub(crate) type Stop = tokio::sync::watch::Receiver<bool>;

/// What all callers of a run share.
#[derive(Clone)]
pub(crate) struct Callers {
    pub(crate) entries: Arc<Vec<SocketAddr>>,
    pub(crate) sent: Arc<Mutex<Vec<Sent>>>,
    pub(crate) stop: Stop,
}

impl Callers {
    /// One caller with connections of its own, until the run is over.
    pub(crate) async fn call(self, name: usize, seed: u64) {
        let mut random = Pcg64Mcg::seed_from_u64(seed ^ (name as u64 + 1) << 32);
        let client = Client::default();
        let mut number = 0;
        while !*self.stop.borrow() {
            number += 1;
            let id = format!("{name}-{number}");
            let entry = random.random_range(0..self.entries.len());
            let work = random.random_range(1..60);
            match random.random_range(0..10) {
                0..5 => {
                    let path = format!("/sleep/{work}/read-{id}");
                    self.send(&client, Kind::Read, entry, path, "").await;
                }
                5..8 => {
                    let path = format!("/sleep/{work}/book-{id}");
                    self.send(&client, Kind::Book, entry, path, "").await;
                }
                _ => self.order(&client, &mut random, &id).await,
            }
            sleep(Duration::from_millis(random.random_range(1..25))).await;
        }
    }

    /// Sends an order, and again until its caller knows what became of it.
    async fn order(&self, client: &Client, random: &mut Pcg64Mcg, id: &str) {
        for resend in 0..RESENDS {
            let entry = random.random_range(0..self.entries.len());
            let path = format!("/order/{id}/{resend}");
            let known = self.send(client, Kind::Order, entry, path, id).await;
            if known {
                return;
            }
            sleep(Duration::from_millis(random.random_range(1..200))).await;
        }
    }

    /// Whether the caller knows that the request ran.
    async fn send(
        &self,
        client: &Client,
        kind: Kind,
        entry: usize,
        path: String,
        key: &str,
    ) -> bool {
        let method = match kind {
            Kind::Read => Method::GET,
            Kind::Book | Kind::Order => Method::POST,
        };
        let headers = [("idempotency-key", key)];
        let headers = match kind {
            Kind::Order => &headers[..],
            Kind::Read | Kind::Book => &[],
        };
        let at = Instant::now();
        let answer = client
            .send(self.entries[entry], method, &path, headers, "")
            .await;
        let known = matches!(answer.outcome.as_str(), "ran" | "already-run");
        let sent = Sent {
            path,
            kind,
            entry,
            at,
            ended: Instant::now(),
            status: answer.status,
            body: answer.text(),
            outcome: answer.outcome,
            reason: answer.reason,
            whole: answer.whole,
        };
        self.sent.lock().push(sent);
        known
    }
}
