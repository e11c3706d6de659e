//! Replies to other vms that ask for this vm's snapshot.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;

use bytes::Bytes;

use crate::clock::BootInstant;
use crate::latest_view::FleetView;
use crate::latest_view::LatestView;
use crate::link::frame::AskSnapshot;
use crate::link::frame::SnapshotReply;
use crate::snapshot::Fingerprint;
use crate::snapshot::SnapshotDelta;
use crate::sync::lock;

/// Part of a view that a vm lacks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Part {
    /// Configuration and topology.
    Whole,
    /// Topology; the vm has the configuration.
    Topology,
    /// Changes since the view with this fingerprint, which the vm has.
    Delta(Fingerprint),
}

/// Encoded parts of one view, so that each is encoded once for all vms that ask.
#[derive(Debug, Default)]
struct EncodedParts {
    fingerprint: Option<Fingerprint>,
    parts: BTreeMap<Part, Bytes>,
}

/// Answers other vms from the newest view.
#[derive(Debug)]
pub(super) struct SnapshotReplies {
    latest_view: Arc<LatestView>,
    encoded: Mutex<EncodedParts>,
}

impl SnapshotReplies {
    pub(super) fn new(latest_view: Arc<LatestView>) -> Self {
        Self {
            latest_view,
            encoded: Mutex::default(),
        }
    }

    /// Returns the part of the view that the requesting vm lacks.
    pub(super) fn reply(&self, known: AskSnapshot) -> SnapshotReply {
        let Some(view) = self.latest_view.view() else {
            return SnapshotReply::default();
        };
        let age = view.age(BootInstant::now());
        let reply = SnapshotReply {
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            fingerprint: view.fingerprint.0,
            settled: self.latest_view.is_settled(&view),
            ..SnapshotReply::default()
        };
        let Some(part) = self.part_for(known, &view) else {
            return reply;
        };
        let encoded = match self.encoded(part, &view) {
            Ok(encoded) => encoded,
            Err(e) => {
                tracing::error!(event = "snapshot_not_encoded", error = %e);
                return SnapshotReply::default();
            }
        };
        match part {
            Part::Whole => SnapshotReply {
                snapshot: encoded,
                ..reply
            },
            Part::Topology => SnapshotReply {
                topology: encoded,
                ..reply
            },
            Part::Delta(_) => SnapshotReply {
                delta: encoded,
                ..reply
            },
        }
    }

    /// Returns which part of a view a vm lacks; nothing if it has the view, or must ask for the whole.
    fn part_for(&self, known: AskSnapshot, view: &FleetView) -> Option<Part> {
        if known.fingerprint == view.fingerprint.0 {
            return None;
        }
        let base = Fingerprint(known.fingerprint);
        if self.latest_view.earlier_view(base).is_some() {
            return Some(Part::Delta(base));
        }
        if known.version != view.snapshot.configuration.version.0 {
            return known.whole.then_some(Part::Whole);
        }
        Some(Part::Topology)
    }

    fn encoded(&self, part: Part, view: &FleetView) -> Result<Bytes, serde_json::Error> {
        let mut encoded = lock(&self.encoded);
        if encoded.fingerprint != Some(view.fingerprint) {
            encoded.fingerprint = Some(view.fingerprint);
            encoded.parts.clear();
        }
        if let Some(known) = encoded.parts.get(&part) {
            return Ok(known.clone());
        }
        let bytes = Bytes::from(self.encode(part, view)?);
        encoded.parts.insert(part, bytes.clone());
        Ok(bytes)
    }

    fn encode(&self, part: Part, view: &FleetView) -> Result<Vec<u8>, serde_json::Error> {
        let base = match part {
            Part::Whole => return serde_json::to_vec(&view.snapshot),
            Part::Topology => None,
            Part::Delta(base) => self.latest_view.earlier_view(base),
        };
        match base {
            Some(base) => {
                let delta = SnapshotDelta::between(&base.snapshot, &view.snapshot);
                serde_json::to_vec(&delta)
            }
            None => serde_json::to_vec(&view.snapshot.topology()),
        }
    }
}
