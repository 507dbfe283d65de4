//! Jobs that callers have cancelled, at whichever host: none of their tasks starts again anywhere.

mod register;

#[cfg(test)]
mod tests;

pub use register::{Inquiry, Register, Verdict};
