//! Pieces of rules that no honest daemon sends.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use feed::{Answer, Carrier, Current, Feed, Message, Packed, Piece};
use parking_lot::Mutex;
use roster::{Beat, Policy, Roster, Shared};
use standin::Platform;
use tokio::time::{Instant, sleep};
use unit::{Digest, Incarnation, Version};
use wire::codec::{pack, unpack};

use crate::world::{record, text};

const NEWER: Version = Version::of(9);

/// A whole document as one piece.
fn whole(text: &str) -> Piece {
    let packed = Packed::of(text).expect("packs");
    let bytes = packed.bytes().clone();
    Piece {
        version: NEWER,
        digest: Digest::of(&bytes),
        length: bytes.len(),
        offset: 0,
        bytes,
    }
}

/// Pieces that belong to no document.
fn odd() -> Vec<Piece> {
    let good = whole(&text("evil"));
    let cut = |end: usize| good.bytes.slice(..end);
    vec![
        Piece {
            offset: 1,
            ..good.clone()
        },
        Piece {
            offset: usize::MAX,
            ..good.clone()
        },
        Piece {
            length: 1,
            ..good.clone()
        },
        Piece {
            length: usize::MAX,
            bytes: cut(5),
            ..good.clone()
        },
        Piece {
            digest: Digest(7),
            ..good.clone()
        },
        Piece {
            bytes: Bytes::new(),
            ..good.clone()
        },
        Piece {
            length: 4,
            bytes: cut(4),
            digest: Digest::of(&cut(4)),
            ..good
        },
        whole("{ broken"),
    ]
}

/// Guards against a peer whose pieces fit no document, and against a fetch that never ends for them.
#[tokio::test(start_paused = true)]
async fn pieces_that_fit_no_document_leave_the_rules_in_force() {
    for piece in odd() {
        let (me, evil, good) = (record(0, 1), record(1, 1), record(2, 1));
        let now = Instant::now();
        let mut roster = Roster::new(now, me, Policy::default(), 1);
        roster.merge(now, evil.clone());
        roster.merge(now, good.clone());
        let current = Arc::new(Current::default());
        current
            .offer(Version::of(1), &text("first"))
            .expect("parses");
        let asked = Arc::new(Mutex::new(0));
        let (count, said, name) = (asked.clone(), piece.clone(), evil.instance.clone());
        let carrier: Carrier = Arc::new(move |peer, payload| {
            let message: Message = unpack(&payload).expect("a message");
            let answer = match message {
                Message::Ask(_) if peer.instance == name => {
                    *count.lock() += 1;
                    Answer::Piece(Some(said.clone()))
                }
                Message::Ask(_) => Answer::Piece(Some(Piece {
                    version: Version::of(10),
                    ..whole(&text("good"))
                })),
                _ => Answer::Done,
            };
            Box::pin(async move { Ok(pack(&answer)?) })
        });
        let store = Platform::builder().open().store();
        let feed = Feed::builder(store, Arc::new(Shared::new(roster)), current.clone())
            .carrier(carrier)
            .build();
        let run = feed.clone();
        let task = tokio::spawn(async move { run.run().await });
        let beat = |rules| {
            let beat = Beat {
                incarnation: Incarnation(1),
                total: 0,
                rules,
                era: None,
                evacuations: 0,
            };
            pack(&Message::Beat(beat)).expect("packs")
        };
        feed.note(&evil.instance, &beat(NEWER)).expect("answers");
        sleep(Duration::from_secs(5)).await;
        assert_eq!(current.version(), Version::of(1), "{piece:?}");
        assert!(
            *asked.lock() <= 3,
            "asked {} times: {piece:?}",
            asked.lock()
        );
        feed.note(&good.instance, &beat(Version::of(10)))
            .expect("answers");
        sleep(Duration::from_secs(1)).await;
        assert_eq!(current.version(), Version::of(10), "{piece:?}");
        task.abort();
    }
}
