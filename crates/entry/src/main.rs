//! `mustardbay-entry`: serves PostgreSQL sessions of clients.

use std::process::ExitCode;

use mimalloc::MiMalloc;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

fn main() -> ExitCode {
    mustardbay_entry::run().into()
}
