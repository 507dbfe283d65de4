//! Discrete-event simulation of the dispatcher under load, in virtual time.
//!
//! [`load`] generates jobs and targets from a seed. A [`policy::Policy`] simulates them: either
//! [`dispatcher`], which runs the dispatcher's own hosts without I/O on the targets of
//! [`sim_target`], or the baseline [`fifo`]. [`report`] computes the results of one load,
//! [`summary`] the means over several seeds. [`event_queue`] orders the events in virtual time.

pub mod dispatcher;
pub mod event_queue;
pub mod fifo;
pub mod load;
pub mod policy;
pub mod report;
pub mod sim_target;
pub mod summary;
