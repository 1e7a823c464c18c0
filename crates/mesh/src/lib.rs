//! A small mesh on loopback, for tests, benches and the quickstart.
//!
//! It starts the stand-in for the platform, targets that do what a request's path says, and a
//! daemon beside each, all in one process on addresses of its own under 127.0.0.0/8.
//!
//! ```
//! use mesh::Mesh;
//!
//! # #[tokio::main]
//! # async fn main() {
//! let mesh = Mesh::builder().instances(2).start().await;
//! let answer = mesh.get(0, "/echo/hello").await;
//! assert_eq!((answer.status, answer.outcome.as_str()), (200, "ran"));
//! # }
//! ```

mod address;
mod client;
mod log;
mod mesh;
mod process;
mod relay;
mod target;
mod wait;

pub use address::{Address, Block};
pub use client::{Answer, Client};
pub use log::{Limit, Log, Run};
pub use mesh::{Builder, Mesh, RULES};
pub use process::{Process, THREAD_NAME};
pub use relay::{Pair, Relay};
pub use target::Target;
pub use wait::until;
