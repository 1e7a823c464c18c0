//! A stand-in for the platform's store of objects.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Head};
use crate::json::Json;

/// Items of one page at most.
const PAGE: usize = 500;

/// The longest wait of a watch.
const MAX_WAIT: u64 = 30_000;

/// The store; clones are the same.
#[derive(Clone)]
pub struct Store {
    shared: Arc<Shared>,
    pub address: SocketAddr,
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Clone)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Stored>,
    /// Each change: its revision, the kind, whether it removed the object, and the object.
    events: Vec<(u64, String, bool, Json)>,
    era: u64,
}

#[derive(Clone)]
struct Stored {
    revision: u64,
    created: u64,
    finalizers: Json,
    spec: Json,
    status: Json,
}

type Answer = (&'static str, Json);

impl Store {
    pub fn start(address: SocketAddr) -> io::Result<Store> {
        let listener = TcpListener::bind(address)?;
        let state = State {
            revision: 10,
            objects: BTreeMap::new(),
            events: Vec::new(),
            era: 1,
        };
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            changed: Condvar::new(),
        });
        let address = listener.local_addr()?;
        let store = Store { shared, address };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes as the operator; returns once the write is acknowledged.
    pub fn put(&self, kind: &str, name: &str, spec: Json) {
        let mut state = self.shared.state.lock().unwrap();
        state.put(kind, name, spec, Json::List(Vec::new()));
        self.shared.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let mut connection = Connection::new(stream);
        while let Some(head) = connection.head()? {
            let body = connection.body(&head)?;
            let (status, answer) = self.call(&head, &String::from_utf8_lossy(&body));
            let era = self.shared.state.lock().unwrap().era;
            let fields = [
                ("Content-Type", "application/json".to_string()),
                ("Store-Era", era.to_string()),
            ];
            connection.answer(status, &fields, answer.to_string().as_bytes())?;
        }
        Ok(())
    }

    fn call(&self, head: &Head, body: &str) -> Answer {
        let [method, target, _] = &head.first;
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let path: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        let found = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
        };
        let number = |name: &str| found(name).and_then(|text| text.parse::<u64>().ok());
        let bad = ("400 Bad Request", Json::Null);
        let content = Json::parse(body);
        match (method.as_str(), path.as_slice()) {
            ("GET", ["objects", kind]) => match number("watch") {
                Some(since) => self.watch(kind, since, number("wait_ms").unwrap_or(0)),
                None => self.list(kind, found("after").unwrap_or_default()),
            },
            ("GET", ["objects", kind, name]) => {
                let state = self.shared.state.lock().unwrap();
                match state.show(kind, name) {
                    Some(object) => ("200 OK", object),
                    None => ("404 Not Found", Json::Null),
                }
            }
            ("POST", ["objects", kind]) => {
                let Some(content) = content else { return bad };
                let name = content.get("metadata").and_then(|data| data.get("name"));
                let Some(name) = name.and_then(Json::as_str) else {
                    return bad;
                };
                self.write(kind, name, &content, true, None)
            }
            ("PUT", ["objects", kind, name]) => {
                let Some(content) = content else { return bad };
                self.write(kind, name, &content, false, number("revision"))
            }
            ("DELETE", ["objects", kind, name]) => self.delete(kind, name, number("revision")),
            _ => bad,
        }
    }

    fn list(&self, kind: &str, after: &str) -> Answer {
        let state = self.shared.state.lock().unwrap();
        let names = state
            .objects
            .keys()
            .filter(|(of, name)| of == kind && name.as_str() > after);
        let names: Vec<&(String, String)> = names.take(PAGE + 1).collect();
        let more = names.len() > PAGE;
        let items = names
            .iter()
            .take(PAGE)
            .filter_map(|(of, name)| state.show(of, name));
        let answer = Json::object(vec![
            ("items", Json::List(items.collect())),
            ("more_pages", Json::Bool(more)),
            ("as_of", Json::number(state.revision)),
        ]);
        ("200 OK", answer)
    }

    fn watch(&self, kind: &str, since: u64, wait: u64) -> Answer {
        let until = Instant::now() + Duration::from_millis(wait.min(MAX_WAIT));
        let mut state = self.shared.state.lock().unwrap();
        let era = state.era;
        loop {
            if state.era != era || since > state.revision {
                return ("410 Gone", Json::Null);
            }
            let events = state.events.iter();
            let news = events.filter(|(revision, of, ..)| *revision > since && of == kind);
            let news: Vec<Json> = news
                .map(|(_, _, removed, object)| {
                    Json::object(vec![
                        ("removed", Json::Bool(*removed)),
                        ("object", object.clone()),
                    ])
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !news.is_empty() || left.is_zero() {
                let answer = Json::object(vec![
                    ("events", Json::List(news)),
                    ("as_of", Json::number(state.revision)),
                ]);
                return ("200 OK", answer);
            }
            state = self.shared.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn write(
        &self,
        kind: &str,
        name: &str,
        content: &Json,
        new: bool,
        when: Option<u64>,
    ) -> Answer {
        let mut state = self.shared.state.lock().unwrap();
        let metadata = content.get("metadata");
        let when = when.or_else(|| metadata?.get("revision")?.as_u64());
        let now = state.revision_of(kind, name);
        match now {
            Some(_) if new => {
                return ("409 Conflict", state.show(kind, name).unwrap_or(Json::Null));
            }
            None if !new => return ("404 Not Found", Json::Null),
            Some(now) if when.is_some_and(|when| when != now) => {
                return ("409 Conflict", state.show(kind, name).unwrap_or(Json::Null));
            }
            _ => {}
        }
        let finalizers = metadata.and_then(|data| data.get("finalizers")).cloned();
        let finalizers = finalizers.unwrap_or(Json::List(Vec::new()));
        let spec = content.get("spec").cloned().unwrap_or(Json::Null);
        state.put(kind, name, spec, finalizers);
        let shown = state.show(kind, name).unwrap_or(Json::Null);
        self.shared.changed.notify_all();
        ("200 OK", shown)
    }

    fn delete(&self, kind: &str, name: &str, when: Option<u64>) -> Answer {
        let mut state = self.shared.state.lock().unwrap();
        let Some(now) = state.revision_of(kind, name) else {
            return ("404 Not Found", Json::Null);
        };
        if when.is_some_and(|when| when != now) {
            return ("409 Conflict", state.show(kind, name).unwrap_or(Json::Null));
        }
        state.revision += 1;
        let revision = state.revision;
        let key = (kind.to_string(), name.to_string());
        if let Some(object) = state.objects.get_mut(&key) {
            object.revision = revision;
        }
        let shown = state.show(kind, name).unwrap_or(Json::Null);
        state.objects.remove(&key);
        state
            .events
            .push((revision, kind.to_string(), true, shown.clone()));
        self.shared.changed.notify_all();
        ("200 OK", shown)
    }
}

impl State {
    fn revision_of(&self, kind: &str, name: &str) -> Option<u64> {
        let object = self.objects.get(&(kind.to_string(), name.to_string()))?;
        Some(object.revision)
    }

    fn show(&self, kind: &str, name: &str) -> Option<Json> {
        let object = self.objects.get(&(kind.to_string(), name.to_string()))?;
        let metadata = Json::object(vec![
            ("name", Json::text(name)),
            ("revision", Json::number(object.revision)),
            ("create_revision", Json::number(object.created)),
            ("finalizers", object.finalizers.clone()),
            ("deleting", Json::Bool(false)),
        ]);
        Some(Json::object(vec![
            ("metadata", metadata),
            ("spec", object.spec.clone()),
            ("status", object.status.clone()),
        ]))
    }

    fn put(&mut self, kind: &str, name: &str, spec: Json, finalizers: Json) {
        let key = (kind.to_string(), name.to_string());
        let old = self.objects.get(&key);
        if old.is_some_and(|old| old.spec == spec && old.finalizers == finalizers) {
            return;
        }
        self.revision += 1;
        let revision = self.revision;
        let stored = Stored {
            revision,
            created: old.map_or(revision, |old| old.created),
            finalizers,
            spec,
            status: old.map_or(Json::Null, |old| old.status.clone()),
        };
        self.objects.insert(key, stored);
        if let Some(shown) = self.show(kind, name) {
            self.events.push((revision, kind.to_string(), false, shown));
        }
    }
}
