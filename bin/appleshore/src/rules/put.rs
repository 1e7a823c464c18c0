//! `appleshore rules put`: a conditional update that never guesses.

use std::path::PathBuf;
use std::time::Duration;

use bytes::Bytes;
use rule::Document;
use store::{Condition, Object, Store};
use tokio::time::sleep;
use unit::Version;

use super::{Location, Race};
use crate::daemon::block_on;
use crate::error::Error;
use crate::{check, file, output};

/// How often a write is sent again while it is not known whether it was done.
const RESENDS: u32 = 2;

/// How often `--force` begins anew when others write at the same time.
const FORCED: u32 = 5;

/// How often the rules are read back.
const READS: u32 = 5;

/// The pause before a call is made again.
const AGAIN: Duration = Duration::from_millis(200);

/// What `rules put` takes.
#[derive(Debug, clap::Args)]
pub(crate) struct Arguments {
    /// The rules document.
    file: PathBuf,
    #[command(flatten)]
    location: Location,
    #[command(flatten)]
    condition: When,
}

/// What the write may replace.
#[derive(Debug, clap::Args)]
#[group(multiple = false)]
struct When {
    /// Only while the rules are at this version, which is the one that the file was made from.
    #[arg(long, value_name = "VERSION")]
    if_version: Option<Version>,
    /// Only while there are no rules.
    #[arg(long)]
    if_absent: bool,
    /// Whatever version the rules are at.
    #[arg(long)]
    force: bool,
}

/// One document on its way into the store.
struct Put<'a> {
    store: Store,
    key: &'a str,
    document: Document,
}

/// How a conditional write ended.
enum Ended {
    /// The document is in force at this version.
    Written(Version),
    /// The condition did not hold.
    Lost {
        winner: Option<Object>,
        /// The write may have been in force before the winner.
        doubt: bool,
    },
}

/// What is read back after a write that was not confirmed.
enum Now {
    /// The condition still holds.
    Unchanged,
    /// The document, at a version that the condition does not name.
    Ours(Object),
    /// Something else.
    Other(Option<Object>),
}

/// Checks the document and writes it.
///
/// # Errors
///
/// Faults of the document, before anything is sent; [`Error::NoCondition`], [`Error::Race`],
/// [`Error::Beaten`], [`Error::Doubt`], or the store's error when nothing was written.
pub(crate) fn run(arguments: &Arguments) -> Result<(), Error> {
    let document = file::rules(&arguments.file)?;
    check::warn(&arguments.file, &document);
    let put = Put {
        store: arguments.location.open(),
        key: &arguments.location.key,
        document,
    };
    let version = block_on(put.run(&arguments.condition))?;
    output::print(&format!("version {version}\n"))
}

impl Put<'_> {
    async fn run(&self, when: &When) -> Result<Version, Error> {
        if when.force {
            return self.forced().await;
        }
        match when.condition() {
            Some(condition) => self.version(self.write(condition).await?),
            // The version that is current now may be one that the file's author never saw: to
            // take it as the condition would overwrite somebody else's change unseen.
            None => Err(Error::NoCondition(
                self.key.to_string(),
                self.read().await?.map(|object| object.version),
            )),
        }
    }

    /// Writes over whatever version there is.
    ///
    /// Each write still names the version that it replaces. A write without a condition whose
    /// answer is lost could land much later, and take back what another operator has put in force
    /// since.
    async fn forced(&self) -> Result<Version, Error> {
        let mut left = FORCED;
        loop {
            left -= 1;
            let condition = match self.read().await? {
                Some(object) => Condition::Match(object.version),
                None => Condition::Absent,
            };
            match self.write(condition).await? {
                Ended::Lost { doubt: false, .. } if left > 0 => {}
                ended => return self.version(ended),
            }
        }
    }

    /// Writes under a condition, and finds out what became of the write when answers are lost.
    ///
    /// A write whose answer is lost may land later than we read back, so that the old version
    /// there proves nothing. We then send the same write again. Both name the version that they
    /// replace, so that only one of them can land, and an answer to either settles both.
    async fn write(&self, condition: Condition) -> Result<Ended, Error> {
        let mut failed = match self.send(condition).await {
            Ok(version) => return Ok(Ended::Written(version)),
            Err(error) => error,
        };
        let mut left = RESENDS;
        loop {
            let doubt = failed.may_have_written();
            if !doubt && !failed.is_conflict() {
                return Err(Error::Store(failed));
            }
            let Some(now) = self.read_back().await else {
                return Err(self.undecided(failed));
            };
            match self.judge(now, condition) {
                Now::Unchanged if left == 0 => return Err(self.undecided(failed)),
                Now::Unchanged => left -= 1,
                Now::Ours(object) if doubt => {
                    output::note("rules put: an answer was lost; read back, the rules are written");
                    return Ok(Ended::Written(object.version));
                }
                Now::Ours(object) => return Ok(lost(Some(object), false)),
                Now::Other(winner) => return Ok(lost(winner, doubt)),
            }
            sleep(AGAIN).await;
            match self.send(condition).await {
                Ok(version) => return Ok(Ended::Written(version)),
                // What may have landed stays open, whatever a later write is told.
                Err(_) if doubt => {}
                Err(error) => failed = error,
            }
        }
    }

    async fn send(&self, condition: Condition) -> Result<Version, store::Error> {
        let value = Bytes::from(self.document.text().to_string());
        self.store.put(self.key, value, condition).await
    }

    fn judge(&self, now: Option<Object>, condition: Condition) -> Now {
        let version = now.as_ref().map(|object| object.version);
        let unchanged = match condition {
            Condition::Any => false,
            Condition::Absent => version.is_none(),
            Condition::Match(named) => version == Some(named),
        };
        match now {
            _ if unchanged => Now::Unchanged,
            Some(object) if object.value == self.document.text() => Now::Ours(object),
            now => Now::Other(now),
        }
    }

    fn version(&self, ended: Ended) -> Result<Version, Error> {
        match ended {
            Ended::Written(version) => Ok(version),
            Ended::Lost { winner, doubt } => Err(Error::Race(Race::new(
                self.key,
                &self.document,
                winner.as_ref(),
                doubt,
            ))),
        }
    }

    async fn read(&self) -> Result<Option<Object>, Error> {
        self.store.get(self.key).await.map_err(Error::Store)
    }

    /// Reads the rules, trying for a while: a store that loses one answer often loses the next.
    async fn read_back(&self) -> Option<Option<Object>> {
        for _ in 0..READS {
            if let Ok(now) = self.store.get(self.key).await {
                return Some(now);
            }
            sleep(AGAIN).await;
        }
        None
    }

    /// The error when it can't be told what is in force.
    fn undecided(&self, failed: store::Error) -> Error {
        let key = self.key.to_string();
        if failed.may_have_written() {
            Error::Doubt(key, failed)
        } else {
            Error::Beaten(key, failed)
        }
    }
}

impl When {
    /// The condition that was named; `None` when none was, or `--force`.
    fn condition(&self) -> Option<Condition> {
        match self.if_version {
            Some(version) => Some(Condition::Match(version)),
            None => self.if_absent.then_some(Condition::Absent),
        }
    }
}

fn lost(winner: Option<Object>, doubt: bool) -> Ended {
    Ended::Lost { winner, doubt }
}
