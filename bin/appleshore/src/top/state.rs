//! What a daemon says of itself.

use std::net::SocketAddr;
use std::time::Duration;

use appleshore::Part;
use http::{Method, StatusCode};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use tokio::time::Instant;
use unit::{Report, Version};

use crate::daemon::Call;
use crate::error::Error;

/// One reading of one daemon.
pub(super) struct Sample {
    pub(super) address: SocketAddr,
    pub(super) at: Instant,
    pub(super) state: Result<State, Error>,
}

/// The parts of a dump that are shown.
pub(super) struct State {
    pub(super) roster: Roster,
    pub(super) gate: Gate,
    pub(super) entry: Entry,
    pub(super) feed: Feed,
}

#[derive(Deserialize)]
struct Dump<T> {
    state: T,
}

#[derive(Deserialize)]
pub(super) struct Roster {
    pub(super) me: String,
    pub(super) zone: String,
}

#[derive(Deserialize)]
pub(super) struct Gate {
    pub(super) report: Report,
    pub(super) slots: usize,
    pub(super) paused: bool,
    pub(super) down: bool,
    pub(super) leaving: bool,
    /// Daemons of earlier versions don't say it.
    #[serde(default)]
    pub(super) evacuated: bool,
}

#[derive(Deserialize)]
pub(super) struct Entry {
    pub(super) outcomes: Outcomes,
    pub(super) services: Vec<Service>,
}

#[derive(Deserialize)]
pub(super) struct Feed {
    /// Daemons of earlier versions don't say it.
    #[serde(default)]
    pub(super) rejected: Option<Rejected>,
}

#[derive(Deserialize)]
pub(super) struct Rejected {
    pub(super) version: Version,
    pub(super) cause: String,
    pub(super) seconds: u64,
}

#[derive(Deserialize)]
pub(super) struct Outcomes {
    pub(super) ran: u64,
    pub(super) not_run: u64,
    pub(super) unknown: u64,
}

#[derive(Deserialize)]
pub(super) struct Service {
    pub(super) service: String,
    pub(super) choice: Choice,
}

#[derive(Deserialize)]
pub(super) struct Choice {
    pub(super) targets: Vec<Line>,
}

#[derive(Deserialize)]
pub(super) struct Line {
    pub(super) target: Target,
    pub(super) running: usize,
    pub(super) failures: u32,
    pub(super) report: Option<Report>,
    pub(super) report_age_ms: Option<u64>,
    pub(super) estimate_us: u64,
}

#[derive(Deserialize)]
pub(super) struct Target {
    pub(super) instance: String,
    pub(super) zone: String,
}

/// Reads a daemon; all parts have `limit` each.
pub(super) async fn sample(address: SocketAddr, limit: Duration) -> Sample {
    let state = read(address, limit).await;
    Sample {
        address,
        at: Instant::now(),
        state,
    }
}

async fn read(address: SocketAddr, limit: Duration) -> Result<State, Error> {
    Ok(State {
        roster: part(address, Part::Roster, limit).await?,
        gate: part(address, Part::Gate, limit).await?,
        entry: part(address, Part::Entry, limit).await?,
        feed: part(address, Part::Feed, limit).await?,
    })
}

async fn part<T: DeserializeOwned>(
    address: SocketAddr,
    part: Part,
    limit: Duration,
) -> Result<T, Error> {
    let call = Call {
        step: "top",
        peer: address,
        method: Method::GET,
        path: &format!("/dump/{part}"),
        limit,
    };
    let answer = call.send().await?;
    if answer.status() != StatusCode::OK {
        return Err(call.status(&answer));
    }
    let dump: Result<Dump<T>, _> = serde_json::from_slice(answer.body());
    let dump = dump.map_err(|error| call.error(&format!("the dump of the {part}: {error}")))?;
    Ok(dump.state)
}
