//! Readiness of an entry for clients.

use std::sync::Arc;
use std::time::Duration;

use mustardbay_policy::view::FleetView;
use tokio::time::timeout;

use crate::context::Context;

/// Longest wait, after the first view, for the state of all groups.
///
/// Half of the 4 s within which a configuration must be in force.
const MAX_GROUPS_WAIT: Duration = Duration::from_secs(2);
/// Longest wait for the accounts' rates, after the wait for groups.
///
/// The other half of the 4 s; the rates are unknown while the platform is unreachable.
const MAX_RATES_WAIT: Duration = Duration::from_secs(2);

/// Marks the process ready once all group states and the accounts' rates are known.
///
/// If it were ready earlier, it would refuse statements that another entry could serve. Both waits
/// are bounded, so a group that stays unknown does not block clients of the other groups.
pub(crate) async fn mark_when_ready(ctx: Arc<Context>) {
    if !wait_for_view(&ctx, |_| true).await {
        return;
    }
    let waits = [
        (
            MAX_GROUPS_WAIT,
            all_groups_known as fn(&FleetView) -> bool,
            "groups",
        ),
        (MAX_RATES_WAIT, |view| view.rates_known, "rates"),
    ];
    for (wait, check, unknown) in waits {
        match timeout(wait, wait_for_view(&ctx, check)).await {
            Ok(true) => {}
            Ok(false) => return,
            Err(_) => tracing::warn!(event = "entry_waited_in_vain", unknown),
        }
    }
    tracing::info!(event = "entry_ready");
    ctx.lifecycle.mark_ready();
}

/// Waits for a view that passes `check`; returns `false` if no more views will arrive.
async fn wait_for_view(ctx: &Context, check: impl Fn(&FleetView) -> bool) -> bool {
    let mut changes = ctx.steward.changes();
    loop {
        if ctx.steward.view().is_some_and(|view| check(&view)) {
            return true;
        }
        if changes.changed().await.is_err() {
            return false;
        }
    }
}

/// Reports whether the state of every group is known.
fn all_groups_known(view: &FleetView) -> bool {
    let mut groups = view.bundle.groups.iter();
    groups.all(|group| view.groups.contains_key(&group.name))
}
