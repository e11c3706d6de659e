//! Renewal of this vm's lease and of its entry in the member list.

use std::sync::Arc;
use std::time::Duration;

use mustardbay_process::lifecycle::Lifecycle;
use mustardbay_process::timer::Timer;

use crate::clock::BootInstant;
use crate::fleet::LEASE_TERM;
use crate::fleet::Member;
use crate::platform::Platform;
use crate::platform::PlatformError;
use crate::vm_lease::VmLease;

/// Time between two renewals; three fit into a lease term.
const RENEW_INTERVAL: Duration = Duration::from_millis(800);
/// First delay before a vm without a lease tries again; it doubles with each failure, up to
/// `RENEW_INTERVAL`.
///
/// It is short because a vm that has not joined serves no one.
const FIRST_JOIN_DELAY: Duration = Duration::from_millis(100);

/// Starts to join the fleet and to renew the lease, until the vm drains.
pub(super) fn start(
    me: Member,
    vm_lease: Arc<VmLease>,
    platform: Arc<dyn Platform>,
    lifecycle: Lifecycle,
    timer: &Timer,
) {
    let timer = timer.clone();
    let mut ticks = timer.every(RENEW_INTERVAL);
    tokio::spawn(async move {
        let mut delay = FIRST_JOIN_DELAY;
        while ticks.recv().await.is_some() {
            if lifecycle.is_draining() {
                return;
            }
            let renewed = renew_and_log(&me, &vm_lease, platform.as_ref()).await;
            if !renewed && vm_lease.renewed().is_none() && delay < RENEW_INTERVAL {
                tokio::time::sleep(delay).await;
                delay *= 2;
                ticks = timer.every(RENEW_INTERVAL);
            }
        }
    });
}

/// Renews the lease or joins, and logs a failure; returns whether it succeeded.
async fn renew_and_log(me: &Member, vm_lease: &VmLease, platform: &dyn Platform) -> bool {
    match renew(me, vm_lease, platform).await {
        Ok(()) => true,
        Err(e) => {
            tracing::info!(event = "lease_not_renewed", vm = %me.vm, error = %e);
            false
        }
    }
}

/// Renews the lease, or obtains a new one and joins with it.
async fn renew(
    me: &Member,
    vm_lease: &VmLease,
    platform: &dyn Platform,
) -> Result<(), PlatformError> {
    let asked = BootInstant::now();
    let Some(lease) = vm_lease.lease() else {
        return join(me, vm_lease, platform).await;
    };
    match platform.keep(lease).await {
        Ok(()) => {
            vm_lease.renew(lease, asked, LEASE_TERM);
            Ok(())
        }
        Err(PlatformError::LeaseEnded) => {
            tracing::info!(event = "lease_ended", vm = %me.vm, lease = lease.number);
            vm_lease.end();
            join(me, vm_lease, platform).await
        }
        // The lease counts until the new one is there: every vm joins again now, and if all of them
        // stopped granting meanwhile, every account would be refused.
        Err(PlatformError::Restored) => {
            tracing::info!(event = "lease_lost", vm = %me.vm, lease = lease.number);
            join(me, vm_lease, platform).await
        }
        Err(e) => Err(e),
    }
}

/// Obtains a lease and writes this vm's entry under it.
async fn join(
    me: &Member,
    vm_lease: &VmLease,
    platform: &dyn Platform,
) -> Result<(), PlatformError> {
    let asked = BootInstant::now();
    let (lease, term) = platform.lease(LEASE_TERM).await?;
    platform.join(me, lease).await?;
    vm_lease.renew(lease, asked, term);
    tracing::info!(event = "vm_joined", vm = %me.vm, lease = lease.number, era = lease.era.0);
    Ok(())
}
