//! Execution of a failover's actions.

use std::sync::Arc;
use std::time::Duration;

use kameo::actor::ActorRef;
use mustardbay_policy::names::GroupName;
use mustardbay_policy::names::UpstreamName;
use tokio_util::task::AbortOnDropHandle;

use crate::clock::BootInstant;
use crate::fleet::Member;
use crate::group::Action;
use crate::group::Event;
use crate::group::Failover;
use crate::group::FencingToken;
use crate::group::LATE_CALL_TIME;
use crate::link::AskBody;
use crate::link::ReplyBody;
use crate::link::frame::Reach;
use crate::platform::Claim;
use crate::platform::PlatformError;
use crate::platform::Promotion;
use crate::pool::Command;
use crate::runner::Contacts;
use crate::runner::Probe;
use crate::vm::steward::ActionDone;
use crate::vm::steward::Deps;
use crate::vm::steward::Steward;

/// Maximum wait for another vm's reply about an upstream.
const PEER_TIMEOUT: Duration = Duration::from_millis(250);
/// Time between two looks at the store for a duty that may still be held.
const DUTY_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum rank of the vms that are asked about an upstream: two in each domain of a small fleet.
const MAX_PEER_RANK: usize = 8;

impl Steward {
    /// Starts an action; its result arrives as an [`ActionDone`] message.
    pub(super) fn start_action(
        &self,
        group: &GroupName,
        action: Action,
        contacts: Option<&Contacts>,
        steward: &ActorRef<Self>,
    ) {
        let deps = Arc::clone(&self.deps);
        let group = group.clone();
        let steward = steward.clone();
        if action == Action::AskStatus {
            tracing::debug!(event = "succession", group = %group, action = ?action);
        } else {
            let evacuated = contacts.is_some_and(Contacts::is_primary_evacuated);
            let statuses = contacts.map(Contacts::statuses);
            tracing::info!(event = "succession", group = %group, action = ?action, evacuated, statuses);
        }
        if let Some(step) = action.step() {
            deps.vm_metrics.promotion_step(step);
        }
        match action {
            Action::AskStatus => self.probe(&group, Probe::AskStatus),
            Action::Pause(term, upstreams) => {
                self.probe(&group, Probe::Command(upstreams, Command::Pause(term)));
            }
            Action::Continue(upstreams) => {
                self.probe(&group, Probe::Command(upstreams, Command::Continue));
            }
            Action::AskPeers(upstream) => {
                self.probe(&group, Probe::AskStatus);
                let address = contacts.and_then(|c| address_of(c, &upstream));
                run_action(steward, group.clone(), async move {
                    ask_peers(&deps, &group, address).await
                });
            }
            Action::Claim => {
                run_action(
                    steward,
                    group.clone(),
                    async move { claim(&deps, &group).await },
                );
            }
            Action::Promote(upstream, token) => run_action(steward, group.clone(), async move {
                let promoted = deps
                    .platform
                    .promote(&group, &upstream, &deps.me, token)
                    .await;
                tracing::info!(event = "promotion_called", group = %group, upstream = %upstream,
                    token = %token, result = ?promoted);
                let (step, event) = match promoted {
                    Promotion::Accepted => ("accepted", Event::Accepted),
                    Promotion::Refused => ("refused", Event::Refused),
                    Promotion::Unknown => ("unanswered", Event::Unknown),
                };
                deps.vm_metrics.promotion_step(step);
                event
            }),
        }
    }
}

impl Steward {
    /// Has a group's pool ask its upstreams; the replies appear in the pool's contacts.
    fn probe(&self, group: &GroupName, probe: Probe) {
        if let Some(watched) = self.groups.get(group)
            && watched.pool.probes.send(probe).is_err()
        {
            tracing::error!(event = "pool_gone", group = %group);
        }
    }
}

/// Releases the duty of a vm that is no longer the group's home, so that the new home need not wait.
///
/// Dropping the handle ends that, as a vm must that becomes the home once more.
pub(super) fn give_up_duty(
    deps: &Arc<Deps>,
    group: GroupName,
    ended: &Failover,
) -> AbortOnDropHandle<()> {
    let deps = Arc::clone(deps);
    let token = ended.held_token();
    let open_claim = ended.has_open_claim();
    AbortOnDropHandle::new(tokio::spawn(async move {
        let released = match token {
            Some(token) => release(&deps, &group, token).await,
            None => true,
        };
        if open_claim || !released {
            release_until_gone(&deps, &group).await;
        }
    }))
}

/// Releases the duty under whatever token, until no call without an answer can bring it back.
async fn release_until_gone(deps: &Deps, group: &GroupName) {
    let began = BootInstant::now();
    loop {
        tokio::time::sleep(DUTY_CHECK_INTERVAL).await;
        let held = deps.platform.held_duty(group, &deps.me).await;
        match held {
            Ok(Some(token)) => {
                release(deps, group, token).await;
            }
            Ok(None) if BootInstant::now().since(began) >= LATE_CALL_TIME => return,
            Ok(None) => {}
            Err(e) => tracing::warn!(event = "duty_not_read", group = %group, error = %e),
        }
    }
}

/// Releases the duty that is held under a token; returns whether the store carried that out.
async fn release(deps: &Deps, group: &GroupName, token: FencingToken) -> bool {
    match deps.platform.release(group, token).await {
        Ok(()) => {
            tracing::info!(event = "duty_released", group = %group, token = %token);
            true
        }
        Err(e) => {
            tracing::warn!(event = "duty_not_released", group = %group, token = %token, error = %e);
            false
        }
    }
}

/// Runs an action in the background and sends its result to the steward.
fn run_action(
    steward: ActorRef<Steward>,
    group: GroupName,
    action: impl Future<Output = Event> + Send + 'static,
) {
    tokio::spawn(async move {
        let event = action.await;
        if steward.tell(ActionDone(group, event)).await.is_err() {
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

/// Asks the next vms of the group's ranking whether they can connect to an address.
async fn ask_peers(deps: &Arc<Deps>, group: &GroupName, address: Option<String>) -> Event {
    let (Some(address), Some(assignment)) = (address, deps.latest_view.assignment()) else {
        return Event::NoPeerAnswers;
    };
    let ranking = assignment.ranking(group);
    let ranked = (0..=MAX_PEER_RANK).filter_map(|rank| ranking.get(rank));
    let peers: Vec<&Member> = ranked.filter(|member| member.vm != deps.me).collect();
    if peers.is_empty() {
        return Event::NoPeerReaches;
    }
    let mut answers = tokio::task::JoinSet::new();
    for peer in peers {
        answers.spawn(ask_peer(Arc::clone(deps), peer.clone(), address.clone()));
    }
    let mut answered = false;
    while let Some(answer) = answers.join_next().await {
        match answer {
            Ok(Some(true)) => return Event::PeerReaches,
            Ok(Some(false)) => answered = true,
            Ok(None) => {}
            Err(e) => tracing::error!(event = "peer_not_asked", error = %e),
        }
    }
    if answered {
        Event::NoPeerReaches
    } else {
        Event::NoPeerAnswers
    }
}

/// Asks one vm whether it can connect to an address; returns nothing if it does not reply in time.
async fn ask_peer(deps: Arc<Deps>, peer: Member, address: String) -> Option<bool> {
    let asked = async {
        let link = deps.links.to(&peer.vm, peer.address).await?;
        let ask = AskBody::Reach(Reach { address });
        link.call(link.number(), ask).await.ok()
    };
    match tokio::time::timeout(PEER_TIMEOUT, asked).await {
        Ok(Some(ReplyBody::ReachReply(answer))) => Some(answer.reached),
        Ok(_) | Err(_) => None,
    }
}

async fn claim(deps: &Deps, group: &GroupName) -> Event {
    let Some(lease) = deps.vm_lease.lease() else {
        tracing::info!(event = "claim_without_lease", group = %group);
        return Event::NotClaimed;
    };
    match deps.platform.claim(group, &deps.me, lease).await {
        Ok(Claim::Held(token)) => Event::Claimed(token),
        Ok(Claim::Taken(holder)) => {
            tracing::info!(event = "duty_taken", group = %group, holder = %holder);
            Event::NotClaimed
        }
        Err(e) => {
            tracing::warn!(event = "claim_failed", group = %group, error = %e);
            match e {
                PlatformError::Refused(_) | PlatformError::LeaseEnded | PlatformError::Restored => {
                    Event::NotClaimed
                }
                PlatformError::NoAnswer(_) | PlatformError::Unusable(_) => Event::ClaimUnanswered,
            }
        }
    }
}
