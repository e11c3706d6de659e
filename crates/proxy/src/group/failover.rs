//! Failover from a suspected failure of the primary to the promotion of another upstream.

use std::time::Duration;

use mustardbay_policy::names::UpstreamName;
use mustardbay_policy::position::Term;

use crate::clock::BootInstant;
use crate::group::action::Action;
use crate::group::action::Event;
use crate::group::action::FencingToken;
use crate::group::required::Required;
use crate::group::required::Unmet;
use crate::group::required::is_ahead_of_paused;
use crate::group::required::newest_term;
use crate::group::required::others;
use crate::pool::Contact;

/// Time for which a primary must have been failing before other vms are asked: longer than a statement.
const SUSPECT_AFTER: Duration = Duration::from_millis(300);
/// Time without a known primary after which an upstream is promoted.
const NO_PRIMARY_TIMEOUT: Duration = Duration::from_millis(800);
/// Time to collect statuses before the new primary is chosen, and between two requests for them.
const STATUS_WAIT: Duration = Duration::from_millis(100);
/// Time for which statuses are asked for again while none of the upstreams may be chosen.
const MAX_COLLECT_TIME: Duration = Duration::from_millis(500);
/// Time to wait until the promoted upstream is seen as primary; then the promotion is tried again.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Delay after a failed action, or after another vm was found to reach the primary.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Stage of a failover.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Stage {
    /// The primary is monitored; no failover is in progress.
    Monitoring,
    /// Other vms were asked about the primary, and every upstream for its status.
    AskingPeers { since: BootInstant },
    /// The promotion duty is being claimed.
    Claiming,
    /// Statuses are being collected.
    CollectingStatuses {
        since: BootInstant,
        /// When statuses were last requested.
        asked: BootInstant,
    },
    /// The other replicas are being paused, so that no commit is acknowledged without the chosen one.
    Pausing {
        chosen: UpstreamName,
        term: Term,
        since: BootInstant,
        /// When this was last requested.
        asked: BootInstant,
    },
    /// The promotion call is in flight.
    Promoting { chosen: UpstreamName },
    /// The chosen upstream is expected to become primary.
    Confirming {
        chosen: UpstreamName,
        since: BootInstant,
        /// When statuses were last requested.
        asked: BootInstant,
    },
}

/// Monitor of one group's primary, run by the vm that is the group's home.
#[derive(Debug)]
pub struct Failover {
    stage: Stage,
    /// Token that no promotion has used yet.
    ///
    /// It is claimed in advance, so that a promotion need not wait for a store that is unavailable
    /// when the primary fails.
    token: Option<FencingToken>,
    /// Token of the last successful claim, used or not.
    held_token: Option<FencingToken>,
    /// Whether a claim in advance is in flight.
    claiming: bool,
    /// Whether an earlier claim got no answer, and none has succeeded since.
    unanswered_claim: bool,
    retry_after: BootInstant,
    /// Time from which a claim in advance may be tried again.
    claim_after: BootInstant,
    no_primary_since: Option<BootInstant>,
    /// What the new primary must have received.
    required: Required,
    /// Why the last choice found nobody; taken by the log.
    unmet: Option<Unmet>,
}

impl Failover {
    /// Creates a failover that monitors the primary and holds no token.
    #[must_use]
    pub fn new() -> Self {
        Self {
            stage: Stage::Monitoring,
            token: None,
            held_token: None,
            claiming: false,
            unanswered_claim: false,
            retry_after: BootInstant::default(),
            claim_after: BootInstant::default(),
            no_primary_since: None,
            required: Required::default(),
            unmet: None,
        }
    }

    /// Sets how many replicas have received a commit before it is acknowledged.
    pub fn set_sync_replicas(&mut self, count: u32) {
        self.required.sync_replicas = usize::try_from(count).unwrap_or(usize::MAX);
    }

    /// Returns why a choice was put off, once for each choice.
    pub fn take_unmet(&mut self) -> Option<Unmet> {
        self.unmet.take()
    }

    /// Advances the failover with the current state of the upstreams; returns the next action, if any.
    pub fn tick(
        &mut self,
        primary: Option<&UpstreamName>,
        contacts: &[Contact],
        now: BootInstant,
    ) -> Option<Action> {
        self.update_primary(primary, contacts, now);
        match self.stage.clone() {
            Stage::Monitoring => self.check_primary(primary, contacts, now),
            Stage::CollectingStatuses { since, asked } if now.since(asked) >= STATUS_WAIT => {
                self.choose(primary, contacts, since, now)
            }
            Stage::Pausing {
                chosen,
                term,
                since,
                asked,
            } if now.since(asked) >= STATUS_WAIT => {
                Some(self.check_paused(chosen, term, since, primary, contacts, now))
            }
            Stage::Confirming { since, .. } if now.since(since) >= CONFIRM_TIMEOUT => {
                self.stage = Stage::Claiming;
                Some(Action::Claim)
            }
            Stage::Confirming {
                chosen,
                since,
                asked,
            } if now.since(asked) >= STATUS_WAIT => {
                self.stage = Stage::Confirming {
                    chosen,
                    since,
                    asked: now,
                };
                Some(Action::AskStatus)
            }
            Stage::AskingPeers { .. }
            | Stage::Claiming
            | Stage::CollectingStatuses { .. }
            | Stage::Pausing { .. }
            | Stage::Promoting { .. }
            | Stage::Confirming { .. } => None,
        }
    }

    /// Handles the result of an action; returns the next action, if any.
    pub fn handle(&mut self, event: Event, now: BootInstant) -> Option<Action> {
        self.unanswered_claim |= event == Event::ClaimUnanswered;
        match (self.stage.clone(), event) {
            (Stage::AskingPeers { since }, Event::NoPeerReaches) => self.start_choice_since(since),
            (Stage::Monitoring | Stage::AskingPeers { .. }, Event::Claimed(token)) => {
                self.store_token(token);
                None
            }
            (
                Stage::Monitoring | Stage::AskingPeers { .. },
                Event::NotClaimed | Event::ClaimUnanswered,
            ) => {
                self.claiming = false;
                self.claim_after = now.after(RETRY_DELAY);
                None
            }
            (Stage::Claiming, Event::Claimed(token)) => {
                self.store_token(token);
                self.stage = Stage::CollectingStatuses {
                    since: now,
                    asked: now,
                };
                Some(Action::AskStatus)
            }
            (Stage::Promoting { chosen }, Event::Accepted | Event::Unknown) => {
                self.stage = Stage::Confirming {
                    chosen,
                    since: now,
                    asked: now,
                };
                None
            }
            (Stage::AskingPeers { .. }, Event::PeerReaches | Event::NoPeerAnswers)
            | (Stage::Claiming, Event::NotClaimed | Event::ClaimUnanswered)
            | (Stage::Promoting { .. }, Event::Refused) => {
                self.back_off(now);
                None
            }
            _ => None,
        }
    }

    /// Discards a token whose lease has ended, since another vm may have claimed the duty.
    pub fn discard_token(&mut self) {
        self.token = None;
        self.held_token = None;
    }

    /// Returns the token of the last claim, which a vm that is no longer the group's home releases.
    #[must_use]
    pub fn held_token(&self) -> Option<FencingToken> {
        self.held_token
    }

    /// Tells whether the duty may be held under a token that is not known.
    #[must_use]
    pub fn has_open_claim(&self) -> bool {
        self.claiming || self.unanswered_claim || self.stage == Stage::Claiming
    }

    fn store_token(&mut self, token: FencingToken) {
        self.claiming = false;
        self.unanswered_claim = false;
        self.token = Some(token);
        self.held_token = Some(token);
    }

    /// Returns whether a failover is in progress.
    #[must_use]
    pub fn is_in_progress(&self) -> bool {
        self.stage != Stage::Monitoring
    }

    /// Starts the choice of a new primary, with a claim first if there is no token.
    fn start_choice(&mut self, now: BootInstant) -> Action {
        self.start_choice_since(now).unwrap_or(Action::AskStatus)
    }

    /// Starts the choice with statuses that were requested at `since`; claims first if there is no token.
    fn start_choice_since(&mut self, since: BootInstant) -> Option<Action> {
        if self.token.is_some() {
            self.stage = Stage::CollectingStatuses {
                since,
                asked: since,
            };
            return None;
        }
        self.stage = Stage::Claiming;
        Some(Action::Claim)
    }

    fn back_off(&mut self, now: BootInstant) {
        self.claiming = false;
        self.stage = Stage::Monitoring;
        self.retry_after = now.after(RETRY_DELAY);
    }

    /// Ends a failover if the promoted upstream is primary, or if the old primary works again.
    fn update_primary(
        &mut self,
        primary: Option<&UpstreamName>,
        contacts: &[Contact],
        now: BootInstant,
    ) {
        if primary.is_none() {
            self.no_primary_since.get_or_insert(now);
        } else {
            self.no_primary_since = None;
        }
        let done = match &self.stage {
            Stage::Confirming { chosen, .. } => primary == Some(chosen),
            Stage::AskingPeers { .. } => {
                primary.is_some_and(|name| !needs_failover(name, contacts))
            }
            _ => false,
        };
        if done {
            self.stage = Stage::Monitoring;
        }
    }

    fn check_primary(
        &mut self,
        primary: Option<&UpstreamName>,
        contacts: &[Contact],
        now: BootInstant,
    ) -> Option<Action> {
        if self.token.is_none() && !self.claiming && now >= self.claim_after {
            self.claiming = true;
            return Some(Action::Claim);
        }
        if now < self.retry_after {
            return None;
        }
        let Some(primary) = primary else {
            let since = self.no_primary_since?;
            if now.since(since) < NO_PRIMARY_TIMEOUT || contacts.is_empty() {
                return None;
            }
            self.required.floor = None;
            return Some(self.start_choice(now));
        };
        let contact = contacts.iter().find(|c| c.registration.name == *primary)?;
        let suspect = is_suspect(contact);
        self.required.floor = contact
            .position
            .filter(|_| contact.is_departing() && !suspect);
        if contact.is_departing() && has_candidate(primary, contacts) {
            return Some(self.start_choice(now));
        }
        let paused = contacts.iter().filter(|contact| contact.is_paused());
        let paused: Vec<UpstreamName> = paused.map(|c| c.registration.name.clone()).collect();
        if !paused.is_empty() && !suspect {
            // Nobody is promoted: a home before this one left them paused.
            self.retry_after = now.after(RETRY_DELAY);
            return Some(Action::Continue(paused));
        }
        if suspect {
            self.stage = Stage::AskingPeers { since: now };
            return Some(Action::AskPeers(primary.clone()));
        }
        None
    }

    /// Promotes the upstream with the most advanced log, or puts the choice off.
    fn choose(
        &mut self,
        primary: Option<&UpstreamName>,
        contacts: &[Contact],
        since: BootInstant,
        now: BootInstant,
    ) -> Option<Action> {
        let chosen = match self.required.choose(primary, contacts, now.since(since)) {
            Ok(chosen) => chosen,
            Err(unmet) => return self.put_off(unmet, since, now),
        };
        let others = others(&chosen, primary, contacts);
        if self.required.keeps_receiving() && !others.is_empty() {
            let term = newest_term(contacts).next();
            self.stage = Stage::Pausing {
                chosen,
                term,
                since: now,
                asked: now,
            };
            return Some(Action::Pause(term, others));
        }
        Some(self.promote(chosen))
    }

    /// Promotes the chosen upstream once the others are paused and it has what they have.
    fn check_paused(
        &mut self,
        chosen: UpstreamName,
        term: Term,
        since: BootInstant,
        primary: Option<&UpstreamName>,
        contacts: &[Contact],
        now: BootInstant,
    ) -> Action {
        if is_ahead_of_paused(&chosen, term, primary, contacts, now.since(since)) {
            return self.promote(chosen);
        }
        let others = others(&chosen, primary, contacts);
        if now.since(since) >= MAX_COLLECT_TIME {
            self.unmet = Some(Unmet::NotPaused);
            self.back_off(now);
            return Action::Continue(others);
        }
        self.stage = Stage::Pausing {
            chosen,
            term,
            since,
            asked: now,
        };
        Action::Pause(term, others)
    }

    /// Promotes an upstream under the token, which is used once.
    ///
    /// An earlier unanswered call with the same token could take effect later.
    fn promote(&mut self, chosen: UpstreamName) -> Action {
        let Some(token) = self.token.take() else {
            self.stage = Stage::Claiming;
            return Action::Claim;
        };
        self.stage = Stage::Promoting {
            chosen: chosen.clone(),
        };
        Action::Promote(chosen, token)
    }

    /// Asks for statuses once more, or ends the choice without a promotion.
    fn put_off(&mut self, unmet: Unmet, since: BootInstant, now: BootInstant) -> Option<Action> {
        if unmet == Unmet::NoCandidate || now.since(since) >= MAX_COLLECT_TIME {
            self.unmet = Some(unmet);
            self.back_off(now);
            return None;
        }
        self.stage = Stage::CollectingStatuses { since, asked: now };
        Some(Action::AskStatus)
    }
}

impl Default for Failover {
    fn default() -> Self {
        Self::new()
    }
}

fn needs_failover(primary: &UpstreamName, contacts: &[Contact]) -> bool {
    contacts.iter().any(|contact| {
        contact.registration.name == *primary
            && (contact.failing.is_some() || contact.is_departing())
    })
}

fn has_candidate(primary: &UpstreamName, contacts: &[Contact]) -> bool {
    contacts.iter().any(|contact| {
        contact.registration.name != *primary
            && !contact.is_departing()
            && contact.failing.is_none()
    })
}

/// Tells whether an upstream has been failing for so long that other vms are asked about it.
fn is_suspect(contact: &Contact) -> bool {
    let failing = contact.failing;
    failing.is_some_and(|failing| failing >= SUSPECT_AFTER)
}
