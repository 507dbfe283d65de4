//! Errors of settings files, with their location in the text.

use derive_more::{Display, Error};
use miette::{Diagnostic, NamedSource, SourceSpan};

/// Why settings are unusable.
#[derive(Debug, Diagnostic, Display, Error)]
pub enum Error {
    /// The file can't be read.
    #[display("the settings file {path} can't be read")]
    #[diagnostic(code(settings::unreadable))]
    Unreadable {
        /// Path of the file.
        path: String,
        /// Error of the operating system.
        #[error(source)]
        cause: std::io::Error,
    },
    /// The text is not JSON with comments.
    #[display("the settings are not JSON with comments")]
    #[diagnostic(code(settings::syntax))]
    Syntax {
        /// Text of the file.
        #[source_code]
        source_code: NamedSource<String>,
        /// Description of the error.
        detail: String,
        /// Location of the error in the text.
        #[label("{detail}")]
        span: SourceSpan,
    },
    /// A field is missing or unknown, or has an invalid value.
    #[display("the settings field {field} is invalid")]
    #[diagnostic(code(settings::field))]
    Field {
        /// Text of the file.
        #[source_code]
        source_code: NamedSource<String>,
        /// Path of the field, such as `listen.callers`.
        field: String,
        /// Description of the error.
        detail: String,
        /// Location of the error in the text.
        #[label("{detail}")]
        span: SourceSpan,
    },
}
