//! Requests to other vms for their snapshots.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use mustardbay_policy::names::VmName;
use thiserror::Error;

use crate::clock::BootInstant;
use crate::clock::millis;
use crate::fleet::Member;
use crate::latest_view::FleetView;
use crate::link::AskBody;
use crate::link::Links;
use crate::link::ReplyBody;
use crate::link::frame::AskSnapshot;
use crate::link::frame::SnapshotReply;
use crate::snapshot::Fingerprint;
use crate::snapshot::Snapshot;
use crate::snapshot::SnapshotDelta;

/// Maximum wait for another vm's reply, beyond the time for which that vm may wait itself.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum wait for a whole snapshot from another vm: as long as for a list read from the store.
const WHOLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for which the other vm may wait for its own first snapshot before it replies.
const FIRST_VIEW_WAIT: Duration = Duration::from_millis(500);

/// Client for the snapshots of other vms.
#[derive(Debug, Clone)]
pub(super) struct Peers {
    links: Arc<Links>,
}

/// Request to one vm.
#[derive(Debug, Clone, Copy)]
struct SnapshotRequest<'a> {
    known: Option<&'a FleetView>,
    /// Whether changes against the known view are wanted, if the vm remembers that view.
    delta: bool,
    whole: bool,
    max_wait: Duration,
}

impl Peers {
    pub(super) fn new(links: Arc<Links>) -> Self {
        Self { links }
    }

    /// Asks a vm for its snapshot; returns nothing unless it has a newer one than `known`.
    pub(super) async fn ask(&self, member: &Member, known: &FleetView) -> Option<FleetView> {
        self.fetch(member, Some(known)).await
    }

    /// Asks all `members` at once for a first snapshot; returns that of the first that has one.
    ///
    /// Only that one sends it whole.
    pub(super) async fn ask_first(&self, members: Vec<Member>) -> Option<(FleetView, VmName)> {
        let request = SnapshotRequest {
            known: None,
            delta: false,
            whole: false,
            max_wait: FIRST_VIEW_WAIT,
        };
        let offers: FuturesUnordered<_> = members
            .iter()
            .map(|member| async move {
                let reply = self.send_request(member, request).await?;
                (reply.fingerprint != 0).then_some(member)
            })
            .collect();
        let mut offers = offers.filter_map(std::future::ready);
        let member = offers.next().await?;
        let view = self.fetch(member, None).await?;
        Some((view, member.vm.clone()))
    }

    /// Requests the whole snapshot only if the configuration is new, since it may take long to send.
    async fn fetch(&self, member: &Member, known: Option<&FleetView>) -> Option<FleetView> {
        let mut asked = BootInstant::now();
        let request = SnapshotRequest {
            known,
            delta: true,
            whole: false,
            max_wait: Duration::ZERO,
        };
        let mut reply = self.send_request(member, request).await?;
        let as_of = asked.before(Duration::from_millis(reply.age_ms));
        if reply.fingerprint == 0 || known.is_some_and(|known| as_of <= known.asked) {
            return None;
        }
        if let Some(known) = known.filter(|known| known.fingerprint.0 == reply.fingerprint) {
            return Some(FleetView {
                asked: as_of,
                settled: reply.settled,
                ..known.clone()
            });
        }
        if !reply.delta.is_empty() {
            let newer = decode(reply, known, asked, &member.vm).await;
            if newer.is_some() {
                return newer;
            }
            asked = BootInstant::now();
            let request = SnapshotRequest {
                delta: false,
                ..request
            };
            reply = self.send_request(member, request).await?;
        }
        if reply.topology.is_empty() {
            asked = BootInstant::now();
            let request = SnapshotRequest {
                whole: true,
                ..request
            };
            reply = self.send_request(member, request).await?;
            if reply.fingerprint == 0 {
                tracing::debug!(event = "snapshot_not_offered", vm = %member.vm);
                return None;
            }
        }
        decode(reply, known, asked, &member.vm).await
    }

    async fn send_request(
        &self,
        member: &Member,
        request: SnapshotRequest<'_>,
    ) -> Option<SnapshotReply> {
        let known = request.known;
        let ask = AskSnapshot {
            fingerprint: known
                .filter(|_| request.delta)
                .map_or(0, |known| known.fingerprint.0),
            version: known.map_or(0, |known| known.snapshot.configuration.version.0),
            whole: request.whole,
            max_wait_ms: millis(request.max_wait),
        };
        let timeout = if request.whole {
            WHOLE_TIMEOUT
        } else {
            ANSWER_TIMEOUT + request.max_wait
        };
        let call = async {
            let link = self.links.to(&member.vm, member.address).await?;
            match link.call(link.number(), AskBody::Snapshot(ask)).await {
                Ok(ReplyBody::SnapshotReply(reply)) => Some(reply),
                other => {
                    tracing::debug!(event = "snapshot_not_received", vm = %member.vm, answer = ?other);
                    None
                }
            }
        };
        tokio::time::timeout(timeout, call).await.ok().flatten()
    }
}

/// Decodes a snapshot on a blocking thread.
///
/// The view is dated by the time of the request, not of the reply, so that it never seems too new.
async fn decode(
    reply: SnapshotReply,
    known: Option<&FleetView>,
    asked: BootInstant,
    vm: &VmName,
) -> Option<FleetView> {
    let as_of = asked.before(Duration::from_millis(reply.age_ms));
    let fingerprint = Fingerprint(reply.fingerprint);
    let settled = reply.settled;
    let known = known.map(|known| known.snapshot.clone());
    let decoded =
        tokio::task::spawn_blocking(move || decode_snapshot(&reply, known.as_ref())).await;
    match decoded {
        Ok(Ok(snapshot)) => Some(FleetView {
            snapshot,
            fingerprint,
            asked: as_of,
            settled,
        }),
        Ok(Err(e)) => {
            tracing::warn!(event = "snapshot_unreadable", vm = %vm, error = %e);
            None
        }
        Err(e) => {
            tracing::error!(event = "snapshot_not_decoded", vm = %vm, error = %e);
            None
        }
    }
}

/// Why a snapshot of another vm cannot be used.
#[derive(Debug, Error)]
enum SnapshotError {
    /// It is not valid JSON of the expected form.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    /// The changes do not lead from the known snapshot to the named one.
    #[error("the changes lead to another snapshot")]
    OtherBase,
}

/// Decodes a snapshot; if the configuration is known, the reply holds only the rest.
fn decode_snapshot(
    reply: &SnapshotReply,
    known: Option<&Snapshot>,
) -> Result<Snapshot, SnapshotError> {
    match known {
        Some(known) if !reply.delta.is_empty() => {
            let delta: SnapshotDelta = serde_json::from_slice(&reply.delta)?;
            let snapshot = delta.apply(known).ok_or(SnapshotError::OtherBase)?;
            if snapshot.fingerprint()?.0 == reply.fingerprint {
                Ok(snapshot)
            } else {
                Err(SnapshotError::OtherBase)
            }
        }
        Some(known) if !reply.topology.is_empty() => {
            let topology = serde_json::from_slice(&reply.topology)?;
            Ok(known.with_topology(topology))
        }
        _ => Ok(serde_json::from_slice(&reply.snapshot)?),
    }
}
