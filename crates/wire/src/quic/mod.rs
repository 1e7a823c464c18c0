//! Links over QUIC, with certificates that are pinned to announcements.

pub(crate) mod crypto;
mod identity;
pub(crate) mod link;
pub(crate) mod listener;
pub(crate) mod socket;
pub(crate) mod stream;
mod trust;
mod watchdog;

pub use identity::Identity;
pub use trust::Trust;
