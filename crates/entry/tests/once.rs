//! A key that is sent again while the instance that holds its claim can't be asked.

use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use entry::{Body, Claims, Entry, Granted, OUTCOME, Origin, REASON};
use http::{Request, Response};
use ledger::{Claim, Claimed, Moment, Record};
use rule::Document;
use tokio::time::Instant;
use unit::{Fingerprint, Service, Token, Zone};
use wire::{Dialer, Greeter, Greeting};

const RULES: &str = r#"{
    "caller": { "header": "x-caller" },
    "rules": [
        { "name": "hurried", "when": { "path": "/hurried/**" },
          "then": { "service": "desk", "once": { "header": "idempotency-key" }, "timeout": "1s" } },
        { "name": "orders",
          "then": { "service": "desk", "once": { "header": "idempotency-key" }, "timeout": "10s" } }
    ]
}"#;

/// The token under which another instance holds the key.
const HELD: Token = Token(7);

fn name<T: std::str::FromStr>(text: &str) -> T {
    text.parse().ok().expect("a good name")
}

fn record(claim: &Claim) -> Record {
    Record {
        key: claim.key,
        body: 0,
        token: HELD,
        caller: claim.caller.clone(),
        entry: name("desk-b"),
        rule: claim.rule.clone(),
        at: Moment::now(),
        end: None,
    }
}

/// An entry that reaches no peer and has no target. The key is held by another instance for the
/// first `held` looks at it, and free then.
fn entry(held: usize, looks: Arc<AtomicUsize>) -> Arc<Entry> {
    let document = Arc::new(Document::parse(RULES).expect("good rules"));
    let greeter = Greeter {
        own: Arc::new(|| Greeting {
            instance: name("desk-a"),
            fingerprint: Fingerprint([0; 32]),
            card: Vec::new(),
        }),
        heard: Arc::new(|_| {}),
        told: Arc::new(|_, _| {}),
    };
    let claim = move |claim: Claim| {
        let token = claim.token;
        let claimed = match looks.fetch_add(1, Ordering::SeqCst) < held {
            true => Claimed::Running(record(&claim)),
            false => Claimed::Granted,
        };
        let granted = std::future::ready(Ok(Granted { token, claimed }));
        Box::pin(granted) as futures_util::future::BoxFuture<'static, _>
    };
    let claims = Claims {
        claim: Box::new(claim),
        end: Box::new(|_| {}),
    };
    let (zone, service): (Zone, Service) = (name("longbien"), name("desk"));
    let dialer = Arc::new(Dialer::plain(greeter));
    let builder = Entry::builder(name("desk-a"), zone, service, dialer);
    let rules = Arc::new(move || Some(document.clone()));
    Arc::new(builder.rules(rules).claims(claims).build())
}

async fn send(entry: &Arc<Entry>, path: &str) -> Response<Body> {
    let request = Request::post(path).header("idempotency-key", "k");
    let request = request.body(Body::default()).expect("a good request");
    let caller = Origin::Outside(IpAddr::V4(Ipv4Addr::LOCALHOST));
    entry.handle(caller, request).await
}

fn head<'a>(response: &'a Response<Body>, header: &str) -> &'a str {
    let value = response.headers().get(header);
    value.and_then(|value| value.to_str().ok()).unwrap_or("")
}

#[tokio::test(start_paused = true)]
async fn a_key_whose_release_is_on_its_way_runs() {
    // The first send is told "not run", and comes again at once by another instance. The release of
    // its claim is not written yet, and the two instances have just started, so that no link between
    // them stands. The second send must wait for the release and run; told "unknown", its caller
    // could never send it again, though nothing has run.
    let looks = Arc::new(AtomicUsize::new(0));
    let answer = send(&entry(3, looks.clone()), "/order/slip").await;
    assert_eq!(looks.load(Ordering::SeqCst), 4);
    // It was let run: that no target is there is another matter.
    let outcome = (head(&answer, OUTCOME), head(&answer, REASON));
    assert_eq!(outcome, ("not-run", "no-target"));
}

#[tokio::test(start_paused = true)]
async fn a_key_whose_holder_is_gone_is_unknown_long_before_the_deadline() {
    // The instance that holds the claim has died, and nobody will release it. Its request may have
    // run, so the caller is told "unknown": after a moment, not at the end of its 10 s, and without
    // a look at the ledger every few milliseconds.
    let looks = Arc::new(AtomicUsize::new(0));
    let began = Instant::now();
    let answer = send(&entry(usize::MAX, looks.clone()), "/order/slip").await;
    let outcome = (head(&answer, OUTCOME), head(&answer, REASON));
    assert_eq!(outcome, ("unknown", "lost"));
    assert!(began.elapsed() < Duration::from_secs(2));
    assert!(looks.load(Ordering::SeqCst) < 16, "{looks:?}");
}

#[tokio::test(start_paused = true)]
async fn a_key_whose_holder_is_silent_until_the_deadline_is_late() {
    // The caller's time ends before the holder can be held for gone, and the caller was told 502.
    let looks = Arc::new(AtomicUsize::new(0));
    let answer = send(&entry(usize::MAX, looks), "/hurried/slip").await;
    let outcome = (head(&answer, OUTCOME), head(&answer, REASON));
    assert_eq!(
        (answer.status().as_u16(), outcome),
        (504, ("unknown", "deadline"))
    );
}
