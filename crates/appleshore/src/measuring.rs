//! The measuring budget of the own target, as the rules in force set it.

use std::sync::Arc;
use std::time::Duration;

use feed::Current;
use rule::{Document, Then};
use target::Server;
use tokio::time::sleep;
use unit::{Service, Size, Version};

/// How often the version of the rules is looked at.
const PERIOD: Duration = Duration::from_millis(500);

/// Sets the budget of `server` whenever the rules change, for ever.
pub(crate) async fn run(current: Arc<Current>, server: Arc<Server>, service: Service) {
    let mut seen = Version::NONE;
    loop {
        if let Some(rules) = current.get().filter(|rules| rules.version != seen) {
            seen = rules.version;
            if let Some(bytes) = least(&rules.document, &service) {
                server.set_report_budget(bytes);
            }
        }
        sleep(PERIOD).await;
    }
}

/// The least budget that any rule sets for `service`: each of them is a promise.
fn least(document: &Document, service: &Service) -> Option<Size> {
    let routes = document.rules().iter().filter_map(|rule| match &rule.then {
        Then::Route(route) if route.service == *service => Some(route.measuring),
        _ => None,
    });
    routes.min()
}
