//! This steward's shares of the account rates.

mod fleet;
mod ledger_store;
mod read_schedule;
mod share;

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use mustardbay_policy::account::micros;
use mustardbay_policy::escrow::HolderId;
use mustardbay_policy::escrow::Message;
use mustardbay_policy::names::AccountName;
use mustardbay_policy::names::VmName;
use mustardbay_policy::view::FleetView;
use mustardbay_wire::DrawTokens;
use mustardbay_wire::GrantTokens;
use mustardbay_wire::RatesMessage;
use prost::Message as _;
use serde_json::Value;
use serde_json::json;

use self::fleet::Fleet;
pub use self::ledger_store::LedgerSnapshot;
pub(crate) use self::ledger_store::LedgerStore;
pub use self::ledger_store::PlatformCall;
use self::read_schedule::ReadSchedule;
use self::share::Share;
use self::share::ShareOutput;

/// Retry delay in the refusal of a draw for an unknown account.
const UNKNOWN_ACCOUNT_RETRY: Duration = Duration::from_secs(1);

/// Connection of a local program; the escrow reserves id 0 for closed connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LinkId(pub u64);

/// Output of the rate shares, to be sent by the caller.
#[derive(Debug, Clone, PartialEq)]
pub enum RatesOutput {
    /// Answer to a draw of a local program.
    Grant(LinkId, GrantTokens),
    /// Message to the rate shares of another steward.
    Peer(VmName, Bytes),
    /// Call to the platform; its result goes to [`Rates::on_snapshot`].
    Platform(PlatformCall),
}

/// This steward's shares of the rates of all accounts; does no I/O.
#[derive(Debug)]
pub struct Rates {
    id: HolderId,
    origin: Instant,
    fleet: Fleet,
    schedule: ReadSchedule,
    shares: BTreeMap<AccountName, Share>,
}

impl Rates {
    /// Creates the state of one steward incarnation, which owns no shares yet.
    #[must_use]
    pub fn new(id: HolderId, now: Instant) -> Self {
        Self {
            fleet: Fleet::new(id.clone()),
            schedule: ReadSchedule::default(),
            id,
            origin: now,
            shares: BTreeMap::new(),
        }
    }

    /// Applies a view of the fleet: its vms, and the limits of its accounts.
    pub fn on_view(&mut self, view: &FleetView, now: Instant) -> Vec<RatesOutput> {
        let now = self.time(now);
        self.fleet.on_view(view);
        let mut added = false;
        for account in &view.bundle.accounts {
            let (rate, burst) = (micros(account.rate), micros(account.burst));
            if let Some(share) = self.shares.get_mut(&account.name) {
                share.set_limits(rate, burst, now);
            } else {
                let share = Share::new(self.id.clone(), (rate, burst), now);
                self.shares.insert(account.name.clone(), share);
                added = true;
            }
        }
        for (name, share) in &mut self.shares {
            if !view.bundle.accounts.iter().any(|a| a.name == *name) {
                share.set_limits(0, 0, now);
            }
        }
        if added {
            self.schedule.read_now(now);
        }
        Vec::new()
    }

    /// Tells whether an applied view has named the account.
    #[must_use]
    pub fn knows(&self, account: &str) -> bool {
        self.shares.contains_key(&AccountName::from(account))
    }

    /// Tells whether the ledger of every account of a view has been read.
    #[must_use]
    pub fn are_known(&self, view: &FleetView) -> bool {
        let mut accounts = view.bundle.accounts.iter();
        accounts.all(|account| {
            let share = self.shares.get(&account.name);
            share.is_some_and(Share::is_known)
        })
    }

    /// Answers a draw of tokens, at once or after asking peers.
    pub fn on_draw(&mut self, link: LinkId, draw: DrawTokens, now: Instant) -> Vec<RatesOutput> {
        let now = self.time(now);
        let account = AccountName::from(draw.account.as_str());
        let Some(share) = self.shares.get_mut(&account) else {
            return vec![RatesOutput::Grant(link, refusal(draw))];
        };
        let outputs = share.on_draw(link, &draw, &self.fleet, now);
        wrap(&account, outputs)
    }

    /// Drops the state of a local program that disconnected.
    pub fn on_disconnect(&mut self, link: LinkId, _now: Instant) -> Vec<RatesOutput> {
        for share in self.shares.values_mut() {
            share.on_disconnect(link);
        }
        Vec::new()
    }

    /// Handles an encoded message of another steward.
    pub fn on_peer(&mut self, vm: &VmName, body: &Bytes, now: Instant) -> Vec<RatesOutput> {
        let now = self.time(now);
        let message = match RatesMessage::decode(body.clone()) {
            Ok(message) => message,
            Err(e) => {
                tracing::warn!(event = "rates_message_rejected", vm = %vm, error = %e);
                return Vec::new();
            }
        };
        let account = AccountName::from(message.account.as_str());
        let (Some(share), Some(message)) = (self.shares.get_mut(&account), message.message())
        else {
            return Vec::new();
        };
        let outputs = share.on_message(vm, message, &self.fleet, now);
        wrap(&account, outputs)
    }

    /// Applies ledgers read from the platform; `None` if the read failed.
    pub fn on_snapshot(
        &mut self,
        snapshot: Option<LedgerSnapshot>,
        now: Instant,
    ) -> Vec<RatesOutput> {
        let now = self.time(now);
        let Some(snapshot) = snapshot else {
            self.schedule.on_failure(now);
            return Vec::new();
        };
        let requested_at = snapshot.requested_at.saturating_duration_since(self.origin);
        self.fleet.on_listed(snapshot.listed);
        let mut outputs = Vec::new();
        let names: Vec<AccountName> = self.shares.keys().cloned().collect();
        for name in names {
            let ledger = snapshot.ledgers.get(&name).cloned();
            let sent = self
                .shares
                .get_mut(&name)
                .map(|share| share.on_ledger(&name, ledger, requested_at, &self.fleet, now));
            outputs.extend(wrap(&name, sent.unwrap_or_default()));
        }
        self.schedule.on_success(&self.id, now);
        outputs
    }

    /// Runs timers: refills shares, answers waiting draws and starts due reads.
    pub fn tick(&mut self, now: Instant) -> Vec<RatesOutput> {
        let now = self.time(now);
        let mut outputs = Vec::new();
        let names: Vec<AccountName> = self.shares.keys().cloned().collect();
        for name in names {
            let sent = self
                .shares
                .get_mut(&name)
                .map(|share| share.tick(&self.fleet, now));
            outputs.extend(wrap(&name, sent.unwrap_or_default()));
        }
        self.schedule.read_within(self.max_read_delay());
        if !self.shares.is_empty() && self.schedule.begin(now) {
            outputs.push(RatesOutput::Platform(PlatformCall::Read));
        }
        outputs
    }

    /// Hands every owned share over to another steward before this one leaves.
    pub fn hand_over_shares(&mut self, now: Instant) -> Vec<RatesOutput> {
        let now = self.time(now);
        let mut outputs = Vec::new();
        let names: Vec<AccountName> = self.shares.keys().cloned().collect();
        for name in names {
            let successor = self.fleet.successor(&name);
            let sent = self.shares.get_mut(&name).zip(successor);
            let sent = sent.map(|(share, successor)| share.leave(successor, &self.fleet, now));
            outputs.extend(wrap(&name, sent.unwrap_or_default()));
        }
        outputs
    }

    /// Returns the state of all shares as JSON.
    #[must_use]
    pub fn dump(&self) -> Value {
        let shares: BTreeMap<&str, Value> = self
            .shares
            .iter()
            .map(|(name, share)| (name.as_str(), share.dump()))
            .collect();
        json!(shares)
    }

    fn max_read_delay(&self) -> Option<Duration> {
        let shares = self.shares.iter();
        let delays = shares.filter_map(|(name, share)| share.max_read_delay(name, &self.fleet));
        delays.min()
    }

    fn time(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.origin)
    }
}

fn wrap(account: &AccountName, outputs: Vec<ShareOutput>) -> Vec<RatesOutput> {
    let outputs = outputs.into_iter();
    outputs.map(|output| wrap_one(account, output)).collect()
}

fn wrap_one(account: &AccountName, output: ShareOutput) -> RatesOutput {
    match output {
        ShareOutput::Grant(link, mut grant) => {
            account.as_str().clone_into(&mut grant.account);
            RatesOutput::Grant(link, grant)
        }
        ShareOutput::Peer(vm, message) => peer(account, vm, message),
        ShareOutput::Swap { expected, ledger } => RatesOutput::Platform(PlatformCall::Swap {
            account: account.clone(),
            expected,
            ledger,
        }),
    }
}

fn peer(account: &AccountName, vm: VmName, message: Message) -> RatesOutput {
    let message = RatesMessage::new(account.as_str(), message);
    RatesOutput::Peer(vm, Bytes::from(message.encode_to_vec()))
}

fn refusal(draw: DrawTokens) -> GrantTokens {
    GrantTokens {
        request: draw.request,
        account: draw.account,
        granted: 0,
        valid_ms: 0,
        retry_after_ms: share::millis(UNKNOWN_ACCOUNT_RETRY),
    }
}
