//! Names of the things of the world: instances, zones, services, callers, members.

use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::Error;

/// Longest name in bytes; it keeps frames and store objects small.
const MAX_NAME: usize = 128;
const EXPECTED: &str = "1 to 128 letters, digits, '-', '_', '.', ':' or '@'";

fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.' | b':' | b'@')
}

fn check(what: &'static str, text: &str) -> Result<String, Error> {
    let long = text.is_empty() || text.len() > MAX_NAME;
    if long || !text.bytes().all(is_name_byte) {
        return Err(Error::shape(what, text, EXPECTED));
    }
    Ok(text.to_string())
}

macro_rules! name {
    ($(#[$doc:meta])* $type:ident, $what:literal) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
            derive_more::Display, derive_more::AsRef,
        )]
        #[serde(try_from = "String", into = "String")]
        pub struct $type(String);

        impl $type {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $type {
            type Err = Error;

            fn from_str(text: &str) -> Result<$type, Error> {
                check($what, text).map($type)
            }
        }

        impl TryFrom<String> for $type {
            type Error = Error;

            fn try_from(text: String) -> Result<$type, Error> {
                text.parse()
            }
        }

        impl From<$type> for String {
            fn from(name: $type) -> String {
                name.0
            }
        }
    };
}

name! {
    /// One running copy of a service's server together with its daemon.
    Instance, "an instance"
}
name! {
    /// An availability zone, such as `longbien`.
    Zone, "a zone"
}
name! {
    /// A region: availability zones that are close to each other, such as `qc-east`.
    Region, "a region"
}
name! {
    /// A service: a group of targets that answer the same requests.
    Service, "a service"
}
name! {
    /// A customer of the deployment, whose requests are known by its keys.
    Workspace, "a workspace"
}
name! {
    /// Who sends a request, as the rules tell it from the request.
    Caller, "a caller"
}
name! {
    /// The organisation that a caller belongs to.
    Member, "a member"
}

impl From<&Workspace> for Caller {
    fn from(workspace: &Workspace) -> Caller {
        // All names share one syntax.
        Caller(workspace.0.clone())
    }
}

impl Caller {
    /// The organisation of this caller: the part behind the last `@`, or the whole name.
    ///
    /// ```
    /// use unit::Caller;
    ///
    /// let caller: Caller = "desk-3@clinic-7".parse()?;
    /// assert_eq!(caller.member().as_str(), "clinic-7");
    /// # Ok::<(), unit::Error>(())
    /// ```
    pub fn member(&self) -> Member {
        let text = self.0.rsplit('@').next().unwrap_or(&self.0);
        Member(text.to_string())
    }
}
