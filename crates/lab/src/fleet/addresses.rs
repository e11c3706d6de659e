//! Loopback addresses of one fleet.

use std::net::Ipv4Addr;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

/// Networks of 256 addresses between 127.64.0.0 and 127.191.255.255.
const NETWORKS: u32 = 128 * 256;
/// Networks that one process may take before it could meet another process's.
const NETWORKS_PER_PROCESS: u32 = 32;

static TAKEN: AtomicU32 = AtomicU32::new(0);

/// Network of 256 loopback addresses that belongs to one fleet.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    network: u32,
}

impl Addresses {
    /// Takes the next network of this process.
    #[must_use]
    pub fn take() -> Self {
        let taken = TAKEN.fetch_add(1, Ordering::Relaxed);
        let network = std::process::id()
            .wrapping_mul(NETWORKS_PER_PROCESS)
            .wrapping_add(taken);
        Self {
            network: network % NETWORKS,
        }
    }

    /// Returns the address with the last octet `host`.
    #[must_use]
    pub fn host(self, host: u8) -> Ipv4Addr {
        let [_, _, high, low] = self.network.to_be_bytes();
        Ipv4Addr::new(127, 64 + high, low, host)
    }
}
