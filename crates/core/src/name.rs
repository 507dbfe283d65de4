//! Checked names, shared as immutable strings.

use std::sync::Arc;

use derive_more::{Display, Error};

/// Longest accepted name, in bytes.
pub const MAX_BYTES: usize = 64;

/// Why a text is not a name.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
pub enum Error {
    /// The text has no characters.
    #[display("a name must not be empty")]
    Empty,
    /// The text is longer than [`MAX_BYTES`].
    #[display("a name has at most {MAX_BYTES} bytes, this one has {length}")]
    TooLong {
        /// Length of the text, in bytes.
        length: usize,
    },
    /// The text holds a character that names do not have.
    #[display("a name has letters, digits, '-', '_' and '.', not {found:?}")]
    Character {
        /// The first such character.
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
    /// A kind of task.
    Kind;
    /// A team of callers.
    Team;
    /// An availability zone.
    Zone;
    /// A target that runs tasks.
    Target;
    /// An entry host of the system.
    Host;
    /// A service that targets belong to and kinds are sent to.
    Service;
    /// A label of a target: its hardware kind or its rack.
    Label;
}
