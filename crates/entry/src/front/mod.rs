//! Front ends: HTTP for callers and for operators. They only translate.

mod callers;
mod operators;
mod status;

pub use callers::callers;
pub use operators::operators;
