//! Requests with a key whose claim is held by an instance that can't be reached.

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

/// The token of the claim by which another instance holds the key.
const HOLDER_TOKEN: Token = Token(7);

fn parse<T: std::str::FromStr>(text: &str) -> T {
    text.parse().ok().expect("a valid name")
}

fn record(claim: &Claim) -> Record {
    Record {
        key: claim.key,
        body: 0,
        token: HOLDER_TOKEN,
        caller: claim.caller.clone(),
        entry: parse("desk-b"),
        rule: claim.rule.clone(),
        at: Moment::now(),
        end: None,
    }
}

/// An entry that reaches no peer and has no target. The first `held` claims find the key held by
/// another instance; later ones are granted. `claims_made` counts the claims.
fn entry(held: usize, claims_made: Arc<AtomicUsize>) -> Arc<Entry> {
    let document = Arc::new(Document::parse(RULES).expect("valid rules"));
    let greeter = Greeter {
        own: Arc::new(|| Greeting {
            instance: parse("desk-a"),
            fingerprint: Fingerprint([0; 32]),
            card: Vec::new(),
        }),
        heard: Arc::new(|_| {}),
        told: Arc::new(|_, _| {}),
    };
    let claim = move |claim: Claim| {
        let token = claim.token;
        let claimed = match claims_made.fetch_add(1, Ordering::SeqCst) < held {
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
    let (zone, service): (Zone, Service) = (parse("longbien"), parse("desk"));
    let dialer = Arc::new(Dialer::plain(greeter));
    let builder = Entry::builder(parse("desk-a"), zone, service, dialer);
    let rules = Arc::new(move || Some(document.clone()));
    Arc::new(builder.rules(rules).claims(claims).build())
}

async fn send(entry: &Arc<Entry>, path: &str) -> Response<Body> {
    let request = Request::post(path).header("idempotency-key", "k");
    let request = request.body(Body::default()).expect("a valid request");
    let caller = Origin::Outside(IpAddr::V4(Ipv4Addr::LOCALHOST));
    entry.handle(caller, request).await
}

fn header<'a>(response: &'a Response<Body>, name: &str) -> &'a str {
    let value = response.headers().get(name);
    value.and_then(|value| value.to_str().ok()).unwrap_or("")
}

/// Guards against a request that is answered "unknown" although nothing has run, so that its
/// caller could never resend it. The first attempt was answered "not run", and its resend arrives
/// through another instance before the release is written. The instances have just started and
/// are not linked yet. The resend must wait for the release and run.
#[tokio::test(start_paused = true)]
async fn key_with_a_pending_release_runs() {
    let claims_made = Arc::new(AtomicUsize::new(0));
    let answer = send(&entry(3, claims_made.clone()), "/order/slip").await;
    assert_eq!(claims_made.load(Ordering::SeqCst), 4);
    // The claim was granted; the request is refused only because there is no target.
    let outcome = (header(&answer, OUTCOME), header(&answer, REASON));
    assert_eq!(outcome, ("not-run", "no-target"));
}

/// Guards against a caller that waits for its whole deadline of 10 s, and against a ledger that is
/// asked every few milliseconds meanwhile. The instance that holds the claim has died, and
/// nothing will release it. Its request may have run, so the answer is "unknown".
#[tokio::test(start_paused = true)]
async fn key_of_a_dead_holder_is_unknown_well_before_the_deadline() {
    let claims_made = Arc::new(AtomicUsize::new(0));
    let start = Instant::now();
    let answer = send(&entry(usize::MAX, claims_made.clone()), "/order/slip").await;
    let outcome = (header(&answer, OUTCOME), header(&answer, REASON));
    assert_eq!(outcome, ("unknown", "lost"));
    assert!(start.elapsed() < Duration::from_secs(2));
    assert!(claims_made.load(Ordering::SeqCst) < 16, "{claims_made:?}");
}

/// Guards against the answer 502, as for a lost run, when the deadline passes before the run of
/// the unreachable holder counts as lost.
#[tokio::test(start_paused = true)]
async fn deadline_before_the_holder_counts_as_lost_gives_504() {
    let claims_made = Arc::new(AtomicUsize::new(0));
    let answer = send(&entry(usize::MAX, claims_made), "/hurried/slip").await;
    let outcome = (header(&answer, OUTCOME), header(&answer, REASON));
    assert_eq!(
        (answer.status().as_u16(), outcome),
        (504, ("unknown", "deadline"))
    );
}
