//! Reads JSON with comments and reports every fault with its line, column and cause.
//!
//! The syntax tree is walked directly instead of through serde: serde stops at the first error and
//! loses the position behind a `try_from`, while an operator needs the complete list at once.
//! Comments and trailing commas are accepted. The more lenient syntax of JSON5 is rejected, because
//! operators also read these documents with other tools.
//!
//! ```
//! let result = jsonc::read("{ \"slots\": 12, \"slotz\": 1 }", 1_000, |reader, root| {
//!     let fields = reader.object(root, &["slots"])?;
//!     let slots = fields.get("slots")?;
//!     reader.whole(slots, 1..=10)
//! });
//! let error = result.expect_err("two faults");
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
