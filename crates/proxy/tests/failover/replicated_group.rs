//! Model of a synchronous group, its home and the platform, in virtual time.

use std::time::Duration;

use mustardbay_policy::position::Position;
use mustardbay_policy::position::Term;
use mustardbay_proxy::group::Action;
use mustardbay_proxy::group::Event;
use mustardbay_proxy::group::Failover;
use mustardbay_proxy::group::FencingToken;
use mustardbay_proxy::pool::Contact;
use mustardbay_proxy::pool::Role;

use crate::at;
use crate::contact;
use crate::name;

/// Time between two steps of the model; a commit is made in each while the primary works.
const STEP_MS: u64 = 10;
/// Time until an upstream has answered a request for its status.
const STATUS_MS: u64 = 10;
/// Time between two polls of every upstream's status, and of the home's checks.
const POLL_MS: u64 = 400;
const CHECK_MS: u64 = 50;
/// Time that the platform and the store take to answer.
const CALL_MS: u64 = 5;
/// Time from a promotion call that is carried out until the upstream leads.
pub const EFFECT_MS: u64 = 1_000;

/// How the platform deals with the next promotion call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Call {
    /// It accepts the call.
    Answered,
    /// It answers nothing, and carries the call out after so many milliseconds.
    Late(u64),
    /// It answers nothing and never carries the call out.
    Dropped,
}

/// One upstream of the model.
#[derive(Debug, Clone)]
pub struct Server {
    pub up: bool,
    pub draining: bool,
    paused: Option<Term>,
    /// Commits that it has, each with its term, in order.
    log: Vec<Term>,
    /// Time after which it receives a commit.
    pub lag_ms: u64,
    failing_since: Option<u64>,
    status: Option<(Position, Term, Option<Term>, u64)>,
}

/// The group, with a home that replaces its primary.
#[derive(Debug)]
pub struct ReplicatedGroup {
    pub now: u64,
    pub servers: Vec<Server>,
    pub lead: usize,
    pub call: Call,
    /// For how long the home takes an old primary for the primary, and then none, in milliseconds.
    pub hears_after: [u64; 2],
    /// Number of commits that were acknowledged; they are the first ones of the primary's log.
    pub acknowledged: usize,
    /// Number of promotions that took effect.
    pub promotions: usize,
    /// When the primary changed, and who it was before.
    replaced: (u64, usize),
    term: Term,
    /// When each commit of the primary's log was made.
    made: Vec<u64>,
    failover: Failover,
    token: u64,
    seen_token: u64,
    /// Promotions that are under way: when they take effect, whom they name and their token.
    calls: Vec<(u64, usize, u64)>,
    events: Vec<(u64, Event)>,
    status_due: Vec<u64>,
}

impl ReplicatedGroup {
    /// Creates a group of three whose replicas receive commits after the given times, and lets it run for 10 s.
    pub fn new(lags_ms: [u64; 2]) -> Self {
        let server = |lag_ms| Server {
            up: true,
            draining: false,
            paused: None,
            log: Vec::new(),
            lag_ms,
            failing_since: None,
            status: None,
        };
        let mut group = Self {
            now: 0,
            servers: [0, lags_ms[0], lags_ms[1]].map(server).to_vec(),
            lead: 0,
            call: Call::Answered,
            hears_after: [0, 0],
            replaced: (0, 0),
            acknowledged: 0,
            promotions: 0,
            term: Term(1),
            made: Vec::new(),
            failover: home(),
            token: 0,
            seen_token: 0,
            calls: Vec::new(),
            events: Vec::new(),
            status_due: Vec::new(),
        };
        group.run(10_000);
        group
    }

    /// Replaces the home by a vm that knows nothing of what the former one did.
    pub fn move_home(&mut self) {
        self.failover = home();
        self.events.clear();
    }

    /// Returns whose promotion is under way.
    pub fn promoting(&self) -> Option<usize> {
        self.calls.last().map(|(_, index, _)| *index)
    }

    /// Has the platform carry out nothing that was called for, as when a vm ended before its call.
    pub fn drop_calls(&mut self) {
        self.calls.clear();
    }

    /// Lets time pass.
    ///
    /// # Panics
    ///
    /// Panics if an upstream leads that lacks an acknowledged commit.
    pub fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.now += STEP_MS;
            self.replicate();
            self.take_statuses();
            self.carry_out_calls();
            if self.now.is_multiple_of(CHECK_MS) {
                self.check();
            }
        }
    }

    /// Lets time pass until a promotion has been called for.
    pub fn run_until_called(&mut self) {
        let end = self.now + 10_000;
        while self.promoting().is_none() && self.now < end {
            self.run(STEP_MS);
        }
        assert!(self.promoting().is_some(), "nobody was promoted");
    }

    fn replicate(&mut self) {
        let lead = self.lead;
        if !self.servers[lead].up {
            return;
        }
        self.servers[lead].log.push(self.term);
        self.made.push(self.now);
        let now = self.now;
        let made = &self.made;
        let lead_log = std::mem::take(&mut self.servers[lead].log);
        for (index, server) in self.servers.iter_mut().enumerate() {
            if index == lead || !server.up {
                continue;
            }
            if server.paused.is_none() {
                let arrived = made.partition_point(|at| *at + server.lag_ms <= now);
                let have = server.log.len();
                server
                    .log
                    .extend_from_slice(&lead_log[have..arrived.max(have)]);
            }
            self.acknowledged = self.acknowledged.max(server.log.len());
        }
        self.servers[lead].log = lead_log;
    }

    fn take_statuses(&mut self) {
        let due = |at: &u64| *at <= self.now;
        let polled = self.now.is_multiple_of(POLL_MS);
        if !polled && !self.status_due.iter().any(due) {
            return;
        }
        let now = self.now;
        self.status_due.retain(|at| *at > now);
        let term = self.term;
        for server in &mut self.servers {
            if server.up {
                let last = server.log.last().copied().unwrap_or_default();
                let received = Position::new(last.0, server.log.len() as u64);
                server.status = Some((received, term, server.paused, now));
                server.failing_since = None;
            } else {
                server.failing_since.get_or_insert(now);
            }
        }
    }

    fn carry_out_calls(&mut self) {
        let now = self.now;
        let due: Vec<(u64, usize, u64)> = self
            .calls
            .iter()
            .copied()
            .filter(|(at, ..)| *at <= now)
            .collect();
        self.calls.retain(|(at, ..)| *at > now);
        for (_, index, token) in due {
            if token < self.seen_token {
                continue;
            }
            self.seen_token = token;
            if self.servers[index].up && index != self.lead {
                self.lead(index);
            }
        }
    }

    fn lead(&mut self, index: usize) {
        let log = self.servers[index].log.clone();
        assert!(
            log.len() >= self.acknowledged,
            "{} of {} acknowledged commits are lost at {} ms",
            self.acknowledged - log.len(),
            self.acknowledged,
            self.now
        );
        self.term = self.term.next();
        self.replaced = (self.now, self.lead);
        self.lead = index;
        self.promotions += 1;
        self.made.truncate(log.len());
        for server in &mut self.servers {
            server.log.truncate(log.len());
            server.paused = None;
        }
    }

    fn contacts(&self) -> Vec<Contact> {
        let servers = self.servers.iter().enumerate();
        let contact = |(index, server): (usize, &Server)| {
            let mut contact = contact(&format!("u{index}"), 0);
            contact.registration.draining = server.draining;
            contact.failing = server.failing_since.map(|at| self.since(at));
            contact.status = server.status.and_then(|(received, term, paused, at)| {
                let (mut status, _) = contact.status?;
                (status.received, status.term, status.paused) = (received, term, paused);
                status.role = [Role::Replica, Role::Primary][usize::from(index == self.lead)];
                Some((status, self.since(at)))
            });
            contact.position = server.status.map(|(received, ..)| received);
            contact
        };
        servers.map(contact).collect()
    }

    fn since(&self, at: u64) -> Duration {
        Duration::from_millis(self.now - at)
    }

    fn check(&mut self) {
        let now = self.now;
        let due: Vec<Event> = self
            .events
            .iter()
            .filter(|(at, _)| *at <= now)
            .map(|(_, event)| *event)
            .collect();
        self.events.retain(|(at, _)| *at > now);
        for event in due {
            let next = self.failover.handle(event, at(now));
            self.act(next);
        }
        let primary = self.known_primary().map(|index| name(&format!("u{index}")));
        let contacts = self.contacts();
        let next = self.failover.tick(primary.as_ref(), &contacts, at(now));
        self.act(next);
    }

    /// Returns the primary as the home knows it.
    fn known_primary(&self) -> Option<usize> {
        let (at, before) = self.replaced;
        let [old, unknown] = self.hears_after;
        match self.now - at {
            passed if passed < old => Some(before),
            passed if passed < old + unknown => None,
            _ => Some(self.lead),
        }
    }

    fn act(&mut self, action: Option<Action>) {
        match action {
            None | Some(Action::AskStatus) => {}
            Some(Action::AskPeers(_)) => {
                let reached = self.servers[self.lead].up;
                let event = [Event::NoPeerReaches, Event::PeerReaches][usize::from(reached)];
                self.events.push((self.now + CALL_MS, event));
            }
            Some(Action::Claim) => {
                self.token += 1;
                let claimed = Event::Claimed(FencingToken(self.token));
                self.events.push((self.now + CALL_MS, claimed));
                return;
            }
            Some(Action::Pause(term, names)) => {
                for (index, server) in self.servers.iter_mut().enumerate() {
                    if names.contains(&name(&format!("u{index}"))) && server.up && term > self.term
                    {
                        server.paused = server.paused.max(Some(term));
                    }
                }
            }
            Some(Action::Continue(names)) => {
                for (index, server) in self.servers.iter_mut().enumerate() {
                    if names.contains(&name(&format!("u{index}"))) {
                        server.paused = None;
                    }
                }
            }
            Some(Action::Promote(upstream, token)) => self.promote(upstream.as_str(), token.0),
        }
        self.status_due.push(self.now + STATUS_MS);
    }

    fn promote(&mut self, upstream: &str, token: u64) {
        let index: usize = upstream[1..].parse().expect("its name ends in its number");
        let (event, after) = match self.call {
            _ if token < self.seen_token || !self.servers[index].up => (Event::Refused, None),
            Call::Answered => (Event::Accepted, Some(EFFECT_MS)),
            Call::Late(after) => (Event::Unknown, Some(after)),
            Call::Dropped => (Event::Unknown, None),
        };
        if self.call == Call::Answered {
            self.seen_token = self.seen_token.max(token);
        }
        self.calls
            .extend(after.map(|after| (self.now + after, index, token)));
        self.events.push((self.now + CALL_MS, event));
    }
}

/// Returns the failover of a vm that becomes the group's home.
fn home() -> Failover {
    let mut failover = Failover::new();
    failover.set_sync_replicas(1);
    failover
}
