//! A model of the fleet under load, in virtual time.
//!
//! [`load`] draws arrivals and targets from a seed. A [`policy::Policy`] plays them: the product's own
//! hosts without their I/O ([`dispatcher`]) on targets of [`sim_target`], or a baseline ([`fifo`]). [`report`] says
//! what callers got, [`summary`] over several seeds. [`event_queue`] keeps virtual time.

pub mod dispatcher;
pub mod event_queue;
pub mod fifo;
pub mod load;
pub mod policy;
pub mod report;
pub mod sim_target;
pub mod summary;
