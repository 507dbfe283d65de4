//! Small stand-ins for the systems outside: the platform's service and targets. For tests, load
//! runs and the demonstration; nothing here is for production.

pub mod platform;
pub mod relay;
pub mod target;
