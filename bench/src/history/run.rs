//! Runs one schedule on real code and takes down what happens.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};
use unit::Outcome;

use super::plan::{Fault, INSTANCES, Order, Plan, What};
use super::record::{Event, History, Run, Seen, Send};
use super::rules;
use super::safeguard::Safeguard;
use super::world::{Failed, World};

/// How often the rules in force are looked at.
const LOOK: Duration = Duration::from_millis(10);

/// How long a killed instance or target stays away.
const AWAY: Duration = Duration::from_millis(150);

/// Time for ends and releases to reach the store after the faults.
const SETTLE: Duration = Duration::from_millis(400);

/// A key that was never run is sent again so often, with this pause.
const LAST_TRIES: usize = 20;
const LAST_PAUSE: Duration = Duration::from_millis(400);

/// Added to each call by a slow store, and to each delayed write.
const SLOW: Duration = Duration::from_millis(60);

type Shared = Arc<tokio::sync::Mutex<World>>;

/// Runs `plan` in a fresh world.
pub(crate) async fn run(plan: &Plan, without: Option<Safeguard>) -> Result<History, Failed> {
    let world = World::start(plan.form, without).await?;
    let platform = world.platform.clone();
    let world: Shared = Arc::new(tokio::sync::Mutex::new(world));
    let begin = Instant::now();
    let events = Arc::new(Mutex::new(Vec::new()));
    let seen = Arc::new(Mutex::new(Vec::new()));
    let watcher = tokio::spawn(watch(world.clone(), begin, seen.clone()));
    let mut operators = JoinSet::new();
    for (operator, times) in plan.edits.iter().enumerate() {
        operators.spawn(rules::operate(
            platform.clone(),
            operator,
            times.clone(),
            begin,
        ));
    }
    let mut faults = JoinSet::new();
    for fault in &plan.faults {
        let scene = Scene {
            world: world.clone(),
            events: events.clone(),
            begin,
        };
        faults.spawn(scene.befall(fault.clone()));
    }
    let mut sends = send_all(&world, &plan.sends, begin).await;
    while let Some(befell) = faults.join_next().await {
        befell??;
    }
    let edits = operators.join_all().await.concat();
    // A kill may have come while another one's instance was on its way back.
    for index in 0..INSTANCES {
        start(&world, index).await?;
    }
    sleep(SETTLE).await;
    sends.extend(last(&world, &plan.sends, &sends, begin).await);
    watcher.abort();
    let seen = std::mem::take(&mut *seen.lock());
    let kept = rules::kept(&platform.store()).await?;
    let runs = world.lock().await.runs();
    let mut runs: Vec<Run> = runs
        .into_iter()
        .map(|(target, run)| Run {
            target,
            path: run.path,
            at: run.at.saturating_duration_since(begin),
        })
        .collect();
    runs.sort_by_key(|run| run.at);
    let faults = std::mem::take(&mut *events.lock());
    Ok(History {
        seed: plan.seed,
        sends,
        runs,
        seen,
        edits,
        kept,
        faults,
    })
}

/// Sends all at their times and waits for their answers.
async fn send_all(world: &Shared, orders: &[Order], begin: Instant) -> Vec<Send> {
    let sends = orders.iter().map(|order| {
        let (world, order) = (world.clone(), order.clone());
        tokio::spawn(async move {
            sleep_until(begin + order.at).await;
            send(&world, &order, begin, false).await
        })
    });
    let sends: Vec<_> = sends.collect();
    let mut done = Vec::new();
    for send in sends {
        done.extend(send.await);
    }
    done
}

async fn send(world: &Shared, order: &Order, begin: Instant, last: bool) -> Send {
    let at = begin.elapsed();
    let way = world.lock().await.way(order.entry);
    let told = way.send(order, begin).await;
    Send {
        path: order.path.clone(),
        key: order.key.clone(),
        body: order.body.clone(),
        entry: order.entry,
        at,
        last,
        told,
    }
}

/// Sends each key once more, and again while it is told "not run" or may still be released.
async fn last(world: &Shared, orders: &[Order], sends: &[Send], begin: Instant) -> Vec<Send> {
    let mut keys: Vec<&Order> = orders.iter().filter(|order| order.key.is_some()).collect();
    keys.sort_by_key(|order| (&order.key, order.at));
    keys.dedup_by_key(|order| &order.key);
    let mut tasks = JoinSet::new();
    for first in keys {
        let free = sends
            .iter()
            .filter(|send| send.key == first.key)
            .all(|send| send.outcome() == Some(Outcome::NotRun));
        let tries = if free { LAST_TRIES } else { 1 };
        tasks.spawn(send_last(world.clone(), first.clone(), tries, begin));
    }
    let mut sends = tasks.join_all().await.concat();
    sends.sort_by_key(|send| send.at);
    sends
}

async fn send_last(world: Shared, first: Order, tries: usize, begin: Instant) -> Vec<Send> {
    let key = first.key.clone().unwrap_or_default();
    let mut sends = Vec::new();
    for number in 0..tries {
        let order = Order {
            path: format!("/order/{key}-last{number}"),
            entry: (first.entry + number) % INSTANCES,
            ..first.clone()
        };
        let send = send(&world, &order, begin, true).await;
        let ran = send.outcome() == Some(Outcome::Ran);
        sends.push(send);
        if ran {
            break;
        }
        sleep(LAST_PAUSE).await;
    }
    sends
}

/// Starts a killed instance once its addresses are free.
async fn start(world: &Shared, index: usize) -> Result<(), Failed> {
    if world.lock().await.runs_node(index) {
        return Ok(());
    }
    let addresses = world.lock().await.addresses(index);
    addresses.free().await?;
    world.lock().await.start_node(index).await
}

/// Notes the rules in force at each daemon whenever they have changed.
async fn watch(world: Shared, begin: Instant, seen: Arc<Mutex<Vec<Seen>>>) {
    let mut last: Vec<Option<(u32, u64, Vec<String>)>> = vec![None; INSTANCES];
    loop {
        for (daemon, last) in last.iter_mut().enumerate() {
            let now = world.lock().await.rules_at(daemon);
            if now.is_none() || now == *last {
                continue;
            }
            last.clone_from(&now);
            if let Some((life, version, names)) = now {
                seen.lock().push(Seen {
                    daemon,
                    life,
                    at: begin.elapsed(),
                    version,
                    names,
                });
            }
        }
        sleep(LOOK).await;
    }
}

/// Where a fault befalls.
struct Scene {
    world: Shared,
    events: Arc<Mutex<Vec<Event>>>,
    begin: Instant,
}

impl Scene {
    async fn befall(self, fault: Fault) -> Result<(), Failed> {
        sleep_until(self.begin + fault.at).await;
        let Fault {
            span,
            instance,
            what,
            ..
        } = fault;
        match &what {
            What::KillBefore(path) | What::KillDuring(path) | What::KillAfter(path) => {
                let instance = self.gate_of(path, instance).await;
                self.kill(instance, &format!("{what}, {path}")).await?;
            }
            What::KillTarget => self.kill_target(instance).await,
            What::Pause => {
                self.note(&format!("{what}: {instance} for {span:?}"));
                self.world.lock().await.pause(instance, span);
                sleep(span).await;
            }
            What::Silence(to) => {
                self.note(&format!("{what}: {instance} to {to}"));
                self.world.lock().await.silence(instance, *to);
            }
            _ => {
                self.note(&format!("{what}: {instance} for {span:?}"));
                self.switch(&what, instance, true).await;
                sleep(span).await;
                self.switch(&what, instance, false).await;
                self.note(&format!("{what}: over"));
            }
        }
        Ok(())
    }

    /// The gate that runs the request of `path`, or else `instance`.
    async fn gate_of(&self, path: &str, instance: usize) -> usize {
        let runs = self.world.lock().await.runs();
        let run = runs.iter().find(|(_, run)| run.path == path);
        run.map_or(instance, |(target, _)| *target)
    }

    async fn kill(&self, instance: usize, what: &str) -> Result<(), Failed> {
        self.note(&format!("{what}: {instance}"));
        self.world.lock().await.kill_node(instance);
        sleep(AWAY).await;
        start(&self.world, instance).await?;
        self.note(&format!("{instance} is back"));
        Ok(())
    }

    async fn kill_target(&self, instance: usize) {
        self.note(&format!("target killed: {instance}"));
        self.world.lock().await.kill_target(instance).await;
        sleep(AWAY).await;
        self.world.lock().await.start_target(instance).await;
        self.note(&format!("target {instance} is back"));
    }

    async fn switch(&self, what: &What, instance: usize, on: bool) {
        let world = self.world.lock().await;
        let whole = world.platform.fault();
        match what {
            What::LoseAnswers(count) if on => world.fault_of(instance).lose_next(*count),
            What::DelayWrites(count) if on => world.fault_of(instance).delay_next(*count, SLOW * 4),
            What::LoseAnswers(_) => world.fault_of(instance).lose_next(0),
            What::DelayWrites(_) => world.fault_of(instance).delay_next(0, Duration::ZERO),
            What::Down => whole.down(on),
            What::Slow => whole.slow(if on { SLOW } else { Duration::ZERO }),
            What::DropWatches => whole.drop_watches(on),
            What::Hold => world.fault_of(instance).hold(on),
            What::Cut(to) => world.cut(instance, *to, on),
            What::Alone => {
                for peer in (0..INSTANCES).filter(|peer| *peer != instance) {
                    world.cut(instance, peer, on);
                }
            }
            _ => {}
        }
    }

    fn note(&self, what: &str) {
        self.events.lock().push(Event {
            at: self.begin.elapsed(),
            what: what.to_string(),
        });
    }
}
