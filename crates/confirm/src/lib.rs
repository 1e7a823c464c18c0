//! Decides how long a configuration counts as confirmed by the platform's store.
//!
//! A [`Confirmation`] states that at a certain [`Moment`] the listed versions were the newest in the
//! store. Moments are those of a [`Clock`] that also counts the time for which the machine was
//! suspended. A [`Holding`] keeps the newest confirmation of one daemon and decides from when on the
//! rules in force are confirmed; a [`Schedule`] decides who reads the store and when. Nothing here
//! does I/O.

mod clock;
mod confirmation;
mod holding;
mod report;
mod schedule;

pub use clock::{Clock, Moment};
pub use confirmation::Confirmation;
pub use holding::{Holding, Offer};
pub use report::{Content, Report};
pub use schedule::{Place, Schedule};
