//! How fast targets are and how far declared run times can be trusted, learned from ends.
//!
//! Answers targets that differ in speed by a factor of two and more, turn slow for seconds, or fail
//! what they start, and kinds whose declared times are off by tens of per cent.

mod book;

#[cfg(test)]
mod tests;

pub use book::Book;
