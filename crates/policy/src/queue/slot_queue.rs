//! Queue of the statements that wait for a slot of an upstream.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use super::account_queue::AccountQueue;
use super::account_queue::Waiter;
use super::discipline::Discipline;
use super::service_time::ServiceTime;
use crate::names::AccountName;

/// Lower bound of the retry time given with a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(1);

/// Identifies a request for a slot; unique among the requests in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// Whether a statement belongs to an open transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkClass {
    /// Work outside a transaction; waits for the turn of its account.
    New,
    /// Part of an open transaction; goes first, since the transaction may hold locks.
    InTransaction,
}

/// Request of a statement for a slot.
#[derive(Debug, Clone)]
pub struct SlotRequest {
    /// Identifies the request.
    pub ticket: Ticket,
    /// Account on whose behalf the statement runs.
    pub account: AccountName,
    /// Statements that the account may start in each round.
    pub weight: u32,
    /// Whether the statement belongs to an open transaction.
    pub class: WorkClass,
    /// Time by which the statement must start.
    pub deadline: Instant,
}

/// Answer to a request for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotDecision {
    /// The statement may start now and counts as running.
    Start,
    /// The statement waits in the queue.
    Wait,
    /// The statement would miss its deadline; a retry after this time could meet it.
    Refuse(Duration),
}

/// Slots of an upstream and the queue of statements that wait for one.
///
/// New work is scheduled by deficit round robin: in each round an account starts at most as many
/// statements as its weight. Statements of open transactions go first. While a transaction is
/// open, one slot is reserved for such statements: otherwise statements that block on the locks of
/// the transaction could occupy every slot and keep it from committing.
#[derive(Debug)]
pub struct SlotQueue {
    discipline: Discipline,
    slots: usize,
    running: usize,
    transactions: usize,
    transaction_waiters: VecDeque<Waiter>,
    accounts: BTreeMap<AccountName, AccountQueue>,
    rotation: VecDeque<AccountName>,
    service: ServiceTime,
}

impl SlotQueue {
    /// Creates a queue for `slots` free slots, at least one.
    #[must_use]
    pub fn new(discipline: Discipline, slots: usize) -> Self {
        Self {
            discipline,
            slots: slots.max(1),
            running: 0,
            transactions: 0,
            transaction_waiters: VecDeque::new(),
            accounts: BTreeMap::new(),
            rotation: VecDeque::new(),
            service: ServiceTime::default(),
        }
    }

    /// Sets the number of slots, at least one; running statements are not stopped.
    ///
    /// Returns whether the number changed.
    pub fn resize(&mut self, slots: usize) -> bool {
        let old = std::mem::replace(&mut self.slots, slots.max(1));
        old != self.slots
    }

    /// Requests a slot for a statement.
    pub fn request(&mut self, request: SlotRequest, now: Instant) -> SlotDecision {
        let waiter = Waiter {
            ticket: request.ticket,
            deadline: request.deadline,
        };
        if request.class == WorkClass::InTransaction {
            return self.request_in_transaction(waiter);
        }
        if self.accounts.is_empty() && self.has_room() {
            self.running += 1;
            return SlotDecision::Start;
        }
        let key = self.queue_key(request.account);
        let wait = self.new_request_wait(&key, request.weight);
        let left = request.deadline.saturating_duration_since(now);
        if wait > left || left.is_zero() {
            return SlotDecision::Refuse(wait.saturating_sub(left).max(MIN_RETRY_AFTER));
        }
        self.enqueue(key, request.weight, waiter);
        SlotDecision::Wait
    }

    /// Starts the next waiting statement if a slot is free, and returns its ticket.
    pub fn start_next(&mut self) -> Option<Ticket> {
        if self.running < self.slots
            && let Some(first) = self.transaction_waiters.pop_front()
        {
            self.running += 1;
            return Some(first.ticket);
        }
        if !self.has_room() {
            return None;
        }
        let ticket = self.next_in_round()?;
        self.running += 1;
        Some(ticket)
    }

    /// Removes a waiting request; returns `false` if it does not wait.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let before = self.transaction_waiters.len();
        self.transaction_waiters.retain(|w| w.ticket != ticket);
        if self.transaction_waiters.len() < before {
            return true;
        }
        let found = self.accounts.iter_mut().find_map(|(account, queue)| {
            let removed = queue.remove(ticket);
            removed.then(|| (account.clone(), queue.waiting.is_empty()))
        });
        match found {
            Some((account, true)) => {
                self.accounts.remove(&account);
                self.rotation.retain(|a| *a != account);
                true
            }
            Some((_, false)) => true,
            None => false,
        }
    }

    /// Frees the slot of a statement that ran for `service`.
    pub fn finish(&mut self, service: Duration) {
        self.running = self.running.saturating_sub(1);
        self.service.record(service);
    }

    /// Removes requests that can no longer meet their deadlines, newest first.
    ///
    /// Returns each with the time after which a retry could succeed. Only the account whose turn
    /// is next is checked, which bounds the work of one call.
    pub fn shed(&mut self, now: Instant) -> Vec<(Ticket, Duration)> {
        let mut shed = Vec::new();
        while let Some(account) = self.rotation.front().cloned() {
            let Some(last) = self
                .accounts
                .get(&account)
                .and_then(|queue| queue.waiting.back().copied())
            else {
                break;
            };
            let wait = self.newest_wait(&account);
            let left = last.deadline.saturating_duration_since(now);
            if wait <= left {
                break;
            }
            self.cancel(last.ticket);
            shed.push((last.ticket, wait.saturating_sub(left).max(MIN_RETRY_AFTER)));
        }
        shed
    }

    /// Counts a transaction that is open between its statements.
    pub fn open_transaction(&mut self) {
        self.transactions += 1;
    }

    /// Stops counting an open transaction.
    pub fn close_transaction(&mut self) {
        self.transactions = self.transactions.saturating_sub(1);
    }

    /// Returns the number of transactions that are open between their statements.
    #[must_use]
    pub fn transactions(&self) -> usize {
        self.transactions
    }

    /// Returns the number of running and of waiting statements.
    #[must_use]
    pub fn load(&self) -> (usize, usize) {
        (
            self.running,
            self.transaction_waiters.len() + self.waiting_count(),
        )
    }

    /// Returns the average service time of the statements so far.
    #[must_use]
    pub fn service(&self) -> ServiceTime {
        self.service
    }

    fn request_in_transaction(&mut self, waiter: Waiter) -> SlotDecision {
        if self.transaction_waiters.is_empty() && self.running < self.slots {
            self.running += 1;
            return SlotDecision::Start;
        }
        self.transaction_waiters.push_back(waiter);
        SlotDecision::Wait
    }

    /// Returns whether a slot is free for new work.
    fn has_room(&self) -> bool {
        let reserved = usize::from(self.transactions > 0 && self.slots > 1);
        self.running < self.slots - reserved
    }

    /// Returns the key of an account's queue; under FIFO all accounts share one queue.
    fn queue_key(&self, account: AccountName) -> AccountName {
        match self.discipline {
            Discipline::Fair => account,
            Discipline::Fifo => AccountName::from(""),
        }
    }

    fn enqueue(&mut self, account: AccountName, weight: u32, waiter: Waiter) {
        if !self.accounts.contains_key(&account) {
            self.rotation.push_back(account.clone());
        }
        let queue = self.accounts.entry(account).or_default();
        queue.weight = weight.max(1) as usize;
        queue.waiting.push_back(waiter);
    }

    fn next_in_round(&mut self) -> Option<Ticket> {
        let account = self.rotation.front()?.clone();
        let queue = self.accounts.get_mut(&account)?;
        if queue.deficit == 0 {
            queue.deficit = queue.weight;
        }
        let first = queue.waiting.pop_front()?;
        queue.deficit -= 1;
        let turn_ended = queue.deficit == 0;
        if queue.waiting.is_empty() {
            self.accounts.remove(&account);
            self.rotation.pop_front();
        } else if turn_ended {
            self.rotation.rotate_left(1);
        }
        Some(first.ticket)
    }

    fn waiting_count(&self) -> usize {
        self.accounts
            .values()
            .map(|queue| queue.waiting.len())
            .sum()
    }

    /// Estimates the wait of a new request of `account`.
    fn new_request_wait(&self, account: &AccountName, weight: u32) -> Duration {
        let queued = self
            .accounts
            .get(account)
            .map_or(0, |queue| queue.waiting.len());
        self.wait_behind(account, queued, weight.max(1) as usize)
    }

    /// Estimates the wait of the newest waiting request of `account`.
    fn newest_wait(&self, account: &AccountName) -> Duration {
        let Some(queue) = self.accounts.get(account) else {
            return Duration::ZERO;
        };
        self.wait_behind(account, queue.waiting.len() - 1, queue.weight)
    }

    /// Estimates the wait of a request behind `queued` others of the same account.
    fn wait_behind(&self, account: &AccountName, queued: usize, weight: usize) -> Duration {
        let rounds = (queued + 1).div_ceil(weight);
        let others: usize = self
            .accounts
            .iter()
            .filter(|(name, _)| *name != account)
            .map(|(_, queue)| queue.served_in(rounds))
            .sum();
        let ahead = queued + others + self.transaction_waiters.len() + self.running + 1;
        self.service
            .expected_wait(ahead.saturating_sub(self.slots), self.slots)
    }
}
