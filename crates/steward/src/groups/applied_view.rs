//! Detection of view changes that require the monitors to be reconfigured.

use std::sync::Arc;

use mustardbay_policy::view::FleetView;

/// View that the monitors were last configured from.
///
/// It starts empty instead of with the published view: the bundle and the vms may have been
/// published before the actor started, and may never change again.
#[derive(Debug, Default)]
pub struct AppliedView {
    view: Option<Arc<FleetView>>,
}

impl AppliedView {
    /// Records a view; returns whether its bundle or its vms differ from the last one.
    pub fn apply(&mut self, view: &Arc<FleetView>) -> bool {
        let same = self
            .view
            .as_ref()
            .is_some_and(|known| Arc::ptr_eq(&view.bundle, &known.bundle) && view.vms == known.vms);
        if !same {
            self.view = Some(Arc::clone(view));
        }
        !same
    }
}
