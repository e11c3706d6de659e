//! Assignment of each upstream to the vm that pools its connections, called its home.

use sha2::Digest;
use sha2::Sha256;

use crate::bundle::Upstream;
use crate::names::GroupName;
use crate::names::VmName;
use crate::view::FleetView;
use crate::view::VmState;

/// Returns the vm whose pool holds the connections to `upstream`, by rendezvous hashing.
///
/// A vm that is not leaving is preferred to one that is, then a vm in the upstream's own failure
/// domain to one in another. Returns `None` if the view contains no vm.
#[must_use]
pub fn home<'a>(view: &'a FleetView, group: &GroupName, upstream: &Upstream) -> Option<&'a VmName> {
    let rank = |(name, vm): &(&VmName, &VmState)| {
        (
            !vm.leaving,
            vm.domain == upstream.domain,
            score(name, group, upstream),
        )
    };
    view.vms.iter().max_by_key(rank).map(|(name, _)| name)
}

fn score(vm: &VmName, group: &GroupName, upstream: &Upstream) -> [u8; 32] {
    let mut hash = Sha256::new();
    for part in [vm.as_str(), group.as_str(), upstream.name.as_str()] {
        hash.update(part.as_bytes());
        hash.update([0]);
    }
    hash.finalize().into()
}
