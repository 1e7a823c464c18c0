//! An instance put together from the parts: entry, gate, target, ledger and links, without roster.
//!
//! Two things need it. A daemon announces the address that its links are bound to, so that no
//! relay can stand between two daemons; here the addresses are ours to give. And a daemon has no
//! place where a safeguard could be taken out.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use entry::{Body, Claims, Entry, Granted, NoClaim, Origin};
use gate::Gate;
use http::{Request, Response};
use http_body_util::BodyExt;
use ledger::message::{Answer, Ask, ClaimRequest};
use ledger::{Claim, Claimed, End, Ledger};
use parking_lot::RwLock;
use rule::Document;
use store::Store;
use target::Server;
use tokio::runtime::Runtime;
use tokio::time::{Instant, sleep};
use unit::{Incarnation, Instance, Service, Size, Zone};
use wire::{Dialer, Error, Frame, Identity, Known, Listener, Peer, Stream, Trust};

use super::safeguard::Safeguard;

const SLOTS: u16 = 10;
const QUEUE: usize = 640;
const HELD: Size = Size::of(8_000_000);
const HELD_FOR: Duration = Duration::from_secs(120);

/// How long an end is offered to the ledger, and the pause between.
const END_FOR: Duration = Duration::from_secs(60);
const END_AGAIN: Duration = Duration::from_millis(50);

/// Threads of each instance.
const THREADS: usize = 2;

/// Who is where, by instance; what a roster would tell.
#[derive(Default)]
pub(crate) struct Book {
    peers: RwLock<BTreeMap<Instance, Peer>>,
    lives: AtomicU64,
}

/// Where one instance is, and what it is to leave out.
pub(crate) struct Place {
    pub(crate) instance: Instance,
    pub(crate) link: SocketAddr,
    /// Where others reach the link.
    pub(crate) relay: SocketAddr,
    pub(crate) target: SocketAddr,
    pub(crate) without: Option<Safeguard>,
}

/// A running instance in a runtime of its own.
pub(crate) struct Parts {
    entry: Arc<Entry>,
    runtime: Option<Runtime>,
}

impl Parts {
    /// Starts an instance on `store` under `document`.
    pub(crate) async fn start(
        place: Place,
        store: Store,
        document: Arc<Document>,
        book: Arc<Book>,
    ) -> Result<Parts, BoxedError> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(THREADS)
            .enable_all()
            .build()?;
        let entry = runtime
            .spawn(async move { assemble(place, store, document, &book) })
            .await??;
        Ok(Parts {
            entry,
            runtime: Some(runtime),
        })
    }

    /// Tells the entry of the targets.
    pub(crate) fn set_targets(&self, targets: &[pick::Target]) {
        if let Ok(service) = "desk".parse() {
            self.entry.set_targets(&service, targets);
        }
    }

    /// Has the entry answer a request; `None` if the instance is killed meanwhile.
    pub(crate) async fn send(
        runtime: tokio::runtime::Handle,
        entry: Arc<Entry>,
        peer: IpAddr,
        request: Request<Body>,
    ) -> Option<(Response<()>, Bytes, bool)> {
        let handled = runtime.spawn(async move {
            let response = entry.handle(Origin::Outside(peer), request).await;
            let (parts, mut body) = response.into_parts();
            let mut bytes = Vec::new();
            while let Some(frame) = body.frame().await {
                let Ok(frame) = frame else {
                    return (Response::from_parts(parts, ()), bytes.into(), false);
                };
                bytes.extend_from_slice(&frame.into_data().unwrap_or_default());
            }
            (Response::from_parts(parts, ()), bytes.into(), true)
        });
        handled.await.ok()
    }

    /// What [`Parts::send`] needs.
    pub(crate) fn way(&self) -> Option<(tokio::runtime::Handle, Arc<Entry>)> {
        let runtime = self.runtime.as_ref()?;
        Some((runtime.handle().clone(), self.entry.clone()))
    }

    /// Stops all threads for `span`, as when the process is paused.
    pub(crate) fn pause(&self, span: Duration) {
        if let Some(runtime) = &self.runtime {
            for _ in 0..THREADS {
                runtime.spawn(async move { std::thread::sleep(span) });
            }
        }
    }
}

impl Drop for Parts {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl Book {
    /// The targets of the service, each at a life that rises with every start.
    pub(crate) fn targets(&self) -> Vec<pick::Target> {
        let life = Incarnation(self.lives.load(Ordering::SeqCst));
        let Ok(zone) = "longbien".parse::<Zone>() else {
            return Vec::new();
        };
        let peers = self.peers.read();
        let targets = peers.keys().map(|instance| pick::Target {
            instance: instance.clone(),
            zone: zone.clone(),
            incarnation: life,
            leaving: false,
            evacuated: false,
            region: "local".to_string(),
        });
        targets.collect()
    }
}

fn assemble(
    place: Place,
    store: Store,
    document: Arc<Document>,
    book: &Arc<Book>,
) -> Result<Arc<Entry>, BoxedError> {
    let identity = Identity::fresh(place.instance.clone())?;
    let peer = Peer {
        instance: place.instance.clone(),
        address: place.relay,
        fingerprint: identity.fingerprint(),
    };
    let known = book.clone();
    let trust = Trust::new(move |shown| {
        let peers = known.peers.read();
        let peer = peers.values().find(|peer| peer.fingerprint == *shown);
        peer.map(|peer| peer.instance.clone())
    });
    let listener = Listener::bind(place.link, &identity, trust)?;
    let dialer = Arc::new(Dialer::bind(identity, place.link.ip())?);
    book.lives.fetch_add(1, Ordering::SeqCst);
    book.peers.write().insert(place.instance.clone(), peer);
    let held = held::Table::new(HELD, HELD_FOR);
    let service: Service = "desk".parse()?;
    let gate = Gate::builder(SLOTS).queue(QUEUE).build();
    let server = Server::builder(service.clone(), place.target, gate)
        .held(held.clone())
        .build();
    let server = Arc::new(server);
    tokio::spawn(target::watch(server.clone()));
    let ledger = Ledger::builder(store)
        .owner(place.instance.clone())
        .seed(rand::random())
        .open();
    let inbound = Inbound {
        server,
        blind: place.without == Some(Safeguard::Token),
    };
    tokio::spawn(inbound.run(listener));
    let claims = claims(&ledger, place.without == Some(Safeguard::Claim));
    let peers = book.clone();
    let entry = Entry::builder(place.instance, "longbien".parse()?, service, dialer)
        .rules(Arc::new(move || Some(document.clone())))
        .peers(Arc::new(move |instance| {
            peers.peers.read().get(instance).cloned()
        }))
        .held(held)
        .claims(claims)
        .build();
    Ok(Arc::new(entry))
}

type BoxedError = Box<dyn std::error::Error + std::marker::Send + Sync>;

/// Claims at the own ledger, so that each instance takes itself for the owner of all keys.
fn claims(ledger: &Ledger, grant_all: bool) -> Claims {
    let (claimant, teller) = (ledger.clone(), ledger.clone());
    Claims {
        claim: Box::new(move |claim| {
            let ledger = claimant.clone();
            Box::pin(async move { ask(&ledger, claim, grant_all).await })
        }),
        end: Box::new(move |end| {
            let ledger = teller.clone();
            tokio::spawn(async move { tell(&ledger, end).await });
        }),
    }
}

async fn ask(ledger: &Ledger, claim: Claim, grant_all: bool) -> Result<Granted, NoClaim> {
    let token = claim.token;
    if grant_all {
        let claimed = Claimed::Granted;
        return Ok(Granted { token, claimed });
    }
    match ledger.answer(Ask::Claim(ClaimRequest::new(claim))).await {
        Answer::Claimed(claimed) => Ok(Granted { token, claimed }),
        Answer::Failed { cause, retry_after } => Err(NoClaim { cause, retry_after }),
        answer => Err(NoClaim {
            cause: format!("{answer:?}"),
            retry_after: Duration::ZERO,
        }),
    }
}

async fn tell(ledger: &Ledger, end: End) {
    let until = Instant::now() + END_FOR;
    while Instant::now() < until && ledger.end(end.clone()).await.is_err() {
        sleep(END_AGAIN).await;
    }
}

/// What answers the frames of the others.
struct Inbound {
    server: Arc<Server>,
    /// Each question after a token is answered as if its call had never come.
    blind: bool,
}

impl Inbound {
    async fn run(self, listener: Listener) {
        let inbound = Arc::new(self);
        while let Some(handshake) = listener.accept().await {
            let inbound = inbound.clone();
            tokio::spawn(async move {
                let link = handshake.finish().await?;
                loop {
                    let stream = link.stream().await?;
                    let inbound = inbound.clone();
                    tokio::spawn(async move { inbound.stream(stream).await });
                }
                #[expect(unreachable_code, reason = "it gives the task its type")]
                Ok::<(), Error>(())
            });
        }
    }

    async fn stream(&self, mut stream: Stream) -> Result<(), Error> {
        match stream.receiver.recv().await? {
            Some(Frame::Call(call)) => self.server.call(stream, call).await,
            Some(Frame::Ask(ask)) if ask.fence && self.blind => {
                let known = Known::Unknown { fenced: true };
                stream.sender.push(&Frame::Known(known))?;
                stream.sender.finish().await
            }
            Some(Frame::Ask(ask)) => self.server.ask(stream.sender, ask).await,
            _ => Ok(()),
        }
    }
}
