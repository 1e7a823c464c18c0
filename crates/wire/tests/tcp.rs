//! Links over TCP: greetings, streams side by side, resets, silence, and a peer that is another.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use proptest::prelude::*;
use proptest::test_runner::Config;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Runtime;
use tokio::time::{sleep, timeout};
use unit::{Fingerprint, Token};
use wire::codec::MAX_DATA;
use wire::{
    Ask, Dialer, Error, Frame, Greeter, Greeting, Known, Link, Listener, Note, Peer, Stream, Topic,
};

const LOOPBACK: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
const SOON: Duration = Duration::from_secs(5);

/// A greeter of `name` that counts what it is told.
fn greeter(name: &str, life: u8, told: Arc<AtomicUsize>) -> Greeter {
    let instance: unit::Instance = name.parse().expect("a name");
    Greeter {
        own: Arc::new(move || Greeting {
            instance: instance.clone(),
            fingerprint: Fingerprint([life; 32]),
            card: vec![life],
        }),
        heard: Arc::new(|_| ()),
        told: Arc::new(move |_, _| {
            told.fetch_add(1, Ordering::SeqCst);
        }),
    }
}

fn ask() -> Frame {
    Frame::Ask(Ask {
        token: Token(7),
        fence: false,
        wait: Duration::ZERO,
        remaining: Duration::ZERO,
    })
}

/// Answers each ask with `Known::Running`, and each other frame with itself.
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

/// Listens as `b` in its life 2; tells each peer a note.
async fn listen() -> Peer {
    let greeter = greeter("b", 2, Arc::default());
    let listener = Listener::plain((LOOPBACK, 0).into(), greeter)
        .await
        .expect("listens");
    let address = listener.address().expect("an address");
    tokio::spawn(async move {
        while let Some(handshake) = listener.accept().await {
            tokio::spawn(async move {
                let link = handshake.finish().await?;
                let teller = link.teller().expect("a TCP link tells");
                teller.tell(Note {
                    topic: Topic::Load,
                    payload: Bytes::from_static(b"slow"),
                })?;
                while let Ok(stream) = link.stream().await {
                    tokio::spawn(answer(stream));
                }
                Ok::<(), Error>(())
            });
        }
    });
    peer("b", address)
}

fn peer(name: &str, address: SocketAddr) -> Peer {
    Peer {
        instance: name.parse().expect("a name"),
        address,
        fingerprint: Fingerprint([1; 32]),
    }
}

#[tokio::test]
async fn streams_run_side_by_side_and_notes_come_unasked() {
    let to = listen().await;
    let told = Arc::new(AtomicUsize::new(0));
    let dialer = Dialer::plain(greeter("a", 1, told.clone()));
    let link = dialer.link(&to).await.expect("a link");
    assert_eq!(
        link.peer().fingerprint,
        Fingerprint([2; 32]),
        "the life that answers"
    );
    let mut slow = link.open().await.expect("a stream");
    slow.sender.push(&ask()).expect("a frame");
    for _ in 0..100 {
        assert_eq!(link.ask(&ask()).await, Ok(Frame::Known(Known::Running)));
    }
    slow.sender.flush().await.expect("sent");
    let known = slow.receiver.recv().await.expect("an answer");
    assert_eq!(known, Some(Frame::Known(Known::Running)));
    assert_eq!(told.load(Ordering::SeqCst), 1);
    drop(slow);
    assert_eq!(link.open_streams(), 0);
}

/// A body of some megabytes goes both ways on one stream whose reader is slow, while others ask. The
/// window of the stream holds it up, and it holds up nobody else.
#[tokio::test]
async fn a_slow_reader_holds_up_its_own_stream_only() {
    let to = listen().await;
    let dialer = Dialer::plain(greeter("a", 1, Arc::default()));
    let link = dialer.link(&to).await.expect("a link");
    let Stream {
        mut sender,
        mut receiver,
    } = link.open().await.expect("a stream");
    let total = 4 << 20;
    let sent = tokio::spawn(async move {
        sender.push(&ask()).expect("a frame");
        for _ in 0..total / 1_024 {
            sender
                .write(Bytes::from(vec![7; 1_024]))
                .await
                .expect("written");
        }
        sender.finish().await
    });
    sleep(Duration::from_millis(100)).await;
    assert!(!sent.is_finished(), "the window holds it up");
    assert_eq!(link.ask(&ask()).await, Ok(Frame::Known(Known::Running)));
    let mut got = 0;
    while let Some(frame) = receiver.recv().await.expect("frames") {
        if let Frame::Data(data) = frame {
            got += data.len();
        }
    }
    assert_eq!(got, total);
    sent.await.expect("no panic").expect("sent");
}

/// Sends `sizes` in pieces and reads them back from a peer that returns each piece; true if all came.
async fn arrives(link: &Link, sizes: Vec<usize>) -> bool {
    let total: usize = sizes.iter().sum();
    let Stream {
        mut sender,
        mut receiver,
    } = link.open().await.expect("a stream");
    let sent = async {
        sender.send(&ask()).await?;
        for (index, size) in sizes.into_iter().enumerate() {
            sender.write(Bytes::from(vec![7; size])).await?;
            if index % 2 == 0 {
                sender.flush().await?;
            }
        }
        sender.finish().await
    };
    let read = async {
        let mut got = 0;
        while let Some(frame) = receiver.recv().await? {
            if let Frame::Data(data) = frame {
                got += data.len();
            }
        }
        Ok::<usize, Error>(got)
    };
    let exchanged = timeout(SOON, async { tokio::try_join!(sent, read) }).await;
    matches!(exchanged, Ok(Ok(((), got))) if got == total)
}

/// Guards against a body that never ends: its receiver has taken nearly as much as it takes before it
/// grants more, and its sender waits for more than is left.
#[tokio::test]
async fn pieces_around_a_grant_get_credit() {
    let to = listen().await;
    let dialer = Dialer::plain(greeter("a", 1, Arc::default()));
    let link = dialer.link(&to).await.expect("a link");
    for sizes in [
        vec![MAX_DATA - 1, 100, MAX_DATA],
        vec![MAX_DATA - 1, MAX_DATA - 1, MAX_DATA - 1],
        vec![MAX_DATA - 1, 2, 2 * MAX_DATA],
        vec![1, MAX_DATA - 2, MAX_DATA - 1, MAX_DATA],
    ] {
        assert!(arrives(&link, sizes.clone()).await, "{sizes:?}");
    }
}

proptest! {
    #![proptest_config(Config::with_cases(32))]

    /// Guards against the same for pieces of any size.
    #[test]
    fn pieces_of_any_size_get_credit(
        sizes in prop::collection::vec(1..2 * MAX_DATA, 1..8),
    ) {
        let runtime = Runtime::new().expect("a runtime");
        let arrived = runtime.block_on(async {
            let to = listen().await;
            let dialer = Dialer::plain(greeter("a", 1, Arc::default()));
            let link = dialer.link(&to).await.expect("a link");
            arrives(&link, sizes).await
        });
        prop_assert!(arrived);
    }
}

/// The address of a peer that has gone was given to another instance. Its greeting says so, and no
/// call may go there in the name of the first.
#[tokio::test]
async fn another_instance_at_the_address_is_refused() {
    let to = listen().await;
    let dialer = Dialer::plain(greeter("a", 1, Arc::default()));
    let wrong = peer("c", to.address);
    let error = dialer.link(&wrong).await.err().expect("no link");
    assert!(error.to_string().contains("b answers there"), "{error}");
}

/// Something between the ends loses track of a connection: bytes vanish, and no reset comes. Calls on
/// it must fail within a second or two, and the next link works.
#[tokio::test]
async fn a_silent_link_ends() {
    let (through, silent) = relayed(listen().await).await;
    let dialer = Dialer::plain(greeter("a", 1, Arc::default()));
    let link = dialer.link(&through).await.expect("a link");
    assert!(link.ask(&ask()).await.is_ok());
    silent.store(true, Ordering::SeqCst);
    let lost = timeout(SOON, link.ask(&ask())).await.expect("it ends");
    assert!(matches!(lost, Err(Error::Broken(..))), "{lost:?}");
    silent.store(false, Ordering::SeqCst);
    let link = dialer.link(&through).await.expect("a new link");
    assert!(link.ask(&ask()).await.is_ok());
}

/// The machine at the other end loses its power, and its connections just hang. Callers are sent there
/// until the link ends a second later, and all of their requests are lost. The link turns quiet well
/// before it ends, and is heard again if it was only held up.
#[tokio::test]
async fn a_link_turns_quiet_before_it_ends() {
    let (through, silent) = relayed(listen().await).await;
    let dialer = Dialer::plain(greeter("a", 1, Arc::default()));
    let link = dialer.link(&through).await.expect("a link");
    assert!(link.ask(&ask()).await.is_ok());
    silent.store(true, Ordering::SeqCst);
    let hangs = link.clone();
    let asked = tokio::spawn(async move { hangs.ask(&ask()).await.is_ok() });
    let quiet = tokio::select! {
        quiet = link.turned_quiet(false) => quiet,
        () = link.closed() => panic!("it ends before it is quiet"),
    };
    assert!(quiet);
    assert!(link.alive());
    assert!(
        !timeout(SOON, asked)
            .await
            .expect("it ends")
            .expect("no panic")
    );
}

/// The machine of both ends was stopped. To the end that was dialled it looked like 10 s of silence, and
/// it ended the link with the calls on it.
#[tokio::test]
async fn a_stop_of_both_ends_ends_no_link() {
    let to = listen().await;
    let dialer = Dialer::plain(greeter("a", 1, Arc::default()));
    let link = dialer.link(&to).await.expect("a link");
    let mut open = link.open().await.expect("a stream");
    for _ in 0..3 {
        tokio::time::pause();
        tokio::time::advance(Duration::from_secs(11)).await;
        tokio::time::resume();
        sleep(Duration::from_millis(50)).await;
    }
    open.sender.send(&ask()).await.expect("sent");
    let known = open.receiver.recv().await;
    assert_eq!(known, Ok(Some(Frame::Known(Known::Running))));
    assert!(link.alive());
}

/// A way to `to` that carries nothing while the flag is set.
async fn relayed(to: Peer) -> (Peer, Arc<AtomicBool>) {
    let relay = TcpListener::bind((LOOPBACK, 0)).await.expect("a port");
    let through = peer("b", relay.local_addr().expect("an address"));
    let silent = Arc::new(AtomicBool::new(false));
    let mute = silent.clone();
    tokio::spawn(async move {
        while let Ok((near, _)) = relay.accept().await {
            let far = TcpStream::connect(to.address).await.expect("the listener");
            let (near_in, near_out) = near.into_split();
            let (far_in, far_out) = far.into_split();
            tokio::spawn(carry(near_in, far_out, mute.clone()));
            tokio::spawn(carry(far_in, near_out, mute.clone()));
        }
    });
    (through, silent)
}

async fn carry(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    mute: Arc<AtomicBool>,
) {
    let mut piece = [0; 4_096];
    while let Ok(count) = from.read(&mut piece).await {
        if count == 0 {
            return;
        }
        if !mute.load(Ordering::SeqCst) && to.write_all(&piece[..count]).await.is_err() {
            return;
        }
    }
}

/// Another program dials the link address, or a peer sends what is no record. It gets no link, and
/// others keep theirs.
#[tokio::test]
async fn strangers_get_no_link() {
    let to = listen().await;
    let mut stranger = TcpStream::connect(to.address).await.expect("connected");
    stranger
        .write_all(b"GET / HTTP/1.1\r\n\r\n")
        .await
        .expect("sent");
    let mut rest = Vec::new();
    let ended = timeout(SOON, stranger.read_to_end(&mut rest)).await;
    assert!(ended.is_ok(), "the listener ends it");
    let dialer = Dialer::plain(greeter("a", 1, Arc::default()));
    let link = dialer.link(&to).await.expect("a link");
    let mut stream = link.open().await.expect("a stream");
    let garbage = Bytes::from_static(&[0xff; 64]);
    stream.sender.send_raw(garbage).await.expect("sent");
    timeout(SOON, link.closed()).await.expect("the link ends");
    let link = dialer.link(&to).await.expect("a new link");
    assert!(link.ask(&ask()).await.is_ok());
}
