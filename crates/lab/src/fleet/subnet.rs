//! Loopback subnet of one fleet.

use std::net::Ipv4Addr;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

/// Subnets of 256 addresses between 127.64.0.0 and 127.191.255.255.
const SUBNETS: u32 = 128 * 256;
/// Subnets that a process may allocate before they can overlap those of the next process id.
const SUBNETS_PER_PROCESS: u32 = 32;

static ALLOCATED: AtomicU32 = AtomicU32::new(0);

/// Subnet of 256 loopback addresses that belongs to one fleet.
#[derive(Debug, Clone, Copy)]
pub struct Subnet {
    index: u32,
}

impl Subnet {
    /// Allocates the next subnet of this process.
    #[must_use]
    pub fn allocate() -> Self {
        let allocated = ALLOCATED.fetch_add(1, Ordering::Relaxed);
        let index = std::process::id()
            .wrapping_mul(SUBNETS_PER_PROCESS)
            .wrapping_add(allocated);
        Self {
            index: index % SUBNETS,
        }
    }

    /// Returns the address whose last octet is `host`.
    #[must_use]
    pub fn host(self, host: u8) -> Ipv4Addr {
        let [_, _, high, low] = self.index.to_be_bytes();
        Ipv4Addr::new(127, 64 + high, low, host)
    }
}
