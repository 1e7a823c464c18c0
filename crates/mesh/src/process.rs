//! A daemon in a runtime of its own, so that it can be killed as a process is.

use appleshore::{Daemon, Dump, Part};
use setting::Setting;
use tokio::runtime::{Builder, Runtime};

/// Threads of each daemon.
const THREADS: usize = 2;

/// One daemon with its threads.
pub struct Process {
    daemon: Option<Daemon>,
    runtime: Option<Runtime>,
}

impl Process {
    /// Starts a daemon that reaches the store as its settings say.
    pub async fn start(setting: Setting) -> Process {
        let runtime = Builder::new_multi_thread()
            .worker_threads(THREADS)
            .enable_all()
            .build();
        let runtime = runtime.expect("threads start");
        let daemon = runtime.spawn(Daemon::start(setting)).await;
        let daemon = daemon
            .expect("the start does not panic")
            .expect("the daemon starts");
        Process {
            daemon: Some(daemon),
            runtime: Some(runtime),
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
