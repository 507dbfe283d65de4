//! A model of one availability zone under load, in virtual time.
//!
//! [`load`] draws arrivals and targets from a seed. A [`policy::Policy`] plays them: the product's own
//! steward and owner without their I/O ([`product`]), or a baseline ([`simple`]). [`report`] compares
//! what callers got. [`agenda`] keeps virtual time.

pub mod agenda;
pub mod load;
pub mod policy;
pub mod product;
pub mod report;
pub mod simple;
