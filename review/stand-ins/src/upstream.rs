//! A stand-in for an upstream.
//!
//! It reads a whole request, refuses one that expects another instance, works on it for as long as the
//! last part of its path says in milliseconds, and answers with the length and the hash of the body
//! that it got. It announces itself to the daemon on its machine.

use std::collections::hash_map::DefaultHasher;
use std::hash::Hasher;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Connection, Head, exchange};
use crate::json::Json;
use crate::record::Record;

/// How long the daemon may take to acknowledge a heartbeat.
const BEAT_LIMIT: Duration = Duration::from_secs(1);

/// A request with such a path crashes each upstream that runs it.
pub const POISON: &str = "/read/poison";

/// A run, as the upstream saw its request.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    pub upstream: String,
    pub at: Duration,
    pub path: String,
    pub length: usize,
    pub hash: u64,
}

/// Where an upstream stands and what it says of itself.
#[derive(Clone)]
pub struct Place {
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub control: SocketAddr,
    pub slots: u64,
    pub heartbeat: Duration,
}

/// The upstream; clones are the same.
#[derive(Clone)]
pub struct Upstream {
    shared: Arc<Shared>,
}

struct Shared {
    place: Place,
    life: String,
    /// Of so many answers one is sent in part, on a connection that stays open; 0 for none.
    cuts: AtomicU64,
    /// Until when it is cold.
    cold_until: Mutex<Option<Instant>>,
    /// The Unix millisecond of its start.
    born: u64,
    record: Record,
    running: AtomicU64,
    leaving: AtomicBool,
    /// It sends no heartbeats.
    silent: AtomicBool,
    /// It has crashed, or is about to.
    ended: AtomicBool,
    /// Nothing listens at its address any more.
    closed: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    sequence: AtomicU64,
    runs: Mutex<Vec<Run>>,
}

pub fn hash(bytes: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    hasher.write(bytes);
    hasher.finish()
}

impl Upstream {
    pub fn start(life: &str, place: Place, record: Record) -> io::Result<Upstream> {
        let listener = TcpListener::bind(place.address)?;
        let shared = Arc::new(Shared {
            place,
            life: life.to_string(),
            cuts: AtomicU64::new(0),
            cold_until: Mutex::new(None),
            born: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0, |now| now.as_millis() as u64),
            record,
            running: AtomicU64::new(0),
            leaving: AtomicBool::new(false),
            silent: AtomicBool::new(false),
            ended: AtomicBool::new(false),
            closed: AtomicBool::new(false),
            connections: Mutex::default(),
            sequence: AtomicU64::new(0),
            runs: Mutex::default(),
        });
        let upstream = Upstream { shared };
        let serving = upstream.clone();
        listener.set_nonblocking(true)?;
        thread::spawn(move || {
            while !serving.has_ended() {
                match listener.accept() {
                    Ok((stream, _)) => serving.clone().accept(stream),
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
            drop(listener);
            serving.shared.closed.store(true, Ordering::SeqCst);
        });
        let beating = upstream.clone();
        thread::spawn(move || {
            while !beating.has_ended() {
                if !beating.shared.silent.load(Ordering::SeqCst) {
                    // One that is not acknowledged is made up for by the next.
                    let _ = beating.beat();
                }
                thread::sleep(beating.shared.place.heartbeat);
            }
        });
        Ok(upstream)
    }

    /// Says from now on that it leaves: in its heartbeats and in all its answers.
    pub fn leave(&self) {
        self.shared.leaving.store(true, Ordering::SeqCst);
    }

    /// Says that it is about to end, and nothing more; whether that is acknowledged.
    pub fn deregister(&self) -> bool {
        self.shared.silent.store(true, Ordering::SeqCst);
        self.shared.leaving.store(true, Ordering::SeqCst);
        let request = format!(
            "POST /rpc?call=instances.deregister&of={} HTTP/1.1\r\nHost: {}\r\n\
             Content-Length: 0\r\n\r\n",
            self.shared.life, self.shared.place.control
        );
        self.send(request.as_bytes())
    }

    fn accept(self, stream: TcpStream) {
        let kept = stream
            .set_nonblocking(false)
            .and_then(|()| stream.try_clone());
        let Ok(kept) = kept else { return };
        self.shared.connections.lock().unwrap().push(kept);
        thread::spawn(move || self.serve(stream));
    }

    pub fn has_ended(&self) -> bool {
        self.shared.ended.load(Ordering::SeqCst)
    }

    /// Crashes: nothing listens at its address any more, and its connections end.
    pub fn crash(&self) {
        self.shared.ended.store(true, Ordering::SeqCst);
        while !self.shared.closed.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(1));
        }
        for connection in self.shared.connections.lock().unwrap().drain(..) {
            // One that is closed already has ended too.
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
    }

    pub fn life(&self) -> &str {
        &self.shared.life
    }

    pub fn runs(&self) -> Vec<Run> {
        self.shared.runs.lock().unwrap().clone()
    }

    /// The heartbeat that is next in order.
    pub fn next_beat(&self) -> Vec<u8> {
        let Place {
            service,
            zone,
            address,
            control,
            slots,
            ..
        } = &self.shared.place;
        let leaving = self.shared.leaving.load(Ordering::SeqCst);
        let body = Json::object(vec![
            ("service", Json::text(service)),
            ("address", Json::text(&address.to_string())),
            ("zone", Json::text(zone)),
            ("version", Json::text("v1")),
            ("slots", Json::number(*slots)),
            (
                "state",
                Json::text(if leaving { "draining" } else { "ready" }),
            ),
            ("cold_remaining_ms", Json::number(self.cold_ms())),
            (
                "sequence",
                Json::number(self.shared.sequence.fetch_add(1, Ordering::SeqCst) + 1),
            ),
            ("born", Json::number(self.shared.born)),
        ]);
        let body = body.to_string();
        let head = format!(
            "POST /rpc?call=instances.heartbeat&of={} HTTP/1.1\r\nHost: {control}\r\n\
             Content-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            self.shared.life,
            body.len()
        );
        [head, body].concat().into_bytes()
    }

    /// Sends a heartbeat now; whether it is acknowledged.
    pub fn beat(&self) -> bool {
        self.send(&self.next_beat())
    }

    /// Sends a heartbeat that was made before; whether it is acknowledged.
    pub fn send(&self, beat: &[u8]) -> bool {
        let answered = exchange(self.shared.place.control, beat, BEAT_LIMIT);
        answered.is_ok_and(|(head, _)| (200..300).contains(&head.status()))
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let mut connection = Connection::new(stream);
        while let Some(head) = connection.head()? {
            let body = match connection.body(&head) {
                Ok(body) => body,
                Err(error) => {
                    let id = head.get("x-attempt-id").unwrap_or("none");
                    let life = &self.shared.life;
                    self.shared
                        .record
                        .say(format!("{life} got a part of {id}: {error}"));
                    return Err(error);
                }
            };
            if head.first[1] == "/health" {
                self.answer_health(&mut connection)?;
            } else {
                self.run(&mut connection, &head, &body)?;
            }
        }
        Ok(())
    }

    fn load(&self) -> String {
        let running = self.shared.running.load(Ordering::SeqCst);
        format!("{running},0,{}", self.shared.place.slots)
    }

    fn common(&self) -> Vec<(&'static str, String)> {
        let mut fields = vec![
            ("X-Instance-Id", self.shared.life.clone()),
            ("X-Server-Load", self.load()),
        ];
        if self.shared.leaving.load(Ordering::SeqCst) {
            fields.push(("Server-Leaving", "1".to_string()));
        }
        fields
    }

    fn cold_ms(&self) -> u64 {
        let until = *self.shared.cold_until.lock().unwrap();
        let left = until.map(|until| until.saturating_duration_since(Instant::now()));
        left.map_or(0, |left| left.as_millis() as u64)
    }

    /// Sends one of `one_of` answers in part from now on; none if 0.
    pub fn cut(&self, one_of: u64) {
        self.shared.cuts.store(one_of, Ordering::SeqCst);
    }

    /// Becomes cold for `time`.
    pub fn chill(&self, time: Duration) {
        *self.shared.cold_until.lock().unwrap() = Some(Instant::now() + time);
    }

    fn answer_health(&self, connection: &mut Connection) -> io::Result<()> {
        let status = match self.shared.leaving.load(Ordering::SeqCst) {
            true => "503 Service Unavailable",
            false => "200 OK",
        };
        let mut fields = self.common();
        let cold = self.cold_ms();
        if cold > 0 {
            fields.push(("X-Cold-Ms", cold.to_string()));
        }
        connection.answer(status, &fields, b"")
    }

    fn run(&self, connection: &mut Connection, head: &Head, body: &[u8]) -> io::Result<()> {
        let id = head.get("x-attempt-id").unwrap_or_default().to_string();
        let mut fields = self.common();
        fields.push(("X-Attempt-Id", id.clone()));
        let expected = head.get("x-expected-instance");
        if expected.is_some_and(|expected| expected != self.shared.life) {
            return connection.answer("421 Misdirected Request", &fields, b"");
        }
        if id.is_empty() {
            fields.push(("X-Not-Executed", "1".to_string()));
            return connection.answer("400 Bad Request", &fields, b"");
        }
        let running = self.shared.running.fetch_add(1, Ordering::SeqCst);
        if running >= self.shared.place.slots {
            self.shared.running.fetch_sub(1, Ordering::SeqCst);
            fields.push(("X-Not-Executed", "1".to_string()));
            return connection.answer("503 Service Unavailable", &fields, b"");
        }
        let run = Run {
            id,
            upstream: self.shared.life.clone(),
            at: self.shared.record.now(),
            path: head.first[1].clone(),
            length: body.len(),
            hash: hash(body),
        };
        self.shared.record.say(format!(
            "{} of {} runs {} {} {} for {}, from {}, with a body of {} bytes, hash {:016x}",
            run.upstream,
            self.shared.place.service,
            run.id,
            head.first[0],
            head.first[1],
            head.get("host").unwrap_or("no host"),
            head.get("x-caller-service").unwrap_or("no service"),
            run.length,
            run.hash
        ));
        self.shared.runs.lock().unwrap().push(run.clone());
        let last = head.first[1].rsplit('/').next().unwrap_or_default();
        let until = Instant::now() + Duration::from_millis(last.parse().unwrap_or(0));
        thread::sleep(until.saturating_duration_since(Instant::now()));
        if head.first[1].starts_with(POISON) && !self.has_ended() {
            self.shared.record.say(format!("{} crashes", run.upstream));
            self.crash();
        }
        if self.has_ended() {
            return Err(io::Error::other("crashed"));
        }
        self.shared.running.fetch_sub(1, Ordering::SeqCst);
        fields.push(("X-Response-Signature", format!("{:016x}", run.hash)));
        let text = format!("{} {:016x}", run.length, run.hash);
        let one_of = self.shared.cuts.load(Ordering::SeqCst);
        let number = self.shared.runs.lock().unwrap().len() as u64;
        if one_of > 0 && number.is_multiple_of(one_of) {
            self.shared.record.say(format!(
                "{} sends a part of its answer to {}",
                run.upstream, run.id
            ));
            fields.push(("Content-Length", (text.len() * 2).to_string()));
            let lines = fields
                .iter()
                .map(|(name, value)| format!("{name}: {value}\r\n"));
            let head = format!("HTTP/1.1 200 OK\r\n{}\r\n", lines.collect::<String>());
            return connection.write(&[head, text].concat().into_bytes());
        }
        connection.answer("200 OK", &fields, text.as_bytes())
    }
}
