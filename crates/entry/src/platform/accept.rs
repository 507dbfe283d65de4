//! Reads the configuration in the platform's store, and replaces it with a compare-and-swap.

use std::time::Duration;

use coltsfootshunt_core::config::{Config, Document, Revision, Version};
use derive_more::{Display, Error};
use uuid::Uuid;

use super::{Entry, Error, Platform, Swap};

/// Key under which the configuration is stored.
pub const CONFIGURATION_KEY: &str = "configuration";
/// Maximum number of reads to find out whether an unconfirmed write took effect.
const MAX_READ_BACKS: u32 = 20;
/// Time between these reads.
const READ_BACK_INTERVAL: Duration = Duration::from_millis(250);

/// Another configuration than the one that a change is based on is in force.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
#[display("revision {} by {} is in force, not {based_on}", current.revision, current.writer)]
pub struct Conflict {
    /// Revision that the change is based on.
    pub based_on: Revision,
    /// Version in force.
    #[error(not(source))]
    pub current: Version,
}

/// Why a configuration could not be read or put in force.
#[derive(Clone, Debug, Display, Error)]
pub enum AcceptError {
    /// Another writer put a configuration in force first.
    #[display("conflict: {_0}")]
    Conflict(#[error(source)] Conflict),
    /// The call to the platform failed, and nothing was written.
    #[display("not accepted: {_0}")]
    Platform(#[error(source)] Error),
    /// The platform did not confirm the write, and later reads failed or did not show it. The
    /// configuration may be in force.
    #[display("it is unknown whether the configuration was accepted; writer {writer}")]
    Unknown {
        /// Identifier of the writer. The `show` command prints the writer of the configuration in
        /// force.
        writer: Uuid,
    },
    /// The stored document can't be decoded.
    #[display("the configuration in force can't be read: {detail}")]
    Unreadable {
        /// Error of the decoder.
        detail: String,
    },
}

/// Returns the configuration in force and its version in the store; `None` before the first.
///
/// # Errors
/// [`AcceptError::Platform`] or [`AcceptError::Unreadable`].
pub async fn fetch(platform: &dyn Platform) -> Result<Option<(u64, Document)>, AcceptError> {
    let entry = platform.get(CONFIGURATION_KEY).await.map_err(AcceptError::Platform)?;
    entry.map(|entry| parse(&entry)).transpose()
}

/// Puts a configuration in force as the successor of the revision `based_on`, or of any revision if
/// that is `None`. `writer` must be unique to this call.
///
/// # Errors
/// See [`AcceptError`]. After any error but [`AcceptError::Unknown`], nothing has changed.
pub async fn accept(
    platform: &dyn Platform,
    config: Config,
    based_on: Option<Revision>,
    writer: Uuid,
) -> Result<Revision, AcceptError> {
    let current = fetch(platform).await?;
    let version = current.as_ref().map_or(0, |(version, _)| *version);
    let previous = current.map(|(_, document)| document);
    check_base(previous.as_ref(), based_on)?;
    let document = Document::after(previous.as_ref(), writer, config);
    let value = serde_json::to_string(&document).expect("a valid configuration serializes");
    match platform.compare_and_swap(CONFIGURATION_KEY, version, &value, None).await {
        Ok(Swap::Written) => Ok(document.version.revision),
        Ok(Swap::VersionMismatch) | Err(Error::NoResponse | Error::InvalidResponse) => {
            read_back(platform, &document, version).await
        }
        Err(error) => Err(AcceptError::Platform(error)),
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

/// Distinguishes a lost response from a lost race: the stored document names the writers of recent
/// revisions.
async fn read_back(
    platform: &dyn Platform,
    document: &Document,
    version: u64,
) -> Result<Revision, AcceptError> {
    let writer = document.version.writer;
    for _ in 0..MAX_READ_BACKS {
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
                // The write may still be in progress, as the key has the version that it expects.
            }
            Ok(None) | Err(AcceptError::Platform(_)) => {}
            Err(rejected) => return Err(rejected),
        }
        tokio::time::sleep(READ_BACK_INTERVAL).await;
    }
    Err(AcceptError::Unknown { writer })
}

fn parse(entry: &Entry) -> Result<(u64, Document), AcceptError> {
    match serde_json::from_str(&entry.value) {
        Ok(document) => Ok((entry.version, document)),
        Err(error) => Err(AcceptError::Unreadable { detail: error.to_string() }),
    }
}
