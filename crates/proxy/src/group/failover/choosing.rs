//! Choice of the new primary, its promotion, and the pauses of the replicas beside it.

use std::time::Duration;

use mustardbay_policy::names::UpstreamName;
use mustardbay_policy::position::Term;

use crate::clock::BootInstant;
use crate::group::action::Action;
use crate::group::failover::Failover;
use crate::group::failover::MAX_COLLECT_TIME;
use crate::group::failover::STATUS_WAIT;
use crate::group::required::Successor;
use crate::group::required::Unmet;
use crate::group::required::newest_term;
use crate::group::required::others;
use crate::group::stage::Choice;
use crate::group::stage::Stage;
use crate::pool::Contact;

impl Failover {
    /// Promotes the upstream with the most advanced log, or puts the choice off.
    pub(super) fn choose(
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
        let choice = Choice {
            chosen,
            term: newest_term(contacts).next(),
            since: now,
            asked: now,
        };
        let asked = now.since(since);
        if let Some(successor) = self.successor(&choice, asked, primary, contacts) {
            return Some(self.promote(successor, choice.term, now));
        }
        let others = others(&choice.chosen, primary, contacts);
        let term = choice.term;
        self.stage = Stage::Pausing(choice);
        Some(Action::Pause(term, others))
    }

    /// Promotes the chosen upstream once the others are paused and it has what they have.
    pub(super) fn check_paused(
        &mut self,
        mut choice: Choice,
        primary: Option<&UpstreamName>,
        contacts: &[Contact],
        now: BootInstant,
    ) -> Option<Action> {
        let waited = now.since(choice.since);
        if self.required.floor.is_none()
            && let Ok(ahead) = self.required.choose(primary, contacts, waited)
        {
            // What a lost primary had sent may arrive at another replica before that is paused.
            choice.chosen = ahead;
        }
        if let Some(successor) = self.successor(&choice, waited, primary, contacts) {
            return Some(self.promote(successor, choice.term, now));
        }
        let others = others(&choice.chosen, primary, contacts);
        if waited >= MAX_COLLECT_TIME {
            self.unmet = Some(Unmet::NotPaused);
            self.back_off(now);
            return self.let_receive(others, now);
        }
        let again = now.since(choice.asked) >= STATUS_WAIT;
        if again {
            choice.asked = now;
        }
        let term = choice.term;
        self.stage = Stage::Pausing(choice);
        again.then_some(Action::Pause(term, others))
    }

    /// Asks for statuses while a promotion takes effect, and pauses replicas that receive again or are new.
    pub(super) fn keep_paused(
        &self,
        choice: &Choice,
        primary: Option<&UpstreamName>,
        contacts: &[Contact],
        now: BootInstant,
    ) -> Action {
        match self.successor(choice, now.since(choice.since), primary, contacts) {
            Some(_) => Action::AskStatus,
            None => Action::Pause(choice.term, others(&choice.chosen, primary, contacts)),
        }
    }

    fn successor(
        &self,
        choice: &Choice,
        asked: Duration,
        primary: Option<&UpstreamName>,
        contacts: &[Contact],
    ) -> Option<Successor> {
        self.required
            .successor(&choice.chosen, choice.term, primary, contacts, asked)
    }

    /// Lets paused replicas receive again, unless a promotion may still take effect.
    ///
    /// The promoted upstream would lack what only they have received by then.
    pub(super) fn let_receive(
        &mut self,
        paused: Vec<UpstreamName>,
        now: BootInstant,
    ) -> Option<Action> {
        if self.pending.may_take_effect(now) {
            self.kept_paused = true;
            return None;
        }
        Some(Action::Continue(paused))
    }

    /// Promotes an upstream under the token, which is used once.
    ///
    /// An earlier unanswered call with the same token could take effect later.
    fn promote(&mut self, successor: Successor, term: Term, now: BootInstant) -> Action {
        let Some(token) = self.token.take() else {
            self.stage = Stage::Claiming;
            return Action::Claim;
        };
        let chosen = successor.into_name();
        self.stage = Stage::Promoting {
            chosen: chosen.clone(),
            term,
            before: self.pending,
        };
        self.pending = self.pending.called(now);
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
