//! Shares of the accounts' rates that this steward holds.

#![expect(
    dead_code,
    clippy::unused_self,
    reason = "every draw is granted until shares are kept"
)]

use std::time::Instant;

use bytes::Bytes;
use mustardbay_policy::names::VmName;
use mustardbay_policy::view::View;
use mustardbay_wire::DrawTokens;
use mustardbay_wire::GrantTokens;
use serde_json::Value;
use serde_json::json;

/// Time that granted tokens may be spent, in milliseconds.
const GRANT_VALID_MS: u64 = 2_000;

/// Connection of a local program.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LinkId(pub u64);

/// What is to be sent.
#[derive(Debug, Clone, PartialEq)]
pub enum RatesOutput {
    /// Answer to a draw of a local program.
    Grant(LinkId, GrantTokens),
    /// Message to the same part of another steward.
    Peer(VmName, Bytes),
}

/// Shares of the accounts' rates.
#[derive(Debug, Default)]
pub struct Rates {
    granted: u64,
}

impl Rates {
    /// Takes over a new view of the fleet.
    pub fn on_view(&mut self, _view: &View, _now: Instant) -> Vec<RatesOutput> {
        Vec::new()
    }

    /// Answers a draw of tokens.
    pub fn on_draw(&mut self, link: LinkId, draw: DrawTokens, _now: Instant) -> Vec<RatesOutput> {
        self.granted += draw.wanted;
        let grant = GrantTokens {
            request: draw.request,
            account: draw.account,
            granted: draw.wanted,
            valid_ms: GRANT_VALID_MS,
            retry_after_ms: 0,
        };
        vec![RatesOutput::Grant(link, grant)]
    }

    /// Forgets a local program that went away.
    pub fn on_disconnect(&mut self, _link: LinkId, _now: Instant) -> Vec<RatesOutput> {
        Vec::new()
    }

    /// Takes in a message of another steward.
    pub fn on_peer(&mut self, _vm: &VmName, _body: &Bytes, _now: Instant) -> Vec<RatesOutput> {
        Vec::new()
    }

    /// Does whatever is due at this moment.
    pub fn tick(&mut self, _now: Instant) -> Vec<RatesOutput> {
        Vec::new()
    }

    /// Gives every share to other stewards before this one leaves.
    pub fn hand_back(&mut self, _now: Instant) -> Vec<RatesOutput> {
        Vec::new()
    }

    /// Describes the shares held.
    #[must_use]
    pub fn dump(&self) -> Value {
        json!({ "granted": self.granted })
    }
}
