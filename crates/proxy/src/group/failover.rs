//! Failover from a suspected failure of the primary to the promotion of another upstream.

mod choosing;

use std::time::Duration;

use mustardbay_policy::names::UpstreamName;

use crate::clock::BootInstant;
use crate::group::action::Action;
use crate::group::action::Event;
use crate::group::action::FencingToken;
use crate::group::pending_promotion::EFFECT_TIME;
use crate::group::pending_promotion::PendingPromotion;
use crate::group::required::Required;
use crate::group::required::Unmet;
use crate::group::stage::Choice;
use crate::group::stage::Stage;
use crate::group::suspicion::has_candidate;
use crate::group::suspicion::is_suspect;
use crate::group::suspicion::needs_failover;
use crate::pool::Contact;

/// Time without a known primary after which an upstream is promoted.
const NO_PRIMARY_TIMEOUT: Duration = Duration::from_millis(800);
/// Time to collect statuses before the new primary is chosen, and between two requests for them.
const STATUS_WAIT: Duration = Duration::from_millis(100);
/// Time for which statuses are asked for again while none of the upstreams may be chosen.
const MAX_COLLECT_TIME: Duration = Duration::from_millis(500);
/// Delay after a failed action, or after another vm was found to reach the primary.
const RETRY_DELAY: Duration = Duration::from_millis(500);

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
    /// Promotion that may take effect; paused replicas stay so until then.
    pending: PendingPromotion,
    /// Whether paused replicas were kept so since the log was last told.
    kept_paused: bool,
    /// Primary that the failover in progress is to replace, if one was known.
    replaced: Option<UpstreamName>,
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
            pending: PendingPromotion::default(),
            kept_paused: false,
            replaced: None,
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

    /// Tells whether paused replicas were kept so because a promotion may take effect, once for each time.
    pub fn take_kept_paused(&mut self) -> bool {
        std::mem::take(&mut self.kept_paused)
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
            Stage::CollectingStatuses { since, asked }
                if now.since(asked) >= STATUS_WAIT
                    || self
                        .required
                        .has_all_answers(primary, contacts, now.since(asked)) =>
            {
                self.choose(primary, contacts, since, now)
            }
            Stage::Pausing(choice) => self.check_paused(choice, primary, contacts, now),
            Stage::Confirming(choice) if now.since(choice.since) >= EFFECT_TIME => {
                self.stage = Stage::Claiming;
                Some(Action::Claim)
            }
            Stage::Confirming(choice) if now.since(choice.asked) >= STATUS_WAIT => {
                let next = self.keep_paused(&choice, primary, contacts, now);
                self.stage = Stage::Confirming(Choice {
                    asked: now,
                    ..choice
                });
                Some(next)
            }
            Stage::AskingPeers { .. }
            | Stage::Claiming
            | Stage::CollectingStatuses { .. }
            | Stage::Promoting { .. }
            | Stage::Confirming(_) => None,
        }
    }

    /// Handles the result of an action; returns the next action, if any.
    pub fn handle(&mut self, event: Event, now: BootInstant) -> Option<Action> {
        self.unanswered_claim |= event == Event::ClaimUnanswered;
        match (self.stage.clone(), event) {
            (Stage::AskingPeers { since }, Event::NoPeerReaches) => self.start_choice_since(since),
            (Stage::Monitoring | Stage::AskingPeers { .. }, Event::Claimed(token)) => {
                self.store_token(token, now);
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
                self.store_token(token, now);
                self.stage = Stage::CollectingStatuses {
                    since: now,
                    asked: now,
                };
                Some(Action::AskStatus)
            }
            (
                Stage::Promoting {
                    chosen,
                    term,
                    before,
                },
                Event::Accepted | Event::Unknown,
            ) => {
                self.pending = match event {
                    Event::Accepted => before.accepted(now),
                    _ => before.called(now),
                };
                self.stage = Stage::Confirming(Choice {
                    chosen,
                    term,
                    since: now,
                    asked: now,
                });
                None
            }
            (Stage::Promoting { before, .. }, Event::Refused) => {
                self.pending = before;
                self.back_off(now);
                None
            }
            (Stage::AskingPeers { .. }, Event::PeerReaches | Event::NoPeerAnswers)
            | (Stage::Claiming, Event::NotClaimed | Event::ClaimUnanswered) => {
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
        self.pending = PendingPromotion::ByAnyVm;
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

    fn store_token(&mut self, token: FencingToken, now: BootInstant) {
        self.pending.claimed(now);
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

    /// Ends a failover if the promoted upstream or another one is primary, or if the old primary works again.
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
        let another_leads = primary.is_some() && primary != self.replaced.as_ref();
        let done = match &self.stage {
            Stage::Confirming(choice) if primary == Some(&choice.chosen) => {
                self.pending.took_effect();
                true
            }
            Stage::AskingPeers { .. } => {
                primary.is_some_and(|name| !needs_failover(name, contacts))
            }
            Stage::CollectingStatuses { .. } | Stage::Pausing(_) => another_leads,
            Stage::Claiming if another_leads => {
                self.claiming = true;
                true
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
            self.replaced = None;
            self.required.floor = None;
            return Some(self.start_choice(now));
        };
        let contact = contacts.iter().find(|c| c.registration.name == *primary)?;
        self.replaced = Some(primary.clone());
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
            // Nobody is promoted any more: this home, or one before it, left them paused.
            self.retry_after = now.after(RETRY_DELAY);
            return self.let_receive(paused, now);
        }
        if suspect {
            self.stage = Stage::AskingPeers { since: now };
            return Some(Action::AskPeers(primary.clone()));
        }
        None
    }
}

impl Default for Failover {
    fn default() -> Self {
        Self::new()
    }
}
