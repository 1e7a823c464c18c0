//! A link between two instances goes silent for good, while new connections work; or for a while.
//!
//! An entry reaches the gate beside a target through a relay that can lose track of a pair of ports.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use entry::{Body, Claims, Entry, Granted, OUTCOME, Origin};
use gate::Gate;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full};
use ledger::Claimed;
use mesh::{Address, Block, Relay, Target, until};
use rule::Document;
use target::Server;
use tokio::time::sleep;
use unit::{Incarnation, Instance, Service, Token, Zone};
use wire::{Ask, Call, Dialer, Frame, Handshake, Identity, Known, Listener, Peer, Stream, Trust};

const LOOPBACK: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

const RULES: &str = r#"{ "rules": [
    { "name": "hurried", "when": { "method": "POST", "path": "/sleep/20000/**" },
      "then": { "service": "desk", "once": { "header": "idempotency-key" }, "timeout": "4s" } },
    { "name": "orders", "when": { "method": "POST" },
      "then": { "service": "desk", "once": { "header": "idempotency-key" }, "timeout": "30s" } },
    { "name": "look", "when": { "path": "/sleep/20000/look" },
      "then": { "service": "desk", "timeout": "4s" } },
    { "name": "rest", "then": { "service": "desk", "timeout": "30s" } }
] }"#;

/// One entry and one target with its gate, and the relay between them.
struct Pair {
    relay: Relay,
    target: Target,
    server: Arc<Server>,
    listener: Arc<Listener>,
    dialer: Arc<Dialer>,
    peer: Peer,
    entry: Arc<Entry>,
}

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("a good name")
}

impl Pair {
    async fn start() -> Pair {
        Pair::start_with(|_| {}).await
    }

    /// The gate takes each call as `change` makes of it.
    async fn start_with(change: fn(&mut Call)) -> Pair {
        let block = Block::next();
        let address = block.of(0, Address::Target);
        let target = Target::start("desk-b", address, block.of(0, Address::Outbound)).await;
        let own = Identity::fresh(name("desk-a")).expect("a certificate");
        let other = Identity::fresh(name("desk-b")).expect("a certificate");
        let (server, listener) = gate(&other, &own, address, change);
        let to = listener.address().expect("an address");
        let relay = Relay::start(to).await;
        let peer = Peer {
            instance: other.instance().clone(),
            address: relay.address(),
            fingerprint: other.fingerprint(),
        };
        let dialer = Arc::new(Dialer::bind(own, LOOPBACK).expect("a port is free"));
        let entry = Arc::new(entry(dialer.clone(), peer.clone()));
        Pair {
            relay,
            target,
            server,
            listener,
            dialer,
            peer,
            entry,
        }
    }

    /// Sends a request from a task of its own.
    fn send(&self, method: Method, path: &str) -> tokio::task::JoinHandle<Response<Body>> {
        let request = Request::builder().method(method).uri(path);
        let body = Full::from("box 7").map_err(|never| match never {});
        let request = request
            .header("idempotency-key", "k")
            .body(body.boxed_unsync())
            .expect("a good request");
        let entry = self.entry.clone();
        tokio::spawn(async move { entry.handle(Origin::Outside(LOOPBACK), request).await })
    }

    async fn until_running(&self) {
        until("the run", || self.target.runs() == 1).await;
    }

    fn runs_of(&self, path: &str) -> u64 {
        self.target.paths().get(path).copied().unwrap_or(0)
    }

    /// The old pair of ports lost what was sent on it and never came back; one new port took over.
    fn assert_replaced(&self) {
        let pairs = self.relay.pairs();
        let (silent, fresh): (Vec<mesh::Pair>, Vec<_>) =
            pairs.iter().copied().partition(|pair| pair.silent);
        assert_eq!((silent.len(), fresh.len()), (1, 1), "{pairs:?}");
        assert!(silent[0].lost > 0, "{pairs:?}");
        assert_ne!(silent[0].from.port(), fresh[0].from.port());
        assert!(fresh[0].passed > 0, "{pairs:?}");
    }
}

/// Serves the target at `address` as a daemon does.
fn gate(
    own: &Identity,
    trusted: &Identity,
    address: SocketAddr,
    change: fn(&mut Call),
) -> (Arc<Server>, Arc<Listener>) {
    let fingerprint = trusted.fingerprint();
    let instance = trusted.instance().clone();
    let trust = Trust::new(move |shown| (*shown == fingerprint).then(|| instance.clone()));
    let listener = Listener::bind((LOOPBACK, 0).into(), own, trust).expect("a port is free");
    let listener = Arc::new(listener);
    let server = Server::builder(name("desk"), address, Gate::builder(10).build()).build();
    let server = Arc::new(server);
    let parts = (server.clone(), listener.clone());
    tokio::spawn(async move {
        while let Some(handshake) = listener.accept().await {
            tokio::spawn(serve(server.clone(), handshake, change));
        }
    });
    parts
}

async fn serve(
    server: Arc<Server>,
    handshake: Handshake,
    change: fn(&mut Call),
) -> Result<(), wire::Error> {
    let link = handshake.finish().await?;
    loop {
        let mut stream = link.stream().await?;
        let server = server.clone();
        tokio::spawn(async move {
            match stream.receiver.recv().await? {
                Some(Frame::Call(mut call)) => {
                    change(&mut call);
                    server.call(stream, call).await
                }
                Some(Frame::Ask(ask)) => server.ask(stream.sender, ask).await,
                _ => Ok(()),
            }
        });
    }
}

fn entry(dialer: Arc<Dialer>, peer: Peer) -> Entry {
    let document = Arc::new(Document::parse(RULES).expect("good rules"));
    let target = pick::Target {
        instance: peer.instance.clone(),
        zone: name("longbien"),
        incarnation: Incarnation(1),
        leaving: false,
        evacuated: false,
        region: "local".to_string(),
    };
    let claims = Claims {
        claim: Box::new(|claim| {
            let token = claim.token;
            let claimed = Claimed::Granted;
            Box::pin(std::future::ready(Ok(Granted { token, claimed })))
        }),
        end: Box::new(|_| {}),
    };
    let (zone, service): (Zone, Service) = (name("longbien"), name("desk"));
    let instance: Instance = name("desk-a");
    let entry = Entry::builder(instance, zone, service.clone(), dialer)
        .rules(Arc::new(move || Some(document.clone())))
        .peers(Arc::new(move |wanted| {
            (*wanted == peer.instance).then(|| peer.clone())
        }))
        .claims(claims)
        .build();
    entry.set_targets(&service, &[target]);
    entry
}

fn outcome(response: &Response<Body>) -> &str {
    let value = response.headers().get(OUTCOME);
    value.and_then(|value| value.to_str().ok()).unwrap_or("")
}

async fn text(response: Response<Body>) -> String {
    let body = response.into_body().collect().await.expect("a whole body");
    String::from_utf8_lossy(&body.to_bytes()).into_owned()
}

fn ask() -> Frame {
    Frame::Ask(Ask {
        token: Token(7),
        fence: false,
        wait: Duration::ZERO,
        remaining: Duration::ZERO,
    })
}

#[tokio::test]
async fn a_silent_link_is_replaced_from_a_new_local_port() {
    // A stream waits for its answer when the relay loses track of the link. No packet says so: the
    // stream must fail by the pings alone. The next link to the same peer comes from a new port;
    // from the old one, a new connection would vanish as well.
    let pair = Pair::start().await;
    let link = pair.dialer.link(&pair.peer).await.unwrap();
    let mut stream: Stream = link.open().await.unwrap();
    pair.relay.silence();
    stream.sender.send(&ask()).await.unwrap();
    let lost = stream.receiver.recv().await;
    assert!(matches!(lost, Err(wire::Error::Broken(..))), "{lost:?}");
    let link = pair.dialer.link(&pair.peer).await.unwrap();
    let known = link.ask(&ask()).await.unwrap();
    assert_eq!(known, Frame::Known(Known::Unknown { fenced: false }));
    pair.assert_replaced();
}

#[tokio::test]
async fn an_order_on_a_silent_link_runs_once_and_is_answered() {
    // An order runs at the target when its link goes silent. Sent anew it would run twice; given
    // up, its caller would not know. The entry asks the gate after its token over a new link, and
    // gets the answer that the gate kept.
    let pair = Pair::start().await;
    let answer = pair.send(Method::POST, "/sleep/1500/slip");
    pair.until_running().await;
    pair.relay.silence();
    let answer = answer.await.unwrap();
    assert_eq!((answer.status().as_u16(), outcome(&answer)), (200, "ran"));
    assert_eq!(text(answer).await, "/sleep/1500/slip box 7");
    assert_eq!(pair.runs_of("/sleep/1500/slip"), 1);
    pair.assert_replaced();
}

#[tokio::test]
async fn an_order_that_outlives_its_deadline_on_a_replaced_link_is_late() {
    // The deadline came while the gate said that the order runs, and the caller was told 502.
    let pair = Pair::start().await;
    let answer = pair.send(Method::POST, "/sleep/20000/slip");
    pair.until_running().await;
    pair.relay.silence();
    let answer = answer.await.unwrap();
    assert_eq!(
        (answer.status().as_u16(), outcome(&answer)),
        (504, "unknown")
    );
    pair.assert_replaced();
}

#[tokio::test]
async fn a_deadline_that_the_gate_sees_first_is_late() {
    // Both ends wait for the same moment; whoever asked an order whose gate was first got 502.
    let pair = Pair::start_with(|call| call.remaining /= 4).await;
    for (method, path) in [
        (Method::POST, "/sleep/20000/slip"),
        (Method::GET, "/sleep/20000/look"),
    ] {
        let answer = pair.send(method, path).await.unwrap();
        assert_eq!(
            (answer.status().as_u16(), outcome(&answer)),
            (504, "unknown"),
            "{path}"
        );
    }
}

#[tokio::test]
async fn an_order_whose_answer_is_cut_by_silence_is_answered_whole() {
    // The head and some pieces of an order's answer have come when the link goes silent. The gate
    // reads on to the end although nobody takes it. The entry has given nothing to the caller yet,
    // asks after the token, and gives the whole answer of the one run.
    let pair = Pair::start().await;
    let answer = pair.send(Method::POST, "/stream/40/50/slip");
    pair.until_running().await;
    sleep(Duration::from_millis(200)).await;
    pair.relay.silence();
    let answer = answer.await.unwrap();
    assert_eq!((answer.status().as_u16(), outcome(&answer)), (200, "ran"));
    assert_eq!(text(answer).await.lines().count(), 40);
    assert_eq!(pair.runs_of("/stream/40/50/slip"), 1);
    pair.assert_replaced();
}

#[tokio::test]
async fn a_look_up_on_a_silent_link_is_served() {
    // A look-up runs at the only target when its link goes silent. It may be repeated, so it is
    // sent anew to the same target over a new link: nothing speaks against the target itself.
    let pair = Pair::start().await;
    let answer = pair.send(Method::GET, "/sleep/1500/look");
    pair.until_running().await;
    pair.relay.silence();
    let answer = answer.await.unwrap();
    assert_eq!((answer.status().as_u16(), outcome(&answer)), (200, "ran"));
    assert_eq!(text(answer).await, "/sleep/1500/look box 7");
    pair.assert_replaced();
}

#[tokio::test]
async fn an_answer_that_silence_cuts_never_looks_complete() {
    // A look-up's answer is on its way to the caller, piece by piece, when the link goes silent.
    // The head is out, so nothing can be sent anew. The caller must see its answer break off; an
    // orderly end would make it take five pieces for all.
    let pair = Pair::start().await;
    let answer = pair.send(Method::GET, "/stream/100/50/look");
    let mut body = answer.await.unwrap().into_body();
    for _ in 0..3 {
        let piece = body.frame().await;
        assert!(matches!(piece, Some(Ok(_))), "{piece:?}");
    }
    pair.relay.silence();
    let rest = body.collect().await;
    assert!(rest.is_err(), "{rest:?}");
}

#[tokio::test]
async fn the_tail_of_an_answer_is_delivered_before_the_links_end() {
    // A target's answer is complete and its gate stops, while the network loses the last packets.
    // Nothing runs any more, but the caller has not got its tail: the close must wait for it to be
    // sent again. A close at once would take the tail along, and the caller would see a cut answer.
    let pair = Pair::start().await;
    let answer = pair.send(Method::GET, "/stream/3/60/look");
    let mut body = answer.await.unwrap().into_body();
    for _ in 0..2 {
        let piece = body.frame().await;
        assert!(matches!(piece, Some(Ok(_))), "{piece:?}");
    }
    pair.relay.lose(true);
    until("the end of the run", || {
        pair.server.gate().report().running == 0
    })
    .await;
    let listener = pair.listener.clone();
    let close = tokio::spawn(async move { listener.close().await });
    sleep(Duration::from_millis(20)).await;
    pair.relay.lose(false);
    let rest = body.collect().await.expect("the rest of a whole body");
    assert_eq!(rest.to_bytes(), "piece 2\n");
    close.await.unwrap();
}
