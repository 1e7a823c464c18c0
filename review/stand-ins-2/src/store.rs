//! The platform's store of objects, as PROTOCOL.md tells it: revisions, conditions and watches.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message, Reader};
use crate::json::Json;

type Key = (String, String);

#[derive(Default)]
struct Memory {
    revision: u64,
    live: BTreeMap<Key, Json>,
    events: Vec<(u64, String, Json)>,
    silent: bool,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<Memory>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(address: SocketAddr) -> Store {
        let listener = TcpListener::bind(address).expect("a free address for the store");
        let memory = Memory {
            revision: 10,
            ..Memory::default()
        };
        let store = Store {
            state: Arc::new((Mutex::new(memory), Condvar::new())),
            address,
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || drop(store.serve(stream)));
            }
        });
        store
    }

    /// The operator writes a configuration.
    pub fn configure(&self, spec: Json) {
        self.write("config", "main", spec);
    }

    /// From now on the store takes calls and answers none, or answers again.
    #[allow(dead_code)]
    pub fn silence(&self, silent: bool) {
        self.state.0.lock().unwrap().silent = silent;
        self.state.1.notify_all();
    }

    pub fn names(&self, kind: &str) -> Vec<String> {
        let memory = self.state.0.lock().unwrap();
        let keys = memory.live.keys().filter(|(of, _)| of == kind);
        keys.map(|(_, name)| name.clone()).collect()
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = Reader::new(stream);
        while let Some(request) = reader.read(false)? {
            self.wait_while_silent();
            let (status, value) = self.act(&request);
            self.wait_while_silent();
            let fields = "content-type: application/json\r\nstore-era: 0\r\n";
            http::answer(&mut reader.stream, status, fields, value.write().as_bytes())?;
        }
        Ok(())
    }

    fn wait_while_silent(&self) {
        let mut memory = self.state.0.lock().unwrap();
        while memory.silent {
            memory = self.state.1.wait(memory).unwrap();
        }
    }

    fn act(&self, request: &Message) -> (&'static str, Json) {
        let target = request.target().to_string();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let path = path.trim_start_matches("/objects/");
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let number = |name: &str| field(query, name).and_then(|text| text.parse::<u64>().ok());
        match (request.method(), name) {
            ("GET", "") => match number("watch") {
                Some(since) => self.watch(kind, since, number("wait_ms").unwrap_or(0)),
                None => (
                    "200 OK",
                    self.list(kind, field(query, "after").unwrap_or("")),
                ),
            },
            ("GET", _) => self
                .found(kind, name)
                .map_or(("404 Not Found", Json::Null), |o| ("200 OK", o)),
            ("POST", "") => self.create(kind, &body),
            ("PUT", _) => self.replace(kind, name, &body),
            ("DELETE", _) => self.delete(kind, name, number("revision")),
            _ => ("405 Method Not Allowed", Json::Null),
        }
    }

    fn found(&self, kind: &str, name: &str) -> Option<Json> {
        let memory = self.state.0.lock().unwrap();
        memory
            .live
            .get(&(kind.to_string(), name.to_string()))
            .cloned()
    }

    fn list(&self, kind: &str, after: &str) -> Json {
        let memory = self.state.0.lock().unwrap();
        let live = memory
            .live
            .iter()
            .filter(|((of, name), _)| of == kind && name.as_str() > after);
        let items = live.map(|(_, object)| object.clone()).collect();
        Json::table([
            ("items", Json::List(items)),
            ("more_pages", Json::Bool(false)),
            ("as_of", Json::number(memory.revision)),
        ])
    }

    fn create(&self, kind: &str, body: &Json) -> (&'static str, Json) {
        let name = body
            .get("metadata")
            .and_then(|data| data.get("name"))
            .and_then(Json::as_text);
        let name = name.unwrap_or("").to_string();
        match self.found(kind, &name) {
            Some(object) => ("409 Conflict", object),
            None => ("200 OK", self.write(kind, &name, spec_of(body))),
        }
    }

    fn replace(&self, kind: &str, name: &str, body: &Json) -> (&'static str, Json) {
        let Some(object) = self.found(kind, name) else {
            return ("404 Not Found", Json::Null);
        };
        let wanted = body.get("metadata").and_then(|data| data.get("revision"));
        let wanted = wanted.and_then(Json::as_u64);
        if wanted.is_some_and(|wanted| Some(wanted) != revision_of(&object)) {
            return ("409 Conflict", object);
        }
        if object.get("spec") == Some(&spec_of(body)) {
            return ("200 OK", object);
        }
        ("200 OK", self.write(kind, name, spec_of(body)))
    }

    fn delete(&self, kind: &str, name: &str, wanted: Option<u64>) -> (&'static str, Json) {
        let Some(object) = self.found(kind, name) else {
            return ("404 Not Found", Json::Null);
        };
        if wanted.is_some() && wanted != revision_of(&object) {
            return ("409 Conflict", object);
        }
        let mut memory = self.state.0.lock().unwrap();
        memory.live.remove(&(kind.to_string(), name.to_string()));
        memory.add(kind, &object, true);
        self.state.1.notify_all();
        ("200 OK", object)
    }

    fn write(&self, kind: &str, name: &str, spec: Json) -> Json {
        let mut memory = self.state.0.lock().unwrap();
        let key = (kind.to_string(), name.to_string());
        let revision = memory.revision + 1;
        let created = memory
            .live
            .get(&key)
            .and_then(|object| object.get("metadata"));
        let created = created
            .and_then(|data| data.get("create_revision"))
            .cloned();
        let object = Json::table([
            (
                "metadata",
                Json::table([
                    ("name", Json::text(name)),
                    ("revision", Json::number(revision)),
                    ("create_revision", created.unwrap_or(Json::number(revision))),
                    ("finalizers", Json::List(Vec::new())),
                    ("deleting", Json::Bool(false)),
                ]),
            ),
            ("spec", spec),
            ("status", Json::Null),
        ]);
        memory.live.insert(key, object.clone());
        memory.add(kind, &object, false);
        self.state.1.notify_all();
        object
    }

    fn watch(&self, kind: &str, since: u64, wait_ms: u64) -> (&'static str, Json) {
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut memory = self.state.0.lock().unwrap();
        if since > memory.revision {
            return ("410 Gone", Json::Null);
        }
        loop {
            let news = memory
                .events
                .iter()
                .filter(|(at, of, _)| *at > since && of == kind);
            let events: Vec<Json> = news.map(|(_, _, event)| event.clone()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let as_of = Json::number(memory.revision);
                return (
                    "200 OK",
                    Json::table([("events", Json::List(events)), ("as_of", as_of)]),
                );
            }
            memory = self.state.1.wait_timeout(memory, left).unwrap().0;
        }
    }
}

impl Memory {
    fn add(&mut self, kind: &str, object: &Json, removed: bool) {
        self.revision += 1;
        let event = Json::table([("object", object.clone()), ("removed", Json::Bool(removed))]);
        self.events.push((self.revision, kind.to_string(), event));
    }
}

fn spec_of(body: &Json) -> Json {
    body.get("spec").cloned().unwrap_or(Json::Null)
}

fn revision_of(object: &Json) -> Option<u64> {
    object.get("metadata")?.get("revision")?.as_u64()
}

fn field<'q>(query: &'q str, name: &str) -> Option<&'q str> {
    let mut fields = query.split('&').filter_map(|part| part.split_once('='));
    fields
        .find(|(known, _)| *known == name)
        .map(|(_, value)| value)
}
