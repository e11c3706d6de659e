//! Selection of the peers that a holder asks for loans, and backoff between rounds.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::names::VmName;

/// Peers asked in one round.
const PEERS_PER_ROUND: usize = 3;
/// Timeout of the answers of a round.
const ROUND_TIMEOUT: Duration = Duration::from_millis(100);
/// Pause after the first round without gain; doubles with each further one.
const MIN_PAUSE: Duration = Duration::from_millis(10);
/// Longest pause after a round without gain.
const MAX_PAUSE: Duration = Duration::from_millis(160);
/// Time for which a peer that did not answer is skipped.
const UNRESPONSIVE_PAUSE: Duration = Duration::from_millis(100);

/// Rounds of loan requests of one holder, with exponential backoff while they yield nothing.
#[derive(Debug, Clone, Default)]
pub struct Borrowing {
    /// Peers of the current round that have not answered.
    awaited: BTreeSet<VmName>,
    started: Duration,
    gained: bool,
    /// Peers that lent most recently, latest first.
    lenders: Vec<VmName>,
    /// Peers that did not answer, each with the time until which it is skipped.
    unresponsive: BTreeMap<VmName, Duration>,
    next_peer: usize,
    pause: Duration,
    paused_until: Duration,
}

impl Borrowing {
    /// Starts a round and returns the peers to ask; none during a round or a pause.
    pub fn start_round(&mut self, peers: &[VmName], now: Duration) -> Vec<VmName> {
        if self.is_waiting(now) {
            return Vec::new();
        }
        self.end_overdue(now);
        if now < self.paused_until {
            return Vec::new();
        }
        let chosen = self.choose(peers, now);
        self.awaited = chosen.iter().cloned().collect();
        self.started = now;
        self.gained = false;
        chosen
    }

    /// Handles an answer; `gained` tells whether it lent tokens or rate.
    pub fn on_answer(&mut self, from: &VmName, gained: bool, now: Duration) {
        self.unresponsive.remove(from);
        self.lenders.retain(|l| l != from);
        if gained {
            self.lenders.insert(0, from.clone());
            self.lenders.truncate(PEERS_PER_ROUND);
            self.gained = true;
        }
        if self.awaited.remove(from) && self.awaited.is_empty() {
            self.end_round(now);
        }
    }

    /// Tells whether answers of the current round are still awaited.
    #[must_use]
    pub fn is_waiting(&self, now: Duration) -> bool {
        !self.awaited.is_empty() && now < self.started + ROUND_TIMEOUT
    }

    /// Tells whether some peer has not answered its last request, and so may have tokens to lend.
    #[must_use]
    pub fn has_unanswered(&self) -> bool {
        !self.awaited.is_empty() || !self.unresponsive.is_empty()
    }

    /// Returns the time at which the next round may start.
    #[must_use]
    pub fn paused_until(&self) -> Duration {
        self.paused_until
    }

    fn end_overdue(&mut self, now: Duration) {
        let overdue = std::mem::take(&mut self.awaited);
        if overdue.is_empty() {
            return;
        }
        self.lenders.retain(|l| !overdue.contains(l));
        let until = now + UNRESPONSIVE_PAUSE;
        self.unresponsive
            .extend(overdue.into_iter().map(|vm| (vm, until)));
        self.end_round(now);
    }

    fn end_round(&mut self, now: Duration) {
        if self.gained {
            self.pause = Duration::ZERO;
        } else {
            self.pause = (self.pause * 2).clamp(MIN_PAUSE, MAX_PAUSE);
        }
        self.paused_until = now + self.pause;
    }

    /// Chooses the latest lenders first, then other peers round-robin.
    fn choose(&mut self, peers: &[VmName], now: Duration) -> Vec<VmName> {
        self.unresponsive.retain(|_, until| *until > now);
        let known = |vm: &&VmName| peers.contains(vm) && !self.unresponsive.contains_key(*vm);
        let mut chosen: Vec<VmName> = self.lenders.iter().filter(known).cloned().collect();
        chosen.truncate(PEERS_PER_ROUND - 1);
        for step in 0..peers.len() {
            if chosen.len() == PEERS_PER_ROUND {
                break;
            }
            let peer = &peers[(self.next_peer + step) % peers.len()];
            if !chosen.contains(peer) && !self.unresponsive.contains_key(peer) {
                chosen.push(peer.clone());
            }
        }
        self.next_peer = self.next_peer.wrapping_add(PEERS_PER_ROUND);
        chosen
    }
}
