//! Program `mustardbay`: the command line of the operators.

use std::process::ExitCode;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

#[tokio::main]
async fn main() -> ExitCode {
    mustardbay::run(std::env::args_os()).await.into()
}
