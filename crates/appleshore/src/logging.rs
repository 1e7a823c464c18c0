//! The log of a process: one line an event, on standard output.
//!
//! Lines are `key=value` pairs and short words: when, how grave, which part, and what that part
//! says; or JSON objects of the same. Whoever logs never waits: lines go through a bounded queue to a thread of their own, and
//! are counted instead where the queue is full or there are too many in a second.

mod line;

use std::io::{Write, stdout};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use log::{Level, LevelFilter, Record};
use parking_lot::Mutex;
use setting::LogFormat;

pub use line::Line;

use crate::Error;

/// Lines that wait to be written; at 200 bytes each they are 400 KB.
const QUEUE: usize = 2_048;

/// Lines a second that are written of what is no warning, and how many are saved up. A daemon under
/// full load decides some 200 requests a second, and says one line of each at its entry and one at
/// its gate.
const RATE: f64 = 500.0;
const SAVED: f64 = 1_000.0;

/// Warnings and errors have a budget of their own, so that a flood of the others can't hide them.
const GRAVE_RATE: f64 = 100.0;
const GRAVE_SAVED: f64 = 400.0;

/// How long the writer lets lines gather: each write costs a system call and a wake-up.
const GATHER: Duration = Duration::from_millis(50);

/// How long the end of a process waits for its last lines.
const FLUSH: Duration = Duration::from_millis(300);

static WRITER: OnceLock<Writer> = OnceLock::new();

/// The queue to the thread that writes, and what may go into it.
struct Writer {
    queue: SyncSender<Job>,
    budget: Mutex<[Budget; 2]>,
    left_out: AtomicU64,
}

enum Job {
    Line(String),
    /// Tells when all lines before it are written.
    Flush(SyncSender<()>),
}

/// Lines that may still be written.
struct Budget {
    rate: f64,
    saved: f64,
    level: f64,
    at: Instant,
}

/// Starts the log at `level`, with lines of the given format.
///
/// # Errors
///
/// [`Error::Log`] if the process has a log already.
pub fn start(level: LevelFilter, format: LogFormat) -> Result<(), Error> {
    let (queue, lines) = sync_channel(QUEUE);
    let writer = Writer {
        queue,
        budget: Mutex::new([
            Budget::new(RATE, SAVED),
            Budget::new(GRAVE_RATE, GRAVE_SAVED),
        ]),
        left_out: AtomicU64::new(0),
    };
    // A second start fails below.
    let _ = WRITER.set(writer);
    fern::Dispatch::new()
        .level(level)
        .level_for("quinn", LevelFilter::Warn)
        .level_for("gotham", LevelFilter::Warn)
        .format(move |out, message, record| {
            let line = Line::of(SystemTime::now(), record.level(), &message.to_string());
            out.finish(format_args!("{}", line.written(format)));
        })
        .chain(fern::Output::call(take))
        .apply()?;
    thread::spawn(move || write(&lines, format));
    Ok(())
}

/// Waits a moment until the lines so far are written, for the end of a process.
pub fn flush() {
    let Some(writer) = WRITER.get() else {
        return;
    };
    let (done, wait) = sync_channel(1);
    if writer.queue.try_send(Job::Flush(done)).is_ok() {
        // A reader of the log that has stopped must not hold up the end.
        let _ = wait.recv_timeout(FLUSH);
    }
}

/// Lines that were left out since the start.
pub fn left_out() -> u64 {
    WRITER
        .get()
        .map_or(0, |writer| writer.left_out.load(Ordering::Relaxed))
}

fn take(record: &Record<'_>) {
    let Some(writer) = WRITER.get() else {
        return;
    };
    let grave = usize::from(record.level() <= Level::Warn);
    let allowed = writer.budget.lock()[grave].take(Instant::now());
    let sent = allowed && {
        let line = Job::Line(record.args().to_string());
        writer.queue.try_send(line).is_ok()
    };
    if !sent {
        writer.left_out.fetch_add(1, Ordering::Relaxed);
    }
}

/// Writes lines as they come, gathered. It ends with the process.
fn write(lines: &Receiver<Job>, format: LogFormat) {
    let mut told = 0;
    while let Ok(first) = lines.recv() {
        thread::sleep(GATHER);
        let mut text = String::new();
        let mut waiting = Vec::new();
        for line in std::iter::once(first).chain(lines.try_iter()) {
            match line {
                Job::Line(line) => {
                    text.push_str(&line);
                    text.push('\n');
                }
                Job::Flush(done) => waiting.push(done),
            }
        }
        let left_out = left_out();
        if left_out > told {
            let message = format!("log: left_out={}.", left_out - told);
            let line = Line::of(SystemTime::now(), Level::Warn, &message);
            text.push_str(&line.written(format));
            text.push('\n');
            told = left_out;
        }
        let mut out = stdout().lock();
        // There is nowhere to report to that nobody reads the log.
        let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
        for done in waiting {
            let _ = done.send(());
        }
    }
}

impl Budget {
    fn new(rate: f64, saved: f64) -> Budget {
        Budget {
            rate,
            saved,
            level: saved,
            at: Instant::now(),
        }
    }

    fn take(&mut self, now: Instant) -> bool {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = now;
        self.level = (self.level + passed * self.rate).min(self.saved);
        let enough = self.level >= 1.0;
        if enough {
            self.level -= 1.0;
        }
        enough
    }
}
