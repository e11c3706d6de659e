//! Resources of the machine that a vm runs on.

use std::ops::RangeInclusive;

use mustardbay_process::settings::deserialize_number;
use serde::Deserialize;
use serde::Deserializer;

/// Descriptors that are kept for files.
const RESERVED_DESCRIPTORS: u32 = 200;
/// Numbers of descriptors with which a vm can work: 32 sockets at least.
const DESCRIPTORS: RangeInclusive<u32> = RESERVED_DESCRIPTORS + 32..=2_000_000_000;
/// Sizes of memory, in megabytes; an idle vm takes about 12.
const MEMORY_MB: RangeInclusive<u32> = 16..=1_000_000_000;
/// Bytes of a megabyte.
const MB: f64 = 1_048_576.0;
/// Most cores of a machine.
const MAX_CORES: f64 = 1_000_000.0;
/// Fewest cores, the weight of which is not zero.
const MIN_CORES: f64 = 1e-6;
/// Minimum weight of a vm, in thousandths of a core.
const MIN_WEIGHT: f64 = 1.0;

/// Resources of the machine, which bound what clients can make the process hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Memory beyond which the process is killed, in megabytes.
    pub memory_mb: Memory,
    /// Open descriptors.
    pub descriptors: Descriptors,
}

impl Default for Limits {
    /// Returns the limits of the smallest machine.
    fn default() -> Self {
        Self {
            memory_mb: Memory::clamped(160),
            descriptors: Descriptors::clamped(4_300),
        }
    }
}

/// Memory of a process, written in megabytes: 16 to 1,000,000,000, whole or a fraction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Memory {
    bytes: usize,
}

impl Memory {
    /// Returns the allowed size that is closest to `megabytes`.
    #[must_use]
    pub fn clamped(megabytes: u32) -> Self {
        Self::of(megabytes.clamp(*MEMORY_MB.start(), *MEMORY_MB.end()).into())
    }

    /// Returns the size in bytes.
    #[must_use]
    pub fn bytes(self) -> usize {
        self.bytes
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the cast saturates, and a part of a byte is no memory"
    )]
    fn of(megabytes: f64) -> Self {
        Self {
            bytes: (megabytes * MB) as usize,
        }
    }
}

impl<'de> Deserialize<'de> for Memory {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        Ok(Self::of(deserialize_number(
            deserializer,
            &number_range(&MEMORY_MB),
        )?))
    }
}

/// Number of open descriptors of a process, 232 to 2,000,000,000; a fraction is rounded down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Descriptors(u32);

impl Descriptors {
    /// Returns the allowed number that is closest to `count`.
    #[must_use]
    pub fn clamped(count: u32) -> Self {
        Self(count.clamp(*DESCRIPTORS.start(), *DESCRIPTORS.end()))
    }

    /// Returns the number of sockets that may be open; the other descriptors are for files.
    #[must_use]
    pub fn sockets(self) -> usize {
        (self.0 - RESERVED_DESCRIPTORS) as usize
    }
}

impl<'de> Deserialize<'de> for Descriptors {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the range is checked, and a part of a descriptor is none"
    )]
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let count = deserialize_number(deserializer, &number_range(&DESCRIPTORS))?;
        Ok(Self::clamped(count as u32))
    }
}

/// Processor cores that a process may use, 0.000001 to 1,000,000; 1 if absent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Cores(f64);

impl Cores {
    /// Returns the weight by which the fleet's work is divided, in thousandths of a core.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the type holds no number beyond the range of the weight"
    )]
    pub fn weight(self) -> u32 {
        (self.0 * 1_000.0).max(MIN_WEIGHT) as u32
    }
}

impl Default for Cores {
    fn default() -> Self {
        Self(1.0)
    }
}

impl<'de> Deserialize<'de> for Cores {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserialize_number(deserializer, &(MIN_CORES..=MAX_CORES)).map(Self)
    }
}

fn number_range(range: &RangeInclusive<u32>) -> RangeInclusive<f64> {
    f64::from(*range.start())..=f64::from(*range.end())
}
