//! The real program is frozen while its target answers.

mod common;

use std::process::Stdio;
use std::time::Duration;

use bytes::Bytes;
use common::write_settings;
use futures_util::future::join_all;
use http::Method;
use mesh::{Address, Answer, Block, Client, RULES, Target};
use rustix::process::{Pid, Signal, kill_process};
use standin::{Handle, Platform, serve};
use store::Condition;
use tokio::net::TcpListener;
use tokio::process::{Child, Command};
use tokio::time::sleep;

const CALLS: usize = 16;

/// A daemon's process beside a target of this one.
struct Desk {
    block: Block,
    daemon: Child,
    client: Client,
    _target: Target,
    _store: Handle,
}

impl Desk {
    /// Starts a daemon whose settings have `fields` beside the addresses, and waits until it serves.
    async fn start(fields: &str) -> Desk {
        let block = Block::next();
        let address = |what| block.of(0, what);
        let platform = Platform::builder().open();
        let listener = TcpListener::bind(address(Address::Store)).await;
        let store = serve(platform.clone(), listener.expect("the address is free"));
        let rules = Bytes::from_static(RULES.as_bytes());
        let put = platform.store().put("rules", rules, Condition::Any).await;
        put.expect("the platform takes the rules");
        let target = Target::start("a", address(Address::Target), address(Address::Outbound)).await;
        let fields = format!(r#""slots": 99, "log": "off", {fields}"#);
        let path = write_settings(block, &fields);
        let daemon = Command::new(env!("CARGO_BIN_EXE_appleshored"))
            .arg("--settings")
            .arg(&path)
            .stdout(Stdio::null())
            .kill_on_drop(true)
            .spawn();
        let desk = Desk {
            block,
            daemon: daemon.expect("the daemon starts"),
            client: Client::default(),
            _target: target,
            _store: store.expect("the stand-in serves"),
        };
        while desk.get("/echo/ready").await.status != 200 {
            sleep(Duration::from_millis(10)).await;
        }
        desk
    }

    async fn get(&self, path: &str) -> Answer {
        let callers = self.block.of(0, Address::Callers);
        self.client.send(callers, Method::GET, path, &[], "").await
    }

    fn signal(&self, signal: Signal) {
        let id = self.daemon.id().expect("it runs") as i32;
        let pid = Pid::from_raw(id).expect("an id");
        kill_process(pid, signal).expect("it runs");
    }

    async fn freeze(&self, after: Duration, lasts: Duration) {
        sleep(after).await;
        self.signal(Signal::STOP);
        sleep(lasts).await;
        self.signal(Signal::CONT);
    }
}

/// A daemon that woke ended answers as broken off, because none of their bytes had been read for the time
/// in which a target may pause. All of them lay unread.
#[tokio::test]
async fn answers_that_lie_unread_in_a_freeze_are_passed_on_whole() {
    let desk = Desk::start(r#""limits": { "idle": "1s" }"#).await;
    let path = "/stream/4/200/pieces";
    let answers = join_all((0..CALLS).map(|_| desk.get(path)));
    let freeze = desk.freeze(Duration::from_millis(300), Duration::from_millis(1_500));
    let (answers, ()) = tokio::join!(answers, freeze);
    for answer in answers {
        let seen = (answer.status, answer.outcome.as_str(), answer.whole);
        assert_eq!(seen, (200, "ran", true), "{}", answer.reason);
        assert_eq!(answer.text(), "piece 0\npiece 1\npiece 2\npiece 3\n");
    }
}
