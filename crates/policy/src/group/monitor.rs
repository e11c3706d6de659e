//! State machine that monitors a group's primary and replaces it when it fails.

mod dump;
mod election;
mod repair;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::bundle::Group;
use crate::group::Command;
use crate::group::Event;
use crate::group::FenceResults;
use crate::group::GroupRecord;
use crate::group::MonitorDuty;
use crate::group::MonitorTiming;
use crate::group::Phase;
use crate::group::Proposer;
use crate::group::StoredRecord;
use crate::names::UpstreamName;
use crate::names::VmName;
use crate::position::Term;

/// Monitor of one group on one steward.
///
/// Times are durations since a fixed, arbitrary instant. Without a duty the monitor only keeps the
/// newest record.
#[derive(Debug)]
pub struct Monitor {
    me: Proposer,
    group: Group,
    timing: MonitorTiming,
    duty: Option<MonitorDuty>,
    record: Option<StoredRecord>,
    record_at: Duration,
    absent_since: Option<Duration>,
    stage: Stage,
    contact_at: Duration,
    /// First time since `contact_at` at which the primary refused a connection or reported an
    /// older term.
    lost_at: Option<Duration>,
    backoff_until: Duration,
    unfinished_elections: u32,
    unanswered_swaps: u32,
    last_nonce: u64,
    probed_at: BTreeMap<UpstreamName, Duration>,
    pending_probes: BTreeSet<UpstreamName>,
    /// Upstreams on which a fence, promote or follow command of the record's term is running.
    pending_steps: BTreeSet<UpstreamName>,
}

/// Stage of failure detection or of an election.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Stage {
    /// Probes the primary.
    Watching,
    /// Asked the other monitors whether the primary answers them.
    Asking {
        /// Time at which the monitor asked.
        since: Duration,
        /// Monitors that reported contact with the primary.
        in_contact: BTreeSet<VmName>,
    },
    /// Waits for a compare-and-swap of the record; holds the results of a running election.
    Swapping(Option<FenceResults>),
    /// Fences upstreams at a term that this monitor proposed.
    Electing {
        /// Results of the fencing so far.
        results: FenceResults,
        /// Time at which fencing is retried on the missing upstreams.
        retry_at: Duration,
    },
}

impl Monitor {
    /// Creates a monitor without a duty.
    #[must_use]
    pub fn new(me: Proposer, group: Group, timing: MonitorTiming, now: Duration) -> Self {
        Self {
            me,
            group,
            timing,
            duty: None,
            record: None,
            record_at: now,
            absent_since: None,
            stage: Stage::Watching,
            contact_at: now,
            lost_at: None,
            backoff_until: now,
            unfinished_elections: 0,
            unanswered_swaps: 0,
            last_nonce: 0,
            probed_at: BTreeMap::new(),
            pending_probes: BTreeSet::new(),
            pending_steps: BTreeSet::new(),
        }
    }

    /// Applies a new configuration of the group.
    pub fn configure(&mut self, group: Group, timing: MonitorTiming) {
        self.group = group;
        self.timing = timing;
    }

    /// Sets or removes the duty; a new duty starts as if the primary had just answered.
    pub fn assign(&mut self, duty: Option<MonitorDuty>, now: Duration) {
        if self.duty.is_none() && duty.is_some() {
            self.note_contact(now);
            self.record_at = now;
        }
        if duty.is_none() {
            self.stage = Stage::Watching;
        }
        self.duty = duty;
    }

    /// Returns the configuration of the group.
    #[must_use]
    pub fn group(&self) -> &Group {
        &self.group
    }

    /// Returns the newest known record.
    #[must_use]
    pub fn record(&self) -> Option<&StoredRecord> {
        self.record.as_ref()
    }

    /// Returns the term and whether its primary fails to answer, to tell another monitor.
    ///
    /// The threshold is half of that for this monitor's own suspicion. `None` without a duty or a
    /// record.
    #[must_use]
    pub fn opinion(&self, now: Duration) -> Option<(Term, bool)> {
        self.duty.as_ref()?;
        let record = &self.record.as_ref()?.record;
        let age = now.saturating_sub(self.contact_at);
        let unreachable = self.lost_at.is_some() || age >= self.timing.suspect / 2;
        Some((record.term, unreachable))
    }

    /// Handles an event and returns the commands to carry out.
    pub fn handle(&mut self, event: Event, now: Duration) -> Vec<Command> {
        let mut out = Vec::new();
        match event {
            Event::Record(stored) => self.record_read(stored, now, &mut out),
            Event::ProbeAnswered(upstream, status) => {
                self.probe_answered(&upstream, status, now, &mut out);
            }
            Event::ProbeTimedOut(upstream) => {
                self.pending_probes.remove(&upstream);
            }
            Event::Busy(upstream) => self.busy(&upstream, now),
            Event::ConnectionLost(upstream) => self.connection_lost(&upstream, now),
            Event::Opinion {
                vm,
                term,
                unreachable,
            } => {
                self.handle_opinion(vm, term, unreachable, now, &mut out);
            }
            Event::Swapped(stored) => {
                self.unanswered_swaps = 0;
                self.adopt(stored, now, &mut out);
            }
            Event::SwapLost(stored) => self.swap_lost(stored, now, &mut out),
            Event::SwapUnknown => self.swap_unknown(now, &mut out),
            Event::Fenced(upstream, term, received) => {
                self.fenced(upstream, term, received);
            }
            Event::FenceFailed(upstream, term) => self.fence_failed(upstream, term),
            Event::Promoted(upstream, term) => self.promoted(&upstream, term, now, &mut out),
            Event::PromoteFailed(upstream, term) | Event::FollowFailed(upstream, term) => {
                self.step_failed(&upstream, term, &mut out);
            }
            Event::Followed(upstream, term) => self.step_ended(&upstream, term),
            Event::Tick => {}
        }
        if self.duty.is_some() {
            self.advance(now, &mut out);
        }
        out
    }

    fn record_read(&mut self, stored: Option<StoredRecord>, now: Duration, out: &mut Vec<Command>) {
        match stored {
            Some(stored) => self.adopt(stored, now, out),
            None if self.record.is_none() => {
                self.absent_since.get_or_insert(now);
                self.backoff_until = now;
            }
            None => {}
        }
    }

    /// Replaces the known record by a newer one; an older one is ignored.
    fn adopt(&mut self, stored: StoredRecord, now: Duration, out: &mut Vec<Command>) {
        let known = self.record.as_ref().map_or(0, |known| known.revision);
        if stored.revision <= known {
            return;
        }
        self.last_nonce = self.last_nonce.max(self.own_nonce(&stored.record));
        self.stage = match stored.record.phase {
            Phase::Electing if stored.record.proposer == self.me => Stage::Electing {
                results: FenceResults::default(),
                retry_at: now,
            },
            _ => Stage::Watching,
        };
        match stored.record.phase {
            Phase::Electing => self.unfinished_elections += 1,
            Phase::Chosen => {
                self.unfinished_elections = 0;
                self.note_contact(now);
            }
        }
        self.probed_at.clear();
        self.pending_steps.clear();
        self.record_at = now;
        self.record = Some(stored.clone());
        out.push(Command::Announce(stored.clone()));
        if stored.record.proposer == self.me
            && let Some(primary) = stored.record.primary
        {
            self.repair(&primary, &primary, stored.record.term, out);
        }
    }

    fn own_nonce(&self, record: &GroupRecord) -> u64 {
        if record.proposer == self.me {
            record.nonce
        } else {
            0
        }
    }

    /// Records contact with the primary.
    fn note_contact(&mut self, now: Duration) {
        self.contact_at = now;
        self.lost_at = None;
    }

    fn rank(&self) -> u32 {
        self.duty.as_ref().map_or(u32::MAX, |duty| duty.rank)
    }

    fn term(&self) -> Option<Term> {
        self.record.as_ref().map(|stored| stored.record.term)
    }

    /// Performs the actions that are due at `now`.
    fn advance(&mut self, now: Duration, out: &mut Vec<Command>) {
        let Some(stored) = self.record.clone() else {
            self.create_record(now, out);
            return;
        };
        match (stored.record.phase, stored.record.primary) {
            (Phase::Chosen, Some(primary)) => {
                self.probe(&primary, now, out);
                self.watch(&primary, now, out);
            }
            _ => self.continue_election(now, out),
        }
    }
}
