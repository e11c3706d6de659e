//! Stand-ins, load and measurements for mustardbay.

use std::process::ExitCode;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

#[tokio::main]
async fn main() -> ExitCode {
    mustardbay_lab::run::run().await.into()
}
