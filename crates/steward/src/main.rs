//! Steward program: keeps configuration, membership, group terms and rate shares on a vm.

use std::process::ExitCode;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    mustardbay_steward::run().into()
}
