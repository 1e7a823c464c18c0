//! The nodes of a run, and what is injected into them.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use rustix::process::Signal;
use standin::Platform;
use tokio::sync::Mutex as Turn;
use tokio::time::{Instant, sleep};

use crate::check::Broken;
use crate::customers::Customers;
use crate::node::{Links, Node};
use crate::plan::{Cut, Fault};
use crate::proxy::Mode;
use crate::run::Error;
use crate::sent::{Trouble, Window};

/// Of the store's writes, so many are lost in such a time.
const LOST_SHARE: f64 = 0.3;

/// All nodes; clones are the same.
#[derive(Clone)]
pub(crate) struct Fleet {
    /// Whoever has a node's turn does something with its process or target.
    pub(crate) nodes: Arc<Vec<Turn<Node>>>,
    /// What stands before the links of each node.
    pub(crate) links: Arc<Vec<Arc<Links>>>,
    pub(crate) platform: Platform,
    pub(crate) customers: Option<Arc<Customers>>,
    pub(crate) windows: Arc<Mutex<Vec<Window>>>,
    pub(crate) broken: Arc<Mutex<Vec<Broken>>>,
    /// Planned stops kill.
    pub(crate) without_drain: bool,
    pub(crate) seed: u64,
}

impl Fleet {
    /// Injects a fault and ends it again; whether it could be injected.
    pub(crate) async fn inject(&self, fault: Fault) -> Result<bool, Error> {
        let from = Instant::now();
        match fault {
            Fault::Kill(index, lasts) => self.kill(index, lasts).await,
            Fault::Retire(index, lasts) => self.retire(index, lasts).await,
            Fault::Pause(index, lasts) => self.pause(index, lasts).await,
            Fault::Target(index, lasts) => {
                let Ok(mut node) = self.nodes[index].try_lock() else {
                    return Ok(false);
                };
                node.kill_target().await;
                sleep(lasts).await;
                node.start_target().await;
                self.note(Trouble::Other, from);
                Ok(true)
            }
            Fault::Limit(index, rate, lasts) => {
                for max_rate in [Some(rate), Some((rate / 2.0).round())] {
                    if !self.limit(index, max_rate).await {
                        return Ok(false);
                    }
                    sleep(lasts / 2).await;
                }
                self.limit(index, None).await;
                // What is over a limit may be refused.
                self.note(Trouble::Other, from);
                Ok(true)
            }
            Fault::Leave(index, lasts) => {
                if !self.leave(index).await {
                    return Ok(false);
                }
                sleep(lasts).await;
                let mut node = self.nodes[index].lock().await;
                node.kill_target().await;
                node.start_target().await;
                self.note(Trouble::Other, from);
                Ok(true)
            }
            Fault::Way(index, mode, lasts) => {
                let harmed = self.harm(index, lasts, mode, |node, mode| node.way.set(mode));
                let harmed = harmed.await;
                self.note(Trouble::Way(index), from);
                harmed
            }
            Fault::Store(index, mode, lasts) => {
                self.harm(index, lasts, mode, |node, mode| node.store.set(mode))
                    .await
            }
            Fault::Links(index, mode, lasts) => {
                self.harm(index, lasts, mode, |node, mode| node.links.set(mode))
                    .await
            }
            Fault::Down(lasts) => {
                self.platform.fault().down(true);
                sleep(lasts).await;
                self.platform.fault().down(false);
                self.note(Trouble::Other, from);
                Ok(true)
            }
            Fault::Lost(lasts) => {
                self.platform.fault().lose_share(LOST_SHARE, self.seed);
                sleep(lasts).await;
                self.platform.fault().lose_share(0.0, self.seed);
                self.note(Trouble::Other, from);
                Ok(true)
            }
            Fault::LoseWatches => {
                self.platform.fault().lose_watches();
                Ok(true)
            }
            Fault::Rollback(age, away) => {
                let history = self.customers.as_ref().map(|customers| &customers.history);
                let newest = history.map(|history| history.lock().newest());
                let copy = self.platform.snapshot();
                let mark = history
                    .zip(newest)
                    .map(|(history, newest)| history.lock().mark(newest));
                sleep(age).await;
                self.platform.fault().down(true);
                sleep(away).await;
                let back = Instant::now();
                self.platform.restore(copy);
                if let Some((history, mark)) = history.zip(mark) {
                    history.lock().restore(mark, back);
                }
                self.platform.fault().down(false);
                self.note(Trouble::Other, from);
                Ok(true)
            }
            Fault::ReplaceKey(workspace) => {
                Ok(self.change(|customers| customers.replace_key(workspace)))
            }
            Fault::Quota(workspace, rate, burst) => {
                Ok(self.change(|customers| customers.change_quota(workspace, rate, burst)))
            }
            Fault::Hot(workspace, lasts) => {
                self.change(|customers| customers.heat(Some(workspace)));
                sleep(lasts).await;
                Ok(self.change(|customers| customers.heat(None)))
            }
            Fault::Cut(cut, lasts) => {
                self.cut(cut, true);
                sleep(lasts).await;
                self.cut(cut, false);
                self.note(Trouble::Other, from);
                Ok(true)
            }
            Fault::KillAll(lasts) => {
                let mut any = false;
                let mut all = tokio::task::JoinSet::new();
                for index in 0..self.nodes.len() {
                    let fleet = self.clone();
                    all.spawn(async move { fleet.kill(index, lasts).await });
                }
                while let Some(killed) = all.join_next().await {
                    any |= killed.expect("no panic")?;
                }
                Ok(any)
            }
        }
    }

    /// Whether there are customers, who change.
    fn change(&self, change: impl Fn(&Customers)) -> bool {
        let customers = self.customers.as_ref();
        customers.inspect(|customers| change(customers)).is_some()
    }

    /// Cuts daemons off, or lets them come back.
    fn cut(&self, cut: Cut, begins: bool) {
        for index in (0..self.nodes.len()).filter(|index| cut.daemons >> index & 1 == 1) {
            let fault = self.platform.fault_of(&format!("desk-{index}"));
            fault.turn_away(begins.then_some(cut.away));
        }
        if cut.links {
            self.links.iter().for_each(|links| links.cut(begins));
        }
    }

    /// Whether the node has a target, which names this limit from now on.
    async fn limit(&self, index: usize, max_rate: Option<f64>) -> bool {
        let node = self.nodes[index].lock().await;
        let target = node.target();
        target
            .inspect(|target| target.set_max_rate(max_rate))
            .is_some()
    }

    /// Whether the node has a target, which says from now on that it leaves.
    async fn leave(&self, index: usize) -> bool {
        let node = self.nodes[index].lock().await;
        node.target().inspect(|target| target.leave()).is_some()
    }

    /// Sets one of a node's proxies to `mode`, and back after the time.
    async fn harm(
        &self,
        index: usize,
        lasts: Duration,
        mode: Mode,
        set: impl Fn(&Node, Mode),
    ) -> Result<bool, Error> {
        let from = Instant::now();
        set(&*self.nodes[index].lock().await, mode);
        sleep(lasts).await;
        set(&*self.nodes[index].lock().await, Mode::Pass);
        self.note(Trouble::Other, from);
        Ok(true)
    }

    fn note(&self, trouble: Trouble, from: Instant) {
        let to = Instant::now();
        self.windows.lock().push(Window { trouble, from, to });
    }

    async fn kill(&self, index: usize, lasts: Duration) -> Result<bool, Error> {
        let Ok(mut node) = self.nodes[index].try_lock() else {
            return Ok(false);
        };
        let from = Instant::now();
        node.kill().await?;
        sleep(lasts).await;
        node.start().await?;
        self.note(Trouble::Gone(index), from);
        self.note(Trouble::Other, from);
        Ok(true)
    }

    async fn retire(&self, index: usize, lasts: Duration) -> Result<bool, Error> {
        let Ok(mut node) = self.nodes[index].try_lock() else {
            return Ok(false);
        };
        let from = Instant::now();
        if self.without_drain {
            node.signal(Signal::KILL)?;
            node.ended().await?;
        } else {
            node.signal(Signal::TERM)?;
            let ended = node.ended().await?;
            if !ended.is_some_and(|status| status.success()) {
                self.broken.lock().push(Broken::Stop(index));
            }
        }
        self.note(Trouble::Stopping(index), from);
        let gone = Instant::now();
        sleep(lasts).await;
        node.start().await?;
        self.note(Trouble::Gone(index), gone);
        Ok(true)
    }

    async fn pause(&self, index: usize, lasts: Duration) -> Result<bool, Error> {
        let Ok(node) = self.nodes[index].try_lock() else {
            return Ok(false);
        };
        let from = Instant::now();
        node.signal(Signal::STOP)?;
        sleep(lasts).await;
        node.signal(Signal::CONT)?;
        self.note(Trouble::Paused(index), from);
        Ok(true)
    }
}
