//! Parsing of entries of the platform's store.

use mustardbay_platform::Entry;
use mustardbay_policy::bundle::Head;
use mustardbay_policy::group::StoredRecord;
use mustardbay_policy::names::DomainName;
use mustardbay_policy::names::GroupName;
use mustardbay_policy::names::VmName;
use mustardbay_policy::view::VmState;
use serde::Deserialize;

use crate::groups::RECORD_PREFIX;
use crate::groups::parse_record;

/// Prefix of the keys of vms; the vm's name follows.
pub(super) const VM_PREFIX: &str = "vms/";

/// Vm as listed by the platform; unknown fields belong to the platform and are ignored.
#[derive(Debug, Clone, Deserialize)]
struct ListedVm {
    domain: DomainName,
    peer: String,
    pool: String,
    #[serde(default)]
    leaving: bool,
}

pub(super) fn vm(entry: &Entry) -> Option<(VmName, VmState)> {
    let name = entry.key.strip_prefix(VM_PREFIX)?;
    let listed: ListedVm = json(entry)?;
    let state = VmState {
        domain: listed.domain,
        incarnation: 0,
        pool: listed.pool,
        peer: listed.peer,
        leaving: listed.leaving,
    };
    Some((VmName::from(name), state))
}

pub(super) fn head(entry: &Entry) -> Option<Head> {
    json(entry)
}

pub(super) fn group(entry: &Entry) -> Option<(GroupName, StoredRecord)> {
    let name = entry.key.strip_prefix(RECORD_PREFIX)?;
    Some((GroupName::from(name), parse_record(entry)?))
}

fn json<'a, T: Deserialize<'a>>(entry: &'a Entry) -> Option<T> {
    match serde_json::from_slice(&entry.value) {
        Ok(value) => Some(value),
        Err(e) => {
            tracing::error!(event = "platform_entry_rejected", key = entry.key, error = %e);
            None
        }
    }
}
