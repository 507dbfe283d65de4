//! Bodies of requests that are being read, and the memory for all of them.

use std::ops::Deref;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use derive_more::{Display, Error};

/// Size up to which a body takes no memory of the common limit, in bytes. Ordinary requests are far smaller.
const FREE_BYTES: usize = 16 << 10;
/// Factor by which the memory for a body grows.
const GROWTH: usize = 4;
/// Smallest size of an oversized body at which reading stops and the connection is dropped, in bytes.
const MIN_DISCARDED_BYTES: usize = 8 << 20;
/// The same as a multiple of the largest legal body.
const DISCARDED_BODIES: usize = 4;

/// Why a body was not read.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum BodyError {
    /// It is larger than this request may be.
    #[display("the body is larger than {limit} bytes")]
    TooLarge {
        /// Limit in bytes.
        limit: usize,
    },
    /// The bodies of all clients are larger than the process can hold.
    #[display("all bodies are larger than {limit} bytes")]
    Full {
        /// Limit on all bodies in bytes.
        limit: usize,
    },
    /// It did not arrive in time.
    #[display("the body did not come in time")]
    Timeout,
    /// The client closed the connection.
    #[display("the connection was lost")]
    Disconnected,
}

/// Memory that all bodies share.
#[derive(Clone, Debug)]
pub(super) struct Bodies {
    limit: usize,
    used: Arc<AtomicUsize>,
}

/// Part of the common memory, given back when this is dropped.
#[derive(Debug)]
struct Reservation {
    bodies: Bodies,
    bytes: usize,
}

/// The bytes of a whole body.
#[derive(Debug)]
pub struct Content {
    bytes: Vec<u8>,
    reservation: Reservation,
}

/// What happens to the bytes of a body that arrive.
enum Disposal {
    Kept(Content),
    Discarded(BodyError),
}

/// A body while it arrives.
pub(super) struct Reader {
    disposal: Disposal,
    /// Largest size that the body may have, in bytes.
    limit: usize,
    /// Memory that the body will need, as far as it is known.
    expected: usize,
    received: usize,
}

impl Bodies {
    pub(super) fn new(limit: usize) -> Self {
        Self { limit, used: Arc::default() }
    }

    fn try_reserve(&self, bytes: usize) -> bool {
        let add = |used: usize| used.checked_add(bytes).filter(|sum| *sum <= self.limit);
        self.used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add).is_ok()
    }
}

impl Reservation {
    /// Makes room for a buffer of `capacity` bytes. Returns whether there was enough memory.
    fn grow(&mut self, capacity: usize) -> bool {
        let wanted = capacity.saturating_sub(FREE_BYTES);
        let more = wanted.saturating_sub(self.bytes);
        let is_reserved = self.bodies.try_reserve(more);
        self.bytes += if is_reserved { more } else { 0 };
        is_reserved
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.bodies.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

impl Deref for Content {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Content {
    /// Appends bytes of a body of at most `expected` bytes. Returns whether there was enough memory.
    fn push(&mut self, data: &[u8], expected: usize) -> bool {
        let needed = self.bytes.len() + data.len();
        if needed > self.bytes.capacity() {
            let grown = self.bytes.capacity().saturating_mul(GROWTH).max(FREE_BYTES);
            let capacity = needed.max(grown.min(expected));
            if !self.reservation.grow(capacity) {
                return false;
            }
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        true
    }
}

impl Reader {
    /// Prepares to read a body of at most `limit` bytes. `announced` is its size, if the client tells it.
    pub(super) fn new(bodies: &Bodies, announced: Option<u64>, limit: usize) -> Self {
        let announced = announced.map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX));
        let disposal = if announced.is_some_and(|bytes| bytes > limit) {
            Disposal::Discarded(BodyError::TooLarge { limit })
        } else {
            let reservation = Reservation { bodies: bodies.clone(), bytes: 0 };
            Disposal::Kept(Content { bytes: Vec::new(), reservation })
        };
        Self { disposal, limit, expected: announced.unwrap_or(limit), received: 0 }
    }

    /// Takes bytes that have arrived. Returns whether to read on.
    pub(super) fn push(&mut self, data: &[u8]) -> bool {
        self.received = self.received.saturating_add(data.len());
        if let Disposal::Kept(content) = &mut self.disposal {
            if self.received > self.limit {
                self.disposal = Disposal::Discarded(BodyError::TooLarge { limit: self.limit });
            } else if !content.push(data, self.expected) {
                let limit = content.reservation.bodies.limit;
                self.disposal = Disposal::Discarded(BodyError::Full { limit });
            }
        }
        self.received <= self.limit.saturating_mul(DISCARDED_BODIES).max(MIN_DISCARDED_BYTES)
    }

    /// Returns the whole body.
    pub(super) fn finish(self) -> Result<Content, BodyError> {
        match self.disposal {
            Disposal::Kept(content) => Ok(content),
            Disposal::Discarded(error) => Err(error),
        }
    }
}
