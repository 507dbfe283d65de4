//! Limits on what clients can make a process hold.

/// Part of the machine's descriptors for connections of clients. The others are for files, calls to targets and
/// the store, other hosts and operators.
const DESCRIPTORS_SHARE: usize = 4;
/// Memory of the machine for each connection, in bytes. A connection itself takes up to a fifth of that: its
/// buffers, the bytes that the system holds for it, and the beginning of a body.
const MEMORY_PER_CONNECTION: usize = 256 << 10;
/// Part of the machine's memory for large bodies that are being read.
const BODIES_SHARE: usize = 8;
/// Smallest limits, so that a tiny machine still serves.
const MIN_CONNECTIONS: usize = 16;
const MIN_BODY_BYTES: usize = 1 << 20;

/// Limits on what clients can make a process hold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum number of open connections.
    pub connections: usize,
    /// Maximum size of all bodies that are being read or decoded, in bytes. The first bytes of each don't count,
    /// so that small requests are served while large ones fill this.
    pub body_bytes: usize,
}

/// What the machine of a process has.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Machine {
    /// Memory in bytes.
    pub memory_bytes: usize,
    /// Number of file descriptors.
    pub descriptors: usize,
}

impl Default for Machine {
    fn default() -> Self {
        Self { memory_bytes: 512 << 20, descriptors: 8_192 }
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self::from(Machine::default())
    }
}

impl From<Machine> for Limits {
    fn from(Machine { memory_bytes, descriptors }: Machine) -> Self {
        let connections =
            (descriptors / DESCRIPTORS_SHARE).min(memory_bytes / MEMORY_PER_CONNECTION);
        Self {
            connections: connections.max(MIN_CONNECTIONS),
            body_bytes: (memory_bytes / BODIES_SHARE).max(MIN_BODY_BYTES),
        }
    }
}
