//! Choice of the upstream to promote: it must have every acknowledged commit when it leads.

use std::time::Duration;

use mustardbay_policy::names::UpstreamName;
use mustardbay_policy::position::Position;
use mustardbay_policy::position::Term;

use crate::pool::Contact;
use crate::pool::UpstreamStatus;

/// Maximum age of a status that counts in the choice of the new primary.
const MAX_STATUS_AGE: Duration = Duration::from_millis(500);

/// Why no upstream may be promoted at present.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unmet {
    /// No upstream that is reachable can be the primary.
    NoCandidate,
    /// No candidate has received what the working primary had acknowledged, up to this position.
    Behind(Position),
    /// So many replicas have not answered that only they may hold an acknowledged commit.
    Unanswered(usize),
    /// A replica beside the chosen one may still receive what that one lacks.
    NotPaused,
}

/// What the new primary must have received.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Required {
    /// Position of the old primary, if that is replaced while it works.
    pub(super) floor: Option<Position>,
    /// Replicas that have received a commit before it is acknowledged.
    pub(super) sync_replicas: usize,
}

impl Required {
    /// Chooses the upstream to promote; `asked` is the time since statuses were first requested.
    ///
    /// # Errors
    ///
    /// Fails if no upstream can be promoted, or if an acknowledged commit might be lost.
    pub(super) fn choose(
        &self,
        primary: Option<&UpstreamName>,
        contacts: &[Contact],
        asked: Duration,
    ) -> Result<UpstreamName, Unmet> {
        let candidates: Vec<Candidate> = candidates(primary, contacts).collect();
        if candidates.is_empty() {
            return Err(Unmet::NoCandidate);
        }
        if let Some(floor) = self.floor {
            return most_suitable(candidates, floor).ok_or(Unmet::Behind(floor));
        }
        self.check_answers(primary, contacts, asked)?;
        most_advanced(candidates).ok_or(Unmet::NoCandidate)
    }

    /// Returns the chosen upstream as the successor, if no commit can be acknowledged without it.
    ///
    /// The primary may work, or work again before it is replaced, and needs `sync_replicas`
    /// replicas for each commit. So fewer than that may receive beside the chosen one, and none
    /// may have what that one lacks. Only statuses of the last `asked` count for the others.
    ///
    /// After a loss, one that does not know the command to pause does not count: nobody would ever lead.
    pub(super) fn successor(
        &self,
        chosen: &UpstreamName,
        term: Term,
        primary: Option<&UpstreamName>,
        contacts: &[Contact],
        asked: Duration,
    ) -> Option<Successor> {
        let find = |name: &UpstreamName| contacts.iter().find(|c| c.registration.name == *name);
        let own = find(chosen).and_then(|contact| contact.status);
        let lost = self.floor.is_none();
        let mut paused: Vec<UpstreamStatus> = Vec::new();
        let mut receiving = 0;
        for other in others(chosen, primary, contacts).iter().filter_map(find) {
            let status = other.status.filter(|(_, age)| *age <= asked);
            match status.filter(|(status, _)| status.paused >= Some(term)) {
                Some((status, _)) => paused.push(status),
                None if lost && !other.pausable => {}
                None => receiving += 1,
            }
        }
        let complete = own.is_some_and(|(own, _)| {
            let mut paused = paused.iter();
            paused.all(|other| other.received <= own.received)
        });
        let safe = self.sync_replicas == 0 || (receiving < self.sync_replicas && complete);
        safe.then(|| Successor(chosen.clone()))
    }

    /// Tells whether nothing is gained by a longer wait for statuses, as every replica has answered.
    ///
    /// A synchronous group uses the time to pause the others.
    pub(super) fn has_all_answers(
        &self,
        primary: Option<&UpstreamName>,
        contacts: &[Contact],
        asked: Duration,
    ) -> bool {
        self.sync_replicas > 0 && unanswered(primary, contacts, asked) == 0
    }

    /// Checks that a commit that `sync_replicas` replicas have received is at one that answered.
    fn check_answers(
        &self,
        primary: Option<&UpstreamName>,
        contacts: &[Contact],
        asked: Duration,
    ) -> Result<(), Unmet> {
        let silent = unanswered(primary, contacts, asked);
        if self.sync_replicas > 0 && silent >= self.sync_replicas {
            return Err(Unmet::Unanswered(silent));
        }
        Ok(())
    }
}

/// Upstream that has every acknowledged commit now and when it is promoted; only [`Required`] names one.
#[derive(Debug)]
pub(super) struct Successor(UpstreamName);

impl Successor {
    /// Returns its name.
    pub(super) fn into_name(self) -> UpstreamName {
        self.0
    }
}

/// Upstream that can be promoted.
#[derive(Debug, Clone)]
struct Candidate {
    name: UpstreamName,
    received: Position,
    draining: bool,
    paused: bool,
}

/// Returns who is to follow a primary that works: one that has all, and is not draining if possible.
///
/// Among equals it is one that is not paused: a home before this one may have called for its promotion.
fn most_suitable(candidates: Vec<Candidate>, floor: Position) -> Option<UpstreamName> {
    let complete = candidates.into_iter().filter(|c| c.received >= floor);
    let best = complete.max_by_key(|c| (!c.draining, c.received, !c.paused))?;
    Some(best.name)
}

/// Returns who is to follow a lost primary: the one with the most advanced log, even if it is draining.
///
/// Among equals it is one that is not paused, as for a primary that works.
fn most_advanced(candidates: Vec<Candidate>) -> Option<UpstreamName> {
    let candidates = candidates.into_iter();
    let best = candidates.max_by_key(|c| (c.received, !c.paused, !c.draining))?;
    Some(best.name)
}

/// Returns the upstreams that can be promoted.
fn candidates(
    primary: Option<&UpstreamName>,
    contacts: &[Contact],
) -> impl Iterator<Item = Candidate> {
    contacts.iter().filter_map(move |contact| {
        let name = &contact.registration.name;
        let (status, age) = contact.status?;
        let usable = primary != Some(name)
            && !contact.evacuated
            && contact.failing.is_none()
            && age <= MAX_STATUS_AGE;
        usable.then(|| Candidate {
            name: name.clone(),
            received: status.received,
            draining: contact.registration.draining,
            paused: status.paused.is_some(),
        })
    })
}

/// Returns how many replicas have not reported a status since `asked` ago.
fn unanswered(primary: Option<&UpstreamName>, contacts: &[Contact], asked: Duration) -> usize {
    let replicas = contacts
        .iter()
        .filter(|contact| primary != Some(&contact.registration.name));
    let silent = replicas.filter(|contact| contact.status.is_none_or(|(_, age)| age > asked));
    silent.count()
}

/// Returns the replicas besides the chosen one.
pub(super) fn others(
    chosen: &UpstreamName,
    primary: Option<&UpstreamName>,
    contacts: &[Contact],
) -> Vec<UpstreamName> {
    let names = contacts.iter().map(|contact| &contact.registration.name);
    let others = names.filter(|name| *name != chosen && Some(*name) != primary);
    others.cloned().collect()
}

/// Returns the newest term that an upstream has reported.
pub(super) fn newest_term(contacts: &[Contact]) -> Term {
    let statuses = contacts.iter().filter_map(|contact| contact.status);
    statuses
        .map(|(status, _)| status.term)
        .max()
        .unwrap_or_default()
}
