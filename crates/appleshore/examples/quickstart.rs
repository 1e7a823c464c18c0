//! A mesh of three instances on loopback, and what its callers see.
//!
//! `cargo run --release --example quickstart` sends urgent, routine, once-only and refused calls,
//! and stops one daemon as planned in the middle of a stream. With `-- --stay` it stays up and
//! prints curl lines.

use std::process::ExitCode;

use http::Method;
use mesh::{Answer, Mesh};

/// What one caller sent, and what it saw.
struct Row {
    what: String,
    expected: &'static str,
    answer: Answer,
}

impl Row {
    fn new(what: &str, expected: &'static str, answer: Answer) -> Row {
        Row {
            what: what.to_string(),
            expected,
            answer,
        }
    }

    fn as_expected(&self) -> bool {
        self.answer.outcome == self.expected && self.answer.whole
    }

    fn print(&self) {
        let Answer {
            status,
            outcome,
            reason,
            ..
        } = &self.answer;
        let mark = if self.as_expected() {
            ""
        } else {
            "  <- not as expected"
        };
        println!(
            "{:<52} {status:>6}  {outcome:<12} {reason}{mark}",
            self.what
        );
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let stay = std::env::args().any(|argument| argument == "--stay");
    let mut mesh = Mesh::builder().start().await;
    println!("three daemons, three targets and the store's stand-in are up\n");
    println!(
        "{:<52} {:>6}  {:<12} reason",
        "what a caller sent", "status", "outcome"
    );
    let mut rows = calls(&mesh).await;
    if !stay {
        rows.push(planned_stop(&mut mesh).await);
        rows.push(Row::new(
            "routine look-up, behind the stop",
            "ran",
            mesh.get(0, "/echo/2").await,
        ));
    }
    rows.iter().for_each(Row::print);
    let faults = rows.iter().filter(|row| !row.as_expected()).count();
    println!("\n{} calls, {faults} not as expected", rows.len());
    if stay {
        stay_up(&mesh).await;
    }
    if faults == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

async fn calls(mesh: &Mesh) -> Vec<Row> {
    let court = [("x-court", "yes")];
    let to = mesh.callers(1);
    let urgent = mesh
        .client
        .send(to, Method::GET, "/echo/land-file/88", &court, "")
        .await;
    vec![
        Row::new("urgent look-up of the court, by daemon 1", "ran", urgent),
        Row::new(
            "routine look-up, by daemon 0",
            "ran",
            mesh.get(0, "/echo/1").await,
        ),
        Row::new(
            "look-up with a nested call",
            "ran",
            mesh.get(2, "/nest/echo/below").await,
        ),
        Row::new(
            "order with key slip-7, by daemon 0",
            "ran",
            order(mesh, 0, "box 7").await,
        ),
        Row::new(
            "the same order again, by daemon 1",
            "already-run",
            order(mesh, 1, "box 7").await,
        ),
        Row::new(
            "the same key for another box",
            "not-run",
            order(mesh, 2, "box 8").await,
        ),
        Row::new(
            "a page that a rule closes",
            "not-run",
            mesh.get(0, "/closed/yard").await,
        ),
    ]
}

async fn order(mesh: &Mesh, index: usize, body: &str) -> Answer {
    mesh.order(index, "/order/retrieval", "slip-7", body).await
}

/// Stops daemon 2 while it relays a slow stream and its target serves one.
async fn planned_stop(mesh: &mut Mesh) -> Row {
    let (client, to) = (mesh.client.clone(), mesh.callers(2));
    let stream =
        tokio::spawn(async move { client.send(to, Method::GET, "/stream/20/20", &[], "").await });
    tokio::time::sleep(std::time::Duration::from_millis(100)).await;
    mesh.take_daemon(2).drain().await;
    let answer = stream.await.expect("the stream's caller does not panic");
    let pieces = answer.text().lines().count();
    let what = format!("stream of 20, daemon 2 stops meanwhile ({pieces} came)");
    Row::new(&what, "ran", answer)
}

async fn stay_up(mesh: &Mesh) {
    let (caller, operator) = (mesh.callers(0), mesh.operator(0));
    println!("\nstaying up; try, and end with ctrl-c:\n");
    println!("curl -i http://{caller}/echo/hello");
    println!("curl -i -H 'x-court: yes' http://{caller}/echo/land-file");
    println!("curl -i -X POST -H 'idempotency-key: k1' -d 'box 7' http://{caller}/order/slip");
    println!("curl -i http://{caller}/closed/yard");
    println!("curl http://{operator}/metrics");
    println!("curl http://{operator}/dump/gate");
    // An error means that no signal can come; then there is nothing to wait for.
    drop(tokio::signal::ctrl_c().await);
}
