//! Loopback addresses that no other process of the tests uses.

use std::net::{Ipv4Addr, TcpListener};
use std::sync::OnceLock;

/// Second bytes of the addresses from which a process claims one. 127.0.0.0/16 and 127.1.0.0/16 are left to
/// listeners with ports that the kernel assigns.
const BLOCKS: std::ops::RangeInclusive<u8> = 2..=251;
/// Host part of the address whose port is the lock of a block.
const LOCK_HOST: [u8; 2] = [255, 254];
/// Port that is bound as the lock of a block. It is below the range from which the kernel assigns ports.
const LOCK_PORT: u16 = 7_000;

/// Returns the second byte of the loopback addresses that belong to this process until it ends.
///
/// A process holds its block by a bound port, which the kernel gives to one process at a time. Blocks that
/// are derived from the process identifier alone clash between processes whose identifiers share a
/// remainder.
///
/// # Panics
/// Panics if other processes hold all blocks.
#[must_use]
pub fn block() -> u8 {
    static LOCK: OnceLock<(u8, TcpListener)> = OnceLock::new();
    let (block, _listener) = LOCK.get_or_init(|| {
        let lock = |block: u8| {
            let address = Ipv4Addr::new(127, block, LOCK_HOST[0], LOCK_HOST[1]);
            Some((block, TcpListener::bind((address, LOCK_PORT)).ok()?))
        };
        BLOCKS.into_iter().find_map(lock).expect("a block of loopback addresses is free")
    });
    *block
}
