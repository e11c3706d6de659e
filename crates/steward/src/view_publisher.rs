//! Newest view of the fleet, and its encoding for the local programs.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use mustardbay_policy::bundle::Bundle;
use mustardbay_policy::bundle::BundleVersion;
use mustardbay_policy::names::GroupName;
use mustardbay_policy::names::VmName;
use mustardbay_policy::view::FleetView;
use mustardbay_policy::view::GroupState;
use mustardbay_policy::view::VmState;
use mustardbay_wire::ViewUpdate;
use serde::Serialize;
use tokio::sync::watch;

/// Holds the newest view of the fleet and notifies subscribers of changes.
#[derive(Debug)]
pub struct ViewPublisher {
    current: watch::Sender<PublishedView>,
}

/// View of the fleet with its parts encoded for local programs.
#[derive(Debug, Clone)]
pub(crate) struct PublishedView {
    /// The decoded view.
    pub(crate) view: Arc<FleetView>,
    bundle: EncodedPart,
    groups: EncodedPart,
    vms: EncodedPart,
}

/// JSON of one part of the view, and the number of times it changed.
#[derive(Debug, Clone, Default)]
struct EncodedPart {
    changes: u64,
    json: Bytes,
}

/// Change counts of the parts that a receiver was sent last.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct SentChanges {
    bundle: u64,
    groups: u64,
    vms: u64,
    rates_known: bool,
}

impl EncodedPart {
    fn replace(&mut self, value: &impl Serialize) {
        match serde_json::to_vec(value) {
            Ok(json) => {
                self.changes += 1;
                self.json = Bytes::from(json);
            }
            Err(e) => tracing::error!(event = "view_not_encoded", error = %e),
        }
    }

    fn since(&self, sent: u64) -> Option<Bytes> {
        (self.changes > sent).then(|| self.json.clone())
    }
}

impl PublishedView {
    /// Returns the parts that changed since `sent` and updates it; `None` if nothing changed.
    pub(crate) fn update(&self, sent: &mut SentChanges) -> Option<ViewUpdate> {
        let update = ViewUpdate {
            bundle: self.bundle.since(sent.bundle),
            groups: self.groups.since(sent.groups),
            vms: self.vms.since(sent.vms),
            rates_known: (self.view.rates_known && !sent.rates_known).then_some(true),
        };
        *sent = SentChanges {
            bundle: self.bundle.changes,
            groups: self.groups.changes,
            vms: self.vms.changes,
            rates_known: self.view.rates_known,
        };
        (update != ViewUpdate::default()).then_some(update)
    }
}

impl Default for ViewPublisher {
    fn default() -> Self {
        let view = FleetView {
            bundle: Arc::default(),
            groups: BTreeMap::new(),
            vms: BTreeMap::new(),
            rates_known: false,
        };
        let published = PublishedView {
            view: Arc::new(view),
            bundle: EncodedPart::default(),
            groups: EncodedPart::default(),
            vms: EncodedPart::default(),
        };
        Self {
            current: watch::Sender::new(published),
        }
    }
}

impl ViewPublisher {
    /// Returns the newest view.
    #[must_use]
    pub fn view(&self) -> Arc<FleetView> {
        Arc::clone(&self.current.borrow().view)
    }

    /// Returns the version of the bundle in force; 0 before the first one.
    #[must_use]
    pub fn version(&self) -> BundleVersion {
        self.current.borrow().view.bundle.version
    }

    pub(crate) fn subscribe(&self) -> watch::Receiver<PublishedView> {
        self.current.subscribe()
    }

    /// Publishes a bundle if it is newer than the one in force; returns whether it is.
    pub(crate) fn publish_bundle(&self, bundle: Bundle) -> bool {
        self.current.send_if_modified(|published| {
            if bundle.version <= published.view.bundle.version {
                return false;
            }
            published.bundle.replace(&bundle);
            Arc::make_mut(&mut published.view).bundle = Arc::new(bundle);
            true
        })
    }

    /// Publishes the state of a group if it is newer; returns whether it is.
    pub(crate) fn publish_group(&self, group: &GroupName, state: GroupState) -> bool {
        self.current.send_if_modified(|published| {
            if !supersedes(&state, published.view.groups.get(group)) {
                return false;
            }
            let view = Arc::make_mut(&mut published.view);
            view.groups.insert(group.clone(), state);
            published.groups.replace(&view.groups);
            true
        })
    }

    /// Publishes that the rate ledgers of all accounts are known; returns whether that is new.
    pub(crate) fn publish_rates_known(&self) -> bool {
        self.current.send_if_modified(|published| {
            let changed = !published.view.rates_known;
            if changed {
                Arc::make_mut(&mut published.view).rates_known = true;
            }
            changed
        })
    }

    /// Publishes the live vms; returns whether they changed.
    pub(crate) fn publish_vms(&self, vms: BTreeMap<VmName, VmState>) -> bool {
        self.current.send_if_modified(|published| {
            if vms == published.view.vms {
                return false;
            }
            published.vms.replace(&vms);
            Arc::make_mut(&mut published.view).vms = vms;
            true
        })
    }
}

/// Tells whether a state has a higher term, or names the primary that is missing from its term.
fn supersedes(state: &GroupState, known: Option<&GroupState>) -> bool {
    let Some(known) = known else {
        return true;
    };
    let names_primary = known.primary.is_none() && state.primary.is_some();
    state.term > known.term || (state.term == known.term && names_primary)
}
