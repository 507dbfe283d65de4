//! What can go wrong with a command.

use std::io;

use coltsfootshunt_core::{config, job, submission};
use coltsfootshunt_entry::platform::{self, AcceptError};
use derive_more::{Display, Error};
use miette::Diagnostic;

/// Why a command did not do its work.
#[derive(Debug, Diagnostic, Display, Error)]
pub enum Problem {
    /// The runtime did not start.
    #[display("the runtime did not start")]
    Runtime(#[error(source)] io::Error),
    /// A file can't be read.
    #[display("{path} can't be read")]
    Unreadable {
        /// Its path.
        path: String,
        /// Why.
        #[error(source)]
        cause: io::Error,
    },
    /// A file is not the JSON that is wanted.
    #[display("{path} is malformed: {cause}")]
    #[diagnostic(help("see docs/OPERATIONS.md and docs/CALLING.md for the forms of files"))]
    Malformed {
        /// Its path.
        path: String,
        /// Where and why.
        #[error(source)]
        cause: serde_json::Error,
    },
    /// A configuration does not hold.
    #[display("the configuration is wrong: {_0}")]
    Configuration(#[error(source)] config::Error),
    /// A job does not hold.
    #[display("the job is wrong: {_0}")]
    Job(#[error(source)] job::Error),
    /// A text is no identifier.
    #[display("{_0}")]
    Identifier(#[error(source)] submission::Error),
    /// A configuration was not put in force.
    #[display("{_0}")]
    Rejected(#[error(source)] AcceptError),
    /// The platform did not answer.
    #[display("{_0}")]
    Platform(#[error(source)] platform::Error),
    /// No entry answered.
    #[display("{_0}")]
    Caller(#[error(source)] coltsfootshunt_caller::Error),
    /// An entry did not answer.
    #[display("{address} gives no answer: {cause}")]
    Entry {
        /// Its address.
        address: std::net::SocketAddr,
        /// Why.
        #[error(source)]
        cause: coltsfootshunt_http::Error,
    },
    /// The embedded fleet did not start.
    #[display("the embedded fleet did not start: {_0}")]
    Fleet(#[error(source)] coltsfootshunt_entry::app::Error),
    /// A mix of work can't be read.
    #[display("a class of work has the form kind:median_ms:sigma:weight:width, not {text:?}")]
    Mix {
        /// The text.
        text: String,
    },
}
