//! What the calls nested below a running call inherit from it.
//!
//! While a call runs at the target, its daemon keeps the call's [`Context`] in a [`Table`] under
//! the call's token, and gives the target the token in the [`HEADER`]. The target copies that one
//! header onto the calls that it makes in turn over the outbound port, where the daemon looks the
//! token up. We weighed writing the context itself into the header: a caller could then forge
//! urgency and depth, and a target could spend one retry allowance several times. With the table
//! a token is worth something only at the one daemon whose target runs that call, while it runs,
//! and all nested calls share one allowance.
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

/// The header that a target copies from the request it runs onto the calls that it makes.
///
/// On the callers' port it is dropped: what a caller from outside says in it counts for nothing.
pub const HEADER: &str = "x-appleshore-call";

const SHARDS: usize = 16;

/// What a nested call inherits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Context {
    /// The urgency of the call above.
    pub urgency: Urgency,
    /// The caller whose request began it all.
    pub caller: Caller,
    /// When the answer is due at the top.
    pub deadline: Instant,
    /// How deep the call above is.
    pub depth: Depth,
    /// Retries that the whole tree of calls below may still ask for.
    pub allowance: u8,
}

/// A running call as its nested calls see it. Clones share the allowance.
#[derive(Debug, Clone)]
pub struct Parent {
    context: Arc<Context>,
    allowance_left: Arc<Mutex<u8>>,
    /// Time that the run has spent on its calls.
    nested_time: Arc<Mutex<Duration>>,
}

/// The running calls of one daemon's target; clones share the table.
#[derive(Debug, Clone)]
pub struct Table {
    shards: Arc<Vec<Mutex<HashMap<Token, Parent>>>>,
}

/// A running call; its token is worth nothing once this is dropped.
#[derive(Debug)]
#[must_use = "the context is gone when the guard is dropped"]
pub struct Running {
    table: Table,
    token: Token,
    parent: Parent,
}

impl Default for Table {
    fn default() -> Table {
        let shards = (0..SHARDS).map(|_| Mutex::default()).collect();
        Table {
            shards: Arc::new(shards),
        }
    }
}

impl Table {
    /// Holds `context` under `token` until the guard is dropped.
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

    /// Holds `context` under the name that the request has with its caller, where its target makes
    /// calls under names that show it.
    pub fn enter_named(&self, name: &[u8], context: Context) -> Running {
        self.enter(named(name), context)
    }

    /// The running call of a request that has `name` with its caller.
    pub fn find_named(&self, name: &[u8]) -> Option<Parent> {
        self.find(named(name))
    }

    /// The running call that `token` names.
    pub fn find(&self, token: Token) -> Option<Parent> {
        self.shard(token).lock().get(&token).cloned()
    }

    /// How many calls run.
    pub fn len(&self) -> usize {
        self.shards.iter().map(|shard| shard.lock().len()).sum()
    }

    /// No call runs.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn shard(&self, token: Token) -> &Mutex<HashMap<Token, Parent>> {
        &self.shards[(token.0 % SHARDS as u128) as usize]
    }
}

/// A name as a token; 128 bits of a hash don't collide.
fn named(name: &[u8]) -> Token {
    Token(Digest::of(name).0)
}

impl Parent {
    /// What the nested calls inherit.
    pub fn context(&self) -> &Context {
        &self.context
    }

    /// Reads and changes the allowance that all nested calls of this call share.
    pub fn allowance<T>(&self, change: impl FnOnce(&mut u8) -> T) -> T {
        change(&mut self.allowance_left.lock())
    }
}

impl Parent {
    /// Notes a call that the run has made.
    pub fn add_nested_time(&self, time: Duration) {
        *self.nested_time.lock() += time;
    }
}

impl Running {
    /// Time that the run has spent on its calls so far, added up.
    pub fn nested_time(&self) -> Duration {
        *self.parent.nested_time.lock()
    }

    /// What is left of the allowance; it goes back with the answer.
    pub fn allowance_left(&self) -> u8 {
        *self.parent.allowance_left.lock()
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.table.shard(self.token).lock().remove(&self.token);
    }
}
