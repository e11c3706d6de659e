//! Conversion between membership updates and their wire format.

use mustardbay_policy::member::MemberUpdate;
use mustardbay_policy::member::Status;
use mustardbay_policy::names::DomainName;
use mustardbay_policy::names::VmName;
use mustardbay_policy::view::VmState;
use mustardbay_wire::VmUpdate;
use mustardbay_wire::WireStatus;

pub(super) fn to_wire(update: &MemberUpdate) -> VmUpdate {
    let status = match update.status {
        Status::Alive => WireStatus::Alive,
        Status::Suspect => WireStatus::Suspect,
        Status::Gone => WireStatus::Gone,
    };
    VmUpdate {
        vm: update.vm.as_str().to_owned(),
        incarnation: update.state.incarnation,
        count: update.count,
        status: status.into(),
        domain: update.state.domain.as_str().to_owned(),
        pool: update.state.pool.clone(),
        peer: update.state.peer.clone(),
        leaving: update.state.leaving,
    }
}

/// Converts an update; `None` if a newer version sent a status unknown to this one.
pub(super) fn from_wire(update: VmUpdate) -> Option<MemberUpdate> {
    let status = match WireStatus::try_from(update.status).ok()? {
        WireStatus::Alive => Status::Alive,
        WireStatus::Suspect => Status::Suspect,
        WireStatus::Gone => Status::Gone,
    };
    Some(MemberUpdate {
        vm: VmName::from(update.vm),
        state: VmState {
            domain: DomainName::from(update.domain),
            incarnation: update.incarnation,
            pool: update.pool,
            peer: update.peer,
            leaving: update.leaving,
        },
        count: update.count,
        status,
    })
}
