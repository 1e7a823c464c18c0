//! The bound on what is kept.

use std::time::Duration;

use bytes::Bytes;
use held::{Answer, Found, Table};
use tokio::time::Instant;
use unit::{Size, Token};
use wire::{Header, Reply};

const BOUND: u64 = 100_000;

fn answer(token: Token, head: usize) -> Answer {
    let header = Header {
        name: "x-more".to_string(),
        value: vec![b'a'; head],
    };
    let reply = Reply {
        token,
        status: 200,
        headers: vec![header],
        allowance: 0,
        report: None,
        notice: None,
    };
    Answer {
        reply,
        body: Bytes::new(),
    }
}

/// Guards against answers without bodies, and runs without answers, that are kept without any bound: an id
/// invented anew with each request makes a record each.
#[tokio::test(start_paused = true)]
async fn records_and_heads_count() {
    let table = Table::new(Size::of(BOUND), Duration::from_secs(60));
    for number in 0..1_000 {
        let token = Token(number);
        let running = table.begin(token);
        if number % 2 == 0 {
            running.done(answer(token, 2_000));
        }
    }
    assert!(table.bytes() <= Size::of(BOUND), "{}", table.bytes());
    let found = |number| table.wait(Token(number), Instant::now());
    assert_eq!(found(0).await, Found::Nothing, "the oldest are forgotten");
    assert_eq!(found(999).await, Found::Ended);
    let newest = answer(Token(998), 2_000);
    assert_eq!(found(998).await, Found::Answer(newest));
}
