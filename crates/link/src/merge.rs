//! Merge of a view update into the previous view; versions and terms never decrease.

use std::collections::BTreeMap;
use std::sync::Arc;

use mustardbay_policy::bundle::Bundle;
use mustardbay_policy::names::GroupName;
use mustardbay_policy::view::FleetView;
use mustardbay_policy::view::GroupState;
use mustardbay_wire::ViewUpdate;

/// Merges an update, which holds only the parts that changed, into the previous view.
///
/// A restarted steward may send an older bundle or an older term; the newer one is kept.
///
/// # Errors
///
/// Fails if a part is not valid JSON of its type.
pub fn merge(old: Option<&FleetView>, update: &ViewUpdate) -> Result<FleetView, serde_json::Error> {
    let bundle = match (&update.bundle, old) {
        (Some(json), _) => newer_bundle(serde_json::from_slice(json)?, old),
        (None, Some(old)) => Arc::clone(&old.bundle),
        (None, None) => Arc::default(),
    };
    let groups = match (&update.groups, old) {
        (Some(json), _) => newer_groups(serde_json::from_slice(json)?, old),
        (None, Some(old)) => old.groups.clone(),
        (None, None) => BTreeMap::default(),
    };
    let vms = match (&update.vms, old) {
        (Some(json), _) => serde_json::from_slice(json)?,
        (None, Some(old)) => old.vms.clone(),
        (None, None) => BTreeMap::default(),
    };
    let rates_known = old.is_some_and(|old| old.rates_known);
    Ok(FleetView {
        bundle,
        groups,
        vms,
        rates_known: update.rates_known.unwrap_or(rates_known),
    })
}

fn newer_bundle(bundle: Bundle, old: Option<&FleetView>) -> Arc<Bundle> {
    match old {
        Some(old) if old.bundle.version > bundle.version => Arc::clone(&old.bundle),
        _ => Arc::new(bundle),
    }
}

fn newer_groups(
    mut groups: BTreeMap<GroupName, GroupState>,
    old: Option<&FleetView>,
) -> BTreeMap<GroupName, GroupState> {
    for (name, state) in &mut groups {
        let known = old.and_then(|old| old.groups.get(name));
        if let Some(known) = known.filter(|known| known.term > state.term) {
            *state = known.clone();
        }
    }
    groups
}
