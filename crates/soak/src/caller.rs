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

use crate::customers::Customers;
use crate::sent::{Kind, Sent};

/// How often an order is sent at most when its caller does not know that it ran.
const RESENDS: usize = 3;

/// Whether the run is over.
pub(crate) type Stop = tokio::sync::watch::Receiver<bool>;

/// What all callers of a run share.
#[derive(Clone)]
pub(crate) struct Callers {
    pub(crate) entries: Arc<Vec<SocketAddr>>,
    /// Those whose keys requests show; without any, requests show none.
    pub(crate) customers: Option<Arc<Customers>>,
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
            let kind = match random.random_range(0..10) {
                0..5 => Kind::Read,
                5..8 => Kind::Book,
                _ => Kind::Order,
            };
            let key = self.customers.as_ref();
            let key = key.and_then(|customers| customers.draw(&mut random));
            let path = match kind {
                Kind::Read => format!("/sleep/{work}/read-{id}"),
                Kind::Book | Kind::Order => format!("/sleep/{work}/book-{id}"),
            };
            match kind {
                Kind::Order => self.order(&client, &mut random, &id, key).await,
                Kind::Read | Kind::Book => {
                    let ask = Ask {
                        kind,
                        entry,
                        path,
                        order: "",
                        key,
                    };
                    self.send(&client, ask).await;
                }
            }
            sleep(Duration::from_millis(random.random_range(1..25))).await;
        }
    }

    /// Sends an order, and again until its caller knows what became of it.
    async fn order(&self, client: &Client, random: &mut Pcg64Mcg, id: &str, key: Option<String>) {
        for resend in 0..RESENDS {
            let ask = Ask {
                kind: Kind::Order,
                entry: random.random_range(0..self.entries.len()),
                path: format!("/order/{id}/{resend}"),
                order: id,
                key: key.clone(),
            };
            if self.send(client, ask).await {
                return;
            }
            sleep(Duration::from_millis(random.random_range(1..200))).await;
        }
    }

    /// Whether the caller knows that the request ran.
    async fn send(&self, client: &Client, ask: Ask<'_>) -> bool {
        let Ask {
            kind,
            entry,
            path,
            order,
            key,
        } = ask;
        let method = match kind {
            Kind::Read => Method::GET,
            Kind::Book | Kind::Order => Method::POST,
        };
        let credential = key.as_ref().map(|key| format!("Bearer {key}"));
        let mut headers = Vec::new();
        if kind == Kind::Order {
            headers.push(("idempotency-key", order));
        }
        if self.customers.is_some() {
            // Whatever a caller says of its workspace does not count.
            headers.push((dialect::WORKSPACE, "forged"));
        }
        headers.extend(
            credential
                .iter()
                .map(|text| ("authorization", text.as_str())),
        );
        let at = Instant::now();
        let answer = client
            .send(self.entries[entry], method, &path, &headers, "")
            .await;
        let known = matches!(answer.outcome.as_str(), "ran" | "already-run");
        let sent = Sent {
            path,
            kind,
            entry,
            key,
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

/// A request to send.
struct Ask<'a> {
    kind: Kind,
    entry: usize,
    path: String,
    /// The key that marks sends of the same order.
    order: &'a str,
    key: Option<String>,
}
