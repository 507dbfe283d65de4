//! What is wrong with a settings file, and where.

use derive_more::{Display, Error};
use miette::{Diagnostic, NamedSource, SourceSpan};

/// Why settings can't be used.
#[derive(Debug, Diagnostic, Display, Error)]
pub enum Error {
    /// The file can't be read.
    #[display("the settings file {path} can't be read")]
    #[diagnostic(code(settings::unreadable))]
    Unreadable {
        /// Its path.
        path: String,
        /// Why.
        #[error(source)]
        cause: std::io::Error,
    },
    /// The text is not JSON with comments.
    #[display("the settings are not JSON with comments")]
    #[diagnostic(code(settings::syntax))]
    Syntax {
        /// The whole text.
        #[source_code]
        source_code: NamedSource<String>,
        /// What is wrong.
        detail: String,
        /// Where.
        #[label("{detail}")]
        span: SourceSpan,
    },
    /// A field is missing, unknown, or has a wrong value.
    #[display("the settings field {field} is wrong")]
    #[diagnostic(code(settings::field))]
    Field {
        /// The whole text.
        #[source_code]
        source_code: NamedSource<String>,
        /// Path of the field.
        field: String,
        /// What is wrong.
        detail: String,
        /// Where.
        #[label("{detail}")]
        span: SourceSpan,
    },
}
