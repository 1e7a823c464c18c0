//! A daemon in a runtime of its own, so that it can be killed as a process is.

use std::time::Duration;

use appleshore::{Daemon, Dump, Part};
use setting::Setting;
use store::Store;
use tokio::runtime::{Builder, Runtime};

/// Threads of each daemon.
const THREADS: usize = 2;

/// The name of the threads that belong to daemons.
pub const THREAD_NAME: &str = "appleshored";

/// One daemon with its threads.
pub struct Process {
    daemon: Option<Daemon>,
    runtime: Option<Runtime>,
}

impl Process {
    /// Starts a daemon that reaches the store as its settings say.
    pub async fn start(setting: Setting) -> Process {
        Process::start_over(setting, |store| store).await
    }

    /// Starts a daemon whose way to the store is what `wrap` makes of it.
    pub async fn start_over(
        setting: Setting,
        wrap: impl FnOnce(Store) -> Store + Send + 'static,
    ) -> Process {
        let runtime = Builder::new_multi_thread()
            .worker_threads(THREADS)
            .thread_name(THREAD_NAME)
            .enable_all()
            .build();
        let runtime = runtime.expect("threads start");
        let daemon = runtime
            .spawn(async move {
                let store = store::http::Client::builder()
                    .peers(&setting.store)
                    .agent(setting.instance.as_str())
                    .open();
                Daemon::start_with(setting, wrap(store)).await
            })
            .await;
        let daemon = daemon
            .expect("the start does not panic")
            .expect("the daemon starts");
        Process {
            daemon: Some(daemon),
            runtime: Some(runtime),
        }
    }

    /// Stops all threads for `span`, as when the process is paused.
    pub fn pause(&self, span: Duration) {
        if let Some(runtime) = &self.runtime {
            for _ in 0..THREADS {
                runtime.spawn(async move { std::thread::sleep(span) });
            }
        }
    }

    /// The state of one part.
    pub fn dump(&self, part: Part) -> Dump {
        self.daemon.as_ref().expect("the daemon runs").dump(part)
    }

    /// Stops as planned, and returns when the daemon has ended.
    pub async fn drain(mut self) {
        let (daemon, runtime) = (self.daemon.take(), self.runtime.as_ref());
        if let (Some(daemon), Some(runtime)) = (daemon, runtime) {
            runtime
                .spawn(daemon.drain())
                .await
                .expect("the stop does not panic");
        }
    }

    /// Ends all at once: no task goes on, and all sockets are closed.
    pub fn kill(self) {}
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}
