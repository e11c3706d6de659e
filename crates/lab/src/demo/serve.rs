//! Demonstration fleet that keeps running for manual use.

use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use super::error::DemoError;
use crate::fleet::Fleet;
use crate::fleet::Kind;
use crate::fleet::demo;

/// Starts the demonstration fleet, prints its addresses and runs until SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails if a signal handler cannot be installed or the fleet does not start.
pub async fn serve() -> Result<(), DemoError> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let fleet = Fleet::start(demo()).await?;
    print_addresses(&fleet);
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    fleet.stop().await;
    Ok(())
}

/// Prints the URL of each entry, the admin address of each program, and then `ready`.
fn print_addresses(fleet: &Fleet) {
    let vms = fleet.vms();
    for (n, vm) in (1..).zip(&vms) {
        println!("entry {n} {}/ledger", fleet.entry_url(vm.as_str(), "alice"));
    }
    let kinds = [Kind::Entry, Kind::Pool, Kind::Steward];
    let programs = vms.iter().flat_map(|vm| kinds.map(|kind| (vm, kind)));
    for (n, (vm, kind)) in (1..).zip(programs) {
        println!("admin {n} {}", fleet.admin(vm.as_str(), kind));
    }
    println!("ready");
}
