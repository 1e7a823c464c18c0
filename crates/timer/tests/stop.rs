//! A process that is stopped by signals, in series, while data arrives for it.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::runtime::Builder;

/// Names the runtime of the child, which is this program with only [`serve_as_child`].
const CHILD: &str = "TIMER_TEST_CHILD";
const LIMIT: Duration = Duration::from_millis(300);
const ROUNDS: usize = 3;
const IN_TIME: u8 = b'+';
const LATE: u8 = b'-';

/// Answers each byte on a connection, and says so if none has come within [`LIMIT`] of the last.
async fn serve(listener: TcpListener) {
    loop {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        tokio::spawn(async move {
            let mut byte = [0];
            // The first byte begins the first span.
            while matches!(stream.read(&mut byte).await, Ok(1)) {
                let answer = match timer::timeout(LIMIT, stream.read(&mut byte)).await {
                    Ok(Ok(1)) => IN_TIME,
                    Ok(_) => return,
                    Err(_) => LATE,
                };
                if stream.write_all(&[answer]).await.is_err() {
                    return;
                }
            }
        });
    }
}

/// Does nothing unless it is started by the other tests.
#[test]
fn serve_as_child() {
    let Ok(flavor) = std::env::var(CHILD) else {
        return;
    };
    let mut builder = match flavor.as_str() {
        "multi" => Builder::new_multi_thread(),
        _ => Builder::new_current_thread(),
    };
    let runtime = builder.worker_threads(2).enable_all().build();
    runtime.expect("a runtime").block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        eprintln!("{address}");
        serve(listener).await;
    });
}

/// Kills the child when the test ends.
struct Server {
    child: Child,
    address: SocketAddr,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.child.kill().expect("the child is ours");
        self.child.wait().expect("the child ends");
    }
}

impl Server {
    fn start(flavor: &str) -> Server {
        let program = std::env::current_exe().expect("this program");
        let mut child = Command::new(program)
            .args(["--exact", "serve_as_child", "--nocapture"])
            .env(CHILD, flavor)
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the child");
        let mut line = Vec::new();
        let stderr = child.stderr.as_mut().expect("its output");
        while line.last() != Some(&b'\n') {
            let mut byte = [0];
            stderr.read_exact(&mut byte).expect("its address");
            line.push(byte[0]);
        }
        let line = String::from_utf8(line).expect("text");
        let address = line.trim().parse().expect("an address");
        Server { child, address }
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).expect("the child runs");
    }
}

/// Counts bytes that were taken for late, though they came while the server was stopped.
fn late(flavor: &str, connections: usize, stops: u64) -> usize {
    let server = Server::start(flavor);
    let mut streams = Vec::new();
    for number in 0..connections {
        if number % 100 == 99 {
            // The server accepts them meanwhile.
            std::thread::sleep(Duration::from_millis(5));
        }
        streams.push(TcpStream::connect(server.address).expect("a connection"));
    }
    let mut late = 0;
    for _ in 0..ROUNDS {
        for stream in &mut streams {
            stream.write_all(b"1").expect("sent");
        }
        std::thread::sleep(LIMIT / 2);
        server.signal(Signal::STOP);
        std::thread::sleep(LIMIT);
        for stream in &mut streams {
            stream.write_all(b"2").expect("sent");
        }
        for stop in 0..stops {
            server.signal(Signal::CONT);
            std::thread::sleep(Duration::from_micros(50 + stop * 37 % 400));
            server.signal(Signal::STOP);
            std::thread::sleep(Duration::from_millis(2));
        }
        server.signal(Signal::CONT);
        for stream in &mut streams {
            let mut answer = [0];
            stream.read_exact(&mut answer).expect("an answer");
            assert!([IN_TIME, LATE].contains(&answer[0]));
            late += usize::from(answer[0] == LATE);
        }
    }
    late
}

/// What has arrived while a process was stopped was taken for late when it went on.
#[test]
fn a_stop_makes_nothing_late() {
    for flavor in ["single", "multi"] {
        assert_eq!(late(flavor, 64, 0), 0, "{flavor}");
    }
}

/// Stops in series ended each wait for the sockets before they were polled.
#[test]
fn stops_in_series_make_nothing_late() {
    for flavor in ["single", "multi"] {
        assert_eq!(late(flavor, 64, 20), 0, "{flavor}");
    }
}

/// More sockets were ready than the runtime takes in one poll, and the rest were taken for late.
#[test]
fn a_stop_makes_nothing_late_on_many_sockets() {
    let found = ["single", "multi"].map(|flavor| (flavor, late(flavor, 3_000, 0)));
    assert_eq!(found, [("single", 0), ("multi", 0)]);
}
