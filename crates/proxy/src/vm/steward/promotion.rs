//! Carries out the steps of a succession.

use std::sync::Arc;
use std::time::Duration;

use kameo::actor::ActorRef;
use mustardbay_policy::names::GroupName;
use mustardbay_policy::names::UpstreamName;

use crate::group::Action;
use crate::group::Event;
use crate::group::FencingToken;
use crate::link::AskBody;
use crate::link::ReplyBody;
use crate::link::frame::Reach;
use crate::platform::Claim;
use crate::platform::Promotion;
use crate::runner::Contacts;
use crate::runner::Probe;
use crate::vm::steward::Happened;
use crate::vm::steward::Parts;
use crate::vm::steward::Steward;

/// Longest wait for other vms' word on an upstream.
const WORD_TIMEOUT: Duration = Duration::from_millis(250);

impl Steward {
    /// Carries out a step; what became of it comes back as a message.
    pub(super) fn act(
        &self,
        group: &GroupName,
        action: Action,
        contacts: Option<&Contacts>,
        itself: &ActorRef<Self>,
    ) {
        let parts = Arc::clone(&self.parts);
        let group = group.clone();
        let itself = itself.clone();
        if action == Action::Survey {
            tracing::debug!(event = "succession", group = %group, action = ?action);
        } else {
            tracing::info!(event = "succession", group = %group, action = ?action);
        }
        match action {
            Action::Survey => {
                if let Some(watched) = self.groups.get(&group)
                    && watched.pool.probes.send(Probe::Survey).is_err()
                {
                    tracing::error!(event = "pool_gone", group = %group);
                }
            }
            Action::AskPeers(upstream) => {
                let address = contacts.and_then(|c| address_of(c, &upstream));
                report(itself, group, async move {
                    if anyone_reaches(&parts, address).await {
                        Event::PeerReaches
                    } else {
                        Event::NobodyReaches
                    }
                });
            }
            Action::Claim => report(
                itself,
                group.clone(),
                async move { claim(&parts, &group).await },
            ),
            Action::Promote(upstream, token) => report(itself, group.clone(), async move {
                let promoted = parts
                    .platform
                    .promote(&group, &upstream, &parts.me, token)
                    .await;
                tracing::info!(event = "promotion_called", group = %group, upstream = %upstream,
                    token = %token, result = ?promoted);
                match promoted {
                    Promotion::Accepted => Event::Accepted,
                    Promotion::Refused => Event::Refused,
                    Promotion::Unknown => Event::Unknown,
                }
            }),
        }
    }
}

/// Gives a duty back in the background, so that the group's new home need not wait for a lease.
pub(super) fn release(parts: &Arc<Parts>, group: GroupName, token: FencingToken) {
    let parts = Arc::clone(parts);
    tokio::spawn(async move {
        let released = parts.platform.release(&group, token).await;
        match released {
            Ok(()) => tracing::info!(event = "duty_released", group = %group, token = %token),
            Err(e) => {
                tracing::warn!(event = "duty_not_released", group = %group, token = %token, error = %e);
            }
        }
    });
}

/// Carries out a step in the background and tells the steward what became of it.
fn report(
    steward: ActorRef<Steward>,
    group: GroupName,
    step: impl Future<Output = Event> + Send + 'static,
) {
    tokio::spawn(async move {
        let event = step.await;
        if steward.tell(Happened(group, event)).await.is_err() {
            tracing::debug!(event = "steward_gone");
        }
    });
}

fn address_of(contacts: &Contacts, upstream: &UpstreamName) -> Option<String> {
    let contact = contacts
        .upstreams
        .iter()
        .find(|c| c.registration.name == *upstream)?;
    Some(contact.registration.address.to_string())
}

/// Tells whether any other vm can open a connection to an address.
async fn anyone_reaches(parts: &Arc<Parts>, address: Option<String>) -> bool {
    let (Some(address), Some(belief)) = (address, parts.board.belief()) else {
        return false;
    };
    let mut words = tokio::task::JoinSet::new();
    for member in belief.survey.members.iter() {
        if member.vm == parts.me {
            continue;
        }
        let parts = Arc::clone(parts);
        let member = member.clone();
        let address = address.clone();
        words.spawn(async move {
            let asked = async {
                let link = parts.links.to(&member.vm, member.address).await?;
                let ask = AskBody::Reach(Reach { address });
                link.call(link.number(), ask).await.ok()
            };
            let reply = tokio::time::timeout(WORD_TIMEOUT, asked).await;
            matches!(reply, Ok(Some(ReplyBody::Reached(word))) if word.reached)
        });
    }
    while let Some(word) = words.join_next().await {
        if matches!(word, Ok(true)) {
            return true;
        }
    }
    false
}

async fn claim(parts: &Parts, group: &GroupName) -> Event {
    let Some(lease) = parts.vm_lease.lease() else {
        tracing::info!(event = "claim_without_lease", group = %group);
        return Event::NotClaimed;
    };
    match parts.platform.claim(group, &parts.me, lease).await {
        Ok(Claim::Held(token)) => Event::Claimed(token),
        Ok(Claim::Taken(holder)) => {
            tracing::info!(event = "duty_taken", group = %group, holder = %holder);
            Event::NotClaimed
        }
        Err(e) => {
            tracing::warn!(event = "claim_failed", group = %group, error = %e);
            Event::NotClaimed
        }
    }
}
