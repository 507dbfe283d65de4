//! A model of the fleet under load, in virtual time.
//!
//! [`load`] draws arrivals and targets from a seed. A [`policy::Policy`] plays them: the product's own
//! hosts without their I/O ([`product`]) on targets of [`machine`], or a baseline ([`simple`]). [`report`] says
//! what callers got, [`summary`] over several seeds. [`event_queue`] keeps virtual time.

pub mod event_queue;
pub mod load;
pub mod machine;
pub mod policy;
pub mod product;
pub mod report;
pub mod simple;
pub mod summary;
