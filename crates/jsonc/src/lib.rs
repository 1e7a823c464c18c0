//! Reads JSON with comments and gives every fault its line, column and cause.
//!
//! We walk the parsed tree by hand instead of through serde: serde stops at the first fault and
//! knows no positions behind a `try_from`, while an operator wants the whole list at once.
//! Comments and trailing commas are taken; the looser forms of JSON5 are refused, because a
//! document is also read by the operators' other tools.
//!
//! ```
//! let read = jsonc::read("{ \"slots\": 12, \"slotz\": 1 }", 1_000, |reader, root| {
//!     let fields = reader.object(root, &["slots"])?;
//!     let slots = fields.get("slots")?;
//!     reader.whole(slots, 1..=10)
//! });
//! let error = read.expect_err("two faults");
//! assert_eq!(
//!     error.to_string(),
//!     "line 1, column 12: 12 is out of range: expected a whole number from 1 to 10\n\
//!      line 1, column 16: unknown field \"slotz\": expected slots"
//! );
//! ```

mod fault;
mod fields;
mod lines;
mod reader;

pub use fault::{Error, Fault, Position};
pub use fields::{Field, Fields};
pub use jsonc_parser::ast::Value;
pub use lines::Lines;
pub use reader::{Reader, offset, read};
