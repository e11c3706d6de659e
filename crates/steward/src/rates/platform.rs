//! Ledgers in the platform's store.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use mustardbay_platform::Entry;
use mustardbay_platform::Platform;
use mustardbay_platform::PlatformError;
use mustardbay_platform::Revision;
use mustardbay_policy::escrow::Ledger;
use mustardbay_policy::names::AccountName;
use mustardbay_policy::names::VmName;

/// Prefix of the keys of ledgers; the account follows.
const LEDGER_PREFIX: &str = "mustardbay/rates/";
/// Prefix of the platform's list of virtual machines.
const VM_PREFIX: &str = "vms/";

/// Call to the platform.
#[derive(Debug, Clone, PartialEq)]
pub enum PlatformCall {
    /// Reads every ledger and the list of virtual machines.
    Read,
    /// Replaces a ledger if it is still at a revision; the next read shows the outcome.
    Swap {
        /// Account of the ledger.
        account: AccountName,
        /// Revision that it was read at; 0 if it does not exist.
        expected: u64,
        /// What it is to become.
        ledger: Ledger,
    },
}

/// Ledgers and listed virtual machines.
#[derive(Debug, Clone)]
pub struct Reading {
    /// When the read was sent.
    pub asked: Instant,
    /// Ledger and revision by account.
    pub ledgers: BTreeMap<AccountName, (u64, Ledger)>,
    /// Virtual machines of the platform's list.
    pub listed: BTreeSet<VmName>,
}

/// Ledgers in the platform's store.
#[derive(Debug, Clone)]
pub(crate) struct LedgerStore(Arc<dyn Platform>);

impl LedgerStore {
    pub(crate) fn new(platform: Arc<dyn Platform>) -> Self {
        Self(platform)
    }

    /// Carries out a call and reads afterwards; `None` if the platform gives no answer.
    pub(crate) async fn call(&self, call: PlatformCall) -> Option<Reading> {
        if let PlatformCall::Swap {
            account,
            expected,
            ledger,
        } = call
        {
            self.swap(&account, expected, &ledger).await;
        }
        match self.read().await {
            Ok(reading) => Some(reading),
            Err(e) => {
                tracing::debug!(event = "ledgers_not_read", error = %e);
                None
            }
        }
    }

    async fn swap(&self, account: &AccountName, expected: u64, ledger: &Ledger) {
        let key = format!("{LEDGER_PREFIX}{account}");
        let value = match serde_json::to_vec(ledger) {
            Ok(json) => Bytes::from(json),
            Err(e) => {
                tracing::error!(event = "ledger_not_encoded", account = %account, error = %e);
                return;
            }
        };
        match self.0.swap(&key, Revision(expected), value).await {
            Ok(_) => {
                tracing::info!(event = "ledger_swapped", account = %account, epoch = ledger.epoch);
            }
            Err(e) => tracing::warn!(event = "ledger_not_swapped", account = %account, error = %e),
        }
    }

    async fn read(&self) -> Result<Reading, PlatformError> {
        let asked = Instant::now();
        let ledgers = self.0.list(LEDGER_PREFIX).await?;
        let vms = self.0.list(VM_PREFIX).await?;
        let names = vms
            .entries
            .iter()
            .filter_map(|e| e.key.strip_prefix(VM_PREFIX));
        Ok(Reading {
            asked,
            ledgers: ledgers.entries.iter().filter_map(parse).collect(),
            listed: names.map(VmName::from).collect(),
        })
    }
}

fn parse(entry: &Entry) -> Option<(AccountName, (u64, Ledger))> {
    let account = AccountName::from(entry.key.strip_prefix(LEDGER_PREFIX)?);
    match serde_json::from_slice::<Ledger>(&entry.value) {
        Ok(ledger) => Some((account, (entry.revision.0, ledger))),
        Err(e) => {
            tracing::error!(event = "ledger_not_decoded", account = %account, error = %e);
            None
        }
    }
}
