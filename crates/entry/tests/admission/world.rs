//! An entry whose gate, quota and confirmation are scripts.

use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use dialect::{Credential, Dialect};
use entry::{Admission, Body, Entry, Exceeded, Origin, QuotaAsk, Spent, Unconfirmed};
use http::{HeaderName, Request, Response};
use nest::{Context, Table};
use parking_lot::Mutex;
use rule::Document;
use tokio::sync::mpsc;
use tokio::time::Instant;
use unit::{Depth, Fingerprint, Incarnation, Service, Token, Urgency, Zone};
use wire::{Call, Cause, Dialer, Frame, Greeter, Greeting, Listener, Peer, Refusal, Reply, Stream};
use workspace::{Key, Salt};

pub const KEY: &str = "k-3f9b61c07d";

/// What the gate does with each call.
#[derive(Clone, Copy, PartialEq)]
pub enum Deed {
    Answer,
    Decline,
    Full,
    /// It reads the call and never answers.
    Hang,
    /// It ends the stream without an answer.
    Lose,
}

/// An entry, with what its gate and its admission have seen.
pub struct World {
    pub entry: Arc<Entry>,
    pub calls: mpsc::UnboundedReceiver<Call>,
    pub asks: Arc<Mutex<Vec<QuotaAsk>>>,
    /// Credits that were taken and not returned.
    pub spent: Arc<AtomicU64>,
    pub admission: Arc<Mutex<Verdict>>,
    pub document: Arc<Mutex<Arc<Document>>>,
}

/// What the admission says.
#[derive(Clone, Copy, Default)]
pub struct Verdict {
    pub unconfirmed: Option<Unconfirmed>,
    pub exceeded: Option<Exceeded>,
    /// How long the quota takes to answer.
    pub wait: Duration,
}

fn parse<T: std::str::FromStr>(text: &str) -> T {
    text.parse().ok().expect("a valid name")
}

fn greeter(name: &'static str) -> Greeter {
    Greeter {
        own: Arc::new(move || Greeting {
            instance: parse(name),
            fingerprint: Fingerprint([1; 32]),
            card: Vec::new(),
        }),
        heard: Arc::new(|_| {}),
        told: Arc::new(|_, _| {}),
    }
}

pub fn rules() -> String {
    rules_of(b"configuration", KEY)
}

/// The rules of the configuration with this content, in which `pulo` has `key`.
pub fn rules_of(content: &[u8], key: &str) -> String {
    let salt = Salt::of(content);
    let digest = salt.digest(&Key::new(key.as_bytes()).expect("a key"));
    format!(
        r#"{{
            "caller": {{ "header": "x-caller" }},
            "workspaces": {{ "salt": "{salt}", "members": {{
                "pulo": {{ "keys": ["{digest}"], "priority": 0, "rate": "5/s", "burst": 2 }}
            }} }},
            "rules": [
                {{ "name": "open", "when": {{ "path": "/open" }},
                   "then": {{ "service": "desk", "public": true, "priority": 4, "bulk": true }} }},
                {{ "name": "quick", "when": {{ "path": "/quick" }},
                   "then": {{ "service": "desk", "objective": "400ms", "priority": 4 }} }},
                {{ "name": "rest",
                   "then": {{ "service": "desk", "priority": 4, "retries": 0, "timeout": "2s", "repeat": false }} }}
            ]
        }}"#
    )
}

/// Routes by prefixes, which are compared with the path as it was sent: all is public but `/orders/`.
pub fn prefix_rules() -> String {
    let salt = Salt::of(b"configuration");
    format!(
        r#"{{
            "workspaces": {{ "salt": "{salt}", "members": {{}} }},
            "rules": [
                {{ "name": "orders", "when": {{ "prefix": "/orders/" }}, "then": {{ "service": "desk" }} }},
                {{ "name": "open", "when": {{ "prefix": "/" }}, "then": {{ "service": "desk", "public": true }} }}
            ]
        }}"#
    )
}

pub fn parsed(rules: &str) -> Arc<Document> {
    Arc::new(Document::parse(rules).expect("valid rules"))
}

async fn gate(stream: Stream, deed: Deed, seen: mpsc::UnboundedSender<Call>) -> Option<()> {
    let Stream {
        mut sender,
        mut receiver,
    } = stream;
    let Some(Frame::Call(call)) = receiver.recv().await.ok()? else {
        return None;
    };
    let token = call.token;
    seen.send(call).ok()?;
    let refusal = |cause| {
        Frame::Refusal(Refusal {
            token,
            cause,
            retry_after: Duration::from_millis(40),
            report: None,
        })
    };
    let frame = match deed {
        Deed::Answer => Frame::Reply(Reply {
            token,
            status: 200,
            headers: Vec::new(),
            allowance: 0,
            report: None,
            notice: None,
        }),
        Deed::Decline => refusal(Cause::Declined),
        Deed::Full => refusal(Cause::Full),
        Deed::Hang => std::future::pending().await,
        Deed::Lose => return None,
    };
    sender.push(&frame).ok()?;
    if deed == Deed::Answer {
        sender.push(&Frame::End).ok()?;
    }
    sender.finish().await.ok()
}

/// An entry and one target, whose gate does `deed`.
pub async fn world(deed: Deed) -> World {
    world_with(deed, &rules()).await
}

pub async fn world_with(deed: Deed, rules: &str) -> World {
    let listener = Listener::plain((Ipv4Addr::LOCALHOST, 0).into(), greeter("desk-b"));
    let listener = listener.await.expect("it listens");
    let peer = Peer {
        instance: parse("desk-b"),
        address: listener.address().expect("an address"),
        fingerprint: Fingerprint([1; 32]),
    };
    let (seen, calls) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Some(handshake) = listener.accept().await {
            let seen = seen.clone();
            tokio::spawn(async move {
                let link = handshake.finish().await.expect("a link");
                while let Ok(stream) = link.stream().await {
                    tokio::spawn(gate(stream, deed, seen.clone()));
                }
            });
        }
    });
    let (asks, spent) = (
        Arc::<Mutex<Vec<QuotaAsk>>>::default(),
        Arc::<AtomicU64>::default(),
    );
    let admission = Arc::<Mutex<Verdict>>::default();
    let (asked, taken, verdict) = (asks.clone(), spent.clone(), admission.clone());
    let confirmed = admission.clone();
    let hook = Admission {
        confirmed: Box::new(move || confirmed.lock().unconfirmed.map_or(Ok(()), Err)),
        quota: Box::new(move |ask| {
            asked.lock().push(ask);
            let Verdict { exceeded, wait, .. } = *verdict.lock();
            let taken = taken.clone();
            Box::pin(async move {
                tokio::time::sleep(wait).await;
                if let Some(exceeded) = exceeded {
                    return Err(exceeded);
                }
                taken.fetch_add(1, Ordering::SeqCst);
                Ok(Spent::new(move || {
                    taken.fetch_sub(1, Ordering::SeqCst);
                }))
            })
        }),
    };
    let (zone, service): (Zone, Service) = (parse("longbien"), parse("desk"));
    let document = Arc::new(Mutex::new(parsed(rules)));
    let in_force = document.clone();
    let dialect = Dialect {
        attempt: Some(HeaderName::from_static("x-attempt")),
        parent: Some(|name| name.rsplit_once('.').map(|(parent, _)| parent)),
        credential: Some(Credential {
            header: http::header::AUTHORIZATION,
            scheme: "Bearer",
        }),
        workspace: Some(HeaderName::from_static("x-workspace")),
        deadline: Some(HeaderName::from_static("x-left")),
        exact_retry: true,
        ..Dialect::default()
    };
    let dialer = Arc::new(Dialer::plain(greeter("desk-a")));
    let entry = Entry::builder(parse("desk-a"), zone.clone(), service.clone(), dialer)
        .rules(Arc::new(move || Some(in_force.lock().clone())))
        .peers(Arc::new(move |_| Some(peer.clone())))
        .admission(hook)
        .dialect(dialect)
        .build();
    let target = pick::Target {
        instance: parse("desk-b"),
        zone,
        region: "here".to_string(),
        incarnation: Incarnation(1),
        leaving: false,
        evacuated: false,
    };
    entry.set_targets(&service, &[target]);
    World {
        entry: Arc::new(entry),
        calls,
        asks,
        spent,
        admission,
        document,
    }
}

pub fn outside() -> Origin {
    Origin::Outside(IpAddr::V4(Ipv4Addr::LOCALHOST))
}

/// A running call of the caller `desk@clinic-7`, which is of batch urgency.
pub fn nested() -> (nest::Running, Origin) {
    let table = Table::default();
    let context = Context {
        urgency: Urgency::Batch,
        caller: parse("desk@clinic-7"),
        deadline: Instant::now() + Duration::from_secs(5),
        depth: Depth(1),
        allowance: 2,
    };
    let running = table.enter(Token(7), context);
    (running, Origin::Nested(table.find(Token(7))))
}

impl World {
    pub async fn send(
        &self,
        origin: Origin,
        path: &str,
        headers: &[(&str, &str)],
    ) -> Response<Body> {
        let mut request = Request::get(path);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Body::default()).expect("a valid request");
        self.entry.handle(origin, request).await
    }

    pub async fn keyed(&self, path: &str) -> Response<Body> {
        let key = format!("Bearer {KEY}");
        self.send(outside(), path, &[("authorization", &key)]).await
    }

    pub fn asks(&self) -> usize {
        self.asks.lock().len()
    }

    pub fn spent(&self) -> u64 {
        self.spent.load(Ordering::SeqCst)
    }
}

pub fn header<'a>(response: &'a Response<Body>, name: &str) -> &'a str {
    let value = response.headers().get(name);
    value.and_then(|value| value.to_str().ok()).unwrap_or("")
}

pub fn names(call: &Call) -> Vec<&str> {
    let names = call.headers.iter().map(|header| header.name.as_str());
    names.collect()
}
