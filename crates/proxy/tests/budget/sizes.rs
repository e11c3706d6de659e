//! Sizes for different machines.

use mustardbay_proxy::budget::Sizes;
use mustardbay_proxy::settings::Descriptors;
use mustardbay_proxy::settings::Limits;
use mustardbay_proxy::settings::Memory;
use test_case::test_case;

const MIB: usize = 1_024 * 1_024;

#[test_case(32, 232, 8, 16; "smallest_settings")]
#[test_case(160, 4_300, 40, 3_417; "smallest_machine")]
#[test_case(512, 4_300, 128, 3_417; "largest_machine")]
fn sizes_follow_the_machine(memory_mb: u32, descriptors: u32, mib: usize, sessions: usize) {
    let sizes = Sizes::of(Limits {
        memory_mb: Memory::clamped(memory_mb),
        descriptors: Descriptors::clamped(descriptors),
    });
    assert_eq!((sizes.bytes / MIB, sizes.sessions), (mib, sessions));
    assert!(
        sizes.answer_bytes >= 2 * MIB,
        "a row of the largest size fits"
    );
    assert!(sizes.large_answers >= 1);
}

#[test]
fn sizes_without_settings_are_those_of_the_smallest_machine() {
    let given = Limits {
        memory_mb: Memory::clamped(160),
        descriptors: Descriptors::clamped(4_300),
    };
    assert_eq!(Sizes::of(Limits::default()), Sizes::of(given));
}
