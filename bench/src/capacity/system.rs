//! What the system says of this process: memory and processor time.

use std::error::Error;
use std::fs;
use std::hint::black_box;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::path;

/// Result of an experiment.
pub(crate) type Outcome<T> = Result<T, Box<dyn Error>>;

/// Resident bytes of this process.
pub(crate) fn resident() -> Outcome<f64> {
    Ok(path::resident()? as f64 * 1_024.0)
}

/// Processor seconds that the present thread has spent, by the scheduler's count.
pub(crate) fn thread_cpu() -> Outcome<f64> {
    let text = fs::read_to_string("/proc/thread-self/schedstat")?;
    let first = text.split_whitespace().next();
    let nanoseconds: f64 = first.ok_or("no schedstat")?.parse()?;
    Ok(nanoseconds / 1e9)
}

/// What `job` makes, and by how much resident memory has grown meanwhile, in bytes.
pub(crate) fn grown<T>(job: impl FnOnce() -> T) -> Outcome<(T, f64)> {
    let before = resident()?;
    let made = job();
    Ok((made, (resident()? - before).max(0.0)))
}

/// The shortest of `rounds` runs of `job`, in microseconds: what other load of the machine adds is
/// never part of the shortest.
pub(crate) fn shortest<T>(rounds: usize, mut job: impl FnMut() -> T) -> f64 {
    let run = |_| {
        let start = Instant::now();
        black_box(job());
        start.elapsed()
    };
    let least = (0..rounds).map(run).min().unwrap_or(Duration::ZERO);
    least.as_secs_f64() * 1e6
}

/// An experiment that runs in a thread and a runtime of its own, beside others.
pub(crate) struct Beside<T>(JoinHandle<Result<T, String>>);

impl<T: Send + 'static> Beside<T> {
    /// Starts `job`; what it makes runs on one thread, whose processor time is its own.
    pub(crate) fn start<F: Future<Output = Outcome<T>>>(
        job: impl FnOnce() -> F + Send + 'static,
    ) -> Beside<T> {
        Beside(std::thread::spawn(move || {
            let mut builder = tokio::runtime::Builder::new_current_thread();
            let runtime = builder.enable_all().build();
            let runtime = runtime.map_err(|error| error.to_string())?;
            runtime.block_on(job()).map_err(|error| error.to_string())
        }))
    }

    /// Waits for the result.
    pub(crate) fn end(self) -> Outcome<T> {
        let ended = self.0.join().map_err(|_| "an experiment panicked")?;
        Ok(ended?)
    }
}
