//! Router that picks the vm whose pool runs a unit, and retries on other vms.

mod attempt;
mod placement;

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use mustardbay_policy::names::DomainName;
use mustardbay_policy::names::GroupName;
use mustardbay_policy::names::VmName;

use crate::clock::BootInstant;
use crate::entry::SuspectDomains;
use crate::entry::primary_positions::PrimaryPositions;
use crate::entry::router::attempt::Attempt;
use crate::entry::router::attempt::AttemptResult;
use crate::entry::router::attempt::Fallback;
use crate::entry::router::attempt::NO_VM_RETRY_MS;
use crate::fleet::Member;
use crate::latest_view::LatestView;
use crate::link::AskBody;
use crate::link::Link;
use crate::link::Links;
use crate::link::frame::Ping;
use crate::pool::Cause;
use crate::pool::Outcome;
use crate::pool::Refusal;
use crate::sync::lock;
use crate::work::WorkUnit;

pub use crate::entry::router::placement::Placement;

/// Vms that are tried in turn: the group's home and two fallbacks.
const MAX_CANDIDATES: usize = 3;
/// Timeout of a ping to a vm in a suspect domain: several round trips within a region.
const SUSPECT_PING_TIMEOUT: Duration = Duration::from_millis(40);

/// Routes units from the sessions of this vm to the pools of the fleet.
#[derive(Debug)]
pub struct Router {
    me: VmName,
    latest_view: Arc<LatestView>,
    links: Arc<Links>,
    suspect_domains: Mutex<SuspectDomains>,
    primary_positions: Mutex<PrimaryPositions>,
}

impl Router {
    /// Creates the router of the vm `me`.
    #[must_use]
    pub fn new(me: VmName, latest_view: Arc<LatestView>, links: Arc<Links>) -> Self {
        Self {
            me,
            latest_view,
            links,
            suspect_domains: Mutex::default(),
            primary_positions: Mutex::default(),
        }
    }

    /// Runs a unit on the first vm that can, and returns the outcome and placement.
    ///
    /// A vm that does not reply may only be slow. A unit that has no lasting effect there is tried
    /// on other vms meanwhile; the late reply is used if no other vm has an outcome.
    pub async fn run(&self, unit: WorkUnit) -> (Outcome, Option<Placement>) {
        let began = BootInstant::now();
        let group = GroupName::from(unit.group.as_str());
        let fresh_position = lock(&self.primary_positions).fresh(&group, &unit, began);
        let unit = WorkUnit {
            fresh_position,
            ..unit
        };
        let mut last_refusal = Refusal::new(Cause::Unreachable, NO_VM_RETRY_MS);
        let mut unanswered: Vec<Attempt> = Vec::new();
        for member in self.candidates(&group, &unit) {
            let unit = unit.after_delay(BootInstant::now().since(began));
            let Some(link) = self.link_for(&member, &unit).await else {
                tracing::info!(event = "vm_unreachable", request = %unit.statement.id, vm = %member.vm);
                continue;
            };
            let request = unit.statement.id.clone();
            let sent = BootInstant::now();
            let mut attempt = start_attempt(link, &member, group.clone(), unit);
            match self.first_result(&mut attempt).await {
                AttemptResult::Final(outcome) => {
                    self.learn_position(&group, &outcome, sent);
                    for other in &unanswered {
                        other.placement.release();
                    }
                    return (outcome, Some(attempt.placement));
                }
                AttemptResult::NotRun(refusal) => {
                    tracing::info!(event = "unit_moved", request, vm = %member.vm,
                        cause = refusal.cause().name());
                    last_refusal = refusal;
                }
                AttemptResult::NoReply => {
                    tracing::info!(event = "vm_silent", request, vm = %member.vm);
                    unanswered.push(attempt);
                }
            }
        }
        match first_outcome(unanswered).await {
            Some((outcome, placement)) => (outcome, Some(placement)),
            None => (Outcome::Refused(last_refusal), None),
        }
    }

    /// Returns the vms that may run a unit of a group in the order of trying, unresponsive ones last.
    ///
    /// A unit that is bound to regions stays on this vm or goes to vms there.
    fn candidates(&self, group: &GroupName, unit: &WorkUnit) -> Vec<Member> {
        let Some(assignment) = self.latest_view.assignment() else {
            return Vec::new();
        };
        let mut candidates = assignment.ranking(group).candidates(&self.me);
        candidates.retain(|member| member.vm == self.me || unit.allows(&member.domain));
        candidates.truncate(MAX_CANDIDATES);
        candidates.sort_by_key(|member| self.links.is_silent(&member.vm));
        candidates
    }

    /// Returns the link to a vm, or `None` if it is unreachable or probably cut off.
    async fn link_for(&self, member: &Member, unit: &WorkUnit) -> Option<Arc<Link>> {
        let suspect = self.is_suspect(&member.domain);
        if suspect && !self.links.is_open(&member.vm) {
            return None;
        }
        let link = self.links.to(&member.vm, member.address).await?;
        let may_last = Fallback::of(unit) == Fallback::InDoubt;
        if suspect && may_last && !answers_ping(&link).await {
            return None;
        }
        Some(link)
    }

    /// Waits for the reply; gives up once the vm counts as silent if the unit may run elsewhere.
    async fn first_result(&self, attempt: &mut Attempt) -> AttemptResult {
        let link = Arc::clone(&attempt.placement.link);
        let domain = attempt.domain.clone();
        let may_move = attempt.fallback == Fallback::Elsewhere;
        tokio::select! {
            result = attempt.reply() => {
                if matches!(result, AttemptResult::Final(_)) {
                    lock(&self.suspect_domains).on_answer(&domain);
                }
                result
            }
            () = self.until_silent(&link, &domain), if may_move => AttemptResult::NoReply,
        }
    }

    /// Waits until a vm counts as silent; in a suspect domain, one missed ping is enough.
    async fn until_silent(&self, link: &Link, domain: &DomainName) {
        if self.is_suspect(domain) && !answers_ping(link).await {
            return;
        }
        link.until_silent().await;
        lock(&self.suspect_domains).on_silence(domain, BootInstant::now());
    }

    /// Records the primary's position carried by an answer.
    fn learn_position(&self, group: &GroupName, outcome: &Outcome, sent: BootInstant) {
        if let Outcome::Answered(answer) = outcome
            && let Some(seen) = answer.primary
        {
            lock(&self.primary_positions).learn(group, seen, sent);
        }
    }

    fn is_suspect(&self, domain: &DomainName) -> bool {
        lock(&self.suspect_domains).contains(domain, BootInstant::now())
    }
}

fn start_attempt(link: Arc<Link>, member: &Member, group: GroupName, unit: WorkUnit) -> Attempt {
    let placement = Placement {
        vm: member.vm.clone(),
        group,
        number: link.number(),
        link,
    };
    Attempt::start(placement, member.domain.clone(), unit)
}

/// Tells whether a vm answers a ping within [`SUSPECT_PING_TIMEOUT`] and the time of the distance.
async fn answers_ping(link: &Link) -> bool {
    let ping = link.call(link.number(), AskBody::Ping(Ping { number: 0 }));
    let timeout = SUSPECT_PING_TIMEOUT + link.added_wait();
    let answer = tokio::time::timeout(timeout, ping).await;
    matches!(answer, Ok(Ok(_)))
}

/// Returns the first final outcome of several attempts and releases the other vms' units.
async fn first_outcome(attempts: Vec<Attempt>) -> Option<(Outcome, Placement)> {
    let placements: Vec<Placement> = attempts
        .iter()
        .map(|attempt| attempt.placement.clone())
        .collect();
    let mut results: FuturesUnordered<_> = attempts
        .into_iter()
        .map(|mut attempt| async move { (attempt.reply().await, attempt.placement) })
        .collect();
    while let Some((result, placement)) = results.next().await {
        if let AttemptResult::Final(outcome) = result {
            for other in placements.iter().filter(|other| other.vm != placement.vm) {
                other.release();
            }
            return Some((outcome, placement));
        }
    }
    None
}
