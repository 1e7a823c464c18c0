//! Links between two ends on loopback.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::net::UdpSocket;
use tokio::time::Instant;
use unit::{Fingerprint, Instance, Token};
use wire::{Ask, Dialer, Error, Frame, Identity, Known, Listener, Peer, Stream, Trust};

const LOOPBACK: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

fn identity(name: &str) -> Identity {
    let instance: Instance = name.parse().expect("a good name");
    Identity::fresh(instance).expect("a certificate")
}

/// Trusts exactly one fingerprint, under the name `a`.
fn trust(fingerprint: Fingerprint) -> Trust {
    let name: Instance = "a".parse().expect("a good name");
    Trust::new(move |shown| (*shown == fingerprint).then(|| name.clone()))
}

/// Answers each ask with `Known::Running`, each other frame with itself, each link in its own task.
fn serve(listener: Arc<Listener>) {
    tokio::spawn(async move {
        while let Some(handshake) = listener.accept().await {
            tokio::spawn(async move {
                let inbound = handshake.finish().await?;
                while let Ok(stream) = inbound.stream().await {
                    tokio::spawn(answer(stream));
                }
                Ok::<(), Error>(())
            });
        }
    });
}

async fn answer(stream: Stream) -> Result<(), Error> {
    let Stream {
        mut sender,
        mut receiver,
    } = stream;
    while let Some(frame) = receiver.recv().await? {
        let reply = match frame {
            Frame::Ask(_) => Frame::Known(Known::Running),
            other => other,
        };
        sender.send(&reply).await?;
    }
    sender.finish().await
}

fn listen(own: &Identity, trusted: Fingerprint) -> Peer {
    let listener = Listener::bind((LOOPBACK, 0).into(), own, trust(trusted)).expect("listens");
    let address = listener.address().expect("an address");
    serve(Arc::new(listener));
    Peer {
        instance: own.instance().clone(),
        address,
        fingerprint: own.fingerprint(),
    }
}

fn ask() -> Frame {
    let token = Token(7);
    Frame::Ask(Ask {
        token,
        fence: false,
        wait: Duration::ZERO,
        remaining: Duration::ZERO,
    })
}

#[tokio::test]
async fn announced_peers_exchange_frames() {
    let (a, b) = (identity("a"), identity("b"));
    let peer = listen(&b, a.fingerprint());
    let dialer = Dialer::bind(a, LOOPBACK).unwrap();
    let link = dialer.link(&peer).await.unwrap();
    assert_eq!(
        link.ask(&ask()).await.unwrap(),
        Frame::Known(Known::Running)
    );

    let Stream {
        mut sender,
        mut receiver,
    } = link.open().await.unwrap();
    let piece = Bytes::from(vec![7; 100_000]);
    sender.send(&Frame::Data(piece.clone())).await.unwrap();
    sender.send(&Frame::End).await.unwrap();
    assert_eq!(receiver.recv().await.unwrap(), Some(Frame::Data(piece)));
    assert_eq!(receiver.recv().await.unwrap(), Some(Frame::End));
    sender.finish().await.unwrap();
    assert_eq!(receiver.recv().await.unwrap(), None);
}

/// Sends what comes back at once, and reads none of it.
async fn stall(stream: Stream) -> Result<(), Error> {
    let Stream {
        mut sender,
        receiver,
    } = stream;
    let piece = Frame::Data(Bytes::from(vec![7; 100_000]));
    loop {
        sender.send(&piece).await?;
        // The answers stay unread for as long as the stream is there.
        let _ = &receiver;
    }
}

#[tokio::test]
async fn streams_that_nobody_reads_hold_up_no_other() {
    // Forty answers stand still in the windows of their streams; were these a large part of the
    // link's, nothing else would pass between the two ends.
    let (a, b) = (identity("a"), identity("b"));
    let peer = listen(&b, a.fingerprint());
    let dialer = Dialer::bind(a, LOOPBACK).unwrap();
    let link = dialer.link(&peer).await.unwrap();
    let mut stalled = tokio::task::JoinSet::new();
    for _ in 0..40 {
        stalled.spawn(stall(link.open().await.unwrap()));
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    for _ in 0..20 {
        let answer = tokio::time::timeout(Duration::from_secs(10), link.ask(&ask())).await;
        assert_eq!(answer, Ok(Ok(Frame::Known(Known::Running))));
    }
    assert_eq!(stalled.len(), 40);
    assert!(stalled.try_join_next().is_none());
}

#[tokio::test]
async fn a_dialer_that_is_not_announced_is_refused() {
    // A process that nobody has announced dials a gate with a certificate of its own making.
    // The gate's end does not know the fingerprint, so no frame of it is ever read, and the error
    // says that nothing was sent.
    let (a, b, stranger) = (identity("a"), identity("b"), identity("a"));
    let peer = listen(&b, a.fingerprint());
    let dialer = Dialer::bind(stranger, LOOPBACK).unwrap();
    let answer = match dialer.link(&peer).await {
        Ok(link) => link.ask(&ask()).await.map(drop),
        Err(error) => Err(error),
    };
    assert!(matches!(answer, Err(Error::Dial(..))), "{answer:?}");
}

#[tokio::test]
async fn a_listener_with_another_certificate_is_refused() {
    // A process takes over the address of an instance that has gone, and would answer for it.
    // The dialer pins the announced fingerprint, so the handshake fails and nothing is sent.
    let (a, b, other) = (identity("a"), identity("b"), identity("b"));
    let mut peer = listen(&other, a.fingerprint());
    peer.fingerprint = b.fingerprint();
    let dialer = Dialer::bind(a, LOOPBACK).unwrap();
    let error = dialer.link(&peer).await.err().unwrap();
    assert!(matches!(error, Error::Dial(..)), "{error}");
}

#[tokio::test]
async fn a_bad_frame_ends_its_link_and_no_other() {
    // A peer of another kind sends a length beyond the bound. Its link is closed, with the calls
    // on it; a link of another peer to the same gate goes on, because each is its own connection.
    let (a, b) = (identity("a"), identity("b"));
    let fingerprint = a.fingerprint();
    let peer = listen(&b, fingerprint);
    let dialer = Dialer::bind(a, LOOPBACK).unwrap();
    let link = dialer.link(&peer).await.unwrap();
    let other = Peer {
        instance: "b2".parse().unwrap(),
        ..peer.clone()
    };
    let second = dialer.link(&other).await.unwrap();

    let Stream {
        mut sender,
        mut receiver,
    } = link.open().await.unwrap();
    sender
        .send_raw(Bytes::from_static(&[0xff; 8]))
        .await
        .unwrap();
    assert!(receiver.recv().await.is_err());
    assert!(link.ask(&ask()).await.is_err());
    assert!(second.ask(&ask()).await.is_ok());
    let again = dialer.link(&peer).await.unwrap();
    assert!(again.ask(&ask()).await.is_ok());
}

#[tokio::test]
async fn a_dropped_sender_never_looks_complete() {
    // A gate's task dies in the middle of an answer. The caller's end must see a cut, not an end:
    // dropping the sender resets the stream.
    let (a, b) = (identity("a"), identity("b"));
    let listener = Listener::bind((LOOPBACK, 0).into(), &b, trust(a.fingerprint())).unwrap();
    let address = listener.address().unwrap();
    let peer = Peer {
        instance: b.instance().clone(),
        address,
        fingerprint: b.fingerprint(),
    };
    tokio::spawn(async move {
        let inbound = listener.accept().await.unwrap().finish().await.unwrap();
        let Stream {
            mut sender,
            mut receiver,
        } = inbound.stream().await.unwrap();
        receiver.recv().await.unwrap();
        sender
            .send(&Frame::Data(Bytes::from_static(b"half")))
            .await
            .unwrap();
        drop(sender);
        let _ = inbound.stream().await;
    });
    let dialer = Dialer::bind(a, LOOPBACK).unwrap();
    let link = dialer.link(&peer).await.unwrap();
    let Stream {
        mut sender,
        mut receiver,
    } = link.open().await.unwrap();
    sender.send(&ask()).await.unwrap();
    let mut last = receiver.recv().await;
    while matches!(last, Ok(Some(_))) {
        last = receiver.recv().await;
    }
    assert!(matches!(last, Err(Error::Reset(..))), "{last:?}");
}

#[tokio::test]
async fn a_call_costs_one_datagram_each_way() {
    // Dropping a stream whose end had come, but was not read, told the peer to stop sending: a
    // datagram more each way for every call, and half of the work of a link.
    const CALLS: u64 = 500;
    let (a, b) = (identity("a"), identity("b"));
    let peer = listen(&b, a.fingerprint());
    let dialer = Dialer::bind(a, LOOPBACK).unwrap();
    let link = dialer.link(&peer).await.unwrap();
    let before = link.datagrams();
    for _ in 0..CALLS {
        link.ask(&ask()).await.unwrap();
    }
    let each = (link.datagrams() - before) as f64 / CALLS as f64;
    assert!(each < 2.5, "{each} datagrams a call, both ways");
}

/// The machine of both ends was stopped, so that no ping was sent. It looked like silence, and the link
/// ended with the calls on it.
#[tokio::test]
async fn a_stop_of_both_ends_ends_no_link() {
    let (a, b) = (identity("a"), identity("b"));
    let peer = listen(&b, a.fingerprint());
    let dialer = Dialer::bind(a, LOOPBACK).expect("a socket");
    let link = dialer.link(&peer).await.expect("a link");
    let Stream {
        mut sender,
        mut receiver,
    } = link.open().await.expect("a stream");
    // The watchdog has looked at the link with this stream.
    tokio::time::sleep(Duration::from_millis(150)).await;
    for _ in 0..3 {
        tokio::time::pause();
        tokio::time::advance(Duration::from_secs(2)).await;
        tokio::time::resume();
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    sender.send(&ask()).await.expect("sent");
    let known = receiver.recv().await;
    assert_eq!(known, Ok(Some(Frame::Known(Known::Running))));
}

/// Hands the first datagram of a dialer on to `to`, and nothing back; the dialer's address.
async fn one_way(to: SocketAddr) -> SocketAddr {
    let socket = UdpSocket::bind((LOOPBACK, 0)).await.expect("a port");
    let address = socket.local_addr().expect("an address");
    tokio::spawn(async move {
        let mut datagram = vec![0; 65_535];
        let (length, _) = socket.recv_from(&mut datagram).await.expect("a datagram");
        socket.send_to(&datagram[..length], to).await.expect("sent");
        // The socket stays open, so that what comes back vanishes.
        std::future::pending::<()>().await;
    });
    address
}

#[tokio::test]
async fn a_close_waits_for_no_peer_that_is_gone() {
    // A daemon stops as planned while a handshake with it is half done, and the peer has been killed
    // or cut off. Nobody acknowledges the close. The stop must not wait for that connection: it hung
    // here until the process was killed, with all answers long delivered.
    let (a, b) = (identity("a"), identity("b"));
    let listener = Listener::bind((LOOPBACK, 0).into(), &b, trust(a.fingerprint()));
    let listener = listener.expect("listens");
    let peer = Peer {
        instance: b.instance().clone(),
        address: one_way(listener.address().expect("an address")).await,
        fingerprint: b.fingerprint(),
    };
    let dialer = Dialer::bind(a, LOOPBACK).expect("a socket");
    let dialling = tokio::spawn(async move { dialer.link(&peer).await.map(drop) });
    let handshake = listener.accept().await.expect("a handshake");
    let handshake = tokio::spawn(handshake.finish());
    tokio::task::yield_now().await;
    tokio::time::pause();
    let began = Instant::now();
    listener.close().await;
    assert!(began.elapsed() < Duration::from_secs(1));
    assert!(handshake.await.expect("no panic").is_err());
    assert!(dialling.await.expect("no panic").is_err());
}
