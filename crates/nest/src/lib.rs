//! The context that nested calls inherit from the running call that makes them.
//!
//! While a call runs at the target, its daemon keeps the call's [`Context`] in a [`Table`] under
//! the call's token, and passes the token to the target in the [`HEADER`]. The target copies this
//! header to the calls that it makes over the outbound port, where the daemon looks up the token.
//!
//! The header does not carry the context itself, because a caller could then forge urgency and
//! depth, and a target could spend one retry allowance several times. With the table, a token is
//! valid only at the daemon whose target runs the call and only while the call runs, and all nested
//! calls share one allowance.
//!
//! ```
//! use nest::{Context, Table};
//! use tokio::time::{Duration, Instant};
//! use unit::{Depth, Token, Urgency};
//!
//! let table = Table::default();
//! let context = Context {
//!     urgency: Urgency::Urgent,
//!     caller: "clerk@court".parse()?,
//!     deadline: Instant::now() + Duration::from_secs(2),
//!     depth: Depth(1),
//!     allowance: 2,
//! };
//! let running = table.enter(Token(7), context);
//! assert_eq!(table.find(Token(7)).map(|parent| parent.context().depth), Some(Depth(1)));
//! drop(running);
//! assert!(table.find(Token(7)).is_none());
//! # Ok::<(), unit::Error>(())
//! ```

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;
use unit::{Caller, Depth, Digest, Token, Urgency};

/// The header that a target copies from the request that it runs to the calls that it makes.
///
/// On the callers' port the header is ignored and removed, since outside callers have no running
/// call.
pub const HEADER: &str = "x-appleshore-call";

const SHARD_COUNT: usize = 16;

/// The properties that nested calls inherit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Context {
    /// The urgency of the running call.
    pub urgency: Urgency,
    /// The caller of the outermost request.
    pub caller: Caller,
    /// The deadline of the outermost request.
    pub deadline: Instant,
    /// The nesting depth of the running call.
    pub depth: Depth,
    /// Retries that may still be requested in the whole tree of nested calls.
    pub allowance: u8,
}

/// A running call, as its nested calls see it. Clones share the allowance and the nested time.
#[derive(Debug, Clone)]
pub struct Parent {
    context: Arc<Context>,
    allowance_left: Arc<Mutex<u8>>,
    /// Total duration of the nested calls so far.
    nested_time: Arc<Mutex<Duration>>,
}

/// The running calls of one daemon's target. Clones share the table.
#[derive(Debug, Clone)]
pub struct Table {
    shards: Arc<Vec<Mutex<HashMap<Token, Parent>>>>,
}

/// Keeps a running call in the table; its token is invalid once this is dropped.
#[derive(Debug)]
#[must_use = "the context is gone when the guard is dropped"]
pub struct Running {
    table: Table,
    token: Token,
    parent: Parent,
}

impl Default for Table {
    fn default() -> Table {
        let shards = (0..SHARD_COUNT).map(|_| Mutex::default()).collect();
        Table {
            shards: Arc::new(shards),
        }
    }
}

impl Table {
    /// Registers `context` under `token` until the guard is dropped.
    pub fn enter(&self, token: Token, context: Context) -> Running {
        let allowance_left = Arc::new(Mutex::new(context.allowance));
        let parent = Parent {
            context: Arc::new(context),
            allowance_left,
            nested_time: Arc::default(),
        };
        self.shard(token).lock().insert(token, parent.clone());
        Running {
            table: self.clone(),
            token,
            parent,
        }
    }

    /// Registers `context` under the name that the caller has given the request, for targets that
    /// include this name in the names of their nested calls.
    pub fn enter_named(&self, name: &[u8], context: Context) -> Running {
        self.enter(token_of(name), context)
    }

    /// The running call that the caller has named `name`.
    pub fn find_named(&self, name: &[u8]) -> Option<Parent> {
        self.find(token_of(name))
    }

    /// The running call with `token`.
    pub fn find(&self, token: Token) -> Option<Parent> {
        self.shard(token).lock().get(&token).cloned()
    }

    /// The number of running calls.
    pub fn len(&self) -> usize {
        self.shards.iter().map(|shard| shard.lock().len()).sum()
    }

    /// Whether no call is running.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn shard(&self, token: Token) -> &Mutex<HashMap<Token, Parent>> {
        &self.shards[(token.0 % SHARD_COUNT as u128) as usize]
    }
}

/// Derives a token from a name; a hash of 128 bits makes collisions negligible.
fn token_of(name: &[u8]) -> Token {
    Token(Digest::of(name).0)
}

impl Parent {
    /// The context that nested calls inherit.
    pub fn context(&self) -> &Context {
        &self.context
    }

    /// Calls `change` with the allowance that all nested calls of this call share.
    pub fn allowance<T>(&self, change: impl FnOnce(&mut u8) -> T) -> T {
        change(&mut self.allowance_left.lock())
    }
}

impl Parent {
    /// Adds the duration of a finished nested call.
    pub fn add_nested_time(&self, time: Duration) {
        *self.nested_time.lock() += time;
    }
}

impl Running {
    /// Total duration of the nested calls so far.
    pub fn nested_time(&self) -> Duration {
        *self.parent.nested_time.lock()
    }

    /// The remaining allowance, which is returned with the answer.
    pub fn allowance_left(&self) -> u8 {
        *self.parent.allowance_left.lock()
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.table.shard(self.token).lock().remove(&self.token);
    }
}
