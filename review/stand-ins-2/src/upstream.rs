//! An upstream: it announces itself, answers health checks and runs requests.
//!
//! The query of a request says what it takes: `work` (milliseconds until the answer begins), `bytes`
//! (of the answer's body), `parts` and `gap` (in how many pieces the body is written, and the
//! milliseconds between them).

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message, Reader};

/// A request that an upstream began to work on.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    pub upstream: String,
    pub began: Instant,
    /// When its answer was written in full.
    pub ended: Option<Instant>,
    /// When its connection was found closed.
    pub dropped: Option<Instant>,
    pub method: String,
    pub target: String,
    pub caller: String,
    pub body: Vec<u8>,
}

#[derive(Clone)]
pub struct Upstream {
    pub id: String,
    service: String,
    zone: String,
    address: SocketAddr,
    control: SocketAddr,
    slots: usize,
    sequence: Arc<AtomicU64>,
    pub leaving: Arc<AtomicBool>,
    /// Whether it rejects long requests before they are in, where they say so.
    pub early: Arc<AtomicBool>,
    running: Arc<AtomicUsize>,
    pub runs: Arc<Mutex<Vec<Run>>>,
}

impl Upstream {
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        (address, control): (SocketAddr, SocketAddr),
        slots: usize,
        runs: &Arc<Mutex<Vec<Run>>>,
    ) -> Upstream {
        let upstream = Upstream {
            id: id.to_string(),
            service: service.to_string(),
            zone: zone.to_string(),
            address,
            control,
            slots,
            sequence: Arc::default(),
            leaving: Arc::default(),
            early: Arc::default(),
            running: Arc::default(),
            runs: runs.clone(),
        };
        let listener = TcpListener::bind(address).expect("a free address for an upstream");
        let serving = upstream.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let upstream = serving.clone();
                thread::spawn(move || drop(upstream.serve(stream)));
            }
        });
        let beating = upstream.clone();
        thread::spawn(move || {
            loop {
                let pause = match beating.beat() {
                    true => 1_500,
                    false => 200,
                };
                thread::sleep(Duration::from_millis(pause));
            }
        });
        upstream
    }

    /// Sends one heartbeat; returns whether it was acknowledged.
    pub fn beat(&self) -> bool {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let state = match self.leaving.load(Ordering::SeqCst) {
            true => "draining",
            false => "ready",
        };
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"{state}\",\"cold_remaining_ms\":0,\"sequence\":{sequence}}}",
            self.service, self.address, self.zone, self.slots
        );
        self.call("instances.heartbeat", &body)
    }

    fn call(&self, name: &str, body: &str) -> bool {
        let timeout = Duration::from_secs(1);
        let Ok(mut stream) = TcpStream::connect_timeout(&self.control, timeout) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(timeout));
        let head = format!(
            "POST /rpc?call={name}&of={} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
             content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            self.id,
            body.len()
        );
        let sent = stream.write_all(head.as_bytes());
        let answer = sent
            .ok()
            .and_then(|()| Reader::new(stream).read(true).ok().flatten());
        answer.is_some_and(|answer| answer.status() / 100 == 2)
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = Reader::new(stream);
        while let Some(mut request) = reader.read_head()? {
            let early = number(request.target(), "early", 0);
            if early > 0 && self.early.load(Ordering::SeqCst) {
                self.reject_early(&request, &mut reader, early)?;
                continue;
            }
            request.body = reader.read_body(&request)?;
            let load = self.running.load(Ordering::SeqCst);
            let own = format!(
                "x-instance-id: {}\r\nx-server-load: {load},0,{}\r\n",
                self.id, self.slots
            );
            if request.target() == "/health" {
                let status = match self.leaving.load(Ordering::SeqCst) {
                    true => "503 Leaving",
                    false => "200 OK",
                };
                http::answer(&mut reader.stream, status, &own, b"")?;
                continue;
            }
            let id = request.field("x-attempt-id").unwrap_or("").to_string();
            let expected = request.field("x-expected-instance");
            if expected.is_some_and(|expected| expected != self.id) {
                http::answer(&mut reader.stream, "421 Misdirected Request", &own, b"")?;
                continue;
            }
            if self.running.fetch_add(1, Ordering::SeqCst) >= self.slots {
                self.running.fetch_sub(1, Ordering::SeqCst);
                let own = format!("x-attempt-id: {id}\r\nx-not-executed: 1\r\n{own}");
                http::answer(&mut reader.stream, "503 Service Unavailable", &own, b"")?;
                continue;
            }
            let ran = self.run(&id, &request, &mut reader.stream, &own);
            self.running.fetch_sub(1, Ordering::SeqCst);
            ran?;
        }
        Ok(())
    }

    /// Answers a long request after `early` milliseconds, whether or not its body is in, keeps the
    /// connection, and reads the rest of the body afterwards.
    fn reject_early(
        &self,
        request: &Message,
        reader: &mut Reader,
        early: u64,
    ) -> std::io::Result<()> {
        thread::sleep(Duration::from_millis(early));
        let id = request.field("x-attempt-id").unwrap_or("").to_string();
        let fields = format!(
            "x-attempt-id: {id}\r\nx-response-signature: s.{id}.0\r\nx-instance-id: {}\r\n",
            self.id
        );
        http::answer(&mut reader.stream, "413 Content Too Large", &fields, b"")?;
        let body = reader.read_up_to(request.length().unwrap_or(0));
        self.runs.lock().unwrap().push(Run {
            id,
            upstream: self.id.clone(),
            began: Instant::now(),
            ended: None,
            dropped: None,
            method: request.method().to_string(),
            target: request.target().to_string(),
            caller: request.field("x-caller-service").unwrap_or("").to_string(),
            body,
        });
        Ok(())
    }

    fn run(
        &self,
        id: &str,
        request: &Message,
        stream: &mut TcpStream,
        own: &str,
    ) -> std::io::Result<()> {
        let number = {
            let mut runs = self.runs.lock().unwrap();
            runs.push(Run {
                id: id.to_string(),
                upstream: self.id.clone(),
                began: Instant::now(),
                ended: None,
                dropped: None,
                method: request.method().to_string(),
                target: request.target().to_string(),
                caller: request.field("x-caller-service").unwrap_or("").to_string(),
                body: request.body.clone(),
            });
            runs.len() - 1
        };
        let written = self.answer(id, request, stream, own);
        let mut runs = self.runs.lock().unwrap();
        match &written {
            Ok(()) => runs[number].ended = Some(Instant::now()),
            Err(_) => runs[number].dropped = Some(Instant::now()),
        }
        written
    }

    fn answer(
        &self,
        id: &str,
        request: &Message,
        stream: &mut TcpStream,
        own: &str,
    ) -> std::io::Result<()> {
        let target = request.target();
        let work = number(target, "work", 20);
        let bytes = number(target, "bytes", 1_000) as usize;
        let parts = number(target, "parts", 1).max(1) as usize;
        let gap = number(target, "gap", 0);
        wait(stream, work)?;
        let body: Vec<u8> = (0..bytes).map(|at| b'a' + (at % 23) as u8).collect();
        let head = format!(
            "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-response-signature: s.{id}.{bytes}\r\n{own}\
             content-length: {bytes}\r\n\r\n"
        );
        let mut first = head.into_bytes();
        for (at, part) in body.chunks(bytes.div_ceil(parts).max(1)).enumerate() {
            if at > 0 {
                wait(stream, gap)?;
            }
            first.extend_from_slice(part);
            stream.write_all(&first)?;
            first.clear();
        }
        if !first.is_empty() {
            stream.write_all(&first)?;
        }
        Ok(())
    }
}

/// Works for `ms` milliseconds, or until the connection closes.
fn wait(stream: &mut TcpStream, ms: u64) -> std::io::Result<()> {
    let end = Instant::now() + Duration::from_millis(ms);
    loop {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Ok(());
        }
        stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
        let peeked = stream.peek(&mut [0]);
        stream.set_read_timeout(None)?;
        match peeked {
            Ok(0) => return Err(std::io::ErrorKind::ConnectionReset.into()),
            Ok(_) => thread::sleep(left),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
}

pub fn number(target: &str, name: &str, otherwise: u64) -> u64 {
    let query = target.split_once('?').map_or("", |(_, query)| query);
    let mut fields = query.split('&').filter_map(|part| part.split_once('='));
    let found = fields.find(|(known, _)| *known == name);
    found
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or(otherwise)
}
