//! `appleshore evacuate`: evacuates availability zones, and ends evacuations.

use bytes::Bytes;
use store::{Condition, Store};
use unit::Zone;

use crate::daemon::block_on;
use crate::error::Error;
use crate::output;
use crate::place::Place;

/// How the store's counts and logs name this command.
const AGENT: &str = "appleshore-evacuate";

/// The value of an evacuation's object. Its existence alone evacuates the zone.
const VALUE: &[u8] = b"{}";

/// What can be done with evacuations.
#[derive(Debug, clap::Subcommand)]
pub(crate) enum Command {
    /// Lists the evacuated zones, with the version of each evacuation.
    List(Key),
    /// Evacuates a zone: its targets get no more requests.
    Begin(Arguments),
    /// Ends the evacuation of a zone.
    End(Arguments),
}

/// Which zone is meant.
#[derive(Debug, clap::Args)]
pub(crate) struct Arguments {
    /// The zone's name.
    zone: Zone,
    #[command(flatten)]
    key: Key,
}

/// Where the evacuations are.
#[derive(Debug, clap::Args)]
pub(crate) struct Key {
    #[command(flatten)]
    place: Place,
    /// The key prefix of evacuations, as the daemons' settings name it.
    #[arg(long, default_value = "evacuations/")]
    prefix: String,
}

/// Runs one of the commands.
///
/// # Errors
///
/// [`Error::Store`] if the store did not confirm; the command can then be repeated.
pub(crate) fn run(command: &Command) -> Result<(), Error> {
    match command {
        Command::List(key) => list(key),
        Command::Begin(arguments) => begin(arguments),
        Command::End(arguments) => end(arguments),
    }
}

fn list(key: &Key) -> Result<(), Error> {
    let store = key.place.open(AGENT);
    let listing = block_on(async { store.list(&key.prefix).await.map_err(Error::Store) })?;
    let lines = listing.objects.iter().map(|object| {
        let name = object.key.strip_prefix(&key.prefix).unwrap_or(&object.key);
        format!("{name} {}\n", object.version)
    });
    output::print(&lines.collect::<String>())
}

/// Writing the same object again changes nothing that daemons depend on, so a write whose answer was
/// lost may be repeated.
fn begin(arguments: &Arguments) -> Result<(), Error> {
    let (store, key) = arguments.object();
    let value = Bytes::from_static(VALUE);
    let put = async { store.put(&key, value, Condition::Any).await };
    let version = block_on(async { put.await.map_err(Error::Store) })?;
    output::print(&format!(
        "{} is evacuated since {version}\n",
        arguments.zone
    ))
}

fn end(arguments: &Arguments) -> Result<(), Error> {
    let (store, key) = arguments.object();
    let delete = async { store.delete(&key, Condition::Any).await };
    block_on(async { delete.await.map_err(Error::Store) })?;
    output::print(&format!("{} is not evacuated\n", arguments.zone))
}

impl Arguments {
    fn object(&self) -> (Store, String) {
        let key = format!("{}{}", self.key.prefix, self.zone);
        (self.key.place.open(AGENT), key)
    }
}
