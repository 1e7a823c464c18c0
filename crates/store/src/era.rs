//! The era of the store, as one process knows it.
//!
//! A store that comes back from an older copy gives revisions out again. Its answers name an era that
//! rises by one each time, so that nothing of two eras is taken for the same.

use std::sync::Arc;

use tokio::sync::watch;
use unit::Era;

use crate::{Kind, Step};

/// The newest era that this process has heard of; clones share it.
#[derive(Debug, Clone)]
pub struct Eras {
    newest: Arc<watch::Sender<Option<Era>>>,
}

/// What a call knew when it was sent, by which its answer is judged.
#[derive(Debug)]
pub struct Sent {
    eras: Eras,
    step: Step,
    era: Option<Era>,
}

impl Default for Eras {
    fn default() -> Eras {
        Eras {
            newest: Arc::new(watch::Sender::new(None)),
        }
    }
}

impl Eras {
    /// The newest era; `None` before any was heard of.
    pub fn newest(&self) -> Option<Era> {
        *self.newest.borrow()
    }

    /// Takes in an era that the store or a peer has told; an older one changes nothing.
    pub fn learn(&self, era: Era) {
        self.newest.send_if_modified(|newest| {
            let is_news = newest.is_none_or(|newest| newest < era);
            if is_news {
                *newest = Some(era);
            }
            is_news
        });
    }

    /// Resolves once an era after `known` is the newest, with it.
    pub async fn after(&self, known: Option<Era>) -> Era {
        let mut changes = self.newest.subscribe();
        loop {
            let newest = *changes.borrow_and_update();
            if let Some(newest) = newest.filter(|newest| Some(*newest) > known) {
                return newest;
            }
            // The sender lives as long as this handle.
            let _ = changes.changed().await;
        }
    }

    /// Notes what is known as a call is sent.
    pub fn sent(&self, step: Step) -> Sent {
        Sent {
            eras: self.clone(),
            step,
            era: self.newest(),
        }
    }
}

impl Sent {
    /// The era of an answer that names `named`, which the versions in it belong to.
    ///
    /// An answer that names none, or one below what was known when the call was sent, is of the era
    /// known then: the store answers calls in the order of its eras, so its header must be wrong.
    ///
    /// # Errors
    ///
    /// [`Kind::Former`] if a newer era was heard of meanwhile: what the answer says is gone.
    pub fn answered(&self, named: Option<Era>) -> Result<Era, Kind> {
        let known = self.era.unwrap_or_default();
        let era = match named {
            Some(era) if era < known => {
                let step = self.step;
                log::warn!("store: call={step} answers in era {era}, below the known {known}.");
                known
            }
            Some(era) => {
                self.eras.learn(era);
                era
            }
            None => known,
        };
        match self.eras.newest() {
            Some(newest) if newest > era => Err(Kind::Former(era, newest)),
            _ => Ok(era),
        }
    }
}
