//! Shares a machine's link between short answers and the pieces of long ones.
//!
//! Bytes that a socket has taken can't be overtaken. Therefore the pieces of long answers are small
//! and are written only while little is under way on the link, so that a short answer never waits
//! behind more than some milliseconds of them. [`Pacer`] decides, without I/O; [`Link`] wraps it
//! for tokio and is shared by everything that writes answers.
//!
//! ```
//! use bandwidth::{Class, Pacer, Verdict};
//! use tokio::time::Instant;
//!
//! let now = Instant::now();
//! let mut pacer = Pacer::new(now, "10Mbit/s".parse()?);
//! assert_eq!(Class::of(0, false), Class::Immediate);
//! assert_eq!(Class::of(16_384, false), Class::Paced);
//!
//! // A backlog of 12.5 kB takes 10 ms, so a piece of a long answer waits.
//! pacer.record(now, 12_500);
//! let turn = pacer.join(now, now);
//! assert!(matches!(pacer.claim(now, turn, 4_000), Verdict::Until(_)));
//! # Ok::<(), unit::Error>(())
//! ```

mod class;
mod link;
mod pacer;

pub use class::{Class, IMMEDIATE_BYTES};
pub use link::{Answer, Dump, Expected, Link};
pub use pacer::{Pacer, Turn, Verdict};
