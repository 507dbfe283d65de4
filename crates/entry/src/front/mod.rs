//! HTTP front ends for callers and for operators. They translate between HTTP and the messages of
//! the control thread, and decide nothing.

mod callers;
mod operators;
mod status;

pub use callers::caller_routes;
pub use operators::operator_routes;
