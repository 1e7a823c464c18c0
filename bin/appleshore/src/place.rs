//! How commands reach the platform's store.

use std::net::SocketAddr;

use store::Store;
use store::http::Client;
use unit::Span;

/// Where the platform's store is.
#[derive(Debug, clap::Args)]
pub(crate) struct Place {
    /// The platform's store, such as 10.0.0.2:2379,10.0.0.3:2379.
    #[arg(long, value_delimiter = ',', required = true)]
    store: Vec<SocketAddr>,
    /// How long one call on the store may take.
    #[arg(long, default_value = "3s")]
    timeout: Span,
}

impl Place {
    /// Opens the store. `agent` names the command in the store's counts and logs.
    pub(crate) fn open(&self, agent: &str) -> Store {
        let client = Client::builder().peers(&self.store).agent(agent);
        client.timeout(self.timeout.0).open()
    }
}
