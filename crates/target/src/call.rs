//! Handles one call, from its head on the link to the end of its answer.

mod deliver;

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use gate::{End, Permit, Running};
use http::{HeaderName, HeaderValue, Method, StatusCode, header};
use http1::response;
use nest::Context;
use timer::{timeout, timeout_at};
use tokio::time::Instant;
use unit::{Depth, Instance, Report, Urgency};
use wire::{
    Abort, Accepted, Call, Cause, Error, Frame, Header, Notice, Payload, Receiver, Refusal, Reply,
    Sender, Stream,
};

use crate::connection::{self, Connection, Outgoing};
use crate::server::Server;
use crate::upload::Content;

/// Maximum time until a deadline. It keeps an entry with a wrong clock or setting from making the gate
/// remember a token for ever.
const MAX_REMAINING: Duration = Duration::from_secs(3_600);

/// About how many bytes a refusal with a load report takes on the link.
const REFUSAL_BYTES: usize = 60;

/// Maximum time and size of the rest of an answer by which the target declines a request. Reading on
/// would cost more than another connection.
const DECLINED_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_DECLINED_BYTES: usize = 64 << 10;

/// Handles one call to the target.
pub(crate) struct Handler<'a> {
    server: &'a Server,
    call: Call,
    /// The instance that sent the call.
    entry: Instance,
    deadline: Instant,
    /// How long the request waited for a slot.
    waited: Duration,
}

/// What a request needs to start.
struct Dispatch {
    permit: Permit,
    connection: Connection,
}

/// A dispatched request, which may run at the target.
struct Run {
    running: Running,
    /// Registers the request as the parent of the calls that the target makes for it.
    parent: nest::Running,
    /// The life of the target that the request is meant for, if one is known.
    life: Option<String>,
    /// Keeps the answer, if the request may not be repeated.
    held: Option<held::Running>,
    /// The gate's load when the request started.
    load: Report,
    /// Counts the answer of a bulk request as expected on the link, until it is there.
    expected: Option<bandwidth::Expected>,
    started: Instant,
}

/// The outcome of sending a request to the target.
#[expect(
    clippy::large_enum_variant,
    reason = "The value is moved once, and boxing it would cost an allocation for each request."
)]
enum Sent {
    /// The target has sent the head of its answer.
    Answer(response::Head, Connection),
    /// The connection was lost or brought no valid answer; the request may have run.
    Failed(connection::Error),
    /// The deadline passed before an answer arrived. Holds the number of requests that the connection
    /// had carried before.
    TimedOut(u32),
    /// The entry disconnected.
    Cancelled,
}

impl<'a> Handler<'a> {
    pub(crate) fn new(server: &'a Server, call: Call, entry: Instance) -> Handler<'a> {
        let deadline = Instant::now() + call.remaining.min(MAX_REMAINING);
        Handler {
            server,
            call,
            entry,
            deadline,
            waited: Duration::ZERO,
        }
    }

    /// Serves the call.
    ///
    /// # Errors
    ///
    /// The link's error if the entry disconnected.
    pub(crate) async fn run(mut self, stream: Stream) -> Result<(), Error> {
        let Stream {
            mut sender,
            receiver,
        } = stream;
        sender.urgency(self.call.urgency);
        if self.method().is_none() || self.misdirected() {
            let cause = Cause::Misdirected;
            return self.refuse(sender, cause, Duration::ZERO).await;
        }
        let arrived = Instant::now();
        let permit = tokio::select! {
            permit = self.admit() => permit,
            // The entry has disconnected: the request leaves the queue without being sent.
            () = sender.stopped() => {
                log::info!("gate: id={} gave-up waited_ms={}.", self.id(), elapsed_ms(arrived));
                return Ok(());
            }
        };
        match permit {
            Ok(permit) => {
                self.waited = arrived.elapsed();
                self.connect(permit, sender, receiver).await
            }
            Err(refusal) => {
                log::info!(
                    "gate: id={} refused={} waited_ms={} {}.",
                    self.id(),
                    refusal.cause(),
                    elapsed_ms(arrived),
                    load_fields(&Report {
                        link_ms: self.server.load().link_ms,
                        ..refusal.report()
                    })
                );
                self.forward_refusal(sender, &refusal).await
            }
        }
    }

    /// Waits for a slot, and for a fresh pace report if starting with an old one could cost much more
    /// than the wait.
    async fn admit(&self) -> Result<Permit, gate::Refusal> {
        self.server.lift_initial_cold_bound();
        if let Some(notice) = &self.call.notice {
            self.server.adopt_notice(notice);
        }
        let permit = self.server.gate.admit(self.request()).await?;
        if permit.needs_pace_probe() {
            self.server.probe_pace().await;
        }
        permit.reconsider().await
    }

    /// The name of the request in logs: the caller's name for it if there is one, else the token.
    fn id(&self) -> String {
        match self.attempt() {
            Some(header) => String::from_utf8_lossy(&header.value).into_owned(),
            None => self.call.token.to_string(),
        }
    }

    /// The header that holds the caller's name for the request.
    fn attempt(&self) -> Option<&Header> {
        let name = self.server.dialect.attempt.as_ref()?;
        let mut headers = self.call.headers.iter();
        headers.find(|header| header.name == name.as_str())
    }

    fn method(&self) -> Option<Method> {
        Method::from_bytes(self.call.method.as_bytes()).ok()
    }

    /// Whether the call is for another service, or nested too deeply.
    fn misdirected(&self) -> bool {
        self.call.service != self.server.service || self.call.depth > self.server.max_depth
    }

    fn request(&self) -> gate::Request {
        gate::Request {
            token: self.call.token,
            urgency: self.call.urgency,
            caller: self.call.caller.clone(),
            weight: self.call.weight,
            deadline: self.deadline,
            kind: self.call.kind,
            nested: self.call.depth > Depth(0),
            goal: self.call.goal.map(|left| Instant::now() + left),
            class: self.call.class,
            elsewhere: self.call.elsewhere,
            bulk: self.call.bulk,
            delivery: self.server.delivery(&self.entry, self.call.bulk),
        }
    }

    /// Gets a connection before the permit is used, so that the request is refused if the target can't
    /// be reached. Once dispatched, it would be unknown whether it ran.
    async fn connect(
        self,
        permit: Permit,
        sender: Sender,
        receiver: Receiver,
    ) -> Result<(), Error> {
        match self.server.pool.take(self.call.once).await {
            Ok(connection) => {
                let dispatch = Dispatch { permit, connection };
                self.dispatch(dispatch, sender, receiver).await
            }
            Err(error) => {
                log::warn!("target: {error}.");
                self.server.mark_unreachable();
                let refusal = permit.refuse(gate::Cause::Down);
                self.forward_refusal(sender, &refusal).await
            }
        }
    }

    async fn dispatch(
        self,
        dispatch: Dispatch,
        mut sender: Sender,
        receiver: Receiver,
    ) -> Result<(), Error> {
        let Dispatch { permit, connection } = dispatch;
        let content = match self.content(&mut sender, receiver).await {
            Ok(content) => content,
            Err(error) => {
                drop(permit);
                return Err(error);
            }
        };
        let run = self.start(permit);
        match self.send(&run, connection, content, &mut sender).await {
            Sent::Answer(head, connection) => self.deliver(run, head, connection, sender).await,
            failed => self.fail(failed, run, sender).await,
        }
    }

    /// The request's body. If it is streamed, the entry is asked to send it.
    async fn content(&self, sender: &mut Sender, mut receiver: Receiver) -> Result<Content, Error> {
        match self.call.body {
            Payload::Empty => Ok(Content::Empty),
            Payload::Whole => read_body(&mut receiver).await.map(Content::Complete),
            Payload::Streamed => {
                let token = self.call.token;
                sender.send(&Frame::Accepted(Accepted { token })).await?;
                Ok(Content::Streamed(receiver))
            }
        }
    }

    /// Uses the permit: from here on the request may run.
    fn start(&self, permit: Permit) -> Run {
        let load = self.server.load();
        if load.slow {
            self.server.stats().slow_starts.inc();
        }
        let running = permit.dispatch();
        self.server.stats().sent.inc();
        let once = self.call.once;
        Run {
            running,
            parent: self.register_parent(),
            life: self.server.life_name(),
            held: once.then(|| self.server.held.begin(self.call.token)),
            load,
            expected: self.server.expect_bulk(&self.entry, self.call.bulk),
            started: Instant::now(),
        }
    }

    /// Sends the request and waits for the head of the answer, until the deadline. A request that may
    /// not be repeated goes on when the entry disconnects.
    async fn send(
        &self,
        run: &Run,
        mut connection: Connection,
        content: Content,
        sender: &mut Sender,
    ) -> Sent {
        let outgoing = self.outgoing(run.life.as_deref());
        let carried = connection.carried;
        let on_sent = || run.running.record_sent();
        let answer = connection.send(&outgoing, content, &self.server.dialect, on_sent);
        let answered = tokio::select! {
            answered = timeout_at(self.deadline, answer) => answered,
            () = sender.stopped(), if !self.call.once => return Sent::Cancelled,
        };
        match answered {
            Ok(Ok(head)) => Sent::Answer(head, connection),
            Ok(Err(error)) => Sent::Failed(error),
            Err(_) => Sent::TimedOut(carried),
        }
    }

    /// Handles an answer by which the target reports that it did not run the request. If another life
    /// than the expected one has answered, the gate must be notified before more requests are sent.
    fn handle_declined(&self, head: &response::Head, mut connection: Connection) {
        if head.status == StatusCode::MISDIRECTED_REQUEST {
            self.server.wrong_life_answered(&head.headers);
        }
        let pool = self.server.pool.clone();
        tokio::spawn(async move {
            // A connection whose answer goes on is dropped.
            drop(timeout(DECLINED_TIMEOUT, connection.skip_body(MAX_DECLINED_BYTES)).await);
            pool.put(connection);
        });
    }

    /// Returns a connection to the pool after an answer.
    fn release(&self, connection: Connection) {
        if !connection.is_reusable() && connection.has_excess() {
            log::warn!("target: received bytes after the end of an answer.");
            self.server.pool.record_violation();
        }
        self.server.pool.put(connection);
    }

    /// The request as it is sent to the `life` of the target, with the headers that its dialect names.
    fn outgoing(&self, life: Option<&str>) -> Outgoing {
        let dialect = &self.server.dialect;
        let mut headers = Header::map(&self.call.headers);
        if dialect.attempt.is_none() {
            let token = HeaderValue::from_str(&self.call.token.to_string());
            // Never fails: a token consists of digits and letters.
            let token = token.unwrap_or_else(|_| HeaderValue::from_static(""));
            headers.insert(HeaderName::from_static(nest::HEADER), token);
        }
        if let Some(name) = &dialect.deadline {
            let left = self.deadline.saturating_duration_since(Instant::now());
            headers.insert(name, HeaderValue::from(left.as_millis() as u64));
        }
        if let (Some(name), Some(life)) = (&dialect.expected, life)
            && let Ok(value) = HeaderValue::from_str(life)
        {
            headers.insert(name, value);
        }
        if !headers.contains_key(header::HOST)
            && let Ok(host) = HeaderValue::from_str(&self.server.pool.target().to_string())
        {
            headers.insert(header::HOST, host);
        }
        Outgoing {
            method: self.method().unwrap_or_default(),
            uri: self.call.uri.clone(),
            headers,
        }
    }

    /// Registers the request as the parent of the calls that the target makes for it.
    fn register_parent(&self) -> nest::Running {
        match self.attempt() {
            Some(header) => self.server.nests.enter_named(&header.value, self.context()),
            None => self.server.nests.enter(self.call.token, self.context()),
        }
    }

    fn context(&self) -> Context {
        Context {
            urgency: self.call.urgency,
            caller: self.call.caller.clone(),
            deadline: self.deadline,
            depth: self.call.depth,
            allowance: self.call.allowance,
        }
    }

    fn reply(&self, head: &response::Head, notice: Option<Box<Notice>>, allowance: u8) -> Reply {
        Reply {
            token: self.call.token,
            status: head.status.as_u16(),
            headers: Header::forward(&head.headers),
            allowance,
            report: self.server.report(&self.entry, self.call.urgency),
            notice,
        }
    }

    /// Ends a dispatched call without an answer. The request may have run, so this is never a refusal.
    async fn fail(&self, sent: Sent, run: Run, sender: Sender) -> Result<(), Error> {
        let latency = run.started.elapsed();
        let running = run.running;
        let late = matches!(sent, Sent::TimedOut(_));
        self.server.stats().lost.inc();
        let cause = match sent {
            Sent::Answer(..) | Sent::Cancelled => {
                running.finish(End::Cancelled);
                return Ok(());
            }
            Sent::TimedOut(carried) => {
                if carried > 0 {
                    self.server.pool.clear();
                }
                running.finish(End::Failed { latency });
                "the target did not answer in time".to_string()
            }
            Sent::Failed(error @ connection::Error::Lost(_)) => {
                let end = self.server.check_crash().await;
                running.finish(end.unwrap_or(End::Failed { latency }));
                error.to_string()
            }
            // The entry has not sent the complete body, which tells nothing of the target.
            Sent::Failed(error @ connection::Error::Body(_)) => {
                running.finish(End::Cancelled);
                error.to_string()
            }
            Sent::Failed(error) => {
                self.server.pool.record_violation();
                running.finish(End::Failed { latency });
                error.to_string()
            }
        };
        log::warn!(
            "gate: id={} lost ran_ms={} {cause}.",
            self.id(),
            latency.as_millis()
        );
        abort(sender, Abort { late, cause }).await
    }

    /// Sends the refusal of the gate to the entry.
    async fn forward_refusal(&self, sender: Sender, refusal: &gate::Refusal) -> Result<(), Error> {
        self.refuse(sender, refusal.cause(), refusal.retry_after())
            .await
    }

    async fn refuse(
        &self,
        mut sender: Sender,
        cause: Cause,
        retry_after: Duration,
    ) -> Result<(), Error> {
        // Entries need the load report most when a request is refused, so the budget treats it like
        // that of an urgent call.
        let report = self.server.report(&self.entry, Urgency::Urgent);
        let token = self.call.token;
        if let Some(link) = self.server.link_to(&self.entry) {
            link.record(REFUSAL_BYTES);
        }
        sender.push(&Frame::Refusal(Refusal {
            token,
            cause,
            retry_after,
            report,
        }))?;
        sender.finish().await
    }
}

fn elapsed_ms(since: Instant) -> u128 {
    since.elapsed().as_millis()
}

/// Formats the load that the gate had when it decided on a request, for a log line.
fn load_fields(report: &Report) -> String {
    let link = match report.link_ms {
        0 => String::new(),
        link_ms => format!(" link_ms={link_ms}"),
    };
    format!(
        "running={} queued={} limit={} pace={} service_us={}{link}",
        report.running,
        report.waiting(),
        report.limit,
        report.pace,
        report.service_us
    )
}

/// Reads a body that follows its call without waiting for [`Accepted`].
async fn read_body(receiver: &mut Receiver) -> Result<Bytes, Error> {
    let mut body = BytesMut::new();
    loop {
        match receiver.recv().await? {
            Some(Frame::Data(data)) => body.extend_from_slice(&data),
            Some(Frame::End) => return Ok(body.freeze()),
            _ => return Err(Error::Reset("read a body", receiver.peer().to_string())),
        }
    }
}

/// Reports to the entry that a dispatched call ended without a complete answer.
async fn abort(mut sender: Sender, abort: Abort) -> Result<(), Error> {
    sender.push(&Frame::Abort(abort))?;
    sender.finish().await
}
