//! Failure detection of the primary and election of the next one.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::group::Command;
use crate::group::FenceResults;
use crate::group::GroupRecord;
use crate::group::Monitor;
use crate::group::Phase;
use crate::group::StoredRecord;
use crate::group::monitor::Stage;
use crate::names::UpstreamName;
use crate::names::VmName;
use crate::position::Position;
use crate::position::Term;

/// Most doublings of the pause between swaps while the platform does not answer.
const MAX_SWAP_PAUSE_DOUBLINGS: u32 = 3;
/// Most doublings of the takeover time while elections stay unfinished.
const MAX_TAKEOVER_DOUBLINGS: u32 = 3;

impl Monitor {
    /// Creates the record of a group that has none.
    ///
    /// Monitors wait in the order of their ranks, so that usually one alone tries.
    pub(super) fn create_record(&mut self, now: Duration, out: &mut Vec<Command>) {
        if self.stage != Stage::Watching || now < self.backoff_until {
            return;
        }
        let Some(since) = self.absent_since else {
            self.backoff_until = now + self.timing.takeover;
            out.push(Command::Read);
            return;
        };
        let turn = self.timing.takeover.saturating_mul(self.rank());
        if now < since.saturating_add(turn) {
            return;
        }
        self.swap(0, Term(1), None, None, out);
    }

    /// Starts an election once the failure of the primary is confirmed, or if it must be replaced.
    pub(super) fn watch(&mut self, primary: &UpstreamName, now: Duration, out: &mut Vec<Command>) {
        match &self.stage {
            Stage::Watching if now < self.backoff_until => {}
            Stage::Watching if self.must_replace(primary, now) => self.start_election(out),
            Stage::Watching if self.is_unreachable(now) => self.ask(now, out),
            Stage::Asking { .. } if !self.is_unreachable(now) => self.stage = Stage::Watching,
            Stage::Asking { since, in_contact } if now >= *since + self.timing.ask => {
                if in_contact.is_empty() {
                    self.start_election(out);
                } else {
                    self.stage = Stage::Watching;
                    self.backoff_until = now + self.timing.retry;
                }
            }
            _ => {}
        }
    }

    fn is_unreachable(&self, now: Duration) -> bool {
        let lost = self
            .lost_at
            .is_some_and(|at| now.saturating_sub(at) >= self.timing.lost);
        lost || now.saturating_sub(self.contact_at) >= self.timing.suspect
    }

    /// Returns whether the primary is leaving or removed and another upstream can replace it.
    fn must_replace(&self, primary: &UpstreamName, now: Duration) -> bool {
        let upstreams = &self.group.upstreams;
        let configured = upstreams.iter().find(|upstream| upstream.name == *primary);
        let leaving = configured.is_none_or(|upstream| upstream.leaving);
        let replaceable = upstreams.iter().any(|upstream| !upstream.leaving);
        let turn = self.timing.takeover.saturating_mul(self.rank());
        leaving && replaceable && now >= self.record_at.saturating_add(turn)
    }

    fn ask(&mut self, now: Duration, out: &mut Vec<Command>) {
        let (Some(term), Some(duty)) = (self.term(), &self.duty) else {
            return;
        };
        if duty.others.is_empty() {
            self.start_election(out);
            return;
        }
        out.extend(
            duty.others
                .iter()
                .map(|vm| Command::AskOpinion(vm.clone(), term)),
        );
        self.stage = Stage::Asking {
            since: now,
            in_contact: BTreeSet::new(),
        };
    }

    /// Handles the answer of another monitor; one without contact confirms the failure.
    pub(super) fn handle_opinion(
        &mut self,
        vm: VmName,
        term: Term,
        unreachable: bool,
        now: Duration,
        out: &mut Vec<Command>,
    ) {
        if self.term() != Some(term) || !self.is_unreachable(now) {
            return;
        }
        let Stage::Asking { in_contact, .. } = &mut self.stage else {
            return;
        };
        if unreachable {
            self.start_election(out);
        } else {
            in_contact.insert(vm);
        }
    }

    /// Starts an election for the next term by a swap of the record.
    fn start_election(&mut self, out: &mut Vec<Command>) {
        let Some(stored) = &self.record else {
            return;
        };
        let (revision, term) = (stored.revision, stored.record.term.next());
        self.swap(revision, term, None, None, out);
    }

    /// Continues this monitor's election, or takes over an unfinished one of another monitor.
    pub(super) fn continue_election(&mut self, now: Duration, out: &mut Vec<Command>) {
        match &self.stage {
            Stage::Electing { .. } => self.advance_election(now, out),
            Stage::Watching if now >= self.backoff_until && now >= self.takeover_at() => {
                self.start_election(out);
            }
            _ => {}
        }
    }

    fn takeover_at(&self) -> Duration {
        let doublings = self
            .unfinished_elections
            .saturating_sub(1)
            .min(MAX_TAKEOVER_DOUBLINGS);
        let wait = self.timing.takeover * 2_u32.pow(doublings);
        let turn = self.timing.retry.saturating_mul(self.rank());
        self.record_at.saturating_add(wait).saturating_add(turn)
    }

    /// Stores the choice of a primary once it is made; otherwise fences the missing upstreams.
    fn advance_election(&mut self, now: Duration, out: &mut Vec<Command>) {
        let Some(stored) = &self.record else {
            return;
        };
        let (revision, term) = (stored.revision, stored.record.term);
        let Stage::Electing { results, retry_at } = &mut self.stage else {
            return;
        };
        if now >= self.backoff_until
            && let Some(primary) = results
                .choose_primary(&self.group, self.timing.grace, now)
                .cloned()
        {
            let results = results.clone();
            self.swap(revision, term, Some(primary), Some(results), out);
            return;
        }
        if now >= *retry_at {
            *retry_at = now + self.timing.retry;
            let missing = results.missing(&self.group);
            let idle = missing.filter(|name| self.pending_steps.insert((*name).clone()));
            out.extend(idle.map(|name| Command::Fence(name.clone(), term)));
        }
    }

    fn swap(
        &mut self,
        revision: u64,
        term: Term,
        primary: Option<UpstreamName>,
        results: Option<FenceResults>,
        out: &mut Vec<Command>,
    ) {
        self.last_nonce += 1;
        let record = GroupRecord {
            term,
            phase: if primary.is_some() {
                Phase::Chosen
            } else {
                Phase::Electing
            },
            primary,
            proposer: self.me.clone(),
            nonce: self.last_nonce,
        };
        self.stage = Stage::Swapping(results);
        out.push(Command::Swap(revision, record));
    }

    /// Handles a failed compare-and-swap: adopts the record that is stored instead.
    pub(super) fn swap_lost(
        &mut self,
        stored: Option<StoredRecord>,
        now: Duration,
        out: &mut Vec<Command>,
    ) {
        self.unanswered_swaps = 0;
        self.end_swap(now);
        match stored {
            Some(stored) => self.adopt(stored, now, out),
            None => out.push(Command::Read),
        }
    }

    /// Handles a swap with an unknown outcome: reads the record back.
    pub(super) fn swap_unknown(&mut self, now: Duration, out: &mut Vec<Command>) {
        self.unanswered_swaps += 1;
        self.end_swap(now);
        out.push(Command::Read);
    }

    /// Returns the pause before the next swap, with backoff while the platform does not answer.
    ///
    /// It differs between ranks, so that monitors do not retry at the same time.
    fn swap_pause(&self) -> Duration {
        let doublings = self
            .unanswered_swaps
            .saturating_sub(1)
            .min(MAX_SWAP_PAUSE_DOUBLINGS);
        let spread = (self.timing.retry / 4).saturating_mul(self.rank());
        (self.timing.retry * 2_u32.pow(doublings)).saturating_add(spread)
    }

    /// Returns to the stage before the swap; an election keeps its fencing results.
    fn end_swap(&mut self, now: Duration) {
        self.backoff_until = now.saturating_add(self.swap_pause());
        match &mut self.stage {
            Stage::Swapping(Some(results)) => {
                self.stage = Stage::Electing {
                    results: std::mem::take(results),
                    retry_at: now,
                };
            }
            Stage::Swapping(None) => self.stage = Stage::Watching,
            _ => {}
        }
    }

    /// Handles a fenced upstream.
    pub(super) fn fenced(&mut self, upstream: UpstreamName, term: Term, received: Position) {
        if self.term() != Some(term) {
            return;
        }
        self.pending_steps.remove(&upstream);
        if let Stage::Electing { results, .. } = &mut self.stage {
            results.add_fenced(upstream, received);
        }
    }

    /// Handles an upstream that could not be fenced.
    pub(super) fn fence_failed(&mut self, upstream: UpstreamName, term: Term) {
        self.step_ended(&upstream, term);
        let current = self.term() == Some(term);
        if let Stage::Electing { results, .. } = &mut self.stage
            && current
        {
            results.add_failed(upstream);
        }
    }
}
