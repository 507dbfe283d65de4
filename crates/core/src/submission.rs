//! Identifiers of submissions. An identifier names the one entry incarnation that may ever start
//! its tasks.

use std::fmt;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::name::{self, Zone};

/// One run of an entry process; a fresh random value at every start.
#[derive(
    Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
#[serde(try_from = "String", into = "String")]
pub struct Incarnation(pub u64);

impl From<Incarnation> for String {
    fn from(incarnation: Incarnation) -> Self {
        incarnation.to_string()
    }
}

impl TryFrom<String> for Incarnation {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Error> {
        parse_incarnation(&text)
    }
}

/// Identifier of one submission.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Id {
    /// Zone of the owner.
    pub zone: Zone,
    /// The only incarnation that may start a task of this submission.
    pub owner: Incarnation,
    /// Place in the owner's order of identifiers.
    pub sequence: u64,
}

/// Why a text is not an identifier.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
pub enum Error {
    /// The text does not have the three parts `zone~incarnation~sequence`.
    #[display("an identifier has the form zone~incarnation~sequence")]
    Parts,
    /// The zone is not a name.
    #[display("the identifier's zone: {_0}")]
    Zone(#[error(source)] name::Error),
    /// The incarnation is not 16 hexadecimal digits.
    #[display("the identifier's incarnation is not 16 hexadecimal digits")]
    Incarnation,
    /// The sequence is not a hexadecimal number.
    #[display("the identifier's sequence is not a hexadecimal number")]
    Sequence,
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}~{}~{:x}", self.zone, self.owner, self.sequence)
    }
}

impl From<Id> for String {
    fn from(id: Id) -> Self {
        id.to_string()
    }
}

impl TryFrom<&str> for Id {
    type Error = Error;

    fn try_from(text: &str) -> Result<Self, Error> {
        let mut parts = text.split('~');
        let (Some(zone), Some(owner), Some(sequence), None) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err(Error::Parts);
        };
        let zone = Zone::try_from(zone).map_err(Error::Zone)?;
        let owner = parse_incarnation(owner)?;
        let sequence = parse_hex(sequence).ok_or(Error::Sequence)?;
        Ok(Self { zone, owner, sequence })
    }
}

impl TryFrom<String> for Id {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Error> {
        Self::try_from(text.as_str())
    }
}

fn parse_incarnation(text: &str) -> Result<Incarnation, Error> {
    const DIGITS: usize = 16;
    if text.len() != DIGITS {
        return Err(Error::Incarnation);
    }
    parse_hex(text).map(Incarnation).ok_or(Error::Incarnation)
}

/// Canonical lower-case hexadecimal only, so that one identifier has one spelling.
fn parse_hex(text: &str) -> Option<u64> {
    let canonical = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
    if text.is_empty() || !text.bytes().all(canonical) {
        return None;
    }
    u64::from_str_radix(text, 16).ok()
}
