//! Storage of the rate ledgers on the platform.

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

/// Prefix of the keys of ledgers; the account's name follows.
const LEDGER_PREFIX: &str = "mustardbay/rates/";
/// Prefix of the keys of vms; the vm's name follows.
const VM_PREFIX: &str = "vms/";

/// Call to the platform that the rate shares need.
#[derive(Debug, Clone, PartialEq)]
pub enum PlatformCall {
    /// Reads every ledger and the list of vms.
    Read,
    /// Replaces a ledger if its revision is unchanged; the read that follows shows the result.
    Swap {
        /// Account of the ledger.
        account: AccountName,
        /// Revision at which it was read; 0 to create it.
        expected: u64,
        /// New ledger.
        ledger: Ledger,
    },
}

/// Ledgers and listed vms as read from the platform.
#[derive(Debug, Clone)]
pub struct LedgerSnapshot {
    /// Time at which the read was started.
    pub requested_at: Instant,
    /// Revision and ledger by account.
    pub ledgers: BTreeMap<AccountName, (u64, Ledger)>,
    /// Vms listed by the platform.
    pub listed: BTreeSet<VmName>,
}

/// Client for the rate ledgers on the platform.
#[derive(Debug, Clone)]
pub(crate) struct LedgerStore(Arc<dyn Platform>);

impl LedgerStore {
    pub(crate) fn new(platform: Arc<dyn Platform>) -> Self {
        Self(platform)
    }

    /// Executes a call, then reads all ledgers; `None` if the read fails.
    pub(crate) async fn call(&self, call: PlatformCall) -> Option<LedgerSnapshot> {
        if let PlatformCall::Swap {
            account,
            expected,
            ledger,
        } = call
        {
            self.swap(&account, expected, &ledger).await;
        }
        match self.read().await {
            Ok(snapshot) => Some(snapshot),
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

    async fn read(&self) -> Result<LedgerSnapshot, PlatformError> {
        let requested_at = Instant::now();
        let ledgers = self.0.list(LEDGER_PREFIX).await?;
        let vms = self.0.list(VM_PREFIX).await?;
        let names = vms
            .entries
            .iter()
            .filter_map(|e| e.key.strip_prefix(VM_PREFIX));
        Ok(LedgerSnapshot {
            requested_at,
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
