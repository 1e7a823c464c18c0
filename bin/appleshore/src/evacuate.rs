//! `appleshore evacuate`: evacuates availability zones, and ends evacuations.

use std::net::SocketAddr;

use bytes::Bytes;
use store::http::Client;
use store::{Condition, Store};
use unit::{Span, Zone};

use crate::daemon::block_on;
use crate::error::Error;
use crate::output;

/// How the store's counts and logs name this command.
const AGENT: &str = "appleshore-evacuate";

/// The value of an evacuation's object. Its existence alone evacuates the zone.
const VALUE: &[u8] = b"{}";

/// What can be done with evacuations.
#[derive(Debug, clap::Subcommand)]
pub(crate) enum Command {
    /// Lists the evacuated zones, with the version of each evacuation.
    List(Place),
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
    place: Place,
}

/// Where the evacuations are.
#[derive(Debug, clap::Args)]
pub(crate) struct Place {
    /// The platform's store, such as 10.0.0.2:2379,10.0.0.3:2379.
    #[arg(long, value_delimiter = ',', required = true)]
    store: Vec<SocketAddr>,
    /// The key prefix of evacuations, as the daemons' settings name it.
    #[arg(long, default_value = "evacuations/")]
    prefix: String,
    /// How long one call on the store may take.
    #[arg(long, default_value = "3s")]
    timeout: Span,
}

impl Place {
    fn open(&self) -> Store {
        let client = Client::builder().peers(&self.store).agent(AGENT);
        client.timeout(self.timeout.0).open()
    }
}

/// Runs one of the commands.
///
/// # Errors
///
/// [`Error::Store`] if the store did not confirm; the command can then be repeated.
pub(crate) fn run(command: &Command) -> Result<(), Error> {
    match command {
        Command::List(place) => list(place),
        Command::Begin(arguments) => begin(arguments),
        Command::End(arguments) => end(arguments),
    }
}

fn list(place: &Place) -> Result<(), Error> {
    let store = place.open();
    let listing = block_on(async { store.list(&place.prefix).await.map_err(Error::Store) })?;
    let lines = listing.objects.iter().map(|object| {
        let name = object
            .key
            .strip_prefix(&place.prefix)
            .unwrap_or(&object.key);
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
        let key = format!("{}{}", self.place.prefix, self.zone);
        (self.place.open(), key)
    }
}
