//! This steward's share of one account's rate.

mod ownership;

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use mustardbay_policy::admission::MAX_DRAW_WAIT;
use mustardbay_policy::escrow::Borrowing;
use mustardbay_policy::escrow::Draw;
use mustardbay_policy::escrow::GRANT_VALIDITY;
use mustardbay_policy::escrow::Handover;
use mustardbay_policy::escrow::Holder;
use mustardbay_policy::escrow::HolderId;
use mustardbay_policy::escrow::Ledger;
use mustardbay_policy::escrow::Loan;
use mustardbay_policy::escrow::Message;
use mustardbay_policy::escrow::Parts;
use mustardbay_policy::escrow::Reclaim;
use mustardbay_policy::names::VmName;
use mustardbay_wire::DrawTokens;
use mustardbay_wire::GrantTokens;
use serde_json::Value;
use serde_json::json;

use super::LinkId;
use super::fleet::Fleet;

/// Time after its start during which a share waits for links to its peers.
const STARTUP_TIME: Duration = Duration::from_secs(5);
/// Retry delay of a share whose own rate cannot serve a draw: a new round of loan requests may.
const ROUND_RETRY: Duration = Duration::from_millis(50);
/// Maximum time that a draw waits for the next round of loan requests to start.
///
/// Together with a tick of the shares and the longest round, 100 ms each, it adds up to
/// [`MAX_DRAW_WAIT`].
const MAX_PAUSE_WAIT: Duration = Duration::from_millis(100);
/// Minimum retry delay in a refusal.
const MIN_RETRY: Duration = Duration::from_millis(1);
/// Maximum retry delay in a refusal, unless loan requests are paused for longer.
const MAX_RETRY: Duration = Duration::from_secs(1);

/// Output of a share, to be sent by the caller.
#[derive(Debug)]
pub(super) enum ShareOutput {
    /// Answer to a draw.
    Grant(LinkId, GrantTokens),
    /// Message to another steward.
    Peer(VmName, Message),
    /// Replacement of the ledger.
    Swap {
        /// Revision at which it was read; 0 to create it.
        expected: u64,
        /// New ledger.
        ledger: Ledger,
    },
}

/// Draw that waits for replies of peers.
#[derive(Debug, Clone, Copy)]
struct PendingDraw {
    link: LinkId,
    request: u64,
    wanted: u64,
    arrived_at: Duration,
    deadline: Duration,
    /// Whether a round of loan requests has started since the draw arrived.
    round_started: bool,
}

/// Share of one account, with its waiting draws, loan requests, handover and reclaims.
#[derive(Debug)]
pub(super) struct Share {
    holder: Holder,
    borrowing: Borrowing,
    pending: VecDeque<PendingDraw>,
    ledger: Option<(u64, Ledger)>,
    reclaims: BTreeMap<HolderId, Reclaim>,
    handover: Option<Handover>,
    started_at: Duration,
    refused: u64,
}

impl Share {
    pub(super) fn new(id: HolderId, limits: (u64, u64), now: Duration) -> Self {
        Self {
            holder: Holder::new(id, limits.0, limits.1, now),
            borrowing: Borrowing::default(),
            pending: VecDeque::new(),
            ledger: None,
            reclaims: BTreeMap::new(),
            handover: None,
            started_at: now,
            refused: 0,
        }
    }

    pub(super) fn set_limits(&mut self, rate: u64, burst: u64, now: Duration) {
        self.holder.set_limits(rate, burst, now);
    }

    /// Tells whether the account's ledger has been read.
    pub(super) fn is_known(&self) -> bool {
        self.ledger.is_some()
    }

    /// Grants tokens at once if the share holds enough, else requests loans from peers first.
    pub(super) fn on_draw(
        &mut self,
        link: LinkId,
        draw: &DrawTokens,
        fleet: &Fleet,
        now: Duration,
    ) -> Vec<ShareOutput> {
        let drawn = self.holder.draw(link.0, draw.wanted, draw.spent, now);
        let mut pending = PendingDraw {
            link,
            request: draw.request,
            wanted: draw.wanted,
            arrived_at: now,
            deadline: now,
            round_started: false,
        };
        if draw.wanted == 0 || matches!(drawn, Draw::Granted(_)) {
            return vec![self.answer(pending, drawn, now)];
        }
        let mut outputs = self.request_loans(draw.wanted, fleet, now);
        pending.round_started = !outputs.is_empty();
        pending.deadline = self.wait_until(drawn, now);
        if self.may_be_granted(&pending, now) {
            self.pending.push_back(pending);
        } else {
            outputs.push(self.answer(pending, drawn, now));
        }
        outputs
    }

    pub(super) fn on_disconnect(&mut self, link: LinkId) {
        self.holder.on_drawer_disconnected(link.0);
        self.pending.retain(|p| p.link != link);
    }

    pub(super) fn on_message(
        &mut self,
        from: &VmName,
        message: Message,
        fleet: &Fleet,
        now: Duration,
    ) -> Vec<ShareOutput> {
        let reply = |message| vec![ShareOutput::Peer(from.clone(), message)];
        match message {
            Message::LoanRequest(request) => {
                let (returns, loan) = self.holder.on_loan_request(from, request, now);
                let returns = returns.into_iter().map(Message::Return);
                let messages = returns.chain([Message::Loan(loan)]);
                messages
                    .map(|m| ShareOutput::Peer(from.clone(), m))
                    .collect()
            }
            Message::Loan(loan) => self.on_loan(from, loan, fleet, now),
            Message::Return(back) => {
                self.holder.on_return(from, back, now);
                self.serve_pending(fleet, now)
            }
            Message::Handover(handover) => {
                let taken = self.holder.on_handover(&handover, now);
                taken.map_or_else(Vec::new, |owners| reply(Message::HandoverTaken(owners)))
            }
            Message::HandoverTaken(_) => {
                self.handover = None;
                Vec::new()
            }
            Message::Fence(owner) => {
                let held = self.holder.on_fence(&owner, now);
                let keep = held || (owner.vm != *from && fleet.is_live(&owner));
                reply(Message::Fenced { owner, keep })
            }
            Message::Fenced { owner, keep } => {
                if let Some(reclaim) = self.reclaims.get_mut(&owner) {
                    reclaim.on_fenced(from.clone(), keep, now);
                }
                Vec::new()
            }
        }
    }

    /// Refills the share, answers draws that can wait no longer, and repeats an open handover.
    pub(super) fn tick(&mut self, fleet: &Fleet, now: Duration) -> Vec<ShareOutput> {
        self.holder.advance(now);
        let mut outputs = self.serve_pending(fleet, now);
        if let Some(pending) = self.pending.front() {
            outputs.extend(self.request_loans(pending.wanted, fleet, now));
        }
        if let Some(handover) = &self.handover {
            let to = handover.successor.vm.clone();
            outputs.push(ShareOutput::Peer(to, Message::Handover(handover.clone())));
        }
        outputs
    }

    /// Hands over every owned part to `successor`.
    pub(super) fn leave(
        &mut self,
        successor: HolderId,
        fleet: &Fleet,
        now: Duration,
    ) -> Vec<ShareOutput> {
        if let Some(handover) = self.holder.leave(successor, now) {
            self.handover = Some(handover);
        }
        self.tick(fleet, now)
    }

    pub(super) fn dump(&self) -> Value {
        json!({
            "holding": self.holder.state(),
            "ledger": self.ledger.as_ref().map(|(_, ledger)| ledger),
            "reclaims": self.reclaims.keys().map(ToString::to_string).collect::<Vec<_>>(),
            "pending": self.pending.len(),
            "refused": self.refused,
        })
    }

    /// Returns the time until which a draw waits even if no peer can be asked yet.
    ///
    /// A share that has just started waits for links to its peers. A share without any rate of its
    /// own cannot tell when to retry, so it waits for the next round of loan requests.
    fn wait_until(&self, drawn: Draw, now: Duration) -> Duration {
        let starting = self.holder.epoch() == 0 && now < self.started_at + STARTUP_TIME;
        match drawn {
            _ if starting => now + MAX_DRAW_WAIT,
            Draw::Unavailable { retry_after: None } => self
                .borrowing
                .paused_until()
                .clamp(now, now + MAX_PAUSE_WAIT),
            Draw::Unavailable { .. } | Draw::Granted(_) => now,
        }
    }

    /// Tells whether waiting may still get tokens for a draw.
    ///
    /// That is so while a reply is awaited, while its deadline has not passed, or while a peer that
    /// missed a round may reply in a later one.
    fn may_be_granted(&self, pending: &PendingDraw, now: Duration) -> bool {
        let may_retry = self.borrowing.has_unanswered() && now < pending.arrived_at + MAX_DRAW_WAIT;
        may_retry || self.borrowing.is_waiting(now) || now < pending.deadline
    }

    fn request_loans(&mut self, wanted: u64, fleet: &Fleet, now: Duration) -> Vec<ShareOutput> {
        let chosen = self.borrowing.start_round(&fleet.peers(), now);
        let requests = self.holder.request_loans(&chosen, wanted, now);
        requests
            .into_iter()
            .map(|(vm, request)| ShareOutput::Peer(vm, Message::LoanRequest(request)))
            .collect()
    }

    fn on_loan(
        &mut self,
        from: &VmName,
        loan: Loan,
        fleet: &Fleet,
        now: Duration,
    ) -> Vec<ShareOutput> {
        self.holder.on_loan(from, loan, now);
        let gained = loan.rate > Parts::NONE || loan.tokens > 0;
        self.borrowing.on_answer(from, gained, now);
        self.serve_pending(fleet, now)
    }

    /// Grants waiting draws in order; refuses the rest once no reply is awaited any more.
    ///
    /// A draw that arrived during a round gets a round of its own before it is refused, since peers
    /// that had replied by then were not asked on its behalf.
    fn serve_pending(&mut self, fleet: &Fleet, now: Duration) -> Vec<ShareOutput> {
        let mut outputs = Vec::new();
        while let Some(pending) = self.pending.front().copied() {
            let drawn = self.holder.redraw(pending.link.0, pending.wanted, now);
            let granted = matches!(drawn, Draw::Granted(_));
            if !granted && !pending.round_started && !self.borrowing.is_waiting(now) {
                outputs.extend(self.request_loans(pending.wanted, fleet, now));
                self.pending.iter_mut().for_each(|p| p.round_started = true);
            }
            if !granted && self.may_be_granted(&pending, now) {
                break;
            }
            self.pending.pop_front();
            outputs.push(self.answer(pending, drawn, now));
        }
        outputs
    }

    fn answer(&mut self, pending: PendingDraw, drawn: Draw, now: Duration) -> ShareOutput {
        let (granted, retry) = match drawn {
            Draw::Granted(tokens) => (tokens, Duration::ZERO),
            Draw::Unavailable { retry_after } => (0, self.retry_after(retry_after, now)),
        };
        if granted == 0 && pending.wanted > 0 {
            self.refused += pending.wanted;
        }
        let grant = GrantTokens {
            request: pending.request,
            account: String::new(),
            granted,
            valid_ms: millis(GRANT_VALIDITY),
            retry_after_ms: millis(retry),
        };
        ShareOutput::Grant(pending.link, grant)
    }

    fn retry_after(&self, own: Option<Duration>, now: Duration) -> Duration {
        let pause = self.borrowing.paused_until().saturating_sub(now);
        let next = own.unwrap_or(ROUND_RETRY).min(MAX_RETRY);
        next.max(pause.min(next)).max(MIN_RETRY)
    }
}

/// Converts a duration to whole milliseconds, rounded up.
pub(super) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_nanos().div_ceil(1_000_000)).unwrap_or(u64::MAX)
}
