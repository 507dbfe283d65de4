//! Evacuated zones: which zones get no new tasks, by the operators' keys in the store and by what peers say.
//!
//! The slice decides what a host believes. Each steward applies it to the targets that it gives orders to. The
//! same slice holds the limit of starts on targets that are cold, as they are after an evacuation.

mod cold;
mod message;
mod register;

#[cfg(test)]
mod tests;

pub use cold::{Limit, Starts};
pub use message::{
    Change, ImplausibleNotice, Notice, Reading, Settings, Source, Transition, Unreadable,
};
pub use register::Register;
