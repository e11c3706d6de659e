//! Slots of an upstream, which bound the statements that run on it at once.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use mustardbay_policy::names::AccountName;
use mustardbay_policy::queue::Discipline;
use mustardbay_policy::queue::SlotDecision;
use mustardbay_policy::queue::SlotQueue;
use mustardbay_policy::queue::SlotRequest;
use mustardbay_policy::queue::Ticket;
use mustardbay_policy::queue::WorkClass;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio::time::timeout_at;

/// Request for a slot.
#[derive(Debug, Clone)]
pub(crate) struct SlotClaim {
    pub(crate) account: AccountName,
    pub(crate) weight: u32,
    pub(crate) class: WorkClass,
    pub(crate) deadline: Instant,
}

/// No slot can be had before the deadline; a retry after this time could get one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct NoSlot {
    pub(crate) retry_after: Duration,
}

/// Slots of one upstream and the requests that wait for them.
#[derive(Debug)]
pub(crate) struct Slots {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    queue: SlotQueue,
    waiters: HashMap<Ticket, oneshot::Sender<WaitResult>>,
    next_ticket: u64,
}

/// Result of a wait for a slot.
#[derive(Debug)]
enum WaitResult {
    Started,
    Refused(NoSlot),
}

/// Slot that a running statement occupies; freed on drop.
#[derive(Debug)]
pub(crate) struct Slot {
    slots: Arc<Slots>,
    started: Instant,
}

/// Request that waits for a slot; cancelled on drop.
struct WaitingRequest<'a> {
    slots: &'a Slots,
    ticket: Ticket,
    result: oneshot::Receiver<WaitResult>,
}

impl Slots {
    /// Creates a queue for `slots` free slots.
    pub(super) fn new(discipline: Discipline, slots: u32) -> Arc<Self> {
        let state = State {
            queue: SlotQueue::new(discipline, slots as usize),
            waiters: HashMap::new(),
            next_ticket: 0,
        };
        Arc::new(Self {
            state: Mutex::new(state),
        })
    }

    /// Changes the number of slots and starts waiting requests that now fit.
    pub(super) fn resize(&self, slots: u32) {
        let mut state = self.lock();
        if state.queue.resize(slots as usize) {
            state.dispatch();
        }
    }

    /// Waits for a slot until the deadline of the claim.
    pub(crate) async fn acquire(self: &Arc<Self>, claim: SlotClaim) -> Result<Slot, NoSlot> {
        let deadline = claim.deadline;
        let (send, result) = oneshot::channel();
        let (ticket, decision) = self.lock().request(claim, send);
        match decision {
            SlotDecision::Start => return Ok(self.slot()),
            SlotDecision::Refuse(retry_after) => return Err(NoSlot { retry_after }),
            SlotDecision::Wait => {}
        }
        let mut waiting = WaitingRequest {
            slots: self,
            ticket,
            result,
        };
        match timeout_at(deadline, &mut waiting.result).await {
            Ok(Ok(WaitResult::Started)) => Ok(self.slot()),
            Ok(Ok(WaitResult::Refused(no_slot))) => Err(no_slot),
            Ok(Err(_)) | Err(_) => Err(NoSlot {
                retry_after: self.mean_service(),
            }),
        }
    }

    /// Counts a transaction that is open between its statements.
    pub(crate) fn open_transaction(&self) {
        self.lock().queue.open_transaction();
    }

    /// Stops counting an open transaction.
    pub(crate) fn close_transaction(&self) {
        let mut state = self.lock();
        state.queue.close_transaction();
        state.dispatch();
    }

    /// Returns the number of transactions that are open between their statements.
    pub(crate) fn transactions(&self) -> usize {
        self.lock().queue.transactions()
    }

    /// Returns the number of running and of waiting statements.
    pub(crate) fn load(&self) -> (usize, usize) {
        self.lock().queue.load()
    }

    /// Returns the average service time.
    pub(crate) fn mean_service(&self) -> Duration {
        self.lock().queue.service().mean()
    }

    fn slot(self: &Arc<Self>) -> Slot {
        Slot {
            slots: Arc::clone(self),
            started: Instant::now(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn request(
        &mut self,
        claim: SlotClaim,
        waiter: oneshot::Sender<WaitResult>,
    ) -> (Ticket, SlotDecision) {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let request = SlotRequest {
            ticket,
            account: claim.account,
            weight: claim.weight,
            class: claim.class,
            deadline: claim.deadline.into_std(),
        };
        let decision = self.queue.request(request, Instant::now().into_std());
        if decision == SlotDecision::Wait {
            self.waiters.insert(ticket, waiter);
        }
        (ticket, decision)
    }

    /// Starts waiting requests while slots are free, and refuses those that miss their deadline.
    fn dispatch(&mut self) {
        while let Some(ticket) = self.queue.start_next() {
            self.notify(ticket, WaitResult::Started);
        }
        for (ticket, retry_after) in self.queue.shed(Instant::now().into_std()) {
            self.notify(ticket, WaitResult::Refused(NoSlot { retry_after }));
        }
    }

    fn notify(&mut self, ticket: Ticket, result: WaitResult) {
        let waiter = self.waiters.remove(&ticket);
        let sent = waiter.map(|waiter| waiter.send(result).is_ok());
        debug_assert!(sent == Some(true), "a dropped waiter is cancelled first");
    }

    fn finish(&mut self, service: Duration) {
        self.queue.finish(service);
        self.dispatch();
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.slots.lock().finish(self.started.elapsed());
    }
}

impl Drop for WaitingRequest<'_> {
    fn drop(&mut self) {
        let mut state = self.slots.lock();
        state.waiters.remove(&self.ticket);
        if state.queue.cancel(self.ticket) {
            return;
        }
        if matches!(self.result.try_recv(), Ok(WaitResult::Started)) {
            let mean = state.queue.service().mean();
            state.finish(mean);
        }
    }
}
