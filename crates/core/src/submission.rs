//! Identifiers of submissions. An identifier contains its owner: the only incarnation of an entry that
//! may ever start the submission's tasks.

use std::fmt;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::name::{self, Zone};

/// Identifies one run of an entry process by a random value that is drawn at every start. Its text form
/// is 16 lower-case hexadecimal digits.
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

/// Identifier of one submission, written `zone~incarnation~sequence`.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Id {
    /// Zone of the owner.
    pub zone: Zone,
    /// The only incarnation that may start tasks of this submission.
    pub owner: Incarnation,
    /// Number of the identifier in the order in which the owner issued them.
    pub sequence: u64,
}

/// Why a text is not a valid identifier.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
pub enum Error {
    /// The text does not have the three parts `zone~incarnation~sequence`.
    #[display("an identifier has the form zone~incarnation~sequence")]
    Parts,
    /// The zone is not a valid name.
    #[display("the identifier's zone: {_0}")]
    Zone(#[error(source)] name::Error),
    /// The incarnation is not 16 hexadecimal digits.
    #[display("the identifier's incarnation is not 16 hexadecimal digits")]
    Incarnation,
    /// The sequence is not a lower-case hexadecimal number.
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

/// Parses lower-case hexadecimal digits. Other spellings are invalid, so that an identifier has exactly
/// one text form.
fn parse_hex(text: &str) -> Option<u64> {
    let is_canonical = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
    if text.is_empty() || !text.bytes().all(is_canonical) {
        return None;
    }
    u64::from_str_radix(text, 16).ok()
}
