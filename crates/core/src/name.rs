//! Validated names, shared as immutable strings.

use std::sync::Arc;

use derive_more::{Display, Error};

/// Maximum length of a name, in bytes.
pub const MAX_BYTES: usize = 64;

/// Why a text is not a valid name.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
pub enum Error {
    /// The text is empty.
    #[display("a name must not be empty")]
    Empty,
    /// The text is longer than [`MAX_BYTES`].
    #[display("a name has at most {MAX_BYTES} bytes, this one has {length}")]
    TooLong {
        /// Length of the text, in bytes.
        length: usize,
    },
    /// The text contains a character other than ASCII letters, digits, `-`, `_` and `.`.
    #[display("a name has letters, digits, '-', '_' and '.', not {found:?}")]
    Character {
        /// The first invalid character.
        found: char,
    },
}

fn check(text: &str) -> Result<(), Error> {
    if text.is_empty() {
        return Err(Error::Empty);
    }
    if text.len() > MAX_BYTES {
        return Err(Error::TooLong { length: text.len() });
    }
    let allowed = |c: &char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    match text.chars().find(|c| !allowed(c)) {
        Some(found) => Err(Error::Character { found }),
        None => Ok(()),
    }
}

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Debug, derive_more::Display, derive_more::Deref, Eq, Hash, Ord, PartialEq,
            PartialOrd, serde::Serialize, serde::Deserialize,
        )]
        #[serde(try_from = "String", into = "String")]
        #[deref(forward)]
        pub struct $name(Arc<str>);

        impl TryFrom<&str> for $name {
            type Error = Error;

            fn try_from(text: &str) -> Result<Self, Error> {
                check(text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = Error;

            fn try_from(text: String) -> Result<Self, Error> {
                Self::try_from(text.as_str())
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().into()
            }
        }
    )*};
}

names! {
    /// Name of a kind of task.
    Kind;
    /// Name of a team of callers.
    Team;
    /// Name of an availability zone.
    Zone;
    /// Name of a target, which runs tasks.
    Target;
    /// Name of a host, which accepts jobs and dispatches their tasks.
    Host;
    /// Name of a service: the targets that belong to it run the kinds routed to it.
    Service;
    /// Label of a target, such as its machine class or its rack.
    Label;
}
