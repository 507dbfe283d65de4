//! Front ends: HTTP for callers and for operators. They only translate.

mod callers;
mod operators;
mod status;

pub use callers::caller_routes;
pub use operators::operator_routes;
