//! Errors of the commands.

use std::io;

use coltsfootshunt_core::{config, job, submission};
use coltsfootshunt_entry::platform::{self, AcceptError};
use derive_more::{Display, Error};
use miette::Diagnostic;

/// Error of a command.
#[derive(Debug, Diagnostic, Display, Error)]
pub enum Error {
    /// The async runtime, or a stand-in of the embedded fleet, failed to start.
    #[display("failed to start the runtime or a stand-in")]
    Runtime(#[error(source)] io::Error),
    /// A file can't be read.
    #[display("failed to read {path}")]
    ReadFile {
        /// Path of the file.
        path: String,
        /// Error of the operating system.
        #[error(source)]
        cause: io::Error,
    },
    /// A file is not JSON of the expected form.
    #[display("failed to parse {path}: {cause}")]
    #[diagnostic(help("see docs/OPERATIONS.md and docs/CALLING.md for the file formats"))]
    ParseFile {
        /// Path of the file.
        path: String,
        /// Position and cause.
        #[error(source)]
        cause: serde_json::Error,
    },
    /// A configuration is not valid.
    #[display("invalid configuration: {_0}")]
    Configuration(#[error(source)] config::Error),
    /// A job is not valid.
    #[display("invalid job: {_0}")]
    Job(#[error(source)] job::Error),
    /// The argument of `--id` is not a submission identifier.
    #[display("{_0}")]
    Identifier(#[error(source)] submission::Error),
    /// A configuration was not accepted, or the one in force can't be read.
    #[display("{_0}")]
    Accept(#[error(source)] AcceptError),
    /// A request to the platform failed.
    #[display("{_0}")]
    Platform(#[error(source)] platform::Error),
    /// No entry answered the caller.
    #[display("{_0}")]
    Caller(#[error(source)] coltsfootshunt_caller::Error),
    /// A request to an entry's operators' address failed.
    #[display("no response from {address}: {cause}")]
    Entry {
        /// Operators' address of the entry.
        address: std::net::SocketAddr,
        /// Error of the request.
        #[error(source)]
        cause: coltsfootshunt_http::Error,
    },
    /// An entry of the embedded fleet failed to start.
    #[display("failed to start the embedded fleet: {_0}")]
    Fleet(#[error(source)] coltsfootshunt_entry::app::Error),
    /// An argument of `--mix` can't be parsed.
    #[display("invalid class {text:?}: expected kind:median_ms:sigma:weight:width")]
    InvalidClass {
        /// Argument as given on the command line.
        text: String,
    },
}
