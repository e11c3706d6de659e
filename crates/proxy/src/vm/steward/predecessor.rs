//! Hand-over of rates from the vms that granted them before this one.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use mustardbay_policy::names::AccountName;
use mustardbay_policy::names::VmName;

use crate::clock::BootInstant;
use crate::clock::millis;
use crate::link::AskBody;
use crate::link::Links;
use crate::link::ReplyBody;
use crate::link::frame::HandOver;
use crate::rates::Remainder;
use crate::socket;

/// Maximum wait for a connection or a reply: a round trip between regions and the time to reply.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(250);

/// Vm that may still grant the rates of accounts that are now assigned to this vm.
#[derive(Debug, Clone)]
pub(super) struct Predecessor {
    /// Name of the vm.
    pub(super) vm: VmName,
    /// Address of its links, possibly no longer in use.
    pub(super) address: SocketAddr,
    /// Accounts to hand over.
    pub(super) accounts: Vec<AccountName>,
}

/// Result of asking a predecessor to stop.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum StopResult {
    /// Its process has ended.
    Ended,
    /// It no longer grants these accounts.
    HandedOver(Vec<(AccountName, Remainder)>),
    /// It did not answer and may still grant.
    Unknown,
}

impl Predecessor {
    /// Asks the predecessor to stop; `listed_at` is when this vm's member list was read.
    pub(super) async fn stop(&self, links: &Links, listed_at: BootInstant) -> StopResult {
        match socket::connect(self.address, HAND_OVER_TIMEOUT).await {
            Ok(_) => self.request_hand_over(links, listed_at).await,
            Err(e) if e.kind() == ErrorKind::ConnectionRefused => StopResult::Ended,
            Err(e) => {
                tracing::debug!(event = "predecessor_unreachable", vm = %self.vm, error = %e);
                StopResult::Unknown
            }
        }
    }

    async fn request_hand_over(&self, links: &Links, listed_at: BootInstant) -> StopResult {
        let Some(link) = links.to(&self.vm, self.address).await else {
            return StopResult::Unknown;
        };
        let accounts = self.accounts.iter();
        let request = HandOver {
            accounts: accounts
                .map(|account| account.as_str().to_owned())
                .collect(),
            list_age_ms: millis(BootInstant::now().since(listed_at)),
        };
        let call = link.call(link.number(), AskBody::HandOver(request));
        match tokio::time::timeout(HAND_OVER_TIMEOUT, call).await {
            Ok(Ok(ReplyBody::HandOverReply(handed))) => StopResult::HandedOver(handed.into()),
            other => {
                tracing::debug!(event = "predecessor_not_answering", vm = %self.vm, answer = ?other);
                StopResult::Unknown
            }
        }
    }
}
