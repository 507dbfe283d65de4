//! Putting a configuration in force by compare-and-swap.

use std::time::Duration;

use coltsfootshunt_core::config::{Config, Document, Revision, Version};
use derive_more::{Display, Error};
use uuid::Uuid;

use super::{Entry, Error, Platform, Swap};

/// Where the configuration is kept.
pub const CONFIGURATION_KEY: &str = "configuration";
/// Attempts to learn what became of a write.
const READ_BACKS: u32 = 20;
/// Time between them.
const READ_BACK_EVERY: Duration = Duration::from_millis(250);

/// Another operator's configuration came first.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
#[display("revision {} by {} is in force, not {based_on}", current.revision, current.writer)]
pub struct Conflict {
    /// The revision that the caller started from.
    pub based_on: Revision,
    /// Version in force.
    #[error(not(source))]
    pub current: Version,
}

/// Why a configuration is not in force.
#[derive(Clone, Debug, Display, Error)]
pub enum AcceptError {
    /// Another operator's configuration came first.
    #[display("conflict: {_0}")]
    Conflict(#[error(source)] Conflict),
    /// The platform did not answer; nothing was written.
    #[display("not accepted: {_0}")]
    Platform(#[error(source)] Error),
    /// The platform stopped answering after the write; it may be in force.
    #[display("it can't be told whether the configuration was accepted; writer {writer}")]
    Unknown {
        /// Unique to this call; `show` tells whether it is in force.
        writer: Uuid,
    },
    /// The platform holds a document that can't be read.
    #[display("the configuration in force can't be read: {detail}")]
    Unreadable {
        /// What is wrong with it.
        detail: String,
    },
}

/// The configuration in force and its version in the store.
///
/// # Errors
/// [`AcceptError::Platform`] or [`AcceptError::Unreadable`].
pub async fn fetch(platform: &dyn Platform) -> Result<Option<(u64, Document)>, AcceptError> {
    let entry = platform.get(CONFIGURATION_KEY).await.map_err(AcceptError::Platform)?;
    entry.map(|entry| parse(&entry)).transpose()
}

/// Puts a configuration in force after the revision `based_on`, or after whatever is in force.
///
/// # Errors
/// See [`AcceptError`]; all but [`AcceptError::Unknown`] mean that nothing changed.
pub async fn accept(
    platform: &dyn Platform,
    plan: Config,
    based_on: Option<Revision>,
    writer: Uuid,
) -> Result<Revision, AcceptError> {
    let current = fetch(platform).await?;
    let version = current.as_ref().map_or(0, |(version, _)| *version);
    let previous = current.map(|(_, document)| document);
    check_base(previous.as_ref(), based_on)?;
    let document = Document::after(previous.as_ref(), writer, plan);
    let value = serde_json::to_string(&document).expect("a checked plan serializes");
    match platform.compare_and_swap(CONFIGURATION_KEY, version, &value, None).await {
        Ok(Swap::Written) => Ok(document.version.revision),
        Ok(Swap::VersionMismatch) | Err(Error::NoResponse | Error::InvalidResponse) => {
            read_back(platform, &document, version).await
        }
        Err(failure) => Err(AcceptError::Platform(failure)),
    }
}

fn check_base(previous: Option<&Document>, based_on: Option<Revision>) -> Result<(), AcceptError> {
    let (Some(based_on), Some(previous)) = (based_on, previous) else {
        return Ok(());
    };
    if previous.version.revision == based_on {
        return Ok(());
    }
    Err(AcceptError::Conflict(Conflict { based_on, current: previous.version.clone() }))
}

/// Tells a lost answer from a lost race: the store says whether this writer's mark is in it.
async fn read_back(
    platform: &dyn Platform,
    document: &Document,
    version: u64,
) -> Result<Revision, AcceptError> {
    let writer = document.version.writer;
    for _ in 0..READ_BACKS {
        match fetch(platform).await {
            Ok(Some((found, current))) => {
                if let Some(revision) = current.written_by(writer) {
                    return Ok(revision);
                }
                if found > version {
                    let based_on = Revision(document.version.revision.0 - 1);
                    let current = current.version;
                    return Err(AcceptError::Conflict(Conflict { based_on, current }));
                }
                // The write may still be under way; the version that it expects stands.
            }
            Ok(None) | Err(AcceptError::Platform(_)) => {}
            Err(rejected) => return Err(rejected),
        }
        tokio::time::sleep(READ_BACK_EVERY).await;
    }
    Err(AcceptError::Unknown { writer })
}

fn parse(entry: &Entry) -> Result<(u64, Document), AcceptError> {
    match serde_json::from_str(&entry.value) {
        Ok(document) => Ok((entry.version, document)),
        Err(error) => Err(AcceptError::Unreadable { detail: error.to_string() }),
    }
}
