//! Stand-ins for the external systems: the platform's service and the targets, and a TCP relay that
//! injects network faults. For tests, load runs and the demo, not for production.

pub mod loopback;
pub mod platform;
pub mod relay;
pub mod target;
