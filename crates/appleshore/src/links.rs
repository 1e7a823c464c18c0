//! How the links of one daemon are set up, over QUIC or TCP.

use std::sync::Arc;
use std::sync::OnceLock;

use entry::Entry;
use feed::Feed;
use roster::{Record, Shared};
use setting::Setting;
use unit::{Fingerprint, Instance, Report};
use wire::{Dialer, Greeter, Greeting, Identity, Listener, Note, Topic, Trust, codec};

use crate::directory::Directory;
use crate::error::Error;
use crate::profile::{Links, Profile};

/// What tells this life of the daemon from others.
pub(crate) enum Life {
    /// A certificate.
    Quic(Identity),
    /// A random number.
    Tcp(Fingerprint),
}

/// The parts that take in what comes with links; they are built behind the links, on which they
/// depend themselves.
#[derive(Default)]
pub(crate) struct Hands {
    feed: OnceLock<Feed>,
    entry: OnceLock<Arc<Entry>>,
}

impl Hands {
    /// Ties the links to the parts.
    pub(crate) fn give(&self, feed: &Feed, entry: &Arc<Entry>) {
        // They are given once, by the start of the daemon.
        let _ = self.feed.set(feed.clone());
        let _ = self.entry.set(entry.clone());
    }

    fn heard(&self, greeting: &Greeting) {
        let record: Record = match codec::unpack(&greeting.card) {
            Ok(record) => record,
            Err(error) => {
                let peer = &greeting.instance;
                return log::warn!("links: peer={peer} greets without an announcement: {error}.");
            }
        };
        if let Some(feed) = self.feed.get() {
            feed.greeted(&record);
        }
    }

    fn told(&self, from: &Instance, note: &Note) {
        let report: Report = match (note.topic, codec::unpack(&note.payload)) {
            (Topic::Load, Ok(report)) => report,
            (topic, _) => return log::warn!("links: peer={from} tells something of {topic}."),
        };
        if let Some(entry) = self.entry.get() {
            entry.receive_report(from, report);
        }
    }
}

impl Life {
    pub(crate) fn draw(setting: &Setting, profile: &Profile) -> Result<Life, Error> {
        Ok(match profile.links {
            Links::Quic => Life::Quic(Identity::fresh(setting.instance.clone())?),
            Links::Tcp => Life::Tcp(Fingerprint(rand::random())),
        })
    }

    pub(crate) fn fingerprint(&self) -> Fingerprint {
        match self {
            Life::Quic(identity) => identity.fingerprint(),
            Life::Tcp(fingerprint) => *fingerprint,
        }
    }

    /// Binds the link address, and makes what dials others.
    pub(crate) async fn links(
        self,
        setting: &Setting,
        roster: &Arc<Shared>,
        directory: &Arc<Directory>,
        hands: &Arc<Hands>,
    ) -> Result<(Listener, Dialer), Error> {
        match self {
            Life::Quic(identity) => {
                let known = directory.clone();
                let trust = Trust::new(move |fingerprint| known.name(fingerprint));
                let listener = Listener::bind(setting.link, &identity, trust)?;
                let dialer = Dialer::bind(identity, setting.link.ip())?;
                Ok((listener, dialer))
            }
            Life::Tcp(_) => {
                let greeter = greeter(roster, hands);
                let listener = Listener::plain(setting.link, greeter.clone()).await?;
                Ok((listener, Dialer::plain(greeter)))
            }
        }
    }
}

fn greeter(roster: &Arc<Shared>, hands: &Arc<Hands>) -> Greeter {
    let roster = roster.clone();
    let (hears, learns) = (hands.clone(), hands.clone());
    Greeter {
        own: Arc::new(move || {
            let own = roster.with(|roster| roster.own_record().clone());
            Greeting {
                instance: own.instance.clone(),
                fingerprint: own.fingerprint,
                // A record of names and numbers always has a packed form.
                card: codec::pack(&own).unwrap_or_default().to_vec(),
            }
        }),
        heard: Arc::new(move |greeting| hears.heard(greeting)),
        told: Arc::new(move |from, note| learns.told(from, &note)),
    }
}
